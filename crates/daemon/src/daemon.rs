//! The loop that feeds the core and carries out what it gives.

use crate::desk::Callers;
use crate::dial::Connection;
use crate::error::DaemonError;
use crate::probe::Prober;
use crate::push::{self, Pushers};
use crate::recorder::{self, Recorder};
use crate::{dns, hosts_file, log};
use pondarch_config::Site;
use pondarch_daemon_core::{Core, Input, Output, micros};
use pondarch_io_util::Clock;
use pondarch_load_report_protocol::ToSender;
use pondarch_replay::RunStart;
use pondarch_transport::{Listener, serve};
use pondarch_weight_solver::Warm;
use pondarch_weight_solver::planner::SOLVE_LIMIT;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};
use tracing::{info, warn};

/// Inputs that wait for the core. When they are this many, whoever brings the next one waits: proxies are read
/// from and operators answered later, and nothing is lost.
const INPUTS_MOST: usize = 4096;
/// How often the edge's memory is counted, and the part by which it must have changed to be told.
const COUNTED_EVERY: Duration = Duration::from_millis(1_000);
const COUNTED_PART: f64 = 0.125;
/// What a connection takes, with its task and buffers, in bytes, roughly.
const CONNECTION_BYTES: u64 = 8 * 1024;
/// How long the answer to an operator waits for what it answers to be written.
const REPLY_WAITS: Duration = Duration::from_millis(250);

#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Seed of this run; absent: drawn from the clock.
    pub seed: Option<u64>,
}

/// Runs a steward until SIGTERM or SIGINT. `text`: its settings, evaluated, for the records.
///
/// Errors: a socket or file of its own cannot be had; nothing has been sent to any proxy then.
pub async fn run(site: Site, text: String, options: Options) -> Result<(), DaemonError> {
    let clock = Clock::start();
    let now = clock.now();
    let seed = options.seed.unwrap_or(micros(now));
    let (inputs, mut queue) = mpsc::channel(INPUTS_MOST);
    let before = recorder::before(&site, now)?;
    // Above that of any run before, whatever the clock says: proxies refuse the orders of an older one.
    let epoch = micros(now).max(before.epoch + 1);
    let process = std::process::id();
    let start = RunStart {
        program: env!("CARGO_PKG_VERSION").into(),
        settings: text,
        seed,
        process,
        incarnation: epoch,
        at_us: micros(now),
        boot: recorder::boot(),
    };
    let held = before.folder;
    let mut recorder = site.records.clone().map(|records| {
        let opens = recorder::opens(held, records.folder.clone());
        Recorder::start(opens, &records, start, clock, inputs.clone())
    });
    let callers = Callers::new(inputs.clone());
    let mut tasks = JoinSet::new();
    for of in &site.runtime_api {
        let listen = |wrong| DaemonError::Listen {
            at: of.listen.clone(),
            wrong,
        };
        let listener = Listener::bind(&of.listen).await.map_err(listen)?;
        tasks.spawn(serve(listener, of.level.into(), callers.clone()));
    }
    let pushes = push::open(&site, inputs.clone(), &mut tasks).await?;
    let names = dns::open(&site, seed, clock, inputs.clone(), &mut tasks).await?;
    tasks.spawn(hosts_file::follow(
        site.hosts_file.clone(),
        site.zones.clone(),
        inputs.clone(),
    ));
    let mut term = signal(SignalKind::terminate()).map_err(DaemonError::Signals)?;
    let mut int = signal(SignalKind::interrupt()).map_err(DaemonError::Signals)?;
    info!(
        name = site.name,
        seed,
        proxies = site.proxies.len(),
        "steward started"
    );
    let prober = site
        .probes
        .clone()
        .map(|probes| Prober::new(probes, inputs.clone()));
    let mut edge = Edge {
        connections: BTreeMap::new(),
        prober,
        probes: JoinSet::new(),
        warm: Arc::default(),
        solving: JoinSet::new(),
        callers,
        inputs,
        site,
        replies: JoinSet::new(),
        pushes,
        awaits: None,
        written: recorder.as_ref().map(Recorder::written),
    };
    let (mut counted, mut counted_at) = ((0, 0, 0), now);
    let mut core = Core::new(&edge.site, seed, process, epoch, now);
    let mut next = Some(before.known.map_or(Input::TimerExpired, |known| {
        Input::Recovered(Box::new(known))
    }));
    loop {
        let input = match next.take() {
            Some(input) => input,
            None => {
                let wake = Instant::from_std(clock.instant(core.wake_at()));
                tokio::select! {
                    biased;
                    _ = term.recv() => break,
                    _ = int.recv() => break,
                    Some(input) = queue.recv() => input,
                    () = sleep_until(wake) => Input::TimerExpired,
                }
            }
        };
        let now = clock.now();
        let taken = recorder
            .as_mut()
            .map(|recorder| recorder.input(now, &input));
        // An operator is told that something is done once it would survive.
        edge.awaits = taken
            .filter(|_| matches!(input, Input::Command { .. }) && input.changes_recovered_state());
        core.handle(now, input);
        let mut decisions = Vec::new();
        while let Some(output) = core.next_output() {
            if taken.is_some() {
                decisions.push(output.clone());
            }
            match (&output, &names) {
                (Output::DnsViewChanged { .. }, Some(names)) => names.set(core.view()),
                (Output::NotifySecondary { secondary }, Some(names)) => {
                    names.say_changed(*secondary)
                }
                _ => edge.carry_out(output),
            }
        }
        if now >= counted_at {
            counted_at = now + COUNTED_EVERY;
            next = edge.memory(&mut counted, recorder.as_ref());
        }
        if let Some(recorder) = &mut recorder {
            recorder.decided(decisions);
            if recorder.wants_snapshot(now) {
                recorder.snapshot(now, core.state_to_recover());
            }
        }
        // What came meanwhile is taken before the clock, or a busy steward would hear nothing but ticks.
        if next.is_none() {
            next = queue.try_recv().ok();
        }
    }
    info!("steward stops; proxies keep their tables");
    tasks.shutdown().await;
    if let Some(recorder) = recorder {
        recorder.end(clock.now(), core.state_to_recover()).await;
    }
    Ok(())
}

