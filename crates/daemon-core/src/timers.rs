//! What is due by time: timers of the controller, reads of counters and loads, closing of silent connections, and
//! dials.

use crate::dns_state::DnsState;
use crate::output::Output;
use crate::peer::{LinkState, Peer};
use crate::state::DaemonState;
use crate::weight_planner::WeightPlanner;
use pondarch_controller::EndpointState;
use pondarch_controller::Time;

/// Maximum number of concurrent dials, so that a fleet that comes back all at once does not exhaust the sockets of this
/// machine.
const MAX_CONCURRENT_DIALS: usize = 64;

impl DaemonState {
    /// When the next `Input::TimerExpired` is due. Timers that are overdue already are left out, as they are checked
    /// with every input: otherwise the caller would wake up in a busy loop.
    pub(crate) fn wake_at(&self) -> Time {
        let mut at = self.outcomes.wake_at();
        let mut consider = |other: Option<Time>| {
            at = other
                .filter(|other| *other > self.now)
                .map_or(at, |other| at.min(other));
        };
        consider(self.timer_at);
        consider(self.next_load_read_at);
        consider(self.dns.as_ref().and_then(DnsState::wake_at));
        consider(self.weight_planner.as_ref().map(WeightPlanner::wake_at));
        for peer in &self.peers {
            consider(
                peer.silent_since
                    .map(|since| since + self.links.reply_timeout.0),
            );
            match peer.link {
                LinkState::Disconnected(dial_at) => consider(Some(dial_at)),
                LinkState::Joined if peer.pending_update.is_some() => {
                    consider(peer.blocked_until);
                    consider(peer.session.next_retry_at());
                }
                _ => {}
            }
        }
        at
    }

    pub(crate) fn run_timers(&mut self) {
        let now = self.now;
        if self.timer_at.take_if(|at| *at <= now).is_some() {
            self.controller.on_timer(now);
        }
        if self.outcomes.begin_if_due(now) {
            self.read_counters();
        }
        if let Some(outcomes) = self.outcomes.take_closed(now) {
            self.apply_outcomes(outcomes);
        }
        self.read_loads();
        self.request_plan();
        self.run_dns_timers();
        self.hang_up_silent_proxies();
        self.dial_proxies();
    }

    /// Reads the counters of proxies that do not push them.
    fn read_counters(&mut self) {
        let now = self.now;
        let pushing: Vec<bool> = self
            .peers
            .iter()
            .map(|peer| self.pushes_reports(peer.id))
            .collect();
        let must_be_read = |(peer, pushes): &(&mut Peer, bool)| peer.is_joined() && !pushes;
        for (peer, _) in self.peers.iter_mut().zip(pushing).filter(must_be_read) {
            let Some(line) = peer.session.request_counters() else {
                continue;
            };
            peer.silent_since = Some(now);
            self.outcomes.request_sent(peer.id.0);
            self.outputs.push_back(Output::Write {
                proxy: peer.id.0,
                connection: peer.connection,
                lines: vec![line],
            });
        }
    }

    /// Reads the loads of all hosts that serve, if that is due.
    fn read_loads(&mut self) {
        let now = self.now;
        let Some(interval) = self.load_interval else {
            return;
        };
        if self.next_load_read_at.is_none_or(|at| at > now) {
            return;
        }
        self.next_load_read_at = Some(now + interval);
        for (id, host) in &self.endpoints.hosts {
            if host.state == EndpointState::Ready {
                self.outputs.push_back(Output::CheckHealth {
                    host: id.0.to_string(),
                    address: host.entry.address,
                    for_load: true,
                });
            }
        }
    }

    /// Closes connections whose replies are overdue.
    fn hang_up_silent_proxies(&mut self) {
        let now = self.now;
        let limit = self.links.reply_timeout.0;
        let is_silent = |peer: &&Peer| peer.silent_since.is_some_and(|since| now - since >= limit);
        let silent: Vec<u16> = self
            .peers
            .iter()
            .filter(is_silent)
            .map(|peer| peer.id.0)
            .collect();
        for proxy in silent {
            self.hang_up(proxy, "left a command unanswered for too long");
        }
    }

    /// Dials proxies whose backoff is over, up to the maximum number of concurrent dials.
    fn dial_proxies(&mut self) {
        let now = self.now;
        let mut dialling = self
            .peers
            .iter()
            .filter(|peer| peer.link == LinkState::Dialling)
            .count();
        for peer in &mut self.peers {
            if matches!(peer.link, LinkState::Disconnected(at) if at <= now)
                && dialling < MAX_CONCURRENT_DIALS
            {
                dialling += 1;
                peer.connection += 1;
                peer.link = LinkState::Dialling;
                self.outputs.push_back(Output::Dial {
                    proxy: peer.id.0,
                    connection: peer.connection,
                });
            }
        }
    }
}
