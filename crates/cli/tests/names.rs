//! The DNS front of a real steward, asked like any client does.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(clippy::too_many_lines)]

use pondarch_dns_server::TsigKey;
use pondarch_rehearsal::secondary::Secondary;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

struct Steward {
    folder: tempfile::TempDir,
    dns: SocketAddr,
    child: Option<Child>,
}

/// 32 bytes of 7.
const SECRET: &str = "BwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwc=\n";

/// A port that both protocols have free.
fn free() -> SocketAddr {
    loop {
        let udp = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let at = udp.local_addr().expect("an address");
        if TcpListener::bind(at).is_ok() {
            return at;
        }
    }
}

impl Steward {
    fn start() -> Steward {
        Steward::start_at(free(), "")
    }

    /// With more settings for DNS.
    fn start_at(dns: SocketAddr, more: &str) -> Steward {
        let folder = tempfile::tempdir().expect("a folder");
        std::fs::write(folder.path().join("second.key"), SECRET).expect("a secret");
        let site = format!(
            "{{ name: 'named', zones: ['ede'],
            kinds: [{{ name: 'proof', response_target: '1 s', client_timeout: '4 s', benefit: 1, repeats: 'replayable' }}],
            proxies: [{{ name: 'plain', zone: 'ede', usual_rate: 5 }}, {{ name: 'other', zone: 'ede', sources: ['127.0.0.0/8'] }}],
            hosts_file: 'hosts.jsonnet',
            channel: {{ lines_per_second: 4000, most_waiting: 4000, message_cap: 12, message_window: '10 s' }},
            cold: {{ start_share: 0.17, warm_within: '18 s' }},
            dns: {{ zone: 'pond.test', listen: '{dns}', grace: '4 s', answers_per_second: 1000{more} }},
            runtime_api: [{{ listen: 'unix:admin.sock', level: 'admin' }}] }}"
        );
        std::fs::write(folder.path().join("site.jsonnet"), site).expect("settings");
        let mut steward = Steward {
            folder,
            dns,
            child: None,
        };
        steward.list(None);
        steward.run();
        steward
    }

    fn run(&mut self) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pondarch"));
        command
            .arg("run")
            .arg(self.path("site.jsonnet"))
            .stderr(Stdio::null());
        self.child = Some(command.spawn().expect("the program starts"));
        let deadline = Instant::now() + Duration::from_secs(10);
        while self.ask("pond.test", &["--type", "SOA"]).is_none() {
            assert!(Instant::now() < deadline, "it never answers");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn path(&self, name: &str) -> std::path::PathBuf {
        self.folder.path().join(name)
    }

    fn list(&self, drained: Option<usize>) {
        let host = |n: usize| {
            let state = if drained == Some(n) { "drain" } else { "ready" };
            format!(
                "{{ name: 'host-{n}', address: '127.0.0.1:{}', zone: 'ede', state: '{state}' }}",
                9_000 + n
            )
        };
        let hosts: Vec<String> = (0..6).map(host).collect();
        let part = self.path("hosts.part");
        std::fs::write(&part, format!("{{ hosts: [{}] }}", hosts.join(", "))).expect("a list");
        std::fs::rename(&part, self.path("hosts.jsonnet")).expect("a list");
    }

    /// What `pondarch resolve` prints; none if it did not go well.
    fn ask(&self, name: &str, more: &[&str]) -> Option<String> {
        let server = self.dns.to_string();
        let mut command = Command::new(env!("CARGO_BIN_EXE_pondarch"));
        let output = command
            .args(["resolve", name, "--server", &server])
            .args(more)
            .output()
            .expect("it starts");
        output
            .status
            .success()
            .then(|| String::from_utf8_lossy(&output.stdout).into_owned())
    }

    fn serial(&self) -> u64 {
        let soa = self
            .ask("pond.test", &["--type", "SOA"])
            .expect("an answer");
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
            .expect("it starts");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    fn figure(&self, name: &str) -> String {
        let text = self.ctl("show info");
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
        line.unwrap_or_default().to_string()
    }

    fn until(&self, what: &str, holds: impl Fn() -> bool) {
        let deadline = Instant::now() + Duration::from_secs(10);
        while !holds() {
            assert!(Instant::now() < deadline, "never: {what}");
            std::thread::sleep(Duration::from_millis(30));
        }
    }
}

impl Drop for Steward {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }
}

