//! What there is to log, each with the input that led to it.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// Something that the operators should know. `show events` writes its `Debug` text, see `recorded_debug`.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// An endpoint list was applied.
    #[serde(rename = "ListTaken")]
    EndpointListApplied {
        /// Generation of the list.
        #[serde(rename = "version")]
        generation: u64,
        /// Hosts that serve.
        #[serde(rename = "open")]
        ready: usize,
        /// Hosts that drain.
        draining: usize,
        /// Hosts that are no longer listed.
        #[serde(rename = "gone")]
        removed: usize,
    },
    /// An endpoint list was rejected; the last good one stays in force.
    #[serde(rename = "ListRefused")]
    EndpointListRejected {
        /// What was wrong.
        #[serde(rename = "wrong")]
        error: String,
    },
    /// A proxy joined.
    #[serde(rename = "Joined")]
    ProxyJoined {
        /// Name of the proxy.
        proxy: String,
        /// Whether the proxy joined without anything set by this controller.
        fresh: bool,
        /// The input that led to it.
        cause: String,
    },
    /// A proxy left, or could not be reached.
    #[serde(rename = "Left")]
    ProxyLeft {
        /// Name of the proxy.
        proxy: String,
        /// Why.
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
        /// The input that led to it.
        cause: String,
    },
    /// Weights in a table that changed; 0: the host was taken out of it.
    TableChanged {
        /// The table.
        table: u16,
        /// Hosts and their new weights.
        #[serde(rename = "lines")]
        weights: Vec<(String, f64)>,
        /// The input that led to it.
        cause: String,
    },
    /// Admission of a request class in a table changed.
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
        /// The input that led to it.
        cause: String,
    },
    /// An update was sent to a proxy.
    #[serde(rename = "Ordered")]
    UpdateSent {
        /// Name of the proxy.
        proxy: String,
        /// Number of commands.
        commands: usize,
        /// How urgent the update was.
        urgency: Cow<'static, str>,
        /// The input that led to it.
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
        /// What was wrong.
        #[serde(rename = "wrong")]
        error: String,
    },
    /// The update queue or the limit of messages delays the updates of this proxy.
    #[serde(rename = "Waits")]
    UpdateDelayed {
        /// Name of the proxy.
        proxy: String,
        /// Why.
        #[serde(rename = "why")]
        reason: Cow<'static, str>,
    },
    /// Where the target weights come from has changed.
    #[serde(rename = "WeightsFrom")]
    WeightSourceChanged {
        /// Source of the weights: solved, last good or listed.
        source: Cow<'static, str>,
    },
    /// Target weights that changed.
    #[serde(rename = "Weighed")]
    TargetWeightsChanged {
        /// Hosts and their new target weights.
        #[serde(rename = "moved")]
        weights: Vec<(String, f64)>,
        /// The input that led to it.
        cause: String,
    },
    /// The solver found no plan.
    PlanFailed {
        /// What was wrong.
        #[serde(rename = "wrong")]
        error: String,
    },
    /// The state from before the restart was recovered.
    Recovered {
        /// Hosts that serve.
        ready: usize,
        /// Hosts that drain.
        draining: usize,
        /// Hosts that are no longer listed.
        #[serde(rename = "gone")]
        removed: usize,
    },
    /// The event log is written again, or no longer.
    #[serde(rename = "Records")]
    EventLogChanged {
        /// Why nothing is written; none: it is.
        #[serde(rename = "stopped")]
        stopped_reason: Option<String>,
        /// Inputs that were not recorded so far.
        #[serde(rename = "lost")]
        lost_inputs: u64,
    },
    /// A report had impossible figures.
    #[serde(rename = "ReportRefused")]
    ReportRejected {
        /// What was wrong.
        #[serde(rename = "wrong")]
        error: String,
        /// Reports rejected so far.
        #[serde(rename = "refused")]
        rejected_total: u64,
    },
    /// A host that started again is left out of all tables while DNS caches hold answers from before its start.
    #[serde(rename = "KeptOut")]
    HostExcluded {
        /// Name of the host.
        host: String,
        /// For how long, in seconds.
        #[serde(rename = "for_s")]
        duration_s: f64,
    },
    /// A secondary has not fetched a change for longer than it may be behind: drain grace periods are not kept there.
    #[serde(rename = "SecondaryLate")]
    SecondaryBehind {
        /// Name of the secondary.
        secondary: String,
    },
    /// The weight of a host that warms up is too small to be expressed in whole numbers.
    #[serde(rename = "HeldBack")]
    WeightTooSmall {
        /// The table.
        table: u16,
        /// Name of the host.
        host: String,
    },
}
