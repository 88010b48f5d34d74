//! The core as its surroundings see it.

use crate::dns_state::DnsState;
use crate::input::Input;
use crate::operator;
use crate::output::Output;
use crate::recovered_state::RecoveredState;
use crate::state::DaemonState;
use pondarch_config::SiteSettings;
use pondarch_controller::Time;
use pondarch_dns_server::View;
use std::sync::Arc;

/// The controller without its sockets: `handle` takes one input; then `next_output` is called until it gives `None`, and
/// `Input::TimerExpired` is given at `wake_at`.
pub struct Core {
    state: DaemonState,
}

impl Core {
    /// `seed` for all chance of this run; `process` is the number that `show info` gives as the controller's own. The
    /// mark that joined proxies get tells this start of this controller from any other: `epoch` must be higher than that of
    /// any start before, or proxies refuse its orders as older ones.
    pub fn new(site: &SiteSettings, seed: u64, process: u32, epoch: u64, now: Time) -> Core {
        Core {
            state: DaemonState::new(site, seed, process, epoch, now),
        }
    }

    /// What a controller that starts again must still know, for `Input::Recovered`.
    pub fn state_to_recover(&self) -> RecoveredState {
        self.state.state_to_recover()
    }

    /// Applies one input; its outputs are given by `next_output`.
    pub fn handle(&mut self, now: Time, input: Input) {
        self.state.apply_input(now, input, operator::answer);
    }

    /// The next thing to be done, in order; none: all is given out.
    pub fn next_output(&mut self) -> Option<Output> {
        self.state.next_output()
    }

    /// What the DNS front is to answer from, after `Output::DnsViewChanged`.
    pub fn view(&self) -> Arc<View> {
        self.state
            .dns
            .as_ref()
            .map(DnsState::view)
            .unwrap_or_default()
    }

    /// When the next `Input::TimerExpired` is due. What is overdue already waits for some other input, and is looked at
    /// with each.
    pub fn wake_at(&self) -> Time {
        self.state.wake_at()
    }
}
