//! Converts records to rows, one for each input and each decision, for display and for a columnar file (Arrow IPC).

use crate::error::{ReplayError, ReplayFault};
use crate::record::{Decision, Record, RunStart};
use crate::segments::{self, SegmentList};
use arrow_array::{ArrayRef, RecordBatch, StringArray, UInt64Array};
use arrow_ipc::writer::FileWriter;
use arrow_schema::{DataType, Field, Schema};
use pondarch_daemon_core::Output;
use pondarch_event_log::Disk;
use serde::Serialize;
use serde_json::Value;
use std::fmt;
use std::fs::File;
use std::ops::ControlFlow;
use std::path::Path;
use std::sync::Arc;

/// Number of rows per record batch of the columnar file.
const BATCH_ROWS: usize = 8_192;

/// The category of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RowCategory {
    /// The start of a run.
    Start,
    /// An input.
    Input,
    /// An output other than an event.
    Decided,
    /// An event.
    Event,
    /// Inputs that were not recorded.
    Gap,
}

impl RowCategory {
    /// Returns the name in the columnar file.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            RowCategory::Start => "start",
            RowCategory::Input => "input",
            RowCategory::Decided => "decided",
            RowCategory::Event => "event",
            RowCategory::Gap => "gap",
        }
    }
}

impl fmt::Display for RowCategory {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// One row. The column names are fixed; a renamed field keeps its column name by an attribute.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Incarnation of the run.
    #[serde(rename = "epoch")]
    pub incarnation: u64,
    /// Number of the input, or of the input that led to the decision.
    #[serde(rename = "n")]
    pub number: u64,
    /// Time of that input, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Category of the row.
    #[serde(rename = "of")]
    pub category: RowCategory,
    /// Name of the input, output or event.
    #[serde(rename = "what")]
    pub name: String,
    /// Name of the proxy concerned.
    pub proxy: Option<String>,
    /// Name of the host concerned.
    pub host: Option<String>,
    /// All fields, as JSON.
    #[serde(rename = "text")]
    pub fields: String,
}

/// The result of an export.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Export {
    /// Number of rows written.
    pub rows: u64,
    /// Parts of the event log that could not be read.
    pub faults: Vec<ReplayFault>,
}

/// Visits the rows of a folder in order, and returns the parts that could not be read. Proxy names come from the
/// settings of each run.
///
/// # Errors
///
/// The folder cannot be read or has no segments, or `visit` failed.
pub fn rows(
    disk: &impl Disk,
    mut visit: impl FnMut(Row) -> Result<(), ReplayError>,
) -> Result<Vec<ReplayFault>, ReplayError> {
    let SegmentList {
        segments,
        mut faults,
    } = segments::list(disk)?;
    if segments.is_empty() && faults.is_empty() {
        return Err(ReplayError::NoRecords);
    }
    let mut converter = RowConverter::default();
    for segment in &segments {
        converter.incarnation = segment.header.incarnation;
        let mut result = Ok(());
        segments::read(disk, segment, &mut faults, |record| {
            result = converter.rows(record).into_iter().try_for_each(&mut visit);
            match result {
                Ok(()) => ControlFlow::Continue(()),
                Err(_) => ControlFlow::Break(()),
            }
        })?;
        result?;
    }
    Ok(faults)
}

/// Converts records to rows.
#[derive(Default)]
struct RowConverter {
    incarnation: u64,
    /// Time of the last input.
    at_us: u64,
    /// Names of the proxies, by their number in the settings of the run.
    proxies: Vec<String>,
}

impl RowConverter {
    fn rows(&mut self, record: Record) -> Vec<Row> {
        match record {
            Record::Start(start) => vec![self.start(&start)],
            Record::Input {
                number,
                at_us,
                input,
            } => {
                self.at_us = at_us;
                vec![self.row(number, RowCategory::Input, to_json(&input))]
            }
            Record::Decided { number, decisions } => decisions
                .iter()
                .map(|decision| self.decision(number, decision))
                .collect(),
            Record::Gap {
                first,
                last,
                reason,
            } => {
                let value =
                    serde_json::json!({"Gap": {"first": first, "last": last, "why": reason}});
                vec![self.row(first, RowCategory::Gap, value)]
            }
        }
    }

    fn start(&mut self, start: &RunStart) -> Row {
        self.at_us = start.at_us;
        let settings: Value = serde_json::from_str(&start.settings).unwrap_or_default();
        let proxies = settings["proxies"].as_array().cloned().unwrap_or_default();
        self.proxies = proxies
            .iter()
            .filter_map(|proxy| proxy["name"].as_str().map(str::to_string))
            .collect();
        let fields = serde_json::json!({"program": start.program, "seed": start.seed, "process": start.process});
        Row {
            incarnation: self.incarnation,
            number: 0,
            at_us: start.at_us,
            category: RowCategory::Start,
            name: "Start".into(),
            proxy: None,
            host: None,
            fields: fields.to_string(),
        }
    }

