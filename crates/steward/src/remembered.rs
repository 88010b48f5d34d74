//! What a steward that starts again must still know, and what it leaves behind.
//!
//! | kept | because |
//! | --- | --- |
//! | the list, its version, operators' words over it | an older copy of the file must still be refused, a word must still hold |
//! | when hosts started, as far as it was learnt | a cold host would be taken for one that has long run |
//! | since when hosts are to be left alone | the grace runs from there, not from the restart |
//! | the DNS zone's serial | secondaries do not start again with us |
//!
//! Left behind: health, load, levels, estimates, bindings. They are old when they are read, and old ones do harm: a host
//! kept away from that is well, or a level cut for a strain that is over. What proxies hold they say themselves. What caches
//! hold nobody says: every host that was known is taken to be held until answers of the last moment have run out.

use crate::course::Course;
use crate::list::Edit;
use crate::wire::{Event, micros};
use pondarch::types::{Standing, Time};
use pondarch_settings::HostEntry;
use pondarch_settings::hosts::HostState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Times in microseconds since 1970, by the clock of the run that wrote them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Remembered {
    pub at_us: u64,
    pub list: RememberedList,
    pub zones: BTreeMap<String, String>,
    #[serde(default)]
    pub serial: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RememberedList {
    pub(crate) file: Vec<HostEntry>,
    pub(crate) file_version: Option<u64>,
    pub(crate) added: Vec<HostEntry>,
    pub(crate) edits: Vec<(String, Edit)>,
    pub(crate) hosts: Vec<RememberedHost>,
}

/// A host, file and operators taken together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RememberedHost {
    pub entry: HostEntry,
    pub started_us: u64,
    pub standing: HostState,
    pub told_away_us: Option<u64>,
}

impl Remembered {
    /// The same by another clock, by which it is `now_us` when `passed_us` have passed since then. Where the machine's
    /// clock jumped, that is not what it says: a cold host would be warm, or a drain be owed from tomorrow.
    pub fn by_clock(mut self, now_us: u64, passed_us: u64) -> Remembered {
        let then = now_us.saturating_sub(passed_us);
        let old = self.at_us;
        let moved = |at: u64| (at + then).saturating_sub(old);
        for host in &mut self.list.hosts {
            // A start that the list itself names is by the list's clock.
            if host.started_us > 0 && host.entry.started.is_none() {
                host.started_us = moved(host.started_us).max(1);
            }
            host.told_away_us = host.told_away_us.map(moved);
        }
        self.at_us = then;
        self
    }

    pub fn hosts(&self) -> &[RememberedHost] {
        &self.list.hosts
    }
}

impl Course {
    pub(crate) fn remembered(&self) -> Remembered {
        let serial = self.names.as_ref().map_or(0, |names| names.view().serial);
        Remembered {
            at_us: micros(self.now),
            list: self.list.remembered(),
            zones: self.zones.entries().clone(),
            serial,
        }
    }

    pub(crate) fn recovered(&mut self, old: Remembered) {
        let (now, last) = (self.now, Time::from_micros(old.at_us));
        if let Some(names) = &mut self.names {
            names.recover(now, last, old.serial, &old.list.hosts);
        }
        let listings = self.list.recover(old.list);
        self.zones.recover(old.zones);
        let count = |wanted| self.list.known.values().filter(|known| known.standing == wanted).count();
        let (ready, draining, gone) =
            (count(Standing::Open), count(Standing::Draining), count(Standing::Gone));
        self.tell(Event::Recovered { ready, draining, gone });
        if !self.list.known.is_empty() {
            self.list_changed(listings);
        }
    }

    /// Hosts that are to be left alone and that proxies still hold, or may: since when, and by whom.
    pub(crate) fn owed(&self) -> BTreeMap<String, String> {
        let mut owed = BTreeMap::new();
        for (host, known) in self.list.known.iter().filter(|(_, known)| known.standing != Standing::Open) {
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
            let since = (self.now - known.told_away.unwrap_or(Time::default())).secs();
            let not_seen = if unknown > 0 { format!(" and {unknown} not looked at") } else { String::new() };
            owed.insert(host.0.to_string(), format!("for {since:.1} s: {}{not_seen}", holding.join(" ")));
        }
        owed
    }
}
