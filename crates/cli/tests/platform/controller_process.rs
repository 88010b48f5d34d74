//! `pondarch platform` as a process, with a configuration and a log of its own.

use crate::scripted_peers::{TIMEOUT, ready_list};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

pub(crate) struct ControllerProcess {
    pub child: Child,
    pub config: PathBuf,
    pub listen: SocketAddr,
    folder: tempfile::TempDir,
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        // It may have ended by itself.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

pub(crate) fn config(listen: SocketAddr, discovery: SocketAddr, relay: SocketAddr) -> String {
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"1f\",\
         \"limits\":{{\"sockets\":128}},\"hub\":{{\"address\":\"{relay}\"}},\"known\":{},\
         \"settings\":{{\"classes\":[{{\"name\":\"proof\",\"aim\":1500000,\"worth\":1.0}}],\"localities\":[\"a\"],\
         \"familyInfo\":{{\"proxies\":20,\"channelRate\":9800.0,\"mostWaiting\":9800.0,\"perMessage\":3.0,\
         \"updateCap\":12,\"updateWindow\":10000000,\"reportEvery\":1000000,\"admission\":\"share\",\"baseMode\":0}},\
         \"obligations\":{{\"cold\":18000000,\"startCapacity\":0.2}}}}}}",
        ready_list(1)
    )
}

impl ControllerProcess {
    pub(crate) fn start(discovery: SocketAddr, relay: SocketAddr) -> ControllerProcess {
        ControllerProcess::start_with_command(discovery, relay, |command| command)
    }

    /// The same, with whatever that makes of the command.
    pub(crate) fn start_with_command(
        discovery: SocketAddr,
        relay: SocketAddr,
        so: impl FnOnce(Command) -> Command,
    ) -> ControllerProcess {
        ControllerProcess::start_as(|listen| config(listen, discovery, relay), so)
    }

    /// With a configuration of its own, made for the address at which it is to listen.
    pub(crate) fn start_configured(config: impl FnOnce(SocketAddr) -> String) -> ControllerProcess {
        ControllerProcess::start_as(config, |command| command)
    }

    fn start_as(
        config: impl FnOnce(SocketAddr) -> String,
        so: impl FnOnce(Command) -> Command,
    ) -> ControllerProcess {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("config.json");
        // An address of its own: a port that was merely free a moment ago may be some other connection's by now.
        static STARTED: AtomicUsize = AtomicUsize::new(0);
        let (n, id) = (STARTED.fetch_add(1, Relaxed), std::process::id());
        let listen = SocketAddr::from((
            [
                127,
                1 + (id % 250) as u8,
                (n / 250) as u8,
                1 + (n % 250) as u8,
            ],
            7070,
        ));
        std::fs::write(&path, config(listen)).expect("written");
        let mut command = so(platform_command(Some(&path)));
        let log = std::fs::File::create(folder.path().join("log")).expect("a log");
        let child = command.stderr(log).spawn().expect("the program");
        ControllerProcess {
            child,
            config: path,
            listen,
            folder,
        }
    }

    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("its end");
    }

    /// Starts it again, once it is gone, at the same address with another configuration.
    pub(crate) fn restart(&mut self, config: &str) {
        std::fs::write(&self.config, config).expect("written");
        let log = std::fs::File::options()
            .append(true)
            .open(self.folder.path().join("log"));
        self.child = platform_command(Some(&self.config))
            .stderr(log.expect("its log"))
            .spawn()
            .expect("the program");
    }

    /// Has it read another configuration.
    pub(crate) fn reconfigure(&self, config: &str) {
        std::fs::write(&self.config, config).expect("written");
        self.signal("-HUP");
    }

    /// Tells it where discovery and relay are from now on.
    pub(crate) fn change_upstreams(&self, discovery: SocketAddr, relay: SocketAddr) {
        self.reconfigure(&config(self.listen, discovery, relay));
    }

    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).expect("its log")
    }

    /// Waits until its log has that so many times.
    pub(crate) fn wait_for_log(&self, what: &str, times: usize) {
        let until = Instant::now() + TIMEOUT;
        while self.log().matches(what).count() < times {
            assert!(
                Instant::now() < until,
                "'{what}' is not {times} times in: {}",
                self.log()
            );
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// How it ended; none: it has not within that time.
    pub(crate) fn exits_within(&mut self, limit: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + limit;
        loop {
            let ended = self.child.try_wait().expect("its state");
            if ended.is_some() || Instant::now() > until {
                return ended;
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    pub(crate) fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .arg(name)
            .arg(self.child.id().to_string())
            .status();
        assert!(sent.expect("kill").success());
    }

    pub(crate) fn connect(&self) -> TcpStream {
        let until = Instant::now() + TIMEOUT;
        loop {
            if let Ok(stream) = TcpStream::connect(self.listen) {
                stream.set_read_timeout(Some(TIMEOUT)).expect("a limit");
                return stream;
            }
            assert!(Instant::now() < until, "the controller cannot be reached");
            thread::sleep(Duration::from_millis(20));
        }
    }

    pub(crate) fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .expect("its files")
            .count()
    }

    /// KiB that it has in memory.
    pub(crate) fn resident_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .expect("its state");
        let line = status
            .lines()
            .find(|line| line.starts_with("VmRSS"))
            .expect("its memory");
        line.split_whitespace()
            .nth(1)
            .and_then(|count| count.parse().ok())
            .expect("a count")
    }

    /// Ends it, as a planned restart does; gives its log.
    pub(crate) fn terminate(mut self) -> String {
        self.signal("-TERM");
        let ended = self.child.wait().expect("its end");
        let log = self.log();
        assert!(ended.success(), "{log}");
        log
    }
}

pub(crate) fn platform_command(config: Option<&Path>) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pondarch"));
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