struct Edge {
    connections: BTreeMap<u16, (u64, Connection)>,
    prober: Option<Prober>,
    /// Probes under way; they end with the daemon.
    probes: JoinSet<()>,
    /// The last plan, which the next one starts from; and the solve under way, which ends by its own limit.
    warm: Arc<Mutex<Warm>>,
    solving: JoinSet<()>,
    callers: Callers,
    inputs: mpsc::Sender<Input>,
    site: Site,
    replies: JoinSet<()>,
    pushes: Option<Pushers>,
    /// Up to which input the records are written; none: nothing is recorded.
    written: Option<watch::Receiver<u64>>,
    /// The input that an answer to an operator waits for.
    awaits: Option<u64>,
}

impl Edge {
    /// What the edge takes, if that has changed enough to be told.
    fn memory(&self, told: &mut (u64, u64, u64), recorder: Option<&Recorder>) -> Option<Input> {
        let waiting = self
            .connections
            .values()
            .map(|(_, connection)| connection.waiting())
            .sum();
        let records = recorder.map_or(0, Recorder::waiting);
        let (senders, capped) = self.pushes.as_ref().map_or((0, 0), Pushers::counts);
        let connections = (self.connections.len() as u64 + senders) * CONNECTION_BYTES;
        let now = (waiting, records, connections);
        let off =
            |now: u64, then: u64| now.abs_diff(then) as f64 > then as f64 * COUNTED_PART + 4_096.0;
        if capped == 0 && !off(now.0, told.0) && !off(now.1, told.1) && !off(now.2, told.2) {
            return None;
        }
        *told = now;
        Some(Input::MemoryUsage {
            queued_bytes: waiting,
            event_log_bytes: records,
            connection_bytes: connections,
            rejected_connections: capped,
        })
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Dial {
                proxy,
                connection: conn,
            } => {
                let (of, limit) = (
                    &self.site.proxies[proxy as usize],
                    self.site.links.dial_limit.std(),
                );
                // Those without a runtime API are never dialled.
                let Some(to) = of.runtime.clone() else { return };
                let connection = Connection::dial(proxy, conn, to, limit, self.inputs.clone());
                self.connections.insert(proxy, (conn, connection));
            }
            Output::Write {
                proxy,
                connection: conn,
                lines,
            } => {
                let written = match self.connections.get(&proxy) {
                    Some((held, connection)) if *held == conn => connection.write(lines),
                    _ => true,
                };
                if !written {
                    // It reads nothing: the core's answer limit hangs it up; what was not written is sent anew then.
                    warn!(
                        proxy = self.site.proxies[proxy as usize].name,
                        "connection's queue is full"
                    );
                }
            }
            Output::HangUp {
                proxy,
                connection: conn,
            } => {
                if self
                    .connections
                    .get(&proxy)
                    .is_some_and(|(held, _)| *held == conn)
                {
                    self.connections.remove(&proxy);
                }
            }
            Output::CheckHealth {
                host,
                address: addr,
                for_load,
            } => {
                while self.probes.try_join_next().is_some() {}
                if let Some(prober) = self.prober.clone() {
                    self.probes.spawn(prober.ask(host, addr, for_load));
                }
            }
            Output::Solve { number, fleet } => {
                // One at a time: the core asks for the next when this one is answered or given up.
                while self.solving.try_join_next().is_some() {}
                let (inputs, warm) = (self.inputs.clone(), self.warm.clone());
                self.solving.spawn_blocking(move || {
                    let mut warm = warm.lock().unwrap_or_else(PoisonError::into_inner);
                    let answer = warm
                        .solve(&fleet, SOLVE_LIMIT)
                        .map_err(|wrong| wrong.to_string());
                    // The daemon may have ended meanwhile.
                    inputs
                        .blocking_send(Input::Solved {
                            number,
                            plan: answer.map(|(plan, _)| plan),
                        })
                        .ok();
                });
            }
            Output::GrantCredit {
                connection: conn,
                reports: more,
                at_us,
            } => {
                if let Some(pushes) = &self.pushes {
                    pushes.say(conn, ToSender::Credit { more, at_us });
                }
            }
            Output::RejectSender {
                connection: conn,
                reason: why,
            } => {
                if let Some(pushes) = &self.pushes {
                    pushes.say(conn, ToSender::Refused { why });
                }
            }
            // For the records.
            Output::LoadReportsApplied { .. } => {}
            // Only with a DNS front, which the loop tells.
            Output::DnsViewChanged { .. } | Output::NotifySecondary { .. } => {}
            Output::Reply { caller, text } => match (self.awaits, self.written.clone()) {
                (Some(n), Some(mut written)) => {
                    let callers = self.callers.clone();
                    while self.replies.try_join_next().is_some() {}
                    self.replies.spawn(async move {
                        // A disk that is slow makes nobody wait longer than this.
                        timeout(REPLY_WAITS, written.wait_for(|up_to| *up_to >= n))
                            .await
                            .ok();
                        callers.reply(caller, text);
                    });
                }
                _ => self.callers.reply(caller, text),
            },
            Output::Event(event) => log::event(&event),
        }
    }
}
