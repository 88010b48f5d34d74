//! Reports of the proxies to their controllers: what they met at hosts, and how many requests reached them.

use crate::channel_relay::ChannelRelay;
use crate::loaded_host::LoadedHost;
use crate::loaded_world::{CLASS_NAMES, World, ZONES};
use crate::scripted_peers::resp_message;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Outcomes of attempts at one host.
#[derive(Default)]
pub(crate) struct Outcomes {
    pub attempts: u64,
    pub failures: u64,
    pub latency_s: f64,
}

/// What the proxies of one controller met since its last report.
#[derive(Default)]
pub(crate) struct Reported {
    pub outcomes: BTreeMap<(&'static str, String), Outcomes>,
    pub arrivals: BTreeMap<(usize, usize), u64>,
}

/// Reports on their way to one controller: the collector of a zone, and what it sends.
pub(crate) type ReportSender = std::sync::mpsc::Sender<(&'static str, Vec<u8>)>;

/// One controller as the world sees it.
pub(crate) struct ControllerLink {
    pub relay: Arc<ChannelRelay>,
    pub reports: ReportSender,
    /// When its process first answered; none while it is down.
    pub ready_at: Option<f64>,
    pub reported: Reported,
    on_their_way: Vec<(f64, &'static str, Vec<u8>)>,
}

impl ControllerLink {
    pub(crate) fn new(relay: Arc<ChannelRelay>, reports: ReportSender) -> ControllerLink {
        ControllerLink {
            relay,
            reports,
            ready_at: None,
            reported: Reported::default(),
            on_their_way: Vec::new(),
        }
    }
}

impl World {
    /// Puts what happened in the last second into reports.
    pub(crate) fn collect_reports(&mut self, now: f64) {
        let delay = self.parameters.report_delay_s + self.late_reports_s;
        let hosts = &self.hosts;
        for controller in &mut self.controllers {
            let reported = std::mem::take(&mut controller.reported);
            for ((zone, host), outcomes) in reported.outcomes {
                let held = hosts.get(&host).map_or(0, LoadedHost::held);
                let successes = outcomes.attempts - outcomes.failures;
                let mean = outcomes.latency_s * 1e3 / (successes.max(1) as f64);
                let message = resp_message(&format!(
                    "heard site {zone} target {host} count {} fail {} mean {mean:.1} over 1000.0 util queue:{},util:{:.2}",
                    outcomes.attempts,
                    outcomes.failures,
                    held.saturating_sub(1),
                    if held == 0 { 0.4 } else { 1.0 }
                ));
                let report = (now + delay, zone, message);
                controller.on_their_way.push(report);
            }
            for ((proxy, class), requests) in reported.arrivals {
                let class = CLASS_NAMES[class];
                let message = resp_message(&format!(
                    "usage id {proxy} lane {class} count {requests} fail 0 over 1000.0"
                ));
                let report = (now + delay, ZONES[0], message);
                controller.on_their_way.push(report);
            }
        }
    }

    pub(crate) fn deliver_reports(&mut self, now: f64) {
        for controller in &mut self.controllers {
            let (due, later) = controller
                .on_their_way
                .drain(..)
                .partition(|(at, ..)| *at <= now);
            controller.on_their_way = later;
            let due: Vec<(f64, &'static str, Vec<u8>)> = due;
            for (_, zone, message) in due {
                // The collectors end with the fleet.
                controller.reports.send((zone, message)).ok();
            }
        }
    }
}
