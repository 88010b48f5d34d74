//! Records as rows: one for each input and each thing decided, for people and as a columnar file (Arrow IPC).

use crate::record::{Decision, Record};
use crate::runs::{self, Flaw, HistoryError};
use arrow_array::{ArrayRef, RecordBatch, StringArray, UInt64Array};
use arrow_ipc::writer::FileWriter;
use arrow_schema::{DataType, Field, Schema};
use pondarch_event_log::Disk;
use serde::Serialize;
use serde_json::Value;
use std::fs::File;
use std::path::Path;
use std::sync::Arc;

/// Rows of one batch in the file.
const BATCH: usize = 8_192;

/// One row. `n` is the input that it is, or that led to it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    pub epoch: u64,
    pub n: u64,
    pub at_us: u64,
    /// `start`, `input`, `decided`, `event` or `gap`.
    pub of: &'static str,
    pub what: String,
    pub proxy: Option<String>,
    pub host: Option<String>,
    /// All of it, as JSON.
    pub text: String,
}

/// Reads a folder row by row. `names` of proxies come from each run's own settings.
///
/// Errors: the folder cannot be read.
pub fn rows(
    disk: &impl Disk,
    mut take: impl FnMut(Row) -> Result<(), HistoryError>,
) -> Result<Vec<Flaw>, HistoryError> {
    let (places, mut flaws) = runs::places(disk)?;
    if places.is_empty() && flaws.is_empty() {
        return Err(HistoryError::Nothing);
    }
    let (mut names, mut last_us) = (Vec::new(), 0);
    let mut failed = None;
    for place in &places {
        let epoch = place.head.incarnation;
        runs::read(disk, place, &mut flaws, |_, record| {
            for row in of(epoch, &mut last_us, &mut names, record) {
                if let Err(wrong) = take(row) {
                    failed = Some(wrong);
                    return false;
                }
            }
            true
        })?;
        if let Some(wrong) = failed {
            return Err(wrong);
        }
    }
    Ok(flaws)
}

fn of(epoch: u64, last_us: &mut u64, names: &mut Vec<String>, record: Record) -> Vec<Row> {
    let row = |n, at_us, of, value: Value| {
        let (what, fields) = parts(value);
        let text = |key: &str| fields.get(key).and_then(Value::as_str).map(str::to_string);
        let proxy = match fields.get("proxy") {
            Some(Value::Number(place)) => {
                place.as_u64().and_then(|n| names.get(n as usize)).cloned()
            }
            _ => text("proxy"),
        };
        Row {
            epoch,
            n,
            at_us,
            of,
            what,
            proxy,
            host: text("host"),
            text: fields.to_string(),
        }
    };
    match record {
        Record::Start(start) => {
            *last_us = start.at_us;
            let settings: Value = serde_json::from_str(&start.settings).unwrap_or_default();
            let proxies = settings["proxies"].as_array().cloned().unwrap_or_default();
            let text = serde_json::json!({"program": start.program, "seed": start.seed, "process": start.process});
            let row = Row {
                epoch,
                n: 0,
                at_us: start.at_us,
                of: "start",
                what: "Start".into(),
                proxy: None,
                host: None,
                text: text.to_string(),
            };
            *names = proxies
                .iter()
                .filter_map(|p| p["name"].as_str().map(str::to_string))
                .collect();
            vec![row]
        }
        Record::Input { n, at_us, input } => {
            *last_us = at_us;
            vec![row(n, at_us, "input", json(&input))]
        }
        Record::Decided { n, decisions } => {
            let at_us = *last_us;
            let one = |decision: &Decision| match decision {
                Decision::Output(pondarch_daemon_core::Output::Event(event)) => {
                    row(n, at_us, "event", json(event))
                }
                Decision::Output(output) => row(n, at_us, "decided", json(output)),
                other => row(n, at_us, "decided", json(other)),
            };
            decisions.iter().map(one).collect()
        }
        Record::Gap { first, last, why } => {
            let value = serde_json::json!({"Gap": {"first": first, "last": last, "why": why}});
            vec![row(first, *last_us, "gap", value)]
        }
    }
}

fn json(value: &impl Serialize) -> Value {
    serde_json::to_value(value).unwrap_or_default()
}

/// A variant's name and its fields.
fn parts(value: Value) -> (String, Value) {
    match value {
        Value::String(name) => (name, Value::Null),
        Value::Object(mut fields) if fields.len() == 1 => {
            let name = fields.keys().next().cloned().unwrap_or_default();
            let inner = fields.remove(&name).unwrap_or_default();
            (name, inner)
        }
        other => (String::new(), other),
    }
}

/// Writes all rows of a folder to a columnar file; gives how many, and what was wrong in the folder.
///
/// Errors: the folder cannot be read, or the file not written.
pub fn export(disk: &impl Disk, file: &Path) -> Result<(u64, Vec<Flaw>), HistoryError> {
    let field = |name: &str, kind: DataType, empty| Field::new(name, kind, empty);
    let schema = Arc::new(Schema::new(vec![
        field("epoch", DataType::UInt64, false),
        field("n", DataType::UInt64, false),
        field("at_us", DataType::UInt64, false),
        field("of", DataType::Utf8, false),
        field("what", DataType::Utf8, false),
        field("proxy", DataType::Utf8, true),
        field("host", DataType::Utf8, true),
        field("text", DataType::Utf8, false),
    ]));
    let mut out = FileWriter::try_new(File::create(file)?, &schema)?;
    let (mut batch, mut count) = (Vec::with_capacity(BATCH), 0);
    let mut write = |rows: &mut Vec<Row>| -> Result<(), HistoryError> {
        let long = |of: fn(&Row) -> u64| -> ArrayRef {
            Arc::new(rows.iter().map(of).collect::<UInt64Array>())
        };
        let text = |of: fn(&Row) -> Option<&str>| -> ArrayRef {
            Arc::new(rows.iter().map(of).collect::<StringArray>())
        };
        let columns = vec![
            long(|row| row.epoch),
            long(|row| row.n),
            long(|row| row.at_us),
            text(|row| Some(row.of)),
            text(|row| Some(&row.what)),
            text(|row| row.proxy.as_deref()),
            text(|row| row.host.as_deref()),
            text(|row| Some(&row.text)),
        ];
        out.write(&RecordBatch::try_new(schema.clone(), columns)?)?;
        rows.clear();
        Ok(())
    };
    let flaws = rows(disk, |row| {
        count += 1;
        batch.push(row);
        if batch.len() == BATCH {
            write(&mut batch)
        } else {
            Ok(())
        }
    })?;
    write(&mut batch)?;
    out.finish()?;
    Ok((count, flaws))
}
