//! A steward's core: inputs in, outputs out. No I/O and no clock, so that a recorded run, played again, gives the
//! same outputs byte for byte.
//!
//! - `wire`: the inputs and outputs, and the events that tell what led to what.
//! - `core`: the core itself: it tells the decision module what happened and carries out what it decides.
//! - `list`: the hosts as the file and the operators have them.
//! - `books`: the tables as the module deals them, and as proxies are to hold them.
//! - `channel`: how much may be sent, and when.
//! - `peer`: one proxy: dialled, looked at, joined, lost.
//! - `round`: sums of all proxies gathered into one look.
//! - `operator`: the runtime API of the steward itself.

mod books;
mod channel;
mod core;
mod list;
mod operator;
mod peer;
mod round;
pub mod wire;

pub use crate::core::Core;
pub use wire::{Event, Input, LoadTold, Output};
