//! Start-up and shutdown of the daemon, and the main loop that passes inputs to the core and carries out its outputs.

use crate::command_handler::CoreCommandHandler;
use crate::dns::{self, DnsServer};
use crate::error::DaemonError;
use crate::hosts_file;
use crate::memory::MemoryReporter;
use crate::output_handler::OutputHandler;
use crate::push;
use crate::recorder::{self, Recorder};
use pondarch_config::SiteSettings;
use pondarch_controller::Time;
use pondarch_daemon_core::{Core, Input, Output, unix_micros};
use pondarch_io_util::Clock;
use pondarch_replay::RunStart;
use pondarch_transport::{Listener, serve};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};
use tracing::info;

/// Capacity of the input queue. While it is full, senders wait: reads from proxies and replies to operators are delayed,
/// and nothing is lost.
const MAX_QUEUED_INPUTS: usize = 4096;

/// Command-line options of the program that are not part of its settings.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Random seed of this run; if absent, the start time is used.
    pub seed: Option<u64>,
}

/// Runs a controller until SIGTERM or SIGINT. `text` is the evaluated settings, which the event log stores.
///
/// # Errors
///
/// A socket cannot be bound, a file cannot be opened or the settings cannot be used. Nothing has been sent to any proxy
/// in that case.
pub async fn run(site: SiteSettings, text: String, options: Options) -> Result<(), DaemonError> {
    let mut daemon = Daemon::start(site, text, options).await?;
    while let Some(input) = daemon.next_input().await {
        daemon.handle(input);
    }
    daemon.shut_down().await;
    Ok(())
}

/// The core and the resources around it.
struct Daemon {
    clock: Clock,
    core: Core,
    queue: mpsc::Receiver<Input>,
    /// An input that is handled before those in the queue.
    priority_input: Option<Input>,
    terminate: Signal,
    interrupt: Signal,
    recorder: Option<Recorder>,
    dns: Option<DnsServer>,
    output_handler: OutputHandler,
    memory_reporter: MemoryReporter,
    /// Listeners and the watcher of the hosts file.
    tasks: JoinSet<()>,
}

impl Daemon {
    async fn start(
        site: SiteSettings,
        text: String,
        options: Options,
    ) -> Result<Daemon, DaemonError> {
        let clock = Clock::start();
        let now = clock.now();
        let seed = options.seed.unwrap_or(unix_micros(now));
        let (inputs, queue) = mpsc::channel(MAX_QUEUED_INPUTS);
        let previous = recorder::previous_run(&site, now)?;
        // Higher than that of every earlier run, even if the clock went back: proxies refuse updates of an older
        // incarnation.
        let incarnation = unix_micros(now).max(previous.incarnation + 1);
        let start = run_start(text, seed, incarnation, now);
        let process = start.process;
        let folder = previous.folder;
        let recorder = site.event_log.clone().map(|records| {
            let open = recorder::folder_opener(folder, records.directory.clone());
            Recorder::start(open, &records, start, clock, inputs.clone())
        });
        let mut tasks = JoinSet::new();
        let command_handler = CoreCommandHandler::new(inputs.clone());
        listen_for_commands(&site, &command_handler, &mut tasks).await?;
        let report_senders = push::open(&site, inputs.clone(), &mut tasks).await?;
        let dns = dns::open(&site, seed, clock, inputs.clone(), &mut tasks).await?;
        tasks.spawn(hosts_file::watch(
            site.hosts_file.clone(),
            site.zones.clone(),
            inputs.clone(),
        ));
        let terminate = signal(SignalKind::terminate()).map_err(DaemonError::Signals)?;
        let interrupt = signal(SignalKind::interrupt()).map_err(DaemonError::Signals)?;
        info!(
            name = site.name,
            seed,
            proxies = site.proxies.len(),
            "controller started"
        );
        let core = Core::new(&site, seed, process, incarnation, now);
        let written_up_to = recorder.as_ref().map(Recorder::written_up_to);
        let first = previous.state.map_or(Input::TimerExpired, |state| {
            Input::Recovered(Box::new(state))
        });
        Ok(Daemon {
            clock,
            core,
            queue,
            priority_input: Some(first),
            terminate,
            interrupt,
            recorder,
            dns,
            output_handler: OutputHandler::new(
                site,
                inputs,
                command_handler,
                report_senders,
                written_up_to,
            ),
            memory_reporter: MemoryReporter::new(now),
            tasks,
        })
    }

