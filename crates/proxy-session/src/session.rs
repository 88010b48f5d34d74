//! One connection to a proxy: first its state is read, then updates and readings of counters take turns.

use crate::counters::{CounterDelta, CounterTracker};
use crate::proxy_state::{
    AppliedLine, AppliedState, CONTROLLER_KEY, DesiredState, ProxyMapping, QUOTA_MAP,
    RETRY_POLICY_MAP, STATE_MAP,
};
use crate::update::{Effect, RejectedTargets, Target, Update, UpdateBatch, Urgency, compute_batch};
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

/// Longest line written, in bytes: well below what a peer must accept (16 KiB).
const MAX_LINE_BYTES: usize = 8 * 1024;
/// Delay before a rejected update is sent again, so that a proxy that cannot apply it does not get it continuously.
const REJECTED_RETRY_DELAY: Duration = Duration::from_millis(5_000);
/// The same delay for an update that takes a host out of use: shorter, as the drain grace period is running.
const REJECTED_DRAIN_RETRY_DELAY: Duration = Duration::from_millis(250);

/// What a reply completed.
#[derive(Debug)]
pub enum SessionEvent {
    /// The proxy's state is known, so that it can be joined.
    StateRead {
        /// Whether no controller has joined the proxy since it started: it has only its static hosts.
        newly_started: bool,
    },
    /// All replies to an update batch have arrived.
    BatchAcknowledged {
        /// Time from writing the batch to the last reply.
        duration: Duration,
        /// The rejected commands, each with the reply.
        rejected: Vec<String>,
    },
    /// The counters were read.
    Counters(CounterDelta),
}

