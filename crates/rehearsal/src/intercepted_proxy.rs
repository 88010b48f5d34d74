//! The project's proxy in a rehearsal, with an interceptor in front of its runtime socket. The interceptor observes the
//! traffic, mirrors the proxy's state, and can cut off or duplicate what a controller sends.

use crate::client::RequestClass;
use crate::observations::{Observation, ObservationLog};
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

/// Faults of a proxy's runtime socket. The next update triggers a fault, which clears it.
#[derive(Debug, Default)]
pub struct SocketFaults {
    /// Breaks the connection after this many commands of the next update; 0 disables the fault.
    pub disconnect_after: AtomicUsize,
    /// Delivers the next update twice.
    pub duplicate_next: AtomicBool,
    /// Number of faults that were triggered.
    pub triggered: AtomicUsize,
}

/// A running proxy and its interceptor. Dropping it stops both.
pub struct InterceptedProxy {
    pub addr: SocketAddr,
    interceptor: Arc<Interceptor>,
    task: JoinHandle<()>,
    _running: RunningProxy,
}

struct Interceptor {
    name: String,
    proxy_socket: PathBuf,
    faults: SocketFaults,
    mirror: Mutex<ProxyState>,
    observations: ObservationLog,
}

/// A command whose reply from the proxy is outstanding.
struct PendingReply {
    command: Option<Command>,
    forward: bool,
    then_disconnect: bool,
}

impl InterceptedProxy {
    /// Starts a proxy with an initial table from the endpoint list; controllers connect to `<folder>/<name>.sock`.
    ///
    /// # Errors
    ///
    /// The proxy cannot be started, or the interceptor's socket cannot be opened.
    pub async fn start(
        name: &str,
        zone: &str,
        zones: &[&str],
        classes: &[RequestClass],
        hosts_file: &Path,
        seed: u64,
        observations: ObservationLog,
    ) -> Result<InterceptedProxy, ProxyError> {
        let folder = hosts_file.parent().unwrap_or(Path::new("")).to_path_buf();
        let proxy_socket = folder.join(format!("{name}.own"));
        let settings = proxy_settings(
            name,
            zone,
            zones,
            classes,
            hosts_file,
            proxy_socket.clone(),
            seed,
        );
        let running = start(&settings).await?;
        let names: Vec<&str> = classes.iter().map(|class| class.name).collect();
        let mut mirror = ProxyState::new(name, 0, &names);
        let listen_error = |at: PathBuf| {
            move |error| ProxyError::Listen {
                endpoint: Endpoint::Unix(at),
                error,
            }
        };
        let mut connection = Framed::new(
            UnixStream::connect(&proxy_socket)
                .await
                .map_err(listen_error(proxy_socket.clone()))?,
            ClientCodec::default(),
        );
        connection.send("show servers state".into()).await.ok();
        let reply = connection
            .next()
            .await
            .and_then(Result::ok)
            .unwrap_or_default();
        for server in state::read_state(&reply).unwrap_or_default() {
            if let Some(backend) = mirror.backends.get_mut(&server.backend) {
                backend.servers.insert(
                    server.server,
                    Server::new(server.addr, server.weight, server.state),
                );
            }
        }
        let interceptor = Interceptor {
            name: name.into(),
            proxy_socket,
            faults: SocketFaults::default(),
            mirror: Mutex::new(mirror),
            observations,
        };
        let interceptor = Arc::new(interceptor);
        names
            .iter()
            .for_each(|class| interceptor.record_table(class));
        let socket = folder.join(format!("{name}.sock"));
        let listener = UnixListener::bind(&socket).map_err(listen_error(socket))?;
        let task = tokio::spawn(accept(listener, interceptor.clone()));
        Ok(InterceptedProxy {
            addr: running.addr,
            interceptor,
            task,
            _running: running,
        })
    }

    /// The faults that can be injected into the runtime socket.
    pub fn faults(&self) -> &SocketFaults {
        &self.interceptor.faults
    }

    /// The proxy's state, reconstructed from the traffic on its socket.
    pub fn mirror(&self) -> MutexGuard<'_, ProxyState> {
        self.interceptor.mirror()
    }
}

