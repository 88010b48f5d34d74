//! Events of the weights that a solver sets: passes observations to the planner, and its plans to the controller.

use crate::event::Event;
use crate::output::Output;
use crate::state::DaemonState;
use pondarch_controller::{HostId, RequestClassId};
use pondarch_weight_solver::{Plan, Problem};
use std::time::Duration;

impl DaemonState {
    /// Sets the planned weights for a new list; without a solver the listed ones are used.
    pub(crate) fn plan_listed_weights(&mut self) {
        let now = self.now;
        let list = &mut self.endpoints;
        let Some(weight_planner) = &mut self.weight_planner else {
            return;
        };
        let listed = weight_planner.planner_hosts(now, list);
        let previous_starts = std::mem::take(&mut weight_planner.started);
        weight_planner.started = list
            .hosts
            .iter()
            .map(|(id, host)| (id.clone(), host.started))
            .collect();
        let has_restarted =
            |host: &HostId| previous_starts.get(host) != weight_planner.started.get(host);
        weight_planner.planner.on_list(&listed, has_restarted);
        list.planned_weights = weight_planner.planner.target_weights(now, &listed);
    }

    /// Ends the planner's report interval, with the reported loads that are not older than `max_age`.
    pub(crate) fn record_observations(&mut self, max_age: Duration) {
        let now = self.now;
        let Some(weight_planner) = &mut self.weight_planner else {
            return;
        };
        let loads = &self.loads;
        weight_planner.close_interval(now, &self.endpoints, |host| {
            let (at, load) = loads.get(host)?;
            (now - *at <= max_age).then_some((load.utilization?, load.queue_length.unwrap_or(0.0)))
        });
    }

    /// Poses the next problem to the solver if it is due, and gives up one whose plan is overdue.
    pub(crate) fn request_plan(&mut self) {
        let now = self.now;
        let Some(weight_planner) = &mut self.weight_planner else {
            return;
        };
        if now < weight_planner.wake_at() {
            return;
        }
        let gave_up = weight_planner.planner.abandon_late_problem(now);
        let listed = weight_planner.planner_hosts(now, &self.endpoints);
        let problem = weight_planner.planner.next_problem(now, &listed);
        if gave_up {
            self.log_event(Event::PlanFailed {
                error: "the solver is too late".into(),
            });
        }
        match problem {
            Some(Problem { number, fleet }) => {
                self.outputs.push_back(Output::Solve { number, fleet })
            }
            // Without plans, the weights return step by step to the listed ones; after a problem was posed, the next
            // step is taken when its plan arrives.
            None => self.apply_plan_step(),
        }
    }

    pub(crate) fn on_plan(&mut self, number: u64, result: Result<Plan, String>) {
        let now = self.now;
        let Some(weight_planner) = &mut self.weight_planner else {
            return;
        };
        let error = result.as_ref().err().cloned();
        weight_planner.planner.on_result(now, number, result);
        match error {
            Some(error) => self.log_event(Event::PlanFailed { error }),
            None => self.apply_plan_step(),
        }
    }

    /// Takes one step towards the weights of the plan, or back to the listed ones, and passes the result to the
    /// controller.
    fn apply_plan_step(&mut self) {
        let now = self.now;
        let Some(weight_planner) = &mut self.weight_planner else {
            return;
        };
        let listed = weight_planner.planner_hosts(now, &self.endpoints);
        let new_weights = weight_planner.planner.advance(now, &listed);
        let source = weight_planner.planner.source();
        let admitted_fraction = weight_planner.planner.admitted_share();
        let source_changed = std::mem::replace(&mut weight_planner.last_source, source) != source;
        self.controller.apply_capacity_plan(now, admitted_fraction);
        if source_changed {
            self.log_event(Event::WeightSourceChanged {
                source: source.name().into(),
            });
        }
        let Some(planned_weights) = new_weights else {
            return;
        };
        let changed = planned_weights
            .iter()
            .filter(|(host, weight)| self.endpoints.planned_weights.get(host) != Some(weight));
        let changed = changed
            .map(|(host, weight)| (host.0.to_string(), *weight))
            .collect();
        let cause = self.cause.clone();
        self.log_event(Event::TargetWeightsChanged {
            weights: changed,
            cause,
        });
        let endpoints = self.endpoints.set_planned_weights(planned_weights);
        self.controller.apply_endpoint_list(
            now,
            pondarch_controller::EndpointList {
                generation: self.endpoints.generation,
                complete: true,
                endpoints,
            },
        );
    }

    /// Adds the requests that a proxy received over a period to the estimates.
    pub(crate) fn record_requests(
        &mut self,
        proxy: u16,
        class: RequestClassId,
        requests: f64,
        period: Duration,
    ) {
        let peer = &self.peers[proxy as usize];
        let id = peer.id;
        let zone = peer.zone;
        if let Some(weight_planner) = &mut self.weight_planner {
            weight_planner
                .estimator()
                .observe_demand(id, zone, class, requests, period);
        }
    }
}
