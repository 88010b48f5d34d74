//! Replays the recorded inputs through the current build, each run from its start with its own settings and seed, and
//! compares the decisions with the recorded ones.

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

/// The range of inputs whose decisions are compared, for each run. All inputs are replayed, because later decisions
/// depend on earlier inputs.
#[derive(Clone, Copy, Debug)]
pub struct ComparedInputs {
    /// Number of the first input.
    pub from: u64,
    /// Number of the last input.
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

/// The first decision of a run that differs from the recorded one.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Number of the input.
    pub number: u64,
    /// Time of the input, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// The input.
    pub input: Input,
    /// The recorded decision; `None` if the recorded decisions of the input end before it.
    pub recorded: Option<Decision>,
    /// The replayed decision; `None` if the replayed decisions of the input end before it.
    pub replayed: Option<Decision>,
}

/// The reason why a run could not be replayed to its end. Its text is part of the output of `pondarch replay`.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum ReplayStop {
    /// The records of the run are damaged.
    #[error("its records are torn")]
    Damaged,
    /// The first recorded input, with this number, is not the first input of the run.
    #[error("it begins with input {0}")]
    FirstInput(u64),
    /// Inputs are missing without a gap record.
    #[error("inputs {first} to {last} are missing")]
    MissingInputs {
        /// Number of the first missing input.
        first: u64,
        /// Number of the last missing input.
        last: u64,
    },
    /// A gap record says that inputs were not recorded.
    #[error("inputs {first} to {last} were not recorded: {reason}")]
    NotRecorded {
        /// Number of the first input that was not recorded.
        first: u64,
        /// Number of the last input that was not recorded.
        last: u64,
        /// The reason, from the gap record.
        reason: String,
    },
}

impl Serialize for ReplayStop {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// The result of replaying one run.
#[derive(Clone, Debug)]
pub struct RunReplay {
    /// Incarnation of the run.
    pub incarnation: u64,
    /// Name and version of the program that recorded it.
    pub program: String,
    /// Number of replayed inputs.
    pub inputs: u64,
    /// Number of decisions of the replayed inputs.
    pub decisions: u64,
    /// Time from the start of the run to its last input.
    pub recorded_duration: Duration,
    /// Duration of the replay.
    pub replay_duration: Duration,
    /// The first decision that differs; `None` if all compared decisions are equal.
    pub difference: Option<Difference>,
    /// The reason why the run could not be replayed to its end.
    pub stopped: Option<ReplayStop>,
}

/// The result of replaying all runs of a folder.
#[derive(Clone, Debug, Default)]
pub struct FolderReplay {
    /// Runs whose start is in the event log, oldest first.
    pub runs: Vec<RunReplay>,
    /// Parts of the event log that could not be read or replayed.
    pub faults: Vec<ReplayFault>,
}

/// Replays all runs of a folder whose start is in the event log.
///
/// # Errors
///
/// The folder cannot be read, has no segments, or the settings of a run are not valid.
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

/// Replays the runs of a folder one after another.
struct FolderReplayer {
    compared: ComparedInputs,
    runs: Vec<RunReplay>,
    current: Option<RunReplayer>,
    /// Incarnation of a run in the current segment that has records, but no start.
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

/// A replayed input whose decisions have not been compared yet.
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
                // The previous input had no record of decisions, so it led to none.
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
            self.sequence.observe_input(self.report.incarnation, number)
        {
            return Err(ReplayStop::MissingInputs { first, last });
        }
        self.report.inputs += 1;
        self.report.recorded_duration = Duration::from_micros(at_us.saturating_sub(self.start_us));
        self.core.handle(Time::from_micros(at_us), input.clone());
        let decisions: Vec<Decision> = std::iter::from_fn(|| self.core.next_output())
            .map(Decision::from_output)
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

    /// Compares the decisions of the last input with the recorded ones.
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
        let equal_count = recorded
            .iter()
            .zip(&last.decisions)
            .take_while(|(recorded, replayed)| recorded == replayed)
            .count();
        self.report.difference = Some(Difference {
            number: last.number,
            at_us: last.at_us,
            input: last.input,
            recorded: recorded.get(equal_count).cloned(),
            replayed: last.decisions.get(equal_count).cloned(),
        });
    }

    fn end(mut self) -> RunReplay {
        // A last input without a record of decisions is not compared: it may have led to none, or the record may have
        // been torn off.
        self.report.replay_duration = self.started.elapsed();
        self.report
    }
}
