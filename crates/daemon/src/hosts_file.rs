//! Follows the list of hosts: looks at the file several times a second and reads it when it has changed.
//!
//! A file that cannot be read or evaluated (half written, say) is told of once, and looked at again when it
//! changes; the last good list holds meanwhile.

use pondarch_config::read_hosts;
use pondarch_daemon_core::Input;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Time between two looks: short beside the list's own lateness of seconds.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// What tells one state of the file from another without reading it.
type Mark = Option<(SystemTime, u64, u64)>;

pub(crate) async fn follow(file: PathBuf, zones: Vec<String>, inputs: mpsc::Sender<Input>) {
    let mut last: Option<Mark> = None;
    let mut next = Instant::now();
    loop {
        let mark = mark_of(&file).await;
        if last != Some(mark) {
            let input = read(file.clone(), zones.clone()).await;
            // Changed while it was being read: the next look reads it again.
            last = (mark_of(&file).await == mark).then_some(mark);
            if inputs.send(input).await.is_err() {
                return;
            }
        }
        next += LOOK_EVERY;
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
        Ok(Err(wrong)) => Input::EndpointListRejected {
            error: wrong.to_string(),
        },
        Err(_) => Input::EndpointListRejected {
            error: "the evaluator failed".into(),
        },
    }
}

async fn mark_of(file: &Path) -> Mark {
    let meta = tokio::fs::metadata(file).await.ok()?;
    let node = std::os::unix::fs::MetadataExt::ino(&meta);
    Some((meta.modified().ok()?, meta.len(), node))
}
