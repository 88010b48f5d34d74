//! Carries out the core's outputs.

use crate::command_handler::CoreCommandHandler;
use crate::dial::Connection;
use crate::health_checks::HealthChecker;
use crate::log;
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

/// How long the reply to an operator waits until the command is in the event log.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// A connection to a proxy, with the number that the core assigned to it.
struct NumberedConnection {
    number: u64,
    connection: Connection,
}

/// The connections, tasks and channels that the core's outputs act on.
pub(crate) struct OutputHandler {
    connections: BTreeMap<u16, NumberedConnection>,
    health_checker: Option<HealthChecker>,
    /// Running health checks.
    health_check_tasks: JoinSet<()>,
    /// The solver, which keeps the last plan as the starting point of the next.
    solver: Arc<Mutex<WarmStartSolver>>,
    /// The running solve, which ends by its own time limit.
    solver_tasks: JoinSet<()>,
    commands: CoreCommandHandler,
    inputs: mpsc::Sender<Input>,
    site: SiteSettings,
    reply_tasks: JoinSet<()>,
    report_senders: Option<ReportSenders>,
    /// The number of the last input in the event log; `None` if there is no event log.
    written_up_to: Option<watch::Receiver<u64>>,
    /// The number of the input that must be in the event log before replies are sent.
    awaited_input: Option<u64>,
}

impl OutputHandler {
    /// Creates a handler without connections.
    pub(crate) fn new(
        site: SiteSettings,
        inputs: mpsc::Sender<Input>,
        commands: CoreCommandHandler,
        report_senders: Option<ReportSenders>,
        written_up_to: Option<watch::Receiver<u64>>,
    ) -> OutputHandler {
        let health_checker = site
            .health_checks
            .clone()
            .map(|probes| HealthChecker::new(probes, inputs.clone()));
        OutputHandler {
            connections: BTreeMap::new(),
            health_checker,
            health_check_tasks: JoinSet::new(),
            solver: Arc::default(),
            solver_tasks: JoinSet::new(),
            commands,
            inputs,
            site,
            reply_tasks: JoinSet::new(),
            report_senders,
            written_up_to,
            awaited_input: None,
        }
    }

    /// Delays subsequent replies until this input is in the event log; `None` sends them at once.
    pub(crate) fn hold_replies_until_written(&mut self, input: Option<u64>) {
        self.awaited_input = input;
    }

    /// Bytes in the write queues of the connections to proxies.
    pub(crate) fn queued_bytes(&self) -> u64 {
        self.connections
            .values()
            .map(|numbered| numbered.connection.queued_bytes())
            .sum()
    }

    /// Number of connections to proxies.
    pub(crate) fn connections(&self) -> u64 {
        self.connections.len() as u64
    }

    /// Counts of the senders that push load reports.
    pub(crate) fn sender_counts(&self) -> SenderCounts {
        self.report_senders
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
            // Only recorded in the event log.
            Output::LoadReportsApplied { .. } => {}
            // The daemon carries these out if there is a DNS server; without one there is nothing to do.
            Output::DnsViewChanged { .. } | Output::NotifySecondary { .. } => {}
        }
    }

    fn dial(&mut self, proxy: u16, number: u64) {
        let settings = &self.site.proxies[proxy as usize];
        let limit = self.site.proxy_connections.connect_timeout.as_std();
        // Proxies without a runtime API are never dialled.
        let Some(endpoint) = settings.runtime_api.clone() else {
            return;
        };
        let connection = Connection::dial(proxy, number, endpoint, limit, self.inputs.clone());
        self.connections
            .insert(proxy, NumberedConnection { number, connection });
    }

    fn write(&mut self, proxy: u16, number: u64, lines: Vec<String>) {
        let written = match self.connections.get(&proxy) {
            Some(current) if current.number == number => current.connection.write(lines),
            _ => true,
        };
        if !written {
            // The proxy does not read. The core closes the connection at its answer time limit and then sends the lines
            // again.
            warn!(
                proxy = self.site.proxies[proxy as usize].name,
                "write queue of the proxy connection is full"
            );
        }
    }

    fn hang_up(&mut self, proxy: u16, number: u64) {
        let current = self.connections.get(&proxy);
        if current.is_some_and(|current| current.number == number) {
            self.connections.remove(&proxy);
        }
    }

    fn check_health(&mut self, host: String, address: SocketAddr, for_load: bool) {
        remove_finished(&mut self.health_check_tasks);
        if let Some(health_checker) = self.health_checker.clone() {
            self.health_check_tasks
                .spawn(health_checker.check(host, address, for_load));
        }
    }

    fn solve(&mut self, number: u64, fleet: Fleet) {
        // The core requests one solve at a time: the next follows when this one has ended or was abandoned.
        remove_finished(&mut self.solver_tasks);
        let inputs = self.inputs.clone();
        let solver = self.solver.clone();
        self.solver_tasks.spawn_blocking(move || {
            let mut solver = solver.lock().unwrap_or_else(PoisonError::into_inner);
            let plan = solver
                .solve(&fleet, SOLVER_TIME_LIMIT)
                .map(|(plan, _)| plan)
                .map_err(|error| error.to_string());
            // The error is ignored because the daemon may have stopped meanwhile.
            inputs.blocking_send(Input::Solved { number, plan }).ok();
        });
    }

    fn send_to_sender(&self, connection: u64, message: ToSender) {
        if let Some(report_senders) = &self.report_senders {
            report_senders.send(connection, message);
        }
    }

    fn reply(&mut self, caller: u64, text: String) {
        let (Some(number), Some(mut written_up_to)) =
            (self.awaited_input, self.written_up_to.clone())
        else {
            self.commands.reply(caller, text);
            return;
        };
        let commands = self.commands.clone();
        remove_finished(&mut self.reply_tasks);
        self.reply_tasks.spawn(async move {
            // The reply is also sent after the timeout, so that a slow disk does not delay it further.
            timeout(
                REPLY_TIMEOUT,
                written_up_to.wait_for(|written| *written >= number),
            )
            .await
            .ok();
            commands.reply(caller, text);
        });
    }
}

/// Removes the tasks that have ended from the set.
fn remove_finished(tasks: &mut JoinSet<()>) {
    while tasks.try_join_next().is_some() {}
}
