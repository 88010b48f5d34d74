//! Executes commands of the runtime API, and rebuilds the tables that they change.

use super::ProxyCore;
use crate::routing_table::{RoutingTable, TableMembership};
use pondarch_controller::Time;
use pondarch_runtime_api::{AdminState, Level};
use std::collections::BTreeSet;

impl ProxyCore {
    /// Executes one line of runtime API commands and returns one reply for each command. Changed tables are rebuilt
    /// once, after the whole line.
    pub fn execute_line(
        &mut self,
        now: Time,
        connection: u64,
        level: Level,
        line: &str,
    ) -> Vec<String> {
        self.refresh_info(now);
        let replies = self
            .updates
            .execute_line(now, connection, level, line, &mut self.state);
        for backend in self.state.take_changed_backends() {
            if let Some(class) = self.class_index(&backend) {
                self.rebuild_table(now, class);
            }
        }
        replies
    }

    /// Records that a connection of the runtime API was closed.
    pub fn connection_closed(&mut self, connection: u64) {
        self.updates.connection_closed(connection);
    }

    /// Builds the table of a class from the servers of its backend.
    pub(super) fn rebuild_table(&mut self, now: Time, class: usize) {
        let Some(backend) = self.state.backends.get(&self.classes[class].name) else {
            return;
        };
        let members = backend
            .servers
            .iter()
            .filter(|(_, server)| server.is_serving())
            .map(|(host, server)| TableMembership {
                host: host.clone(),
                address: server.address,
                weight: server.weight,
            });
        let draining: BTreeSet<String> = backend
            .servers
            .iter()
            .filter(|(_, server)| server.state == AdminState::Drain)
            .map(|(host, _)| host.clone())
            .collect();
        self.tables[class].set(now, RoutingTable::new(members), &draining);
        self.table_changed_at = now;
        self.table_changes += 1;
        self.ejections
            .remove_expired_records(now, &self.policy.ejection);
    }
}
