//! A recorded stream of reqs, in a columnar file (Arrow IPC): when each came, of which kind, how much work.

use crate::client::Kind;
use arrow_array::{Array, RecordBatch, UInt32Array, UInt64Array};
use arrow_ipc::reader::FileReader;
use arrow_ipc::writer::FileWriter;
use arrow_schema::{ArrowError, DataType, Field, Schema};
use std::fs::File;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Rows of one batch in the file.
const BATCH: usize = 16_384;

/// One req of the stream; its number is its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recorded {
    /// Since the stream began.
    pub at: Duration,
    /// Place of its kind.
    pub kind: usize,
    pub work: Duration,
}

#[derive(Debug, Error)]
pub enum StreamError {
    #[error("the stream's file: {0}")]
    Io(#[from] std::io::Error),
    #[error("the stream's file: {0}")]
    Arrow(#[from] ArrowError),
    #[error("the stream's file has no column '{0}' of whole numbers")]
    Column(&'static str),
}

/// A seeded stream: `rate` reqs a second at drawn times.
pub fn drawn(kinds: &[Kind], reqs: usize, rate: f64, seed: u64) -> Vec<Recorded> {
    let mut chance = fastrand::Rng::with_seed(seed);
    let shares: f64 = kinds.iter().map(|kind| kind.share).sum();
    let mut at = 0.0;
    let one = |_| {
        at += -(1.0 - chance.f64()).ln() / rate;
        let mut left = chance.f64() * shares;
        let kind = kinds.iter().position(|kind| {
            left -= kind.share;
            left < 0.0
        });
        let kind = kind.unwrap_or(0);
        Recorded {
            at: Duration::from_secs_f64(at),
            kind,
            work: kinds[kind].work,
        }
    };
    (0..reqs).map(one).collect()
}

pub fn write(file: &Path, stream: &[Recorded]) -> Result<(), StreamError> {
    let field = |name: &str, kind: DataType| Field::new(name, kind, false);
    let schema = Arc::new(Schema::new(vec![
        field("at_us", DataType::UInt64),
        field("kind", DataType::UInt32),
        field("work_us", DataType::UInt32),
    ]));
    let mut out = FileWriter::try_new(File::create(file)?, &schema)?;
    for part in stream.chunks(BATCH) {
        let at: UInt64Array = part
            .iter()
            .map(|req| req.at.as_micros() as u64)
            .collect::<Vec<_>>()
            .into();
        let kind: UInt32Array = part
            .iter()
            .map(|req| req.kind as u32)
            .collect::<Vec<_>>()
            .into();
        let work: UInt32Array = part
            .iter()
            .map(|req| req.work.as_micros() as u32)
            .collect::<Vec<_>>()
            .into();
        out.write(&RecordBatch::try_new(
            schema.clone(),
            vec![Arc::new(at), Arc::new(kind), Arc::new(work)],
        )?)?;
    }
    Ok(out.finish()?)
}

/// Errors: the file is no such stream; a kind's place is not checked.
pub fn read(file: &Path) -> Result<Vec<Recorded>, StreamError> {
    let mut stream = Vec::new();
    for batch in FileReader::try_new(File::open(file)?, None)? {
        let batch = batch?;
        let column = |name| batch.column_by_name(name).ok_or(StreamError::Column(name));
        let at = column("at_us")?
            .as_any()
            .downcast_ref::<UInt64Array>()
            .ok_or(StreamError::Column("at_us"))?;
        let small = |name| -> Result<UInt32Array, StreamError> {
            column(name)?
                .as_any()
                .downcast_ref::<UInt32Array>()
                .cloned()
                .ok_or(StreamError::Column(name))
        };
        let (kind, work) = (small("kind")?, small("work_us")?);
        stream.extend((0..batch.num_rows()).map(|n| Recorded {
            at: Duration::from_micros(at.value(n)),
            kind: kind.value(n) as usize,
            work: Duration::from_micros(work.value(n).into()),
        }));
    }
    Ok(stream)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_written_is_read() {
        let kind = |name, share| Kind {
            name,
            share,
            work: Duration::from_micros(300),
            response_target: Duration::from_secs(1),
            client_timeout: Duration::from_secs(1),
            benefit: 1.0,
            replayable: true,
        };
        let stream = drawn(&[kind("a", 0.5), kind("b", 0.5)], 40_000, 1e4, 3);
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("stream.arrow");
        write(&file, &stream).expect("written");
        let read_back = read(&file).expect("read");
        let micros = |s: &[Recorded]| {
            s.iter()
                .map(|r| (r.at.as_micros(), r.kind, r.work))
                .collect::<Vec<_>>()
        };
        assert_eq!(micros(&read_back), micros(&stream));
        std::fs::write(&file, "nonsense").expect("written");
        assert!(read(&file).is_err());
    }
}
