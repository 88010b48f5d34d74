//! Decision logic of a controller that assigns hosts to proxies by shuffle sharding.
//!
//! [`Controller`] takes inputs (endpoint lists, proxies that join and leave, load reports, timers) and returns
//! [`Decision`]s one by one. It does no I/O and reads no clock: the caller passes the time to each call, and all
//! randomness comes from the seed, so the same inputs always produce the same decisions.

mod admission_changes;
mod admission_control;
mod admission_view;
mod assignment;
mod attempt_stats;
mod config;
mod controller;
mod decision;
mod endpoint;
mod endpoint_poll;
mod event_buffer;
mod exposure;
mod fleet_throughput;
mod host;
mod host_policy;
mod ids;
mod load_evidence;
mod load_reports;
mod memberships;
mod message_budget;
mod outlier_detection;
mod pending_acks;
mod placement;
mod proxy;
mod publishing;
mod rate_model;
mod report;
mod retries;
mod shards;
mod slow_start;
mod start_propagation;
mod startup_limit;
mod statistics;
mod status;
mod table_admission;
mod tables;
mod time;
mod transitions;
mod update_queue;
mod usual_load;
mod warming_limit;
mod warming_tables;
mod weight_reduction;
mod zone_eligibility;

pub use admission_changes::{AdmissionCause, AdmissionChange};
pub use config::{AdmissionMode, DeploymentConfig, RequestClass, RetryPolicy};
pub use controller::Controller;
pub use decision::{Decision, UpdateResult};
pub use endpoint::{Endpoint, EndpointList, EndpointState};
pub use ids::{AckId, CellId, HostId, MachineTypeId, ProxyId, RequestClassId, TableId, ZoneId};
pub use outlier_detection::{EjectionCause, HealthCheckResult};
pub use proxy::JoiningProxy;
pub use report::{AttemptOutcomes, HostLoad};
pub use retries::{RetryCause, RetryChange};
pub use start_propagation::StartPropagation;
pub use status::{
    HostFailures, LineCounts, MessageCapStatus, StatusSnapshot, Throughput, UpdateQueueStatus,
    WarmingHost,
};
pub use time::{DurationExt, Time};
pub use transitions::{HostPhase, HostTransition};
