//! The decisions of a controller that assigns hosts to proxies by shuffle sharding.
//!
//! [`Controller`] takes inputs (endpoint lists, proxies that join and leave, load reports, timers) and gives
//! [`Decision`]s one by one. It does no I/O and reads no clock: each call is given the time, and all randomness comes
//! from the seed, so that the same inputs always give the same decisions.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(clippy::too_many_lines, clippy::wildcard_imports, missing_docs)]

mod config;
mod decide;
mod decision;
mod endpoint;
mod ids;
mod report;
mod state;
mod status;
mod time;

pub use config::{AdmissionMode, DeploymentConfig, RequestClass, RetryPolicy};
pub use decide::Controller;
pub use decision::{Decision, UpdateResult};
pub use endpoint::{Endpoint, EndpointState};
pub use ids::{AckId, CellId, HostId, MachineTypeId, ProxyId, RequestClassId, TableId, ZoneId};
pub use report::{AttemptOutcomes, HostLoad};
pub use status::{HostFailures, LineCounts, StatusSnapshot, Throughput, UpdateQueueStatus};
pub use time::{DurationExt, Time};
