//! Applies the outcomes of a report interval that has ended.

use crate::outcome_aggregator::AggregatedOutcomes;
use crate::output::Output;
use crate::state::{DaemonState, MAX_LOAD_REPORT_PERIODS};
use pondarch_controller::DurationExt;
use pondarch_controller::{AttemptOutcomes, HostId};
use pondarch_load_ingestion::{Candidate, Purpose, decay};
use std::collections::BTreeMap;
use std::time::Duration;

impl DaemonState {
    /// Applies the outcomes of an interval that has ended. Those that are too old are dropped, and those beyond the
    /// budget are deferred to the next interval.
    pub(crate) fn apply_outcomes(&mut self, aggregated: BTreeMap<HostId, AggregatedOutcomes>) {
        let now = self.now;
        let interval = self.report_interval;
        let stale = aggregated
            .iter()
            .filter(|(_, outcomes)| now - outcomes.oldest_at >= decay::MAX_AGE)
            .count();
        let mut aggregated: Vec<(HostId, AggregatedOutcomes)> = aggregated
            .into_iter()
            .filter(|(_, outcomes)| now - outcomes.oldest_at < decay::MAX_AGE)
            .collect();
        let deferred = self.defer_beyond_budget(&mut aggregated);
        let max_age = aggregated
            .iter()
            .map(|(_, outcomes)| now - outcomes.oldest_at)
            .max()
            .unwrap_or(Duration::ZERO);
        let mut outcomes_by_host: BTreeMap<HostId, AttemptOutcomes> = aggregated
            .into_iter()
            .map(|(host, aggregated)| (host, aggregated.outcomes))
            .collect();
        for (host, outcomes) in self
            .self_reported_outcomes()
            .into_iter()
            .chain(self.unobservable_hosts())
        {
            outcomes_by_host.entry(host).or_insert(outcomes);
        }
        if !outcomes_by_host.is_empty() || deferred > 0 {
            let hosts = outcomes_by_host.len();
            let oldest_us = max_age.micros();
            self.outputs.push_back(Output::LoadReportsApplied {
                hosts,
                deferred,
                oldest_us,
                dropped: stale,
            });
        }
        let max_load_age = self
            .load_interval
            .unwrap_or(Duration::ZERO)
            .max(interval)
            .scaled(MAX_LOAD_REPORT_PERIODS);
        self.record_outcomes(outcomes_by_host, max_load_age);
        self.record_observations(max_load_age);
        self.log_rejected_reports();
        self.enforce_memory_limits();
    }

    /// Keeps the outcomes that the budget allows, and defers the others to the next interval; returns how many were
    /// deferred.
    fn defer_beyond_budget(&mut self, aggregated: &mut Vec<(HostId, AggregatedOutcomes)>) -> usize {
        let now = self.now;
        let interval = self.report_interval;
        let budget = self
            .max_outcomes_per_second
            .map_or(usize::MAX, |per_second| {
                (per_second * interval.seconds()).max(1.0) as usize
            });
        if aggregated.len() <= budget {
            return 0;
        }
        let candidates: Vec<Candidate> = aggregated
            .iter()
            .map(|(host, outcomes)| self.candidate(host, outcomes))
            .collect();
        let chosen = self.selection.select(now, interval, &candidates, budget);
        let mut visited = 0;
        let not_chosen = |_: &mut (HostId, AggregatedOutcomes)| {
            visited += 1;
            chosen.binary_search(&(visited - 1)).is_err()
        };
        let deferred_outcomes: Vec<_> = aggregated.extract_if(.., not_chosen).collect();
        let deferred = deferred_outcomes.len();
        let decay = decay::remaining_weight(interval);
        for (host, aggregated) in deferred_outcomes {
            let outcomes = AttemptOutcomes {
                attempts: aggregated.outcomes.attempts * decay,
                failures: aggregated.outcomes.failures * decay,
                period: aggregated.outcomes.period + interval,
                ..aggregated.outcomes
            };
            self.outcomes.defer(
                host,
                AggregatedOutcomes {
                    outcomes,
                    ..aggregated
                },
            );
        }
        deferred
    }

    /// Passes outcomes to the controller, each with the load of its host if that is not older than `max_load_age`.
    fn record_outcomes(
        &mut self,
        outcomes_by_host: BTreeMap<HostId, AttemptOutcomes>,
        max_load_age: Duration,
    ) {
        let now = self.now;
        for (host, outcomes) in outcomes_by_host {
            let load = self
                .loads
                .get(&host)
                .filter(|(at, _)| now - *at <= max_load_age);
            let load = load.map(|(_, load)| load.host_load());
            let outcomes = AttemptOutcomes { load, ..outcomes };
            self.controller.record_outcomes(now, &host, outcomes);
            self.outcomes_applied_at.insert(host.clone(), now);
            self.last_outcomes.insert(host, outcomes);
        }
    }

    /// Records the memory of reports and tables; over a limit, drops report histories or the lines of unused tables.
    fn enforce_memory_limits(&mut self) {
        let report_bytes =
            self.outcomes.bytes() + self.pushed_reports.bytes() + self.loads.len() as u64 * 150;
        if !self.memory.set_bytes(Purpose::Reports, report_bytes) {
            let dropped = self
                .pushed_reports
                .drop_histories(report_bytes - Purpose::Reports.limit());
            self.memory.add_rejections(Purpose::Reports, dropped);
        }
        let table_bytes = self.tables.bytes()
            + self
                .peers
                .iter()
                .map(|peer| peer.session.estimated_bytes())
                .sum::<u64>();
        if !self.memory.set_bytes(Purpose::Tables, table_bytes) {
            let used = self
                .peers
                .iter()
                .flat_map(|peer| peer.bindings.values().copied())
                .collect();
            let dropped = self.tables.drop_unused(&used);
            self.memory.add_rejections(Purpose::Tables, dropped);
        }
    }

    fn candidate(&self, host: &HostId, aggregated: &AggregatedOutcomes) -> Candidate {
        Candidate {
            host: host.clone(),
            last_applied: self
                .outcomes_applied_at
                .get(host)
                .copied()
                .unwrap_or_default(),
            attempts: aggregated.outcomes.attempts,
            failures: aggregated.outcomes.failures,
            changing: self.endpoints.is_warming_up(host, self.now)
                || self.endpoints.must_drain(host),
        }
    }
}
