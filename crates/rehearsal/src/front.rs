//! The project's own proxy in a rehearsal, with a relay before its runtime socket: the relay sees what crosses, keeps
//! a mirror of what the proxy holds, and can break off or double what a steward sends.

use crate::client::Kind;
use crate::facts::{Fact, Facts};
use futures_util::{SinkExt, StreamExt};
use pondarch_config::proxy::{EjectionSettings, Limits, PickStrategy, ProxyRequestClass};
use pondarch_config::site::{Idempotency, Listener, ListenerLevel};
use pondarch_config::{DurationSetting, Endpoint, ProxySettings};
use pondarch_proxy::{ProxyError, RunningProxy, start};
use pondarch_proxy_core::proxy_state::{ProxyState, Server};
use pondarch_runtime_api::codec::framed_reply;
use pondarch_runtime_api::command::parse_line;
use pondarch_runtime_api::{ClientCodec, Command, ServerCodec, ServerFrame, state};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::{UnixListener, UnixStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio_util::codec::Framed;

/// What goes wrong on a proxy's runtime socket; each is used up by the next orders.
#[derive(Debug, Default)]
pub struct Faults {
    /// Breaks the connection after so many commands of the next orders; 0: no.
    pub cut_after: AtomicUsize,
    /// Delivers the next orders twice.
    pub twice: AtomicBool,
    /// How many faults were used up.
    pub used: AtomicUsize,
}

/// A running proxy and its relay. Dropping it ends both.
pub struct Front {
    pub addr: SocketAddr,
    relay: Arc<Relay>,
    task: JoinHandle<()>,
    _running: RunningProxy,
}

struct Relay {
    name: String,
    own: PathBuf,
    faults: Faults,
    mirror: Mutex<ProxyState>,
    facts: Facts,
}

/// What the next answer of the proxy answers.
struct Due {
    command: Option<Command>,
    passed_on: bool,
    then_cut: bool,
}

impl Front {
    /// Starts with a standing table of this list; stewards reach it at `<folder>/<name>.sock`.
    ///
    /// Errors: as the proxy's own start, or the relay's socket cannot be had.
    pub async fn start(
        name: &str,
        zone: &str,
        zones: &[&str],
        kinds: &[Kind],
        hosts_file: &Path,
        seed: u64,
        facts: Facts,
    ) -> Result<Front, ProxyError> {
        let folder = hosts_file.parent().unwrap_or(Path::new("")).to_path_buf();
        let own = folder.join(format!("{name}.own"));
        let site = site(name, zone, zones, kinds, hosts_file, own.clone(), seed);
        let running = start(&site).await?;
        let names: Vec<&str> = kinds.iter().map(|kind| kind.name).collect();
        let mut mirror = ProxyState::new(name, 0, &names);
        let listen = |at: PathBuf| {
            move |error| ProxyError::Listen {
                endpoint: Endpoint::Unix(at),
                error,
            }
        };
        let mut wire = Framed::new(
            UnixStream::connect(&own)
                .await
                .map_err(listen(own.clone()))?,
            ClientCodec::default(),
        );
        wire.send("show servers state".into()).await.ok();
        let held = wire.next().await.and_then(Result::ok).unwrap_or_default();
        for server in state::read_state(&held).unwrap_or_default() {
            if let Some(backend) = mirror.backends.get_mut(&server.backend) {
                backend.servers.insert(
                    server.server,
                    Server::new(server.addr, server.weight, server.state),
                );
            }
        }
        let relay = Relay {
            name: name.into(),
            own,
            faults: Faults::default(),
            mirror: Mutex::new(mirror),
            facts,
        };
        let relay = Arc::new(relay);
        names.iter().for_each(|kind| relay.note_lines(kind));
        let socket = folder.join(format!("{name}.sock"));
        let listener = UnixListener::bind(&socket).map_err(listen(socket))?;
        let task = tokio::spawn(accept(listener, relay.clone()));
        Ok(Front {
            addr: running.addr,
            relay,
            task,
            _running: running,
        })
    }

    pub fn faults(&self) -> &Faults {
        &self.relay.faults
    }

    /// What the proxy holds, as what crossed its socket made it.
    pub fn mirror(&self) -> MutexGuard<'_, ProxyState> {
        self.relay.mirror()
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn site(
    name: &str,
    zone: &str,
    zones: &[&str],
    kinds: &[Kind],
    hosts_file: &Path,
    own: PathBuf,
    seed: u64,
) -> ProxySettings {
    let length = |span: std::time::Duration| DurationSetting::from_millis(span.as_millis() as u64);
    let kind = |kind: &Kind| ProxyRequestClass {
        name: kind.name.into(),
        path_prefix: Some(format!("/{}", kind.name)),
        host: None,
        header: None,
        latency_objective: length(kind.response_target),
        client_timeout: length(kind.client_timeout),
        priority_weight: kind.benefit,
        idempotency: if kind.replayable {
            Idempotency::Idempotent
        } else {
            Idempotency::NotIdempotent
        },
        deduplication_window: None,
    };
    ProxySettings {
        name: name.into(),
        zone: zone.into(),
        zones: zones.iter().map(ToString::to_string).collect(),
        listen: ([127, 0, 0, 1], 0).into(),
        runtime_api: vec![Listener {
            listen: Endpoint::Unix(own),
            level: ListenerLevel::Admin,
        }],
        request_classes: kinds.iter().map(kind).collect(),
        hosts_file: hosts_file.into(),
        max_static_hosts: 8,
        pick: PickStrategy::WeightedRandom,
        ejection: EjectionSettings {
            min_duration: DurationSetting::from_millis(3_000),
            max_duration: DurationSetting::from_millis(3_000),
            ..EjectionSettings::default()
        },
        retry_ratio: 0.2,
        limits: Limits {
            last_ready_for: DurationSetting::from_millis(1_500),
            ..Limits::default()
        },
        report_endpoints: Vec::new(),
        report_interval: DurationSetting::from_millis(1_000),
        seed: Some(seed),
    }
}

async fn accept(listener: UnixListener, relay: Arc<Relay>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Ok((stream, _)) = listener.accept() => {
                connections.spawn(talk(stream, relay.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// One connection of a steward, to its end.
async fn talk(stream: UnixStream, relay: Arc<Relay>) {
    let Ok(own) = UnixStream::connect(&relay.own).await else {
        return;
    };
    let mut steward = Framed::new(stream, ServerCodec::default());
    let mut proxy = Framed::new(own, ClientCodec::default());
    let mut due: VecDeque<Due> = VecDeque::new();
    let mut joined = false;
    loop {
        let went_well = tokio::select! {
            line = steward.next() => match line {
                Some(Ok(ServerFrame::Line(line))) => {
                    // An operator who only looks is no steward.
                    if !joined && line.starts_with("prompt") {
                        joined = true;
                        relay.facts.note(Fact::Link { proxy: relay.name.clone(), up: true });
                    }
                    let lines = relay.lines(line, &mut due);
                    let mut written = true;
                    for line in lines {
                        written &= proxy.send(line).await.is_ok();
                    }
                    written
                }
                _ => false,
            },
            answer = proxy.next() => match (answer, due.pop_front()) {
                (Some(Ok(text)), Some(asked)) => {
                    relay.answered(&asked, &text);
                    let sent = !asked.passed_on || steward.send(framed_reply(&text)).await.is_ok();
                    sent && !asked.then_cut
                }
                _ => false,
            },
        };
        if !went_well {
            break;
        }
    }
    if joined {
        relay.facts.note(Fact::Link {
            proxy: relay.name.clone(),
            up: false,
        });
    }
}

impl Relay {
    fn mirror(&self) -> MutexGuard<'_, ProxyState> {
        self.mirror.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What is passed on of a line, by the faults in force.
    fn lines(&self, line: String, due: &mut VecDeque<Due>) -> Vec<String> {
        let commands: Vec<Option<Command>> =
            parse_line(&line).into_iter().map(Result::ok).collect();
        let orders = commands.iter().flatten().any(ProxyState::is_update);
        let asked = |command: &Option<Command>, passed_on| Due {
            command: command.clone(),
            passed_on,
            then_cut: false,
        };
        if orders {
            self.facts.note(Fact::Message {
                proxy: self.name.clone(),
                commands: commands.len(),
            });
            let cut = self.faults.cut_after.load(Relaxed);
            if cut > 0 && cut < commands.len() {
                self.faults.cut_after.store(0, Relaxed);
                self.faults.used.fetch_add(1, Relaxed);
                due.extend(commands[..cut].iter().map(|command| Due {
                    passed_on: false,
                    ..asked(command, false)
                }));
                due.back_mut()
                    .into_iter()
                    .for_each(|last| last.then_cut = true);
                let texts: Vec<String> = commands[..cut]
                    .iter()
                    .flatten()
                    .map(Command::to_string)
                    .collect();
                return vec![texts.join("; ")];
            }
        }
        due.extend(commands.iter().map(|command| asked(command, true)));
        if commands.is_empty() {
            due.push_back(Due {
                command: None,
                passed_on: true,
                then_cut: false,
            });
        }
        if orders && self.faults.twice.swap(false, Relaxed) {
            self.faults.used.fetch_add(1, Relaxed);
            due.extend(commands.iter().map(|command| asked(command, false)));
            return vec![line.clone(), line];
        }
        vec![line]
    }

    /// The mirror follows what the proxy says that it did.
    fn answered(&self, asked: &Due, text: &str) {
        let Some(command) = asked
            .command
            .as_ref()
            .filter(|command| ProxyState::is_update(command))
        else {
            return;
        };
        let fine = [
            "New server registered",
            "Server deleted",
            "IP changed",
            "New version",
        ];
        if !text.is_empty() && !fine.iter().any(|start| text.starts_with(start)) {
            return;
        }
        self.mirror().execute(command.clone());
        let changed = self.mirror().take_changed_backends();
        changed.iter().for_each(|kind| self.note_lines(kind));
    }

    fn note_lines(&self, kind: &str) {
        let mirror = self.mirror();
        let Some(backend) = mirror.backends.get(kind) else {
            return;
        };
        let serving = backend
            .servers
            .iter()
            .filter(|(_, server)| server.is_serving());
        let lines = serving
            .map(|(name, server)| (name.clone(), server.weight))
            .collect();
        drop(mirror);
        self.facts.note(Fact::Lines {
            proxy: self.name.clone(),
            kind: kind.to_string(),
            lines,
        });
    }
}
