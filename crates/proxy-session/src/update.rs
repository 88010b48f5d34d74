//! The commands that lead from the state a proxy has to the state it should have.
//!
//! A connection can break after any command, and any command can be rejected. So a batch first decreases weights, then
//! adds lines, then increases weights, and only then takes lines out of use; and a removal that would leave a request
//! class with only lines that the proxy has not acknowledged yet waits for the next batch. Wherever the batch ends,
//! each line is as it was or as it should be, and a request class that had a host to pick still has one.

use crate::proxy_state::{
    AppliedLine, AppliedState, CONTROLLER_KEY, DesiredLine, DesiredState, ProxyMapping, QUOTA_MAP,
    RETRY_POLICY_MAP, STATE_MAP, VERSION_KEY,
};
use pondarch_controller::{HostId, RequestClassId};
use pondarch_runtime_api::command::WeightArgument;
use pondarch_runtime_api::{AdminState, Command, ServerRef};
use std::collections::{BTreeMap, BTreeSet};

/// Most servers out of use that one batch deletes, so that deletions do not delay other updates.
const MAX_DELETED_SERVERS: usize = 16;

/// How urgent an update batch is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Any other difference.
    #[default]
    Ordinary,
    /// The proxy has just joined: it may have any state.
    Join,
    /// The proxy still uses a host that is draining or removed, or has no host to pick for a request class.
    Drain,
}

/// What an acknowledged command changes in the known state of the proxy.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A line is as given.
    Line(RequestClassId, HostId, AppliedLine),
    /// A server is deleted.
    Deleted(RequestClassId, HostId),
    /// The map `pond_levels` has this key and value.
    Quota(String, String),
    /// The map `pond_tries` has this key and value.
    RetryPolicy(String, String),
    /// The map `pond_state` has this key and value.
    StateEntry(String, String),
}

/// One command, and what it changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// The command to send.
    pub command: Command,
    /// What changes when it is acknowledged.
    pub effect: Effect,
}

/// The updates of one message to a proxy.
#[derive(Clone, Debug, Default)]
pub struct UpdateBatch {
    /// The updates, in the order in which they are sent.
    pub updates: Vec<Update>,
    /// How urgent the batch is.
    pub urgency: Urgency,
    /// Whether some updates are left for the next batch, as they must wait for the replies to this one.
    pub incomplete: bool,
}

/// What an update changes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// The line of a host in the table of a request class.
    Line(RequestClassId, HostId),
    /// A key of a map.
    MapEntry(&'static str, String),
}

/// Targets of updates that the proxy rejected lately, which are not sent again yet.
pub type RejectedTargets = BTreeSet<Target>;

impl Effect {
    /// What the update changes.
    pub fn target(&self) -> Target {
        match self {
            Effect::Line(class, host, _) | Effect::Deleted(class, host) => {
                Target::Line(*class, host.clone())
            }
            Effect::Quota(class, _) => Target::MapEntry(QUOTA_MAP, class.clone()),
            Effect::RetryPolicy(class, _) => Target::MapEntry(RETRY_POLICY_MAP, class.clone()),
            Effect::StateEntry(key, _) => Target::MapEntry(STATE_MAP, key.clone()),
        }
    }

    /// Whether the update takes a host out of use.
    pub fn takes_host_out_of_use(&self) -> bool {
        matches!(
            self,
            Effect::Line(
                _,
                _,
                AppliedLine {
                    state: AdminState::Maint | AdminState::Drain,
                    ..
                }
            )
        )
    }
}

impl UpdateBatch {
    /// Whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty()
    }

    /// The commands as lines to write, each of at most `max_bytes` unless a single command is longer.
    pub fn command_lines(&self, max_bytes: usize) -> Vec<String> {
        let mut lines: Vec<String> = Vec::new();
        for update in &self.updates {
            let text = update.command.to_string();
            match lines.last_mut() {
                Some(line) if line.len() + text.len() + 2 <= max_bytes => {
                    line.push_str("; ");
                    line.push_str(&text);
                }
                _ => lines.push(text),
            }
        }
        lines
    }
}

impl UpdateBatch {
    /// Puts the version first: a proxy that supports versions applies what follows as of this version, or rejects all
    /// of it.
    pub fn prepend_version(&mut self, applied: &AppliedState, version: String) {
        let (map, key) = (STATE_MAP.to_string(), VERSION_KEY.to_string());
        let command = match applied.state.contains_key(VERSION_KEY) {
            true => Command::SetMap {
                map,
                key,
                value: version.clone(),
            },
            false => Command::AddMap {
                map,
                version: None,
                key,
                value: version.clone(),
            },
        };
        self.updates.insert(
            0,
            Update {
                command,
                effect: Effect::StateEntry(VERSION_KEY.into(), version),
            },
        );
    }
}

