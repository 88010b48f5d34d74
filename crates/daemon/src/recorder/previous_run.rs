//! What the event log holds of the run before, and the folder it is in.

use crate::error::DaemonError;
use pondarch_config::SiteSettings;
use pondarch_controller::Time;
use pondarch_daemon_core::{RecoveredState, unix_micros};
use pondarch_event_log::{Folder, LockError};
use pondarch_replay::{Boot, recover};
use std::path::PathBuf;
use tracing::{info, warn};

#[cfg(test)]
mod tests;

/// What was found of the run before.
#[derive(Default)]
pub(crate) struct PreviousRun {
    /// None: it could not be had yet, and is tried again.
    pub(crate) folder: Option<Folder>,
    /// Its incarnation; 0: there was none.
    pub(crate) incarnation: u64,
    /// What the core takes over.
    pub(crate) state: Option<RecoveredState>,
}

/// Gives the folder that is held already, or tries to lock it.
pub(crate) fn folder_opener(
    held: Option<Folder>,
    path: PathBuf,
) -> impl FnMut() -> Result<Folder, LockError> + Send {
    let mut held = held;
    move || match held.take() {
        Some(folder) => Ok(folder),
        None => Folder::lock(&path),
    }
}

/// Locks the event log's folder and recovers what was recorded before.
///
/// # Errors
///
/// Another program writes there. A folder that cannot be had otherwise is none: deciding goes on without.
pub(crate) fn previous_run(site: &SiteSettings, now: Time) -> Result<PreviousRun, DaemonError> {
    let Some(records) = &site.event_log else {
        return Ok(PreviousRun::default());
    };
    let folder = match Folder::lock(&records.directory) {
        Ok(folder) => folder,
        Err(held @ LockError::Held(_)) => return Err(held.into()),
        Err(error) => {
            warn!(%error, "cannot open the event log");
            return Ok(PreviousRun::default());
        }
    };
    let mut previous = recover_from(&folder, site, now);
    previous.folder = Some(folder);
    Ok(previous)
}

/// What a folder holds; nothing if it cannot be read.
fn recover_from(folder: &Folder, site: &SiteSettings, now: Time) -> PreviousRun {
    let found = match recover(folder, site) {
        Ok(found) => found,
        Err(error) => {
            warn!(%error, "nothing recovered");
            return PreviousRun::default();
        }
    };
    for fault in &found.faults {
        warn!(
            file = fault.file,
            cause = fault.cause.to_string(),
            "part of the event log dropped"
        );
    }
    info!(
        inputs = found.inputs,
        incarnation = found.incarnation,
        "event log read"
    );
    let now_us = unix_micros(now);
    let elapsed_us = elapsed_us(found.boot.as_ref(), boot().as_ref(), found.last_us, now_us);
    PreviousRun {
        folder: None,
        incarnation: found.incarnation,
        state: found
            .state
            .map(|state| state.rebased_to_clock(now_us, elapsed_us)),
    }
}

/// How much time has passed since the last record: by the machine's own count if it did not restart meanwhile, else by
/// its clock, as far as that went on.
fn elapsed_us(then: Option<&Boot>, now: Option<&Boot>, last_us: u64, now_us: u64) -> u64 {
    match (then, now) {
        (Some(then), Some(now)) if then.id == now.id => {
            now.uptime_us.saturating_sub(then.uptime_us)
        }
        _ => now_us.saturating_sub(last_us),
    }
}

/// The machine's own count of time; none where the system does not give it.
pub(crate) fn boot() -> Option<Boot> {
    let id = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").ok()?;
    let uptime = std::fs::read_to_string("/proc/uptime").ok()?;
    let seconds: f64 = uptime.split_whitespace().next()?.parse().ok()?;
    Some(Boot {
        id: id.trim().into(),
        uptime_us: (seconds * 1e6) as u64,
    })
}
