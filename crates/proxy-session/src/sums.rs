//! Counters of `show stat` turned into what was met since the last look.

use crate::table::Front;
use pondarch_controller::{AttemptOutcomes, HostId, HostLoad, RequestClassId, Time};
use pondarch_runtime_api::stat::{AttemptTotals, RowType, StatRow};
use std::collections::BTreeMap;
use std::time::Duration;

/// What one look brought.
#[derive(Clone, Debug, Default)]
pub struct Look {
    pub over: Duration,
    /// By host, all kinds together; hosts nothing ended at are not named.
    pub met: Vec<(HostId, AttemptOutcomes)>,
    pub reqs: Vec<(RequestClassId, f64)>,
    /// Reqs done and the time they took in all, by host and kind.
    pub done: Vec<(HostId, RequestClassId, f64, Duration)>,
    /// What hosts said of their load in answers since the last look.
    pub loads: Vec<(HostId, HostLoad)>,
}

/// The counters at the last look. Each count is given out once.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    at: Option<Time>,
    servers: BTreeMap<(RequestClassId, HostId), AttemptTotals>,
    reqs: BTreeMap<RequestClassId, u64>,
    /// The process whose counters these are.
    process: Option<u64>,
}

impl Counters {
    /// Says whose counters come next. Those of a process that started after the last look all count from 0; those
    /// of one that ran before anybody looked count from the first look on.
    pub fn process(&mut self, now: Time, process: u64, fresh: bool) {
        if self.process.replace(process) != Some(process) {
            *self = Counters {
                process: Some(process),
                at: fresh.then_some(now),
                ..Counters::default()
            };
        }
    }

    /// When they were last looked at.
    pub fn last(&self) -> Option<Time> {
        self.at
    }

    pub fn look(&mut self, now: Time, front: &Front, rows: &[StatRow]) -> Look {
        let kind_of: BTreeMap<&str, RequestClassId> = front
            .kinds
            .iter()
            .enumerate()
            .map(|(k, kind)| (kind.backend.as_str(), RequestClassId(k as u8)))
            .collect();
        let first = self.at.is_none();
        let over = self.at.map_or(Duration::ZERO, |at| now - at);
        self.at = Some(now);
        let mut met: BTreeMap<HostId, AttemptTotals> = BTreeMap::new();
        let (mut reqs, mut loads, mut by_kind) = (Vec::new(), BTreeMap::new(), Vec::new());
        let mut seen = BTreeMap::new();
        for row in rows {
            let Some(&kind) = kind_of.get(row.backend.as_str()) else {
                continue;
            };
            match row.row_type {
                RowType::Server => {
                    let (host, sums) = (HostId(row.server.as_str().into()), row.attempt_totals());
                    let before = self
                        .servers
                        .get(&(kind, host.clone()))
                        .copied()
                        .unwrap_or_default();
                    // A counter that fell back began anew: all of it is new, and none of it is negative.
                    let before = if fell(&sums, &before) {
                        AttemptTotals::default()
                    } else {
                        before
                    };
                    // Without an answer since, the word on the load is as old as the last one.
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
                    let took = sums
                        .succeeded_duration
                        .saturating_sub(before.succeeded_duration);
                    if sums.succeeded > before.succeeded {
                        let took = Duration::from_micros(took.as_micros() as u64);
                        by_kind.push((
                            host.clone(),
                            kind,
                            (sums.succeeded - before.succeeded) as f64,
                            took,
                        ));
                    }
                    let all = met.entry(host.clone()).or_default();
                    all.succeeded += sums.succeeded - before.succeeded;
                    all.failed += sums.failed - before.failed;
                    all.succeeded_duration += took;
                    seen.insert((kind, host), sums);
                }
                RowType::Backend => {
                    let before = self
                        .reqs
                        .insert(kind, row.requests)
                        .filter(|&before| before <= row.requests);
                    reqs.push((kind, (row.requests - before.unwrap_or(0)) as f64));
                }
                _ => {}
            }
        }
        // Servers that were deleted are forgotten with their counters: added again, they start from 0.
        self.servers = seen;
        if first {
            return Look::default();
        }
        let told = |(host, sums): (HostId, AttemptTotals)| {
            let mean_us = sums.succeeded_duration.as_micros() as u64 / sums.succeeded.max(1);
            let met = AttemptOutcomes {
                attempts: (sums.succeeded + sums.failed) as f64,
                failures: sums.failed as f64,
                mean_latency: Duration::from_micros(mean_us),
                period: over,
                load: None,
            };
            (host, met)
        };
        let ended = met
            .into_iter()
            .filter(|(_, sums)| sums.succeeded + sums.failed > 0);
        let (met, loads) = (ended.map(told).collect(), loads.into_iter().collect());
        Look {
            over,
            met,
            reqs,
            done: by_kind,
            loads,
        }
    }
}

fn fell(now: &AttemptTotals, before: &AttemptTotals) -> bool {
    now.succeeded < before.succeeded || now.failed < before.failed
}
