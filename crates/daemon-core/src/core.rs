//! The public interface of the state machine.

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

/// The controller without its sockets. After each call of `handle`, the caller drains `next_output` until it returns
/// `None`, and passes in `Input::TimerExpired` at `wake_at`.
pub struct Core {
    state: DaemonState,
}

impl Core {
    /// `seed` determines all random choices of this run; `process_id` is the `Pid` of `show info`. Joined proxies store
    /// `incarnation` with the controller's name: it must be higher than in any earlier run, or proxies reject this
    /// run's updates as outdated.
    pub fn new(
        site: &SiteSettings,
        seed: u64,
        process_id: u32,
        incarnation: u64,
        now: Time,
    ) -> Core {
        Core {
            state: DaemonState::new(site, seed, process_id, incarnation, now),
        }
    }

    /// The state that a restarted controller needs, for `Input::Recovered`.
    pub fn state_to_recover(&self) -> RecoveredState {
        self.state.state_to_recover()
    }

    /// Applies one input; `next_output` returns the resulting outputs.
    pub fn handle(&mut self, now: Time, input: Input) {
        self.state.apply_input(now, input, operator::answer);
    }

    /// The next output, in the order in which they are to be carried out; none: there are no more.
    pub fn next_output(&mut self) -> Option<Output> {
        self.state.next_output()
    }

    /// The data that the DNS server answers from; changed with each `Output::DnsViewChanged`.
    pub fn dns_view(&self) -> Arc<View> {
        self.state
            .dns
            .as_ref()
            .map(DnsState::view)
            .unwrap_or_default()
    }

    /// When the next `Input::TimerExpired` is due. Timers that are overdue already are left out: they are checked
    /// with every input.
    pub fn wake_at(&self) -> Time {
        self.state.wake_at()
    }
}
