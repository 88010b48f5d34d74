//! Tests of the DNS server of a real daemon, queried as by any client.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(clippy::too_many_lines)]

use pondarch_dns_server::TsigKey;
use pondarch_rehearsal::secondary::Secondary;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A daemon with a DNS server, with its settings in a temporary directory.
struct Daemon {
    folder: tempfile::TempDir,
    dns: SocketAddr,
    child: Option<Child>,
}

/// 32 bytes of value 7, in base64.
const SECRET: &str = "BwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwc=\n";

/// An address that is free for both UDP and TCP.
fn free_address() -> SocketAddr {
    loop {
        let udp = UdpSocket::bind("127.0.0.1:0").expect("cannot bind a port");
        let at = udp.local_addr().expect("no local address");
        if TcpListener::bind(at).is_ok() {
            return at;
        }
    }
}

impl Daemon {
    fn start() -> Daemon {
        Daemon::start_at(free_address(), "")
    }

    /// Starts it with additional settings for DNS.
    fn start_at(dns: SocketAddr, dns_settings: &str) -> Daemon {
        let folder = tempfile::tempdir().expect("no temporary directory");
        std::fs::write(folder.path().join("second.key"), SECRET).expect("cannot write the secret");
        let settings = format!(
            "{{ name: 'named', zones: ['ede'],
            kinds: [{{ name: 'proof', response_target: '1 s', client_timeout: '4 s', benefit: 1, repeats: 'replayable' }}],
            proxies: [{{ name: 'plain', zone: 'ede', usual_rate: 5 }}, {{ name: 'other', zone: 'ede', sources: ['127.0.0.0/8'] }}],
            hosts_file: 'hosts.jsonnet',
            channel: {{ lines_per_second: 4000, most_waiting: 4000, message_cap: 12, message_window: '10 s' }},
            cold: {{ start_share: 0.17, warm_within: '18 s' }},
            dns: {{ zone: 'pond.test', listen: '{dns}', grace: '4 s', answers_per_second: 1000{dns_settings} }},
            runtime_api: [{{ listen: 'unix:admin.sock', level: 'admin' }}] }}"
        );
        std::fs::write(folder.path().join("site.jsonnet"), settings)
            .expect("cannot write the settings");
        let mut daemon = Daemon {
            folder,
            dns,
            child: None,
        };
        daemon.write_list(None);
        daemon.run();
        daemon
    }

    fn run(&mut self) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pondarch"));
        command
            .arg("run")
            .arg(self.path("site.jsonnet"))
            .stderr(Stdio::null());
        self.child = Some(command.spawn().expect("cannot start the program"));
        let deadline = Instant::now() + Duration::from_secs(10);
        while self.query("pond.test", &["--type", "SOA"]).is_none() {
            assert!(
                Instant::now() < deadline,
                "no response to DNS queries in time"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn path(&self, name: &str) -> std::path::PathBuf {
        self.folder.path().join(name)
    }

    /// Writes a host list in which one host may drain.
    fn write_list(&self, drained: Option<usize>) {
        let host = |n: usize| {
            let state = if drained == Some(n) { "drain" } else { "ready" };
            format!(
                "{{ name: 'host-{n}', address: '127.0.0.1:{}', zone: 'ede', state: '{state}' }}",
                9_000 + n
            )
        };
        let hosts: Vec<String> = (0..6).map(host).collect();
        let part = self.path("hosts.part");
        std::fs::write(&part, format!("{{ hosts: [{}] }}", hosts.join(", ")))
            .expect("cannot write the host list");
        std::fs::rename(&part, self.path("hosts.jsonnet")).expect("cannot write the host list");
    }

    /// The output of `pondarch resolve`; none if it failed.
    fn query(&self, name: &str, arguments: &[&str]) -> Option<String> {
        let server = self.dns.to_string();
        let mut command = Command::new(env!("CARGO_BIN_EXE_pondarch"));
        let output = command
            .args(["resolve", name, "--server", &server])
            .args(arguments)
            .output()
            .expect("cannot start the program");
        output
            .status
            .success()
            .then(|| String::from_utf8_lossy(&output.stdout).into_owned())
    }

    fn serial(&self) -> u64 {
        let soa = self
            .query("pond.test", &["--type", "SOA"])
            .expect("no response");
        soa.split_whitespace()
            .nth(5)
            .and_then(|word| word.parse().ok())
            .unwrap_or_else(|| panic!("{soa}"))
    }

    fn ctl(&self, command: &str) -> String {
        let socket = format!("unix:{}", self.path("admin.sock").display());
        let output = Command::new(env!("CARGO_BIN_EXE_pondarch"))
            .args(["ctl", &socket, command])
            .output()
            .expect("cannot start the program");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    /// A value of `show info`.
    fn info_value(&self, name: &str) -> String {
        let text = self.ctl("show info");
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
        line.unwrap_or_default().to_string()
    }

    /// Waits until a condition holds.
    fn wait_until(&self, description: &str, holds: impl Fn() -> bool) {
        let deadline = Instant::now() + Duration::from_secs(10);
        while !holds() {
            assert!(Instant::now() < deadline, "not in time: {description}");
            std::thread::sleep(Duration::from_millis(30));
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }
}

#[test]
fn dns_answers_join_proxies_follow_drains_and_keep_the_serial_across_a_kill() {
    let mut daemon = Daemon::start();
    let name = "_proof._tcp.plain.pond.test";
    daemon.wait_until("SRV records are served", || {
        daemon
            .query(name, &[])
            .is_some_and(|text| text.contains("SRV"))
    });
    daemon.wait_until("a query by name joins the proxy", || {
        daemon.query(name, &[]);
        daemon
            .ctl("show map proxies")
            .contains("plain joined table-")
    });
    let text = daemon.query(name, &[]).expect("no response");
    let srv = text.lines().filter(|line| line.contains(" SRV ")).count();
    assert_eq!(srv, 6, "{text}");
    // The TTL is 2 s: the grace of 4 s, less 0.5 s for learning of a change and 1 s for the rounding in caches, in whole
    // seconds.
    assert!(text.lines().all(|line| line.contains(" 2 ")), "{text}");
    let tcp = daemon.query(name, &["--tcp"]).expect("no response");
    assert_eq!(tcp.lines().filter(|line| line.contains(" SRV ")).count(), 6);
    // Where the name does not identify the proxy, the source address does.
    daemon.wait_until("a query by source address joins the other proxy", || {
        daemon.query("proof.pond.test", &["--type", "A"]);
        daemon
            .ctl("show map proxies")
            .contains("other joined table-")
    });
    assert!(daemon.query("nobody.pond.test", &["--type", "A"]).is_none());
    let before = daemon.serial();
    daemon.write_list(Some(2));
    let drained_at = Instant::now();
    daemon.wait_until("the drained host is not in answers", || {
        daemon
            .query(name, &[])
            .is_some_and(|text| !text.contains("host-2"))
    });
    assert!(
        drained_at.elapsed() < Duration::from_millis(1_500),
        "{:?}",
        drained_at.elapsed()
    );
    assert!(daemon.ctl("show map lingering").contains("host-2"));
    daemon.wait_until("cached answers have expired", || {
        !daemon.ctl("show map lingering").contains("host-2")
    });
    assert!(drained_at.elapsed() < Duration::from_secs(5));
    let serial = daemon.serial();
    assert!(serial > before);
    let mut child = daemon.child.take().expect("no process");
    child.kill().expect("cannot kill the process");
    child.wait().expect("cannot wait for the process");
    daemon.run();
    daemon.wait_until("records are served after the restart", || {
        daemon.query(name, &[]).is_some()
    });
    assert!(
        daemon.serial() >= serial,
        "{} after {serial}",
        daemon.serial()
    );
}

#[test]
fn a_grace_too_short_for_any_ttl_is_rejected() {
    let daemon = Daemon::start();
    let site =
        std::fs::read_to_string(daemon.path("site.jsonnet")).expect("cannot read the settings");
    let invalid_settings = daemon.path("wrong.jsonnet");
    std::fs::write(
        &invalid_settings,
        site.replace("grace: '4 s'", "grace: '2 s'"),
    )
    .expect("cannot write the settings");
    let check = |file: &Path| {
        let output = Command::new(env!("CARGO_BIN_EXE_pondarch"))
            .arg("check")
            .arg(file)
            .output();
        let output = output.expect("cannot start the program");
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )
    };
    let (code, text) = check(&invalid_settings);
    assert_eq!(code, Some(2));
    assert!(
        text.contains("dns.grace") && text.contains("with 2500 ms it would"),
        "{text}"
    );
    std::fs::write(&invalid_settings, site.replace("dns:", "// dns:"))
        .expect("cannot write the settings");
    let (code, text) = check(&invalid_settings);
    assert!(
        code == Some(2) && text.contains("is absent, and there is no dns"),
        "{text}"
    );
}

/// A secondary follows by signed incremental transfers; one that is disconnected is reported as behind and catches up; a
/// restarted daemon transfers the whole zone to it again, with a higher serial.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_secondary_follows_changes_and_catches_up_after_a_disconnection() {
    let dns = free_address();
    let key = TsigKey::new("second.pond.test", vec![7; 32]).expect("invalid key");
    let secondary = Secondary::start("pond.test", dns, key.clone())
        .await
        .expect("no socket");
    let unauthorized = Secondary::start(
        "pond.test",
        dns,
        TsigKey::new("second.pond.test", vec![8; 32]).expect("invalid key"),
    );
    let unauthorized = unauthorized.await.expect("no socket");
    let secondary_settings = format!(
        "{{ address: '{}', key: 'second.pond.test', secret_file: 'second.key' }}",
        secondary.addr
    );
    let dns_settings = format!(
        ", lifetime: 1, behind: '400 ms', expires: '30 s', secondaries: [{secondary_settings}]"
    );
    let mut daemon = Daemon::start_at(dns, &dns_settings);
    let name = "_proof._tcp.plain.pond.test";
    let hosts = || {
        let lines = secondary.zone_copy().services(name);
        lines
            .into_iter()
            .map(|(_, target)| target.split('.').next().unwrap_or("").to_string())
            .collect::<Vec<_>>()
    };
    daemon.wait_until("the secondary has all hosts", || hosts().len() == 6);
    assert!(
        secondary.transfer_and_notification_counts().1 >= 1,
        "the secondary got no notification"
    );
    let drained_at = Instant::now();
    daemon.write_list(Some(2));
    daemon.wait_until("the secondary has dropped the drained host", || {
        !hosts().contains(&"host-2".to_string())
    });
    assert!(
        drained_at.elapsed() < Duration::from_millis(1_500),
        "{:?}",
        drained_at.elapsed()
    );
    assert_eq!(hosts().len(), 5);
    daemon.wait_until("the daemon knows the serial of the secondary", || {
        daemon
            .ctl("show map secondaries")
            .contains("second.pond.test holds")
    });
    daemon.wait_until("the secondary is not behind", || {
        !daemon.ctl("show map secondaries").contains("behind")
    });
    secondary
        .isolated
        .store(true, std::sync::atomic::Ordering::Relaxed);
    daemon.write_list(Some(3));
    daemon.wait_until("the secondary is behind", || {
        daemon.ctl("show map secondaries").contains("behind")
    });
    daemon.wait_until("the delay is reported as an event", || {
        daemon.ctl("show events").contains("SecondaryLate")
    });
    assert!(
        hosts().contains(&"host-3".to_string())
            && daemon.ctl("show map lingering").contains("host-3")
    );
    secondary
        .isolated
        .store(false, std::sync::atomic::Ordering::Relaxed);
    daemon.wait_until("the secondary has caught up", || {
        !hosts().contains(&"host-3".to_string())
    });
    daemon.wait_until("cached answers have expired", || {
        !daemon.ctl("show map lingering").contains("host-3")
    });
    let before = secondary.zone_copy().serial;
    let mut child = daemon.child.take().expect("no process");
    child.kill().expect("cannot kill the process");
    child.wait().expect("cannot wait for the process");
    daemon.run();
    daemon.wait_until("the restarted daemon has transferred the zone", || {
        secondary.zone_copy().serial > before
    });
    daemon.wait_until(
        "the secondary has the hosts of the restarted daemon",
        || hosts().len() == 5,
    );
    let serial = daemon.info_value("NamesSerial");
    daemon.wait_until("the serials are equal", || {
        secondary
            .zone_copy()
            .serial
            .map(|serial| serial.to_string())
            .as_ref()
            == Some(&serial)
    });
    assert_eq!(
        unauthorized.zone_copy().serial,
        None,
        "a secondary without the secret got a copy"
    );
}
