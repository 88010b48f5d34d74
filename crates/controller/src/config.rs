//! The configuration of a deployment, which its controller gets at startup.

use std::time::Duration;

/// The configuration of a deployment. It does not change while the controller runs.
#[derive(Clone, Debug, Default)]
pub struct DeploymentConfig {
    /// Request classes, indexed by [`RequestClassId`](crate::RequestClassId).
    pub request_classes: Vec<RequestClass>,
    /// Number of proxies in the whole deployment, including those of other controllers.
    pub proxy_count: u64,
    /// Whether tables are assigned in partitions. This is not supported: the controller takes no decisions if it is
    /// set.
    pub partitioned: bool,
    /// Number of zones that the deployment names.
    pub zone_count: u16,
    /// How proxies retry until an update tells them otherwise; `None` if not configured.
    pub base_retry_policy: Option<RetryPolicy>,
    /// How proxies limit the requests they admit.
    pub admission: AdmissionMode,
    /// Configured rate of the channel to the proxies, in lines per second.
    pub update_rate: f64,
    /// Maximum number of lines queued in the channel; 0 means no limit.
    pub max_queued_lines: f64,
    /// Overhead of each message, in lines.
    pub message_overhead_lines: f64,
    /// Maximum number of messages sent to a proxy per window; 0 means no limit.
    pub max_messages_per_window: u64,
    /// Length of the window for `max_messages_per_window`.
    pub message_window: Duration,
    /// Whether the endpoint list must be polled.
    pub poll_endpoints: bool,
    /// Maximum time between two polls of the endpoint list.
    pub poll_interval: Duration,
    /// Whether the controller may request health checks.
    pub health_checks: bool,
    /// Time between two load reports of a proxy.
    pub report_interval: Duration,
    /// Fraction of its full capacity that a host has when it starts (0 to 1).
    pub initial_capacity: f64,
    /// Time until a started host reaches its full capacity.
    pub slow_start_window: Duration,
    /// Multiple of its present capacity that a warming host must not be sent within `overload_span`; 0 if not configured.
    pub overload_multiple: f64,
    /// The span for `overload_multiple`; zero if not configured.
    pub overload_span: Duration,
    /// Whether a host that is missing from the endpoint list may still be sent requests.
    pub removal_is_advisory: bool,
    /// Time within which proxies must stop sending to a host that is draining or was removed; zero if not configured.
    pub drain_grace_period: Duration,
    /// Cost of a request that crosses zones.
    pub cross_zone_cost: f64,
    /// Whether proxies acknowledge messages that request it.
    pub acks_supported: bool,
    /// Maximum number of updates in one batch; 0 means no limit.
    pub max_batch_size: u64,
}

/// A class of requests that share admission, retries and priority.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Time within which a request of this class should be answered.
    pub latency_objective: Duration,
    /// Value of an answered request; classes of lower weight are shed first.
    pub priority_weight: f64,
    /// Whether its requests must stay in their proxy's zone.
    pub zone_local: bool,
}

/// When a proxy retries a request at another host after a failed attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryPolicy {
    /// Never.
    #[default]
    Never,
    /// Once, if it is proven that the first host did not process the request.
    IfUnprocessed,
    /// Once, after any failure.
    OnceOnFailure,
    /// Up to twice, after any failure.
    TwiceOnFailure,
}

/// How proxies limit the requests they admit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AdmissionMode {
    /// By the fraction of requests to admit.
    Fraction,
    /// By requests per second.
    Rate,
    /// No limit.
    #[default]
    Off,
}
