//! Senders of load reports that connect by the hundred and stop half way through a message must not fill the daemon's
//! memory.

use std::io::Write;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Half a MiB of a message whose head announces a whole one.
const PARTIAL_BYTES: usize = 512 * 1024;
const ANNOUNCED_BYTES: u32 = 1024 * 1024;
const SENDERS: usize = 300;
/// How much the daemon may grow, in KiB.
const MAX_GROWTH_KIB: u64 = 64 * 1024;

struct Daemon {
    folder: tempfile::TempDir,
    child: Child,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have exited already.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl Daemon {
    fn start() -> Daemon {
        let folder = tempfile::tempdir().expect("no temporary directory");
        let site = "{
            name: 'test', zones: ['ede'],
            kinds: [{ name: 'proof', response_target: '1 s', client_timeout: '4 s', benefit: 1, repeats: 'replayable' }],
            proxies: [{ name: 'front-%d' % n, zone: 'ede', runtime: 'unix:front-%d.sock' % n } for n in std.range(0, 299)],
            hosts_file: 'hosts.jsonnet',
            channel: { lines_per_second: 4000, most_waiting: 4000, message_cap: 12, message_window: '10 s' },
            cold: { start_share: 0.17, warm_within: '18 s' },
            reports: { push: 'unix:reports.sock' },
        }";
        let hosts = "{ hosts: [{ name: 'host-1', address: '127.0.0.1:9', zone: 'ede' }] }";
        std::fs::write(folder.path().join("site.jsonnet"), site).expect("cannot write");
        std::fs::write(folder.path().join("hosts.jsonnet"), hosts).expect("cannot write");
        let child = Command::new(env!("CARGO_BIN_EXE_pondarch"))
            .arg("run")
            .arg(folder.path().join("site.jsonnet"))
            .stderr(Stdio::null())
            .spawn()
            .expect("cannot start the program");
        Daemon { folder, child }
    }

    fn reports_socket(&self) -> PathBuf {
        self.folder.path().join("reports.sock")
    }

    fn connect(&self) -> UnixStream {
        let deadline = Instant::now() + Duration::from_secs(10);
        loop {
            if let Ok(stream) = UnixStream::connect(self.reports_socket()) {
                let write_timeout = Some(Duration::from_millis(200));
                stream
                    .set_write_timeout(write_timeout)
                    .expect("cannot set a time limit");
                return stream;
            }
            assert!(Instant::now() < deadline, "the daemon does not listen");
            std::thread::sleep(Duration::from_millis(20));
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

    /// Lets many senders write `before` and then a part of a message. Returns how much the daemon has grown at most.
    fn growth_with_partial_messages(&self, before: impl Fn(usize) -> Vec<u8>) -> u64 {
        drop(self.connect());
        let resident = self.resident_kib();
        let mut largest = resident;
        let mut partial = ANNOUNCED_BYTES.to_be_bytes().to_vec();
        partial.resize(PARTIAL_BYTES, 0x90);
        let mut senders = Vec::new();
        for n in 0..SENDERS {
            let mut sender = self.connect();
            // The daemon may close the connection before all is written.
            sender
                .write_all(&before(n))
                .and_then(|()| sender.write_all(&partial))
                .ok();
            senders.push(sender);
            largest = largest.max(self.resident_kib());
        }
        largest - resident
    }
}

/// A hello of a proxy of the settings, in the MessagePack of the load report protocol.
fn hello(n: usize) -> Vec<u8> {
    let name = format!("front-{n}");
    let mut body = vec![0x81, 0xa5];
    body.extend(b"Hello\x84\xa7version\x01\xa4name");
    body.push(0xa0 | name.len() as u8);
    body.extend(name.as_bytes());
    body.extend(b"\xa2is\xa5Proxy\xa3run\x01");
    let mut message = (body.len() as u32).to_be_bytes().to_vec();
    message.extend(body);
    message
}

#[test]
fn unidentified_senders_that_stop_within_a_message_fill_no_memory() {
    let daemon = Daemon::start();
    let growth = daemon.growth_with_partial_messages(|_| Vec::new());
    println!("grown by {growth} KiB");
    assert!(growth < MAX_GROWTH_KIB, "grown by {growth} KiB");
}

#[test]
fn identified_senders_that_stop_within_a_message_fill_no_memory() {
    let daemon = Daemon::start();
    let growth = daemon.growth_with_partial_messages(hello);
    println!("grown by {growth} KiB");
    assert!(growth < MAX_GROWTH_KIB, "grown by {growth} KiB");
}
