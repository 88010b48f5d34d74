//! Summary of the decisions of a controller over a scenario.

use pondarch_daemon_core::Event;
use serde::Serialize;
use std::collections::BTreeMap;

/// Summary of the decisions of a controller over a scenario.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WhatIfResult {
    /// Number of table changes.
    pub table_changes: u64,
    /// Number of lines changed by them.
    pub lines_changed: u64,
    /// Number of proxy bindings.
    pub binds: u64,
    /// Number of admission changes.
    #[serde(rename = "level_changes")]
    pub admission_changes: u64,
    /// Number of messages with updates.
    pub messages: u64,
    /// Number of commands in them.
    pub commands: u64,
    /// Maximum number of messages to one proxy within the message window of the settings.
    #[serde(rename = "messages_most")]
    pub max_messages: u64,
    /// Number of times that a warming host was held back because its weight was too small to send.
    #[serde(rename = "held_back")]
    pub hosts_held_back: u64,
    /// Longest time that a backend of a joined proxy had no serving host while the endpoint list had ready hosts.
    #[serde(rename = "bare_longest_ms")]
    pub max_without_host_ms: u64,
    /// Longest time that a proxy still served from a host after the endpoint list had drained or removed it.
    #[serde(rename = "drain_longest_ms")]
    pub max_drain_ms: u64,
    /// Hosts and weights of each table at the end.
    pub tables: BTreeMap<u16, BTreeMap<String, f64>>,
}

impl WhatIfResult {
    /// Adds an event to the summary.
    pub(super) fn add_event(&mut self, event: Event) {
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
