//! The core as its surroundings see it.

use crate::course::Course;
use crate::input::Input;
use crate::names::Names;
use crate::operator;
use crate::output::Output;
use crate::recovered_state::RecoveredState;
use pondarch_config::Site;
use pondarch_controller::Time;
use pondarch_dns_server::View;
use std::sync::Arc;

/// A steward without its sockets: `handle` takes one input; then `next_output` is called until it gives `None`, and
/// `Input::TimerExpired` is given at `wake_at`.
pub struct Core {
    course: Course,
}

impl Core {
    /// `seed` for all chance of this run; `process` is the number that `show info` gives as the steward's own. The
    /// mark that joined proxies get tells this start of this steward from any other: `epoch` must be higher than that of
    /// any start before, or proxies refuse its orders as older ones.
    pub fn new(site: &Site, seed: u64, process: u32, epoch: u64, now: Time) -> Core {
        Core {
            course: Course::new(site, seed, process, epoch, now),
        }
    }

    /// What a steward that starts again must still know, for `Input::Recovered`.
    pub fn state_to_recover(&self) -> RecoveredState {
        self.course.remembered()
    }

    pub fn handle(&mut self, now: Time, input: Input) {
        self.course.handle(now, input, operator::answer);
    }

    pub fn next_output(&mut self) -> Option<Output> {
        self.course.next_output()
    }

    /// What the DNS front is to answer from, after `Output::DnsViewChanged`.
    pub fn view(&self) -> Arc<View> {
        self.course
            .names
            .as_ref()
            .map(Names::view)
            .unwrap_or_default()
    }

    /// When the next `Input::TimerExpired` is due. What is overdue already waits for some other input, and is looked at
    /// with each.
    pub fn wake_at(&self) -> Time {
        self.course.wake_at()
    }
}
