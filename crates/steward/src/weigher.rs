//! Weights between the list and the module: what is seen goes to the estimates, problems go out to be solved, and what
//! the planner makes of the answers is handed to the module as listed weights.

use crate::course::Course;
use crate::list::HostList;
use crate::wire::{Event, Output};
use pondarch::types::{HostId, KindId, Span, Standing, Time};
use pondarch_proxy_front::sums::Look;
use pondarch_settings::Site;
use pondarch_weights::planner::KindFacts;
use pondarch_weights::{Estimates, Listed, Plan, Planner, Problem, Seen, Source};
use std::collections::BTreeMap;

pub(crate) struct Weigher {
    pub(crate) planner: Planner,
    start_share: f64,
    /// What the round that is under way brought, by host.
    gathered: BTreeMap<HostId, Seen>,
    pub(crate) started: BTreeMap<HostId, Time>,
    pub(crate) told: Source,
}

impl Weigher {
    pub(crate) fn new(site: &Site, now: Time) -> Weigher {
        let kind = |kind: &pondarch_settings::site::Kind| KindFacts {
            name: kind.name.clone(),
            response_target: kind.response_target.0,
            benefit: kind.benefit,
        };
        let kinds = site.kinds.iter().map(kind).collect();
        let all = site.proxies_of_site.unwrap_or(site.proxies.len() as u64).max(1);
        let own_part = site.proxies.len() as f64 / all as f64;
        Weigher {
            planner: Planner::new(kinds, site.zones.clone(), site.crossing_price, own_part, now),
            start_share: site.cold.start_share,
            gathered: BTreeMap::new(),
            started: BTreeMap::new(),
            told: Source::Listed,
        }
    }

    pub(crate) fn source(&self) -> &'static str {
        self.planner.source().word()
    }

    pub(crate) fn failed(&self) -> Option<&str> {
        self.planner.failed()
    }

    pub(crate) fn wake_at(&self) -> Time {
        self.planner.wake_at()
    }

    pub(crate) fn estimates(&mut self) -> &mut Estimates {
        &mut self.planner.estimates
    }

    /// One proxy's look, of which each figure counts once.
    pub(crate) fn looked(&mut self, look: &Look) {
        for (host, kind, done, took) in &look.done {
            let seen = self.gathered.entry(host.clone()).or_default();
            match seen.done.iter_mut().find(|(k, _, _)| k == kind) {
                Some((_, all, time)) => (*all, *time) = (*all + done, *time + *took),
                None => seen.done.push((*kind, *done, *took)),
            }
            seen.over = seen.over.max(look.over);
        }
    }

    /// The round is over: what it brought of warm hosts is evidence.
    pub(crate) fn closed(
        &mut self,
        now: Time,
        list: &HostList,
        loads: impl Fn(&HostId) -> Option<(f64, f64)>,
    ) {
        for (host, mut seen) in std::mem::take(&mut self.gathered) {
            if list.known.contains_key(&host) && list.warm(&host, now, self.start_share) >= 1.0 {
                seen.load = loads(&host);
                self.planner.estimates.seen(now, &host, &seen);
            }
        }
    }

    pub(crate) fn listed(&self, now: Time, list: &HostList) -> Vec<Listed> {
        let known = list.known.iter().filter(|(_, k)| k.standing != Standing::Gone);
        known
            .map(|(host, k)| Listed {
                host: host.clone(),
                zone: list.zone_of(k),
                cores: k.entry.cores,
                weight: k.entry.weight,
                warm: list.warm(host, now, self.start_share),
                open: k.standing == Standing::Open,
            })
            .collect()
    }
}

impl Course {
    /// Weights for a list that has just come; the listed ones where nobody solves.
    pub(crate) fn weigh_list(&mut self) {
        let (now, list) = (self.now, &mut self.list);
        let Some(weigher) = &mut self.weigher else { return };
        let listed = weigher.listed(now, list);
        let before = std::mem::take(&mut weigher.started);
        weigher.started = list.known.iter().map(|(host, known)| (host.clone(), known.started)).collect();
        let anew = |host: &HostId| before.get(host) != weigher.started.get(host);
        weigher.planner.list_came(&listed, anew);
        list.handed = weigher.planner.handed(now, &listed);
    }

    pub(crate) fn round_closed(&mut self, fresh: Span) {
        let now = self.now;
        let Some(weigher) = &mut self.weigher else { return };
        let loads = &self.loads;
        weigher.closed(now, &self.list, |host| {
            let (at, load) = loads.get(host)?;
            (now - *at <= fresh).then_some((load.busy?, load.queue.unwrap_or(0.0)))
        });
    }

    /// Asks for a plan when it is time, and gives up one that is late.
    pub(crate) fn weigh(&mut self) {
        let now = self.now;
        let Some(weigher) = &mut self.weigher else { return };
        if now < weigher.wake_at() {
            return;
        }
        let late = weigher.planner.gave_up(now);
        let listed = weigher.listed(now, &self.list);
        let problem = weigher.planner.due(now, &listed);
        if late {
            self.tell(Event::PlanFailed { wrong: "the solver is too late".into() });
        }
        match problem {
            Some(Problem { number, fleet }) => self.out.push_back(Output::Solve { number, fleet }),
            // Without answers, weights go back in time; with one, the step is taken when it comes.
            None => self.take_step(),
        }
    }

    pub(crate) fn solved(&mut self, number: u64, answer: Result<Plan, String>) {
        let now = self.now;
        let Some(weigher) = &mut self.weigher else { return };
        let failed = answer.as_ref().err().cloned();
        weigher.planner.answered(now, number, answer);
        match failed {
            Some(wrong) => self.tell(Event::PlanFailed { wrong }),
            None => self.take_step(),
        }
    }

    fn take_step(&mut self) {
        let now = self.now;
        let Some(weigher) = &mut self.weigher else { return };
        let listed = weigher.listed(now, &self.list);
        let stepped = weigher.planner.step(now, &listed);
        let (source, let_in) = (weigher.planner.source(), weigher.planner.let_in());
        let news = std::mem::replace(&mut weigher.told, source) != source;
        self.steward.plan_came(now, let_in);
        if news {
            self.tell(Event::WeightsFrom { source: source.word().into() });
        }
        let Some(handed) = stepped else { return };
        let moved = handed.iter().filter(|(host, weight)| self.list.handed.get(host) != Some(weight));
        let moved = moved.map(|(host, weight)| (host.0.to_string(), *weight)).collect();
        let cause = self.cause.clone();
        self.tell(Event::Weighed { moved, cause });
        let listings = self.list.reweigh(handed);
        self.steward.list_came(now, self.list.version, true, listings);
    }

    pub(crate) fn reqs_asked(&mut self, proxy: u16, kind: KindId, many: f64, over: Span) {
        let peer = &self.peers[proxy as usize];
        let (id, zone) = (peer.id, peer.zone);
        if let Some(weigher) = &mut self.weigher {
            weigher.estimates().asked(id, zone, kind, many, over);
        }
    }
}
