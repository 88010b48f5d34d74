//! The simulated relay: it applies calls and answers them.

use super::{RelayFault, SimulatedFleet, host_name};
use pondarch_controller::{AckId, ProxyId};
use pondarch_platform_core::CallOutcome;
use serde_json::Value;
use std::collections::BTreeSet;

impl SimulatedFleet {
    pub(super) fn apply_call(&mut self, line: &str) -> CallOutcome {
        self.calls += 1;
        let call: Value = serde_json::from_str(line).expect("an object");
        let updates = call["params"]["changes"].as_array().expect("updates");
        match self.fault {
            RelayFault::Busy => return CallOutcome::Rejected,
            RelayFault::CallLost => return CallOutcome::InDoubt,
            _ => {}
        }
        let mut reached = BTreeSet::new();
        let request = updates.iter().find(|update| update["verb"] == "mark");
        let ack =
            request.map(|update| AckId(update["nonce_out"].as_u64().expect("a number") as u16));
        let applied = updates
            .iter()
            .take_while(|update| self.apply_update(update, &mut reached))
            .count() as u64;
        for proxy in reached {
            self.pending_acks.extend(ack.map(|ack| (proxy, ack)));
            self.messages.entry(proxy).or_default().push(self.now);
        }
        self.partially_applied_calls += usize::from(applied < updates.len() as u64);
        match self.fault {
            RelayFault::AnswerLost => CallOutcome::InDoubt,
            RelayFault::MalformedAnswer => CallOutcome::Applied {
                updates: applied + 7_000,
            },
            _ => CallOutcome::Applied { updates: applied },
        }
    }

    /// Applies an update and adds the proxies that it reaches to `reached`. Returns whether the update was valid.
    fn apply_update(&mut self, update: &Value, reached: &mut BTreeSet<ProxyId>) -> bool {
        if update["verb"] == "mark" {
            return true;
        }
        let table = update["cluster"].as_u64().expect("a table") as u16;
        match update["verb"].as_str() {
            Some("share") => {
                let host = update["target"].as_str().expect("a host").to_string();
                let weight = update["rps"].as_f64().filter(|weight| *weight >= 0.0);
                let Some(weight) = weight.filter(|_| self.ever_listed.contains_key(&host)) else {
                    return false;
                };
                if weight > 0.0 {
                    self.weights.insert((table, host), weight);
                } else {
                    self.weights.remove(&(table, host));
                }
                reached.extend(self.proxies_bound_to(table));
            }
            Some("bind") => {
                let proxy = ProxyId(update["id"].as_u64().expect("a proxy") as u16);
                if !self.joined.contains_key(&proxy) {
                    return false;
                }
                let classes = update["routes"].as_array().into_iter().flatten();
                let classes = classes.filter_map(Value::as_str).map(str::to_string);
                let bindings = self.bindings.entry(proxy).or_default();
                bindings.insert(classes.collect(), table);
                reached.insert(proxy);
            }
            Some("admit") => reached.extend(self.proxies_bound_to(table)),
            other => panic!("unknown update {other:?}"),
        }
        true
    }

    fn proxies_bound_to(&self, table: u16) -> Vec<ProxyId> {
        self.bindings
            .iter()
            .filter(|(_, bindings)| bindings.values().any(|bound| *bound == table))
            .map(|(proxy, _)| *proxy)
            .collect()
    }

    /// Returns the number of hosts in all tables of the relay, counted once per table.
    pub(crate) fn table_memberships(&self) -> usize {
        self.weights.len()
    }

    /// Returns the number of hosts in all tables of the relay that are not listed, counted once per table.
    pub(crate) fn unlisted_memberships(&self) -> usize {
        let members = self.weights.keys();
        members
            .filter(|(_, host)| !self.listed.contains_key(host))
            .count()
    }

    /// Returns the largest weight of a host in any table.
    pub(crate) fn largest_weight_of(&self, number: usize) -> f64 {
        let host = host_name(number);
        let weights = self.weights.iter();
        let of_host = weights.filter(|((_, member), _)| *member == host);
        of_host.map(|(_, weight)| *weight).fold(0.0, f64::max)
    }

    /// Returns how many proxies have a host in their table.
    pub(crate) fn proxies_using(&self, number: usize) -> usize {
        let host = host_name(number);
        let tables = self
            .weights
            .keys()
            .filter(|(_, member)| *member == host)
            .map(|(table, _)| *table);
        tables.map(|table| self.proxies_bound_to(table).len()).sum()
    }
}
