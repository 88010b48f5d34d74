//! The records of a run and their encoding: MessagePack with field names, so that a reader ignores fields that were
//! added later. The names in the encoded form are fixed; a renamed type or field keeps its stored name by an attribute.

use pondarch_daemon_core::{Input, Output, RecoveredState};
use serde::{Deserialize, Serialize};

/// A reading of the machine's monotonic clock, which is not affected by changes of the wall clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Boot {
    /// Boot ID of the machine.
    pub id: String,
    /// Time since the machine booted.
    #[serde(rename = "up_us")]
    pub uptime_us: u64,
}

/// The start of a run. A run can be replayed from it and from the inputs that follow.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunStart {
    /// Name and version of the program.
    pub program: String,
    /// Evaluated settings, as JSON.
    pub settings: String,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Process ID.
    pub process: u32,
    /// Incarnation, which identifies the run; higher than that of any earlier run.
    #[serde(rename = "epoch")]
    pub incarnation: u64,
    /// Start of the run, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Monotonic clock of the machine at the start.
    pub boot: Option<Boot>,
}

/// One output of the core. Replies to operators and problems for the weight solver are recorded as checksums only.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// Any output other than a reply or a problem for the solver.
    Output(Output),
    /// A reply to an operator.
    Reply {
        /// ID of the caller whose command it answers.
        caller: u64,
        /// CRC-32 of the text.
        #[serde(rename = "crc")]
        checksum: u32,
    },
    /// A problem for the weight solver.
    Solve {
        /// Number of the problem.
        number: u64,
        /// CRC-32 of the problem encoded as MessagePack without names, so it depends on the order of the fields.
        #[serde(rename = "crc")]
        checksum: u32,
    },
}

/// An entry of the event log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The start of a run.
    Start(Box<RunStart>),
    /// An input of the core.
    Input {
        /// Number within the run, from 1.
        #[serde(rename = "n")]
        number: u64,
        /// Time at which the core handled the input, in microseconds since the Unix epoch.
        at_us: u64,
        /// The input.
        input: Input,
    },
    /// The outputs of an input, in order. An input without outputs has no such record.
    Decided {
        /// Number of the input.
        #[serde(rename = "n")]
        number: u64,
        /// Recorded outputs.
        decisions: Vec<Decision>,
    },
    /// Inputs that were not recorded, nor were their outputs.
    Gap {
        /// Number of the first input.
        first: u64,
        /// Number of the last input.
        last: u64,
        /// The reason why they were not recorded.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// A snapshot of the state that a restarted controller recovers, taken after an input.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Incarnation of the run.
    #[serde(rename = "epoch")]
    pub incarnation: u64,
    /// Number of the last input that the snapshot includes.
    #[serde(rename = "n")]
    pub number: u64,
    /// Time of the snapshot, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Monotonic clock of the machine at that time.
    pub boot: Option<Boot>,
    /// State to recover.
    #[serde(rename = "known")]
    pub state: RecoveredState,
}

impl Decision {
    /// Returns the recorded form of an output.
    #[must_use]
    pub fn from_output(output: Output) -> Decision {
        match output {
            Output::Reply { caller, text } => Decision::Reply {
                caller,
                checksum: crc32fast::hash(text.as_bytes()),
            },
            Output::Solve { number, fleet } => {
                let bytes = rmp_serde::to_vec(&fleet).unwrap_or_default();
                Decision::Solve {
                    number,
                    checksum: crc32fast::hash(&bytes),
                }
            }
            other => Decision::Output(other),
        }
    }
}

impl Record {
    /// Encodes to bytes. The result would be empty on an encoding error, which cannot occur: all lengths are known and
    /// all keys are strings.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).unwrap_or_default()
    }

    /// Decodes from bytes; returns `None` if this program does not know the record.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Record> {
        rmp_serde::from_slice(bytes).ok()
    }
}

impl Snapshot {
    /// Encodes to bytes. The result would be empty on an encoding error, which cannot occur: all lengths are known and
    /// all keys are strings.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).unwrap_or_default()
    }

    /// Decodes from bytes; returns `None` if this program does not know the snapshot.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Snapshot> {
        rmp_serde::from_slice(bytes).ok()
    }
}
