//! A recorded sequence of requests in a columnar file (Arrow IPC): arrival time, request class and work of each
//! request.

use crate::client::RequestClass;
use arrow_array::{Array, RecordBatch, UInt32Array, UInt64Array};
use arrow_ipc::reader::FileReader;
use arrow_ipc::writer::FileWriter;
use arrow_schema::{ArrowError, DataType, Field, Schema};
use std::fs::File;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Number of rows in one batch of the file.
const BATCH_ROWS: usize = 16_384;

/// One request of a trace; its position in the trace is its ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceRequest {
    /// Arrival time since the start of the trace.
    pub at: Duration,
    /// Index of its request class.
    pub class: usize,
    pub work: Duration,
}

/// Why a trace file could not be written or read.
#[derive(Debug, Error)]
pub enum TraceError {
    #[error("cannot access the trace file: {0}")]
    Io(#[from] std::io::Error),
    #[error("cannot encode or decode the trace file: {0}")]
    Arrow(#[from] ArrowError),
    #[error("the trace file has no integer column '{0}'")]
    Column(&'static str),
}

/// Generates a random trace of `count` requests with `rate` arrivals per second.
pub fn generate(classes: &[RequestClass], count: usize, rate: f64, seed: u64) -> Vec<TraceRequest> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let total_share: f64 = classes.iter().map(|class| class.share).sum();
    let mut arrival_s = 0.0;
    let next_request = |_| {
        arrival_s += -(1.0 - rng.f64()).ln() / rate;
        let mut point = rng.f64() * total_share;
        let class = classes.iter().position(|class| {
            point -= class.share;
            point < 0.0
        });
        let class = class.unwrap_or(0);
        TraceRequest {
            at: Duration::from_secs_f64(arrival_s),
            class,
            work: classes[class].work,
        }
    };
    (0..count).map(next_request).collect()
}

/// Writes a trace to a file.
pub fn write(file: &Path, trace: &[TraceRequest]) -> Result<(), TraceError> {
    let field = |name: &str, data_type: DataType| Field::new(name, data_type, false);
    let schema = Arc::new(Schema::new(vec![
        field("at_us", DataType::UInt64),
        field("kind", DataType::UInt32),
        field("work_us", DataType::UInt32),
    ]));
    let mut writer = FileWriter::try_new(File::create(file)?, &schema)?;
    for batch in trace.chunks(BATCH_ROWS) {
        let at: UInt64Array = batch
            .iter()
            .map(|request| request.at.as_micros() as u64)
            .collect::<Vec<_>>()
            .into();
        let class: UInt32Array = batch
            .iter()
            .map(|request| request.class as u32)
            .collect::<Vec<_>>()
            .into();
        let work: UInt32Array = batch
            .iter()
            .map(|request| request.work.as_micros() as u32)
            .collect::<Vec<_>>()
            .into();
        writer.write(&RecordBatch::try_new(
            schema.clone(),
            vec![Arc::new(at), Arc::new(class), Arc::new(work)],
        )?)?;
    }
    Ok(writer.finish()?)
}

/// Reads a trace from a file. Class indexes are not checked.
///
/// # Errors
///
/// The file cannot be read or is not a trace.
pub fn read(file: &Path) -> Result<Vec<TraceRequest>, TraceError> {
    let mut trace = Vec::new();
    for batch in FileReader::try_new(File::open(file)?, None)? {
        let batch = batch?;
        let column = |name| batch.column_by_name(name).ok_or(TraceError::Column(name));
        let at = column("at_us")?
            .as_any()
            .downcast_ref::<UInt64Array>()
            .ok_or(TraceError::Column("at_us"))?;
        let u32_column = |name| -> Result<UInt32Array, TraceError> {
            column(name)?
                .as_any()
                .downcast_ref::<UInt32Array>()
                .cloned()
                .ok_or(TraceError::Column(name))
        };
        let (class, work) = (u32_column("kind")?, u32_column("work_us")?);
        trace.extend((0..batch.num_rows()).map(|n| TraceRequest {
            at: Duration::from_micros(at.value(n)),
            class: class.value(n) as usize,
            work: Duration::from_micros(work.value(n).into()),
        }));
    }
    Ok(trace)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_written_trace_reads_back_unchanged() {
        let class = |name, share| RequestClass {
            name,
            share,
            work: Duration::from_micros(300),
            latency_objective: Duration::from_secs(1),
            client_timeout: Duration::from_secs(1),
            priority_weight: 1.0,
            replayable: true,
        };
        let trace = generate(&[class("a", 0.5), class("b", 0.5)], 40_000, 1e4, 3);
        let folder = tempfile::tempdir().expect("create a temporary folder");
        let file = folder.path().join("stream.arrow");
        write(&file, &trace).expect("write the trace");
        let read_back = read(&file).expect("read the trace");
        let columns = |t: &[TraceRequest]| {
            t.iter()
                .map(|r| (r.at.as_micros(), r.class, r.work))
                .collect::<Vec<_>>()
        };
        assert_eq!(columns(&read_back), columns(&trace));
        std::fs::write(&file, "nonsense").expect("overwrite the file");
        assert!(read(&file).is_err());
    }
}
