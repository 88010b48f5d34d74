//! Recovers the state of the previous run from the event log.

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

/// The recovered state of the previous run.
#[derive(Default)]
pub(crate) struct PreviousRun {
    /// The locked folder; `None` if it could not be opened, which is retried.
    pub(crate) folder: Option<Folder>,
    /// Incarnation of the previous run; 0 if there was none.
    pub(crate) incarnation: u64,
    /// State for the core to restore.
    pub(crate) state: Option<RecoveredState>,
}

/// Returns an opener that gives the already locked folder first, and locks the path in later calls.
pub(crate) fn folder_opener(
    locked: Option<Folder>,
    path: PathBuf,
) -> impl FnMut() -> Result<Folder, LockError> + Send {
    let mut locked = locked;
    move || match locked.take() {
        Some(folder) => Ok(folder),
        None => Folder::lock(&path),
    }
}

/// Locks the event log's folder and recovers the previous run from it.
///
/// # Errors
///
/// Another program holds the lock. If the folder cannot be opened for another reason, the controller starts without it.
pub(crate) fn previous_run(site: &SiteSettings, now: Time) -> Result<PreviousRun, DaemonError> {
    let Some(records) = &site.event_log else {
        return Ok(PreviousRun::default());
    };
    let folder = match Folder::lock(&records.directory) {
        Ok(folder) => folder,
        Err(error @ LockError::Held(_)) => return Err(error.into()),
        Err(error) => {
            warn!(%error, "cannot open the event log");
            return Ok(PreviousRun::default());
        }
    };
    let mut previous = recover_from(&folder, site, now);
    previous.folder = Some(folder);
    Ok(previous)
}

/// Recovers the previous run from a folder; empty if the folder cannot be read.
fn recover_from(folder: &Folder, site: &SiteSettings, now: Time) -> PreviousRun {
    let recovered = match recover(folder, site) {
        Ok(recovered) => recovered,
        Err(error) => {
            warn!(%error, "nothing recovered");
            return PreviousRun::default();
        }
    };
    for fault in &recovered.faults {
        warn!(
            file = fault.file,
            cause = fault.cause.to_string(),
            "part of the event log dropped"
        );
    }
    info!(
        inputs = recovered.inputs,
        incarnation = recovered.incarnation,
        "event log read"
    );
    let now_us = unix_micros(now);
    let elapsed_us = elapsed_us(
        recovered.boot.as_ref(),
        current_boot().as_ref(),
        recovered.last_us,
        now_us,
    );
    PreviousRun {
        folder: None,
        incarnation: recovered.incarnation,
        state: recovered
            .state
            .map(|state| state.rebased_to_clock(now_us, elapsed_us)),
    }
}

/// Time since the last record: the difference in uptime if the machine has not rebooted since, otherwise the difference
/// in wall-clock time, or 0 if the wall clock went back.
fn elapsed_us(
    last_boot: Option<&Boot>,
    current_boot: Option<&Boot>,
    last_us: u64,
    now_us: u64,
) -> u64 {
    match (last_boot, current_boot) {
        (Some(last), Some(current)) if last.id == current.id => {
            current.uptime_us.saturating_sub(last.uptime_us)
        }
        _ => now_us.saturating_sub(last_us),
    }
}

/// The machine's boot id and uptime, or `None` where the system does not provide them.
pub(crate) fn current_boot() -> Option<Boot> {
    let id = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").ok()?;
    let uptime = std::fs::read_to_string("/proc/uptime").ok()?;
    let seconds: f64 = uptime.split_whitespace().next()?.parse().ok()?;
    Some(Boot {
        id: id.trim().into(),
        uptime_us: (seconds * 1e6) as u64,
    })
}
