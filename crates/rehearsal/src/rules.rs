//! The five rules, checked against what the simulated components observed. The controllers' own view is not used,
//! except for the length of their update queues.

use crate::observations::{ListedState, Observation};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// The limits that the rules check.
#[derive(Clone, Debug)]
pub struct RuleLimits {
    /// Maximum time that a joined proxy may have no host for a request class.
    pub max_unserved: Duration,
    pub drain_grace_period: Duration,
    /// Maximum work sent to a warming host over `overload_window`, as a multiple of what it can do.
    pub max_overload_ratio: f64,
    pub overload_window: Duration,
    pub message_cap: usize,
    pub message_window: Duration,
    pub max_queued_lines: u64,
    /// Request classes whose requests may take effect only once.
    pub single_execution_classes: BTreeSet<String>,
}

/// One violation of a rule: when it occurred and what was observed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    pub rule: &'static str,
    pub at_s: f64,
    #[serde(rename = "seen")]
    pub details: String,
}

/// Names of the rules, as reports show them:
///
/// 0. A joined proxy always has a host for each request class while a warm one is listed as ready.
/// 1. A request that must take effect only once is executed once.
/// 2. No proxy sends to a host after the drain grace period.
/// 3. No warming host is sent much more work than it can do.
/// 4. Proxies get few messages, and the controllers' update queues stay short.
pub const RULES: [&str; 5] = [
    "a host to pick",
    "no effect twice",
    "drains kept",
    "no cold host pushed over",
    "a short queue",
];

/// Checks a whole rehearsal. Observations must be ordered by time.
pub fn check(observations: &[(Duration, Observation)], limits: &RuleLimits) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_host_available(observations, limits, &mut violations);
    check_single_execution(observations, limits, &mut violations);
    check_drains(observations, limits, &mut violations);
    check_slow_start(observations, limits, &mut violations);
    check_update_queue(observations, limits, &mut violations);
    violations.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    violations
}

fn violation(rule: usize, at: Duration, details: String) -> Violation {
    Violation {
        rule: RULES[rule],
        at_s: at.as_secs_f64(),
        details,
    }
}

/// Listed state of each host, and when it is warm, up to the current observation.
#[derive(Default)]
struct HostStates<'a> {
    listed: BTreeMap<&'a str, ListedState>,
    warm_at: BTreeMap<&'a str, Duration>,
}

impl<'a> HostStates<'a> {
    fn apply(&mut self, at: Duration, observation: &'a Observation) {
        match observation {
            Observation::ListedStateChanged { host, state } => {
                self.listed.insert(host, *state);
            }
            Observation::HostStarted {
                host,
                initial_capacity,
                slow_start_window,
                ..
            } => {
                let warmup_time = if *initial_capacity < 1.0 {
                    *slow_start_window
                } else {
                    Duration::ZERO
                };
                self.warm_at.insert(host, at + warmup_time);
            }
            _ => {}
        }
    }

    fn any_warm_and_ready(&self, at: Duration) -> bool {
        let warm = |host: &str| self.warm_at.get(host).is_some_and(|warm| *warm <= at);
        self.listed
            .iter()
            .any(|(host, listed)| *listed == ListedState::Ready && warm(host))
    }
}

