//! Limit on the requests that a warming host may be sent.
//!
//! A host that has just started falls over when it is sent more than a multiple of what it can do within a short span.
//! It takes only a few requests in such a span, so chance alone can bring it twice the mean: the limit is on what is
//! likely, not on the mean. All controllers' requests count, and each controller only decides on those of its own
//! proxies.

use crate::config::DeploymentConfig;
use crate::time::DurationExt;
use std::time::Duration;

/// Multiple and span of deployments that state none.
const DEFAULT_OVERLOAD_MULTIPLE: f64 = 2.5;
const DEFAULT_OVERLOAD_SPAN: Duration = Duration::from_millis(2_000);
/// Standard deviations above the mean up to which a number of requests is likely: where all requests are limited, by the
/// weights of usual days, and in the largest burst, which is short and rare.
const LIKELY_DEVIATIONS: f64 = 2.0;
const USUAL_DEVIATIONS: f64 = 3.0;
const BURST_DEVIATIONS: f64 = 1.0;
/// Variance of the work sent in a span, in terms of its mean. It would be 1 if all requests were equal.
const WORK_VARIANCE: f64 = 1.5;
/// Factor by which the requests may rise before the reports show it.
const BURST_FACTOR: f64 = 2.5;

/// When a warming host is overloaded, according to the deployment.
pub(crate) struct OverloadRule {
    multiple: f64,
    span_s: f64,
}

impl OverloadRule {
    pub(crate) fn new(config: &DeploymentConfig) -> OverloadRule {
        let has_multiple = config.overload_multiple.is_finite() && config.overload_multiple > 1.0;
        let has_span = config.overload_span > Duration::ZERO;
        OverloadRule {
            multiple: if has_multiple {
                config.overload_multiple
            } else {
                DEFAULT_OVERLOAD_MULTIPLE
            },
            span_s: if has_span {
                config.overload_span.seconds()
            } else {
                DEFAULT_OVERLOAD_SPAN.seconds()
            },
        }
    }

    /// Returns the limit for a controller to which this part of all proxies is joined, where hosts usually serve
    /// `usual_load` of its requests per second and unit of weight.
    pub(crate) fn limit(&self, usual_load: f64, own_share: f64) -> WarmingLimit {
        WarmingLimit {
            multiple: self.multiple,
            span_s: self.span_s,
            usual_load,
            own_share,
        }
    }
}

/// What the proxies of this controller may send to warming hosts now.
#[derive(Clone, Copy)]
pub(crate) struct WarmingLimit {
    multiple: f64,
    span_s: f64,
    usual_load: f64,
    /// The part of all proxies that is joined to this controller.
    own_share: f64,
}

impl WarmingLimit {
    /// Returns the most requests per second for a host with this capacity, in units of weight, where all requests are
    /// limited.
    pub(crate) fn max_rate(&self, capacity: f64) -> f64 {
        self.likely_rate(capacity, LIKELY_DEVIATIONS)
    }

    /// Returns the requests per second to give such a host by its weight: with room for chance, and for a burst with less
    /// of it. Other hosts can take the rest.
    pub(crate) fn rate_by_weight(&self, capacity: f64) -> f64 {
        let usual = self.likely_rate(capacity, USUAL_DEVIATIONS);
        let in_burst = self.likely_rate(capacity, BURST_DEVIATIONS);
        usual.min(in_burst / BURST_FACTOR)
    }

    /// Returns the mean requests per second with which a number of requests this many standard deviations above the mean
    /// is no overload.
    fn likely_rate(&self, capacity: f64, deviations: f64) -> f64 {
        let usual_rate = self.usual_load * capacity / self.own_share;
        let budget = self.multiple * usual_rate * self.span_s;
        // The mean m solves m + deviations * sqrt(WORK_VARIANCE * m) = budget.
        let factor = deviations * WORK_VARIANCE.sqrt();
        let root = ((factor * factor + 4.0 * budget).sqrt() - factor) / 2.0;
        root * root / self.span_s * self.own_share
    }
}

/// A host's weight in a table, and the requests per second that it may get at most; `None` means no limit.
#[derive(Clone, Copy)]
pub(crate) struct LimitedWeight {
    pub(crate) weight: f64,
    pub(crate) max_rate: Option<f64>,
}

/// Returns the weights with which no host of a table gets more than its limit of `rate` requests per second; the other
/// hosts get the rest. If all hosts are limited, their weights are in proportion to their limits.
pub(crate) fn limited_weights(hosts: &[LimitedWeight], rate: f64) -> Vec<f64> {
    let mut is_capped = vec![false; hosts.len()];
    loop {
        let Some(per_weight) = rate_per_free_weight(hosts, &is_capped, rate) else {
            return weights_by_limits(hosts);
        };
        let mut any_added = false;
        for (host, is_capped) in hosts.iter().zip(&mut is_capped) {
            let exceeds = host
                .max_rate
                .is_some_and(|max_rate| host.weight * per_weight > max_rate);
            any_added |= exceeds && !*is_capped;
            *is_capped |= exceeds;
        }
        if any_added {
            continue;
        }
        let weights = hosts.iter().zip(&is_capped);
        return weights
            .map(|(host, is_capped)| match host.max_rate {
                Some(max_rate) if *is_capped => max_rate / per_weight,
                _ => host.weight,
            })
            .collect();
    }
}

/// Returns the requests per second and unit of weight for the hosts that are not capped, or `None` if there are none.
fn rate_per_free_weight(hosts: &[LimitedWeight], is_capped: &[bool], rate: f64) -> Option<f64> {
    let mut free_weight = 0.0;
    let mut free_rate = rate;
    for (host, is_capped) in hosts.iter().zip(is_capped) {
        if *is_capped {
            free_rate -= host.max_rate.unwrap_or(0.0);
        } else {
            free_weight += host.weight;
        }
    }
    (free_weight > 0.0).then(|| free_rate.max(0.0) / free_weight)
}

fn weights_by_limits(hosts: &[LimitedWeight]) -> Vec<f64> {
    let limit = |host: &LimitedWeight| host.max_rate.unwrap_or(f64::INFINITY);
    let scales = hosts.iter().map(|host| host.weight / limit(host));
    let scale = scales.fold(f64::INFINITY, f64::min);
    if !scale.is_finite() {
        return hosts.iter().map(|host| host.weight).collect();
    }
    hosts.iter().map(|host| limit(host) * scale).collect()
}