/// The difference as one batch. `must_drain` returns whether no proxy may use a host any more; `joining` adds the name
/// and incarnation of the controller.
#[expect(
    clippy::too_many_lines,
    reason = "one pass collects the updates and puts them in their order"
)]
pub fn compute_batch(
    mapping: &ProxyMapping,
    applied: &AppliedState,
    desired: &DesiredState,
    rejected: &RejectedTargets,
    must_drain: impl Fn(&HostId) -> bool,
    joining: bool,
) -> UpdateBatch {
    let mut parts = BatchParts::default();
    let mut urgency = if joining {
        Urgency::Join
    } else {
        Urgency::Ordinary
    };
    let mut applied_by_class: BTreeMap<RequestClassId, Vec<(&HostId, &AppliedLine)>> =
        BTreeMap::new();
    for ((class, host), line) in &applied.lines {
        applied_by_class
            .entry(*class)
            .or_default()
            .push((host, line));
    }
    for (index, class_mapping) in mapping.classes.iter().enumerate() {
        let class = RequestClassId(index as u8);
        let Some(lines) = desired.lines.get(&class) else {
            continue;
        };
        let server = |host: &HostId| ServerRef::new(&class_mapping.backend, &host.0);
        let applied_lines = applied_by_class
            .get(&class)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let rejected_lately = |host: &HostId| rejected.contains(&Target::Line(class, host.clone()));
        for (host, desired_line) in lines.iter().filter(|(host, _)| !rejected_lately(host)) {
            let line = applied.lines.get(&(class, host.clone()));
            parts.update_line(class, host, server(host), line, desired_line);
        }
        let has_selectable = applied_lines.iter().any(|(_, line)| line.is_selectable());
        let remains = |(host, line): &(&HostId, &AppliedLine)| {
            line.is_selectable() && lines.contains_key(*host)
        };
        let has_remaining = applied_lines.iter().any(remains);
        for (host, line) in applied_lines
            .iter()
            .filter(|(host, _)| !lines.contains_key(*host))
        {
            // A proxy may fall back on a host in maintenance as its last ready one, but never on a draining one.
            let state = if must_drain(host) {
                AdminState::Drain
            } else {
                AdminState::Maint
            };
            let is_drained_fallback =
                line.state == AdminState::Maint && lines.is_empty() && state == AdminState::Drain;
            if line.state != AdminState::Ready && !is_drained_fallback {
                parts
                    .unused
                    .push((class, (*host).clone(), server(host), **line));
            } else if rejected_lately(host) {
                continue;
            } else if has_remaining || lines.is_empty() {
                let effect = Effect::Line(class, (*host).clone(), AppliedLine { state, ..**line });
                parts.removed.push(Update {
                    command: Command::SetState(server(host), state),
                    effect,
                });
            } else {
                parts.incomplete = true;
            }
            if line.is_selectable() && must_drain(host) {
                urgency = Urgency::Drain;
            }
        }
        if !has_selectable && !lines.is_empty() {
            urgency = Urgency::Drain;
        }
    }
    map_updates(mapping, applied, desired, joining, &mut parts);
    parts
        .map_updates
        .retain(|update| !rejected.contains(&update.effect.target()));
    let BatchParts {
        decreased,
        added,
        increased,
        removed,
        map_updates,
        mut unused,
        incomplete,
    } = parts;
    let mut updates = decreased;
    updates.extend(added);
    updates.extend(increased);
    updates.extend(removed);
    updates.extend(map_updates);
    if !updates.is_empty() || unused.len() > 4 * MAX_DELETED_SERVERS {
        unused.truncate(MAX_DELETED_SERVERS);
        for (class, host, server, line) in unused {
            if line.state != AdminState::Maint {
                let state = AdminState::Maint;
                let effect = Effect::Line(class, host.clone(), AppliedLine { state, ..line });
                updates.push(Update {
                    command: Command::SetState(server.clone(), state),
                    effect,
                });
            }
            updates.push(Update {
                command: Command::DelServer(server),
                effect: Effect::Deleted(class, host),
            });
        }
    }
    UpdateBatch {
        updates,
        urgency,
        incomplete,
    }
}

/// The updates of a batch, by the order in which they are sent.
#[derive(Default)]
struct BatchParts {
    decreased: Vec<Update>,
    added: Vec<Update>,
    increased: Vec<Update>,
    removed: Vec<Update>,
    map_updates: Vec<Update>,
    unused: Vec<(RequestClassId, HostId, ServerRef, AppliedLine)>,
    incomplete: bool,
}

