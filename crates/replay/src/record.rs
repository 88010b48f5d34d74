//! What is recorded of a run, as bytes: MessagePack with the fields' names, so that a reader ignores fields that were
//! added later. The names in the bytes are pinned: they never follow a name in the code.

use pondarch_daemon_core::{Input, Output, RecoveredState};
use serde::{Deserialize, Serialize};

/// The machine's own count of time, which no setting of its clock changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Boot {
    /// Names this start of the machine.
    pub id: String,
    /// Time since that start.
    #[serde(rename = "up_us")]
    pub uptime_us: u64,
}

/// How a run began: with the same, and the inputs that follow, it can be replayed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunStart {
    /// Name and version of the program.
    pub program: String,
    /// The settings, evaluated, as JSON.
    pub settings: String,
    /// Seed of the random draws.
    pub seed: u64,
    /// Process ID.
    pub process: u32,
    /// Names the run: higher than that of any run before it.
    #[serde(rename = "epoch")]
    pub incarnation: u64,
    /// When it began, in microseconds since 1970.
    pub at_us: u64,
    /// The machine's own count at that time.
    pub boot: Option<Boot>,
}

/// One output of the core. Texts for operators and problems for the solver are recorded by their checksum alone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// Any other output.
    Output(Output),
    /// An answer to an operator.
    Reply {
        /// Which command it answers.
        caller: u64,
        /// CRC-32 of its text.
        #[serde(rename = "crc")]
        checksum: u32,
    },
    /// A problem for the weight solver.
    Solve {
        /// Its number.
        number: u64,
        /// CRC-32 of the problem as MessagePack without names: the order of its fields counts.
        #[serde(rename = "crc")]
        checksum: u32,
    },
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The start of a run.
    Start(Box<RunStart>),
    /// An input of the run.
    Input {
        /// Its number, from 1 on.
        #[serde(rename = "n")]
        number: u64,
        /// When the core took it.
        at_us: u64,
        /// The input.
        input: Input,
    },
    /// The outputs that an input led to, in order. Without outputs there is no such record.
    Decided {
        /// Number of the input.
        #[serde(rename = "n")]
        number: u64,
        /// The outputs.
        decisions: Vec<Decision>,
    },
    /// These inputs and what they led to were not recorded.
    Gap {
        /// Number of the first.
        first: u64,
        /// Number of the last.
        last: u64,
        /// Why they were not recorded.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// The state after an input, as far as it outlives the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The run.
    #[serde(rename = "epoch")]
    pub incarnation: u64,
    /// Number of the last input before it.
    #[serde(rename = "n")]
    pub number: u64,
    /// When it was taken.
    pub at_us: u64,
    /// The machine's own count at that time.
    pub boot: Option<Boot>,
    /// The state.
    #[serde(rename = "known")]
    pub state: RecoveredState,
}

impl Decision {
    /// What is recorded of an output.
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
    /// As bytes; empty if it cannot be encoded, which does not happen: lengths are known and keys are texts.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).unwrap_or_default()
    }

    /// From bytes; none: it is no record that this program knows.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Record> {
        rmp_serde::from_slice(bytes).ok()
    }
}

impl Snapshot {
    /// As bytes; empty if it cannot be encoded, which does not happen: lengths are known and keys are texts.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).unwrap_or_default()
    }

    /// From bytes; none: it is no snapshot that this program knows.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Snapshot> {
        rmp_serde::from_slice(bytes).ok()
    }
}
