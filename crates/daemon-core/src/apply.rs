//! Each input is applied: noted, given to the decisions, and followed up.

use crate::event::Event;
use crate::input::{EventLogState, Input};
use crate::output::Output;
use crate::reported_load::ReportedLoad;
use crate::state::DaemonState;
use pondarch_controller::HealthCheckResult;
use pondarch_controller::{HostId, Time};
use pondarch_load_ingestion::Purpose;

impl DaemonState {
    /// Takes one input; a line of an operator is answered by `answer`, which is given the level and the line.
    pub(crate) fn apply_input(
        &mut self,
        now: Time,
        input: Input,
        answer: impl FnOnce(&mut DaemonState, u8, &str) -> String,
    ) {
        self.now = now.max(self.now);
        self.input_count += 1;
        self.cause = format!("#{} {}", self.input_count, self.describe_input(&input));
        match input {
            Input::TimerExpired => {}
            Input::Recovered(known) => self.recover(*known),
            Input::EventLog(state) => {
                let EventLogState {
                    stopped_reason: stopped,
                    lost_inputs: lost,
                } = state.clone();
                self.event_log = Some(state);
                self.log_event(Event::EventLogChanged {
                    stopped_reason: stopped,
                    lost_inputs: lost,
                });
            }
            Input::EndpointList {
                generation: version,
                hosts,
            } => match self.endpoints.apply_file(self.now, version, hosts) {
                Ok(endpoints) => self.apply_endpoints(endpoints),
                Err(error) => self.reject_endpoint_list(error.to_string()),
            },
            Input::EndpointListRejected { error } => {
                self.endpoints.rejected_reason = Some(error.clone());
                self.reject_endpoint_list(error);
            }
            Input::Connected { proxy, connection } => self.on_connected(proxy, connection),
            Input::Answer {
                proxy,
                connection,
                text,
            } => self.on_answer(proxy, connection, &text),
            Input::Disconnected {
                proxy,
                connection,
                reason,
            } => {
                if self.peer(proxy, connection).is_some() {
                    self.on_disconnected(proxy, &reason);
                }
            }
            Input::HealthCheckCompleted {
                host,
                for_load,
                healthy,
                load,
            } => self.on_health_check(&host, for_load, healthy, load),
            Input::DnsQueried {
                proxy,
                table,
                serial,
            } => self.on_dns_query(proxy, table, serial),
            Input::SecondaryObserved {
                index: n,
                observation: heard,
            } => self.on_secondary(n, heard),
            Input::SenderConnected {
                connection,
                name,
                role,
                incarnation,
            } => self.on_sender_connected(connection, name, role, incarnation),
            Input::ReportReceived { connection, report } => self.on_report(connection, *report),
            Input::SenderDisconnected { connection } => self.on_sender_disconnected(connection),
            Input::MemoryUsage {
                queued_bytes: waiting,
                event_log_bytes: records,
                connection_bytes: connections,
                rejected_connections: capped,
            } => {
                self.memory.takes(Purpose::Waiting, waiting);
                self.memory.takes(Purpose::Records, records);
                self.memory.takes(Purpose::Connections, connections);
                self.memory.capped(Purpose::Connections, capped);
            }
            Input::Solved { number, plan } => self.on_plan(number, plan),
            Input::Command {
                caller,
                level,
                line,
            } => {
                let text = answer(self, level, &line);
                self.outputs.push_back(Output::Reply { caller, text });
            }
        }
        self.run_timers();
        self.follow_up();
    }

    pub(crate) fn describe_input(&self, input: &Input) -> String {
        let proxy = |n: u16| {
            self.peers
                .get(n as usize)
                .map_or("?", |peer| peer.name.as_str())
        };
        match input {
            Input::TimerExpired => "beat".into(),
            Input::Recovered(_) => "recovered".into(),
            Input::EventLog(_) => "records".into(),
            Input::EndpointList {
                generation: version,
                ..
            } => {
                format!("list {}", version.map_or("-".into(), |v| v.to_string()))
            }
            Input::EndpointListRejected { .. } => "list refused".into(),
            Input::Connected { proxy: n, .. } => format!("{} connected", proxy(*n)),
            Input::Answer { proxy: n, .. } => format!("answer of {}", proxy(*n)),
            Input::Disconnected { proxy: n, .. } => format!("{} lost", proxy(*n)),
            Input::HealthCheckCompleted { host, .. } => format!("probe of {host}"),
            Input::DnsQueried { proxy: n, .. } => format!("{} asked", n.map_or("somebody", proxy)),
            Input::SecondaryObserved { index: n, .. } => format!("secondary {n}"),
            Input::SenderConnected { name, .. } => format!("{name} pushes"),
            Input::ReportReceived { .. } | Input::SenderDisconnected { .. } => "a report".into(),
            Input::MemoryUsage { .. } => "memory".into(),
            Input::Solved { number, .. } => format!("plan {number}"),
            Input::Command { line, .. } => {
                format!("operator: {}", line.chars().take(80).collect::<String>())
            }
        }
    }

    pub(crate) fn reject_endpoint_list(&mut self, error: String) {
        self.log_error(format!("hosts: {error}"));
        self.log_event(Event::EndpointListRejected { error });
    }

    pub(crate) fn on_health_check(
        &mut self,
        host: &str,
        for_load: bool,
        healthy: bool,
        load: Option<ReportedLoad>,
    ) {
        let host = HostId(host.into());
        if let Some(load) = load {
            self.loads.insert(host.clone(), (self.now, load));
        }
        if !for_load {
            self.controller.on_health_check(
                self.now,
                &host,
                HealthCheckResult {
                    healthy,
                    load: load.map(|told| told.host_load()),
                },
            );
        }
    }
}
