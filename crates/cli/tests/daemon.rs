//! Tests of the daemon as a process: its sockets, its files and its termination.

use std::io::{Read, Write};
use std::net::Shutdown;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const HOSTS: &str = "{ hosts: [{ name: 'host-%d' % n, address: '127.0.0.1:%d' % (9 + n), zone: 'ede' } \
    for n in std.range(1, 6)] }";

fn pondarch(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pondarch"))
        .args(args)
        .output()
        .expect("cannot start the program")
}

/// A running daemon with its settings in a temporary directory.
struct Daemon {
    folder: tempfile::TempDir,
    child: Child,
}

impl Daemon {
    fn start() -> Daemon {
        let folder = tempfile::tempdir().expect("no temporary directory");
        let site = "{
            name: 'test', zones: ['ede'],
            kinds: [{ name: 'proof', response_target: '1 s', client_timeout: '4 s', benefit: 1, repeats: 'replayable' }],
            proxies: [{ name: 'front', zone: 'ede', runtime: 'unix:front.sock' }],
            hosts_file: 'hosts.jsonnet',
            channel: { lines_per_second: 4000, most_waiting: 4000, message_cap: 12, message_window: '10 s' },
            cold: { start_share: 0.17, warm_within: '18 s' },
            records: { folder: 'records' },
            runtime_api: [{ listen: 'unix:admin.sock', level: 'admin' }, { listen: 'unix:user.sock', level: 'user' }],
        }";
        std::fs::write(folder.path().join("site.jsonnet"), site)
            .expect("cannot write the settings");
        std::fs::write(folder.path().join("hosts.jsonnet"), HOSTS)
            .expect("cannot write the host list");
        let child = Command::new(env!("CARGO_BIN_EXE_pondarch"))
            .arg("run")
            .arg(folder.path().join("site.jsonnet"))
            .stderr(Stdio::null())
            .spawn()
            .expect("cannot start the program");
        let daemon = Daemon { folder, child };
        daemon.wait_for_info("HostsReady: 6");
        daemon
    }

    fn path(&self, name: &str) -> std::path::PathBuf {
        self.folder.path().join(name)
    }

    /// Sends bytes and returns all that is received until the daemon closes the connection.
    fn send(&self, socket: &str, bytes: &[u8]) -> String {
        send_to(&self.path(socket), bytes)
    }

    /// Waits until the output of `show info` contains `line`.
    fn wait_for_info(&self, line: &str) {
        let deadline = Instant::now() + Duration::from_secs(10);
        while !self.path("admin.sock").exists()
            || !self.send("admin.sock", b"show info\n").contains(line)
        {
            assert!(Instant::now() < deadline, "'{line}' did not appear in time");
            std::thread::sleep(Duration::from_millis(30));
        }
    }

    fn resident_kib(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("no process state");
        let line = status.lines().find(|line| line.starts_with("VmRSS"));
        let words = line.expect("no VmRSS line").split_whitespace();
        let count = words.skip(1).find_map(|word| word.parse().ok());
        count.expect("not a number")
    }

    fn ctl(&self, socket: &str, command: &str) -> (Option<i32>, String) {
        let socket = format!("unix:{}", self.path(socket).display());
        let output = pondarch(&["ctl", &socket, command]);
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stdout).into_owned(),
        )
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Sends bytes to a socket and returns all that is received until it is closed.
fn send_to(socket: &Path, bytes: &[u8]) -> String {
    let Ok(mut stream) = UnixStream::connect(socket) else {
        return String::new();
    };
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("cannot set a time limit");
    // The daemon may close the connection before all is written.
    stream
        .write_all(bytes)
        .and_then(|()| stream.shutdown(Shutdown::Write))
        .ok();
    let mut text = Vec::new();
    stream.read_to_end(&mut text).ok();
    String::from_utf8_lossy(&text).into_owned()
}

#[test]
fn invalid_input_is_answered_or_disconnected_and_affects_no_other_connection() {
    let daemon = Daemon::start();
    let long_line = vec![b'a'; 100_000];
    let response = daemon.send("admin.sock", &long_line);
    assert!(
        response.is_empty() || response.contains("longer than"),
        "{response}"
    );
    assert!(
        daemon
            .send("admin.sock", b"show \xff\xfe\n")
            .contains("not UTF-8")
    );
    assert!(
        daemon
            .send("admin.sock", b"frobnicate\n")
            .starts_with("Unknown command")
    );
    assert!(
        daemon
            .send("admin.sock", b"show info")
            .contains("Name: pondarch"),
        "a last line without a newline is answered"
    );
    assert_eq!(daemon.send("admin.sock", b""), "");
    assert_eq!(
        daemon.send("user.sock", b"set server hosts/host-1 state drain\n"),
        "Permission denied\n\n"
    );
    // A connection that stops after half a line does not block the others.
    let mut partial = UnixStream::connect(daemon.path("admin.sock")).expect("no connection");
    partial.write_all(b"show in").expect("cannot write");
    daemon.wait_for_info("HostsReady: 6");
    let prompted = daemon.send("admin.sock", b"prompt\nget weight hosts/host-1\nquit\n");
    assert!(prompted.contains("> 1 (initial 1)\n\n> "), "{prompted:?}");
    let interactive = daemon.send(
        "admin.sock",
        b"prompt i\nget weight hosts/host-1\nget weight hosts/none\n",
    );
    assert_eq!(interactive, "\n1 (initial 1)\n\nNo such server.\n\n");
    let closing = daemon.send(
        "admin.sock",
        b"get weight hosts/host-1\nget weight hosts/host-2\n",
    );
    assert_eq!(
        closing, "1 (initial 1)\n\n",
        "without a prompt, only one line per connection is answered"
    );
}

