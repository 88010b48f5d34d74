//! Ingestion of load reports: which reports count, how old they are, how much old ones weigh, which hosts' outcomes are
//! passed on within a budget, and which hosts cannot be judged while reporters are silent. No I/O and no clock.
//!
//! - `sequence`: late, duplicate, missing and restarted reports of one sender.
//! - `clock_offset`: the time a report was sent by the controller's clock, with its error bounds.
//! - `decay`: the weight of evidence by its age.
//! - `selection`: which hosts' outcomes are passed on within a budget of lines.
//! - `liveness`: silent proxies, and the hosts that only they observe.
//! - `memory`: memory use by purpose, with limits.

pub mod clock_offset;
pub mod decay;
pub mod liveness;
pub mod memory;
pub mod selection;
pub mod sequence;

pub use clock_offset::{ClockOffset, SendTime};
pub use liveness::ReporterLiveness;
pub use memory::{MemoryAccounting, Purpose};
pub use selection::{Candidate, HostSelector};
pub use sequence::{Arrival, ReportSequence};
