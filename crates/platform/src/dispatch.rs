//! Passes the tasks' events to the controller and the controller's outputs to the tasks.

use crate::events::{ClientEvent, DisconnectReason, TaskEvent, UpstreamEvent};
use crate::program::Program;
use crate::status_log::{
    log_admission_change, log_retry_change, log_start_propagation, log_transition,
};
use crate::update_calls::Call;
use pondarch_platform_core::{CallOutcome, Input, Output};
use tracing::{info, warn};

impl Program {
    /// Executes the controller's outputs until there are none left, and logs what has changed.
    pub(crate) fn execute_outputs(&mut self) {
        while let Some(output) = self.controller.next_output(self.clock.now()) {
            match output {
                Output::Call { call, line } => self.send_call(Call { number: call, line }),
                Output::CheckHealth { host, address } => self.health_checks.start(host, address),
            }
        }
        for transition in self.controller.take_host_transitions() {
            self.log_limit.log(|| log_transition(&transition));
        }
        for change in self.controller.take_admission_changes() {
            self.log_limit.log(|| log_admission_change(&change));
        }
        for change in self.controller.take_retry_changes() {
            self.log_limit.log(|| log_retry_change(&change));
        }
        for propagation in self.controller.take_start_propagations() {
            self.log_limit.log(|| log_start_propagation(&propagation));
        }
    }

    fn send_call(&mut self, call: Call) {
        if let Err(call) = self.upstreams.call(call) {
            self.handle_input(Input::CallEnded {
                call: call.number,
                outcome: CallOutcome::Rejected,
            });
        }
    }

    pub(crate) fn handle_input(&mut self, input: Input) {
        self.controller.handle(self.clock.now(), input);
    }

    pub(crate) fn on_task_event(&mut self, event: TaskEvent) {
        match event {
            TaskEvent::Upstream { revision, event } => {
                if self.upstreams.apply(revision, &event) {
                    self.on_upstream_event(event);
                }
            }
            TaskEvent::HealthChecked {
                host,
                healthy,
                load,
            } => self.handle_input(Input::HealthChecked {
                host,
                healthy,
                load,
            }),
            TaskEvent::Client { client, event } => self.on_client_event(client, event),
        }
    }

    fn on_upstream_event(&mut self, event: UpstreamEvent) {
        match event {
            UpstreamEvent::EndpointList(list) => {
                self.log_limit.log(|| {
                    info!(
                        generation = list.generation,
                        complete = list.complete,
                        entries = list.entries.len(),
                        "endpoint list applied"
                    );
                });
                self.handle_input(Input::WallClock(self.clock.wall()));
                self.handle_input(Input::EndpointList(list));
            }
            UpstreamEvent::EndpointWatchFailed(error) => {
                self.log_limit
                    .log(|| warn!(%error, "registry watch failed"));
                self.handle_input(Input::EndpointListFailed);
            }
            UpstreamEvent::MembershipWatchStarted => {
                self.log_limit.log(|| info!("membership watch started"));
                self.handle_input(Input::MembershipWatchStarted);
            }
            UpstreamEvent::Membership(event) => self.handle_input(Input::Membership(event)),
            UpstreamEvent::MembershipWatchFailed(error) => self
                .log_limit
                .log(|| warn!(%error, "membership watch failed")),
            UpstreamEvent::CallsConnected => self.on_reachability_changed(),
            UpstreamEvent::CallsDisconnected(reason) => self.on_calls_disconnected(&reason),
            UpstreamEvent::CallEnded {
                call,
                outcome,
                error,
            } => {
                if let Some(error) = error {
                    self.log_limit
                        .log(|| warn!(call, %error, "update call failed"));
                }
                self.handle_input(Input::CallEnded { call, outcome });
            }
        }
    }

    fn on_calls_disconnected(&mut self, reason: &DisconnectReason) {
        if let DisconnectReason::Failed(error) = reason {
            self.log_limit
                .log(|| warn!(%error, "relay connection failed"));
            self.relay_connection_failed = true;
        }
        self.on_reachability_changed();
    }

    /// Handles that a connection for update calls was established, ended or dropped.
    fn on_reachability_changed(&mut self) {
        let reachable = self.upstreams.can_call();
        // The replacement of an idle connection is not logged.
        if reachable && self.relay_connection_failed {
            self.relay_connection_failed = false;
            self.log_limit.log(|| info!("relay connection established"));
        }
        self.handle_input(Input::RelayReachability { reachable });
    }

    fn on_client_event(&mut self, client: u64, event: ClientEvent) {
        match event {
            ClientEvent::Identified { zone } => {
                let known = self.controller.known_zone(&zone);
                if known.is_some() {
                    self.log_limit
                        .log(|| info!(zone, client, "collector joined"));
                }
                self.clients.join(client, known);
            }
            ClientEvent::Report(message) => self.handle_input(Input::Report(message)),
            ClientEvent::Malformed(reason) => self.handle_input(Input::MalformedReport(reason)),
            ClientEvent::Closed(reason) => {
                // Closed clients are counted; a crowd of strangers must not use up the limit on log lines.
                if self.clients.is_collector(client) {
                    self.log_limit
                        .log(|| info!(client, ?reason, "collector connection closed"));
                }
                self.clients.close(client, reason);
            }
        }
    }
}