#[test]
fn ctl_prints_responses_and_exits_with_1_on_a_rejection() {
    let daemon = Daemon::start();
    assert_eq!(
        daemon.ctl("admin.sock", "get weight hosts/host-1"),
        (Some(0), "1 (initial 1)\n".into())
    );
    assert_eq!(
        daemon
            .ctl("admin.sock", "set server hosts/host-1 state drain")
            .0,
        Some(0)
    );
    daemon.wait_for_info("HostsDraining: 1");
    assert_eq!(
        daemon
            .ctl("admin.sock", "set server hosts/none state drain")
            .0,
        Some(1)
    );
    assert_eq!(
        daemon
            .ctl("user.sock", "set server hosts/host-1 state ready")
            .0,
        Some(1)
    );
    assert_eq!(daemon.ctl("nowhere.sock", "show info").0, Some(2));
}

#[test]
fn list_changes_are_applied_and_an_invalid_list_keeps_the_last_one() {
    let daemon = Daemon::start();
    std::fs::write(daemon.path("hosts.jsonnet"), &HOSTS[..60]).expect("cannot write the host list");
    daemon.wait_for_info("ListRefused: ");
    let deadline = Instant::now() + Duration::from_secs(10);
    while daemon
        .send("admin.sock", b"show info\n")
        .contains("ListRefused: -")
    {
        assert!(
            Instant::now() < deadline,
            "the invalid list was not reported"
        );
    }
    assert!(
        daemon
            .send("admin.sock", b"show info\n")
            .contains("HostsReady: 6")
    );
    assert!(
        daemon
            .send("admin.sock", b"show errors\n")
            .contains("hosts.jsonnet:1")
    );
    std::fs::write(daemon.path("hosts.jsonnet"), HOSTS.replace("1, 6", "1, 9"))
        .expect("cannot write the host list");
    daemon.wait_for_info("HostsReady: 9");
    daemon.wait_for_info("ListRefused: -");
}

#[test]
fn the_daemon_terminates_on_sigterm_and_removes_its_socket() {
    let mut daemon = Daemon::start();
    let id = daemon.child.id().to_string();
    assert!(
        Command::new("kill")
            .args(["-TERM", &id])
            .status()
            .expect("cannot run kill")
            .success()
    );
    let deadline = Instant::now() + Duration::from_secs(5);
    let status = loop {
        match daemon.child.try_wait().expect("no process state") {
            Some(status) => break status,
            None => std::thread::sleep(Duration::from_millis(20)),
        }
        assert!(Instant::now() < deadline, "the daemon does not exit");
    };
    assert!(status.success());
    assert!(!daemon.path("admin.sock").exists());
    let records = pondarch(&[
        "records",
        "show",
        &daemon.path("records").display().to_string(),
    ]);
    assert!(String::from_utf8_lossy(&records.stdout).lines().count() > 3);
}

#[test]
fn check_and_run_reject_invalid_settings_with_one_line() {
    let daemon = Daemon::start();
    let site = daemon.path("site.jsonnet");
    let good = pondarch(&["check", &site.display().to_string()]);
    assert!(
        good.status.success()
            && String::from_utf8_lossy(&good.stdout).contains("6 hosts: in order")
    );
    let bad = daemon.path("bad.jsonnet");
    let text = std::fs::read_to_string(&site)
        .expect("cannot read the settings")
        .replace("'18 s'", "'18'");
    std::fs::write(&bad, text).expect("cannot write the settings");
    for command in ["check", "run"] {
        let output = pondarch(&[command, &bad.display().to_string()]);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2));
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(
            error.contains("bad.jsonnet: cold.warm_within: '18' has no unit"),
            "{error}"
        );
    }
    // A second daemon does not take over the event log and the sockets of the first one.
    let output = pondarch(&["run", &site.display().to_string()]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        String::from_utf8_lossy(&output.stderr).contains("another program writes records there")
    );
    daemon.wait_for_info("HostsReady: 6");
}

/// One line of 16 KB that asks for a long answer 1,600 times: the daemon built all of them at once, and answered nobody else
/// meanwhile.
#[test]
fn a_line_that_asks_for_a_long_answer_many_times_delays_nobody_and_fills_no_memory() {
    const MAX_GROWTH_KIB: u64 = 32 * 1024;
    let daemon = Daemon::start();
    let hosts = "{ version: 2, hosts: [{ name: 'host-%d' % n, address: '127.0.%d.%d:9' % [std.floor(n / 200), 1 + n % 200], zone: 'ede' } \
        for n in std.range(1, 2000)] }";
    std::fs::write(daemon.path("hosts.new"), hosts).expect("cannot write the host list");
    std::fs::rename(daemon.path("hosts.new"), daemon.path("hosts.jsonnet"))
        .expect("cannot replace the host list");
    daemon.wait_for_info("HostsReady: 2000");
    let before = daemon.resident_kib();
    let mut client = UnixStream::connect(daemon.path("user.sock")).expect("cannot connect");
    let line = "show stat;".repeat(1_600) + "\n";
    client.write_all(line.as_bytes()).expect("cannot write");
    let started_at = Instant::now();
    let mut largest = before;
    while started_at.elapsed() < Duration::from_secs(2) {
        let asked_at = Instant::now();
        assert!(
            daemon
                .send("admin.sock", b"show info\n")
                .contains("HostsReady")
        );
        assert!(
            asked_at.elapsed() < Duration::from_secs(1),
            "{:?}",
            asked_at.elapsed()
        );
        largest = largest.max(daemon.resident_kib());
        std::thread::sleep(Duration::from_millis(20));
    }
    let growth = largest - before;
    assert!(growth < MAX_GROWTH_KIB, "grown by {growth} KiB");
}