#[test]
fn a_steward_answers_joins_who_asks_heeds_drains_and_never_goes_back() {
    let mut steward = Steward::start();
    let name = "_proof._tcp.plain.pond.test";
    steward.until("hosts", || {
        steward
            .ask(name, &[])
            .is_some_and(|text| text.contains("SRV"))
    });
    steward.until("joined by asking", || {
        steward.ask(name, &[]);
        steward
            .ctl("show map proxies")
            .contains("plain joined table-")
    });
    let text = steward.ask(name, &[]).expect("an answer");
    let srv = text.lines().filter(|line| line.contains(" SRV ")).count();
    assert_eq!(srv, 6, "{text}");
    // A grace of 4 s, half to learn, one for how caches count.
    assert!(text.lines().all(|line| line.contains(" 2 ")), "{text}");
    let tcp = steward.ask(name, &["--tcp"]).expect("an answer");
    assert_eq!(tcp.lines().filter(|line| line.contains(" SRV ")).count(), 6);
    // The source says who asks, where the name does not.
    steward.until("the other", || {
        steward.ask("proof.pond.test", &["--type", "A"]);
        steward
            .ctl("show map proxies")
            .contains("other joined table-")
    });
    assert!(steward.ask("nobody.pond.test", &["--type", "A"]).is_none());
    let before = steward.serial();
    steward.list(Some(2));
    let told = Instant::now();
    steward.until("the drain", || {
        steward
            .ask(name, &[])
            .is_some_and(|text| !text.contains("host-2"))
    });
    assert!(
        told.elapsed() < Duration::from_millis(1_500),
        "{:?}",
        told.elapsed()
    );
    assert!(steward.ctl("show map lingering").contains("host-2"));
    steward.until("caches ran out", || {
        !steward.ctl("show map lingering").contains("host-2")
    });
    assert!(told.elapsed() < Duration::from_secs(5));
    let serial = steward.serial();
    assert!(serial > before);
    let mut child = steward.child.take().expect("a process");
    child.kill().expect("killed");
    child.wait().expect("gone");
    steward.run();
    steward.until("hosts again", || steward.ask(name, &[]).is_some());
    assert!(
        steward.serial() >= serial,
        "{} after {serial}",
        steward.serial()
    );
}

#[test]
fn a_grace_that_leaves_no_lifetime_is_refused() {
    let steward = Steward::start();
    let site = std::fs::read_to_string(steward.path("site.jsonnet")).expect("settings");
    let wrong = steward.path("wrong.jsonnet");
    std::fs::write(&wrong, site.replace("grace: '4 s'", "grace: '2 s'")).expect("settings");
    let check = |file: &Path| {
        let output = Command::new(env!("CARGO_BIN_EXE_pondarch"))
            .arg("check")
            .arg(file)
            .output();
        let output = output.expect("it starts");
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )
    };
    let (code, text) = check(&wrong);
    assert_eq!(code, Some(2));
    assert!(
        text.contains("dns.grace") && text.contains("with 2500 ms it would"),
        "{text}"
    );
    std::fs::write(&wrong, site.replace("dns:", "// dns:")).expect("settings");
    let (code, text) = check(&wrong);
    assert!(
        code == Some(2) && text.contains("is absent, and there is no dns"),
        "{text}"
    );
}

/// Copies follow by signed differences; one that is cut off is said to be behind and catches up; a steward that starts anew
/// serves it the whole zone again, with a serial that goes on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_secondary_follows_is_cut_off_and_catches_up() {
    let dns = free();
    let key = TsigKey::new("second.pond.test", vec![7; 32]).expect("a key");
    let second = Secondary::start("pond.test", dns, key.clone())
        .await
        .expect("a socket");
    let stranger = Secondary::start(
        "pond.test",
        dns,
        TsigKey::new("second.pond.test", vec![8; 32]).expect("a key"),
    );
    let stranger = stranger.await.expect("a socket");
    let of = format!(
        "{{ address: '{}', key: 'second.pond.test', secret_file: 'second.key' }}",
        second.addr
    );
    let more = format!(", lifetime: 1, behind: '400 ms', expires: '30 s', secondaries: [{of}]");
    let mut steward = Steward::start_at(dns, &more);
    let name = "_proof._tcp.plain.pond.test";
    let hosts = || {
        let lines = second.zone_copy().services(name);
        lines
            .into_iter()
            .map(|(_, target)| target.split('.').next().unwrap_or("").to_string())
            .collect::<Vec<_>>()
    };
    steward.until("a copy", || hosts().len() == 6);
    assert!(
        second.transfer_and_notification_counts().1 >= 1,
        "it was told"
    );
    let told = Instant::now();
    steward.list(Some(2));
    steward.until("the drain in the copy", || {
        !hosts().contains(&"host-2".to_string())
    });
    assert!(
        told.elapsed() < Duration::from_millis(1_500),
        "{:?}",
        told.elapsed()
    );
    assert_eq!(hosts().len(), 5);
    steward.until("known", || {
        steward
            .ctl("show map secondaries")
            .contains("second.pond.test holds")
    });
    steward.until("not behind", || {
        !steward.ctl("show map secondaries").contains("behind")
    });
    second
        .isolated
        .store(true, std::sync::atomic::Ordering::Relaxed);
    steward.list(Some(3));
    steward.until("behind", || {
        steward.ctl("show map secondaries").contains("behind")
    });
    steward.until("said", || {
        steward.ctl("show events").contains("SecondaryLate")
    });
    assert!(
        hosts().contains(&"host-3".to_string())
            && steward.ctl("show map lingering").contains("host-3")
    );
    second
        .isolated
        .store(false, std::sync::atomic::Ordering::Relaxed);
    steward.until("caught up", || !hosts().contains(&"host-3".to_string()));
    steward.until("ran out", || {
        !steward.ctl("show map lingering").contains("host-3")
    });
    let before = second.zone_copy().serial;
    let mut child = steward.child.take().expect("a process");
    child.kill().expect("killed");
    child.wait().expect("gone");
    steward.run();
    steward.until("the new steward's copy", || {
        second.zone_copy().serial > before
    });
    steward.until("its hosts", || hosts().len() == 5);
    let serial = steward.figure("NamesSerial");
    steward.until("the same", || {
        second
            .zone_copy()
            .serial
            .map(|serial| serial.to_string())
            .as_ref()
            == Some(&serial)
    });
    assert_eq!(
        stranger.zone_copy().serial,
        None,
        "without the secret there is no copy"
    );
}
