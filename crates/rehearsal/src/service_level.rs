//! Service level: priority weight of the requests answered within their latency objective, relative to the weight of
//! all requests sent.

use crate::client::RequestClass;
use crate::observations::{Observation, RequestOutcome};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Counts and weights of the requests that were sent within one span.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServiceLevel {
    #[serde(rename = "asked")]
    pub sent: u64,
    #[serde(rename = "done")]
    pub succeeded: u64,
    #[serde(rename = "in_time")]
    pub within_objective: u64,
    #[serde(rename = "denied")]
    pub rejected: u64,
    #[serde(rename = "errored")]
    pub failed: u64,
    #[serde(rename = "benefit_asked")]
    pub sent_weight: f64,
    #[serde(rename = "benefit_in_time")]
    pub within_objective_weight: f64,
}

impl ServiceLevel {
    /// Fraction of the priority weight that was answered in time; `None` if nothing was sent.
    pub fn share(&self) -> Option<f64> {
        (self.sent_weight > 0.0).then(|| self.within_objective_weight / self.sent_weight)
    }
}

/// Measures the service level of the requests sent from `from` until before `to`.
pub fn measure(
    observations: &[(Duration, Observation)],
    classes: &[RequestClass],
    from: Duration,
    to: Duration,
) -> ServiceLevel {
    let classes_by_name: BTreeMap<&str, &RequestClass> =
        classes.iter().map(|class| (class.name, class)).collect();
    let mut class_of_request: BTreeMap<u64, &RequestClass> = BTreeMap::new();
    let mut level = ServiceLevel::default();
    for (at, observation) in observations {
        match observation {
            Observation::RequestSent { class, request_id } if (from..to).contains(at) => {
                let Some(class) = classes_by_name.get(class.as_str()) else {
                    continue;
                };
                class_of_request.insert(*request_id, class);
                level.sent += 1;
                level.sent_weight += class.priority_weight;
            }
            Observation::RequestCompleted {
                request_id,
                outcome,
                latency,
                ..
            } => {
                let Some(class) = class_of_request.get(request_id) else {
                    continue;
                };
                match outcome {
                    RequestOutcome::Succeeded => {
                        level.succeeded += 1;
                        if *latency <= class.latency_objective {
                            level.within_objective += 1;
                            level.within_objective_weight += class.priority_weight;
                        }
                    }
                    RequestOutcome::Rejected => level.rejected += 1,
                    RequestOutcome::Failed => level.failed += 1,
                }
            }
            _ => {}
        }
    }
    level
}

/// How fast traffic moved off a host that became slow at `since`: the time until the first proxy lowered the host's
/// weight in its table, and the time until the host's share of all attempts fell below half of its share in the
/// `before` span.
pub fn traffic_shift(
    observations: &[(Duration, Observation)],
    host: &str,
    since: Duration,
    before: Duration,
) -> (Option<Duration>, Option<Duration>) {
    let attempts = |from: Duration, to: Duration| {
        let within = observations
            .iter()
            .filter(|(at, _)| (from..to).contains(at));
        within.fold(
            (0u32, 0u32),
            |(here, all), (_, observation)| match observation {
                Observation::Attempt { host: to, .. } => (here + u32::from(to == host), all + 1),
                _ => (here, all),
            },
        )
    };
    let share = |(here, all): (u32, u32)| f64::from(here) / f64::from(all.max(1));
    let usual_share = share(attempts(since.saturating_sub(before), since));
    // A proxy that avoids a host by itself does not change its table; only an update does.
    let mut weights: BTreeMap<(&str, &str), f64> = BTreeMap::new();
    let mut first_change = None;
    for (at, observation) in observations {
        let Observation::TableChanged {
            proxy,
            class,
            lines,
        } = observation
        else {
            continue;
        };
        let total: f64 = lines.iter().map(|(_, weight)| f64::from(*weight)).sum();
        let host_weight = lines
            .iter()
            .find(|(name, _)| name == host)
            .map_or(0.0, |(_, w)| f64::from(*w));
        let fraction = host_weight / total.max(1.0);
        let previous = weights.insert((proxy, class), fraction);
        if *at > since && previous.is_some_and(|previous| fraction < previous * 0.9) {
            first_change = first_change.or(Some(*at - since));
        }
    }
    let step = Duration::from_millis(100);
    let window = Duration::from_secs(1);
    let end = observations.last().map_or(since, |(at, _)| *at);
    let mut at = since + window;
    let mut half_shifted = None;
    while at <= end && half_shifted.is_none() {
        if usual_share > 0.0 && share(attempts(at - window, at)) < usual_share / 2.0 {
            half_shifted = Some(at - since);
        }
        at += step;
    }
    (first_change, half_shifted)
}
