//! The five rules, checked on what the stand-ins saw. What the steward believes plays no part.

use crate::observations::{Fact, Listed};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// The figures of the rules.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Longest that a joined proxy may have no host to pick for a kind.
    pub bare: Duration,
    pub grace: Duration,
    /// A cold host must not be sent more than this many times what it can do, over this span.
    pub fall_multiple: f64,
    pub fall_over: Duration,
    pub message_cap: usize,
    pub message_window: Duration,
    pub most_waiting: u64,
    /// Kinds that may take effect once only.
    pub once: BTreeSet<String>,
}

/// One break of a rule: when, and what was seen.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Break {
    pub rule: &'static str,
    pub at_s: f64,
    pub seen: String,
}

pub const RULES: [&str; 5] = [
    "a host to pick",
    "no effect twice",
    "drains kept",
    "no cold host pushed over",
    "a short queue",
];

/// Checks a whole day. Facts are in order of time.
pub fn check(facts: &[(Duration, Fact)], limits: &Limits) -> Vec<Break> {
    let mut breaks = Vec::new();
    bare(facts, limits, &mut breaks);
    twice(facts, limits, &mut breaks);
    drains(facts, limits, &mut breaks);
    cold(facts, limits, &mut breaks);
    queue(facts, limits, &mut breaks);
    breaks.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    breaks
}

fn broke(rule: usize, at: Duration, seen: String) -> Break {
    Break {
        rule: RULES[rule],
        at_s: at.as_secs_f64(),
        seen,
    }
}

/// When hosts were warm and listed as ready, as the day went on.
#[derive(Default)]
struct Hosts<'a> {
    listed: BTreeMap<&'a str, Listed>,
    warm_at: BTreeMap<&'a str, Duration>,
}

impl<'a> Hosts<'a> {
    fn note(&mut self, at: Duration, fact: &'a Fact) {
        match fact {
            Fact::Listed { host, as_ } => drop(self.listed.insert(host, *as_)),
            Fact::HostStarted {
                host,
                start_share,
                warm_within,
                ..
            } => {
                let cold = if *start_share < 1.0 {
                    *warm_within
                } else {
                    Duration::ZERO
                };
                self.warm_at.insert(host, at + cold);
            }
            _ => {}
        }
    }

    fn any_open(&self, at: Duration) -> bool {
        let warm = |host: &str| self.warm_at.get(host).is_some_and(|warm| *warm <= at);
        self.listed
            .iter()
            .any(|(host, listed)| *listed == Listed::Ready && warm(host))
    }
}

fn bare(facts: &[(Duration, Fact)], limits: &Limits, breaks: &mut Vec<Break>) {
    let mut hosts = Hosts::default();
    let mut links: BTreeMap<&str, usize> = BTreeMap::new();
    let mut empty: BTreeSet<(&str, &str)> = BTreeSet::new();
    let mut since: BTreeMap<(&str, &str), Duration> = BTreeMap::new();
    let end = facts.last().map_or(Duration::ZERO, |(at, _)| *at);
    let ends = [(
        end,
        Fact::Trouble {
            name: "end",
            begins: false,
        },
    )];
    for (at, fact) in facts.iter().chain(&ends) {
        hosts.note(*at, fact);
        match fact {
            Fact::Link { proxy, up: true } => *links.entry(proxy).or_default() += 1,
            Fact::Link { proxy, up: false } => {
                links.entry(proxy).and_modify(|n| *n = n.saturating_sub(1));
            }
            Fact::Lines { proxy, kind, lines } => {
                if lines.is_empty() {
                    empty.insert((proxy, kind));
                } else {
                    empty.remove(&(proxy.as_str(), kind.as_str()));
                }
            }
            _ => {}
        }
        // The span runs while the proxy is joined, has nothing to pick, and there is something to be had.
        let open = hosts.any_open(*at);
        let counts =
            |(proxy, _): &(&str, &str)| open && links.get(proxy).is_some_and(|joined| *joined > 0);
        let now: BTreeSet<(&str, &str)> = empty.iter().copied().filter(counts).collect();
        since.retain(|of, began| {
            let over = *at - *began;
            if over > limits.bare {
                let seen = format!(
                    "{} had nothing to pick for {} during {:.2} s",
                    of.0,
                    of.1,
                    over.as_secs_f64()
                );
                breaks.push(broke(0, *at, seen));
            }
            now.contains(of) && over <= limits.bare
        });
        for of in now {
            since.entry(of).or_insert(*at);
        }
    }
}

