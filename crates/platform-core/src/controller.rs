//! The state of a controller on the platform, its inputs and its outputs.

use crate::counters::Counters;
use crate::membership::Membership;
use crate::updates::{MAX_BATCH_SIZE, UpdateCall};
use crate::wall_clock::WallClock;
use pondarch_controller::HealthCheckResult;
use pondarch_controller::{
    AdmissionChange, Controller, Decision, HostId, HostLoad, HostTransition, RetryChange,
    StartPropagation, StatusSnapshot, Time, ZoneId,
};
use pondarch_deployment::DeploymentNames;
use pondarch_platform_protocol::config::PlatformConfig;
use pondarch_platform_protocol::registry::RegistryList;
use pondarch_platform_protocol::relay::MembershipEvent;
use pondarch_platform_protocol::report::{MalformedMessage, Message};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// An input of the controller.
#[derive(Debug)]
pub enum Input {
    /// Time has passed without any other input.
    Timer,
    /// The current time of the wall clock. The registry lists host start times by this clock, which may be stepped.
    WallClock(Time),
    /// The registry sent a complete endpoint list, or changes to it.
    EndpointList(RegistryList),
    /// The watch on the registry failed.
    EndpointListFailed,
    /// A watch of membership events has started.
    MembershipWatchStarted,
    /// The relay sent a membership event.
    Membership(MembershipEvent),
    /// The relay became reachable or unreachable for calls.
    RelayReachability {
        /// Whether a call can be sent now.
        reachable: bool,
    },
    /// An update call ended.
    CallEnded {
        /// The number of the call.
        call: u64,
        /// How it ended.
        outcome: CallOutcome,
    },
    /// A collector sent a message.
    Report(Message),
    /// A collector sent an invalid message.
    MalformedReport(MalformedMessage),
    /// A health check ended.
    HealthChecked {
        /// The host that was checked.
        host: HostId,
        /// Whether the host answered in time.
        healthy: bool,
        /// The load report in the host's answer.
        load: Option<HostLoad>,
    },
}

/// How an update call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The relay applied the first `updates` updates of the call.
    Applied {
        /// How many updates were applied.
        updates: u64,
    },
    /// The relay applied no update of the call.
    Rejected,
    /// It is not known whether the relay applied the call.
    InDoubt,
}

/// An action that the controller requests from its caller.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Send a call to the relay.
    Call {
        /// The number of the call.
        call: u64,
        /// The line to send.
        line: String,
    },
    /// Check the health of a host.
    CheckHealth {
        /// The host.
        host: HostId,
        /// Where it answers health checks.
        address: SocketAddr,
    },
}

/// The state machine of a controller on the platform: it connects the decision module to the platform's messages.
pub struct PlatformController {
    pub(crate) controller: Controller,
    pub(crate) names: DeploymentNames,
    pub(crate) proxy_count: u64,
    pub(crate) membership: Membership,
    pub(crate) wall_clock: WallClock,
    pub(crate) health_check_addresses: BTreeMap<HostId, SocketAddr>,
    pub(crate) relay_reachable: bool,
    /// The number of the last call.
    pub(crate) last_call: u64,
    /// The call that is in flight, if any.
    pub(crate) update_call: Option<UpdateCall>,
    /// A decision that did not fit into the last call and is sent first in the next one.
    pub(crate) deferred_decision: Option<Decision>,
    pub(crate) timer_at: Option<Time>,
    pub(crate) outputs: VecDeque<Output>,
    pub(crate) counters: Counters,
}

impl PlatformController {
    /// Creates a controller that starts at `now` with the endpoint list of its configuration, if there is one.
    #[must_use]
    pub fn new(config: PlatformConfig, now: Time) -> PlatformController {
        let mut deployment = config.deployment;
        deployment.max_batch_size = MAX_BATCH_SIZE;
        let mut platform_controller = PlatformController {
            proxy_count: deployment.proxy_count,
            controller: Controller::new(deployment, config.seed, now),
            names: config.names,
            membership: Membership::default(),
            wall_clock: WallClock::default(),
            health_check_addresses: BTreeMap::new(),
            relay_reachable: false,
            last_call: 0,
            update_call: None,
            deferred_decision: None,
            timer_at: None,
            outputs: VecDeque::new(),
            counters: Counters::default(),
        };
        if let Some(mut known) = config.known_endpoints {
            known.complete = true;
            platform_controller.handle(now, Input::EndpointList(known));
        }
        platform_controller
    }

    /// Handles an input.
    pub fn handle(&mut self, now: Time, input: Input) {
        if self.timer_at.take_if(|at| now >= *at).is_some() {
            self.controller.on_timer(now);
        }
        match input {
            Input::Timer => {}
            Input::WallClock(wall) => self.wall_clock.observe(now, wall),
            Input::EndpointList(list) => self.apply_endpoint_list(now, list),
            Input::EndpointListFailed => self.controller.endpoint_list_failed(now),
            Input::MembershipWatchStarted => self.membership.begin_list(),
            Input::Membership(event) => self.apply_membership_event(now, event),
            Input::RelayReachability { reachable } => self.relay_reachable = reachable,
            Input::CallEnded { call, outcome } => self.on_call_ended(now, call, outcome),
            Input::Report(message) => self.record_message(now, message),
            Input::MalformedReport(reason) => self.counters.count_malformed(reason),
            Input::HealthChecked {
                host,
                healthy,
                load,
            } => {
                self.counters.health_checks_passed += u64::from(healthy);
                self.controller
                    .on_health_check(now, &host, HealthCheckResult { healthy, load });
            }
        }
    }

    /// Returns the next action to execute, or `None` if nothing is left to do now.
    pub fn next_output(&mut self, now: Time) -> Option<Output> {
        if self.outputs.is_empty() {
            self.take_decisions(now);
        }
        self.outputs.pop_front()
    }

    /// Returns the latest time at which [`handle`](Self::handle) must be called again.
    #[must_use]
    pub fn timer_at(&self) -> Option<Time> {
        self.timer_at
    }

    /// Returns the counts of inputs and outputs.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the decision module's status.
    #[must_use]
    pub fn status(&self) -> StatusSnapshot {
        self.controller.status()
    }

    /// Returns the hosts' phase transitions since the previous call, for the log.
    pub fn take_host_transitions(&mut self) -> Vec<HostTransition> {
        self.controller.take_host_transitions()
    }

    /// Returns the changes of what is admitted since the previous call, for the log.
    pub fn take_admission_changes(&mut self) -> Vec<AdmissionChange> {
        self.controller.take_admission_changes()
    }

    /// Returns the changes of what proxies are told about retries since the previous call, for the log.
    pub fn take_retry_changes(&mut self) -> Vec<RetryChange> {
        self.controller.take_retry_changes()
    }

    /// Returns the hosts that had started and whose weight was lowered in all tables since the previous call, for the log.
    pub fn take_start_propagations(&mut self) -> Vec<StartPropagation> {
        self.controller.take_start_propagations()
    }

    /// Returns the number of connected proxies.
    #[must_use]
    pub fn joined_proxies(&self) -> usize {
        self.membership.len()
    }

    /// Returns the id of a zone, or `None` if its name is unknown.
    #[must_use]
    pub fn known_zone(&self, name: &str) -> Option<ZoneId> {
        self.names.known_zone(name)
    }
}
