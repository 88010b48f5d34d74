//! Connects controllers to the simulator. Lines on standard input become calls of the decision code, and its decisions
//! become lines on standard output. The adapter makes no decisions itself, and controllers share no state except the
//! defined endpoint lists.
//!
//! - `adapter`: passes batches of messages to the controllers and writes the reply to each batch.
//! - `instance`: translates messages to calls of one controller.
//! - `endpoint_lists`: stores the numbered endpoint lists that the simulator defines.
//! - `message`: reads the values of one line in order.
//! - `decision_lines`: formats decisions as lines.
//! - `error`: the errors that stop the adapter.

mod adapter;
mod decision_lines;
mod endpoint_lists;
mod error;
mod instance;
mod message;

use adapter::Adapter;
use error::{AdapterError, LineError};
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    // Panics are reported to the simulator as `INTERNAL_ERROR` lines, so none is printed to standard error.
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
    let line = line.strip_suffix('\n').ok_or(LineError::MissingLineFeed)?;
    if line.is_empty() {
        return Ok(());
    }
    adapter.apply(line, out)
}
