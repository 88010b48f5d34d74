//! The simulated registry: hosts that drain, restart, are replaced or removed.

use super::{HostState, SimulatedFleet, ZONES, host_name};
use pondarch_controller::{EndpointState, Time};
use pondarch_platform_core::Input;
use pondarch_platform_protocol::registry;
use serde_json::{Value, json};

/// A host as it was last sent to the controller.
pub(super) struct ListedHost {
    id: String,
    pub(super) host: HostState,
    /// When it was sent.
    pub(super) sent_at: u64,
}

impl SimulatedFleet {
    pub(crate) fn send_complete_list(&mut self) {
        for (id, host) in &self.listed {
            let sent = ListedHost {
                id: id.clone(),
                host: *host,
                sent_at: self.now,
            };
            let known = self.ever_listed.get(id).map(|listed| listed.host);
            if known != Some(*host) {
                self.ever_listed.insert(id.clone(), sent);
            }
        }
        let missing = self
            .ever_listed
            .values_mut()
            .filter(|listed| !self.listed.contains_key(&listed.id));
        for listed in missing {
            if listed.host.state != EndpointState::Removed {
                listed.host.state = EndpointState::Removed;
                listed.sent_at = self.now;
            }
        }
        let entries = self
            .listed
            .iter()
            .map(|(id, host)| entry(id, *host))
            .collect();
        self.send_list(true, entries);
    }

    fn send_list(&mut self, complete: bool, entries: Vec<Value>) {
        self.generation += 1;
        let list = json!({"generation": self.generation, "reset": complete, "instances": entries});
        let list = registry::parse(list.to_string().as_bytes()).expect("an endpoint list");
        self.handle(Input::EndpointList(list));
        self.execute_outputs();
    }

    fn change_host(&mut self, number: usize, state: EndpointState, started: u64) {
        let id = host_name(number);
        let host = HostState { state, started };
        if state == EndpointState::Removed {
            self.listed.remove(&id);
        } else {
            self.listed.insert(id.clone(), host);
        }
        let entries = vec![entry(&id, host)];
        let sent = ListedHost {
            id: id.clone(),
            host,
            sent_at: self.now,
        };
        self.ever_listed.insert(id, sent);
        self.send_list(false, entries);
    }

    pub(crate) fn drain(&mut self, number: usize) {
        self.change_host(number, EndpointState::Draining, 0);
    }

    pub(crate) fn remove(&mut self, number: usize) {
        self.change_host(number, EndpointState::Removed, 0);
    }

    pub(crate) fn restart(&mut self, number: usize) {
        self.change_host(number, EndpointState::Ready, self.now / 1_000 * 1_000);
    }

    /// Restarts a host whose start is listed by a wall clock that shows `wall`.
    pub(crate) fn restart_by_wall_clock(&mut self, number: usize, wall: u64) {
        self.handle(Input::WallClock(Time::from_micros(wall)));
        self.change_host(number, EndpointState::Ready, wall / 1_000 * 1_000);
    }

    /// Replaces a host of the previous release by a new host with a new id.
    pub(crate) fn replace(&mut self, release: usize, number: usize) {
        self.remove((release - 1) * 100 + number);
        self.restart(release * 100 + number);
    }
}

fn entry(id: &str, host: HostState) -> Value {
    let lifecycle = match host.state {
        EndpointState::Ready => "Ready",
        EndpointState::Draining => "Terminating",
        EndpointState::Removed => "Gone",
    };
    let zone = ZONES[id.len() % ZONES.len()];
    json!({"instanceId": id, "hostPort": "127.0.0.1:9", "zone": zone, "machineType": "m", "cell": 1,
        "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": host.started as f64 / 1e3})
}
