//! Weights that a solver sets, in the course of things: what is seen goes to it, and what it answers to the module.

use crate::course::Course;
use crate::event::Event;
use crate::output::Output;
use pondarch_controller::{HostId, RequestClassId};
use pondarch_weight_solver::{Plan, Problem};
use std::time::Duration;

impl Course {
    /// Weights for a list that has just come; the listed ones where nobody solves.
    pub(crate) fn weigh_list(&mut self) {
        let (now, list) = (self.now, &mut self.list);
        let Some(weigher) = &mut self.weigher else {
            return;
        };
        let listed = weigher.listed(now, list);
        let before = std::mem::take(&mut weigher.started);
        weigher.started = list
            .known
            .iter()
            .map(|(host, known)| (host.clone(), known.started))
            .collect();
        let anew = |host: &HostId| before.get(host) != weigher.started.get(host);
        weigher.planner.list_came(&listed, anew);
        list.handed = weigher.planner.handed(now, &listed);
    }

    pub(crate) fn round_closed(&mut self, fresh: Duration) {
        let now = self.now;
        let Some(weigher) = &mut self.weigher else {
            return;
        };
        let loads = &self.loads;
        weigher.closed(now, &self.list, |host| {
            let (at, load) = loads.get(host)?;
            (now - *at <= fresh).then_some((load.utilization?, load.queue_length.unwrap_or(0.0)))
        });
    }

    /// Asks for a plan when it is time, and gives up one that is late.
    pub(crate) fn weigh(&mut self) {
        let now = self.now;
        let Some(weigher) = &mut self.weigher else {
            return;
        };
        if now < weigher.wake_at() {
            return;
        }
        let late = weigher.planner.gave_up(now);
        let listed = weigher.listed(now, &self.list);
        let problem = weigher.planner.due(now, &listed);
        if late {
            self.tell(Event::PlanFailed {
                error: "the solver is too late".into(),
            });
        }
        match problem {
            Some(Problem { number, fleet }) => self.out.push_back(Output::Solve { number, fleet }),
            // Without answers, weights go back in time; with one, the step is taken when it comes.
            None => self.take_step(),
        }
    }

    pub(crate) fn solved(&mut self, number: u64, answer: Result<Plan, String>) {
        let now = self.now;
        let Some(weigher) = &mut self.weigher else {
            return;
        };
        let failed = answer.as_ref().err().cloned();
        weigher.planner.answered(now, number, answer);
        match failed {
            Some(wrong) => self.tell(Event::PlanFailed { error: wrong }),
            None => self.take_step(),
        }
    }

    fn take_step(&mut self) {
        let now = self.now;
        let Some(weigher) = &mut self.weigher else {
            return;
        };
        let listed = weigher.listed(now, &self.list);
        let stepped = weigher.planner.step(now, &listed);
        let (source, let_in) = (weigher.planner.source(), weigher.planner.let_in());
        let news = std::mem::replace(&mut weigher.told, source) != source;
        self.steward.apply_capacity_plan(now, let_in);
        if news {
            self.tell(Event::WeightSourceChanged {
                source: source.word().into(),
            });
        }
        let Some(handed) = stepped else { return };
        let moved = handed
            .iter()
            .filter(|(host, weight)| self.list.handed.get(host) != Some(weight));
        let moved = moved
            .map(|(host, weight)| (host.0.to_string(), *weight))
            .collect();
        let cause = self.cause.clone();
        self.tell(Event::TargetWeightsChanged {
            weights: moved,
            cause,
        });
        let listings = self.list.reweigh(handed);
        self.steward
            .apply_endpoint_list(now, self.list.version, true, listings);
    }

    pub(crate) fn reqs_asked(
        &mut self,
        proxy: u16,
        kind: RequestClassId,
        many: f64,
        over: Duration,
    ) {
        let peer = &self.peers[proxy as usize];
        let (id, zone) = (peer.id, peer.zone);
        if let Some(weigher) = &mut self.weigher {
            weigher.estimates().asked(id, zone, kind, many, over);
        }
    }
}
