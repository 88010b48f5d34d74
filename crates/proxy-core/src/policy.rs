//! Request classes and proxy settings that the decision logic uses.

use crate::ejection::EjectionPolicy;
use crate::retry::Idempotency;
use crate::routing_table::PickPolicy;
use std::net::SocketAddr;
use std::time::Duration;

/// Static properties of a request class.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The name of the class, which is also the name of its backend and its key in maps.
    pub name: String,
    /// Whether a request of this class can safely be processed twice.
    pub idempotency: Idempotency,
    /// How long clients wait for a response.
    pub client_timeout: Duration,
    /// The value of a response to a request of this class. When the wait queue is full, the request with the lowest
    /// weight is rejected.
    pub priority_weight: f64,
}

/// Settings for load balancing, ejection, retries and limits.
#[derive(Clone, Debug)]
pub struct RoutingPolicy {
    /// The load balancing policy.
    pub pick: PickPolicy,
    /// When and for how long a host is ejected.
    pub ejection: EjectionPolicy,
    /// Retry budget, as a fraction of the first attempts.
    pub retry_ratio: f64,
    /// Maximum number of the proxy's requests in flight at one host; further ones wait.
    pub max_in_flight_per_host: usize,
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// How long the last ready hosts of a class stay in use when its table has no ready host.
    pub last_ready_for: Duration,
}

/// A configured host that is used until a controller sends a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StaticHost {
    /// The name of the host.
    pub name: String,
    /// The address that the host listens on.
    pub address: SocketAddr,
}

/// Options of a new [`ProxyCore`](crate::proxy_core::ProxyCore).
#[derive(Clone, Debug)]
pub struct ProxyCoreOptions {
    /// The name of the proxy.
    pub name: String,
    /// The process id, shown by `show info`.
    pub process_id: u64,
    /// All request classes; the index of a class is its position here.
    pub classes: Vec<RequestClass>,
    /// Settings for load balancing, ejection, retries and limits.
    pub policy: RoutingPolicy,
    /// The hosts that all classes use until a controller sends a table.
    pub static_hosts: Vec<StaticHost>,
    /// Seed of the random generator.
    pub seed: u64,
}
