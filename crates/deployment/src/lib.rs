//! From a deployment's settings object, as the simulator and the platform both hand it over, to the controller's
//! [`DeploymentConfig`](pondarch_controller::DeploymentConfig) and to the names that the settings number. Times in the
//! object are in microseconds.
//!
//! - `names`: the names of zones, machine types, request classes and load values, and their numbers.
//! - `settings`: the settings object, read section by section.

mod names;
mod settings;

use pondarch_controller::{HostLoad, RetryPolicy};
use std::time::Duration;

pub use names::DeploymentNames;
pub use settings::{SettingsError, read};

/// The retry policies, each at the number that settings and updates give it.
const RETRY_POLICIES: [RetryPolicy; 4] = [
    RetryPolicy::Never,
    RetryPolicy::IfUnprocessed,
    RetryPolicy::OnceOnFailure,
    RetryPolicy::TwiceOnFailure,
];

/// The number of a retry policy in settings and updates.
#[must_use]
pub fn retry_policy_number(policy: RetryPolicy) -> usize {
    RETRY_POLICIES
        .iter()
        .position(|listed| *listed == policy)
        .expect("every retry policy is listed")
}

/// Records one value of a load report. The simulator and the platform each have their own names for the same values;
/// other names are ignored.
pub fn record_load_value(load: &mut HostLoad, name: &str, value: f64) {
    match name {
        "busy" | "util" => load.utilization = Some(value),
        "q" | "queue" => load.queue_length = Some(value),
        "lat_ms" | "latency_ms" => {
            load.service_time = Some(Duration::from_micros((value.max(0.0) * 1e3) as u64));
        }
        _ => {}
    }
}