impl BatchParts {
    /// Adds the updates of one line. A host at another address is another process: a decrease of the weight is sent
    /// before the address, so that a successor that is warming up never gets the weight of the warm process.
    #[expect(
        clippy::too_many_lines,
        reason = "the cases of one line: it is missing, out of use, or in use"
    )]
    fn update_line(
        &mut self,
        class: RequestClassId,
        host: &HostId,
        server: ServerRef,
        applied: Option<&AppliedLine>,
        desired_line: &DesiredLine,
    ) {
        let push_update = |updates: &mut Vec<Update>, command: Command, line: AppliedLine| {
            updates.push(Update {
                command,
                effect: Effect::Line(class, host.clone(), line),
            });
            line
        };
        let (addr, weight) = (desired_line.addr, desired_line.weight);
        let Some(applied) = applied else {
            let new = AppliedLine {
                addr,
                weight,
                state: AdminState::Maint,
            };
            let add = Command::AddServer {
                server: server.clone(),
                addr,
                weight: Some(weight),
            };
            push_update(&mut self.added, add, new);
            let ready = Command::SetState(server, AdminState::Ready);
            push_update(
                &mut self.added,
                ready,
                AppliedLine {
                    state: AdminState::Ready,
                    ..new
                },
            );
            return;
        };
        let mut current = *applied;
        let set_weight = |server: &ServerRef| {
            Command::SetWeight(server.clone(), WeightArgument::Absolute(weight))
        };
        let idle = !applied.is_selectable();
        if idle {
            // The line is out of use: address and weight are set before it gets its first request.
            if current.addr != addr {
                let command = Command::SetAddr(server.clone(), addr.ip(), Some(addr.port()));
                current = push_update(&mut self.added, command, AppliedLine { addr, ..current });
            }
            if current.weight != weight {
                current = push_update(
                    &mut self.added,
                    set_weight(&server),
                    AppliedLine { weight, ..current },
                );
            }
            if current.state != AdminState::Ready {
                let state = AdminState::Ready;
                push_update(
                    &mut self.added,
                    Command::SetState(server, state),
                    AppliedLine { state, ..current },
                );
            }
            return;
        }
        if current.weight > weight {
            current = push_update(
                &mut self.decreased,
                set_weight(&server),
                AppliedLine { weight, ..current },
            );
        }
        if current.addr != addr {
            let command = Command::SetAddr(server.clone(), addr.ip(), Some(addr.port()));
            current = push_update(
                &mut self.decreased,
                command,
                AppliedLine { addr, ..current },
            );
        }
        if current.weight < weight {
            push_update(
                &mut self.increased,
                set_weight(&server),
                AppliedLine { weight, ..current },
            );
        }
    }
}

/// Adds the differences of the maps. A missing entry is added with `add map`, as `set map` would be rejected.
fn map_updates(
    mapping: &ProxyMapping,
    applied: &AppliedState,
    desired: &DesiredState,
    joining: bool,
    parts: &mut BatchParts,
) {
    let map_command = |applied: &BTreeMap<String, String>, map: &str, key: &str, value: &str| {
        let (map, key, value) = (map.to_string(), key.to_string(), value.to_string());
        match applied.get(&key) {
            Some(old) if *old == value => None,
            Some(_) => Some(Command::SetMap { map, key, value }),
            None => Some(Command::AddMap {
                map,
                version: None,
                key,
                value,
            }),
        }
    };
    for (index, class_mapping) in mapping.classes.iter().enumerate() {
        let (class, name) = (RequestClassId(index as u8), &class_mapping.name);
        if let Some(quota) = desired.quotas.get(&class)
            && let Some(command) = map_command(&applied.quotas, QUOTA_MAP, name, quota)
        {
            parts.map_updates.push(Update {
                command,
                effect: Effect::Quota(name.clone(), quota.clone()),
            });
        }
        if let Some(retry_policy) = desired.retry_policies.get(&class)
            && let Some(command) = map_command(
                &applied.retry_policies,
                RETRY_POLICY_MAP,
                name,
                retry_policy,
            )
        {
            parts.map_updates.push(Update {
                command,
                effect: Effect::RetryPolicy(name.clone(), retry_policy.to_string()),
            });
        }
    }
    if joining
        && let Some(command) = map_command(
            &applied.state,
            STATE_MAP,
            CONTROLLER_KEY,
            &mapping.controller_incarnation,
        )
    {
        parts.map_updates.push(Update {
            command,
            effect: Effect::StateEntry(
                CONTROLLER_KEY.into(),
                mapping.controller_incarnation.clone(),
            ),
        });
    }
}
