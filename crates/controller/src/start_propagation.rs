//! How long it takes from learning that a host has started until all tables in use have been sent a weight that it bears,
//! for logging only: it never influences a decision.

use crate::event_buffer::EventBuffer;
use crate::host::{Host, HostRegistry};
use crate::host_policy::HostPolicy;
use crate::ids::HostId;
use crate::tables::TableState;
use crate::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// All tables in use have been sent a weight that a host bears which had started.
#[derive(Clone, Debug, PartialEq)]
pub struct StartPropagation {
    /// The host.
    pub host: HostId,
    /// Time since the controller learned that the host's weight was too large.
    pub waited: Duration,
}

/// Hosts whose old weight is still in tables in use.
#[derive(Default)]
pub(crate) struct StartPropagationLog {
    exposed_since: BTreeMap<HostId, Time>,
    done: EventBuffer<StartPropagation>,
}

impl StartPropagationLog {
    /// Records which hosts have too large a weight now.
    pub(crate) fn observe(
        &mut self,
        now: Time,
        hosts: &HostRegistry,
        policy: &HostPolicy,
        tables: &[TableState],
    ) {
        let is_warming = |host: &&Host| policy.is_ready(host, now) && !policy.is_warm(host, now);
        let is_exposed = |host: &&Host| {
            host.memberships.iter().any(|membership| {
                let has_old_weight =
                    membership.has_risky_weight() && membership.is_outdated(host.started());
                has_old_weight && tables[membership.table()].is_used()
            })
        };
        let mut before = std::mem::take(&mut self.exposed_since);
        for host in hosts.iter().filter(is_warming).filter(is_exposed) {
            let since = before.remove(host.id()).unwrap_or(now);
            self.exposed_since.insert(host.id().clone(), since);
        }
        for (host, since) in before {
            let waited = now - since;
            self.done.push(StartPropagation { host, waited });
        }
    }

    /// Takes what has ended since the last call, oldest first.
    pub(crate) fn take(&mut self) -> Vec<StartPropagation> {
        self.done.take()
    }
}
