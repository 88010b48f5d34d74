//! The controller under test, reached by wire text alone. Only this file names types of the project.

use pondarch_controller::{HostId, Time};
use pondarch_platform_core::{CallOutcome, Input, Output, PlatformController};
use pondarch_platform_protocol::config::{self, EnvironmentDefaults};
use pondarch_platform_protocol::relay::{self, RelayMessage};
use pondarch_platform_protocol::{load, registry, report};

/// What the controller does, as text.
pub(crate) enum Action {
    Call { id: u64, line: String },
    CheckHealth { host: String, address: String },
}

pub(crate) struct Controller(PlatformController);

impl Controller {
    pub(crate) fn open(config: &str, now: u64) -> Controller {
        let config = config::parse(config.as_bytes(), &EnvironmentDefaults::default())
            .expect("a configuration");
        Controller(PlatformController::new(config, Time::from_micros(now)))
    }

    fn handle(&mut self, now: u64, input: Input) {
        self.0.handle(Time::from_micros(now), input);
    }

    /// Time has passed; the controller is called if it asked for that.
    pub(crate) fn time_passed(&mut self, now: u64) {
        if self
            .0
            .timer_at()
            .is_some_and(|at| at <= Time::from_micros(now))
        {
            self.handle(now, Input::Timer);
        }
    }

    /// An endpoint list; text that is none counts as a failure of the registry.
    pub(crate) fn list(&mut self, now: u64, text: &str) {
        let input =
            registry::parse(text.as_bytes()).map_or(Input::EndpointListFailed, Input::EndpointList);
        self.handle(now, input);
    }

    /// A line of the relay: the answer to a call, or a membership event.
    pub(crate) fn relay_line(&mut self, now: u64, text: &str) {
        match relay::parse(text) {
            Some(RelayMessage::Applied { call, updates }) => {
                self.call_ended(now, call, CallOutcome::Applied { updates })
            }
            Some(RelayMessage::Rejected { call, .. }) => {
                self.call_ended(now, call, CallOutcome::Rejected)
            }
            Some(RelayMessage::Event(event)) => self.handle(now, Input::Membership(event)),
            Some(RelayMessage::WatchStarted) => self.handle(now, Input::MembershipWatchStarted),
            None => {}
        }
    }

    /// A call has had no answer in time.
    pub(crate) fn no_answer(&mut self, now: u64, call: u64) {
        self.call_ended(now, call, CallOutcome::InDoubt);
    }

    fn call_ended(&mut self, now: u64, call: u64, outcome: CallOutcome) {
        self.handle(now, Input::CallEnded { call, outcome });
    }

    pub(crate) fn relay_reachable(&mut self, now: u64, reachable: bool) {
        self.handle(now, Input::RelayReachability { reachable });
    }

    /// A report, its words set apart by spaces.
    pub(crate) fn report(&mut self, now: u64, text: &str) {
        let words: Vec<String> = text.split(' ').map(str::to_string).collect();
        self.handle(
            now,
            report::parse(&words).map_or_else(Input::MalformedReport, Input::Report),
        );
    }

    /// The answer to a health check, with its body.
    pub(crate) fn health_check_answer(&mut self, now: u64, host: &str, healthy: bool, body: &str) {
        let load = load::parse_body(body.as_bytes());
        self.handle(
            now,
            Input::HealthChecked {
                host: HostId(host.into()),
                healthy,
                load,
            },
        );
    }

    pub(crate) fn next_action(&mut self, now: u64) -> Option<Action> {
        match self.0.next_output(Time::from_micros(now))? {
            Output::Call { call, line } => Some(Action::Call { id: call, line }),
            Output::CheckHealth { host, address } => Some(Action::CheckHealth {
                host: host.0.to_string(),
                address: address.to_string(),
            }),
        }
    }
}
