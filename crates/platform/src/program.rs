//! The loop that feeds the core and carries out what it gives.

use crate::clients::Clients;
use crate::log::Lines;
use crate::parties::Parties;
use crate::probes::Probes;
use crate::word::{Down, Told, Word};
use pondarch_controller::DurationExt;
use pondarch_controller::{HostId, UpdateQueueStatus};
use pondarch_io_util::Clock;
use pondarch_platform_core::{CallEnd, Core, Input, Output, Tally};
use pondarch_platform_protocol::config::{self, Around, Config, ConfigError, Env};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};
use tracing::{info, warn};

/// Words that wait for the program; whoever brings one more waits, and is read from later.
const WORDS_MOST: usize = 512;
/// Clients' connections at once, at most, and never over half of the descriptors: the rest is for the steward's own.
const CLIENTS_MOST: usize = 512;
/// Connections that wait to be accepted; the system may hold fewer.
const BACKLOG: u32 = 4_096;
/// Between two tries to read a configuration that could not be read.
const AGAIN: Duration = Duration::from_millis(100);
const TALLY_EVERY: Duration = Duration::from_secs(2);
/// After connections could not be accepted: out of descriptors, say.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Part of the lines that may wait in the channel from which a full queue is announced in the log.
const CHANNEL_NEARLY_FULL: f64 = 0.75;

#[derive(Debug, Error)]
pub enum PlatformError {
    #[error("RELAY_CONFIG is not set")]
    NoConfig,
    #[error("{0}: {1}")]
    Read(PathBuf, std::io::Error),
    #[error("{0}: {1}")]
    Config(PathBuf, ConfigError),
    #[error("cannot listen at {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    #[error("cannot follow signals: {0}")]
    Signals(std::io::Error),
}

/// Runs a steward as the platform's variables say, until SIGTERM or SIGINT.
pub async fn run() -> Result<(), PlatformError> {
    let var = |name| std::env::var(name).ok().filter(|value| !value.is_empty());
    let env = Env {
        name: var("RELAY_NAME"),
        listen: var("RELAY_LISTEN"),
        discovery: var("RELAY_DISCOVERY"),
    };
    let path = PathBuf::from(var("RELAY_CONFIG").ok_or(PlatformError::NoConfig)?);
    // Followed before anything is read: a SIGHUP while the file was being read ended the steward, or was not heard.
    let mut stop = signal(SignalKind::terminate()).map_err(PlatformError::Signals)?;
    let mut stop_too = signal(SignalKind::interrupt()).map_err(PlatformError::Signals)?;
    let mut moved = signal(SignalKind::hangup()).map_err(PlatformError::Signals)?;
    let text = std::fs::read(&path).map_err(|wrong| PlatformError::Read(path.clone(), wrong))?;
    let config =
        config::read(&text, &env).map_err(|wrong| PlatformError::Config(path.clone(), wrong))?;
    drop(text);
    let listen = |wrong| PlatformError::Listen(config.listen, wrong);
    let listener = listen_at(config.listen).map_err(listen)?;
    let mut steward = Program::start(config);
    let mut read_again: Option<Instant> = None;
    let mut told_of_config = false;
    let mut tally_at = Instant::now() + TALLY_EVERY;
    let mut paused_until = Instant::now();
    loop {
        steward.carry_out();
        let accept_from = steward
            .clients
            .room_from()
            .map_or(paused_until, |room| room.max(paused_until));
        let wake = steward
            .core
            .wake_at()
            .map(|at| Instant::from_std(steward.clock.instant(at)));
        // In no order of rank: while collectors bring reports faster than they can be read, words are always there, and
        // whoever asked for a sign of life, or a new configuration, waited until the flood was over.
        tokio::select! {
            _ = stop.recv() => break,
            _ = stop_too.recv() => break,
            _ = moved.recv() => (read_again, told_of_config) = (Some(Instant::now()), false),
            Some(told) = steward.words.recv() => steward.told(told),
            () = at(wake) => steward.core.handle(steward.clock.now(), Input::Clock),
            () = at(read_again) => {
                let read = std::fs::read(&path).map_err(|wrong| wrong.to_string());
                let around = read.and_then(|text| config::read_around(&text, &env).map_err(|e| e.to_string()));
                match around {
                    Ok(around) => {
                        info!(discovery = %around.discovery, relay = %around.relay, "configuration read again");
                        steward.moved(around);
                        read_again = None;
                    }
                    Err(wrong) => {
                        if !std::mem::replace(&mut told_of_config, true) {
                            warn!(path = %path.display(), wrong, "configuration cannot be read, the last one holds");
                        }
                        read_again = Some(Instant::now() + AGAIN);
                    }
                }
            }
            () = sleep_until(tally_at) => {
                steward.tell_tally();
                tally_at = Instant::now() + TALLY_EVERY;
            }
            accepted = listener.accept(), if Instant::now() >= accept_from => match accepted {
                Ok((stream, _)) => {
                    steward.clients.accept(stream);
                    // Many that come at once do not keep those from being read that came before.
                    yield_now().await;
                }
                Err(wrong) => {
                    steward.say(|| warn!(%wrong, "a connection was not accepted"));
                    paused_until = Instant::now() + ACCEPT_PAUSE;
                }
            },
            () = sleep_until(accept_from), if Instant::now() < accept_from => {}
        }
    }
    steward.tell_tally();
    info!("ends");
    Ok(())
}

