//! The daemon: start-up by named steps, and the loop that feeds the core and carries out its outputs.

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

/// Inputs that wait for the core. At this many, whoever sends the next one waits: proxies are read from and operators
/// answered later, and nothing is lost.
const MAX_WAITING_INPUTS: usize = 4096;

/// How the program was started, beyond its settings.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Seed of this run; absent: drawn from the clock.
    pub seed: Option<u64>,
}

/// Runs a controller until SIGTERM or SIGINT. `text`: its settings, evaluated, for the event log.
///
/// # Errors
///
/// A socket or file of its own cannot be had; nothing has been sent to any proxy then.
pub async fn run(site: SiteSettings, text: String, options: Options) -> Result<(), DaemonError> {
    let mut daemon = Daemon::start(site, text, options).await?;
    while let Some(input) = daemon.next_input().await {
        daemon.handle(input);
    }
    daemon.shut_down().await;
    Ok(())
}

/// The core and all that surrounds it.
struct Daemon {
    clock: Clock,
    core: Core,
    queue: mpsc::Receiver<Input>,
    /// An input that is applied before those in the queue.
    next: Option<Input>,
    terminate: Signal,
    interrupt: Signal,
    recorder: Option<Recorder>,
    dns: Option<DnsServer>,
    outputs: OutputHandler,
    memory: MemoryReporter,
    /// Listeners and the follower of the hosts file.
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
        let (inputs, queue) = mpsc::channel(MAX_WAITING_INPUTS);
        let previous = recorder::previous_run(&site, now)?;
        // Above that of any run before, whatever the clock says: proxies refuse the updates of an older one.
        let incarnation = unix_micros(now).max(previous.incarnation + 1);
        let start = run_start(text, seed, incarnation, now);
        let process = start.process;
        let folder = previous.folder;
        let recorder = site.event_log.clone().map(|records| {
            let open = recorder::folder_opener(folder, records.directory.clone());
            Recorder::start(open, &records, start, clock, inputs.clone())
        });
        let mut tasks = JoinSet::new();
        let commands = CoreCommandHandler::new(inputs.clone());
        listen_for_commands(&site, &commands, &mut tasks).await?;
        let senders = push::open(&site, inputs.clone(), &mut tasks).await?;
        let dns = dns::open(&site, seed, clock, inputs.clone(), &mut tasks).await?;
        tasks.spawn(hosts_file::follow(
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
        let written = recorder.as_ref().map(Recorder::written);
        let first = previous.state.map_or(Input::TimerExpired, |state| {
            Input::Recovered(Box::new(state))
        });
        Ok(Daemon {
            clock,
            core,
            queue,
            next: Some(first),
            terminate,
            interrupt,
            recorder,
            dns,
            outputs: OutputHandler::new(site, inputs, commands, senders, written),
            memory: MemoryReporter::new(now),
            tasks,
        })
    }

    /// The next input for the core; none once the program is to stop.
    async fn next_input(&mut self) -> Option<Input> {
        if let Some(input) = self.next.take() {
            return Some(input);
        }
        let wake = Instant::from_std(self.clock.instant(self.core.wake_at()));
        tokio::select! {
            biased;
            _ = self.terminate.recv() => None,
            _ = self.interrupt.recv() => None,
            Some(input) = self.queue.recv() => Some(input),
            () = sleep_until(wake) => Some(Input::TimerExpired),
        }
    }

    /// Applies one input, carries out what the core gives, and records both.
    fn handle(&mut self, input: Input) {
        let now = self.clock.now();
        let number = self
            .recorder
            .as_mut()
            .map(|recorder| recorder.input(now, &input));
        // An operator's command is acknowledged once its effect would survive a restart.
        let awaited = number
            .filter(|_| matches!(input, Input::Command { .. }) && input.changes_recovered_state());
        self.outputs.replies_await(awaited);
        self.core.handle(now, input);
        let mut decisions = Vec::new();
        while let Some(output) = self.core.next_output() {
            if number.is_some() {
                decisions.push(output.clone());
            }
            self.carry_out(output);
        }
        let usage = self
            .memory
            .report_if_due(now, &self.outputs, self.recorder.as_ref());
        if let Some(recorder) = &mut self.recorder {
            recorder.decided(decisions);
            if recorder.wants_snapshot(now) {
                recorder.snapshot(now, self.core.state_to_recover());
            }
        }
        // What is in the queue is taken before the clock, or a busy controller would handle nothing but timers.
        self.next = usage.or_else(|| self.queue.try_recv().ok());
    }

    fn carry_out(&mut self, output: Output) {
        match (&output, &self.dns) {
            (Output::DnsViewChanged { .. }, Some(dns)) => dns.set_view(self.core.dns_view()),
            (Output::NotifySecondary { secondary }, Some(dns)) => dns.notify(*secondary),
            _ => self.outputs.carry_out(output),
        }
    }

    /// Ends the tasks, then writes what waits for the event log.
    async fn shut_down(mut self) {
        info!("controller stops; proxies keep their tables");
        self.tasks.shutdown().await;
        if let Some(recorder) = self.recorder {
            recorder
                .end(self.clock.now(), self.core.state_to_recover())
                .await;
        }
    }
}

/// The event log's first record.
fn run_start(settings: String, seed: u64, incarnation: u64, now: Time) -> RunStart {
    RunStart {
        program: env!("CARGO_PKG_VERSION").into(),
        settings,
        seed,
        process: std::process::id(),
        incarnation,
        at_us: unix_micros(now),
        boot: recorder::boot(),
    }
}

/// Opens the operators' sockets; their tasks end with the set.
async fn listen_for_commands(
    site: &SiteSettings,
    commands: &CoreCommandHandler,
    tasks: &mut JoinSet<()>,
) -> Result<(), DaemonError> {
    for socket in &site.runtime_api {
        let listener = Listener::bind(&socket.listen)
            .await
            .map_err(DaemonError::listen(&socket.listen))?;
        tasks.spawn(serve(listener, socket.level.into(), commands.clone()));
    }
    Ok(())
}
