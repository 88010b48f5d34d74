//! Follows the endpoint list: polls the file's metadata several times a second and reads the file when it has changed.
//!
//! A file that cannot be read or evaluated (half written, say) is reported once, and read again when it changes; the last
//! good list holds meanwhile.

use pondarch_config::read_hosts;
use pondarch_daemon_core::Input;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Time between two polls: short beside the list's own delay of seconds.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Distinguishes one state of the file from another without reading it.
#[derive(Clone, Copy, PartialEq)]
struct FileVersion {
    modified: SystemTime,
    bytes: u64,
    inode: u64,
}

/// Reads the file whenever it has changed, until the daemon ends.
pub(crate) async fn follow(file: PathBuf, zones: Vec<String>, inputs: mpsc::Sender<Input>) {
    let mut last: Option<Option<FileVersion>> = None;
    let mut next = Instant::now();
    loop {
        let version = version_of(&file).await;
        if last != Some(version) {
            let input = read(file.clone(), zones.clone()).await;
            // Changed while it was being read: the next poll reads it again.
            last = (version_of(&file).await == version).then_some(version);
            if inputs.send(input).await.is_err() {
                return;
            }
        }
        next += POLL_INTERVAL;
        sleep_until(next).await;
    }
}

async fn read(file: PathBuf, zones: Vec<String>) -> Input {
    // Evaluating takes its time: not on a thread that serves sockets.
    let list = tokio::task::spawn_blocking(move || read_hosts(&file, &zones)).await;
    match list {
        Ok(Ok(list)) => Input::EndpointList {
            generation: list.version,
            hosts: list.hosts,
        },
        Ok(Err(error)) => Input::EndpointListRejected {
            error: error.to_string(),
        },
        Err(_) => Input::EndpointListRejected {
            error: "the evaluator failed".into(),
        },
    }
}

/// The file's state; none if there is no such file.
async fn version_of(file: &Path) -> Option<FileVersion> {
    let metadata = tokio::fs::metadata(file).await.ok()?;
    Some(FileVersion {
        modified: metadata.modified().ok()?,
        bytes: metadata.len(),
        inode: std::os::unix::fs::MetadataExt::ino(&metadata),
    })
}
