//! Weights between the list and the decisions: observations go to the estimates, problems go out to be solved, and what
//! the planner makes of the plans is given to the decisions as listed weights.

use crate::endpoint_list::EndpointList;
use pondarch_config::Site;
use pondarch_controller::{EndpointState, HostId, Time};
use pondarch_proxy_session::sums::Look;
use pondarch_weight_solver::planner::ClassSettings;
use pondarch_weight_solver::{Estimator, HostObservation, ListedHost, Planner, WeightSource};
use std::collections::BTreeMap;

pub(crate) struct WeightPlanner {
    pub(crate) planner: Planner,
    start_share: f64,
    /// Observations of the interval that is open, by host.
    observed: BTreeMap<HostId, HostObservation>,
    pub(crate) started: BTreeMap<HostId, Time>,
    pub(crate) last_source: WeightSource,
}

impl WeightPlanner {
    pub(crate) fn new(site: &Site, now: Time) -> WeightPlanner {
        let class = |class: &pondarch_config::site::Kind| ClassSettings {
            name: class.name.clone(),
            latency_objective: class.response_target.0,
            benefit: class.benefit,
        };
        let classes = site.kinds.iter().map(class).collect();
        let all = site
            .proxies_of_site
            .unwrap_or(site.proxies.len() as u64)
            .max(1);
        let own_part = site.proxies.len() as f64 / all as f64;
        WeightPlanner {
            planner: Planner::new(
                classes,
                site.zones.clone(),
                site.crossing_price,
                own_part,
                now,
            ),
            start_share: site.cold.start_share,
            observed: BTreeMap::new(),
            started: BTreeMap::new(),
            last_source: WeightSource::Listed,
        }
    }

    pub(crate) fn source(&self) -> &'static str {
        self.planner.source().name()
    }

    pub(crate) fn failed(&self) -> Option<&str> {
        self.planner.last_error()
    }

    pub(crate) fn wake_at(&self) -> Time {
        self.planner.wake_at()
    }

    pub(crate) fn estimator(&mut self) -> &mut Estimator {
        &mut self.planner.estimator
    }

    /// Counters of one proxy, of which each figure counts once.
    pub(crate) fn record(&mut self, look: &Look) {
        for (host, class, done, took) in &look.done {
            let seen = self.observed.entry(host.clone()).or_default();
            match seen.completed.iter_mut().find(|(k, _, _)| k == class) {
                Some((_, all, time)) => (*all, *time) = (*all + done, *time + *took),
                None => seen.completed.push((*class, *done, *took)),
            }
            seen.period = seen.period.max(look.over);
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
                self.planner.estimator.observe_host(now, &host, &seen);
            }
        }
    }

    pub(crate) fn planner_hosts(&self, now: Time, list: &EndpointList) -> Vec<ListedHost> {
        let known = list
            .hosts
            .iter()
            .filter(|(_, k)| k.state != EndpointState::Removed);
        known
            .map(|(host, k)| ListedHost {
                id: host.clone(),
                zone: list.zone_of(k),
                cores: k.entry.cores,
                weight: k.entry.weight,
                warm_fraction: list.warm_fraction(host, now, self.start_share),
                ready: k.state == EndpointState::Ready,
            })
            .collect()
    }
}
