//! Tests of pushed reports: late, repeated, out of order, missing, by wrong clocks, and with implausible figures.

mod counted_once;
mod rejected;
mod silence;

use crate::simulated_fleet::*;
use pondarch_config::DurationSetting;
use pondarch_config::hosts::HostState;
use pondarch_daemon_core::{Event, Input, Output};
use pondarch_load_report_protocol::{HostMetrics, ProxyCounters, Report, ReportBody, SenderRole};
use pondarch_proxy_core::proxy_state::ProxyState;
use pondarch_runtime_api::stat::RowType;
use std::collections::BTreeMap;

/// Age from which figures are not used, as `age::STALE`.
const STALE_US: u64 = 6_000_000;

/// A sender of pushed reports, with a clock of its own.
struct ReportSender {
    name: String,
    role: SenderRole,
    connection: u64,
    incarnation: u64,
    /// Number of the latest report.
    number: u64,
    /// Difference of its clock from the controller's, in microseconds.
    clock_offset_us: i64,
    /// The latest credit: when it was sent by the controller's clock, and received by the sender's.
    last_credit_us: (u64, u64),
    credit: u32,
}

/// A fleet of six joined proxies that accepts pushed reports; `lines_per_second` limits the hosts whose outcomes are
/// applied.
fn fleet(lines_per_second: Option<f64>, hosts: usize) -> SimulatedFleet {
    let mut site = site(6);
    site.load_reports.push_endpoint = Some("unix:/push".parse().expect("a socket path"));
    site.load_reports.max_lines_per_second = lines_per_second;
    site.load_reports.interval = DurationSetting::from_millis(1_000);
    let mut fleet = SimulatedFleet::new(&site, hosts);
    fleet.run(3_000);
    assert_eq!(fleet.info("ProxiesJoined"), 6);
    fleet
}

/// The body of a report with the counters of a proxy.
fn report_body(state: &ProxyState) -> ReportBody {
    let counted = state.stat_rows().into_iter().map(|row| {
        let sums = row.exact_totals.unwrap_or_default();
        ProxyCounters {
            backend: row.backend,
            server: (row.row_type == RowType::Server).then_some(row.server),
            requests: row.requests,
            succeeded: sums.succeeded,
            failed: sums.failed,
            success_time_us: sums.succeeded_duration.as_micros() as u64,
            ..ProxyCounters::default()
        }
    });
    ReportBody {
        counters: counted.collect(),
        host_metrics: None,
    }
}

impl ReportSender {
    /// The sender of a proxy whose clock differs by this many seconds.
    fn proxy(n: usize, clock_offset_s: i64) -> ReportSender {
        let name = format!("front-{n}");
        ReportSender {
            name,
            role: SenderRole::Proxy,
            connection: 100 + n as u64,
            incarnation: 5,
            number: 0,
            clock_offset_us: clock_offset_s * 1_000_000,
            last_credit_us: (0, 0),
            credit: 0,
        }
    }

    /// The sender's time at a time of the controller's clock.
    fn local_time(&self, now: u64) -> u64 {
        now.saturating_add_signed(self.clock_offset_us)
    }

    fn connect(&mut self, fleet: &mut SimulatedFleet) {
        fleet.apply(Input::SenderConnected {
            connection: self.connection,
            name: self.name.clone(),
            role: self.role,
            incarnation: self.incarnation,
        });
        self.receive_credit(fleet);
    }

    /// Takes the credit for this sender out of the outputs.
    fn receive_credit(&mut self, fleet: &mut SimulatedFleet) {
        let now = self.local_time(fleet.now);
        let outputs = std::mem::take(&mut fleet.outputs);
        for output in outputs {
            match output {
                Output::GrantCredit {
                    connection,
                    reports,
                    at_us,
                } if connection == self.connection => {
                    self.credit += reports;
                    self.last_credit_us = (at_us, now);
                }
                other => fleet.outputs.push(other),
            }
        }
    }

    /// The next report, as of now.
    fn report(&mut self, fleet: &SimulatedFleet, body: ReportBody) -> Report {
        self.number += 1;
        let sent_us = self.local_time(fleet.now);
        let had_us = sent_us - self.last_credit_us.1;
        Report {
            number: self.number,
            sent_us,
            echo_us: self.last_credit_us.0,
            echo_delay_us: had_us,
            body,
        }
    }

    fn send(&mut self, fleet: &mut SimulatedFleet, report: Report) {
        fleet.apply(Input::ReportReceived {
            connection: self.connection,
            report: Box::new(report),
        });
        self.receive_credit(fleet);
    }

    /// Sends a report with the current counters of proxy `n`.
    fn push(&mut self, fleet: &mut SimulatedFleet, n: usize) {
        let report = self.report(fleet, report_body(&fleet.proxies[n].state));
        self.send(fleet, report);
    }
}

/// Runs a second of traffic. The sender with index `n` in the slice pushes the counters of proxy `n`.
fn run_second(fleet: &mut SimulatedFleet, senders: &mut [ReportSender]) {
    fleet.run(500);
    for (n, sender) in senders.iter_mut().enumerate() {
        fleet.traffic(n, 5, 0, 40);
        sender.push(fleet, n);
    }
    fleet.run(500);
}

/// Number of intervals applied since the last call, and the highest age of their figures in microseconds.
fn take_applied_intervals(fleet: &mut SimulatedFleet) -> (usize, u64) {
    let mut applied = (0, 0);
    fleet.outputs.retain(|output| match output {
        Output::LoadReportsApplied { oldest_us, .. } => {
            applied = (applied.0 + 1, applied.1.max(*oldest_us));
            false
        }
        _ => true,
    });
    applied
}

/// Number of reads of `show stat` since the last call; clears the outputs.
fn take_stat_reads(fleet: &mut SimulatedFleet) -> usize {
    let reads_stat = |output: &Output| matches!(output, Output::Write { lines, .. } if lines.iter().any(|line| line == "show stat"));
    let count = fleet
        .outputs
        .iter()
        .filter(|output| reads_stat(output))
        .count();
    fleet.outputs.clear();
    count
}

/// Requests completed at all hosts in the interval that was applied last.
fn completed_requests(fleet: &mut SimulatedFleet) -> u64 {
    let stat = fleet.command(1, "show stat");
    let header: Vec<&str> = stat.lines().next().unwrap_or_default().split(',').collect();
    let column = header
        .iter()
        .position(|name| *name == "pond_done")
        .expect("a column pond_done");
    let hosts = stat.lines().filter(|line| line.starts_with("hosts,"));
    hosts
        .filter_map(|line| line.split(',').nth(column)?.parse::<u64>().ok())
        .sum()
}

/// The sum of each host's weights in all tables, in thousandths.
fn table_weights(fleet: &mut SimulatedFleet) -> BTreeMap<String, f64> {
    let stat = fleet.command(1, "show stat");
    let rows = stat.lines().filter(|line| line.starts_with("table-"));
    let mut weights = BTreeMap::new();
    for row in rows {
        let fields: Vec<&str> = row.split(',').collect();
        let weight: f64 = fields
            .get(18)
            .and_then(|weight| weight.parse().ok())
            .unwrap_or(0.0);
        *weights.entry(fields[1].to_string()).or_default() += weight;
    }
    weights
}
