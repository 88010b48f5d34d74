//! What a controller decided over a scenario.

use pondarch_daemon_core::Event;
use serde::Serialize;
use std::collections::BTreeMap;

/// What a controller decided over a scenario, in figures.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WhatIfResult {
    /// Changes of tables.
    pub table_changes: u64,
    /// Lines that they changed.
    pub lines_changed: u64,
    /// Bindings of proxies.
    pub binds: u64,
    /// Changes of admission rates.
    #[serde(rename = "level_changes")]
    pub admission_changes: u64,
    /// Messages with updates.
    pub messages: u64,
    /// Commands in them.
    pub commands: u64,
    /// Most messages to one proxy within the window of the settings.
    #[serde(rename = "messages_most")]
    pub max_messages: u64,
    /// How often a warming host was held back, as its weight would have been too small.
    #[serde(rename = "held_back")]
    pub hosts_held_back: u64,
    /// Longest time that a backend of a proxy served from no host while a host was listed as ready.
    #[serde(rename = "bare_longest_ms")]
    pub max_without_host_ms: u64,
    /// Longest time that a proxy still served from a host after the list had said to drain or remove it.
    #[serde(rename = "drain_longest_ms")]
    pub max_drain_ms: u64,
    /// Each table at the end: its hosts and their weights.
    pub tables: BTreeMap<u16, BTreeMap<String, f64>>,
}

impl WhatIfResult {
    /// Counts an event.
    pub(super) fn count(&mut self, event: Event) {
        match event {
            Event::TableChanged { table, weights, .. } => {
                self.table_changes += 1;
                self.lines_changed += weights.len() as u64;
                let hosts = self.tables.entry(table).or_default();
                for (host, weight) in weights {
                    if weight > 0.0 {
                        hosts.insert(host, weight);
                    } else {
                        hosts.remove(&host);
                    }
                }
            }
            Event::ProxyBound { .. } => self.binds += 1,
            Event::AdmissionChanged { .. } => self.admission_changes += 1,
            Event::UpdateSent { commands, .. } => {
                self.messages += 1;
                self.commands += commands as u64;
            }
            Event::WeightTooSmall { .. } => self.hosts_held_back += 1,
            _ => {}
        }
    }
}
