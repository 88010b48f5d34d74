//! Differences of the counters of `show stat` between two readings.

use crate::proxy_state::ProxyMapping;
use pondarch_controller::{AttemptOutcomes, HostId, HostLoad, RequestClassId, Time};
use pondarch_runtime_api::stat::{AttemptTotals, RowType, StatRow};
use std::collections::BTreeMap;
use std::time::Duration;

/// What was counted since the previous reading.
#[derive(Clone, Debug, Default)]
pub struct CounterDelta {
    /// The time since the previous reading.
    pub period: Duration,
    /// Outcomes of attempts by host, over all request classes; hosts where no attempt ended are absent.
    pub outcomes: Vec<(HostId, AttemptOutcomes)>,
    /// Requests that arrived, by class.
    pub requests: Vec<(RequestClassId, f64)>,
    /// Successful attempts and their total duration, by host and request class.
    pub completed: Vec<(HostId, RequestClassId, f64, Duration)>,
    /// Loads that hosts reported in responses since the previous reading.
    pub loads: Vec<(HostId, HostLoad)>,
}

/// The counters of one proxy at the previous reading, so that each count is returned once.
#[derive(Clone, Debug, Default)]
pub struct CounterTracker {
    last_read_at: Option<Time>,
    servers: BTreeMap<(RequestClassId, HostId), AttemptTotals>,
    requests: BTreeMap<RequestClassId, u64>,
    /// The proxy process that these counters belong to.
    process: Option<u64>,
}

impl CounterTracker {
    /// Sets the process whose counters are read next. Those of a process that started after the previous reading count
    /// from 0; those of a process that has been running for longer count from its first reading on.
    pub fn set_process(&mut self, now: Time, process: u64, newly_started: bool) {
        if self.process.replace(process) != Some(process) {
            *self = CounterTracker {
                process: Some(process),
                last_read_at: newly_started.then_some(now),
                ..CounterTracker::default()
            };
        }
    }

    /// When the counters were last read.
    pub fn last_read_at(&self) -> Option<Time> {
        self.last_read_at
    }

    /// Takes a reading and returns what was counted since the previous one; nothing for the first reading of a process
    /// that has been running for longer.
    #[expect(clippy::too_many_lines, reason = "one pass over all rows of a reading")]
    pub fn take_delta(
        &mut self,
        now: Time,
        mapping: &ProxyMapping,
        rows: &[StatRow],
    ) -> CounterDelta {
        let class_of: BTreeMap<&str, RequestClassId> = mapping
            .classes
            .iter()
            .enumerate()
            .map(|(index, class_mapping)| {
                (class_mapping.backend.as_str(), RequestClassId(index as u8))
            })
            .collect();
        let first_read = self.last_read_at.is_none();
        let period = self
            .last_read_at
            .map_or(Duration::ZERO, |last_read_at| now - last_read_at);
        self.last_read_at = Some(now);
        let mut totals: BTreeMap<HostId, AttemptTotals> = BTreeMap::new();
        let (mut requests, mut loads, mut completed) = (Vec::new(), BTreeMap::new(), Vec::new());
        let mut current_servers = BTreeMap::new();
        for row in rows {
            let Some(&class) = class_of.get(row.backend.as_str()) else {
                continue;
            };
            match row.row_type {
                RowType::Server => {
                    let (host, sums) = (HostId(row.server.as_str().into()), row.attempt_totals());
                    let before = self
                        .servers
                        .get(&(class, host.clone()))
                        .copied()
                        .unwrap_or_default();
                    // A counter that decreased was reset: all of it is new, and no difference is negative.
                    let before = if decreased(&sums, &before) {
                        AttemptTotals::default()
                    } else {
                        before
                    };
                    // Without a response since the previous reading, the reported load is the previous one.
                    if sums.succeeded > before.succeeded
                        && (row.cpu_utilization.is_some() || row.queued_at_host.is_some())
                    {
                        loads.insert(
                            host.clone(),
                            HostLoad {
                                utilization: row.cpu_utilization,
                                queue_length: row.queued_at_host,
                                service_time: None,
                            },
                        );
                    }
                    let duration = sums
                        .succeeded_duration
                        .saturating_sub(before.succeeded_duration);
                    if sums.succeeded > before.succeeded {
                        let duration = Duration::from_micros(duration.as_micros() as u64);
                        completed.push((
                            host.clone(),
                            class,
                            (sums.succeeded - before.succeeded) as f64,
                            duration,
                        ));
                    }
                    let total = totals.entry(host.clone()).or_default();
                    total.succeeded += sums.succeeded - before.succeeded;
                    total.failed += sums.failed - before.failed;
                    total.succeeded_duration += duration;
                    current_servers.insert((class, host), sums);
                }
                RowType::Backend => {
                    let before = self
                        .requests
                        .insert(class, row.requests)
                        .filter(|&before| before <= row.requests);
                    requests.push((class, (row.requests - before.unwrap_or(0)) as f64));
                }
                _ => {}
            }
        }
        // Deleted servers are dropped with their counters: when added again, they count from 0.
        self.servers = current_servers;
        if first_read {
            return CounterDelta::default();
        }
        let outcome = |(host, sums): (HostId, AttemptTotals)| {
            let mean_us = sums.succeeded_duration.as_micros() as u64 / sums.succeeded.max(1);
            let outcomes = AttemptOutcomes {
                attempts: (sums.succeeded + sums.failed) as f64,
                failures: sums.failed as f64,
                mean_latency: Duration::from_micros(mean_us),
                period,
                load: None,
            };
            (host, outcomes)
        };
        let ended = totals
            .into_iter()
            .filter(|(_, sums)| sums.succeeded + sums.failed > 0);
        let (outcomes, loads) = (ended.map(outcome).collect(), loads.into_iter().collect());
        CounterDelta {
            period,
            outcomes,
            requests,
            completed,
            loads,
        }
    }
}

fn decreased(now: &AttemptTotals, before: &AttemptTotals) -> bool {
    now.succeeded < before.succeeded || now.failed < before.failed
}
