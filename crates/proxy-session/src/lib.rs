//! What a steward and one front proxy say to each other over the runtime API. No I/O and no clock: a session is
//! given answers and gives lines to write.
//!
//! - `units`: a table's weights as whole numbers from 1 to 256.
//! - `table`: what a proxy should hold and what it holds.
//! - `order`: the commands that lead from one to the other, in an order that is safe wherever it is cut off.
//! - `sums`: counters of `show stat` turned into what was met since the last look.
//! - `session`: the course of one connection.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(clippy::too_many_lines, missing_docs)]

pub mod order;
pub mod session;
pub mod sums;
pub mod table;
pub mod units;

pub use order::{Batch, Urgency};
pub use session::{FrontError, Session, Told};
pub use table::{Front, FrontKind, Held, Lines, Wanted, WantedLine};