fn twice(facts: &[(Duration, Fact)], limits: &Limits, breaks: &mut Vec<Break>) {
    let mut ran: BTreeMap<u64, &str> = BTreeMap::new();
    for (at, fact) in facts {
        if let Fact::Ran { host, kind, req } = fact
            && limits.once.contains(kind)
            && let Some(first) = ran.insert(*req, host)
        {
            breaks.push(broke(
                1,
                *at,
                format!("{kind} {req} ran at {first} and again at {host}"),
            ));
        }
    }
}

fn drains(facts: &[(Duration, Fact)], limits: &Limits, breaks: &mut Vec<Break>) {
    let mut away: BTreeMap<&str, Duration> = BTreeMap::new();
    let mut joined: BTreeMap<&str, Duration> = BTreeMap::new();
    let mut told: BTreeSet<(&str, &str)> = BTreeSet::new();
    for (at, fact) in facts {
        match fact {
            Fact::Listed {
                host,
                as_: Listed::Ready,
            } => drop(away.remove(host.as_str())),
            Fact::Listed { host, .. } => drop(away.entry(host).or_insert(*at)),
            Fact::Link { proxy, up: true } => drop(joined.insert(proxy, *at)),
            Fact::Link { proxy, up: false } => drop(joined.remove(proxy.as_str())),
            Fact::Try {
                proxy, host, req, ..
            } => {
                let Some((listed, joined)) =
                    away.get(host.as_str()).zip(joined.get(proxy.as_str()))
                else {
                    continue;
                };
                let over = at.saturating_sub(*listed.max(joined));
                if over > limits.grace && told.insert((proxy, host)) {
                    let seen = format!(
                        "{proxy} sent req {req} to {host}, {:.2} s after its drain",
                        over.as_secs_f64()
                    );
                    breaks.push(broke(2, *at, seen));
                }
            }
            _ => {}
        }
    }
}

/// A host's start, and what it can do from then on.
struct Start {
    at: Duration,
    cores: f64,
    start_share: f64,
    warm_within: Duration,
    arrived: VecDeque<(Duration, Duration)>,
    fell: bool,
}

fn cold(facts: &[(Duration, Fact)], limits: &Limits, breaks: &mut Vec<Break>) {
    let mut starts: BTreeMap<&str, Start> = BTreeMap::new();
    for (at, fact) in facts {
        match fact {
            Fact::HostStarted {
                host,
                cores,
                start_share,
                warm_within,
            } => {
                let (cores, start_share, warm_within) = (*cores, *start_share, *warm_within);
                let arrived = VecDeque::new();
                starts.insert(
                    host,
                    Start {
                        at: *at,
                        cores,
                        start_share,
                        warm_within,
                        arrived,
                        fell: false,
                    },
                );
            }
            Fact::Arrived { host, work, req } => {
                let Some(start) = starts.get_mut(host.as_str()) else {
                    continue;
                };
                let age = *at - start.at;
                if start.start_share >= 1.0 || age >= start.warm_within || start.fell {
                    continue;
                }
                start.arrived.push_back((*at, *work));
                start
                    .arrived
                    .retain(|(then, _)| *at - *then <= limits.fall_over);
                let part = age.as_secs_f64() / start.warm_within.as_secs_f64();
                let share = start.start_share + (1.0 - start.start_share) * part;
                let budget =
                    limits.fall_multiple * start.cores * share * limits.fall_over.as_secs_f64();
                let brought: f64 = start
                    .arrived
                    .iter()
                    .map(|(_, work)| work.as_secs_f64())
                    .sum();
                if brought > budget {
                    start.fell = true;
                    let (age, over) = (age.as_secs_f64(), limits.fall_over.as_secs_f64());
                    let seen = format!(
                        "{host}, {age:.2} s old, was brought {brought:.2} s of work within {over:.1} s, \
                         {budget:.2} s at most; last req {req}"
                    );
                    breaks.push(broke(3, *at, seen));
                }
            }
            _ => {}
        }
    }
}

