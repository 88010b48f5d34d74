//! What a stage came to, from what crossed the sockets; and the best that anybody could have done.

use super::{Plan, Site, SiteHost};
use crate::client::Kind;
use crate::observations::Fact;
use crate::service_level::{Service, service};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Weights by host as one steward showed them, one look after the other.
pub(super) type Weights = Vec<BTreeMap<String, f64>>;

/// The span over which a host's load is looked at, and the one for a new host (as the rule on cold ones has it).
const LOAD_OVER: Duration = Duration::from_secs(5);
const COLD_OVER: Duration = Duration::from_secs(2);

#[derive(Clone, Debug, Serialize)]
pub struct Judged {
    pub service: Service,
    /// The share of the benefit answered in time.
    pub share: f64,
    /// Work brought to the busiest host over what it can do, over 5 s; the mean over these spans.
    pub busiest: f64,
    /// Work brought to the new host over what it could do then, over 2 s: the most while it was cold.
    pub new_most: f64,
    /// Changes of a weight by host and minute while judged, and how many of them went back on the one before.
    pub changes: f64,
    pub turns: f64,
    pub hosts: Vec<HostJudged>,
}

/// One host of the site: what it can do, the list's word, the weight it had at last, and the work brought to it while
/// judged over what it can do.
#[derive(Clone, Debug, Serialize)]
pub struct HostJudged {
    pub name: String,
    pub capacity: f64,
    pub listed: f64,
    pub weight: f64,
    pub load: f64,
}

impl Judged {
    pub(super) fn of(
        facts: &[(Duration, Fact)],
        plan: &Plan,
        site: &Site,
        kinds: &[Kind],
        from: Duration,
        weights: &[Weights],
    ) -> Judged {
        let service = service(facts, kinds, from, from + plan.judged);
        let (changes, turns) = moves(plan, weights);
        let share = service.share().unwrap_or(0.0);
        let busiest = busiest(facts, site, from, plan.judged);
        let work = brought(facts, from, from + plan.judged);
        let last = weights.first().and_then(|seen| seen.last());
        let host = |host: &SiteHost| HostJudged {
            name: host.name.clone(),
            capacity: host.capacity(),
            listed: host.listed,
            weight: last
                .and_then(|weights| weights.get(&host.name).copied())
                .unwrap_or(host.listed),
            load: work.get(host.name.as_str()).copied().unwrap_or(0.0)
                / host.capacity()
                / plan.judged.as_secs_f64(),
        };
        let hosts = site.hosts.iter().chain([&site.new]).map(host).collect();
        let new_most = new_most(facts, plan, site);
        Judged {
            service,
            share,
            busiest,
            new_most,
            changes,
            turns,
            hosts,
        }
    }
}

/// Work brought to each host between two times.
fn brought(facts: &[(Duration, Fact)], from: Duration, to: Duration) -> BTreeMap<&str, f64> {
    let mut work: BTreeMap<&str, f64> = BTreeMap::new();
    // They are in order of time, and are looked at window by window.
    let place = |time| facts.partition_point(|(at, _)| *at < time);
    for (_, fact) in &facts[place(from)..place(to.max(from))] {
        if let Fact::Arrived { host, work: of, .. } = fact {
            *work.entry(host).or_default() += of.as_secs_f64();
        }
    }
    work
}

fn busiest(facts: &[(Duration, Fact)], site: &Site, from: Duration, span: Duration) -> f64 {
    let spans = (span.as_secs_f64() / LOAD_OVER.as_secs_f64()).floor() as u32;
    let of = |n: u32| {
        let from = from + LOAD_OVER * n;
        let work = brought(facts, from, from + LOAD_OVER);
        let part = |host: &SiteHost| {
            work.get(host.name.as_str()).copied().unwrap_or(0.0)
                / host.capacity()
                / LOAD_OVER.as_secs_f64()
        };
        site.hosts.iter().map(part).fold(0.0, f64::max)
    };
    (0..spans).map(of).sum::<f64>() / f64::from(spans.max(1))
}