fn check_host_available(
    observations: &[(Duration, Observation)],
    limits: &RuleLimits,
    violations: &mut Vec<Violation>,
) {
    let mut hosts = HostStates::default();
    let mut connections: BTreeMap<&str, usize> = BTreeMap::new();
    let mut without_hosts: BTreeSet<(&str, &str)> = BTreeSet::new();
    let mut unserved_since: BTreeMap<(&str, &str), Duration> = BTreeMap::new();
    let end = observations.last().map_or(Duration::ZERO, |(at, _)| *at);
    let end_marker = [(
        end,
        Observation::Fault {
            name: "end",
            active: false,
        },
    )];
    for (at, observation) in observations.iter().chain(&end_marker) {
        hosts.apply(*at, observation);
        match observation {
            Observation::ControllerConnection {
                proxy,
                connected: true,
            } => *connections.entry(proxy).or_default() += 1,
            Observation::ControllerConnection {
                proxy,
                connected: false,
            } => {
                connections
                    .entry(proxy)
                    .and_modify(|n| *n = n.saturating_sub(1));
            }
            Observation::TableChanged {
                proxy,
                class,
                lines,
            } => {
                if lines.is_empty() {
                    without_hosts.insert((proxy, class));
                } else {
                    without_hosts.remove(&(proxy.as_str(), class.as_str()));
                }
            }
            _ => {}
        }
        // Time counts while the proxy is joined and has no host, although a warm one is listed as ready.
        let available = hosts.any_warm_and_ready(*at);
        let counts = |(proxy, _): &(&str, &str)| {
            available && connections.get(proxy).is_some_and(|joined| *joined > 0)
        };
        let unserved: BTreeSet<(&str, &str)> =
            without_hosts.iter().copied().filter(counts).collect();
        unserved_since.retain(|proxy_class, began| {
            let duration = *at - *began;
            if duration > limits.max_unserved {
                let details = format!(
                    "{} had no host for class {} for {:.2} s",
                    proxy_class.0,
                    proxy_class.1,
                    duration.as_secs_f64()
                );
                violations.push(violation(0, *at, details));
            }
            unserved.contains(proxy_class) && duration <= limits.max_unserved
        });
        for proxy_class in unserved {
            unserved_since.entry(proxy_class).or_insert(*at);
        }
    }
}

fn check_single_execution(
    observations: &[(Duration, Observation)],
    limits: &RuleLimits,
    violations: &mut Vec<Violation>,
) {
    let mut executed_at: BTreeMap<u64, &str> = BTreeMap::new();
    for (at, observation) in observations {
        if let Observation::ExecutionStarted {
            host,
            class,
            request_id,
        } = observation
            && limits.single_execution_classes.contains(class)
            && let Some(first) = executed_at.insert(*request_id, host)
        {
            violations.push(violation(
                1,
                *at,
                format!("{class} request {request_id} was executed at {first} and again at {host}"),
            ));
        }
    }
}

fn check_drains(
    observations: &[(Duration, Observation)],
    limits: &RuleLimits,
    violations: &mut Vec<Violation>,
) {
    let mut unavailable_since: BTreeMap<&str, Duration> = BTreeMap::new();
    let mut joined_since: BTreeMap<&str, Duration> = BTreeMap::new();
    let mut reported: BTreeSet<(&str, &str)> = BTreeSet::new();
    for (at, observation) in observations {
        match observation {
            Observation::ListedStateChanged {
                host,
                state: ListedState::Ready,
            } => drop(unavailable_since.remove(host.as_str())),
            Observation::ListedStateChanged { host, .. } => {
                unavailable_since.entry(host).or_insert(*at);
            }
            Observation::ControllerConnection {
                proxy,
                connected: true,
            } => drop(joined_since.insert(proxy, *at)),
            Observation::ControllerConnection {
                proxy,
                connected: false,
            } => drop(joined_since.remove(proxy.as_str())),
            Observation::Attempt {
                proxy,
                host,
                request_id,
                ..
            } => {
                let Some((unavailable, joined)) = unavailable_since
                    .get(host.as_str())
                    .zip(joined_since.get(proxy.as_str()))
                else {
                    continue;
                };
                let delay = at.saturating_sub(*unavailable.max(joined));
                if delay > limits.drain_grace_period && reported.insert((proxy, host)) {
                    let details = format!(
                        "{proxy} sent request {request_id} to {host} {:.2} s after its drain began",
                        delay.as_secs_f64()
                    );
                    violations.push(violation(2, *at, details));
                }
            }
            _ => {}
        }
    }
}

/// A started host, its capacity during the slow start, and the work it received within the window.
struct StartedHost {
    at: Duration,
    cores: f64,
    initial_capacity: f64,
    slow_start_window: Duration,
    recent_work: VecDeque<(Duration, Duration)>,
    overloaded: bool,
}

