//! What a steward that starts again must know: the newest snapshot that is whole, and what was recorded after it. The
//! remembered inputs of that tail go through a core, as they did then; nothing of its outputs is carried out.

use crate::record::{Boot, Decision, Record, Snapshot};
use crate::runs::{self, Flaw, HistoryError, Numbers, Place};
use pondarch_config::Site;
use pondarch_controller::Time;
use pondarch_daemon_core::{Core, Input, Output, RecoveredState};
use pondarch_event_log::{Disk, frame, list_file_names};

/// What was found.
#[derive(Debug, Default)]
pub struct Recovery {
    /// The highest of any run; the next one's must be higher.
    pub epoch: u64,
    /// Time of the last record, and the machine's own count at it.
    pub last_us: u64,
    pub boot: Option<Boot>,
    /// None: nothing was known.
    pub known: Option<RecoveredState>,
    /// Inputs of the tail that were taken.
    pub inputs: usize,
    /// What was dropped, and why.
    pub flaws: Vec<Flaw>,
}

/// Reads a folder for a site with these settings.
///
/// Errors: the folder cannot be read at all. What is torn or missing is told in `flaws`.
pub fn recover(disk: &impl Disk, site: &Site) -> Result<Recovery, HistoryError> {
    let (places, flaws) = runs::places(disk)?;
    let mut found = Recovery {
        flaws,
        ..Recovery::default()
    };
    found.epoch = places
        .iter()
        .map(|place| place.head.incarnation)
        .max()
        .unwrap_or(0);
    let snapshot = newest_snapshot(disk, &mut found)?;
    let from = snapshot
        .as_ref()
        .map_or((0, 0), |snapshot| (snapshot.epoch, snapshot.n));
    let at = Time::from_micros(snapshot.as_ref().map_or(0, |snapshot| snapshot.at_us));
    // Its own chance and marks are nobody's: what it decides is not carried out.
    let mut core = Core::new(site, 0, 0, 0, at);
    let mut knows = false;
    if let Some(Snapshot {
        at_us, boot, known, ..
    }) = snapshot
    {
        (found.last_us, found.boot, knows) = (at_us, boot, true);
        give(&mut core, at, Input::Recovered(Box::new(known)));
    }
    let mut numbers = Numbers::default();
    if from != (0, 0) {
        numbers.gap(from.0, from.1);
    }
    let mut serial = None;
    let mut boot_at: Option<(Boot, u64)> = found.boot.clone().map(|boot| (boot, found.last_us));
    for place in after(&places, from) {
        let (epoch, name) = (place.head.incarnation, place.name.clone());
        let mut torn = Vec::new();
        let mut missing = Vec::new();
        runs::read(disk, place, &mut torn, |_, record| {
            match record {
                // That of the snapshot's own run is older than the snapshot.
                Record::Start(start) if (epoch, 1) > from => {
                    boot_at = start.boot.map(|boot| (boot, start.at_us));
                    found.last_us = start.at_us;
                }
                Record::Input { n, at_us, input } if (epoch, n) > from => {
                    if let Some((first, last)) = numbers.missing(epoch, n) {
                        let what =
                            format!("inputs {first} to {last} of the run before it are missing");
                        missing.push(Flaw {
                            name: name.clone(),
                            what,
                        });
                    }
                    found.last_us = at_us;
                    if input.changes_recovered_state() {
                        if matches!(input, Input::Recovered(_)) {
                            // Another run began with all that was known: what a scratch core had is in it.
                            core = Core::new(site, 0, 0, 0, Time::from_micros(at_us));
                        }
                        (found.inputs, knows) = (found.inputs + 1, true);
                        give(&mut core, Time::from_micros(at_us), input);
                    }
                }
                // The zone's serial is what the run gave out, not what a scratch core comes to.
                Record::Decided { n, decisions } if (epoch, n) > from => {
                    let mut views = decisions
                        .iter()
                        .rev()
                        .filter_map(|decision| match decision {
                            Decision::Output(Output::DnsViewChanged { serial }) => Some(*serial),
                            _ => None,
                        });
                    serial = views.next().or(serial);
                }
                Record::Gap { first, last, why } if (epoch, last) > from => {
                    numbers.gap(epoch, last);
                    let what = format!("inputs {first} to {last} were not recorded: {why}");
                    missing.push(Flaw {
                        name: name.clone(),
                        what,
                    });
                }
                _ => {}
            }
            true
        })?;
        found.flaws.extend(missing);
        found.flaws.extend(torn);
    }
    found.boot = boot_at.map(|(boot, at_us)| {
        let up_us = boot.up_us + found.last_us.saturating_sub(at_us);
        Boot { up_us, ..boot }
    });
    found.known = knows
        .then(|| core.state_to_recover())
        .map(|known| RecoveredState {
            at_us: found.last_us,
            dns_serial: serial.unwrap_or(known.dns_serial).max(known.dns_serial),
            ..known
        });
    Ok(found)
}

fn give(core: &mut Core, at: Time, input: Input) {
    core.handle(at, input);
    while core.next_output().is_some() {}
}

fn newest_snapshot(
    disk: &impl Disk,
    found: &mut Recovery,
) -> Result<Option<Snapshot>, HistoryError> {
    for name in list_file_names(disk)?.snapshots.into_iter().rev() {
        let read = frame::read(&disk.read(&name)?);
        let snapshot = match read {
            Ok(Some(frame::Frame { record, .. })) => {
                Snapshot::read(&record).ok_or("it is of no kind that this program knows".into())
            }
            Ok(None) => Err("it is empty".to_string()),
            Err(wrong) => Err(wrong.to_string()),
        };
        match snapshot {
            Ok(snapshot) => {
                found.epoch = found.epoch.max(snapshot.epoch);
                return Ok(Some(snapshot));
            }
            Err(what) => found.flaws.push(Flaw { name, what }),
        }
    }
    Ok(None)
}

/// The segments that may hold records after this input of this run.
fn after(places: &[Place], from: (u64, u64)) -> impl Iterator<Item = &Place> {
    let is_over = move |(n, place): (usize, &Place)| {
        let next = places.get(n + 1);
        // Wholly before it: of an older run, or the next one of the run begins by then.
        place.head.incarnation < from.0
            || place.head.incarnation == from.0
                && next.is_some_and(|next| {
                    next.head.incarnation == from.0 && next.head.first_input <= from.1 + 1
                })
    };
    places
        .iter()
        .enumerate()
        .filter(move |of| !is_over(*of))
        .map(|(_, place)| place)
}
