//! Reports that are pushed: late, twice, out of order, by clocks that are off, by senders that rave, and not at all.

mod counted_once;
mod rejected;
mod silence;

use crate::simulated_fleet::*;
use pondarch_config::DurationSetting;
use pondarch_config::hosts::HostState;
use pondarch_daemon_core::{Event, Input, Output};
use pondarch_load_report_protocol::{Body, Counted, Own, Report, SenderIs};
use pondarch_proxy_core::proxy_state::ProxyState;
use pondarch_runtime_api::stat::RowType;
use std::collections::BTreeMap;

const STALE_US: u64 = 6_000_000;

/// One that pushes, with a clock of its own.
struct Pusher {
    name: String,
    is: SenderIs,
    conn: u64,
    run: u64,
    number: u64,
    /// Its clock less ours.
    off: i64,
    word: (u64, u64),
    credit: u32,
}

fn fleet(lines_per_second: Option<f64>, hosts: usize) -> SimulatedFleet {
    let mut site = site(6);
    site.load_reports.push_endpoint = Some("unix:/push".parse().expect("a path"));
    site.load_reports.max_lines_per_second = lines_per_second;
    site.load_reports.interval = DurationSetting::from_millis(1_000);
    let mut fleet = SimulatedFleet::open(&site, hosts);
    fleet.run(3_000);
    assert_eq!(fleet.info("ProxiesJoined"), 6);
    fleet
}

fn body(tables: &ProxyState) -> Body {
    let counted = tables.stat_rows().into_iter().map(|row| {
        let sums = row.exact_totals.unwrap_or_default();
        Counted {
            backend: row.backend,
            server: (row.row_type == RowType::Server).then_some(row.server),
            reqs: row.requests,
            done: sums.succeeded,
            errored: sums.failed,
            done_us: sums.succeeded_duration.as_micros() as u64,
            ..Counted::default()
        }
    });
    Body {
        counted: counted.collect(),
        own: None,
    }
}

impl Pusher {
    fn proxy(n: usize, off_s: i64) -> Pusher {
        let name = format!("front-{n}");
        Pusher {
            name,
            is: SenderIs::Proxy,
            conn: 100 + n as u64,
            run: 5,
            number: 0,
            off: off_s * 1_000_000,
            word: (0, 0),
            credit: 0,
        }
    }

    fn theirs(&self, now: u64) -> u64 {
        now.saturating_add_signed(self.off)
    }

    fn come(&mut self, fleet: &mut SimulatedFleet) {
        let conn = self.conn;
        let name = self.name.clone();
        let is = self.is;
        let run = self.run;
        fleet.give(Input::SenderConnected {
            connection: conn,
            name,
            role: is,
            incarnation: run,
        });
        self.hear(fleet);
    }

    /// Takes the outputs that were meant for it.
    fn hear(&mut self, fleet: &mut SimulatedFleet) {
        let now = self.theirs(fleet.now);
        let outputs = std::mem::take(&mut fleet.outputs);
        for output in outputs {
            match output {
                Output::GrantCredit {
                    connection: conn,
                    reports: more,
                    at_us,
                } if conn == self.conn => {
                    self.credit += more;
                    self.word = (at_us, now);
                }
                other => fleet.outputs.push(other),
            }
        }
    }

    /// The report that it would send now.
    fn report(&mut self, fleet: &SimulatedFleet, body: Body) -> Report {
        self.number += 1;
        let sent_us = self.theirs(fleet.now);
        let had_us = sent_us - self.word.1;
        Report {
            number: self.number,
            sent_us,
            word_us: self.word.0,
            had_us,
            body,
        }
    }

    fn send(&mut self, fleet: &mut SimulatedFleet, report: Report) {
        fleet.give(Input::ReportReceived {
            connection: self.conn,
            report: Box::new(report),
        });
        self.hear(fleet);
    }

    fn push(&mut self, fleet: &mut SimulatedFleet, n: usize) {
        let report = self.report(fleet, body(&fleet.fronts[n].tables));
        self.send(fleet, report);
    }
}

/// A second of traffic at each proxy; each pushes.
fn second(fleet: &mut SimulatedFleet, pushers: &mut [Pusher]) {
    fleet.run(500);
    for (n, pusher) in pushers.iter_mut().enumerate() {
        fleet.traffic(n, 5, 0, 40);
        pusher.push(fleet, n);
    }
    fleet.run(500);
}

/// What was applied since the last call: intervals, and the oldest figure of all.
fn looked(fleet: &mut SimulatedFleet) -> (usize, u64) {
    let mut all = (0, 0);
    fleet.outputs.retain(|output| match output {
        Output::LoadReportsApplied { oldest_us, .. } => {
            all = (all.0 + 1, all.1.max(*oldest_us));
            false
        }
        _ => true,
    });
    all
}

fn stat_reads(fleet: &mut SimulatedFleet) -> usize {
    let reads = |output: &Output| matches!(output, Output::Write { lines, .. } if lines.iter().any(|line| line == "show stat"));
    let count = fleet.outputs.iter().filter(|output| reads(output)).count();
    fleet.outputs.clear();
    count
}

/// Requests done at all hosts in the interval that was applied last.
fn done(fleet: &mut SimulatedFleet) -> u64 {
    let stat = fleet.command(1, "show stat");
    let header: Vec<&str> = stat.lines().next().unwrap_or_default().split(',').collect();
    let at = header
        .iter()
        .position(|name| *name == "pond_done")
        .expect("our column");
    let hosts = stat.lines().filter(|line| line.starts_with("hosts,"));
    hosts
        .filter_map(|line| line.split(',').nth(at)?.parse::<u64>().ok())
        .sum()
}

fn weights(fleet: &mut SimulatedFleet) -> BTreeMap<String, f64> {
    let stat = fleet.command(1, "show stat");
    let rows = stat.lines().filter(|line| line.starts_with("table-"));
    let mut all = BTreeMap::new();
    for row in rows {
        let fields: Vec<&str> = row.split(',').collect();
        let weight: f64 = fields
            .get(18)
            .and_then(|weight| weight.parse().ok())
            .unwrap_or(0.0);
        *all.entry(fields[1].to_string()).or_default() += weight;
    }
    all
}
