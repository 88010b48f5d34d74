//! What proxies and hosts report.

use std::time::Duration;

/// A host's own report of its load; any part may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostLoad {
    /// Part of its cores that is busy (1: all of them).
    pub utilization: Option<f64>,
    /// Requests that wait for a core.
    pub queue_length: Option<f64>,
    /// Mean time that a request takes once it is served.
    pub service_time: Option<Duration>,
}

/// How attempts at one host ended, summed over one report period of the proxies of a zone.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptOutcomes {
    /// Attempts that ended.
    pub attempts: f64,
    /// Those of them that failed.
    pub failures: f64,
    /// Mean time that the others took.
    pub mean_latency: Duration,
    /// The time that the report covers.
    pub period: Duration,
    /// The load that the host reported with its answers.
    pub load: Option<HostLoad>,
}
