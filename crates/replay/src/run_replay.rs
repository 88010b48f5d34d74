//! The same inputs once more, through the present build: each run from its start, with its own settings and seed. What it
//! decides is compared with what was decided then.

use crate::error::{ReplayError, ReplayFault, ReplayFaultCause};
use crate::record::{Decision, Record, RunStart};
use crate::segments::{self, InputNumbers, InputSequence, SegmentList};
use pondarch_config::{SiteSettings, site_from_json};
use pondarch_controller::Time;
use pondarch_daemon_core::{Core, Input};
use pondarch_event_log::Disk;
use serde::{Serialize, Serializer};
use std::ops::ControlFlow;
use std::time::{Duration, Instant};
use thiserror::Error;

/// The inputs of each run whose decisions are compared. All are replayed, as later ones follow from earlier ones.
#[derive(Clone, Copy, Debug)]
pub struct ComparedInputs {
    /// Number of the first.
    pub from: u64,
    /// Number of the last.
    pub to: u64,
}

impl Default for ComparedInputs {
    fn default() -> ComparedInputs {
        ComparedInputs {
            from: 0,
            to: u64::MAX,
        }
    }
}

/// The first decision that differs.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Number of the input.
    pub number: u64,
    /// Time of the input.
    pub at_us: u64,
    /// The input.
    pub input: Input,
    /// What was decided then; none: nothing more.
    pub recorded: Option<Decision>,
    /// What is decided now; none: nothing more.
    pub replayed: Option<Decision>,
}

/// Why a run could not be replayed to its end.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum ReplayStop {
    /// Its records are damaged.
    #[error("its records are torn")]
    Damaged,
    /// The first input on record is not its first.
    #[error("it begins with input {0}")]
    FirstInput(u64),
    /// Inputs are missing without a record of a gap.
    #[error("inputs {first} to {last} are missing")]
    MissingInputs {
        /// The first that is missing.
        first: u64,
        /// The last that is missing.
        last: u64,
    },
    /// The records say that inputs were not recorded.
    #[error("inputs {first} to {last} were not recorded: {reason}")]
    NotRecorded {
        /// The first that was not recorded.
        first: u64,
        /// The last that was not recorded.
        last: u64,
        /// Why, as the records say.
        reason: String,
    },
}

impl Serialize for ReplayStop {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// One run, replayed.
#[derive(Clone, Debug)]
pub struct RunReplay {
    /// The run.
    pub incarnation: u64,
    /// Name and version of the program that recorded it.
    pub program: String,
    /// Inputs that were replayed.
    pub inputs: u64,
    /// Decisions that they led to.
    pub decisions: u64,
    /// Time from the start of the run to its last input.
    pub recorded_duration: Duration,
    /// Time that the replay took.
    pub replay_duration: Duration,
    /// The first decision that differs; none: all are the same.
    pub difference: Option<Difference>,
    /// Why it could not be replayed to its end.
    pub stopped: Option<ReplayStop>,
}

/// The runs of a folder, replayed.
#[derive(Clone, Debug, Default)]
pub struct FolderReplay {
    /// Those whose start is on record, oldest first.
    pub runs: Vec<RunReplay>,
    /// What could not be read or replayed.
    pub faults: Vec<ReplayFault>,
}

/// Replays all runs of a folder whose start is on record.
///
/// # Errors
///
/// The folder cannot be read, or the settings of a run are not valid.
pub fn replay(disk: &impl Disk, compared: ComparedInputs) -> Result<FolderReplay, ReplayError> {
    let SegmentList {
        segments,
        mut faults,
    } = segments::list(disk)?;
    if segments.is_empty() {
        return Err(ReplayError::NoRecords);
    }
    let mut replayer = FolderReplayer {
        compared,
        runs: Vec::new(),
        current: None,
        run_without_start: None,
    };
    for segment in &segments {
        let incarnation = segment.header.incarnation;
        let faults_before = faults.len();
        let mut result = Ok(());
        segments::read(disk, segment, &mut faults, |record| {
            result = replayer.apply(incarnation, record);
            match result {
                Ok(()) => ControlFlow::Continue(()),
                Err(_) => ControlFlow::Break(()),
            }
        })?;
        result?;
        if faults.len() > faults_before {
            replayer.stop_current(ReplayStop::Damaged);
        }
        if let Some(incarnation) = replayer.run_without_start.take() {
            faults.push(ReplayFault {
                file: segment.file.clone(),
                cause: ReplayFaultCause::NoStart(incarnation),
            });
        }
    }
    replayer.end_current();
    Ok(FolderReplay {
        runs: replayer.runs,
        faults,
    })
}

/// Replays the runs of a folder one after the other.
struct FolderReplayer {
    compared: ComparedInputs,
    runs: Vec<RunReplay>,
    current: Option<RunReplayer>,
    /// A run of which there was a record without its start.
    run_without_start: Option<u64>,
}

impl FolderReplayer {
    fn apply(&mut self, incarnation: u64, record: Record) -> Result<(), ReplayError> {
        if let Record::Start(start) = record {
            self.end_current();
            self.current = Some(RunReplayer::start(&start)?);
            return Ok(());
        }
        let current = self.current.as_mut();
        match current.filter(|run| run.report.incarnation == incarnation) {
            Some(run) => run.apply(record, self.compared),
            None => self.run_without_start = Some(incarnation),
        }
        Ok(())
    }

