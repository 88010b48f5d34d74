//! Writes the fixtures of `tests/stored_data`: `write_fixture run FOLDER` records two runs of a core against in-memory
//! proxies; `write_fixture encode FILE` appends the encoded bytes, in hexadecimal, to the lines that lack them. The
//! committed fixtures must not be regenerated: they are samples of what older programs wrote.

#[path = "write_fixture/run.rs"]
mod run;
#[path = "write_fixture/site.rs"]
mod site;

use pondarch_replay::{Record, Snapshot};
use std::error::Error;
use std::path::Path;

fn main() -> Result<(), Box<dyn Error>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["run", folder] => run::write(Path::new(folder)),
        ["encode", file] => encode(Path::new(file)),
        _ => Err("usage: write_fixture run FOLDER | encode FILE".into()),
    }
}

/// Encodes the lines of a file that lack their bytes. A line has `record` or `snapshot`, the value as JSON, and the
/// encoded bytes, separated by tabs.
fn encode(file: &Path) -> Result<(), Box<dyn Error>> {
    let mut out = String::new();
    for line in std::fs::read_to_string(file)?.lines() {
        let columns: Vec<&str> = line.split('\t').collect();
        let bytes = match columns[..] {
            ["record", json] => serde_json::from_str::<Record>(json)?.to_bytes(),
            ["snapshot", json] => serde_json::from_str::<Snapshot>(json)?.to_bytes(),
            _ => {
                out += &format!("{line}\n");
                continue;
            }
        };
        let hexadecimal: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        out += &format!("{line}\t{hexadecimal}\n");
    }
    Ok(std::fs::write(file, out)?)
}
