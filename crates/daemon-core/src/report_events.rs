//! Events of load reports: pushed or read, their figures are recorded for the current report interval.

use crate::event::Event;
use crate::output::Output;
use crate::pushed_reports::{AcceptedReport, REPORT_CREDIT, Sender, stat_row};
use crate::reported_load::ReportedLoad;
use crate::state::DaemonState;
use crate::time::unix_micros;
use pondarch_controller::{AttemptOutcomes, HostId, ProxyId, Time};
use pondarch_load_ingestion::decay;
use pondarch_load_report_protocol::{ProxyCounters, Report, SenderRole};
use pondarch_proxy_session::counters::CounterDelta;
use pondarch_runtime_api::stat::StatRow;
use std::collections::{BTreeMap, BTreeSet};

impl DaemonState {
    pub(crate) fn on_sender_connected(
        &mut self,
        connection: u64,
        name: String,
        role: SenderRole,
        incarnation: u64,
    ) {
        if let Some(reason) = self.sender_rejection(&name, role) {
            self.pushed_reports.counters.unknown_senders += 1;
            return self.outputs.push_back(Output::RejectSender {
                connection,
                reason: reason.into(),
            });
        }
        // The latest connection under a name is the valid one; the other is a stale one that was not closed yet.
        let history = self
            .pushed_reports
            .histories
            .entry(name.clone())
            .or_default();
        let previous = std::mem::replace(&mut history.connection, connection);
        if previous != connection && self.pushed_reports.senders.remove(&previous).is_some() {
            self.outputs.push_back(Output::RejectSender {
                connection: previous,
                reason: "another connection has the name".into(),
            });
        }
        self.pushed_reports.senders.insert(
            connection,
            Sender {
                name,
                role,
                incarnation,
            },
        );
        let at_us = unix_micros(self.now);
        self.outputs.push_back(Output::GrantCredit {
            connection,
            reports: REPORT_CREDIT,
            at_us,
        });
    }