impl Drop for InterceptedProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn proxy_settings(
    name: &str,
    zone: &str,
    zones: &[&str],
    classes: &[RequestClass],
    hosts_file: &Path,
    proxy_socket: PathBuf,
    seed: u64,
) -> ProxySettings {
    let length =
        |duration: std::time::Duration| DurationSetting::from_millis(duration.as_millis() as u64);
    let class_settings = |class: &RequestClass| ProxyRequestClass {
        name: class.name.into(),
        path_prefix: Some(format!("/{}", class.name)),
        host: None,
        header: None,
        latency_objective: length(class.latency_objective),
        client_timeout: length(class.client_timeout),
        priority_weight: class.priority_weight,
        idempotency: if class.replayable {
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
            listen: Endpoint::Unix(proxy_socket),
            level: ListenerLevel::Admin,
        }],
        request_classes: classes.iter().map(class_settings).collect(),
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

async fn accept(listener: UnixListener, interceptor: Arc<Interceptor>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Ok((stream, _)) = listener.accept() => {
                connections.spawn(forward_connection(stream, interceptor.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Forwards one connection of a controller until it ends.
async fn forward_connection(stream: UnixStream, interceptor: Arc<Interceptor>) {
    let Ok(proxy_stream) = UnixStream::connect(&interceptor.proxy_socket).await else {
        return;
    };
    let mut controller = Framed::new(stream, ServerCodec::default());
    let mut proxy = Framed::new(proxy_stream, ClientCodec::default());
    let mut pending: VecDeque<PendingReply> = VecDeque::new();
    let mut joined = false;
    loop {
        let keep_open = tokio::select! {
            line = controller.next() => match line {
                Some(Ok(ServerFrame::Line(line))) => {
                    // Controllers start with `prompt`; an operator who only reads is not counted as connected.
                    if !joined && line.starts_with("prompt") {
                        joined = true;
                        interceptor.observations.record(Observation::ControllerConnection {
                            proxy: interceptor.name.clone(),
                            connected: true,
                        });
                    }
                    let lines = interceptor.lines_to_forward(line, &mut pending);
                    let mut written = true;
                    for line in lines {
                        written &= proxy.send(line).await.is_ok();
                    }
                    written
                }
                _ => false,
            },
            reply = proxy.next() => match (reply, pending.pop_front()) {
                (Some(Ok(text)), Some(request)) => {
                    interceptor.apply_reply(&request, &text);
                    let sent = !request.forward || controller.send(framed_reply(&text)).await.is_ok();
                    sent && !request.then_disconnect
                }
                _ => false,
            },
        };
        if !keep_open {
            break;
        }
    }
    if joined {
        interceptor
            .observations
            .record(Observation::ControllerConnection {
                proxy: interceptor.name.clone(),
                connected: false,
            });
    }
}

impl Interceptor {
    fn mirror(&self) -> MutexGuard<'_, ProxyState> {
        self.mirror.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the lines to send to the proxy in place of this one, according to the active faults.
    fn lines_to_forward(&self, line: String, pending: &mut VecDeque<PendingReply>) -> Vec<String> {
        let commands: Vec<Option<Command>> =
            parse_line(&line).into_iter().map(Result::ok).collect();
        let is_update = commands.iter().flatten().any(ProxyState::is_update);
        let pending_reply = |command: &Option<Command>, forward| PendingReply {
            command: command.clone(),
            forward,
            then_disconnect: false,
        };
        if is_update {
            self.observations.record(Observation::UpdateMessage {
                proxy: self.name.clone(),
                commands: commands.len(),
            });
            let disconnect_after = self.faults.disconnect_after.load(Relaxed);
            if disconnect_after > 0 && disconnect_after < commands.len() {
                self.faults.disconnect_after.store(0, Relaxed);
                self.faults.triggered.fetch_add(1, Relaxed);
                pending.extend(
                    commands[..disconnect_after]
                        .iter()
                        .map(|command| PendingReply {
                            forward: false,
                            ..pending_reply(command, false)
                        }),
                );
                pending
                    .back_mut()
                    .into_iter()
                    .for_each(|last| last.then_disconnect = true);
                let texts: Vec<String> = commands[..disconnect_after]
                    .iter()
                    .flatten()
                    .map(Command::to_string)
                    .collect();
                return vec![texts.join("; ")];
            }
        }
        pending.extend(commands.iter().map(|command| pending_reply(command, true)));
        if commands.is_empty() {
            pending.push_back(PendingReply {
                command: None,
                forward: true,
                then_disconnect: false,
            });
        }
        if is_update && self.faults.duplicate_next.swap(false, Relaxed) {
            self.faults.triggered.fetch_add(1, Relaxed);
            pending.extend(commands.iter().map(|command| pending_reply(command, false)));
            return vec![line.clone(), line];
        }
        vec![line]
    }

    /// Applies a command to the mirror if the proxy's reply says that it was executed.
    fn apply_reply(&self, request: &PendingReply, text: &str) {
        let Some(command) = request
            .command
            .as_ref()
            .filter(|command| ProxyState::is_update(command))
        else {
            return;
        };
        let success_prefixes = [
            "New server registered",
            "Server deleted",
            "IP changed",
            "New version",
        ];
        if !text.is_empty()
            && !success_prefixes
                .iter()
                .any(|prefix| text.starts_with(prefix))
        {
            return;
        }
        self.mirror().execute(command.clone());
        let changed = self.mirror().take_changed_backends();
        changed.iter().for_each(|class| self.record_table(class));
    }

    fn record_table(&self, class: &str) {
        let mirror = self.mirror();
        let Some(backend) = mirror.backends.get(class) else {
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
        self.observations.record(Observation::TableChanged {
            proxy: self.name.clone(),
            class: class.to_string(),
            lines,
        });
    }
}
