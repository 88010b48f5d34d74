//! What a deployment states of itself when its controller starts.

use std::time::Duration;

/// A deployment, as its controller is told of it once, at its start.
#[derive(Clone, Debug, Default)]
pub struct DeploymentConfig {
    /// Request classes, in the order of their numbers.
    pub request_classes: Vec<RequestClass>,
    /// Proxies of the whole deployment, those of other controllers too.
    pub proxy_count: u64,
    /// Whether tables are assigned in partitions. Such deployments are not supported: the controller takes no decisions.
    pub partitioned: bool,
    /// Zones that the deployment names.
    pub zone_count: u16,
    /// How proxies retry until they are told otherwise; none: not stated.
    pub base_retry_policy: Option<RetryPolicy>,
    /// How proxies limit what they admit.
    pub admission: AdmissionMode,
    /// Lines a second that the channel to the proxies is said to send.
    pub update_rate: f64,
    /// Lines that may wait in the channel; zero: no limit.
    pub max_queued_lines: f64,
    /// Lines that each message costs besides its own.
    pub message_overhead_lines: f64,
    /// Messages that a proxy may be sent in a window; zero: any number.
    pub max_messages_per_window: u64,
    /// The window that the messages are counted in.
    pub message_window: Duration,
    /// Whether the endpoint list has to be polled.
    pub poll_endpoints: bool,
    /// Time within which a polled list has to be polled again.
    pub poll_interval: Duration,
    /// Whether the controller may order health checks.
    pub health_checks: bool,
    /// Time between two reports of a proxy.
    pub report_interval: Duration,
    /// Part of its work that a host can do when it starts (0 to 1).
    pub initial_capacity: f64,
    /// Time in which a host warms up to all of its work.
    pub slow_start_window: Duration,
    /// Whether a host that is missing from the list may still be sent requests.
    pub removal_is_advisory: bool,
    /// Time within which proxies have to stop sending to a host once it is known to drain or to be removed; zero: none
    /// stated.
    pub drain_grace_period: Duration,
    /// Price of a request that crosses zones.
    pub cross_zone_cost: f64,
    /// Whether proxies acknowledge messages that ask for it.
    pub acks_supported: bool,
    /// Updates that can be carried out together; zero: any number.
    pub max_batch_size: u64,
}

/// A class of requests that are admitted, retried and valued alike.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Time in which a request of this class should be answered.
    pub latency_objective: Duration,
    /// What an answered request is worth; classes of less weight are shed first.
    pub priority_weight: f64,
    /// Whether its requests have to stay in their proxy's zone.
    pub zone_local: bool,
}

/// When a proxy sends a request to another host after an attempt has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryPolicy {
    /// Never.
    Never,
    /// Once, on proof that the first host never processed it.
    IfUnprocessed,
    /// Once, on any failure.
    OnceOnFailure,
    /// Up to twice, on any failure.
    TwiceOnFailure,
}

/// How proxies limit what they admit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AdmissionMode {
    /// By the part of all requests that is admitted.
    Share,
    /// By requests a second.
    Rate,
    /// Not at all.
    #[default]
    Off,
}
