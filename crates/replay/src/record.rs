//! What is recorded of a run, as bytes: MessagePack with the fields' names, so that fields that are added harm no reader.

use pondarch_daemon_core::{Input, Output, RecoveredState};
use serde::{Deserialize, Serialize};

/// The machine's own count of time, which no setting of its clock moves: which start of the machine, and how long ago.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Boot {
    pub id: String,
    pub up_us: u64,
}

/// How a run began: with the same, and the inputs that follow, it can be played again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    pub program: String,
    /// The settings, evaluated, as JSON.
    pub settings: String,
    pub seed: u64,
    pub process: u32,
    pub epoch: u64,
    pub at_us: u64,
    pub boot: Option<Boot>,
}

/// One thing that the core gave out. Texts for operators and problems for the solver are known by their checksum alone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    Output(Output),
    Reply { caller: u64, crc: u32 },
    Solve { number: u64, crc: u32 },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    Start(Box<Start>),
    /// The n-th input of the run.
    Input {
        n: u64,
        at_us: u64,
        input: Input,
    },
    /// What the core gave out for it, in order; nothing: no record.
    Decided {
        n: u64,
        decisions: Vec<Decision>,
    },
    /// These inputs, and what was decided by them, were not recorded.
    Gap {
        first: u64,
        last: u64,
        why: String,
    },
}

/// What was known after an input.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    pub epoch: u64,
    pub n: u64,
    pub at_us: u64,
    pub boot: Option<Boot>,
    pub known: RecoveredState,
}

impl Decision {
    pub fn of(output: Output) -> Decision {
        match output {
            Output::Reply { caller, text } => Decision::Reply {
                caller,
                crc: crc32fast::hash(text.as_bytes()),
            },
            Output::Solve { number, fleet } => {
                let bytes = rmp_serde::to_vec(&fleet).unwrap_or_default();
                Decision::Solve {
                    number,
                    crc: crc32fast::hash(&bytes),
                }
            }
            other => Decision::Output(other),
        }
    }
}

impl Record {
    /// Empty if it cannot be written, which no record is: lengths are known and keys are texts.
    pub fn bytes(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).unwrap_or_default()
    }

    /// None: it is no record that this program knows.
    pub fn read(bytes: &[u8]) -> Option<Record> {
        rmp_serde::from_slice(bytes).ok()
    }
}

impl Snapshot {
    pub fn bytes(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).unwrap_or_default()
    }

    pub fn read(bytes: &[u8]) -> Option<Snapshot> {
        rmp_serde::from_slice(bytes).ok()
    }
}
