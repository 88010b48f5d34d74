//! Limits the weights of hosts that are warming up, whatever a solver says. The guard does not depend on how weights were
//! computed: it gets the weights and the present capacity of each host, and only lowers the weights of hosts that are
//! warming up.

/// Largest weight per capacity of a host that is warming up, relative to the mean of the warm hosts. Such a host fails at 2.5
/// times its capacity. The margin covers uneven tables and proxies, a fleet that may be fully loaded, and a listed weight
/// that no traffic has confirmed yet.
const WARMING_UP_SHARE: f64 = 0.75;
/// Larger weights are cut to this.
const MAX_WEIGHT: f64 = 1e12;

/// The present capacity of a host, and whether it is warm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostCapacity {
    /// Work a second that the host can do now, in any unit.
    pub capacity: f64,
    /// Whether the host is warm; otherwise it is warming up.
    pub warm: bool,
}

/// The weights, with those of hosts that are warming up cut to their limit. Weights that are negative or not finite count as
/// 0. If no warm host has a weight, hosts that are warming up are limited by their capacity relative to each other.
pub fn limit_warming_up(hosts: &[HostCapacity], weights: &[f64]) -> Vec<f64> {
    let sanitized = |weight: f64| {
        if weight.is_finite() {
            weight.clamp(0.0, MAX_WEIGHT)
        } else {
            0.0
        }
    };
    let mut limited: Vec<f64> = weights.iter().copied().map(sanitized).collect();
    limited.resize(hosts.len(), 0.0);
    let warm_hosts = || hosts.iter().zip(&limited).filter(|(host, _)| host.warm);
    let (warm_weight, warm_capacity) = warm_hosts()
        .fold((0.0, 0.0), |(weights, capacities), (host, weight)| {
            (weights + weight, capacities + host.capacity)
        });
    let per_capacity = if warm_weight > 0.0 {
        warm_weight / warm_capacity
    } else {
        f64::INFINITY
    };
    // Without a warm host, the lowest positive weight per capacity is the reference.
    let lowest = hosts
        .iter()
        .zip(&limited)
        .filter(|(_, weight)| **weight > 0.0)
        .map(|(host, weight)| weight / host.capacity);
    let per_capacity = if per_capacity.is_finite() {
        per_capacity
    } else {
        lowest.fold(f64::INFINITY, f64::min)
    };
    for (host, weight) in hosts
        .iter()
        .zip(&mut limited)
        .filter(|(host, _)| !host.warm)
    {
        *weight = weight.min(WARMING_UP_SHARE * per_capacity * host.capacity);
    }
    limited
}