    fn decision(&self, number: u64, decision: &Decision) -> Row {
        let (category, value) = match decision {
            Decision::Output(Output::Event(event)) => (RowCategory::Event, to_json(event)),
            Decision::Output(output) => (RowCategory::Decided, to_json(output)),
            other => (RowCategory::Decided, to_json(other)),
        };
        self.row(number, category, value)
    }

    fn row(&self, number: u64, category: RowCategory, value: Value) -> Row {
        let NamedFields { name, fields } = NamedFields::of(value);
        let text = |key: &str| fields.get(key).and_then(Value::as_str).map(str::to_string);
        let proxy = match fields.get("proxy") {
            Some(Value::Number(number)) => number
                .as_u64()
                .and_then(|number| self.proxies.get(number as usize))
                .cloned(),
            _ => text("proxy"),
        };
        Row {
            incarnation: self.incarnation,
            number,
            at_us: self.at_us,
            category,
            name,
            proxy,
            host: text("host"),
            fields: fields.to_string(),
        }
    }
}

/// Converts to JSON. The result would be null on an error, which cannot occur: all keys are strings.
fn to_json(value: &impl Serialize) -> Value {
    serde_json::to_value(value).unwrap_or_default()
}

/// The name of an enum variant and its fields.
struct NamedFields {
    name: String,
    fields: Value,
}

impl NamedFields {
    fn of(value: Value) -> NamedFields {
        match value {
            Value::String(name) => NamedFields {
                name,
                fields: Value::Null,
            },
            Value::Object(mut variant) if variant.len() == 1 => {
                let name = variant.keys().next().cloned().unwrap_or_default();
                let fields = variant.remove(&name).unwrap_or_default();
                NamedFields { name, fields }
            }
            fields => NamedFields {
                name: String::new(),
                fields,
            },
        }
    }
}

/// Writes all rows of a folder to a columnar file.
///
/// # Errors
///
/// The folder cannot be read, or the file cannot be written.
pub fn export(disk: &impl Disk, file: &Path) -> Result<Export, ReplayError> {
    let mut writer = ColumnarWriter::create(file)?;
    let mut count = 0;
    let faults = rows(disk, |row| {
        count += 1;
        writer.push(row)
    })?;
    writer.finish()?;
    Ok(Export {
        rows: count,
        faults,
    })
}

/// Writes rows in batches.
struct ColumnarWriter {
    schema: Arc<Schema>,
    file: FileWriter<File>,
    batch: Vec<Row>,
}

impl ColumnarWriter {
    fn create(file: &Path) -> Result<ColumnarWriter, ReplayError> {
        let required = |name: &str, data_type| Field::new(name, data_type, false);
        let optional = |name: &str, data_type| Field::new(name, data_type, true);
        let schema = Arc::new(Schema::new(vec![
            required("epoch", DataType::UInt64),
            required("n", DataType::UInt64),
            required("at_us", DataType::UInt64),
            required("of", DataType::Utf8),
            required("what", DataType::Utf8),
            optional("proxy", DataType::Utf8),
            optional("host", DataType::Utf8),
            required("text", DataType::Utf8),
        ]));
        Ok(ColumnarWriter {
            file: FileWriter::try_new(File::create(file)?, &schema)?,
            schema,
            batch: Vec::with_capacity(BATCH_ROWS),
        })
    }

    fn push(&mut self, row: Row) -> Result<(), ReplayError> {
        self.batch.push(row);
        if self.batch.len() == BATCH_ROWS {
            self.write_batch()?;
        }
        Ok(())
    }

    fn write_batch(&mut self) -> Result<(), ReplayError> {
        let rows = &self.batch;
        let numbers = |value: fn(&Row) -> u64| -> ArrayRef {
            Arc::new(rows.iter().map(value).collect::<UInt64Array>())
        };
        let texts = |value: fn(&Row) -> Option<&str>| -> ArrayRef {
            Arc::new(rows.iter().map(value).collect::<StringArray>())
        };
        let columns = vec![
            numbers(|row| row.incarnation),
            numbers(|row| row.number),
            numbers(|row| row.at_us),
            texts(|row| Some(row.category.as_str())),
            texts(|row| Some(&row.name)),
            texts(|row| row.proxy.as_deref()),
            texts(|row| row.host.as_deref()),
            texts(|row| Some(&row.fields)),
        ];
        self.file
            .write(&RecordBatch::try_new(self.schema.clone(), columns)?)?;
        self.batch.clear();
        Ok(())
    }

    fn finish(mut self) -> Result<(), ReplayError> {
        self.write_batch()?;
        self.file.finish()?;
        Ok(())
    }
}
