//! Recovers the state that a restarted controller needs, from the newest intact snapshot and the inputs recorded after
//! it. The inputs that change the recovered state are handled by a core whose outputs are dropped.

use crate::error::{ReplayError, ReplayFault, ReplayFaultCause};
use crate::record::{Boot, Decision, Record, Snapshot};
use crate::segments::{self, InputNumbers, InputSequence, SegmentList, StoredSegment};
use pondarch_config::SiteSettings;
use pondarch_controller::Time;
use pondarch_daemon_core::{Core, Input, Output, RecoveredState};
use pondarch_event_log::{Disk, Frame, frame, list_file_names};
use std::ops::ControlFlow;

/// The result of recovery.
#[derive(Debug, Default)]
pub struct Recovery {
    /// The highest incarnation of any run; the next run must use a higher one.
    pub incarnation: u64,
    /// Time of the last record, in microseconds since the Unix epoch.
    pub last_us: u64,
    /// Monotonic clock of the machine at that time.
    pub boot: Option<Boot>,
    /// The recovered state; `None` if no state was recorded.
    pub state: Option<RecoveredState>,
    /// Number of inputs that were applied after the snapshot.
    pub inputs: usize,
    /// Parts of the event log that could not be read.
    pub faults: Vec<ReplayFault>,
}

/// Recovers the state from a folder, for a deployment with these settings.
///
/// # Errors
///
/// The folder cannot be read at all. Damaged or missing parts are reported in `faults` instead.
pub fn recover(disk: &impl Disk, site: &SiteSettings) -> Result<Recovery, ReplayError> {
    let SegmentList {
        segments,
        mut faults,
    } = segments::list(disk)?;
    let incarnations = segments.iter().map(|segment| segment.header.incarnation);
    let mut incarnation = incarnations.max().unwrap_or(0);
    let snapshot = newest_snapshot(disk, &mut faults)?;
    if let Some(snapshot) = &snapshot {
        incarnation = incarnation.max(snapshot.incarnation);
    }
    let mut recoverer = Recoverer::start(site, snapshot);
    let from = recoverer.from;
    for segment in segments_after(&segments, from) {
        let mut damaged = Vec::new();
        segments::read(disk, segment, &mut damaged, |record| {
            recoverer.apply(segment, record);
            ControlFlow::Continue(())
        })?;
        faults.append(&mut recoverer.missing);
        faults.append(&mut damaged);
    }
    Ok(recoverer.finish(incarnation, faults))
}

/// Returns the newest intact snapshot, and adds damaged ones that are newer to `faults`.
fn newest_snapshot(
    disk: &impl Disk,
    faults: &mut Vec<ReplayFault>,
) -> Result<Option<Snapshot>, ReplayError> {
    for file in list_file_names(disk)?.snapshots.into_iter().rev() {
        let cause = match frame::read(&disk.read(&file)?) {
            Ok(Some(Frame { record, .. })) => match Snapshot::from_bytes(&record) {
                Some(snapshot) => return Ok(Some(snapshot)),
                None => ReplayFaultCause::UnknownSnapshot,
            },
            Ok(None) => ReplayFaultCause::EmptySnapshot,
            Err(error) => ReplayFaultCause::DamagedSnapshot(error),
        };
        faults.push(ReplayFault { file, cause });
    }
    Ok(None)
}

/// The position of an input in the event log. Ordered by time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct InputPosition {
    incarnation: u64,
    number: u64,
}

/// Returns the segments that may have records after this input.
fn segments_after(
    segments: &[StoredSegment],
    from: InputPosition,
) -> impl Iterator<Item = &StoredSegment> {
    let precedes = move |index: usize, header: &pondarch_event_log::SegmentHeader| {
        // All records of the segment precede the input's successor if it belongs to an older run, or if the next
        // segment of the run begins no later than that successor.
        let next_covers_successor = || {
            segments.get(index + 1).is_some_and(|next| {
                next.header.incarnation == from.incarnation
                    && next.header.first_input <= from.number + 1
            })
        };
        header.incarnation < from.incarnation
            || header.incarnation == from.incarnation && next_covers_successor()
    };
    segments
        .iter()
        .enumerate()
        .filter(move |(index, segment)| !precedes(*index, &segment.header))
        .map(|(_, segment)| segment)
}

/// Applies the records after a snapshot one by one.
struct Recoverer<'a> {
    site: &'a SiteSettings,
    /// Handles the inputs; its outputs are dropped.
    core: Core,
    /// The last input that the snapshot includes.
    from: InputPosition,
    /// Whether a snapshot or an input has provided any state.
    has_state: bool,
    last_us: u64,
    /// Monotonic clock of the machine, and the time in microseconds at which it was read.
    boot_at: Option<(Boot, u64)>,
    inputs: usize,
    sequence: InputSequence,
    /// The zone serial that the recorded runs last published.
    serial: Option<u32>,
    /// Missing inputs in the current segment.
    missing: Vec<ReplayFault>,
}