    /// The next input for the core, or `None` after a termination signal.
    async fn next_input(&mut self) -> Option<Input> {
        if let Some(input) = self.priority_input.take() {
            return Some(input);
        }
        let wake_at = Instant::from_std(self.clock.instant(self.core.wake_at()));
        tokio::select! {
            biased;
            _ = self.terminate.recv() => None,
            _ = self.interrupt.recv() => None,
            Some(input) = self.queue.recv() => Some(input),
            () = sleep_until(wake_at) => Some(Input::TimerExpired),
        }
    }

    /// Handles one input, carries out the core's outputs, and records both.
    fn handle(&mut self, input: Input) {
        let now = self.clock.now();
        let number = self
            .recorder
            .as_mut()
            .map(|recorder| recorder.record_input(now, &input));
        // The reply to an operator's command waits until the command's effect would survive a restart.
        let awaited_input = number
            .filter(|_| matches!(input, Input::Command { .. }) && input.changes_recovered_state());
        self.output_handler
            .hold_replies_until_written(awaited_input);
        self.core.handle(now, input);
        let mut recorded_outputs = Vec::new();
        while let Some(output) = self.core.next_output() {
            if number.is_some() {
                recorded_outputs.push(output.clone());
            }
            self.carry_out(output);
        }
        let usage =
            self.memory_reporter
                .report_if_due(now, &self.output_handler, self.recorder.as_ref());
        if let Some(recorder) = &mut self.recorder {
            recorder.record_outputs(recorded_outputs);
            if recorder.is_snapshot_due(now) {
                recorder.record_snapshot(now, self.core.state_to_recover());
            }
        }
        // Queued inputs are taken before timers; otherwise a busy controller would handle nothing but timers.
        self.priority_input = usage.or_else(|| self.queue.try_recv().ok());
    }

    fn carry_out(&mut self, output: Output) {
        match (&output, &self.dns) {
            (Output::DnsViewChanged { .. }, Some(dns)) => dns.set_view(self.core.dns_view()),
            (Output::NotifySecondary { secondary }, Some(dns)) => dns.notify(*secondary),
            _ => self.output_handler.carry_out(output),
        }
    }

    /// Stops the tasks, then writes the queued records to the event log.
    async fn shut_down(mut self) {
        info!("controller stops; proxies keep their tables");
        self.tasks.shutdown().await;
        if let Some(recorder) = self.recorder {
            recorder
                .shut_down(self.clock.now(), self.core.state_to_recover())
                .await;
        }
    }
}

/// The first record of the event log, which describes this run.
fn run_start(settings: String, seed: u64, incarnation: u64, now: Time) -> RunStart {
    RunStart {
        program: env!("CARGO_PKG_VERSION").into(),
        settings,
        seed,
        process: std::process::id(),
        incarnation,
        at_us: unix_micros(now),
        boot: recorder::current_boot(),
    }
}

/// Opens the operators' sockets and serves them in tasks of the set.
async fn listen_for_commands(
    site: &SiteSettings,
    command_handler: &CoreCommandHandler,
    tasks: &mut JoinSet<()>,
) -> Result<(), DaemonError> {
    for socket in &site.runtime_api {
        let listener = Listener::bind(&socket.listen)
            .await
            .map_err(DaemonError::listen(&socket.listen))?;
        tasks.spawn(serve(
            listener,
            socket.level.into(),
            command_handler.clone(),
        ));
    }
    Ok(())
}
