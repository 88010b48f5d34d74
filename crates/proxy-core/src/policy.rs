//! Request classes and the settings of a proxy, as the decisions use them.

use crate::ejection::EjectionPolicy;
use crate::retry::Idempotency;
use crate::routing_table::PickPolicy;
use std::net::SocketAddr;
use std::time::Duration;

/// What is known of a request class.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Its name: that of its backend and of its key in maps.
    pub name: String,
    /// What processing one of its requests twice does.
    pub idempotency: Idempotency,
    /// How long its clients wait for an answer.
    pub client_timeout: Duration,
    /// What an answered request of this class is worth.
    pub priority_weight: f64,
}

/// The settings by which a proxy routes, retries and limits.
#[derive(Clone, Debug)]
pub struct RoutingPolicy {
    /// How a host is picked from a table.
    pub pick: PickPolicy,
    /// When a host is ejected.
    pub ejection: EjectionPolicy,
    /// Retries, as a part of first attempts.
    pub retry_ratio: f64,
    /// The proxy's requests in flight at one host at a time; more wait.
    pub max_in_flight_per_host: usize,
    /// Requests that wait at most.
    pub max_waiting: usize,
    /// How long the last ready hosts of a class stay in use when its table lists none.
    pub last_ready_for: Duration,
}

/// A host to use until a controller sends a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StaticHost {
    /// The name of the host.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// What a [`ProxyCore`](crate::proxy_core::ProxyCore) is made from.
#[derive(Clone, Debug)]
pub struct ProxyCoreOptions {
    /// The name of the proxy.
    pub name: String,
    /// The number of its process, for `show info`.
    pub process_id: u64,
    /// All request classes; their order gives their index.
    pub classes: Vec<RequestClass>,
    /// The settings.
    pub policy: RoutingPolicy,
    /// The hosts of all classes until a controller sends a table.
    pub static_hosts: Vec<StaticHost>,
    /// Seed of all random draws.
    pub seed: u64,
}