fn check_slow_start(
    observations: &[(Duration, Observation)],
    limits: &RuleLimits,
    violations: &mut Vec<Violation>,
) {
    let mut started_hosts: BTreeMap<&str, StartedHost> = BTreeMap::new();
    for (at, observation) in observations {
        match observation {
            Observation::HostStarted {
                host,
                cores,
                initial_capacity,
                slow_start_window,
            } => {
                let (cores, initial_capacity, slow_start_window) =
                    (*cores, *initial_capacity, *slow_start_window);
                let recent_work = VecDeque::new();
                started_hosts.insert(
                    host,
                    StartedHost {
                        at: *at,
                        cores,
                        initial_capacity,
                        slow_start_window,
                        recent_work,
                        overloaded: false,
                    },
                );
            }
            Observation::RequestArrived {
                host,
                work,
                request_id,
            } => {
                let Some(started) = started_hosts.get_mut(host.as_str()) else {
                    continue;
                };
                let age = *at - started.at;
                if started.initial_capacity >= 1.0
                    || age >= started.slow_start_window
                    || started.overloaded
                {
                    continue;
                }
                started.recent_work.push_back((*at, *work));
                started
                    .recent_work
                    .retain(|(then, _)| *at - *then <= limits.overload_window);
                let progress = age.as_secs_f64() / started.slow_start_window.as_secs_f64();
                let capacity_fraction =
                    started.initial_capacity + (1.0 - started.initial_capacity) * progress;
                let max_work = limits.max_overload_ratio
                    * started.cores
                    * capacity_fraction
                    * limits.overload_window.as_secs_f64();
                let received_work: f64 = started
                    .recent_work
                    .iter()
                    .map(|(_, work)| work.as_secs_f64())
                    .sum();
                if received_work > max_work {
                    started.overloaded = true;
                    let (age, window) = (age.as_secs_f64(), limits.overload_window.as_secs_f64());
                    let details = format!(
                        "{host}, started {age:.2} s before, received {received_work:.2} s of work within {window:.1} s, \
                         {max_work:.2} s allowed; last request {request_id}"
                    );
                    violations.push(violation(3, *at, details));
                }
            }
            _ => {}
        }
    }
}

