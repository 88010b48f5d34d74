//! Exports the state that survives a restart, and restores it; lists the drains that are not done.

use crate::event::Event;
use crate::recovered_state::RecoveredState;
use crate::state::DaemonState;
use crate::time::unix_micros;
use pondarch_controller::DurationExt;
use pondarch_controller::{EndpointState, Time};
use std::collections::BTreeMap;

impl DaemonState {
    pub(crate) fn state_to_recover(&self) -> RecoveredState {
        let dns_serial = self.dns.as_ref().map_or(0, |dns| dns.view().serial);
        RecoveredState {
            at_us: unix_micros(self.now),
            list: self.endpoints.to_recovered(),
            zones: self.zones.entries().clone(),
            dns_serial,
        }
    }

    pub(crate) fn recover(&mut self, recovered: RecoveredState) {
        let now = self.now;
        let last = Time::from_micros(recovered.at_us);
        if let Some(dns) = &mut self.dns {
            dns.recover(now, last, recovered.dns_serial, &recovered.list.hosts);
        }
        let endpoints = self.endpoints.recover(recovered.list);
        self.zones.recover(recovered.zones);
        let count = |wanted| {
            self.endpoints
                .hosts
                .values()
                .filter(|host| host.state == wanted)
                .count()
        };
        let ready = count(EndpointState::Ready);
        let draining = count(EndpointState::Draining);
        let removed = count(EndpointState::Removed);
        self.log_event(Event::Recovered {
            ready,
            draining,
            removed,
        });
        if let Some(endpoints) = endpoints {
            self.apply_endpoints(endpoints);
        }
    }

    /// Hosts that drain or were removed and that proxies hold or may hold, each with a text that says since when and by
    /// which proxies.
    pub(crate) fn undrained_hosts(&self) -> BTreeMap<String, String> {
        let mut undrained = BTreeMap::new();
        for (id, host) in self
            .endpoints
            .hosts
            .iter()
            .filter(|(_, host)| host.state != EndpointState::Ready)
        {
            let mut holding_proxies = Vec::new();
            let mut unknown_proxies = 0;
            for peer in self.peers.iter().filter(|peer| peer.has_runtime()) {
                match peer.session.may_select(id) {
                    Some(true) => holding_proxies.push(peer.name.as_str()),
                    Some(false) => {}
                    None => unknown_proxies += 1,
                }
            }
            if holding_proxies.is_empty() && unknown_proxies == 0 {
                continue;
            }
            let since = (self.now - host.draining_since.unwrap_or(Time::default())).seconds();
            let unknown = if unknown_proxies > 0 {
                format!(" and {unknown_proxies} not looked at")
            } else {
                String::new()
            };
            undrained.insert(
                id.0.to_string(),
                format!("for {since:.1} s: {}{unknown}", holding_proxies.join(" ")),
            );
        }
        undrained
    }
}
