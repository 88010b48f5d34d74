//! Outcomes of a report interval that has ended are applied to the decisions.

use crate::outcome_aggregator::AggregatedOutcomes;
use crate::output::Output;
use crate::state::{DaemonState, MAX_LOAD_REPORT_PERIODS};
use pondarch_controller::DurationExt;
use pondarch_controller::{AttemptOutcomes, HostId};
use pondarch_load_ingestion::{Candidate, Purpose, age};
use std::collections::BTreeMap;
use std::time::Duration;

impl DaemonState {
    /// Applies the outcomes of an interval that has ended, within the budget, each with its age.
    pub(crate) fn apply_outcomes(&mut self, gathered: BTreeMap<HostId, AggregatedOutcomes>) {
        let now = self.now;
        let interval = self.report_interval;
        let stale = gathered
            .iter()
            .filter(|(_, of)| now - of.oldest_at >= age::STALE)
            .count();
        let mut gathered: Vec<(HostId, AggregatedOutcomes)> = gathered
            .into_iter()
            .filter(|(_, of)| now - of.oldest_at < age::STALE)
            .collect();
        let deferred = self.defer_beyond_budget(&mut gathered);
        let oldest = gathered
            .iter()
            .map(|(_, of)| now - of.oldest_at)
            .max()
            .unwrap_or(Duration::ZERO);
        let mut lines: BTreeMap<HostId, AttemptOutcomes> = gathered
            .into_iter()
            .map(|(host, of)| (host, of.outcomes))
            .collect();
        for (host, outcomes) in self
            .self_reported_outcomes()
            .into_iter()
            .chain(self.unobservable_hosts())
        {
            lines.entry(host).or_insert(outcomes);
        }
        if !lines.is_empty() || deferred > 0 {
            let hosts = lines.len();
            let oldest_us = oldest.micros();
            self.outputs.push_back(Output::LoadReportsApplied {
                hosts,
                deferred,
                oldest_us,
                dropped: stale,
            });
        }
        let fresh = self
            .load_interval
            .unwrap_or(Duration::ZERO)
            .max(interval)
            .scaled(MAX_LOAD_REPORT_PERIODS);
        self.record_outcomes(lines, fresh);
        self.record_observations(fresh);
        self.log_rejected_reports();
        self.enforce_memory_limits();
    }

    /// Keeps as many as may be applied now and puts the others off to the next interval; gives how many were put off.
    fn defer_beyond_budget(&mut self, gathered: &mut Vec<(HostId, AggregatedOutcomes)>) -> usize {
        let now = self.now;
        let interval = self.report_interval;
        let budget = self
            .max_outcomes_per_second
            .map_or(usize::MAX, |per_second| {
                (per_second * interval.seconds()).max(1.0) as usize
            });
        if gathered.len() <= budget {
            return 0;
        }
        let candidates: Vec<Candidate> = gathered
            .iter()
            .map(|(host, of)| self.candidate(host, of))
            .collect();
        let chosen = self.selection.among(now, interval, &candidates, budget);
        let mut n = 0;
        let not_chosen = |_: &mut (HostId, AggregatedOutcomes)| {
            n += 1;
            chosen.binary_search(&(n - 1)).is_err()
        };
        let rest: Vec<_> = gathered.extract_if(.., not_chosen).collect();
        let deferred = rest.len();
        let decay = age::faded(interval);
        for (host, of) in rest {
            let outcomes = AttemptOutcomes {
                attempts: of.outcomes.attempts * decay,
                failures: of.outcomes.failures * decay,
                period: of.outcomes.period + interval,
                ..of.outcomes
            };
            self.outcomes
                .defer(host, AggregatedOutcomes { outcomes, ..of });
        }
        deferred
    }

    /// Gives outcomes to the decisions, each with the load of its host if that is recent enough.
    fn record_outcomes(&mut self, lines: BTreeMap<HostId, AttemptOutcomes>, fresh: Duration) {
        let now = self.now;
        for (host, outcomes) in lines {
            let load = self.loads.get(&host).filter(|(at, _)| now - *at <= fresh);
            let load = load.map(|(_, load)| load.host_load());
            let outcomes = AttemptOutcomes { load, ..outcomes };
            self.controller.record_outcomes(now, &host, outcomes);
            self.outcomes_applied_at.insert(host.clone(), now);
            self.last_outcomes.insert(host, outcomes);
        }
    }

    fn enforce_memory_limits(&mut self) {
        let reports =
            self.outcomes.bytes() + self.pushed_reports.bytes() + self.loads.len() as u64 * 150;
        if !self.memory.takes(Purpose::Reports, reports) {
            let times = self
                .pushed_reports
                .drop_histories(reports - Purpose::Reports.cap());
            self.memory.capped(Purpose::Reports, times);
        }
        let tables = self.tables.bytes()
            + self
                .peers
                .iter()
                .map(|peer| peer.session.estimated_bytes())
                .sum::<u64>();
        if !self.memory.takes(Purpose::Tables, tables) {
            let used = self
                .peers
                .iter()
                .flat_map(|peer| peer.bindings.values().copied())
                .collect();
            let times = self.tables.drop_unused(&used);
            self.memory.capped(Purpose::Tables, times);
        }
    }

    fn candidate(&self, host: &HostId, of: &AggregatedOutcomes) -> Candidate {
        Candidate {
            host: host.clone(),
            told: self
                .outcomes_applied_at
                .get(host)
                .copied()
                .unwrap_or_default(),
            tries: of.outcomes.attempts,
            errored: of.outcomes.failures,
            changing: self.endpoints.is_warming_up(host, self.now)
                || self.endpoints.must_drain(host),
        }
    }
}
