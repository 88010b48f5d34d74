//! The inputs of the first run, by family.

use super::{Run, changed};
use pondarch_controller::{ProxyId, RequestClassId};
use pondarch_daemon_core::{EventLogState, Input};
use pondarch_load_report_protocol::{HostMetrics, ProxyCounters, Report, ReportBody, SenderRole};
use std::time::Duration;

/// What operators say, so that each answer's checksum stands in the records.
const SHOWN: [&str; 18] = [
    "help",
    "show info",
    "show stat",
    "show stat json",
    "show backend",
    "show servers state",
    "show servers conn",
    "show events",
    "show errors",
    "show map",
    "show map weights",
    "show map proxies",
    "show map zones",
    "show map levels",
    "show memory",
    "get weight hosts/host-1",
    "bogus word",
    "set server hosts/nobody weight 3",
];

/// Connections of the senders of reports.
const PROXY_SENDER: u64 = 51;
const HOST_SENDER: u64 = 52;
const UNKNOWN_SENDER: u64 = 53;

fn proxy_report(number: u64) -> ReportBody {
    let done = number * 9;
    let attempts = ProxyCounters {
        backend: "proof".into(),
        server: Some("host-0".to_string()),
        succeeded: done,
        success_time_us: number * 90_000,
        ..ProxyCounters::default()
    };
    let requests = ProxyCounters {
        backend: "proof".into(),
        requests: done,
        ..ProxyCounters::default()
    };
    ReportBody {
        counters: vec![attempts, requests],
        host_metrics: None,
    }
}

fn host_report(number: u64) -> ReportBody {
    let own = HostMetrics {
        utilization: Some(0.5),
        request_rate: Some(if number == 3 { -1.0 } else { 9.0 }),
        ..HostMetrics::default()
    };
    ReportBody {
        counters: Vec::new(),
        host_metrics: Some(own),
    }
}

impl Run {
    pub(super) fn operators(&mut self) {
        SHOWN.iter().for_each(|line| self.command(line));
        self.give(Input::Command {
            caller: 1,
            level: 0,
            line: "show servers state".into(),
        });
        self.command(
            "add server hosts/extra 127.0.0.99:80 weight 2; set server hosts/extra state ready",
        );
        self.command("prepare map zones; add map @1 zones extra arnhem; commit map @1 zones");
        self.command("set server hosts/host-2 addr 127.0.0.77 port 80");
        self.command("set server hosts/host-1 state drain");
        self.run(300);
        self.command("set server hosts/host-1 state ready");
        self.run(300);
    }

    /// Traffic in which one host is slow.
    pub(super) fn solves(&mut self) {
        for _ in 0..8 {
            for proxy_state in &mut self.proxies {
                for backend in proxy_state.proxy_state.backends.values_mut() {
                    for (name, server) in backend
                        .servers
                        .iter_mut()
                        .filter(|(_, server)| server.is_serving())
                    {
                        let ms = if name == "host-3" { 60 } else { 20 };
                        (server.attempts, server.results.succeeded) =
                            (server.attempts + 10, server.results.succeeded + 10);
                        server.results.succeeded_duration += Duration::from_millis(10 * ms);
                        backend.requests += 10;
                    }
                }
            }
            self.run(1_000);
        }
        self.give(Input::Solved {
            number: 999,
            plan: Err("no plan".into()),
        });
    }

    pub(super) fn pushes(&mut self) {
        let incarnation = 5;
        let senders = [
            (PROXY_SENDER, "front-0", SenderRole::Proxy),
            (HOST_SENDER, "host-1", SenderRole::Host),
            (UNKNOWN_SENDER, "nobody", SenderRole::Proxy),
        ];
        for (connection, name, role) in senders {
            self.give(Input::SenderConnected {
                connection,
                name: name.into(),
                role,
                incarnation,
            });
        }
        for number in 1..4 {
            let reports = [
                (PROXY_SENDER, proxy_report(number)),
                (HOST_SENDER, host_report(number)),
            ];
            for (connection, body) in reports {
                let report = Box::new(Report {
                    number,
                    sent_us: self.now,
                    body,
                    ..Report::default()
                });
                self.give(Input::ReportReceived { connection, report });
            }
            self.run(1_000);
        }
        self.give(Input::SenderDisconnected {
            connection: PROXY_SENDER,
        });
    }

    pub(super) fn names(&mut self) {
        use pondarch_dns_core::SecondaryEvent;
        for round in 0..3 {
            let view = self.core.dns_view();
            let table = view
                .table_of(Some(ProxyId(2)), RequestClassId(0), 1)
                .map(|table| table.0);
            self.give(Input::DnsQueried {
                proxy: Some(2),
                table,
                serial: view.serial,
            });
            if round == 1 {
                for observation in [
                    SecondaryEvent::Acknowledged,
                    SecondaryEvent::Queried(None),
                    SecondaryEvent::Transferred(view.serial),
                ] {
                    self.give(Input::SecondaryObserved {
                        index: 0,
                        observation,
                    });
                }
            }
            self.run(500);
        }
    }

    pub(super) fn faults(&mut self) {
        self.give(Input::EventLog(EventLogState {
            stopped_reason: Some("no space".into()),
            lost_inputs: 0,
        }));
        self.give(Input::EventLog(EventLogState {
            stopped_reason: None,
            lost_inputs: 3,
        }));
        self.give(Input::MemoryUsage {
            queued_bytes: 10,
            event_log_bytes: 20,
            connection_bytes: 30,
            rejected_connections: 1,
        });
        self.give(Input::EndpointListRejected {
            error: "hosts:3: it ends".into(),
        });
        self.give(Input::HealthCheckCompleted {
            host: "host-0".into(),
            for_load: false,
            healthy: false,
            load: None,
        });
        if let Some(conn) = self.proxies[1].conn.take() {
            self.proxies[1].lines.clear();
            self.give(Input::Disconnected {
                proxy: 1,
                connection: conn,
                reason: "broke".into(),
            });
        }
        self.run(1_500);
    }

    /// A drain, a host gone, one that started anew, a new one, and a proxy that rejects_updates a command.
    pub(super) fn hosts_change(&mut self) {
        self.rejects_updates = true;
        self.list(changed());
        self.run(1_000);
        // Changes come faster than messages may.
        for n in 0..4 {
            let state = if n % 2 == 0 { "drain" } else { "ready" };
            self.command(&format!("set server hosts/host-1 state {state}"));
            self.run(300);
        }
        self.command("show events");
    }
}
