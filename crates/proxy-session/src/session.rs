//! The course of one connection to a proxy: look at what it holds, then orders and reports in turn.

use crate::order::{Batch, Effect, Refused, Step, Target, Urgency, difference};
use crate::sums::{Counters, Look};
use crate::table::{Front, Held, HeldLine, LEVELS, MARK, STATE, TRIES, Wanted};
use pondarch_controller::{HostId, RequestClassId, Time};
use pondarch_runtime_api::Command;
use pondarch_runtime_api::command::PromptMode;
use pondarch_runtime_api::info::{Info, read_map};
use pondarch_runtime_api::stat::{self, StatError, StatRow};
use pondarch_runtime_api::state::{self, StateError};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Longest line written, in bytes: well under what a peer must take (16 KiB).
const LINE_MOST: usize = 8 * 1024;
/// How long a refused line is left alone, so that a proxy that cannot take it is not asked without end.
const REFUSED_FOR: Duration = Duration::from_millis(5_000);
/// The same for a host that is to go: the grace runs.
const REFUSED_GOING: Duration = Duration::from_millis(250);

/// What a session has to say after an answer.
#[derive(Debug)]
pub enum Told {
    /// The proxy's state is known: it can be joined. Fresh: it holds only its standing tables.
    Learned {
        fresh: bool,
    },
    /// All answers to a batch are in.
    Applied {
        took: Duration,
        refused: Vec<String>,
    },
    Sums(Look),
}