impl<'a> Recoverer<'a> {
    fn start(site: &'a SiteSettings, snapshot: Option<Snapshot>) -> Recoverer<'a> {
        let at_us = snapshot.as_ref().map_or(0, |snapshot| snapshot.at_us);
        let mut recoverer = Recoverer {
            site,
            core: scratch_core(site, at_us),
            from: InputPosition::default(),
            has_state: false,
            last_us: 0,
            boot_at: None,
            inputs: 0,
            sequence: InputSequence::default(),
            serial: None,
            missing: Vec::new(),
        };
        if let Some(snapshot) = snapshot {
            recoverer.from = InputPosition {
                incarnation: snapshot.incarnation,
                number: snapshot.number,
            };
            recoverer.has_state = true;
            recoverer.last_us = at_us;
            recoverer.boot_at = snapshot.boot.map(|boot| (boot, at_us));
            recoverer.handle_input(at_us, Input::Recovered(Box::new(snapshot.state)));
            if recoverer.from != InputPosition::default() {
                recoverer
                    .sequence
                    .observe_gap(snapshot.incarnation, snapshot.number);
            }
        }
        recoverer
    }

    fn handle_input(&mut self, at_us: u64, input: Input) {
        self.core.handle(Time::from_micros(at_us), input);
        while self.core.next_output().is_some() {}
    }

    fn apply(&mut self, segment: &StoredSegment, record: Record) {
        let incarnation = segment.header.incarnation;
        let is_new = |number| {
            let position = InputPosition {
                incarnation,
                number,
            };
            position > self.from
        };
        match record {
            // Skips the start of the snapshot's own run, which is older than the snapshot.
            Record::Start(start) if is_new(1) => {
                self.boot_at = start.boot.map(|boot| (boot, start.at_us));
                self.last_us = start.at_us;
            }
            Record::Input {
                number,
                at_us,
                input,
            } if is_new(number) => {
                if let Some(InputNumbers { first, last }) =
                    self.sequence.observe_input(incarnation, number)
                {
                    self.add_missing(segment, ReplayFaultCause::MissingInputs { first, last });
                }
                self.apply_input(at_us, input);
            }
            Record::Decided { number, decisions } if is_new(number) => {
                self.apply_decisions(&decisions);
            }
            Record::Gap {
                first,
                last,
                reason,
            } if is_new(last) => {
                self.sequence.observe_gap(incarnation, last);
                self.add_missing(
                    segment,
                    ReplayFaultCause::NotRecorded {
                        first,
                        last,
                        reason,
                    },
                );
            }
            _ => {}
        }
    }

    fn add_missing(&mut self, segment: &StoredSegment, cause: ReplayFaultCause) {
        self.missing.push(ReplayFault {
            file: segment.file.clone(),
            cause,
        });
    }

    fn apply_input(&mut self, at_us: u64, input: Input) {
        self.last_us = at_us;
        if !input.changes_recovered_state() {
            return;
        }
        if matches!(input, Input::Recovered(_)) {
            // A later run began with this state, which includes all that this core knew.
            self.core = scratch_core(self.site, at_us);
        }
        self.inputs += 1;
        self.has_state = true;
        self.handle_input(at_us, input);
    }

    /// Takes the zone serial from the recorded decisions, because this core would derive another one.
    fn apply_decisions(&mut self, decisions: &[Decision]) {
        let mut serials = decisions
            .iter()
            .rev()
            .filter_map(|decision| match decision {
                Decision::Output(Output::DnsViewChanged { serial }) => Some(*serial),
                _ => None,
            });
        self.serial = serials.next().or(self.serial);
    }

    fn finish(self, incarnation: u64, faults: Vec<ReplayFault>) -> Recovery {
        let last_us = self.last_us;
        let boot = self.boot_at.map(|(boot, at_us)| Boot {
            uptime_us: boot.uptime_us + last_us.saturating_sub(at_us),
            id: boot.id,
        });
        let state = self.has_state.then(|| self.core.state_to_recover());
        Recovery {
            incarnation,
            last_us,
            boot,
            state: state.map(|state| RecoveredState {
                at_us: last_us,
                dns_serial: self
                    .serial
                    .unwrap_or(state.dns_serial)
                    .max(state.dns_serial),
                ..state
            }),
            inputs: self.inputs,
            faults,
        }
    }
}

/// Creates a core whose outputs are dropped; its seed, process ID and incarnation are placeholders.
fn scratch_core(site: &SiteSettings, at_us: u64) -> Core {
    Core::new(site, 0, 0, 0, Time::from_micros(at_us))
}
