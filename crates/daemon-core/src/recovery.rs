//! The recovered state: taken over after a start, and given out.

use crate::event::Event;
use crate::recovered_state::RecoveredState;
use crate::state::DaemonState;
use crate::time::micros;
use pondarch_controller::DurationExt;
use pondarch_controller::{EndpointState, Time};
use std::collections::BTreeMap;

impl DaemonState {
    pub(crate) fn state_to_recover(&self) -> RecoveredState {
        let serial = self.dns.as_ref().map_or(0, |names| names.view().serial);
        RecoveredState {
            at_us: micros(self.now),
            list: self.endpoints.to_recovered(),
            zones: self.zones.entries().clone(),
            dns_serial: serial,
        }
    }

    pub(crate) fn recover(&mut self, old: RecoveredState) {
        let now = self.now;
        let last = Time::from_micros(old.at_us);
        if let Some(names) = &mut self.dns {
            names.recover(now, last, old.dns_serial, &old.list.hosts);
        }
        let endpoints = self.endpoints.recover(old.list);
        self.zones.recover(old.zones);
        let count = |wanted| {
            self.endpoints
                .hosts
                .values()
                .filter(|known| known.state == wanted)
                .count()
        };
        let ready = count(EndpointState::Ready);
        let draining = count(EndpointState::Draining);
        let gone = count(EndpointState::Removed);
        self.log_event(Event::Recovered {
            ready,
            draining,
            removed: gone,
        });
        if let Some(endpoints) = endpoints {
            self.apply_endpoints(endpoints);
        }
    }

    /// Hosts that are to be left alone and that proxies still hold, or may: since when, and by whom.
    pub(crate) fn undrained_hosts(&self) -> BTreeMap<String, String> {
        let mut owed = BTreeMap::new();
        for (host, known) in self
            .endpoints
            .hosts
            .iter()
            .filter(|(_, known)| known.state != EndpointState::Ready)
        {
            let mut holding = Vec::new();
            let mut unknown = 0;
            for peer in self.peers.iter().filter(|peer| peer.has_runtime()) {
                match peer.session.may_select(host) {
                    Some(true) => holding.push(peer.name.as_str()),
                    Some(false) => {}
                    None => unknown += 1,
                }
            }
            if holding.is_empty() && unknown == 0 {
                continue;
            }
            let since = (self.now - known.draining_since.unwrap_or(Time::default())).seconds();
            let not_seen = if unknown > 0 {
                format!(" and {unknown} not looked at")
            } else {
                String::new()
            };
            owed.insert(
                host.0.to_string(),
                format!("for {since:.1} s: {}{not_seen}", holding.join(" ")),
            );
        }
        owed
    }
}