/// Why a connection to a proxy has to be closed.
#[derive(Debug, Error)]
pub enum SessionError {
    /// A reply arrived while none was pending.
    #[error("an answer came that nothing asked for")]
    UnexpectedReply,
    /// The proxy lacks one of the maps.
    #[error("the proxy has no map '{0}'")]
    MissingMap(&'static str),
    /// The reply to `show servers state` is malformed.
    #[error(transparent)]
    State(#[from] StateError),
    /// The reply to `show stat` is malformed.
    #[error(transparent)]
    Stat(#[from] StatError),
    /// The proxy rejected a command.
    #[error("the proxy refuses '{command}': {reply}")]
    CommandRejected {
        /// The command that was sent.
        command: String,
        /// The reply of the proxy.
        reply: String,
    },
}

/// What a reply that has not arrived yet belongs to.
#[derive(Debug)]
enum PendingReply {
    Prompt,
    Info,
    Servers,
    Map(&'static str),
    Stat,
    Update(Update),
}

/// What is known of one proxy. It outlives connections, as counters and rejected updates do.
#[derive(Debug)]
pub struct Session {
    mapping: Arc<ProxyMapping>,
    applied: AppliedState,
    pending: VecDeque<PendingReply>,
    counters: CounterTracker,
    /// When updates that were rejected may be sent again.
    retry_at: BTreeMap<Target, Time>,
    /// When the batch in flight was written.
    batch_sent_at: Option<Time>,
    /// The rejected commands of the batch in flight.
    rejected: Vec<String>,
    state_known: bool,
    /// Identifies the proxy's process.
    process: u64,
    joining: bool,
    /// Batches written so far. It is not reset by a new connection, as versions must rise.
    batch_count: u64,
}

impl Session {
    /// A session that is not connected yet.
    pub fn new(mapping: Arc<ProxyMapping>) -> Session {
        Session {
            mapping,
            applied: AppliedState::default(),
            pending: VecDeque::new(),
            counters: CounterTracker::default(),
            retry_at: BTreeMap::new(),
            batch_sent_at: None,
            rejected: Vec::new(),
            state_known: false,
            process: 0,
            joining: false,
            batch_count: 0,
        }
    }

    /// Whether the proxy may pick a host for any request class; `None` while its state is not known.
    pub fn may_select(&self, host: &HostId) -> Option<bool> {
        let selectable = |((_, line_host), line): (&(RequestClassId, HostId), &AppliedLine)| {
            line_host == host && line.is_selectable()
        };
        self.state_known
            .then(|| self.applied.lines.iter().any(selectable))
    }

    /// Estimate of the memory of this session, in bytes: the state and counters of each line, and the pending replies.
    pub fn estimated_bytes(&self) -> u64 {
        self.applied.lines.len() as u64 * 250 + self.pending.len() as u64 * 120
    }

    /// Whether no reply is pending.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Starts a new connection: replies that the previous one left pending are dropped. Returns the lines to write.
    pub fn on_connected(&mut self) -> Vec<String> {
        self.pending.clear();
        (self.batch_sent_at, self.state_known, self.joining) = (None, false, true);
        self.rejected.clear();
        let mut lines = vec![Command::Prompt(PromptMode::Interactive).to_string()];
        self.pending.push_back(PendingReply::Prompt);
        lines.push(Command::ShowInfo { json: false }.to_string());
        self.pending.push_back(PendingReply::Info);
        lines.extend(self.request_state());
        lines
    }

    /// Returns the lines that ask for the proxy's state.
    fn request_state(&mut self) -> Vec<String> {
        self.state_known = false;
        let maps = [QUOTA_MAP, RETRY_POLICY_MAP, STATE_MAP];
        self.pending.push_back(PendingReply::Servers);
        self.pending.extend(maps.map(PendingReply::Map));
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

    /// Returns the line that asks for the counters, if the state is known and no reply is pending.
    pub fn request_counters(&mut self) -> Option<String> {
        (self.state_known && self.is_idle()).then(|| {
            self.pending.push_back(PendingReply::Stat);
            Command::ShowStat { json: false }.to_string()
        })
    }

    /// Takes counters that the proxy pushed in a load report, as of this time. They are the same counters as those of
    /// `show stat`, so that nothing is counted twice. `None` while the proxy's process is not known, or if they are not
    /// newer than the previous reading.
    pub fn record_pushed_counters(&mut self, at: Time, rows: &[StatRow]) -> Option<CounterDelta> {
        // Counters from before the previous reading are lower: they would be taken for those of a restarted process.
        let is_newer = self
            .counters
            .last_read_at()
            .is_none_or(|last_read_at| at > last_read_at);
        (self.state_known && is_newer).then(|| self.counters.take_delta(at, &self.mapping, rows))
    }

    /// The update batch that is due now; `None` if there is no difference or a reply is pending.
    pub fn next_batch(
        &mut self,
        now: Time,
        desired: &DesiredState,
        must_drain: impl Fn(&HostId) -> bool,
    ) -> Option<UpdateBatch> {
        if !self.state_known || !self.is_idle() {
            return None;
        }
        self.retry_at.retain(|_, until| *until > now);
        let rejected: RejectedTargets = self.retry_at.keys().cloned().collect();
        let batch = compute_batch(
            &self.mapping,
            &self.applied,
            desired,
            &rejected,
            must_drain,
            self.joining,
        );
        (!batch.is_empty()).then_some(batch)
    }

    /// When the first of the rejected updates may be sent again.
    pub fn next_retry_at(&self) -> Option<Time> {
        self.retry_at.values().min().copied()
    }

    /// Records a batch as written now, and returns its lines.
    pub fn send_batch(&mut self, now: Time, mut batch: UpdateBatch) -> Vec<String> {
        self.batch_count += 1;
        batch.prepend_version(
            &self.applied,
            format!(
                "{}/{}",
                self.mapping.controller_incarnation, self.batch_count
            ),
        );
        let lines = batch.command_lines(MAX_LINE_BYTES);
        self.joining &= batch.urgency < Urgency::Join;
        self.batch_sent_at = Some(now);
        self.pending
            .extend(batch.updates.into_iter().map(PendingReply::Update));
        lines
    }

    /// Takes the next reply. Returns what it completed, and lines to write at once.
    ///
    /// Errors: the reply is not as documented; the connection has to be closed.
    pub fn on_reply(
        &mut self,
        now: Time,
        text: &str,
    ) -> Result<(Option<SessionEvent>, Vec<String>), SessionError> {
        let pending = self
            .pending
            .pop_front()
            .ok_or(SessionError::UnexpectedReply)?;
        let event = match pending {
            PendingReply::Prompt => None,
            PendingReply::Info => {
                let info = Info::read(text);
                // A process is identified by its id and start time together, as either may repeat.
                let started = info.get_u64("Start_time_sec").unwrap_or(0);
                self.process = info.get_u64("Pid").unwrap_or(0) ^ started.rotate_left(32);
                None
            }
            PendingReply::Servers => {
                self.apply_servers(text)?;
                None
            }
            PendingReply::Map(map) => {
                let entries = read_map(text).ok_or(SessionError::MissingMap(map))?;
                match map {
                    QUOTA_MAP => self.applied.quotas = entries,
                    RETRY_POLICY_MAP => self.applied.retry_policies = entries,
                    _ => {
                        self.applied.state = entries;
                        self.state_known = true;
                    }
                }
                if self.state_known {
                    Some(self.on_state_read(now))
                } else {
                    None
                }
            }
            PendingReply::Stat => {
                let rows = stat::read(text)?;
                Some(SessionEvent::Counters(self.counters.take_delta(
                    now,
                    &self.mapping,
                    &rows,
                )))
            }
            PendingReply::Update(update) => return Ok(self.on_update_reply(now, update, text)),
        };
        Ok((event, Vec::new()))
    }

    fn on_state_read(&mut self, now: Time) -> SessionEvent {
        let newly_started = !self.applied.state.contains_key(CONTROLLER_KEY);
        self.counters.set_process(now, self.process, newly_started);
        SessionEvent::StateRead { newly_started }
    }

    fn apply_servers(&mut self, text: &str) -> Result<(), SessionError> {
        self.applied.lines.clear();
        for server in state::read_state(text)? {
            let class = self
                .mapping
                .classes
                .iter()
                .position(|mapping| mapping.backend == server.backend);
            let Some(class) = class else { continue };
            let line = AppliedLine {
                addr: server.addr,
                weight: server.weight,
                state: server.state,
            };
            self.applied.lines.insert(
                (
                    RequestClassId(class as u8),
                    HostId(server.server.as_str().into()),
                ),
                line,
            );
        }
        Ok(())
    }

    fn on_update_reply(
        &mut self,
        now: Time,
        update: Update,
        text: &str,
    ) -> (Option<SessionEvent>, Vec<String>) {
        let (command, effect) = (&update.command, update.effect);
        match (is_accepted(command, text), &effect) {
            // A server that still has requests in flight is deleted by a later batch.
            (false, Effect::Deleted(..)) => {}
            (false, _) => {
                let delay = if effect.takes_host_out_of_use() {
                    REJECTED_DRAIN_RETRY_DELAY
                } else {
                    REJECTED_RETRY_DELAY
                };
                self.retry_at.insert(effect.target(), now + delay);
                self.rejected.push(format!("{command}: {}", text.trim()));
            }
            (true, _) => self.apply_effect(effect),
        }
        if !self.pending.is_empty() {
            return (None, Vec::new());
        }
        let duration = self
            .batch_sent_at
            .take()
            .map_or(Duration::ZERO, |sent_at| now - sent_at);
        let rejected = std::mem::take(&mut self.rejected);
        // After a rejection the proxy's state is uncertain: read it again, then send only the difference.
        let lines = if rejected.is_empty() {
            Vec::new()
        } else {
            self.request_state()
        };
        (
            Some(SessionEvent::BatchAcknowledged { duration, rejected }),
            lines,
        )
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Line(class, host, line) => drop(self.applied.lines.insert((class, host), line)),
            Effect::Deleted(class, host) => drop(self.applied.lines.remove(&(class, host))),
            Effect::Quota(class, quota) => drop(self.applied.quotas.insert(class, quota)),
            Effect::RetryPolicy(class, policy) => {
                drop(self.applied.retry_policies.insert(class, policy))
            }
            Effect::StateEntry(key, value) => drop(self.applied.state.insert(key, value)),
        }
    }
}

/// Whether a reply means that the command took effect. The management guide documents no status codes: on success most
/// commands reply with an empty text, the others with a known sentence.
fn is_accepted(command: &Command, text: &str) -> bool {
    let text = text.trim();
    match command {
        Command::AddServer { .. } => text.starts_with("New server registered"),
        Command::DelServer(_) => {
            text.starts_with("Server deleted") || text.starts_with("No such server")
        }
        Command::SetAddr(..) => {
            let success_prefixes = [
                "",
                "IP changed",
                "port changed",
                "no need to change",
                "nothing changed",
            ];
            text.is_empty()
                || success_prefixes[1..]
                    .iter()
                    .any(|prefix| text.starts_with(prefix))
        }
        Command::PrepareMap { .. } => text.starts_with("New version created"),
        _ => text.is_empty(),
    }
}