    fn stop_current(&mut self, reason: ReplayStop) {
        if let Some(run) = &mut self.current {
            run.report.stopped.get_or_insert(reason);
        }
    }

    fn end_current(&mut self) {
        self.runs.extend(self.current.take().map(RunReplayer::end));
    }
}

/// An input that was replayed and whose decisions are still to be compared.
struct ReplayedInput {
    number: u64,
    at_us: u64,
    input: Input,
    decisions: Vec<Decision>,
}

/// Replays one run.
struct RunReplayer {
    core: Core,
    report: RunReplay,
    started: Instant,
    start_us: u64,
    last: Option<ReplayedInput>,
    sequence: InputSequence,
}

impl RunReplayer {
    fn start(start: &RunStart) -> Result<RunReplayer, ReplayError> {
        let site: SiteSettings = site_from_json(&start.settings).map_err(ReplayError::Settings)?;
        let at = Time::from_micros(start.at_us);
        Ok(RunReplayer {
            core: Core::new(&site, start.seed, start.process, start.incarnation, at),
            report: RunReplay {
                incarnation: start.incarnation,
                program: start.program.clone(),
                inputs: 0,
                decisions: 0,
                recorded_duration: Duration::ZERO,
                replay_duration: Duration::ZERO,
                difference: None,
                stopped: None,
            },
            started: Instant::now(),
            start_us: start.at_us,
            last: None,
            sequence: InputSequence::default(),
        })
    }

    fn apply(&mut self, record: Record, compared: ComparedInputs) {
        if self.report.stopped.is_some() {
            return;
        }
        match record {
            Record::Start(_) => {}
            Record::Input {
                number,
                at_us,
                input,
            } => {
                // An input without a record of decisions decided nothing.
                self.compare(&[], compared);
                self.report.stopped = self.apply_input(number, at_us, input).err();
            }
            Record::Decided { number, decisions } => {
                if self.last.as_ref().is_some_and(|last| last.number == number) {
                    self.compare(&decisions, compared);
                }
            }
            Record::Gap {
                first,
                last,
                reason,
            } => {
                self.report.stopped = Some(ReplayStop::NotRecorded {
                    first,
                    last,
                    reason,
                });
            }
        }
    }

    fn apply_input(&mut self, number: u64, at_us: u64, input: Input) -> Result<(), ReplayStop> {
        if self.report.inputs == 0 && number != 1 {
            return Err(ReplayStop::FirstInput(number));
        }
        if let Some(InputNumbers { first, last }) =
            self.sequence.record_input(self.report.incarnation, number)
        {
            return Err(ReplayStop::MissingInputs { first, last });
        }
        self.report.inputs += 1;
        self.report.recorded_duration = Duration::from_micros(at_us.saturating_sub(self.start_us));
        self.core.handle(Time::from_micros(at_us), input.clone());
        let decisions: Vec<Decision> = std::iter::from_fn(|| self.core.next_output())
            .map(Decision::of)
            .collect();
        self.report.decisions += decisions.len() as u64;
        self.last = Some(ReplayedInput {
            number,
            at_us,
            input,
            decisions,
        });
        Ok(())
    }

    /// Compares what the last input led to with the record of it.
    fn compare(&mut self, recorded: &[Decision], compared: ComparedInputs) {
        let Some(last) = self.last.take() else {
            return;
        };
        if self.report.difference.is_some()
            || last.number < compared.from
            || last.number > compared.to
            || recorded == last.decisions
        {
            return;
        }
        let same = recorded
            .iter()
            .zip(&last.decisions)
            .take_while(|(recorded, replayed)| recorded == replayed)
            .count();
        self.report.difference = Some(Difference {
            number: last.number,
            at_us: last.at_us,
            input: last.input,
            recorded: recorded.get(same).cloned(),
            replayed: last.decisions.get(same).cloned(),
        });
    }

    fn end(mut self) -> RunReplay {
        // The record of the last input's decisions may be the one thing that was torn off: without one there is nothing
        // to compare, whether that input decided something or not.
        self.report.replay_duration = self.started.elapsed();
        self.report
    }
}
