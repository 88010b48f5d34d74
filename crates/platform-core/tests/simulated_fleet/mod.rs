//! A simulated relay, registry and clock for tests of a controller.

mod hosts;
mod invariants;
mod proxies;
mod relay;

use hosts::ListedHost;
use pondarch_controller::{AckId, EndpointState, ProxyId, Time};
use pondarch_platform_core::{CallOutcome, Input, Output, PlatformController};
use pondarch_platform_protocol::config::{self, EnvironmentDefaults, PlatformConfig};
use pondarch_platform_protocol::relay::MembershipEvent;
use serde_json::json;
use std::collections::BTreeMap;
use std::time::Duration;

/// The time within which the invariants must hold again after a drain, a join, a restart or a fault.
pub(crate) const GRACE_PERIOD: Duration = Duration::from_millis(1_500);
/// Maximum number of messages to one proxy within `MESSAGE_WINDOW_MICROS`.
const MESSAGE_CAP: usize = 12;
const MESSAGE_WINDOW_MICROS: u64 = 10_000_000;
const SLOW_START_MICROS: u64 = 18_000_000;
const ZONES: [&str; 2] = ["a", "b"];

/// How the relay fails to handle calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RelayFault {
    None,
    /// Calls are rejected.
    Busy,
    /// Calls are applied but not answered.
    AnswerLost,
    /// Calls are neither applied nor answered.
    CallLost,
    /// Calls are applied, and answered with an impossible count of updates.
    MalformedAnswer,
}

/// The state of a host on the endpoint list, and when it started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct HostState {
    state: EndpointState,
    started: u64,
}

/// A call that the relay has handled, and when its outcome becomes known to the controller.
struct PendingOutcome {
    known_at: u64,
    call: u64,
    outcome: CallOutcome,
}

/// The table of each set of request classes that a proxy is bound with, by the names of the classes.
type Bindings = BTreeMap<Vec<String>, u16>;

/// A table and the id of a host in it.
type TableMember = (u16, String);

pub(crate) struct SimulatedFleet {
    pub controller: PlatformController,
    /// The current time in microseconds.
    pub now: u64,
    pub fault: RelayFault,
    /// Time until the outcome of a call is known to the controller; zero means at once.
    pub outcome_delay_micros: u64,
    pub generation: u64,
    pub calls: usize,
    pub partially_applied_calls: usize,
    pub bindings: BTreeMap<ProxyId, Bindings>,
    pub listed: BTreeMap<String, HostState>,
    ever_listed: BTreeMap<String, ListedHost>,
    joined: BTreeMap<ProxyId, u64>,
    weights: BTreeMap<TableMember, f64>,
    /// The times at which each proxy was sent messages.
    messages: BTreeMap<ProxyId, Vec<u64>>,
    /// The earliest start of the invariants' grace periods.
    grace_start: u64,
    without_host_since: BTreeMap<ProxyId, u64>,
    /// The call whose outcome is not known yet.
    pending_outcome: Option<PendingOutcome>,
    /// Acknowledgements that were requested but not sent yet.
    pending_acks: Vec<(ProxyId, AckId)>,
}

fn host_name(number: usize) -> String {
    format!("host-{number}")
}

fn configuration(proxies: u64, message_cap: usize, zone_local_class: bool) -> PlatformConfig {
    let class =
        |name: &str, aim: u64, worth: f64| json!({"name": name, "aim": aim, "worth": worth});
    let config = json!({
        "name": "n0", "listen": "127.0.0.1:7070", "discovery": "127.0.0.1:8500", "seed": "07",
        "limits": {"sockets": 256}, "hub": {"address": "127.0.0.1:6400"},
        "settings": {
            "classes": [class("proof", 1_500_000, 1.0), class("order", 1_000_000, 5.0)],
            "localities": ZONES, "discovery": "pushed", "machineTypes": ["m"],
            "limits": {"probes": true}, "prices": {"crossZone": 0.06},
            "report": {"fields": ["busy", "q"], "source": "inline"},
            "obligations": {"cold": SLOW_START_MICROS, "startCapacity": 0.2, "askWithin": 10_000_000},
            "familyInfo": {"proxies": proxies, "admission": "share", "baseMode": 0, "channelRate": 9_800.0,
                "mostWaiting": 9_800.0, "perMessage": 3.0, "updateCap": message_cap,
                "updateWindow": MESSAGE_WINDOW_MICROS, "reportEvery": 1_000_000,
                "classOwnZone": [zone_local_class, false]},
        },
    });
    let defaults = EnvironmentDefaults::default();
    config::parse(config.to_string().as_bytes(), &defaults).expect("a configuration")
}

