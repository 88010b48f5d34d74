//! Start-up, the event loop and shutdown.

use crate::clients::Clients;
use crate::configuration::{ConfigFile, Reload};
use crate::error::PlatformError;
use crate::events::TaskEvent;
use crate::health_checks::HealthChecks;
use crate::listener::listen;
use crate::log_limit::LogLimit;
use crate::signals::Signals;
use crate::status_log::StatusLog;
use crate::upstreams::Upstreams;
use pondarch_io_util::Clock;
use pondarch_platform_core::{Input, PlatformController};
use pondarch_platform_protocol::config::PlatformConfig;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};
use tracing::{info, warn};

/// Capacity of the event queue. While the queue is full, a task that sends an event waits and does not read its
/// connection.
const MAX_WAITING_EVENTS: usize = 512;
/// Maximum number of client connections. At most half of the file descriptors are used for them; the rest is left for
/// the controller's own connections.
const MAX_CLIENTS: usize = 512;
/// Delay after a connection could not be accepted, since the system may be out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
const STATUS_LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Runs a controller, configured by the platform's environment variables, until SIGTERM or SIGINT.
pub async fn run() -> Result<(), PlatformError> {
    let file = ConfigFile::from_environment()?;
    // Signal handlers are registered before the file is read: a SIGHUP while the file was being read ended the program
    // or was lost.
    let signals = Signals::register().map_err(PlatformError::Signals)?;
    let config = file.read()?;
    let listener = listen(config.listen)?;
    Program::start(config, file, listener).run(signals).await;
    Ok(())
}

/// A running controller.
pub(crate) struct Program {
    pub(crate) clock: Clock,
    pub(crate) controller: PlatformController,
    pub(crate) upstreams: Upstreams,
    pub(crate) health_checks: HealthChecks,
    pub(crate) clients: Clients,
    pub(crate) log_limit: LogLimit,
    /// Whether the connection for update calls has failed, or was not established yet, since calls were last possible.
    pub(crate) relay_connection_failed: bool,
    events: mpsc::Receiver<TaskEvent>,
    listener: TcpListener,
    accept_paused_until: Instant,
    reload: Reload,
    status_log: StatusLog,
    status_log_at: Instant,
}

impl Program {
    fn start(config: PlatformConfig, file: ConfigFile, listener: TcpListener) -> Program {
        let clock = Clock::start();
        let (sender, events) = mpsc::channel(MAX_WAITING_EVENTS);
        let max_clients = (config.max_descriptors / 2).min(MAX_CLIENTS);
        log_start(&config, max_clients);
        let generation = config.known_endpoints.as_ref().map(|list| list.generation);
        let upstream_addresses = config.upstreams;
        Program {
            controller: PlatformController::new(config, clock.now()),
            upstreams: Upstreams::start(upstream_addresses, generation, sender.clone()),
            health_checks: HealthChecks::new(sender.clone()),
            clients: Clients::new(max_clients, sender),
            log_limit: LogLimit::new(),
            relay_connection_failed: true,
            clock,
            events,
            listener,
            accept_paused_until: Instant::now(),
            reload: Reload::new(file),
            status_log: StatusLog::default(),
            status_log_at: Instant::now() + STATUS_LOG_INTERVAL,
        }
    }

    /// Runs the event loop. All tasks end when it returns.
    async fn run(mut self, mut signals: Signals) {
        loop {
            self.execute_outputs();
            let accept_resumes_at = self.accept_resumes_at();
            let timer_at = self.timer_at();
            // Not `biased`: while collectors send reports faster than they can be handled, an event is always ready,
            // and with a fixed order pings and SIGHUP waited until that was over.
            tokio::select! {
                _ = signals.terminate.recv() => break,
                _ = signals.interrupt.recv() => break,
                _ = signals.hangup.recv() => self.reload.request(),
                Some(event) = self.events.recv() => self.on_task_event(event),
                () = sleep_until_or_forever(timer_at) => self.handle_input(Input::Timer),
                () = sleep_until_or_forever(self.reload.due_at()) => self.reload_upstreams(),
                () = sleep_until(self.status_log_at) => self.write_status_log(),
                accepted = self.listener.accept(), if Instant::now() >= accept_resumes_at => {
                    self.on_accepted(accepted).await;
                }
                () = sleep_until(accept_resumes_at), if Instant::now() < accept_resumes_at => {}
            }
        }
        self.write_status_log();
        info!("stopped");
    }

    fn accept_resumes_at(&self) -> Instant {
        self.clients
            .capacity_available_at()
            .map_or(self.accept_paused_until, |from| {
                from.max(self.accept_paused_until)
            })
    }

    fn timer_at(&self) -> Option<Instant> {
        self.controller
            .timer_at()
            .map(|at| Instant::from_std(self.clock.instant(at)))
    }

    fn reload_upstreams(&mut self) {
        if let Some(addresses) = self.reload.read() {
            self.upstreams.change_addresses(addresses);
            // The connection that was used for calls may have been dropped.
            self.handle_input(Input::RelayReachability {
                reachable: self.upstreams.can_call(),
            });
        }
    }

    fn write_status_log(&mut self) {
        self.status_log.write(&self.controller, &self.clients);
        self.status_log_at = Instant::now() + STATUS_LOG_INTERVAL;
    }

    async fn on_accepted(&mut self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        match accepted {
            Ok((stream, _)) => {
                self.clients.accept(stream);
                // Lets earlier connections be read while many new ones arrive.
                yield_now().await;
            }
            Err(error) => {
                self.log_limit.log(|| warn!(%error, "accept failed"));
                self.accept_paused_until = Instant::now() + ACCEPT_RETRY_DELAY;
            }
        }
    }
}

fn log_start(config: &PlatformConfig, max_clients: usize) {
    let known_hosts = config
        .known_endpoints
        .as_ref()
        .map_or(0, |list| list.entries.len());
    info!(
        name = config.name,
        listen = %config.listen,
        registry = %config.upstreams.registry,
        relay = %config.upstreams.relay,
        known_hosts,
        max_clients,
        "starting"
    );
}

async fn sleep_until_or_forever(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}
