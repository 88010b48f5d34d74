//! The commands that lead from what a proxy holds to what it should hold.
//!
//! A connection can break after any command, and any command can be refused. So within a batch heavy lines are
//! made lighter first, then lines are added, then made heavier, and only then taken away; and what would leave a
//! kind with nothing but lines that the proxy has not acknowledged yet waits for the next batch. Wherever the
//! batch ends, each line is as before or as wanted, and a kind that had a host to pick has one.

use crate::table::{Front, Held, HeldLine, LEVELS, MARK, STATE, TABLE, TRIES, Wanted, WantedLine};
use pondarch_controller::{HostId, RequestClassId};
use pondarch_runtime_api::command::WeightArgument;
use pondarch_runtime_api::{AdminState, Command, ServerRef};
use std::collections::{BTreeMap, BTreeSet};

/// Servers out of use that one batch deletes at most: housekeeping must not hold up orders.
const DELETED_MOST: usize = 16;

/// How pressing a batch is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    #[default]
    Ordinary,
    /// The proxy has just joined: it may hold anything.
    Join,
    /// A host that drains or is gone is still used, or a kind has no host to pick.
    Drain,
}

/// What acknowledging a command changes in what the proxy is known to hold.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Line(RequestClassId, HostId, HeldLine),
    Deleted(RequestClassId, HostId),
    Level(String, String),
    Tries(String, String),
    State(String, String),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub command: Command,
    pub effect: Effect,
}

/// One message to a proxy.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    pub steps: Vec<Step>,
    pub urgency: Urgency,
    /// Something is left for the next batch: it must wait for this one's answers.
    pub more: bool,
}

/// What a command is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    Line(RequestClassId, HostId),
    Entry(&'static str, String),
}

/// What the proxy refused lately: it is not asked for again at once.
pub type Refused = BTreeSet<Target>;

impl Effect {
    pub fn target(&self) -> Target {
        match self {
            Effect::Line(kind, host, _) | Effect::Deleted(kind, host) => {
                Target::Line(*kind, host.clone())
            }
            Effect::Level(kind, _) => Target::Entry(LEVELS, kind.clone()),
            Effect::Tries(kind, _) => Target::Entry(TRIES, kind.clone()),
            Effect::State(key, _) => Target::Entry(STATE, key.clone()),
        }
    }

    /// Whether it takes a host out of use.
    pub fn is_away(&self) -> bool {
        matches!(
            self,
            Effect::Line(
                _,
                _,
                HeldLine {
                    state: AdminState::Maint | AdminState::Drain,
                    ..
                }
            )
        )
    }
}

impl Batch {
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// The commands as lines to write, each within `most` bytes.
    pub fn lines(&self, most: usize) -> Vec<String> {
        let mut lines: Vec<String> = Vec::new();
        for step in &self.steps {
            let text = step.command.to_string();
            match lines.last_mut() {
                Some(line) if line.len() + text.len() + 2 <= most => {
                    line.push_str("; ");
                    line.push_str(&text);
                }
                _ => lines.push(text),
            }
        }
        lines
    }
}

