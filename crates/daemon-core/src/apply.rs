//! Applies each input to the state and to the controller, then sends out what follows from it.

use crate::event::Event;
use crate::input::{EventLogState, Input};
use crate::output::Output;
use crate::reported_load::ReportedLoad;
use crate::state::DaemonState;
use pondarch_config::HostEntry;
use pondarch_controller::HealthCheckResult;
use pondarch_controller::{HostId, Time};
use pondarch_load_ingestion::Purpose;

/// Purpose of a request to a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CheckPurpose {
    /// To check whether the host serves.
    Health,
    /// To read only its load.
    Load,
}

impl From<bool> for CheckPurpose {
    /// From the field `for_load` as it is recorded.
    fn from(for_load: bool) -> CheckPurpose {
        if for_load {
            CheckPurpose::Load
        } else {
            CheckPurpose::Health
        }
    }
}

impl DaemonState {
    /// Applies one input. `answer` replies to a command line of an operator; it is given the access level and the line.
    pub(crate) fn apply_input(
        &mut self,
        now: Time,
        input: Input,
        answer: impl FnOnce(&mut DaemonState, u8, &str) -> String,
    ) {
        self.now = now.max(self.now);
        self.input_count += 1;
        self.cause = format!("#{} {}", self.input_count, self.describe_input(&input));
        if let Input::Command {
            caller,
            level,
            line,
        } = input
        {
            let text = answer(self, level, &line);
            self.outputs.push_back(Output::Reply { caller, text });
        } else {
            self.dispatch_input(input);
        }
        self.run_timers();
        self.follow_up();
    }

    fn dispatch_input(&mut self, input: Input) {
        match input {
            // `apply_input` replies to commands, and runs timers after each input.
            Input::TimerExpired | Input::Command { .. } => {}
            Input::Recovered(recovered) => self.recover(*recovered),
            Input::EventLog(state) => self.on_event_log(state),
            Input::EndpointList { generation, hosts } => {
                self.on_endpoint_list(generation, hosts);
            }
            Input::EndpointListRejected { error } => self.on_endpoint_list_rejected(error),
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
            } => self.on_connection_lost(proxy, connection, &reason),
            Input::HealthCheckCompleted {
                host,
                for_load,
                healthy,
                load,
            } => self.on_health_check(&host, for_load.into(), healthy, load),
            Input::DnsQueried {
                proxy,
                table,
                serial,
            } => self.on_dns_query(proxy, table, serial),
            Input::SecondaryObserved { index, observation } => {
                self.on_secondary(index, observation);
            }
            Input::SenderConnected {
                connection,
                name,
                role,
                incarnation,
            } => self.on_sender_connected(connection, name, role, incarnation),
            Input::ReportReceived { connection, report } => self.on_report(connection, *report),
            Input::SenderDisconnected { connection } => self.on_sender_disconnected(connection),
            Input::MemoryUsage {
                queued_bytes,
                event_log_bytes,
                connection_bytes,
                rejected_connections,
            } => {
                self.memory.set_bytes(Purpose::Waiting, queued_bytes);
                self.memory.set_bytes(Purpose::Records, event_log_bytes);
                self.memory
                    .set_bytes(Purpose::Connections, connection_bytes);
                self.memory
                    .add_rejections(Purpose::Connections, rejected_connections);
            }
            Input::Solved { number, plan } => self.on_plan(number, plan),
        }
    }

    fn on_endpoint_list(&mut self, generation: Option<u64>, hosts: Vec<HostEntry>) {
        match self.endpoints.apply_file(self.now, generation, hosts) {
            Ok(endpoints) => self.apply_endpoints(endpoints),
            Err(error) => self.reject_endpoint_list(error.to_string()),
        }
    }

    fn on_endpoint_list_rejected(&mut self, error: String) {
        self.endpoints.rejected_reason = Some(error.clone());
        self.reject_endpoint_list(error);
    }

    fn on_event_log(&mut self, state: EventLogState) {
        let EventLogState {
            stopped_reason,
            lost_inputs,
        } = state.clone();
        self.event_log = Some(state);
        self.log_event(Event::EventLogChanged {
            stopped_reason,
            lost_inputs,
        });
    }

    fn on_connection_lost(&mut self, proxy: u16, connection: u64, reason: &str) {
        if self.peer(proxy, connection).is_some() {
            self.on_disconnected(proxy, reason);
        }
    }

    /// The text for an input in the causes of events; stored with these, so it must not change.
    pub(crate) fn describe_input(&self, input: &Input) -> String {
        let proxy_name = |index: u16| {
            self.peers
                .get(index as usize)
                .map_or("?", |peer| peer.name.as_str())
        };
        match input {
            Input::TimerExpired => "beat".into(),
            Input::Recovered(_) => "recovered".into(),
            Input::EventLog(_) => "records".into(),
            Input::EndpointList { generation, .. } => {
                let generation = generation.map_or("-".into(), |generation| generation.to_string());
                format!("list {generation}")
            }
            Input::EndpointListRejected { .. } => "list refused".into(),
            Input::Connected { proxy, .. } => format!("{} connected", proxy_name(*proxy)),
            Input::Answer { proxy, .. } => format!("answer of {}", proxy_name(*proxy)),
            Input::Disconnected { proxy, .. } => format!("{} lost", proxy_name(*proxy)),
            Input::HealthCheckCompleted { host, .. } => format!("probe of {host}"),
            Input::DnsQueried { proxy, .. } => {
                format!("{} asked", proxy.map_or("somebody", proxy_name))
            }
            Input::SecondaryObserved { index, .. } => format!("secondary {index}"),
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
        purpose: CheckPurpose,
        healthy: bool,
        load: Option<ReportedLoad>,
    ) {
        let host = HostId(host.into());
        if let Some(load) = load {
            self.loads.insert(host.clone(), (self.now, load));
        }
        if purpose == CheckPurpose::Health {
            self.controller.on_health_check(
                self.now,
                &host,
                HealthCheckResult {
                    healthy,
                    load: load.map(|load| load.host_load()),
                },
            );
        }
    }
}
