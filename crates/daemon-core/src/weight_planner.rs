//! Weights set by a solver: observations go into the planner's estimates, the planner poses problems to the solver, and
//! the weights that follow from its plans are given to the controller in place of the listed ones.

use crate::endpoint_list::EndpointList;
use pondarch_config::SiteSettings;
use pondarch_controller::{EndpointState, HostId, Time};
use pondarch_proxy_session::counters::CounterDelta;
use pondarch_weight_solver::planner::ClassSettings;
use pondarch_weight_solver::{Estimator, HostObservation, ListedHost, Planner, WeightSource};
use std::collections::BTreeMap;

pub(crate) struct WeightPlanner {
    pub(crate) planner: Planner,
    start_share: f64,
    /// Observations of the current report interval, by host.
    observed: BTreeMap<HostId, HostObservation>,
    /// Start time of each host in the latest list; another one means that the host restarted.
    pub(crate) started: BTreeMap<HostId, Time>,
    pub(crate) last_source: WeightSource,
}

impl WeightPlanner {
    pub(crate) fn new(site: &SiteSettings, now: Time) -> WeightPlanner {
        let class = |class: &pondarch_config::site::RequestClassSettings| ClassSettings {
            name: class.name.clone(),
            latency_objective: class.latency_objective.0,
            benefit: class.priority_weight,
        };
        let classes = site.request_classes.iter().map(class).collect();
        let proxies_of_site = site
            .site_proxy_count
            .unwrap_or(site.proxies.len() as u64)
            .max(1);
        let own_part = site.proxies.len() as f64 / proxies_of_site as f64;
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
            last_source: WeightSource::Listed,
        }
    }

    /// The current source of the weights, in its wire text.
    pub(crate) fn source(&self) -> &'static str {
        self.planner.source().name()
    }

    /// Why the latest problem got no plan; none: it got one.
    pub(crate) fn failed(&self) -> Option<&str> {
        self.planner.last_error()
    }

    pub(crate) fn wake_at(&self) -> Time {
        self.planner.wake_at()
    }

    pub(crate) fn estimator(&mut self) -> &mut Estimator {
        &mut self.planner.estimator
    }

    /// Adds counters of one proxy to the observations; each counter difference is recorded only once.
    pub(crate) fn record(&mut self, delta: &CounterDelta) {
        for (host, class, done, took) in &delta.completed {
            let observed = self.observed.entry(host.clone()).or_default();
            match observed
                .completed
                .iter_mut()
                .find(|(known, _, _)| known == class)
            {
                Some((_, total, time)) => (*total, *time) = (*total + done, *time + *took),
                None => observed.completed.push((*class, *done, *took)),
            }
            observed.period = observed.period.max(delta.period);
        }
    }

    /// Ends the report interval: its observations of hosts that are not warming up go into the estimates.
    pub(crate) fn close_interval(
        &mut self,
        now: Time,
        list: &EndpointList,
        loads: impl Fn(&HostId) -> Option<(f64, f64)>,
    ) {
        for (host, mut observed) in std::mem::take(&mut self.observed) {
            if list.hosts.contains_key(&host)
                && list.warm_fraction(&host, now, self.start_share) >= 1.0
            {
                observed.load = loads(&host);
                self.planner.estimator.observe_host(now, &host, &observed);
            }
        }
    }

    /// The hosts of the list in the planner's form.
    pub(crate) fn planner_hosts(&self, now: Time, list: &EndpointList) -> Vec<ListedHost> {
        let listed = list
            .hosts
            .iter()
            .filter(|(_, host)| host.state != EndpointState::Removed);
        listed
            .map(|(id, host)| ListedHost {
                id: id.clone(),
                zone: list.zone_of(host),
                cores: host.entry.cores,
                weight: host.entry.weight,
                warm_fraction: list.warm_fraction(id, now, self.start_share),
                ready: host.state == EndpointState::Ready,
            })
            .collect()
    }
}
