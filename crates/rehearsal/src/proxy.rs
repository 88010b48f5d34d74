//! A stand-in front proxy: holds tables as the runtime API sets them, picks at random by weight, tries again only
//! as told. Faults of its runtime socket can be asked for.

use crate::facts::{Fact, Facts, How};
use crate::host::NEVER_RAN;
use futures_util::{SinkExt, StreamExt};
use http_body_util::Empty;
use hyper::Request;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use pondarch_proxy_rules::holding::{Holding, Server};
use pondarch_runtime_api::codec::framed_answer;
use pondarch_runtime_api::{AdminState, Command, ServerCodec, ServerFrame, command};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::{UnixListener, UnixStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Failed tries of its own in a row after which a proxy keeps away from a host, and for how long.
const FAILS_TO_SHUN: u32 = 3;
const SHUN_FOR: Duration = Duration::from_secs(3);

/// What goes wrong on a proxy's runtime socket; each is used up by the next orders.
#[derive(Debug, Default)]
pub struct Faults {
    /// Breaks the connection after so many commands of the next orders; 0: no.
    pub cut_after: AtomicUsize,
    /// Carries the next orders out twice, as if they had been delivered twice.
    pub twice: AtomicBool,
    /// Reads nothing from now on.
    pub stalls: AtomicBool,
    /// How many faults were used up.
    pub used: AtomicUsize,
}

/// A req of a client.
#[derive(Clone, Debug)]
pub struct Req {
    pub id: u64,
    pub kind: String,
    pub work: Duration,
    pub client_timeout: Duration,
}

struct State {
    tables: Holding,
    shunned: BTreeMap<String, (u32, Option<Instant>)>,
    chance: fastrand::Rng,
}

struct Inner {
    name: String,
    state: Mutex<State>,
    faults: Faults,
    client: Client<HttpConnector, Empty<Bytes>>,
    facts: Facts,
}

/// A running proxy. Dropping it ends its runtime socket.
pub struct Proxy {
    inner: Arc<Inner>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts with a standing table of these hosts for all kinds.
    pub fn start(
        name: &str,
        process: u64,
        socket: PathBuf,
        kinds: &[&str],
        standing: &[(String, SocketAddr)],
        seed: u64,
        facts: Facts,
    ) -> std::io::Result<Proxy> {
        let mut tables = Holding::new(name, process, kinds);
        for backend in tables.backends.values_mut() {
            let server = |(host, addr): &(String, SocketAddr)| {
                (host.clone(), Server::new(*addr, 100, AdminState::Ready))
            };
            backend.servers = standing.iter().map(server).collect();
        }
        let mut http = HttpConnector::new();
        http.set_connect_timeout(Some(Duration::from_millis(250)));
        http.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(15))
            .retry_canceled_requests(false)
            .build(http);
        let state = State { tables, shunned: BTreeMap::new(), chance: fastrand::Rng::with_seed(seed) };
        let inner = Arc::new(Inner {
            name: name.to_string(),
            state: Mutex::new(state),
            faults: Faults::default(),
            client,
            facts,
        });
        std::fs::remove_file(&socket).ok();
        let listener = UnixListener::bind(&socket)?;
        inner.note_lines(kinds.iter().map(|kind| kind.to_string()));
        let task = tokio::spawn(accept(listener, inner.clone()));
        Ok(Proxy { inner, task })
    }

    pub fn faults(&self) -> &Faults {
        &self.inner.faults
    }

    pub fn tables(&self) -> Holding {
        self.inner.state().tables.clone()
    }

    pub fn name(&self) -> &str {
        &self.inner.name
    }

    /// A handle that serves reqs as long as anybody holds it.
    pub fn handle(&self) -> Handle {
        Handle(self.inner.clone())
    }
}

/// A proxy as its clients have it.
#[derive(Clone)]
pub struct Handle(Arc<Inner>);

