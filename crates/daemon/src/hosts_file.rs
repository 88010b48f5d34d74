//! Watches the endpoint list file: polls its metadata several times a second and reads it when it has changed.
//!
//! A file that cannot be read or evaluated, for example because it is partly written, is reported once and read again
//! when it changes. Until then the last valid list stays in effect.

use pondarch_config::read_hosts;
use pondarch_daemon_core::Input;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Time between two polls; short compared with the endpoint list's own delay of seconds.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Metadata that changes with the file's content.
#[derive(Clone, Copy, PartialEq)]
struct FileVersion {
    modified: SystemTime,
    bytes: u64,
    inode: u64,
}

/// Reads the file whenever it has changed, until the daemon ends.
pub(crate) async fn watch(file: PathBuf, zones: Vec<String>, inputs: mpsc::Sender<Input>) {
    let mut last_read: Option<Option<FileVersion>> = None;
    let mut next_poll = Instant::now();
    loop {
        let version = file_version(&file).await;
        if last_read != Some(version) {
            let input = read(file.clone(), zones.clone()).await;
            // If the file changed during the read, the next poll reads it again.
            last_read = (file_version(&file).await == version).then_some(version);
            if inputs.send(input).await.is_err() {
                return;
            }
        }
        next_poll += POLL_INTERVAL;
        sleep_until(next_poll).await;
    }
}

async fn read(file: PathBuf, zones: Vec<String>) -> Input {
    // Evaluation is slow, so it must not block a thread that serves sockets.
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

/// The file's version, or `None` if its metadata cannot be read.
async fn file_version(file: &Path) -> Option<FileVersion> {
    let metadata = tokio::fs::metadata(file).await.ok()?;
    Some(FileVersion {
        modified: metadata.modified().ok()?,
        bytes: metadata.len(),
        inode: std::os::unix::fs::MetadataExt::ino(&metadata),
    })
}