fn new_most(facts: &[(Duration, Fact)], plan: &Plan, site: &Site) -> f64 {
    let is_new =
        |fact: &Fact| matches!(fact, Fact::HostStarted { host, .. } if *host == site.new.name);
    let Some(started) = facts
        .iter()
        .find(|(_, fact)| is_new(fact))
        .map(|(at, _)| *at)
    else {
        return 0.0;
    };
    let (mut most, mut at) = (0.0f64, started);
    while at + COLD_OVER <= started + plan.warm_within {
        let age = (at - started).as_secs_f64() / plan.warm_within.as_secs_f64();
        let share = plan.start_share + (1.0 - plan.start_share) * age;
        let work = brought(facts, at, at + COLD_OVER)
            .get(site.new.name.as_str())
            .copied()
            .unwrap_or(0.0);
        most = most.max(work / (site.new.capacity() * share * COLD_OVER.as_secs_f64()));
        at += COLD_OVER / 4;
    }
    most
}

/// Changes of weights by host and minute in the second half, and how many went back.
fn moves(plan: &Plan, weights: &[Weights]) -> (f64, f64) {
    let (mut changes, mut turns, mut hosts) = (0.0, 0.0, 0.0);
    for seen in weights {
        let judged = &seen[seen.len() / 2..];
        let Some(last) = judged.last() else { continue };
        for host in last.keys() {
            hosts += 1.0;
            let path: Vec<f64> = judged
                .iter()
                .filter_map(|weights| weights.get(host).copied())
                .collect();
            let steps: Vec<f64> = path
                .windows(2)
                .map(|two| two[1] - two[0])
                .filter(|step| step.abs() > 1e-3)
                .collect();
            changes += steps.len() as f64;
            turns += steps.windows(2).filter(|two| two[0] * two[1] < 0.0).count() as f64;
        }
    }
    let minutes = hosts * plan.judged.as_secs_f64() / 60.0;
    if minutes > 0.0 {
        (changes / minutes, turns / minutes)
    } else {
        (0.0, 0.0)
    }
}

/// No way of weighing could answer more of the benefit in time: the work asked for fills all hosts, the new one as
/// far as it can work, by benefit a second of work; nothing ever waits, and any host serves any proxy.
pub fn best(
    facts: &[(Duration, Fact)],
    plan: &Plan,
    site: &Site,
    kinds: &[Kind],
    from: Duration,
) -> f64 {
    let mut asked = vec![0.0; kinds.len()];
    for (at, fact) in facts {
        if let Fact::Asked { kind, .. } = fact
            && (from..from + plan.judged).contains(at)
            && let Some(k) = kinds.iter().position(|of| of.name == kind)
        {
            asked[k] += 1.0;
        }
    }
    // What is asked for near the end may be answered after it, within its target.
    let target = kinds
        .iter()
        .map(|kind| kind.response_target)
        .max()
        .unwrap_or_default();
    let (span, warming) = (plan.judged + target, plan.warm_within.min(plan.judged));
    let lost = (1.0 - plan.start_share) / 2.0 * warming.as_secs_f64();
    let mut left =
        site.capacity() * span.as_secs_f64() + site.new.capacity() * (span.as_secs_f64() - lost);
    let mut order: Vec<usize> = (0..kinds.len()).collect();
    let per_work = |k: &usize| kinds[*k].benefit / kinds[*k].work.as_secs_f64();
    order.sort_by(|a, b| per_work(b).total_cmp(&per_work(a)));
    let (mut gained, mut all) = (0.0, 0.0);
    for k in order {
        let work = kinds[k].work.as_secs_f64();
        let served = (left / work).min(asked[k]).max(0.0);
        left -= served * work;
        gained += served * kinds[k].benefit;
        all += asked[k] * kinds[k].benefit;
    }
    if all > 0.0 { gained / all } else { 1.0 }
}
