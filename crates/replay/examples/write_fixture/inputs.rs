//! The inputs of the first run, grouped by topic.

use super::{Run, changed_hosts};
use pondarch_controller::{ProxyId, RequestClassId};
use pondarch_daemon_core::{EventLogState, Input};
use pondarch_load_report_protocol::{HostMetrics, ProxyCounters, Report, ReportBody, SenderRole};
use std::time::Duration;

/// Operator commands whose replies are recorded as checksums.
const COMMANDS_WITH_REPLIES: [&str; 18] = [
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

/// Connection numbers of the senders of load reports.
const PROXY_SENDER: u64 = 51;
const HOST_SENDER: u64 = 52;
const UNKNOWN_SENDER: u64 = 53;

/// Returns the load report of a proxy with counters that grow with its number.
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

/// Returns the load report of a host; report 3 is invalid because its request rate is negative.
fn host_report(number: u64) -> ReportBody {
    let host_metrics = HostMetrics {
        utilization: Some(0.5),
        request_rate: Some(if number == 3 { -1.0 } else { 9.0 }),
        ..HostMetrics::default()
    };
    ReportBody {
        counters: Vec::new(),
        host_metrics: Some(host_metrics),
    }
}

impl Run {
    /// Operator commands that show and that change the state.
    pub(super) fn run_operator_commands(&mut self) {
        COMMANDS_WITH_REPLIES
            .iter()
            .for_each(|line| self.run_command(line));
        self.handle_input(Input::Command {
            caller: 1,
            level: 0,
            line: "show servers state".into(),
        });
        self.run_command(
            "add server hosts/extra 127.0.0.99:80 weight 2; set server hosts/extra state ready",
        );
        self.run_command("prepare map zones; add map @1 zones extra arnhem; commit map @1 zones");
        self.run_command("set server hosts/host-2 addr 127.0.0.77 port 80");
        self.run_command("set server hosts/host-1 state drain");
        self.run_for(300);
        self.run_command("set server hosts/host-1 state ready");
        self.run_for(300);
    }

    /// Traffic in which one host is slow, as input for the weight solver; and a failed solution.
    pub(super) fn run_uneven_traffic(&mut self) {
        for _ in 0..8 {
            for proxy in &mut self.proxies {
                for backend in proxy.proxy_state.backends.values_mut() {
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
            self.run_for(1_000);
        }
        self.handle_input(Input::Solved {
            number: 999,
            plan: Err("no plan".into()),
        });
    }

    /// Load reports from a proxy, a host and an unknown sender.
    pub(super) fn push_reports(&mut self) {
        let incarnation = 5;
        let senders = [
            (PROXY_SENDER, "front-0", SenderRole::Proxy),
            (HOST_SENDER, "host-1", SenderRole::Host),
            (UNKNOWN_SENDER, "nobody", SenderRole::Proxy),
        ];
        for (connection, name, role) in senders {
            self.handle_input(Input::SenderConnected {
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
                self.handle_input(Input::ReportReceived { connection, report });
            }
            self.run_for(1_000);
        }
        self.handle_input(Input::SenderDisconnected {
            connection: PROXY_SENDER,
        });
    }

    /// DNS queries of a proxy, and observations of a DNS secondary.
    pub(super) fn query_dns(&mut self) {
        use pondarch_dns_core::SecondaryEvent;
        for round in 0..3 {
            let view = self.core.dns_view();
            let table = view
                .table_of(Some(ProxyId(2)), RequestClassId(0), 1)
                .map(|table| table.0);
            self.handle_input(Input::DnsQueried {
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
                    self.handle_input(Input::SecondaryObserved {
                        index: 0,
                        observation,
                    });
                }
            }
            self.run_for(500);
        }
    }

    /// A stopped event log, a rejected endpoint list, a failed health check, and a lost proxy connection.
    pub(super) fn report_faults(&mut self) {
        self.handle_input(Input::EventLog(EventLogState {
            stopped_reason: Some("no space".into()),
            lost_inputs: 0,
        }));
        self.handle_input(Input::EventLog(EventLogState {
            stopped_reason: None,
            lost_inputs: 3,
        }));
        self.handle_input(Input::MemoryUsage {
            queued_bytes: 10,
            event_log_bytes: 20,
            connection_bytes: 30,
            rejected_connections: 1,
        });
        self.handle_input(Input::EndpointListRejected {
            error: "hosts:3: it ends".into(),
        });
        self.handle_input(Input::HealthCheckCompleted {
            host: "host-0".into(),
            for_load: false,
            healthy: false,
            load: None,
        });
        if let Some(connection) = self.proxies[1].connection.take() {
            self.proxies[1].lines.clear();
            self.handle_input(Input::Disconnected {
                proxy: 1,
                connection,
                reason: "broke".into(),
            });
        }
        self.run_for(1_500);
    }

    /// A drained, a removed, a restarted and an added host; a proxy that rejects an update; and changes that exceed the
    /// message cap.
    pub(super) fn change_hosts(&mut self) {
        self.rejects_next_update = true;
        self.apply_list(changed_hosts());
        self.run_for(1_000);
        // These changes come faster than the message cap allows messages.
        for n in 0..4 {
            let state = if n % 2 == 0 { "drain" } else { "ready" };
            self.run_command(&format!("set server hosts/host-1 state {state}"));
            self.run_for(300);
        }
        self.run_command("show events");
    }
}
