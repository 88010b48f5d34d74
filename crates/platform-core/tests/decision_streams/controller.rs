//! The controller under test, reached by wire text alone. Only this file names types of the project.

use pondarch_controller::{HostId, Time};
use pondarch_platform_core::{CallEnd, Core, Input, Output};
use pondarch_platform_protocol::config::{self, Env};
use pondarch_platform_protocol::relay::{self, Line};
use pondarch_platform_protocol::{load, registry, report};

/// What the controller does, as text.
pub(crate) enum Action {
    Call { id: u64, line: String },
    Probe { host: String, address: String },
}

pub(crate) struct Controller(Core);

impl Controller {
    pub(crate) fn open(config: &str, now: u64) -> Controller {
        let config = config::read(config.as_bytes(), &Env::default()).expect("a configuration");
        Controller(Core::open(config, Time::from_micros(now)))
    }

    fn handle(&mut self, now: u64, input: Input) {
        self.0.handle(Time::from_micros(now), input);
    }

    /// Time has passed; the controller is called if it asked for that.
    pub(crate) fn time_passed(&mut self, now: u64) {
        if self
            .0
            .wake_at()
            .is_some_and(|at| at <= Time::from_micros(now))
        {
            self.handle(now, Input::Clock);
        }
    }

    /// A list of hosts; text that is none counts as a failure of discovery.
    pub(crate) fn list(&mut self, now: u64, text: &str) {
        let input = registry::read(text.as_bytes()).map_or(Input::ListFailed, Input::Listed);
        self.handle(now, input);
    }

    /// A line of the relay: the answer to a call, or news.
    pub(crate) fn relay_line(&mut self, now: u64, text: &str) {
        match relay::read(text) {
            Some(Line::Taken { id, orders }) => {
                self.call_ended(now, id, CallEnd::Answered { orders })
            }
            Some(Line::Refused { id, .. }) => self.call_ended(now, id, CallEnd::Refused),
            Some(Line::News(news)) => self.handle(now, Input::News(news)),
            Some(Line::Watching) => self.handle(now, Input::NewsBegan),
            None => {}
        }
    }

    /// A call has had no answer in time.
    pub(crate) fn no_answer(&mut self, now: u64, call: u64) {
        self.call_ended(now, call, CallEnd::Unknown);
    }

    fn call_ended(&mut self, now: u64, call: u64, end: CallEnd) {
        self.handle(now, Input::CallEnded { call, end });
    }

    pub(crate) fn relay_reachable(&mut self, now: u64, up: bool) {
        self.handle(now, Input::Relay { up });
    }

    /// A report, its words set apart by spaces.
    pub(crate) fn report(&mut self, now: u64, text: &str) {
        let words: Vec<String> = text.split(' ').map(str::to_string).collect();
        self.handle(
            now,
            report::read(&words).map_or_else(Input::Spoilt, Input::Said),
        );
    }

    /// A probe's answer, with the body that came along.
    pub(crate) fn probe_answer(&mut self, now: u64, host: &str, good: bool, body: &str) {
        let load = load::read_body(body.as_bytes());
        self.handle(
            now,
            Input::Probed {
                host: HostId(host.into()),
                good,
                load,
            },
        );
    }

    pub(crate) fn next_action(&mut self, now: u64) -> Option<Action> {
        match self.0.next_output(Time::from_micros(now))? {
            Output::Call { call, line } => Some(Action::Call { id: call, line }),
            Output::Probe { host, at } => Some(Action::Probe {
                host: host.0.to_string(),
                address: at.to_string(),
            }),
        }
    }
}
