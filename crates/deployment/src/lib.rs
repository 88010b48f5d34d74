//! Reads the settings object of a deployment, which the simulator and the platform pass in the same format. The result
//! is the controller's [`DeploymentConfig`](pondarch_controller::DeploymentConfig) and the names that the settings use.
//! Times in the settings are in microseconds.
//!
//! - `names`: the names of zones, machine types, request classes and report fields, and their numbers.
//! - `settings`: parsing of the settings object.

mod names;
mod settings;

use pondarch_controller::{HostLoad, RetryPolicy};
use std::time::Duration;

pub use names::DeploymentNames;
pub use settings::{SettingsError, read};

/// The retry policies, indexed by their number in settings and updates.
const RETRY_POLICIES: [RetryPolicy; 4] = [
    RetryPolicy::Never,
    RetryPolicy::IfUnprocessed,
    RetryPolicy::OnceOnFailure,
    RetryPolicy::TwiceOnFailure,
];

/// Returns the number of a retry policy in settings and updates.
#[must_use]
pub fn retry_policy_number(policy: RetryPolicy) -> usize {
    RETRY_POLICIES
        .iter()
        .position(|listed| *listed == policy)
        .expect("every retry policy is listed")
}

/// Records one value of a load report. The simulator and the platform use different names for the same values. Unknown
/// names are ignored.
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
