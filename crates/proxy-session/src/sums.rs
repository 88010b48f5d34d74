//! Counters of `show stat` turned into what was met since the last look.

use crate::table::Front;
use pondarch_controller::{AttemptOutcomes, HostId, HostLoad, RequestClassId, Time};
use pondarch_runtime_api::stat::{RowType, StatRow, Sums};
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
    servers: BTreeMap<(RequestClassId, HostId), Sums>,
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
        let mut met: BTreeMap<HostId, Sums> = BTreeMap::new();
        let (mut reqs, mut loads, mut by_kind) = (Vec::new(), BTreeMap::new(), Vec::new());
        let mut seen = BTreeMap::new();
        for row in rows {
            let Some(&kind) = kind_of.get(row.backend.as_str()) else {
                continue;
            };
            match row.of {
                RowType::Server => {
                    let (host, sums) = (HostId(row.server.as_str().into()), row.ended());
                    let before = self
                        .servers
                        .get(&(kind, host.clone()))
                        .copied()
                        .unwrap_or_default();
                    // A counter that fell back began anew: all of it is new, and none of it is negative.
                    let before = if fell(&sums, &before) {
                        Sums::default()
                    } else {
                        before
                    };
                    // Without an answer since, the word on the load is as old as the last one.
                    if sums.done > before.done && (row.busy.is_some() || row.waiting.is_some()) {
                        loads.insert(
                            host.clone(),
                            HostLoad {
                                utilization: row.busy,
                                queue_length: row.waiting,
                                service_time: None,
                            },
                        );
                    }
                    let took = sums.done_time.saturating_sub(before.done_time);
                    if sums.done > before.done {
                        let took = Duration::from_micros(took.as_micros() as u64);
                        by_kind.push((host.clone(), kind, (sums.done - before.done) as f64, took));
                    }
                    let all = met.entry(host.clone()).or_default();
                    all.done += sums.done - before.done;
                    all.errored += sums.errored - before.errored;
                    all.done_time += took;
                    seen.insert((kind, host), sums);
                }
                RowType::Backend => {
                    let before = self
                        .reqs
                        .insert(kind, row.reqs)
                        .filter(|&before| before <= row.reqs);
                    reqs.push((kind, (row.reqs - before.unwrap_or(0)) as f64));
                }
                _ => {}
            }
        }
        // Servers that were deleted are forgotten with their counters: added again, they start from 0.
        self.servers = seen;
        if first {
            return Look::default();
        }
        let told = |(host, sums): (HostId, Sums)| {
            let mean_us = sums.done_time.as_micros() as u64 / sums.done.max(1);
            let met = AttemptOutcomes {
                attempts: (sums.done + sums.errored) as f64,
                failures: sums.errored as f64,
                mean_latency: Duration::from_micros(mean_us),
                period: over,
                load: None,
            };
            (host, met)
        };
        let ended = met
            .into_iter()
            .filter(|(_, sums)| sums.done + sums.errored > 0);
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

fn fell(now: &Sums, before: &Sums) -> bool {
    now.done < before.done || now.errored < before.errored
}
