//! Weights between the list and the decisions: observations go to the estimates, problems go out to be solved, and what
//! the planner makes of the plans is given to the decisions as listed weights.

use crate::endpoint_list::EndpointList;
use pondarch_config::SiteSettings;
use pondarch_controller::{EndpointState, HostId, Time};
use pondarch_proxy_session::sums::Look;
use pondarch_weight_solver::planner::KindFacts;
use pondarch_weight_solver::{Estimates, Listed, Planner, Seen, Source};
use std::collections::BTreeMap;

pub(crate) struct WeightPlanner {
    pub(crate) planner: Planner,
    start_share: f64,
    /// Observations of the interval that is open, by host.
    observed: BTreeMap<HostId, Seen>,
    pub(crate) started: BTreeMap<HostId, Time>,
    pub(crate) last_source: Source,
}

impl WeightPlanner {
    pub(crate) fn new(site: &SiteSettings, now: Time) -> WeightPlanner {
        let class = |class: &pondarch_config::site::RequestClassSettings| KindFacts {
            name: class.name.clone(),
            response_target: class.latency_objective.0,
            benefit: class.priority_weight,
        };
        let classes = site.request_classes.iter().map(class).collect();
        let all = site
            .site_proxy_count
            .unwrap_or(site.proxies.len() as u64)
            .max(1);
        let own_part = site.proxies.len() as f64 / all as f64;
        WeightPlanner {
            planner: Planner::new(
                classes,
                site.zones.clone(),
                site.cross_zone_cost,
                own_part,
                now,
            ),
            start_share: site.slow_start.initial_capacity,
            observed: BTreeMap::new(),
            started: BTreeMap::new(),
            last_source: Source::Listed,
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

    /// Counters of one proxy, of which each figure counts once.
    pub(crate) fn record(&mut self, look: &Look) {
        for (host, class, done, took) in &look.done {
            let seen = self.observed.entry(host.clone()).or_default();
            match seen.done.iter_mut().find(|(k, _, _)| k == class) {
                Some((_, all, time)) => (*all, *time) = (*all + done, *time + *took),
                None => seen.done.push((*class, *done, *took)),
            }
            seen.over = seen.over.max(look.over);
        }
    }

    /// The interval is over: its observations of warm hosts are evidence.
    pub(crate) fn interval_closed(
        &mut self,
        now: Time,
        list: &EndpointList,
        loads: impl Fn(&HostId) -> Option<(f64, f64)>,
    ) {
        for (host, mut seen) in std::mem::take(&mut self.observed) {
            if list.hosts.contains_key(&host)
                && list.warm_fraction(&host, now, self.start_share) >= 1.0
            {
                seen.load = loads(&host);
                self.planner.estimates.seen(now, &host, &seen);
            }
        }
    }

    pub(crate) fn planner_hosts(&self, now: Time, list: &EndpointList) -> Vec<Listed> {
        let known = list
            .hosts
            .iter()
            .filter(|(_, k)| k.state != EndpointState::Removed);
        known
            .map(|(host, k)| Listed {
                host: host.clone(),
                zone: list.zone_of(k),
                cores: k.entry.cores,
                weight: k.entry.weight,
                warm: list.warm_fraction(host, now, self.start_share),
                open: k.state == EndpointState::Ready,
            })
            .collect()
    }
}
