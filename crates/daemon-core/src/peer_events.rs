//! Events of the connections to proxies.

use crate::event::Event;
use crate::output::Output;
use crate::peer::{LinkState, Peer};
use crate::state::DaemonState;
use pondarch_controller::DurationExt;
use pondarch_proxy_session::SessionEvent;
use std::time::Duration;

impl DaemonState {
    /// The peer, if this is still its connection: late events of an earlier connection have no effect.
    pub(crate) fn peer(&mut self, proxy: u16, connection: u64) -> Option<&mut Peer> {
        let is_current = |peer: &&mut Peer| {
            peer.connection == connection && !matches!(peer.link, LinkState::Disconnected(_))
        };
        self.peers.get_mut(proxy as usize).filter(is_current)
    }

    pub(crate) fn on_connected(&mut self, proxy: u16, connection: u64) {
        let now = self.now;
        if let Some(peer) = self.peer(proxy, connection) {
            peer.link = LinkState::ReadingState;
            peer.silent_since = Some(now);
            let lines = peer.session.on_connected();
            self.outputs.push_back(Output::Write {
                proxy,
                connection,
                lines,
            });
        }
    }

    pub(crate) fn on_answer(&mut self, proxy: u16, connection: u64, text: &str) {
        let now = self.now;
        let Some(peer) = self
            .peer(proxy, connection)
            .filter(|peer| peer.is_connected())
        else {
            return;
        };
        let (event, lines) = match peer.session.on_reply(now, text) {
            Ok(result) => result,
            Err(error) => return self.hang_up(proxy, &error.to_string()),
        };
        peer.silent_since = (!peer.session.is_idle() || !lines.is_empty()).then_some(now);
        if !lines.is_empty() {
            self.outputs.push_back(Output::Write {
                proxy,
                connection,
                lines,
            });
        }
        match event {
            None => {}
            Some(SessionEvent::StateRead { newly_started }) => {
                let peer = &mut self.peers[proxy as usize];
                if peer.link == LinkState::ReadingState {
                    peer.link = LinkState::AwaitingJoin {
                        fresh: newly_started,
                    };
                } else {
                    // The proxy's state was read again after it rejected a command; what still differs is to be sent.
                    peer.require_update(now, &self.cause);
                }
            }
            Some(SessionEvent::BatchAcknowledged { duration, rejected }) => {
                self.on_acknowledged(proxy, duration, rejected)
            }
            Some(SessionEvent::Counters(counters)) => {
                let id = self.peers[proxy as usize].id;
                self.record_counters(id, counters, now);
            }
        }
    }

    pub(crate) fn on_acknowledged(&mut self, proxy: u16, latency: Duration, rejected: Vec<String>) {
        let now = self.now;
        let cause = self.cause.clone();
        let peer = &mut self.peers[proxy as usize];
        self.update_queue
            .record_acknowledged(std::mem::take(&mut peer.in_flight));
        peer.failed_dials = 0;
        peer.commands_rejected += rejected.len() as u64;
        // Part of the update may have waited for this acknowledgement.
        peer.require_update(now, &cause);
        peer.blocked_until = None;
        let name = peer.name.clone();
        for error in rejected {
            self.log_error(format!("{name}: refused: {error}"));
            self.log_event(Event::UpdateRejected {
                proxy: name.clone(),
                error,
            });
        }
        self.log_event(Event::UpdateAcknowledged {
            proxy: name,
            took_us: latency.micros(),
        });
    }

    pub(crate) fn hang_up(&mut self, proxy: u16, reason: &str) {
        let connection = self.peers[proxy as usize].connection;
        self.outputs.push_back(Output::HangUp { proxy, connection });
        self.on_disconnected(proxy, reason);
    }

    pub(crate) fn on_disconnected(&mut self, proxy: u16, reason: &str) {
        let peer = &mut self.peers[proxy as usize];
        let was_joined = peer.is_joined();
        let was_connected = peer.is_connected();
        self.update_queue
            .record_acknowledged(std::mem::take(&mut peer.in_flight));
        peer.on_disconnected(self.now, &self.links, &mut self.random);
        let id = peer.id;
        let name = peer.name.clone();
        let failed_before = peer.failed_dials > 1;
        self.outcomes.proxy_lost(proxy);
        self.pushed_reports.liveness.remove(id);
        if was_joined {
            if let Some(weights) = &mut self.weight_planner {
                weights.estimator().remove_proxy(id);
            }
            self.controller.proxy_left(self.now, id);
        }
        // A proxy that cannot be reached is logged once and not at every dial.
        if was_connected || !failed_before {
            self.log_error(format!("{name}: {reason}"));
            self.log_event(Event::ProxyLeft {
                proxy: name,
                reason: reason.to_string(),
            });
        }
    }
}
