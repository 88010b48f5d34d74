//! Carries out the core's outputs: one function for each.

use crate::command_handler::CoreCommandHandler;
use crate::dial::Connection;
use crate::log;
use crate::probe::Prober;
use crate::push::{ReportSenders, SenderCounts};
use pondarch_config::SiteSettings;
use pondarch_daemon_core::{Input, Output};
use pondarch_load_report_protocol::ToSender;
use pondarch_weight_solver::planner::SOLVER_TIME_LIMIT;
use pondarch_weight_solver::{Fleet, WarmStartSolver};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;
use tracing::warn;

/// How long the reply to an operator waits for the event log.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// The connection to a proxy, with the number that the core gave it.
struct NumberedConnection {
    number: u64,
    connection: Connection,
}

/// What the core's outputs act on.
pub(crate) struct OutputHandler {
    connections: BTreeMap<u16, NumberedConnection>,
    prober: Option<Prober>,
    /// Health checks under way; they end with the daemon.
    checks: JoinSet<()>,
    /// The last plan, which the next one starts from.
    warm: Arc<Mutex<WarmStartSolver>>,
    /// The solve under way, which ends by its own limit.
    solving: JoinSet<()>,
    commands: CoreCommandHandler,
    inputs: mpsc::Sender<Input>,
    site: SiteSettings,
    replies: JoinSet<()>,
    senders: Option<ReportSenders>,
    /// Up to which input the event log is written; none: nothing is recorded.
    written: Option<watch::Receiver<u64>>,
    /// The input that a reply to an operator waits for.
    awaited: Option<u64>,
}

impl OutputHandler {
    /// A handler without connections.
    pub(crate) fn new(
        site: SiteSettings,
        inputs: mpsc::Sender<Input>,
        commands: CoreCommandHandler,
        senders: Option<ReportSenders>,
        written: Option<watch::Receiver<u64>>,
    ) -> OutputHandler {
        let prober = site
            .health_checks
            .clone()
            .map(|probes| Prober::new(probes, inputs.clone()));
        OutputHandler {
            connections: BTreeMap::new(),
            prober,
            checks: JoinSet::new(),
            warm: Arc::default(),
            solving: JoinSet::new(),
            commands,
            inputs,
            site,
            replies: JoinSet::new(),
            senders,
            written,
            awaited: None,
        }
    }

    /// From now on replies wait until this input is in the event log.
    pub(crate) fn replies_await(&mut self, input: Option<u64>) {
        self.awaited = input;
    }

    /// Bytes that wait to be written to proxies.
    pub(crate) fn queued_bytes(&self) -> u64 {
        self.connections
            .values()
            .map(|numbered| numbered.connection.waiting())
            .sum()
    }

    /// Connections to proxies.
    pub(crate) fn connections(&self) -> u64 {
        self.connections.len() as u64
    }

    /// Counts of those that push reports.
    pub(crate) fn sender_counts(&self) -> SenderCounts {
        self.senders
            .as_ref()
            .map(ReportSenders::counts)
            .unwrap_or_default()
    }

    /// Carries out one output.
    pub(crate) fn carry_out(&mut self, output: Output) {
        match output {
            Output::Dial { proxy, connection } => self.dial(proxy, connection),
            Output::Write {
                proxy,
                connection,
                lines,
            } => self.write(proxy, connection, lines),
            Output::HangUp { proxy, connection } => self.hang_up(proxy, connection),
            Output::CheckHealth {
                host,
                address,
                for_load,
            } => self.check_health(host, address, for_load),
            Output::Solve { number, fleet } => self.solve(number, fleet),
            Output::GrantCredit {
                connection,
                reports,
                at_us,
            } => self.send_to_sender(connection, ToSender::Credit { reports, at_us }),
            Output::RejectSender { connection, reason } => {
                self.send_to_sender(connection, ToSender::Rejected { reason });
            }
            Output::Reply { caller, text } => self.reply(caller, text),
            Output::Event(event) => log::event(&event),
            // For the event log only.
            Output::LoadReportsApplied { .. } => {}
            // Without a DNS server there is nothing to do; with one, the daemon carries these out.
            Output::DnsViewChanged { .. } | Output::NotifySecondary { .. } => {}
        }
    }

    fn dial(&mut self, proxy: u16, number: u64) {
        let settings = &self.site.proxies[proxy as usize];
        let limit = self.site.proxy_connections.connect_timeout.as_std();
        // Those without a runtime API are never dialled.
        let Some(endpoint) = settings.runtime_api.clone() else {
            return;
        };
        let connection = Connection::dial(proxy, number, endpoint, limit, self.inputs.clone());
        self.connections
            .insert(proxy, NumberedConnection { number, connection });
    }

    fn write(&mut self, proxy: u16, number: u64, lines: Vec<String>) {
        let written = match self.connections.get(&proxy) {
            Some(held) if held.number == number => held.connection.write(lines),
            _ => true,
        };
        if !written {
            // It reads nothing: the core's answer limit hangs it up; what was not written is sent again then.
            warn!(
                proxy = self.site.proxies[proxy as usize].name,
                "connection's queue is full"
            );
        }
    }

    fn hang_up(&mut self, proxy: u16, number: u64) {
        let held = self.connections.get(&proxy);
        if held.is_some_and(|held| held.number == number) {
            self.connections.remove(&proxy);
        }
    }

    fn check_health(&mut self, host: String, address: SocketAddr, for_load: bool) {
        reap(&mut self.checks);
        if let Some(prober) = self.prober.clone() {
            self.checks.spawn(prober.check(host, address, for_load));
        }
    }

    fn solve(&mut self, number: u64, fleet: Fleet) {
        // One at a time: the core requests the next when this one has ended or is given up.
        reap(&mut self.solving);
        let inputs = self.inputs.clone();
        let warm = self.warm.clone();
        self.solving.spawn_blocking(move || {
            let mut warm = warm.lock().unwrap_or_else(PoisonError::into_inner);
            let plan = warm
                .solve(&fleet, SOLVER_TIME_LIMIT)
                .map(|(plan, _)| plan)
                .map_err(|error| error.to_string());
            // The daemon may have ended meanwhile.
            inputs.blocking_send(Input::Solved { number, plan }).ok();
        });
    }

    fn send_to_sender(&self, connection: u64, message: ToSender) {
        if let Some(senders) = &self.senders {
            senders.send(connection, message);
        }
    }

    fn reply(&mut self, caller: u64, text: String) {
        let (Some(number), Some(mut written)) = (self.awaited, self.written.clone()) else {
            self.commands.reply(caller, text);
            return;
        };
        let commands = self.commands.clone();
        reap(&mut self.replies);
        self.replies.spawn(async move {
            // The reply is sent after the timeout too: with a slow disk nobody waits longer.
            timeout(REPLY_TIMEOUT, written.wait_for(|up_to| *up_to >= number))
                .await
                .ok();
            commands.reply(caller, text);
        });
    }
}

/// Forgets the tasks that have ended.
fn reap(tasks: &mut JoinSet<()>) {
    while tasks.try_join_next().is_some() {}
}
