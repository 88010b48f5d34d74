//! The load that a host reports of itself.

use pondarch_controller::DurationExt;
use pondarch_controller::{AttemptOutcomes, HostLoad};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The load of a host, as the host itself reports it.
#[derive(Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Utilization of all cores, 0 to 1.
    #[serde(rename = "busy")]
    pub utilization: Option<f64>,
    /// Number of requests that wait.
    #[serde(rename = "queue")]
    pub queue_length: Option<f64>,
    /// Recent service time without queueing, in milliseconds.
    #[serde(rename = "service_ms")]
    pub service_time_ms: Option<f64>,
    /// Requests that ended per second.
    #[serde(default, rename = "rate")]
    pub request_rate: Option<f64>,
    /// Requests that failed per second.
    #[serde(default, rename = "errored_rate")]
    pub failure_rate: Option<f64>,
}

impl ReportedLoad {
    pub(crate) fn from_host_load(load: &HostLoad) -> ReportedLoad {
        let service_time_ms = load.service_time.map(|time| time.seconds() * 1e3);
        ReportedLoad {
            utilization: load.utilization,
            queue_length: load.queue_length,
            service_time_ms,
            ..ReportedLoad::default()
        }
    }

    /// The reported rates as attempt outcomes that proxies would have observed over this period.
    pub(crate) fn attempt_outcomes(&self, period: Duration) -> AttemptOutcomes {
        let count_over_period =
            |rate: Option<f64>| rate.unwrap_or(0.0).clamp(0.0, 1e6) * period.seconds();
        let attempts = count_over_period(self.request_rate);
        let failures = count_over_period(self.failure_rate);
        let mean_latency = self.host_load().service_time.unwrap_or(Duration::ZERO);
        AttemptOutcomes {
            attempts,
            failures: failures.min(attempts),
            mean_latency,
            period,
            load: None,
        }
    }

    pub(crate) fn host_load(&self) -> HostLoad {
        let from_ms = |ms: f64| Duration::from_micros((ms.clamp(0.0, 3_600e3) * 1e3) as u64);
        HostLoad {
            utilization: self.utilization,
            queue_length: self.queue_length,
            service_time: self.service_time_ms.map(from_ms),
        }
    }
}
