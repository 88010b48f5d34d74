//! Answers to DNS queries from tables. Packets in, packets out; no I/O and no clock.
//!
//! - `zone`: which names there are, and what is asked by them.
//! - `view`: the tables as they are to be answered.
//! - `answer`, `reply`: from one packet to the next, and who asked.
//! - `ask`: the asking side.
//! - `fit`: an answer within the size that there is room for.
//! - `rows`, `journal`, `transfer`, `keys`: copies of the zone for secondaries, whole and by differences, signed.
//! - `fetch`: the secondary's side of that.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(clippy::too_many_lines, elided_lifetimes_in_paths, missing_docs)]

mod answer;
pub mod ask;
pub mod fetch;
mod fit;
mod journal;
mod keys;
mod reply;
mod rows;
mod transfer;
mod view;
mod zone;

pub use answer::Answerer;
pub use keys::{Key, KeyError};
pub use reply::{Reply, Transport};
pub use rows::{Row, rows};
pub use transfer::Copies;
pub use view::{Line, STANDING, View};
pub use zone::{Asks, Of, Zone, ZoneError};
