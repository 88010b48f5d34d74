//! The events that are logged, most with the input that caused them.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// An event for operators. `show events` writes its `Debug` text, see `recorded_debug`.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// An endpoint list was applied.
    #[serde(rename = "ListTaken")]
    EndpointListApplied {
        /// Generation of the list.
        #[serde(rename = "version")]
        generation: u64,
        /// Number of hosts that serve.
        #[serde(rename = "open")]
        ready: usize,
        /// Number of hosts that drain.
        draining: usize,
        /// Number of hosts that were removed.
        #[serde(rename = "gone")]
        removed: usize,
    },
    /// An endpoint list was rejected; the last valid one stays in force.
    #[serde(rename = "ListRefused")]
    EndpointListRejected {
        /// The error.
        #[serde(rename = "wrong")]
        error: String,
    },
    /// A proxy joined.
    #[serde(rename = "Joined")]
    ProxyJoined {
        /// Name of the proxy.
        proxy: String,
        /// Whether the proxy held nothing set by a controller, as after a restart of the proxy.
        fresh: bool,
        /// The input that caused it.
        cause: String,
    },
    /// A proxy left, or could not be reached.
    #[serde(rename = "Left")]
    ProxyLeft {
        /// Name of the proxy.
        proxy: String,
        /// Why it left.
        #[serde(rename = "why")]
        reason: String,
    },
    /// A proxy was bound to a table.
    #[serde(rename = "Bound")]
    ProxyBound {
        /// Name of the proxy.
        proxy: String,
        /// The table.
        table: u16,
        /// The input that caused it.
        cause: String,
    },
    /// Weights in a table changed; 0: the host was removed from the table.
    TableChanged {
        /// The table.
        table: u16,
        /// Hosts and their new weights.
        #[serde(rename = "lines")]
        weights: Vec<(String, f64)>,
        /// The input that caused it.
        cause: String,
    },
    /// The admission of a request class in a table changed.
    #[serde(rename = "LevelChanged")]
    AdmissionChanged {
        /// The table.
        table: u16,
        /// Name of the request class.
        #[serde(rename = "kind")]
        class: String,
        /// The admitted rate or fraction.
        quota: f64,
        /// The retry policy, in its wire text.
        #[serde(rename = "tries")]
        retry_policy: Cow<'static, str>,
        /// The input that caused it.
        cause: String,
    },
    /// An update was sent to a proxy.
    #[serde(rename = "Ordered")]
    UpdateSent {
        /// Name of the proxy.
        proxy: String,
        /// Number of commands.
        commands: usize,
        /// Urgency of the update: ordinary, join or drain.
        urgency: Cow<'static, str>,
        /// The input that caused it.
        cause: String,
    },
    /// A proxy acknowledged an update.
    #[serde(rename = "Applied")]
    UpdateAcknowledged {
        /// Name of the proxy.
        proxy: String,
        /// Time from sending to acknowledgement, in microseconds.
        took_us: u64,
    },
    /// A proxy rejected a command of an update.
    #[serde(rename = "Refused")]
    UpdateRejected {
        /// Name of the proxy.
        proxy: String,
        /// The error.
        #[serde(rename = "wrong")]
        error: String,
    },
    /// The limit on messages delays an update of this proxy.
    #[serde(rename = "Waits")]
    UpdateDelayed {
        /// Name of the proxy.
        proxy: String,
        /// Why it left.
        #[serde(rename = "why")]
        reason: Cow<'static, str>,
    },
    /// The source of the target weights changed.
    #[serde(rename = "WeightsFrom")]
    WeightSourceChanged {
        /// Source of the weights: solved, last good or listed.
        source: Cow<'static, str>,
    },
    /// Target weights of hosts changed.
    #[serde(rename = "Weighed")]
    TargetWeightsChanged {
        /// Hosts and their new target weights.
        #[serde(rename = "moved")]
        weights: Vec<(String, f64)>,
        /// The input that caused it.
        cause: String,
    },
    /// The solver found no plan.
    PlanFailed {
        /// The error.
        #[serde(rename = "wrong")]
        error: String,
    },
    /// The state of the previous run was recovered.
    Recovered {
        /// Number of hosts that serve.
        ready: usize,
        /// Number of hosts that drain.
        draining: usize,
        /// Number of hosts that were removed.
        #[serde(rename = "gone")]
        removed: usize,
    },
    /// The state of the event log changed.
    #[serde(rename = "Records")]
    EventLogChanged {
        /// Why the event log is not written; none: it is.
        #[serde(rename = "stopped")]
        stopped_reason: Option<String>,
        /// Number of inputs so far that were not recorded.
        #[serde(rename = "lost")]
        lost_inputs: u64,
    },
    /// A report had implausible figures and was rejected.
    #[serde(rename = "ReportRefused")]
    ReportRejected {
        /// The error.
        #[serde(rename = "wrong")]
        error: String,
        /// Number of reports rejected so far.
        #[serde(rename = "refused")]
        rejected_total: u64,
    },
    /// A restarted host is excluded from all tables while DNS caches hold answers from before the restart.
    #[serde(rename = "KeptOut")]
    HostExcluded {
        /// Name of the host.
        host: String,
        /// Duration of the exclusion, in seconds.
        #[serde(rename = "for_s")]
        duration_s: f64,
    },
    /// A secondary has not fetched a change within the allowed time, so that its answers may not keep drain grace
    /// periods.
    #[serde(rename = "SecondaryLate")]
    SecondaryBehind {
        /// Name of the secondary.
        secondary: String,
    },
    /// The weight of a host that is warming up is too small to be expressed in whole numbers.
    #[serde(rename = "HeldBack")]
    WeightTooSmall {
        /// The table.
        table: u16,
        /// Name of the host.
        host: String,
    },
}
