//! Tests with a real daemon that is killed repeatedly: operators' commands survive, proxies follow, and the event log can
//! be replayed.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(clippy::too_many_lines)]

use pondarch_rehearsal::client::RequestClass;
use pondarch_rehearsal::intercepted_proxy::InterceptedProxy;
use pondarch_rehearsal::observations::ObservationLog;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output};
use std::time::{Duration, Instant};

const PROXIES: usize = 3;
const HOSTS: usize = 8;

/// A daemon, with its settings, host list and event log in a temporary directory.
struct Site {
    folder: tempfile::TempDir,
    child: Option<Child>,
}

impl Site {
    fn new(records: &str) -> Site {
        let folder = tempfile::tempdir().expect("no temporary directory");
        let proxy = |n: usize| {
            format!("{{ name: 'front-{n}', zone: 'ede', runtime: 'unix:front-{n}.sock' }}")
        };
        let proxies: Vec<String> = (0..PROXIES).map(proxy).collect();
        let settings = format!(
            "{{ name: 'killed', zones: ['ede'],
            kinds: [{{ name: 'proof', response_target: '1 s', client_timeout: '4 s', benefit: 1, repeats: 'replayable' }}],
            proxies: [{}], hosts_file: 'hosts.jsonnet',
            channel: {{ lines_per_second: 4000, most_waiting: 4000, message_cap: 0, message_window: '10 s' }},
            cold: {{ start_share: 0.17, warm_within: '18 s' }}, links: {{ redial_least: '20 ms', redial_most: '100 ms' }},
            records: {{ folder: '{records}', snapshot_every: '300 ms' }},
            runtime_api: [{{ listen: 'unix:admin.sock', level: 'admin' }}] }}",
            proxies.join(", ")
        );
        std::fs::write(folder.path().join("site.jsonnet"), settings)
            .expect("cannot write the settings");
        let mut site = Site {
            folder,
            child: None,
        };
        site.write_list(0);
        site.run();
        site
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Writes a host list without the first `omitted` hosts.
    fn write_list(&self, omitted: usize) {
        let host = |n: usize| {
            format!(
                "{{ name: 'host-{n}', address: '127.0.0.1:{}', zone: 'ede' }}",
                9_000 + n
            )
        };
        let hosts: Vec<String> = (omitted..HOSTS).map(host).collect();
        let part = self.path("hosts.part");
        std::fs::write(&part, format!("{{ hosts: [{}] }}", hosts.join(", ")))
            .expect("cannot write the host list");
        std::fs::rename(&part, self.path("hosts.jsonnet")).expect("cannot write the host list");
    }

    /// Starts the daemon.
    fn run(&mut self) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pondarch"));
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.path("log"))
            .expect("cannot open the log");
        command
            .arg("run")
            .arg(self.path("site.jsonnet"))
            .stderr(log);
        self.child = Some(command.spawn().expect("cannot start the program"));
    }

    fn kill(&mut self) {
        let mut child = self.child.take().expect("no process");
        child.kill().expect("cannot kill the process");
        child.wait().expect("cannot wait for the process");
    }

    fn ctl(&self, command: &str) -> String {
        let socket = format!("unix:{}", self.path("admin.sock").display());
        text(&pondarch(&["ctl", &socket, command]))
    }

    /// Waits until a condition holds.
    fn wait_until(&self, description: &str, holds: impl Fn() -> bool) {
        let deadline = Instant::now() + Duration::from_secs(30);
        while !holds() {
            assert!(
                Instant::now() < deadline,
                "not in time: {description}\n{}\nlog:\n{}",
                self.ctl("show info; show map owed; show errors"),
                std::fs::read_to_string(self.path("log")).unwrap_or_default()
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits until all proxies have joined.
    fn wait_for_proxies(&self) {
        self.wait_until("all proxies have joined", || {
            self.ctl("show info")
                .contains(&format!("ProxiesJoined: {PROXIES}\n"))
        });
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }
}

fn pondarch(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pondarch"))
        .args(args)
        .output()
        .expect("cannot start the program")
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

async fn start_proxies(folder: &Path) -> Vec<InterceptedProxy> {
    let kind = RequestClass {
        name: "proof",
        share: 1.0,
        work: Duration::from_millis(1),
        latency_objective: Duration::from_secs(1),
        client_timeout: Duration::from_secs(4),
        priority_weight: 1.0,
        replayable: true,
    };
    let mut proxies = Vec::new();
    for n in 0..PROXIES {
        let (list, name) = (folder.join("hosts.jsonnet"), format!("front-{n}"));
        let proxy = InterceptedProxy::start(
            &name,
            "ede",
            &["ede"],
            std::slice::from_ref(&kind),
            &list,
            n as u64,
            ObservationLog::default(),
        );
        proxies.push(proxy.await.expect("no proxy"));
    }
    proxies
}

fn serves(proxy: &InterceptedProxy, host: &str) -> bool {
    proxy.mirror().backends["proof"]
        .servers
        .get(host)
        .is_some_and(|server| server.is_serving())
}

/// Ten kills, each right after a drain command; after one of them the host list changes while no daemon runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_command_right_before_a_kill_survives_it() {
    let mut site = Site::new("records");
    let proxies = start_proxies(site.folder.path()).await;
    site.wait_for_proxies();
    let mut last_incarnation = 0;
    for round in 0..10 {
        let host = format!("host-{}", 1 + round % (HOSTS - 1));
        assert_eq!(
            site.ctl(&format!("set server hosts/{host} state drain"))
                .trim(),
            ""
        );
        site.kill();
        if round == 4 {
            site.write_list(1);
        }
        site.run();
        site.wait_for_proxies();
        site.wait_until("no proxy serves the drained host", || {
            proxies.iter().all(|proxy| !serves(proxy, &host))
        });
        assert!(proxies.iter().all(|proxy| {
            proxy.mirror().backends["proof"]
                .servers
                .values()
                .any(|s| s.is_serving())
        }));
        let stat = site.ctl("show stat");
        let drained = stat
            .lines()
            .any(|line| line.starts_with(&format!("hosts,{host},")) && line.contains(",DRAIN,"));
        assert!(drained, "round {round}: {stat}");
        let state = proxies[0]
            .mirror()
            .map_entry("pond_state", "steward")
            .unwrap_or_default()
            .to_string();
        let incarnation: u64 = state
            .split(':')
            .nth(1)
            .and_then(|word| word.parse().ok())
            .expect("no incarnation");
        assert!(
            incarnation > last_incarnation,
            "{incarnation} after {last_incarnation}"
        );
        last_incarnation = incarnation;
        assert_eq!(
            site.ctl(&format!("set server hosts/{host} state ready"))
                .trim(),
            ""
        );
    }
    site.wait_until("no proxy serves the removed host", || {
        proxies.iter().all(|proxy| !serves(proxy, "host-0"))
    });
    let folder = site.path("records").display().to_string();
    // A second daemon does not write to the same event log.
    let output = pondarch(&["run", &site.path("site.jsonnet").display().to_string()]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        String::from_utf8_lossy(&output.stderr).contains("another program writes records there")
    );
    site.kill();
    let output = pondarch(&["replay", &folder]);
    let replayed = text(&output);
    assert!(output.status.success(), "{replayed}");
    assert!(
        replayed
            .lines()
            .filter(|line| line.contains(": same"))
            .count()
            >= 10,
        "{replayed}"
    );
    let shown = text(&pondarch(&[
        "records", "show", &folder, "--proxy", "front-1", "--what", "Ordered",
    ]));
    assert!(shown.lines().count() >= 10, "{shown}");
    let verified = pondarch(&["records", "verify", &folder]);
    assert!(text(&verified).contains("segments"), "{}", text(&verified));
    let file = site.path("all.arrow").display().to_string();
    assert!(text(&pondarch(&["records", "export", &folder, &file])).contains("rows"));
    assert!(
        std::fs::read(&file)
            .expect("no file")
            .starts_with(b"ARROW1")
    );
    let scenario = site.path("scene.json").display().to_string();
    assert!(text(&pondarch(&["records", "scene", &folder, &scenario])).contains("moments"));
    let replayed = text(&pondarch(&["replay", &scenario, "--seeds", "2"]));
    assert!(
        replayed.contains("table changes") && replayed.contains("drain, longest ms"),
        "{replayed}"
    );
    let trimmed = text(&pondarch(&["records", "trim", &folder, "--bytes", "70000"]));
    assert!(trimmed.contains("segments dropped"), "{trimmed}");
}

/// Kills under load, with drains by the host list, and of all daemons at once in the end; the rules are judged by the
/// traffic on the sockets.
#[test]
fn kills_under_load_keep_the_rules() {
    let output = pondarch(&[
        "--log-level",
        "error",
        "rehearse",
        "kills",
        "--times",
        "5",
        "--seed",
        "2",
        "--json",
    ]);
    let (text, errors) = (
        text(&output),
        String::from_utf8_lossy(&output.stderr).into_owned(),
    );
    assert!(output.status.success(), "{text}\n{errors}");
    let report: serde_json::Value = serde_json::from_str(&text).expect("the output is not JSON");
    assert_eq!(report["held"].as_array().map(Vec::len), Some(5), "{text}");
}

/// A folder that cannot be written: the daemon keeps deciding, shows that the event log is stopped, and resumes writing by
/// itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_writable_folder_the_daemon_keeps_deciding_and_resumes_writing() {
    // There is a file in place of the folder: no process can write in it, whatever its privileges.
    let site = {
        let folder = "there/records";
        let mut site = Site::new(folder);
        site.wait_until("the event log is written", || {
            site.ctl("show info").contains("Records: written")
        });
        site.kill();
        std::fs::remove_dir_all(site.path("there")).expect("cannot remove");
        std::fs::write(site.path("there"), "a file").expect("no file");
        site.run();
        site
    };
    let proxies = start_proxies(site.folder.path()).await;
    site.wait_for_proxies();
    site.wait_until("the event log is reported as stopped", || {
        site.ctl("show info").contains("Records: stopped")
    });
    assert_eq!(site.ctl("set server hosts/host-3 state drain").trim(), "");
    site.wait_until("no proxy serves the drained host", || {
        proxies.iter().all(|proxy| !serves(proxy, "host-3"))
    });
    std::fs::remove_file(site.path("there")).expect("cannot remove");
    site.wait_until("the event log is written", || {
        site.ctl("show info").contains("Records: written")
    });
    let snapshot = |entry: std::io::Result<std::fs::DirEntry>| {
        entry.is_ok_and(|e| e.path().extension() == Some("snap".as_ref()))
    };
    let files = || {
        std::fs::read_dir(site.path("there/records"))
            .into_iter()
            .flatten()
    };
    site.wait_until("a snapshot is written", || files().any(snapshot));
    let mut site = site;
    site.kill();
    site.run();
    site.wait_for_proxies();
    let stat = site.ctl("show stat");
    let drained = stat
        .lines()
        .any(|line| line.starts_with("hosts,host-3,") && line.contains(",DRAIN,"));
    assert!(
        drained,
        "a command from the time without event log is not in the first snapshot: {stat}"
    );
}
