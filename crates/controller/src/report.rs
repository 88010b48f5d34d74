//! Load reports from proxies and hosts.

use std::time::Duration;

/// The load that a host reports; any value may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostLoad {
    /// Fraction of its cores that are busy (0 to 1).
    pub utilization: Option<f64>,
    /// Number of requests waiting for a core.
    pub queue_length: Option<f64>,
    /// Mean time to serve a request, excluding the time in the queue.
    pub service_time: Option<Duration>,
}

/// Results of the attempts at one host, summed over one report period of the proxies of a zone.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptOutcomes {
    /// Number of attempts that ended.
    pub attempts: f64,
    /// Number of those attempts that failed.
    pub failures: f64,
    /// Mean latency of the attempts that succeeded.
    pub mean_latency: Duration,
    /// Time that the report covers.
    pub period: Duration,
    /// Load that the host reported with its responses.
    pub load: Option<HostLoad>,
}