impl Batch {
    /// Puts the version first: a proxy that knows versions takes what follows as of that one, or refuses it whole.
    pub fn stamp(&mut self, held: &Held, version: String) {
        let (map, key) = (STATE.to_string(), TABLE.to_string());
        let command = match held.state.contains_key(TABLE) {
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
        self.steps.insert(
            0,
            Step {
                command,
                effect: Effect::State(TABLE.into(), version),
            },
        );
    }
}

/// The difference as one batch. `must_go` tells of a host that no proxy may use any more; `joining` adds the mark.
pub fn difference(
    front: &Front,
    held: &Held,
    wanted: &Wanted,
    refused: &Refused,
    must_go: impl Fn(&HostId) -> bool,
    joining: bool,
) -> Batch {
    let mut parts = Parts::default();
    let mut urgency = if joining {
        Urgency::Join
    } else {
        Urgency::Ordinary
    };
    let mut by_kind: BTreeMap<RequestClassId, Vec<(&HostId, &HeldLine)>> = BTreeMap::new();
    for ((kind, host), line) in &held.lines {
        by_kind.entry(*kind).or_default().push((host, line));
    }
    for (k, of) in front.kinds.iter().enumerate() {
        let kind = RequestClassId(k as u8);
        let Some(lines) = wanted.lines.get(&kind) else {
            continue;
        };
        let server = |host: &HostId| ServerRef::new(&of.backend, &host.0);
        let held_here = by_kind.get(&kind).map(Vec::as_slice).unwrap_or_default();
        let asked_lately = |host: &HostId| refused.contains(&Target::Line(kind, host.clone()));
        for (host, want) in lines.iter().filter(|(host, _)| !asked_lately(host)) {
            let line = held.lines.get(&(kind, host.clone()));
            parts.towards(kind, host, server(host), line, want);
        }
        let serves_now = held_here.iter().any(|(_, line)| line.serves());
        let stays =
            |(host, line): &(&HostId, &HeldLine)| line.serves() && lines.contains_key(*host);
        let safe = held_here.iter().any(stays);
        for (host, line) in held_here
            .iter()
            .filter(|(host, _)| !lines.contains_key(*host))
        {
            // Drained, a proxy does not fall back on it either; merely out of the table, it may as a last resort.
            let state = if must_go(host) {
                AdminState::Drain
            } else {
                AdminState::Maint
            };
            let last_resort =
                line.state == AdminState::Maint && lines.is_empty() && state == AdminState::Drain;
            if line.state != AdminState::Ready && !last_resort {
                parts
                    .dead
                    .push((kind, (*host).clone(), server(host), **line));
            } else if asked_lately(host) {
                continue;
            } else if safe || lines.is_empty() {
                let effect = Effect::Line(kind, (*host).clone(), HeldLine { state, ..**line });
                parts.away.push(Step {
                    command: Command::SetState(server(host), state),
                    effect,
                });
            } else {
                parts.more = true;
            }
            if line.serves() && must_go(host) {
                urgency = Urgency::Drain;
            }
        }
        if !serves_now && !lines.is_empty() {
            urgency = Urgency::Drain;
        }
    }
    maps(front, held, wanted, joining, &mut parts);
    parts
        .maps
        .retain(|step| !refused.contains(&step.effect.target()));
    let Parts {
        lighter,
        added,
        heavier,
        away,
        maps,
        mut dead,
        more,
    } = parts;
    let mut steps = lighter;
    steps.extend(added);
    steps.extend(heavier);
    steps.extend(away);
    steps.extend(maps);
    if !steps.is_empty() || dead.len() > 4 * DELETED_MOST {
        dead.truncate(DELETED_MOST);
        for (kind, host, server, line) in dead {
            if line.state != AdminState::Maint {
                let state = AdminState::Maint;
                let effect = Effect::Line(kind, host.clone(), HeldLine { state, ..line });
                steps.push(Step {
                    command: Command::SetState(server.clone(), state),
                    effect,
                });
            }
            steps.push(Step {
                command: Command::DelServer(server),
                effect: Effect::Deleted(kind, host),
            });
        }
    }
    Batch {
        steps,
        urgency,
        more,
    }
}

#[derive(Default)]
struct Parts {
    lighter: Vec<Step>,
    added: Vec<Step>,
    heavier: Vec<Step>,
    away: Vec<Step>,
    maps: Vec<Step>,
    dead: Vec<(RequestClassId, HostId, ServerRef, HeldLine)>,
    more: bool,
}

impl Parts {
    /// What makes one line as wanted. A host at another address is another process: its weight goes first, so
    /// that a cold successor never gets the warm one's part.
    fn towards(
        &mut self,
        kind: RequestClassId,
        host: &HostId,
        server: ServerRef,
        held: Option<&HeldLine>,
        want: &WantedLine,
    ) {
        let step = |to: &mut Vec<Step>, command: Command, change: HeldLine| {
            to.push(Step {
                command,
                effect: Effect::Line(kind, host.clone(), change),
            });
            change
        };
        let (addr, units) = (want.addr, want.units);
        let Some(held) = held else {
            let new = HeldLine {
                addr,
                units,
                state: AdminState::Maint,
            };
            let add = Command::AddServer {
                server: server.clone(),
                addr,
                weight: Some(units),
            };
            step(&mut self.added, add, new);
            let ready = Command::SetState(server, AdminState::Ready);
            step(
                &mut self.added,
                ready,
                HeldLine {
                    state: AdminState::Ready,
                    ..new
                },
            );
            return;
        };
        let mut now = *held;
        let weigh = |server: &ServerRef| {
            Command::SetWeight(server.clone(), WeightArgument::Absolute(units))
        };
        let idle = !held.serves();
        if idle {
            // Out of use: all is set before it takes its first req.
            if now.addr != addr {
                let command = Command::SetAddr(server.clone(), addr.ip(), Some(addr.port()));
                now = step(&mut self.added, command, HeldLine { addr, ..now });
            }
            if now.units != units {
                now = step(&mut self.added, weigh(&server), HeldLine { units, ..now });
            }
            if now.state != AdminState::Ready {
                let state = AdminState::Ready;
                step(
                    &mut self.added,
                    Command::SetState(server, state),
                    HeldLine { state, ..now },
                );
            }
            return;
        }
        if now.units > units {
            now = step(&mut self.lighter, weigh(&server), HeldLine { units, ..now });
        }
        if now.addr != addr {
            let command = Command::SetAddr(server.clone(), addr.ip(), Some(addr.port()));
            now = step(&mut self.lighter, command, HeldLine { addr, ..now });
        }
        if now.units < units {
            step(&mut self.heavier, weigh(&server), HeldLine { units, ..now });
        }
    }
}

/// Differences of the maps; an entry that is not there yet is added, as `set map` would be refused.
fn maps(front: &Front, held: &Held, wanted: &Wanted, joining: bool, parts: &mut Parts) {
    let entry = |held: &BTreeMap<String, String>, map: &str, key: &str, value: &str| {
        let (map, key, value) = (map.to_string(), key.to_string(), value.to_string());
        match held.get(&key) {
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
    for (k, kind) in front.kinds.iter().enumerate() {
        let (id, name) = (RequestClassId(k as u8), &kind.name);
        if let Some(level) = wanted.levels.get(&id)
            && let Some(command) = entry(&held.levels, LEVELS, name, level)
        {
            parts.maps.push(Step {
                command,
                effect: Effect::Level(name.clone(), level.clone()),
            });
        }
        if let Some(tries) = wanted.tries.get(&id)
            && let Some(command) = entry(&held.tries, TRIES, name, tries)
        {
            parts.maps.push(Step {
                command,
                effect: Effect::Tries(name.clone(), tries.to_string()),
            });
        }
    }
    if joining && let Some(command) = entry(&held.state, STATE, MARK, &front.mark) {
        parts.maps.push(Step {
            command,
            effect: Effect::State(MARK.into(), front.mark.clone()),
        });
    }
}