impl SimulatedFleet {
    pub(crate) fn new(hosts: usize, proxies: u64) -> SimulatedFleet {
        SimulatedFleet::with_message_cap(hosts, proxies, MESSAGE_CAP)
    }

    /// Creates a fleet with a given message cap; 0 means no cap.
    pub(crate) fn with_message_cap(
        hosts: usize,
        proxies: u64,
        message_cap: usize,
    ) -> SimulatedFleet {
        SimulatedFleet::with_configuration(hosts, configuration(proxies, message_cap, false))
    }

    /// Creates a fleet without a message cap in which a request class may be zone-local.
    pub(crate) fn with_zone_local_class(
        hosts: usize,
        proxies: u64,
        zone_local_class: bool,
    ) -> SimulatedFleet {
        SimulatedFleet::with_configuration(hosts, configuration(proxies, 0, zone_local_class))
    }

    fn with_configuration(hosts: usize, config: PlatformConfig) -> SimulatedFleet {
        let now = 1_000_000_000;
        let ready = HostState {
            state: EndpointState::Ready,
            started: 0,
        };
        let mut fleet = SimulatedFleet {
            controller: PlatformController::new(config, Time::from_micros(now)),
            now,
            fault: RelayFault::None,
            outcome_delay_micros: 0,
            generation: 0,
            calls: 0,
            partially_applied_calls: 0,
            bindings: BTreeMap::new(),
            listed: (0..hosts)
                .map(|number| (host_name(number), ready))
                .collect(),
            ever_listed: BTreeMap::new(),
            joined: BTreeMap::new(),
            weights: BTreeMap::new(),
            messages: BTreeMap::new(),
            grace_start: now,
            without_host_since: BTreeMap::new(),
            pending_outcome: None,
            pending_acks: Vec::new(),
        };
        fleet.send_complete_list();
        fleet.handle(Input::RelayReachability { reachable: true });
        fleet.handle(Input::MembershipWatchStarted);
        fleet.send_event(MembershipEvent::Ping);
        fleet
    }

    fn time(&self) -> Time {
        Time::from_micros(self.now)
    }

    pub(crate) fn handle(&mut self, input: Input) {
        self.controller.handle(self.time(), input);
    }

    /// Restarts the invariants' grace periods now.
    pub(crate) fn restart_grace_period(&mut self) {
        self.grace_start = self.now;
    }

    pub(crate) fn run(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(50) {
            self.now += 50_000;
            if self
                .controller
                .timer_at()
                .is_some_and(|at| at <= self.time())
            {
                self.handle(Input::Timer);
            }
            let known = self
                .pending_outcome
                .take_if(|pending| pending.known_at <= self.now);
            if let Some(PendingOutcome { call, outcome, .. }) = known {
                self.handle(Input::CallEnded { call, outcome });
            }
            for (proxy, ack) in std::mem::take(&mut self.pending_acks) {
                self.handle(Input::Membership(MembershipEvent::Applied { proxy, ack }));
            }
            if self.now.is_multiple_of(1_000_000) {
                self.send_event(MembershipEvent::Ping);
            }
            self.execute_outputs();
            self.record_proxies_without_host();
        }
    }

    /// Executes the controller's outputs until there are none left.
    fn execute_outputs(&mut self) {
        while let Some(output) = self.controller.next_output(self.time()) {
            match output {
                Output::Call { call, line } => {
                    assert!(line.len() <= 60_000, "{} bytes in a call", line.len());
                    let outcome = self.apply_call(&line);
                    if self.outcome_delay_micros == 0 {
                        self.handle(Input::CallEnded { call, outcome });
                    } else {
                        assert!(self.pending_outcome.is_none(), "two calls are in flight");
                        self.pending_outcome = Some(PendingOutcome {
                            known_at: self.now + self.outcome_delay_micros,
                            call,
                            outcome,
                        });
                    }
                }
                Output::CheckHealth { host, .. } => self.handle(Input::HealthChecked {
                    host,
                    healthy: true,
                    load: None,
                }),
            }
        }
    }
}
