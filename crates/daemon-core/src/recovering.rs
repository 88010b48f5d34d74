//! What is known after a start, in the course of things: taken up, and given out again.

use crate::course::Course;
use crate::event::Event;
use crate::recovered_state::RecoveredState;
use crate::time::micros;
use pondarch_controller::DurationExt;
use pondarch_controller::{EndpointState, Time};
use std::collections::BTreeMap;

impl Course {
    pub(crate) fn remembered(&self) -> RecoveredState {
        let serial = self.names.as_ref().map_or(0, |names| names.view().serial);
        RecoveredState {
            at_us: micros(self.now),
            list: self.list.remembered(),
            zones: self.zones.entries().clone(),
            dns_serial: serial,
        }
    }

    pub(crate) fn recovered(&mut self, old: RecoveredState) {
        let (now, last) = (self.now, Time::from_micros(old.at_us));
        if let Some(names) = &mut self.names {
            names.recover(now, last, old.dns_serial, &old.list.hosts);
        }
        let listings = self.list.recover(old.list);
        self.zones.recover(old.zones);
        let count = |wanted| {
            self.list
                .known
                .values()
                .filter(|known| known.standing == wanted)
                .count()
        };
        let (ready, draining, gone) = (
            count(EndpointState::Ready),
            count(EndpointState::Draining),
            count(EndpointState::Removed),
        );
        self.tell(Event::Recovered {
            ready,
            draining,
            removed: gone,
        });
        if let Some(listings) = listings {
            self.list_changed(listings);
        }
    }

    /// Hosts that are to be left alone and that proxies still hold, or may: since when, and by whom.
    pub(crate) fn owed(&self) -> BTreeMap<String, String> {
        let mut owed = BTreeMap::new();
        for (host, known) in self
            .list
            .known
            .iter()
            .filter(|(_, known)| known.standing != EndpointState::Ready)
        {
            let (mut holding, mut unknown) = (Vec::new(), 0);
            for peer in self.peers.iter().filter(|peer| peer.has_runtime()) {
                match peer.session.holds(host) {
                    Some(true) => holding.push(peer.name.as_str()),
                    Some(false) => {}
                    None => unknown += 1,
                }
            }
            if holding.is_empty() && unknown == 0 {
                continue;
            }
            let since = (self.now - known.told_away.unwrap_or(Time::default())).seconds();
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