/// The usual 128 places for those who wait to be accepted are full at a rush of strangers, and who finds no place
/// tries again after a second: so would a collector.
fn listen_at(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if at.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    // After a kill the address can be had again at once.
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

async fn at(when: Option<Instant>) {
    match when {
        Some(when) => sleep_until(when).await,
        None => std::future::pending().await,
    }
}

struct Program {
    clock: Clock,
    core: Core,
    parties: Parties,
    probes: Probes,
    clients: Clients,
    words: mpsc::Receiver<Told>,
    lines: Lines,
    tally: Tally,
    /// Since calls could be made last, and at first.
    calls_lost: bool,
    channel_nearly_full: bool,
}

impl Program {
    fn start(config: Config) -> Program {
        let clock = Clock::start();
        let (say, words) = mpsc::channel(WORDS_MOST);
        let version = config.known.as_ref().map(|known| known.generation);
        let around = config.around;
        let clients = (config.sockets / 2).min(CLIENTS_MOST);
        info!(name = config.name, listen = %config.listen, discovery = %around.discovery, relay = %around.relay,
            hosts = config.known.as_ref().map_or(0, |known| known.entries.len()), clients, "starts");
        Program {
            core: Core::open(config, clock.now()),
            parties: Parties::start(around, version, say.clone()),
            probes: Probes::new(say.clone()),
            clients: Clients::new(clients, say),
            clock,
            words,
            lines: Lines::new(),
            tally: Tally::default(),
            calls_lost: true,
            channel_nearly_full: false,
        }
    }

    fn moved(&mut self, around: Around) {
        self.parties.moved(around);
        // What served may not be among the parties any more.
        self.core.handle(
            self.clock.now(),
            Input::Relay {
                up: self.parties.can_call(),
            },
        );
    }

    fn carry_out(&mut self) {
        while let Some(output) = self.core.next_output(self.clock.now()) {
            match output {
                Output::Call { call, line } => {
                    if let Err((call, _)) = self.parties.call((call, line)) {
                        let ended = Input::CallEnded {
                            call,
                            end: CallEnd::Refused,
                        };
                        self.core.handle(self.clock.now(), ended);
                    }
                }
                Output::Probe { host, at } => self.probes.ask(host, at),
            }
        }
    }

    fn told(&mut self, (age, word): Told) {
        if !self.parties.counts(age, &word) {
            return;
        }
        let now = self.clock.now();
        match word {
            Word::Listed(listed) => self.core.handle(now, Input::Listed(listed)),
            Word::ListLost(why) => {
                self.say(|| warn!(why, "discovery lost"));
                self.core.handle(now, Input::ListFailed);
            }
            Word::NewsBegan => {
                self.say(|| info!("news begin"));
                self.core.handle(now, Input::NewsBegan);
            }
            Word::News(news) => self.core.handle(now, Input::News(news)),
            Word::NewsLost(why) => self.say(|| warn!(why, "news lost")),
            Word::CallsUp | Word::CallsDown(_) => {
                if let Word::CallsDown(Down::Lost(why)) = &word {
                    self.say(|| warn!(why, "calls lost"));
                    self.calls_lost = true;
                }
                let up = self.parties.can_call();
                // A connection that is renewed as it stood idle is no news.
                if up && std::mem::take(&mut self.calls_lost) {
                    self.say(|| info!("calls can be made"));
                }
                self.core.handle(now, Input::Relay { up });
            }
            Word::CallEnded { call, end, why } => {
                if !why.is_empty() {
                    self.say(|| warn!(call, why, "call not taken"));
                }
                self.core.handle(now, Input::CallEnded { call, end });
            }
            Word::Probed { host, good, load } => {
                self.core.handle(now, Input::Probed { host, good, load })
            }
            Word::Collector { client, site } => {
                let zone = self.core.knows_zone(&site);
                if zone.is_some() {
                    self.say(|| info!(site, client, "collector"));
                }
                self.clients.joins(client, zone);
            }
            Word::Said(message) => self.core.handle(now, Input::Said(message)),
            Word::Spoilt(why) => self.core.handle(now, Input::Spoilt(why)),
            Word::ClientGone { client, why } => {
                self.clients.end(client, why);
            }
        }
    }

    fn say(&mut self, line: impl FnOnce()) {
        if self.lines.room() {
            line();
        }
    }

    fn tell_tally(&mut self) {
        let glance = self.core.glance();
        let ids = |hosts: &[HostId]| {
            hosts
                .iter()
                .map(|host| host.0.to_string())
                .collect::<Vec<_>>()
                .join(",")
        };
        info!(
                    open = glance.ready_hosts,
                    kept_out = ids(&glance.ejected),
                    on_trial = ids(&glance.on_probation),
                    eased = ids(&glance.weight_reduced),
                    errored = glance
                        .failing
                        .iter()
                        .map(|failing| {
         let (share, attempts) = (failing.failure_ratio, failing.attempts);
         format!("{}:{share:.2}of{attempts:.1}", failing.host.0)
        })
                        .collect::<Vec<_>>()
                        .join(","),
                    levels = ?glance.admitted_fractions,
                    strain = format!("{:.2}", glance.overload),
                    load = format!("{:.2}", glance.median_load),
                    lag_ms = glance.report_delay.micros() / 1_000,
                    demand = format!("{:.1}", glance.demand),
                    flow = format!("{:.1} of {:.1}", glance.throughput.successes, glance.throughput.attempts),
                    "believes"
                );
        self.tell_channel(&glance.update_queue);
        let tally = self.core.tally();
        if *tally != self.tally {
            let ended = &self.clients.ended;
            info!(
                members = self.core.joined(),
                clients = self.clients.open(),
                ?ended,
                ?tally,
                "so far"
            );
            self.tally = tally.clone();
        }
    }

    /// Says what is known of the channel to the proxies, and when it begins or ceases to be nearly full.
    fn tell_channel(&mut self, channel: &UpdateQueueStatus) {
        let waiting = channel.unconfirmed.unwrap_or(channel.queued_at_stated_rate);
        let nearly_full = waiting > channel.line_limit * CHANNEL_NEARLY_FULL;
        if nearly_full != std::mem::replace(&mut self.channel_nearly_full, nearly_full) {
            warn!(
                nearly_full,
                waiting,
                limit = channel.line_limit,
                "channel queue"
            );
        }
        info!(
            line_limit = channel.line_limit,
            at_stated_rate = channel.queued_at_stated_rate.round(),
            at_slow_rate = channel.queued_at_slow_rate.round(),
            unconfirmed = channel.unconfirmed.map(f64::round),
            delay_ms = channel.last_ack_delay.micros() / 1_000,
            marks_answered = channel.acks_received,
            sent_for = ?channel.sent_for,
            held_back_for = ?channel.held_back_for,
            "channel"
        );
    }
}