fn check_update_queue(
    observations: &[(Duration, Observation)],
    limits: &RuleLimits,
    violations: &mut Vec<Violation>,
) {
    let mut messages: BTreeMap<&str, VecDeque<Duration>> = BTreeMap::new();
    for (at, observation) in observations {
        match observation {
            Observation::UpdateMessage { proxy, .. } if limits.message_cap > 0 => {
                let recent = messages.entry(proxy).or_default();
                recent.push_back(*at);
                recent.retain(|then| *at - *then <= limits.message_window);
                if recent.len() == limits.message_cap + 1 {
                    let (count, window) = (recent.len(), limits.message_window.as_secs_f64());
                    violations.push(violation(
                        4,
                        *at,
                        format!("{count} messages to {proxy} within {window} s"),
                    ));
                }
            }
            Observation::QueuedLines { controller, lines } if *lines > limits.max_queued_lines => {
                violations.push(violation(
                    4,
                    *at,
                    format!("{lines} lines queued at {controller}"),
                ));
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn limits() -> RuleLimits {
        RuleLimits {
            max_unserved: Duration::from_secs(1),
            drain_grace_period: Duration::from_secs(2),
            max_overload_ratio: 2.5,
            overload_window: Duration::from_secs(2),
            message_cap: 2,
            message_window: Duration::from_secs(10),
            max_queued_lines: 100,
            single_execution_classes: ["release".to_string()].into(),
        }
    }

    fn violated_rules(observations: Vec<(u64, Observation)>) -> Vec<&'static str> {
        let observations: Vec<_> = observations
            .into_iter()
            .map(|(ms, observation)| (Duration::from_millis(ms), observation))
            .collect();
        check(&observations, &limits())
            .into_iter()
            .map(|violation| violation.rule)
            .collect()
    }

    fn s(text: &str) -> String {
        text.to_string()
    }

    fn started(host: &str, initial_capacity: f64) -> Observation {
        Observation::HostStarted {
            host: s(host),
            cores: 1.0,
            initial_capacity,
            slow_start_window: Duration::from_secs(10),
        }
    }

    fn listed(host: &str, state: ListedState) -> Observation {
        Observation::ListedStateChanged {
            host: s(host),
            state,
        }
    }

    #[test]
    fn each_rule_detects_its_violation() {
        let connected = Observation::ControllerConnection {
            proxy: s("p"),
            connected: true,
        };
        let no_lines = Observation::TableChanged {
            proxy: s("p"),
            class: s("proof"),
            lines: vec![],
        };
        let request_sent = Observation::RequestSent {
            class: s("proof"),
            request_id: 1,
        };
        let warm_host = [
            (0, started("a", 1.0)),
            (0, listed("a", ListedState::Ready)),
            (0, connected.clone()),
        ];
        let without_host = [
            warm_host.to_vec(),
            vec![(100, no_lines), (1_500, request_sent)],
        ]
        .concat();
        assert_eq!(violated_rules(without_host.clone()), ["a host to pick"]);
        // The only listed host is not warm, so that none is available.
        let only_cold_host = without_host.iter().cloned().map(|(at, observation)| {
            (
                at,
                if at == 0 && observation == started("a", 1.0) {
                    started("a", 0.2)
                } else {
                    observation
                },
            )
        });
        assert!(violated_rules(only_cold_host.collect()).is_empty());

        let executed = |host: &str, class: &str| Observation::ExecutionStarted {
            host: s(host),
            class: s(class),
            request_id: 7,
        };
        assert_eq!(
            violated_rules(vec![
                (0, executed("a", "release")),
                (5, executed("b", "release"))
            ]),
            ["no effect twice"]
        );
        assert!(
            violated_rules(vec![
                (0, executed("a", "proof")),
                (5, executed("b", "proof"))
            ])
            .is_empty()
        );

        let attempt = Observation::Attempt {
            proxy: s("p"),
            class: s("proof"),
            host: s("a"),
            request_id: 3,
        };
        let after_grace_period = vec![
            (0, connected.clone()),
            (100, listed("a", ListedState::Draining)),
            (2_200, attempt.clone()),
        ];
        assert_eq!(violated_rules(after_grace_period), ["drains kept"]);
        let within_grace_period = vec![
            (0, connected.clone()),
            (100, listed("a", ListedState::Draining)),
            (2_000, attempt.clone()),
        ];
        assert!(violated_rules(within_grace_period).is_empty());
        let not_joined = vec![(100, listed("a", ListedState::Gone)), (9_000, attempt)];
        assert!(violated_rules(not_joined).is_empty());

        let arrived = |request_id| Observation::RequestArrived {
            host: s("a"),
            request_id,
            work: Duration::from_millis(600),
        };
        let overloaded = vec![(0, started("a", 0.2)), (10, arrived(1)), (20, arrived(2))];
        assert_eq!(violated_rules(overloaded), ["no cold host pushed over"]);
        let outside_window = vec![
            (0, started("a", 0.2)),
            (10, arrived(1)),
            (2_600, arrived(2)),
        ];
        assert!(violated_rules(outside_window).is_empty());

        let message = Observation::UpdateMessage {
            proxy: s("p"),
            commands: 3,
        };
        let too_many_messages = vec![
            (0, message.clone()),
            (10, message.clone()),
            (20, message.clone()),
        ];
        assert_eq!(violated_rules(too_many_messages), ["a short queue"]);
        let spread_out = vec![
            (0, message.clone()),
            (10, message.clone()),
            (10_020, message),
        ];
        assert!(violated_rules(spread_out).is_empty());
        let queued_lines = Observation::QueuedLines {
            controller: s("s"),
            lines: 101,
        };
        assert_eq!(violated_rules(vec![(0, queued_lines)]), ["a short queue"]);
    }
}
