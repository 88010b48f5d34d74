//! Lets the decision module play on the simulator's wire: lines on standard input to calls, decisions to lines on
//! standard output. It decides nothing and shares nothing between controllers.
//!
//! - `adapter`: batches of messages to controllers, and the answer to each batch.
//! - `instance`: one controller's messages to calls.
//! - `endpoint_lists`: the numbered lists of endpoints.
//! - `row`: one line, read value by value.
//! - `decision_lines`: decisions to lines.
//! - `error`: why the adapter stops.

mod adapter;
mod decision_lines;
mod endpoint_lists;
mod error;
mod instance;
mod row;

use adapter::Adapter;
use error::{AdapterError, LineError};
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic is reported to the simulator, by its text.
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pondarch-simulator-adapter: {error}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<(), AdapterError> {
    let mut adapter = Adapter::default();
    let mut out = BufWriter::new(io::stdout().lock());
    let mut input = io::stdin().lock();
    let mut bytes = Vec::new();
    let mut line_number = 0u64;
    loop {
        bytes.clear();
        let length = input
            .read_until(b'\n', &mut bytes)
            .map_err(AdapterError::Input)?;
        if length == 0 {
            return if adapter.in_batch() {
                Err(AdapterError::InputEndedInBatch { line_number })
            } else {
                Ok(())
            };
        }
        line_number += 1;
        apply_line(&mut adapter, &bytes, &mut out).map_err(|source| AdapterError::Line {
            line_number,
            source,
        })?;
    }
}

fn apply_line(adapter: &mut Adapter, bytes: &[u8], out: &mut impl Write) -> Result<(), LineError> {
    let line = std::str::from_utf8(bytes).map_err(|_| LineError::NotUtf8)?;
    let line = line.strip_suffix('\n').ok_or(LineError::Incomplete)?;
    if line.is_empty() {
        return Ok(());
    }
    adapter.apply(line, out)
}
