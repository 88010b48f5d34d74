//! Weights that a solver sets, as events come in: observations go to it, and its plans to the decisions.

use crate::event::Event;
use crate::output::Output;
use crate::state::DaemonState;
use pondarch_controller::{HostId, RequestClassId};
use pondarch_weight_solver::{Plan, Problem};
use std::time::Duration;

impl DaemonState {
    /// Weights for a list that has just come; the listed ones where nobody solves.
    pub(crate) fn plan_listed_weights(&mut self) {
        let now = self.now;
        let list = &mut self.endpoints;
        let Some(weights) = &mut self.weight_planner else {
            return;
        };
        let listed = weights.planner_hosts(now, list);
        let before = std::mem::take(&mut weights.started);
        weights.started = list
            .hosts
            .iter()
            .map(|(host, known)| (host.clone(), known.started))
            .collect();
        let anew = |host: &HostId| before.get(host) != weights.started.get(host);
        weights.planner.on_list(&listed, anew);
        list.planned_weights = weights.planner.target_weights(now, &listed);
    }

    pub(crate) fn record_observations(&mut self, fresh: Duration) {
        let now = self.now;
        let Some(weights) = &mut self.weight_planner else {
            return;
        };
        let loads = &self.loads;
        weights.interval_closed(now, &self.endpoints, |host| {
            let (at, load) = loads.get(host)?;
            (now - *at <= fresh).then_some((load.utilization?, load.queue_length.unwrap_or(0.0)))
        });
    }

    /// Asks for a plan when it is time, and gives up one that is late.
    pub(crate) fn request_plan(&mut self) {
        let now = self.now;
        let Some(weights) = &mut self.weight_planner else {
            return;
        };
        if now < weights.wake_at() {
            return;
        }
        let late = weights.planner.abandon_late_problem(now);
        let listed = weights.planner_hosts(now, &self.endpoints);
        let problem = weights.planner.next_problem(now, &listed);
        if late {
            self.log_event(Event::PlanFailed {
                error: "the solver is too late".into(),
            });
        }
        match problem {
            Some(Problem { number, fleet }) => {
                self.outputs.push_back(Output::Solve { number, fleet })
            }
            // Without answers, weights return to the listed ones in time; with one, the step is taken when it arrives.
            None => self.apply_plan_step(),
        }
    }

    pub(crate) fn on_plan(&mut self, number: u64, answer: Result<Plan, String>) {
        let now = self.now;
        let Some(weights) = &mut self.weight_planner else {
            return;
        };
        let failed = answer.as_ref().err().cloned();
        weights.planner.on_result(now, number, answer);
        match failed {
            Some(error) => self.log_event(Event::PlanFailed { error }),
            None => self.apply_plan_step(),
        }
    }

    fn apply_plan_step(&mut self) {
        let now = self.now;
        let Some(weights) = &mut self.weight_planner else {
            return;
        };
        let listed = weights.planner_hosts(now, &self.endpoints);
        let stepped = weights.planner.advance(now, &listed);
        let source = weights.planner.source();
        let admitted_rates = weights.planner.admitted_share();
        let source_changed = std::mem::replace(&mut weights.last_source, source) != source;
        self.controller.apply_capacity_plan(now, admitted_rates);
        if source_changed {
            self.log_event(Event::WeightSourceChanged {
                source: source.name().into(),
            });
        }
        let Some(planned_weights) = stepped else {
            return;
        };
        let moved = planned_weights
            .iter()
            .filter(|(host, weight)| self.endpoints.planned_weights.get(host) != Some(weight));
        let moved = moved
            .map(|(host, weight)| (host.0.to_string(), *weight))
            .collect();
        let cause = self.cause.clone();
        self.log_event(Event::TargetWeightsChanged {
            weights: moved,
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

    pub(crate) fn record_requests(
        &mut self,
        proxy: u16,
        class: RequestClassId,
        many: f64,
        over: Duration,
    ) {
        let peer = &self.peers[proxy as usize];
        let id = peer.id;
        let zone = peer.zone;
        if let Some(weights) = &mut self.weight_planner {
            weights
                .estimator()
                .observe_demand(id, zone, class, many, over);
        }
    }
}
