//! Service: benefit answered within the response target over benefit asked for.

use crate::client::Kind;
use crate::observations::{Fact, How};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// What was asked for and answered, of the reqs asked within one span.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Service {
    pub asked: u64,
    pub done: u64,
    pub in_time: u64,
    pub denied: u64,
    pub errored: u64,
    pub benefit_asked: f64,
    pub benefit_in_time: f64,
}

impl Service {
    /// The share of the benefit; none where nothing was asked for.
    pub fn share(&self) -> Option<f64> {
        (self.benefit_asked > 0.0).then(|| self.benefit_in_time / self.benefit_asked)
    }
}

/// Service of the reqs asked from `from` until before `to`.
pub fn service(
    facts: &[(Duration, Fact)],
    kinds: &[Kind],
    from: Duration,
    to: Duration,
) -> Service {
    let of: BTreeMap<&str, &Kind> = kinds.iter().map(|kind| (kind.name, kind)).collect();
    let mut asked: BTreeMap<u64, &Kind> = BTreeMap::new();
    let mut service = Service::default();
    for (at, fact) in facts {
        match fact {
            Fact::Asked { kind, req } if (from..to).contains(at) => {
                let Some(kind) = of.get(kind.as_str()) else {
                    continue;
                };
                asked.insert(*req, kind);
                service.asked += 1;
                service.benefit_asked += kind.benefit;
            }
            Fact::Ended { req, how, took, .. } => {
                let Some(kind) = asked.get(req) else { continue };
                match how {
                    How::Done => {
                        service.done += 1;
                        if *took <= kind.response_target {
                            service.in_time += 1;
                            service.benefit_in_time += kind.benefit;
                        }
                    }
                    How::Denied => service.denied += 1,
                    How::Errored => service.errored += 1,
                }
            }
            _ => {}
        }
    }
    service
}

/// How fast traffic moved off a host that got slow at `since`: when the first proxy's line of it became lighter,
/// and when the host's part of all tries fell under half of what it was in the `before` span.
pub fn moved(
    facts: &[(Duration, Fact)],
    host: &str,
    since: Duration,
    before: Duration,
) -> (Option<Duration>, Option<Duration>) {
    let tries = |from: Duration, to: Duration| {
        let within = facts.iter().filter(|(at, _)| (from..to).contains(at));
        within.fold((0u32, 0u32), |(here, all), (_, fact)| match fact {
            Fact::Try { host: to, .. } => (here + u32::from(to == host), all + 1),
            _ => (here, all),
        })
    };
    let share = |(here, all): (u32, u32)| f64::from(here) / f64::from(all.max(1));
    let usual = share(tries(since.saturating_sub(before), since));
    // A proxy's own keeping away does not change its table: only an order does.
    let mut weights: BTreeMap<(&str, &str), f64> = BTreeMap::new();
    let mut first = None;
    for (at, fact) in facts {
        let Fact::Lines { proxy, kind, lines } = fact else {
            continue;
        };
        let total: f64 = lines.iter().map(|(_, weight)| f64::from(*weight)).sum();
        let own = lines
            .iter()
            .find(|(name, _)| name == host)
            .map_or(0.0, |(_, w)| f64::from(*w));
        let part = own / total.max(1.0);
        let held = weights.insert((proxy, kind), part);
        if *at > since && held.is_some_and(|held| part < held * 0.9) {
            first = first.or(Some(*at - since));
        }
    }
    let step = Duration::from_millis(100);
    let window = Duration::from_secs(1);
    let end = facts.last().map_or(since, |(at, _)| *at);
    let mut at = since + window;
    let mut half = None;
    while at <= end && half.is_none() {
        if usual > 0.0 && share(tries(at - window, at)) < usual / 2.0 {
            half = Some(at - since);
        }
        at += step;
    }
    (first, half)
}