impl Handle {
    /// Serves one req to its end.
    pub async fn serve(&self, req: Req) -> How {
        self.0.serve(req).await
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: UnixListener, inner: Arc<Inner>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Ok((stream, _)) = listener.accept() => {
                connections.spawn(talk(stream, inner.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// One connection of a steward, to its end.
async fn talk(stream: UnixStream, inner: Arc<Inner>) {
    let mut wire = Framed::new(stream, ServerCodec::default());
    let mut ordered = false;
    while let Some(Ok(ServerFrame::Line(line))) = wire.next().await {
        if inner.faults.stalls.load(Relaxed) {
            std::future::pending::<()>().await;
        }
        // An operator who only looks is no steward.
        let commands: Vec<Command> = command::parse_line(&line).into_iter().flatten().collect();
        if !ordered && commands.iter().any(|c| matches!(c, Command::Prompt(_))) {
            ordered = true;
            inner.facts.note(Fact::Link { proxy: inner.name.clone(), up: true });
        }
        let answers = inner.line(&line, &commands);
        let cut = answers.is_none();
        for answer in answers.unwrap_or_default() {
            if wire.feed(framed_answer(&answer)).await.is_err() {
                break;
            }
        }
        if cut || wire.flush().await.is_err() {
            break;
        }
    }
    if ordered {
        inner.facts.note(Fact::Link { proxy: inner.name.clone(), up: false });
    }
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Carries a line out; `None`: the connection breaks here.
    fn line(&self, line: &str, commands: &[Command]) -> Option<Vec<String>> {
        let orders = commands.iter().filter(|command| Holding::is_order(command)).count();
        if orders == 0 {
            return Some(self.state().tables.line(line));
        }
        self.facts.note(Fact::Message { proxy: self.name.clone(), commands: commands.len() });
        let cut = self.faults.cut_after.load(Relaxed);
        if cut > 0 && cut < commands.len() {
            self.faults.cut_after.store(0, Relaxed);
            self.faults.used.fetch_add(1, Relaxed);
            for command in &commands[..cut] {
                self.carry_out(command);
            }
            return None;
        }
        let twice = self.faults.twice.swap(false, Relaxed);
        let answers = commands.iter().map(|command| self.carry_out(command)).collect();
        if twice {
            self.faults.used.fetch_add(1, Relaxed);
            commands.iter().for_each(|command| drop(self.carry_out(command)));
        }
        Some(answers)
    }

    /// One command; what may be picked after it is noted, as the next one may never come.
    fn carry_out(&self, command: &Command) -> String {
        let answer = self.state().tables.command(command.clone());
        let backend = match command {
            Command::SetWeight(s, _) | Command::SetState(s, _) | Command::SetAddr(s, ..) => Some(&s.backend),
            Command::AddServer { server, .. } => Some(&server.backend),
            _ => None,
        };
        self.note_lines(backend.cloned().into_iter());
        answer
    }

    fn note_lines(&self, kinds: impl Iterator<Item = String>) {
        for kind in kinds {
            let state = self.state();
            let Some(backend) = state.tables.backends.get(&kind) else { continue };
            let serving = backend.servers.iter().filter(|(_, server)| server.serves());
            let lines = serving.map(|(name, server)| (name.clone(), server.weight)).collect();
            drop(state);
            self.facts.note(Fact::Lines { proxy: self.name.clone(), kind, lines });
        }
    }

    async fn serve(&self, req: Req) -> How {
        let asked = Instant::now();
        let (let_in, tries) = {
            let mut state = self.state();
            let State { tables, chance, .. } = &mut *state;
            let level = tables.entry("pond_levels", &req.kind).and_then(|level| level.parse().ok());
            let let_in = chance.f64() * 100.0 < level.unwrap_or(100.0);
            let tries = tables.entry("pond_tries", &req.kind).unwrap_or("never").to_string();
            if let Some(backend) = tables.backends.get_mut(&req.kind) {
                backend.reqs += 1;
                backend.denied += u64::from(!let_in);
            }
            (let_in, tries)
        };
        if !let_in {
            return How::Denied;
        }
        let mut tried: Vec<String> = Vec::new();
        loop {
            let left = req.client_timeout.saturating_sub(asked.elapsed());
            let Some((host, addr)) = self.pick(&req.kind, &tried).filter(|_| !left.is_zero()) else {
                return if tried.is_empty() { How::Denied } else { How::Errored };
            };
            match self.send(&req, &host, addr, left).await {
                Outcome::Good => return How::Done,
                outcome => {
                    tried.push(host);
                    let again = match tries.as_str() {
                        "unsent" => outcome == Outcome::NeverRan && tried.len() < 2,
                        "failure" => tried.len() < 2,
                        "failure-twice" => tried.len() < 3,
                        _ => false,
                    };
                    if !again {
                        return How::Errored;
                    }
                }
            }
        }
    }

    fn pick(&self, kind: &str, tried: &[String]) -> Option<(String, SocketAddr)> {
        let mut state = self.state();
        let State { tables, shunned, chance } = &mut *state;
        let servers = &tables.backends.get(kind)?.servers;
        let serving = || servers.iter().filter(|(name, s)| s.serves() && !tried.contains(name));
        let now = Instant::now();
        let kept = |name: &String| !matches!(shunned.get(name), Some((_, Some(until))) if *until > now);
        let mut open: Vec<(&String, &Server)> = serving().filter(|(name, _)| kept(name)).collect();
        if open.is_empty() {
            open = serving().collect();
        }
        let total: u64 = open.iter().map(|(_, server)| u64::from(server.weight)).sum();
        let mut at = if total > 0 { chance.u64(0..total) } else { return None };
        let found = open.into_iter().find(|(_, server)| {
            let here = at < u64::from(server.weight);
            at = at.saturating_sub(u64::from(server.weight));
            here
        });
        found.map(|(name, server)| (name.clone(), server.addr))
    }

    async fn send(&self, req: &Req, host: &str, addr: SocketAddr, left: Duration) -> Outcome {
        self.count(&req.kind, host, |server| {
            server.current += 1;
            server.total += 1;
        });
        let (proxy, kind) = (self.name.clone(), req.kind.clone());
        self.facts.note(Fact::Try { proxy, kind, host: host.to_string(), req: req.id });
        let began = Instant::now();
        let built = Request::get(format!("http://{addr}/work"))
            .header("x-req", req.id)
            .header("x-kind", &req.kind)
            .header("x-work-us", req.work.as_micros().to_string())
            .body(Empty::new());
        let outcome = match built {
            Err(_) => Outcome::NeverRan,
            Ok(built) => match timeout(left, self.client.request(built)).await {
                Err(_) => Outcome::MayHaveRun,
                Ok(Err(wrong)) if wrong.is_connect() => Outcome::NeverRan,
                Ok(Err(_)) => Outcome::MayHaveRun,
                Ok(Ok(answer)) if answer.status().is_success() => Outcome::Good,
                Ok(Ok(answer)) if answer.headers().contains_key(NEVER_RAN) => Outcome::NeverRan,
                Ok(Ok(_)) => Outcome::MayHaveRun,
            },
        };
        let took = began.elapsed();
        self.count(&req.kind, host, |server| {
            server.current = server.current.saturating_sub(1);
            if outcome == Outcome::Good {
                server.sums.done += 1;
                server.sums.done_time += took;
            } else {
                server.sums.errored += 1;
            }
        });
        let mut state = self.state();
        let (fails, until) = state.shunned.entry(host.to_string()).or_default();
        *fails = if outcome == Outcome::Good { 0 } else { *fails + 1 };
        if *fails >= FAILS_TO_SHUN {
            (*fails, *until) = (0, Some(Instant::now() + SHUN_FOR));
        }
        outcome
    }

    fn count(&self, kind: &str, host: &str, change: impl FnOnce(&mut Server)) {
        let mut state = self.state();
        let backend = state.tables.backends.get_mut(kind);
        if let Some(server) = backend.and_then(|backend| backend.servers.get_mut(host)) {
            change(server);
        }
    }
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Good,
    /// Proof that it never ran: no connection, or the host's own word.
    NeverRan,
    MayHaveRun,
}
