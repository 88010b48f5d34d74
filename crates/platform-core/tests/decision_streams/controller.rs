//! The controller under test, with an interface of wire texts. Only this file uses types of the project, so that the
//! runs do not depend on their names.

use pondarch_controller::{HostId, Time};
use pondarch_platform_core::{CallOutcome, Input, Output, PlatformController};
use pondarch_platform_protocol::config::{self, EnvironmentDefaults};
use pondarch_platform_protocol::relay::{self, RelayMessage};
use pondarch_platform_protocol::{load, registry, report};

/// An output of the controller, as text.
pub(crate) enum Action {
    Call { id: u64, line: String },
    CheckHealth { host: String, address: String },
}

pub(crate) struct Controller(PlatformController);

impl Controller {
    pub(crate) fn open(config: &str, now: u64) -> Controller {
        let config = config::parse(config.as_bytes(), &EnvironmentDefaults::default())
            .expect("a valid configuration");
        Controller(PlatformController::new(config, Time::from_micros(now)))
    }

    fn handle(&mut self, now: u64, input: Input) {
        self.0.handle(Time::from_micros(now), input);
    }

    /// Calls the controller if its timer is due.
    pub(crate) fn run_due_timer(&mut self, now: u64) {
        if self
            .0
            .timer_at()
            .is_some_and(|at| at <= Time::from_micros(now))
        {
            self.handle(now, Input::Timer);
        }
    }

    /// Passes on an endpoint list; an invalid one counts as a failure of the registry.
    pub(crate) fn endpoint_list(&mut self, now: u64, text: &str) {
        let input =
            registry::parse(text.as_bytes()).map_or(Input::EndpointListFailed, Input::EndpointList);
        self.handle(now, input);
    }

    /// Passes on a line of the relay: the answer to a call, or a membership event.
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

    /// Reports that a call was not answered in time.
    pub(crate) fn answer_timeout(&mut self, now: u64, call: u64) {
        self.call_ended(now, call, CallOutcome::InDoubt);
    }

    fn call_ended(&mut self, now: u64, call: u64, outcome: CallOutcome) {
        self.handle(now, Input::CallEnded { call, outcome });
    }

    pub(crate) fn relay_reachable(&mut self, now: u64, reachable: bool) {
        self.handle(now, Input::RelayReachability { reachable });
    }

    /// Passes on a report, whose words are separated by spaces.
    pub(crate) fn report(&mut self, now: u64, text: &str) {
        let words: Vec<String> = text.split(' ').map(str::to_string).collect();
        self.handle(
            now,
            report::parse(&words).map_or_else(Input::MalformedReport, Input::Report),
        );
    }

    /// Passes on the result of a health check.
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