fn queue(facts: &[(Duration, Fact)], limits: &Limits, breaks: &mut Vec<Break>) {
    let mut messages: BTreeMap<&str, VecDeque<Duration>> = BTreeMap::new();
    for (at, fact) in facts {
        match fact {
            Fact::Message { proxy, .. } if limits.message_cap > 0 => {
                let lately = messages.entry(proxy).or_default();
                lately.push_back(*at);
                lately.retain(|then| *at - *then <= limits.message_window);
                if lately.len() == limits.message_cap + 1 {
                    let (count, window) = (lately.len(), limits.message_window.as_secs_f64());
                    breaks.push(broke(
                        4,
                        *at,
                        format!("{count} messages to {proxy} within {window} s"),
                    ));
                }
            }
            Fact::Waiting { steward, lines } if *lines > limits.most_waiting => {
                breaks.push(broke(4, *at, format!("{lines} lines wait at {steward}")));
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn limits() -> Limits {
        Limits {
            bare: Duration::from_secs(1),
            grace: Duration::from_secs(2),
            fall_multiple: 2.5,
            fall_over: Duration::from_secs(2),
            message_cap: 2,
            message_window: Duration::from_secs(10),
            most_waiting: 100,
            once: ["release".to_string()].into(),
        }
    }

    fn day(facts: Vec<(u64, Fact)>) -> Vec<&'static str> {
        let facts: Vec<_> = facts
            .into_iter()
            .map(|(ms, fact)| (Duration::from_millis(ms), fact))
            .collect();
        check(&facts, &limits())
            .into_iter()
            .map(|b| b.rule)
            .collect()
    }

    fn s(text: &str) -> String {
        text.to_string()
    }

    fn started(host: &str, start_share: f64) -> Fact {
        Fact::HostStarted {
            host: s(host),
            cores: 1.0,
            start_share,
            warm_within: Duration::from_secs(10),
        }
    }

    fn listed(host: &str, as_: Listed) -> Fact {
        Fact::Listed { host: s(host), as_ }
    }

    #[test]
    fn each_rule_is_seen_to_break() {
        let up = Fact::Link {
            proxy: s("p"),
            up: true,
        };
        let none = Fact::Lines {
            proxy: s("p"),
            kind: s("proof"),
            lines: vec![],
        };
        let asked = Fact::Asked {
            kind: s("proof"),
            req: 1,
        };
        let open = [
            (0, started("a", 1.0)),
            (0, listed("a", Listed::Ready)),
            (0, up.clone()),
        ];
        let bare = [open.to_vec(), vec![(100, none), (1_500, asked)]].concat();
        assert_eq!(day(bare.clone()), ["a host to pick"]);
        // Nothing open and warm is listed: no host could be had.
        let cold = bare.iter().cloned().map(|(at, f)| {
            (
                at,
                if at == 0 && f == started("a", 1.0) {
                    started("a", 0.2)
                } else {
                    f
                },
            )
        });
        assert!(day(cold.collect()).is_empty());

        let ran = |host: &str, kind: &str| Fact::Ran {
            host: s(host),
            kind: s(kind),
            req: 7,
        };
        assert_eq!(
            day(vec![(0, ran("a", "release")), (5, ran("b", "release"))]),
            ["no effect twice"]
        );
        assert!(day(vec![(0, ran("a", "proof")), (5, ran("b", "proof"))]).is_empty());

        let sent = Fact::Try {
            proxy: s("p"),
            kind: s("proof"),
            host: s("a"),
            req: 3,
        };
        let drained = vec![
            (0, up.clone()),
            (100, listed("a", Listed::Drain)),
            (2_200, sent.clone()),
        ];
        assert_eq!(day(drained), ["drains kept"]);
        let in_grace = vec![
            (0, up.clone()),
            (100, listed("a", Listed::Drain)),
            (2_000, sent.clone()),
        ];
        assert!(day(in_grace).is_empty());
        let not_joined = vec![(100, listed("a", Listed::Gone)), (9_000, sent)];
        assert!(day(not_joined).is_empty());

        let arrived = |req| Fact::Arrived {
            host: s("a"),
            req,
            work: Duration::from_millis(600),
        };
        let pushed = vec![(0, started("a", 0.2)), (10, arrived(1)), (20, arrived(2))];
        assert_eq!(day(pushed), ["no cold host pushed over"]);
        let later = vec![
            (0, started("a", 0.2)),
            (10, arrived(1)),
            (2_600, arrived(2)),
        ];
        assert!(day(later).is_empty());

        let message = Fact::Message {
            proxy: s("p"),
            commands: 3,
        };
        let many = vec![
            (0, message.clone()),
            (10, message.clone()),
            (20, message.clone()),
        ];
        assert_eq!(day(many), ["a short queue"]);
        let spread = vec![
            (0, message.clone()),
            (10, message.clone()),
            (10_020, message),
        ];
        assert!(day(spread).is_empty());
        let waiting = Fact::Waiting {
            steward: s("s"),
            lines: 101,
        };
        assert_eq!(day(vec![(0, waiting)]), ["a short queue"]);
    }
}
