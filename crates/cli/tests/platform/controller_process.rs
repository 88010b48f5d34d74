//! `pondarch platform` as a process, with its own configuration file and log file.

use crate::scripted_peers::{TIMEOUT, ready_list};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

/// A running controller; dropping it kills the process.
pub(crate) struct ControllerProcess {
    pub child: Child,
    pub config: PathBuf,
    pub listen: SocketAddr,
    directory: tempfile::TempDir,
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        // It may have exited already.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// A configuration with 20 proxies, one request class, one zone and a list of eight ready hosts.
pub(crate) fn config(listen: SocketAddr, registry: SocketAddr, relay: SocketAddr) -> String {
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{registry}\",\"seed\":\"1f\",\
         \"limits\":{{\"sockets\":128}},\"hub\":{{\"address\":\"{relay}\"}},\"known\":{},\
         \"settings\":{{\"classes\":[{{\"name\":\"proof\",\"aim\":1500000,\"worth\":1.0}}],\"localities\":[\"a\"],\
         \"familyInfo\":{{\"proxies\":20,\"channelRate\":9800.0,\"mostWaiting\":9800.0,\"perMessage\":3.0,\
         \"updateCap\":12,\"updateWindow\":10000000,\"reportEvery\":1000000,\"admission\":\"share\",\"baseMode\":0}},\
         \"obligations\":{{\"cold\":18000000,\"startCapacity\":0.2}}}}}}",
        ready_list(1)
    )
}

impl ControllerProcess {
    pub(crate) fn start(registry: SocketAddr, relay: SocketAddr) -> ControllerProcess {
        ControllerProcess::start_with_command(registry, relay, |command| command)
    }

    /// As `start`, with the command that `adapt` makes of the usual one.
    pub(crate) fn start_with_command(
        registry: SocketAddr,
        relay: SocketAddr,
        adapt: impl FnOnce(Command) -> Command,
    ) -> ControllerProcess {
        ControllerProcess::start_as(|listen| config(listen, registry, relay), adapt)
    }

    /// Starts it with the configuration that `config` makes for the address to listen on.
    pub(crate) fn start_configured(config: impl FnOnce(SocketAddr) -> String) -> ControllerProcess {
        ControllerProcess::start_as(config, |command| command)
    }

    fn start_as(
        config: impl FnOnce(SocketAddr) -> String,
        adapt: impl FnOnce(Command) -> Command,
    ) -> ControllerProcess {
        let directory = tempfile::tempdir().expect("no temporary directory");
        let path = directory.path().join("config.json");
        // Each process gets an address of its own: a port found free a moment ago may be in use by another connection by now.
        static STARTED: AtomicUsize = AtomicUsize::new(0);
        let (n, process_id) = (STARTED.fetch_add(1, Relaxed), std::process::id());
        let listen = SocketAddr::from((
            [
                127,
                1 + (process_id % 250) as u8,
                (n / 250) as u8,
                1 + (n % 250) as u8,
            ],
            7070,
        ));
        std::fs::write(&path, config(listen)).expect("cannot write");
        let mut command = adapt(platform_command(Some(&path)));
        let log =
            std::fs::File::create(directory.path().join("log")).expect("cannot create the log");
        let child = command
            .stderr(log)
            .spawn()
            .expect("cannot start the program");
        ControllerProcess {
            child,
            config: path,
            listen,
            directory,
        }
    }

    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("cannot kill the process");
        self.child.wait().expect("cannot wait for the process");
    }

    /// Starts it again after it has exited, on the same address with another configuration.
    pub(crate) fn restart(&mut self, config: &str) {
        std::fs::write(&self.config, config).expect("cannot write");
        let log = std::fs::File::options()
            .append(true)
            .open(self.directory.path().join("log"));
        self.child = platform_command(Some(&self.config))
            .stderr(log.expect("cannot read the log"))
            .spawn()
            .expect("cannot start the program");
    }

    /// Writes another configuration and has the process reload it.
    pub(crate) fn reconfigure(&self, config: &str) {
        std::fs::write(&self.config, config).expect("cannot write");
        self.signal("-HUP");
    }

    /// Reloads with other addresses of the registry and the relay.
    pub(crate) fn change_upstreams(&self, registry: SocketAddr, relay: SocketAddr) {
        self.reconfigure(&config(self.listen, registry, relay));
    }

    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(self.directory.path().join("log")).expect("cannot read the log")
    }

    /// Waits until the log contains `text` at least `times` times.
    pub(crate) fn wait_for_log(&self, text: &str, times: usize) {
        let deadline = Instant::now() + TIMEOUT;
        while self.log().matches(text).count() < times {
            assert!(
                Instant::now() < deadline,
                "the log does not contain '{text}' {times} times: {}",
                self.log()
            );
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// The exit status, or none if the process has not exited within `limit`.
    pub(crate) fn exits_within(&mut self, limit: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + limit;
        loop {
            let status = self.child.try_wait().expect("no process state");
            if status.is_some() || Instant::now() > deadline {
                return status;
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    pub(crate) fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .arg(name)
            .arg(self.child.id().to_string())
            .status();
        assert!(sent.expect("cannot run kill").success());
    }

    /// Connects to the controller, with retries while it starts.
    pub(crate) fn connect(&self) -> TcpStream {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            if let Ok(stream) = TcpStream::connect(self.listen) {
                stream
                    .set_read_timeout(Some(TIMEOUT))
                    .expect("cannot set a time limit");
                return stream;
            }
            assert!(
                Instant::now() < deadline,
                "the controller cannot be reached"
            );
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// The number of open file descriptors.
    pub(crate) fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .expect("no file descriptors")
            .count()
    }

    /// Resident memory in KiB.
    pub(crate) fn resident_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .expect("no process state");
        let line = status
            .lines()
            .find(|line| line.starts_with("VmRSS"))
            .expect("no VmRSS line");
        line.split_whitespace()
            .nth(1)
            .and_then(|count| count.parse().ok())
            .expect("not a number")
    }

    /// Terminates it with SIGTERM, as a planned restart does, and returns its log.
    pub(crate) fn terminate(mut self) -> String {
        self.signal("-TERM");
        let status = self.child.wait().expect("cannot wait for the process");
        let log = self.log();
        assert!(status.success(), "{log}");
        log
    }
}

/// The command `pondarch platform` with this configuration file.
pub(crate) fn platform_command(config: Option<&Path>) -> Command {
    let mut command = Command::new(program());
    command
        .arg("platform")
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    for name in [
        "RELAY_NAME",
        "RELAY_LISTEN",
        "RELAY_DISCOVERY",
        "RELAY_CONFIG",
    ] {
        command.env_remove(name);
    }
    if let Some(config) = config {
        command.env("RELAY_CONFIG", config);
    }
    command
}

/// The program under test: the one built with the tests, or the one that `PONDARCH_PROGRAM` names, to play an older build.
fn program() -> PathBuf {
    let named = std::env::var_os("PONDARCH_PROGRAM");
    named.map_or_else(
        || PathBuf::from(env!("CARGO_BIN_EXE_pondarch")),
        PathBuf::from,
    )
}