#[derive(Debug, Error)]
pub enum FrontError {
    #[error("an answer came that nothing asked for")]
    Unasked,
    #[error("the proxy has no map '{0}'")]
    NoMap(&'static str),
    #[error(transparent)]
    State(#[from] StateError),
    #[error(transparent)]
    Stat(#[from] StatError),
    #[error("the proxy refuses '{command}': {answer}")]
    Refused { command: String, answer: String },
}

/// What the next answer answers.
#[derive(Debug)]
enum Asked {
    Prompt,
    Info,
    Servers,
    Map(&'static str),
    Stat,
    Step(Step),
}

/// One proxy's side of things; it outlives connections, as counters and refusals do.
#[derive(Debug)]
pub struct Session {
    front: Arc<Front>,
    held: Held,
    asked: VecDeque<Asked>,
    counters: Counters,
    refusals: BTreeMap<Target, Time>,
    /// Answers of the batch under way.
    batch_since: Option<Time>,
    refused: Vec<String>,
    learned: bool,
    process: u64,
    joining: bool,
    /// Batches so far; it goes on over connections, as versions must rise.
    batches: u64,
}

impl Session {
    pub fn new(front: Arc<Front>) -> Session {
        Session {
            front,
            held: Held::default(),
            asked: VecDeque::new(),
            counters: Counters::default(),
            refusals: BTreeMap::new(),
            batch_since: None,
            refused: Vec::new(),
            learned: false,
            process: 0,
            joining: false,
            batches: 0,
        }
    }

    /// Whether the proxy may pick a host for any kind, as far as it has said; none: it has not said anything yet.
    pub fn holds(&self, host: &HostId) -> Option<bool> {
        let holds =
            |((_, own), line): (&(RequestClassId, HostId), &HeldLine)| own == host && line.serves();
        self.learned.then(|| self.held.lines.iter().any(holds))
    }

    /// What it takes, in bytes, roughly: what the proxy holds, and its counters.
    pub fn bytes(&self) -> u64 {
        self.held.lines.len() as u64 * 250 + self.asked.len() as u64 * 120
    }

    /// Whether all that was asked is answered.
    pub fn is_quiet(&self) -> bool {
        self.asked.is_empty()
    }

    /// A connection stands: nothing of the last one is awaited any more. Gives the lines to write.
    pub fn begin(&mut self) -> Vec<String> {
        self.asked.clear();
        (self.batch_since, self.learned, self.joining) = (None, false, true);
        self.refused.clear();
        let mut lines = vec![Command::Prompt(PromptMode::Interactive).to_string()];
        self.asked.push_back(Asked::Prompt);
        lines.push(Command::ShowInfo { json: false }.to_string());
        self.asked.push_back(Asked::Info);
        lines.extend(self.relearn());
        lines
    }

    /// Asks what the proxy holds.
    fn relearn(&mut self) -> Vec<String> {
        self.learned = false;
        let maps = [LEVELS, TRIES, STATE];
        self.asked.push_back(Asked::Servers);
        self.asked.extend(maps.map(Asked::Map));
        let show = |map: &str| {
            Command::ShowMap {
                map: map.into(),
                version: None,
            }
            .to_string()
        };
        std::iter::once(Command::ShowServersState(None).to_string())
            .chain(maps.map(show))
            .collect()
    }

    /// Reads the counters, if the session is quiet.
    pub fn read_stat(&mut self) -> Option<String> {
        (self.learned && self.is_quiet()).then(|| {
            self.asked.push_back(Asked::Stat);
            Command::ShowStat { json: false }.to_string()
        })
    }

    /// Counters that the proxy told by another way, as of then. They are the same counters: none counts twice. None while
    /// the proxy's process is not known, or if it told them before the last ones.
    pub fn counted(&mut self, at: Time, rows: &[StatRow]) -> Option<Look> {
        // Counters of before the last look are lower: they would count as those of a process that began anew.
        let newer = self.counters.last().is_none_or(|last| at > last);
        (self.learned && newer).then(|| self.counters.look(at, &self.front, rows))
    }

    /// What would have to be written now; nothing while answers are awaited.
    pub fn due(
        &mut self,
        now: Time,
        wanted: &Wanted,
        must_go: impl Fn(&HostId) -> bool,
    ) -> Option<Batch> {
        if !self.learned || !self.is_quiet() {
            return None;
        }
        self.refusals.retain(|_, until| *until > now);
        let refused: Refused = self.refusals.keys().cloned().collect();
        let batch = difference(
            &self.front,
            &self.held,
            wanted,
            &refused,
            must_go,
            self.joining,
        );
        (!batch.is_empty()).then_some(batch)
    }

    /// When a line that was refused may be asked for again.
    pub fn next_due(&self) -> Option<Time> {
        self.refusals.values().min().copied()
    }

    /// Takes a batch that is written now. Gives its lines.
    pub fn order(&mut self, now: Time, mut batch: Batch) -> Vec<String> {
        self.batches += 1;
        batch.stamp(&self.held, format!("{}/{}", self.front.mark, self.batches));
        let lines = batch.lines(LINE_MOST);
        self.joining &= batch.urgency < Urgency::Join;
        self.batch_since = Some(now);
        self.asked.extend(batch.steps.into_iter().map(Asked::Step));
        lines
    }

    /// Takes the next answer. Gives what there is to say, and lines to write at once.
    ///
    /// Errors: the peer does not speak as documented; the connection is to be closed.
    pub fn answered(
        &mut self,
        now: Time,
        text: &str,
    ) -> Result<(Option<Told>, Vec<String>), FrontError> {
        let asked = self.asked.pop_front().ok_or(FrontError::Unasked)?;
        let told = match asked {
            Asked::Prompt => None,
            Asked::Info => {
                let info = Info::read(text);
                // A process is known by its id and its start; either alone may come again.
                let started = info.get_u64("Start_time_sec").unwrap_or(0);
                self.process = info.get_u64("Pid").unwrap_or(0) ^ started.rotate_left(32);
                None
            }
            Asked::Servers => {
                self.take_servers(text)?;
                None
            }
            Asked::Map(map) => {
                let entries = read_map(text).ok_or(FrontError::NoMap(map))?;
                match map {
                    LEVELS => self.held.levels = entries,
                    TRIES => self.held.tries = entries,
                    _ => {
                        self.held.state = entries;
                        self.learned = true;
                    }
                }
                if self.learned {
                    Some(self.learned(now))
                } else {
                    None
                }
            }
            Asked::Stat => {
                let rows = stat::read(text)?;
                Some(Told::Sums(self.counters.look(now, &self.front, &rows)))
            }
            Asked::Step(step) => return Ok(self.step_answered(now, step, text)),
        };
        Ok((told, Vec::new()))
    }

    fn learned(&mut self, now: Time) -> Told {
        let fresh = !self.held.state.contains_key(MARK);
        self.counters.process(now, self.process, fresh);
        Told::Learned { fresh }
    }

    fn take_servers(&mut self, text: &str) -> Result<(), FrontError> {
        self.held.lines.clear();
        for server in state::read_state(text)? {
            let kind = self
                .front
                .kinds
                .iter()
                .position(|kind| kind.backend == server.backend);
            let Some(kind) = kind else { continue };
            let line = HeldLine {
                addr: server.addr,
                units: server.weight,
                state: server.state,
            };
            self.held.lines.insert(
                (
                    RequestClassId(kind as u8),
                    HostId(server.server.as_str().into()),
                ),
                line,
            );
        }
        Ok(())
    }

    fn step_answered(&mut self, now: Time, step: Step, text: &str) -> (Option<Told>, Vec<String>) {
        let (command, effect) = (&step.command, step.effect);
        match (accepted(command, text), &effect) {
            // Housekeeping: a server still at work is deleted some other time.
            (false, Effect::Deleted(..)) => {}
            (false, _) => {
                let wait = if effect.is_away() {
                    REFUSED_GOING
                } else {
                    REFUSED_FOR
                };
                self.refusals.insert(effect.target(), now + wait);
                self.refused.push(format!("{command}: {}", text.trim()));
            }
            (true, _) => self.take_effect(effect),
        }
        if !self.asked.is_empty() {
            return (None, Vec::new());
        }
        let took = self
            .batch_since
            .take()
            .map_or(Duration::ZERO, |since| now - since);
        let refused = std::mem::take(&mut self.refused);
        // After a refusal nothing is sure: look again, then send only the difference.
        let lines = if refused.is_empty() {
            Vec::new()
        } else {
            self.relearn()
        };
        (Some(Told::Applied { took, refused }), lines)
    }

    fn take_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Line(kind, host, line) => drop(self.held.lines.insert((kind, host), line)),
            Effect::Deleted(kind, host) => drop(self.held.lines.remove(&(kind, host))),
            Effect::Level(kind, level) => drop(self.held.levels.insert(kind, level)),
            Effect::Tries(kind, tries) => drop(self.held.tries.insert(kind, tries)),
            Effect::State(key, value) => drop(self.held.state.insert(key, value)),
        }
    }
}

/// Whether an answer means that the command took effect. The guide gives no codes: success is silence for most
/// commands and a known sentence for the others.
fn accepted(command: &Command, text: &str) -> bool {
    let text = text.trim();
    match command {
        Command::AddServer { .. } => text.starts_with("New server registered"),
        Command::DelServer(_) => {
            text.starts_with("Server deleted") || text.starts_with("No such server")
        }
        Command::SetAddr(..) => {
            let fine = [
                "",
                "IP changed",
                "port changed",
                "no need to change",
                "nothing changed",
            ];
            text.is_empty() || fine[1..].iter().any(|start| text.starts_with(start))
        }
        Command::PrepareMap { .. } => text.starts_with("New version created"),
        _ => text.is_empty(),
    }
}