    /// Why a sender of this name is rejected; none: it is accepted.
    fn sender_rejection(&self, name: &str, role: SenderRole) -> Option<&'static str> {
        match role {
            SenderRole::Proxy
                if !self
                    .peers
                    .iter()
                    .any(|peer| peer.has_runtime() && peer.name == name) =>
            {
                Some("no proxy of this steward has that name")
            }
            SenderRole::Host if !self.endpoints.hosts.contains_key(&HostId(name.into())) => {
                Some("no host of the list has that name")
            }
            _ => None,
        }
    }

    pub(crate) fn on_sender_disconnected(&mut self, connection: u64) {
        self.pushed_reports.senders.remove(&connection);
    }

    pub(crate) fn on_report(&mut self, connection: u64, mut report: Report) {
        let now = self.now;
        self.retain_listed_hosts(&mut report);
        let Some(Sender {
            name,
            role,
            incarnation,
        }) = self.pushed_reports.senders.get(&connection)
        else {
            return;
        };
        let name = name.clone();
        let role = *role;
        let incarnation = *incarnation;
        self.outputs.push_back(Output::GrantCredit {
            connection,
            reports: 1,
            at_us: unix_micros(now),
        });
        let Some(AcceptedReport { sent_at, fresh }) =
            self.pushed_reports.accept(now, &name, incarnation, &report)
        else {
            return;
        };
        match role {
            SenderRole::Host => {
                if let (Some(own), Some(sent_at), true) = (report.body.host_metrics, sent_at, fresh)
                {
                    let load = ReportedLoad {
                        utilization: own.utilization,
                        queue_length: own.queue_length,
                        service_time_ms: own.service_time_ms,
                        request_rate: own.request_rate,
                        failure_rate: own.failure_rate,
                    };
                    self.loads
                        .insert(HostId(name.as_str().into()), (sent_at, load));
                }
            }
            SenderRole::Proxy => self.on_proxy_report(&name, sent_at, fresh, report.body.counters),
        }
    }

    fn retain_listed_hosts(&mut self, report: &mut Report) {
        // Rows of hosts that are not listed are of no use, and storing them would let a sender grow the state without
        // limit.
        let hosts = &self.endpoints.hosts;
        let is_listed = |counted: &ProxyCounters| {
            counted
                .server
                .as_ref()
                .is_none_or(|host| hosts.contains_key(&HostId(host.as_str().into())))
        };
        let before = report.body.counters.len();
        report.body.counters.retain(is_listed);
        self.pushed_reports.counters.unlisted_hosts += (before - report.body.counters.len()) as u64;
    }

    fn on_proxy_report(
        &mut self,
        name: &str,
        sent_at: Option<Time>,
        fresh: bool,
        counted: Vec<ProxyCounters>,
    ) {
        let now = self.now;
        let Some(peer) = self
            .peers
            .iter_mut()
            .find(|peer| peer.name == name && peer.is_joined())
        else {
            return;
        };
        let id = peer.id;
        let at = sent_at.unwrap_or(now);
        let rows: Vec<StatRow> = counted.into_iter().map(stat_row).collect();
        let Some(counters) = peer.session.record_pushed_counters(at, &rows) else {
            return;
        };
        self.pushed_reports.liveness.on_report(now, id);
        if fresh {
            self.record_counters(id, counters, at);
        }
    }

    /// Records the counters of a proxy as of `at`, pushed or read.
    pub(crate) fn record_counters(&mut self, id: ProxyId, counters: CounterDelta, at: Time) {
        let now = self.now;
        for &(class, requests) in &counters.requests {
            self.controller
                .record_arrivals(now, id, class, requests, counters.period);
            self.record_requests(id.0, class, requests, counters.period);
        }
        if let Some(planner) = &mut self.weight_planner {
            planner.record(&counters);
        }
        self.outcomes.record(
            id.0,
            &counters,
            decay::relative_weight(now - at, counters.period),
            at,
        );
        self.loads.extend(
            counters
                .loads
                .into_iter()
                .map(|(host, load)| (host, (at, ReportedLoad::from_host_load(&load)))),
        );
    }

    /// Whether a proxy currently pushes its counters; those of other proxies are read.
    pub(crate) fn pushes_reports(&self, id: ProxyId) -> bool {
        self.pushed_reports.enabled
            && self
                .pushed_reports
                .liveness
                .is_reporting(self.now, self.report_interval, id)
    }

    /// Hosts that cannot be observed because the proxies that use them are silent, each with empty outcomes.
    pub(crate) fn unobservable_hosts(&self) -> BTreeMap<HostId, AttemptOutcomes> {
        if !self.pushed_reports.enabled
            || self
                .pushed_reports
                .liveness
                .silent(self.now, self.report_interval)
                .is_empty()
        {
            return BTreeMap::new();
        }
        let hosts_by_proxy = self
            .peers
            .iter()
            .filter(|peer| peer.is_joined())
            .map(|peer| {
                let tables: BTreeSet<_> = peer.bindings.values().collect();
                let assignments = tables
                    .into_iter()
                    .filter_map(|table| self.tables.by_id.get(table));
                (
                    peer.id,
                    assignments
                        .flat_map(|assignment| assignment.weights.keys().cloned())
                        .collect::<BTreeSet<HostId>>(),
                )
            });
        let hosts_by_proxy = hosts_by_proxy.collect();
        let excused = self.pushed_reports.liveness.unobservable_hosts(
            self.now,
            self.report_interval,
            &hosts_by_proxy,
        );
        let no_attempts = AttemptOutcomes {
            period: self.report_interval,
            ..AttemptOutcomes::default()
        };
        excused
            .into_iter()
            .map(|host| (host, no_attempts))
            .collect()
    }

    /// Logs the latest rejected report of this interval, if there is one; at most one is logged in each interval.
    pub(crate) fn log_rejected_reports(&mut self) {
        if let Some(error) = self.pushed_reports.counters.last_rejected.take() {
            let rejected_total = self.pushed_reports.counters.rejected;
            self.log_event(Event::ReportRejected {
                error,
                rejected_total,
            });
        }
    }
}
