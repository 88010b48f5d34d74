//! All that a day needs: hosts, proxies, the list, stewards.

use super::{Fronts, Plan, RehearsalError};
use crate::by_name::ByName;
use crate::client::{self, Kind, Way};
use crate::facts::{Fact, Facts, Listed};
use crate::front::Front;
use crate::host::{Host, Make, Trouble};
use crate::site::{Entry, List, spawn, write_settings};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;
use tokio::process::Child;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// The zone of names that stewards answer for.
const DNS_ZONE: &str = "pond.test";
const ZONES: [&str; 4] = ["ede", "arnhem", "utrecht", "amersfoort"];
/// How long all proxies may take to be joined at the start, in seconds.
const JOIN_LIMIT_S: u64 = 10;

pub(crate) fn kinds() -> Vec<Kind> {
    let kind = |name, share, work, target, timeout, benefit, replayable| Kind {
        name,
        share,
        work: Duration::from_millis(work),
        response_target: Duration::from_millis(target),
        client_timeout: Duration::from_millis(timeout),
        benefit,
        replayable,
    };
    vec![
        kind("proof", 0.48, 60, 600, 2_000, 1.0, true),
        kind("order", 0.40, 40, 400, 1_500, 5.0, false),
        kind("release", 0.12, 40, 300, 1_200, 3.0, false),
    ]
}

pub(crate) struct Stage {
    hosts: BTreeMap<String, Host>,
    pub(crate) proxies: Vec<Front>,
    /// Plain proxies that ask by name.
    names: Vec<Arc<ByName>>,
    pub(crate) list: List,
    stewards: Vec<Option<Child>>,
    program: PathBuf,
    folder: PathBuf,
    facts: Facts,
    watch: JoinHandle<()>,
}

impl Stage {
    pub(crate) async fn set(
        plan: &Plan,
        program: &Path,
        folder: &Path,
        facts: Facts,
    ) -> Result<Stage, RehearsalError> {
        let mut list = List::new(folder.join("hosts.jsonnet"), facts.clone());
        let mut hosts = BTreeMap::new();
        for n in 0..plan.hosts {
            let zone = ZONES[n % ZONES.len()];
            let make = Make {
                name: format!("{zone}-{}", n / ZONES.len()),
                zone: zone.to_string(),
                rack: format!("{zone}-rack-{}", n / (2 * ZONES.len())),
                cores: 1,
                speed: 1.0,
                start_share: plan.start_share,
                warm_within: plan.warm_within,
                warm: true,
            };
            let host = Host::start(make, None, facts.clone())
                .await
                .map_err(failed("a host cannot be started"))?;
            hosts.insert(host.make.name.clone(), host);
        }
        list.change(|list| {
            list.extend(
                hosts
                    .values()
                    .map(|host| (host.make.name.clone(), entry(host, None))),
            )
        })
        .map_err(failed("the list cannot be written"))?;
        let dns: Vec<SocketAddr> = (0..plan.stewards)
            .map(|_| free_port())
            .collect::<Result<_, _>>()?;
        let (mut proxies, mut names) = (Vec::new(), Vec::new());
        for n in 0..plan.proxies {
            let zone = ZONES[n % ZONES.len()];
            let (name, seed) = (
                format!("front-{n}"),
                plan.seed.wrapping_mul(1_000) + n as u64,
            );
            if plan.fronts.by_name(n, plan.stewards) {
                let mut servers = dns.clone();
                servers.rotate_left(n % plan.stewards);
                let kinds: Vec<&'static str> = kinds().iter().map(|kind| kind.name).collect();
                let front = ByName::new(&name, DNS_ZONE, servers, &kinds, seed, facts.clone());
                names.push(Arc::new(front));
                continue;
            }
            proxies.push(
                Front::start(
                    &name,
                    zone,
                    &ZONES,
                    &kinds(),
                    list.file(),
                    seed,
                    facts.clone(),
                )
                .await?,
            );
        }
        for (s, dns) in dns.iter().enumerate() {
            write_settings(
                &folder.join(format!("steward-{s}.jsonnet")),
                &settings(plan, s, *dns),
            )
            .map_err(failed("settings cannot be written"))?;
        }
        let sockets = (0..plan.stewards)
            .map(|s| folder.join(format!("steward-{s}.sock")))
            .collect();
        let mut stage = Stage {
            hosts,
            proxies,
            names,
            list,
            stewards: (0..plan.stewards).map(|_| None).collect(),
            program: program.to_path_buf(),
            folder: folder.to_path_buf(),
            facts: facts.clone(),
            watch: tokio::spawn(watch(sockets, facts)),
        };
        for s in 0..plan.stewards {
            stage.start_steward(s)?;
        }
        Ok(stage)
    }

    pub(crate) fn start_steward(&mut self, s: usize) -> Result<(), RehearsalError> {
        let settings = self.folder.join(format!("steward-{s}.jsonnet"));
        let log = self.folder.join(format!("steward-{s}.log"));
        let child = spawn(&self.program, &["run"], &settings, &log)
            .map_err(failed("a steward cannot be started"))?;
        self.stewards[s] = Some(child);
        Ok(())
    }

    /// Killed outright: no word to anybody.
    pub(crate) async fn kill_steward(&mut self, s: usize) {
        if let Some(mut child) = self.stewards[s].take() {
            // It may have ended by itself: gone either way.
            child.kill().await.ok();
        }
    }

    /// Waits until each proxy has the mark of a steward that runs now.
    pub(crate) async fn wait_joined(&mut self) -> Result<(), RehearsalError> {
        let deadline = Instant::now() + Duration::from_secs(JOIN_LIMIT_S);
        loop {
            for steward in self.stewards.iter_mut().flatten() {
                if let Ok(Some(status)) = steward.try_wait() {
                    return Err(RehearsalError::StewardEnded(
                        status.to_string(),
                        self.folder.clone(),
                    ));
                }
            }
            let mut joined = 0;
            for s in 0..self.stewards.len() {
                let text = ask(&self.folder.join(format!("steward-{s}.sock")), "show info").await;
                joined += text
                    .as_deref()
                    .and_then(|text| figure(text, "ProxiesJoined"))
                    .unwrap_or(0);
            }
            if joined as usize == self.proxies.len() {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(RehearsalError::NotJoined(JOIN_LIMIT_S, self.folder.clone()));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// A host's process ends, and another starts cold under its name and address; the list says so at once.
    pub(crate) async fn restart_host(&mut self, name: &str) -> Result<(), RehearsalError> {
        let Some(old) = self.hosts.remove(name) else {
            return Ok(());
        };
        let (make, addr) = (
            Make {
                warm: false,
                ..old.make.clone()
            },
            old.addr,
        );
        drop(old);
        let deadline = Instant::now() + Duration::from_secs(2);
        let host = loop {
            // The old process's sockets close in their own time.
            match Host::start(make.clone(), Some(addr), self.facts.clone()).await {
                Ok(host) => break host,
                Err(_) if Instant::now() < deadline => sleep(Duration::from_millis(5)).await,
                Err(wrong) => return Err(failed("a host cannot be started again")(wrong)),
            }
        };
        self.hosts.insert(name.to_string(), host);
        let started = now_s();
        let change = |list: &mut BTreeMap<String, Entry>| {
            list.entry(name.to_string())
                .and_modify(|entry| entry.started = Some(started));
        };
        self.list
            .change(change)
            .map_err(failed("the list cannot be written"))
    }

    /// How long the script takes at least, with some room for what it waits for.
    pub(crate) fn spans(&self, plan: &Plan) -> Duration {
        let batch = plan.limits.grace.max(plan.between_batches) + Duration::from_millis(200);
        plan.opening
            + plan.slow
            + plan.silent
            + batch * plan.deploy.len() as u32
            + plan.warm_within / 2
            + plan.warm_within
            + plan.calm * 7
            + Duration::from_secs(4)
            + plan.steward_away
            + plan.wrong_list
    }

    pub(crate) fn clients(
        &self,
        plan: &Plan,
        until: Instant,
    ) -> impl Future<Output = ()> + Send + use<> {
        let ids = Arc::new(AtomicU64::new(1));
        let mut chance = fastrand::Rng::with_seed(plan.seed ^ 0x5eed);
        let by_proxy = self
            .proxies
            .iter()
            .map(|proxy| Way::Proxy(client::Client::new(proxy.addr)));
        let ways: Vec<Way> = by_proxy
            .chain(self.names.iter().cloned().map(Way::Names))
            .collect();
        // Proxies get unequal parts of the traffic.
        let parts: Vec<f64> = ways.iter().map(|_| 0.5 + chance.f64()).collect();
        let sum: f64 = parts.iter().sum();
        let mut asking = tokio::task::JoinSet::new();
        for (way, part) in ways.into_iter().zip(parts) {
            let (rate, seed) = (plan.rate * part / sum, chance.u64(..));
            asking.spawn(client::ask(
                way,
                kinds(),
                rate,
                until,
                ids.clone(),
                seed,
                self.facts.clone(),
            ));
        }
        async move { while asking.join_next().await.is_some() {} }
    }

    pub(crate) fn some_host(&self, chance: &mut fastrand::Rng, zone: &str) -> String {
        let of: Vec<&String> = self
            .list
            .hosts
            .iter()
            .filter(|(_, e)| e.zone == zone)
            .map(|(n, _)| n)
            .collect();
        of.get(chance.usize(0..of.len().max(1)))
            .map(|name| name.to_string())
            .unwrap_or_default()
    }

    pub(crate) fn trouble(&self, host: &str, set: impl FnOnce(&Trouble)) {
        if let Some(host) = self.hosts.get(host) {
            set(&host.trouble);
        }
    }

    /// Hosts of the first day that are still listed, but for these.
    pub(crate) fn replaceable(&self, count: usize, not: &[&String]) -> Vec<String> {
        let old = |name: &&String| !name.ends_with("-new") && !not.contains(name);
        self.list
            .hosts
            .keys()
            .filter(old)
            .take(count)
            .cloned()
            .collect()
    }

    /// Cold successors start and are listed, and the old ones drain, in one word of the list.
    pub(crate) async fn successors(&mut self, old: &[String]) -> Result<(), RehearsalError> {
        let mut new = Vec::new();
        for name in old {
            let Some(host) = self.hosts.get(name) else {
                continue;
            };
            let make = Make {
                name: format!("{name}-new"),
                warm: false,
                ..host.make.clone()
            };
            let host = Host::start(make, None, self.facts.clone())
                .await
                .map_err(failed("a successor"))?;
            new.push((host.make.name.clone(), entry(&host, Some(now_s()))));
            self.hosts.insert(host.make.name.clone(), host);
        }
        self.list
            .change(|list| {
                list.extend(new);
                for name in old {
                    if let Some(entry) = list.get_mut(name) {
                        entry.listed = Listed::Drain;
                    }
                }
            })
            .map_err(failed("the list cannot be written"))
    }

    pub(crate) fn kill_host(&mut self, name: &str) {
        self.hosts.remove(name);
    }

    /// Changes every other host at a steward, so that each of its tables has something to send.
    pub(crate) async fn operator(
        &self,
        steward: usize,
        change: &str,
    ) -> Result<(), RehearsalError> {
        let socket = self.folder.join(format!("steward-{steward}.sock"));
        for host in self.list.hosts.keys().step_by(2) {
            ask(&socket, &format!("set server hosts/{host} {change}")).await;
        }
        Ok(())
    }

    pub(crate) async fn end(&mut self) {
        self.watch.abort();
        for s in 0..self.stewards.len() {
            self.kill_steward(s).await;
        }
    }
}

fn entry(host: &Host, started: Option<f64>) -> Entry {
    let make = &host.make;
    Entry {
        addr: host.addr,
        zone: make.zone.clone(),
        rack: make.rack.clone(),
        weight: 1.0,
        cores: make.cores as f64,
        started,
        listed: Listed::Ready,
    }
}

fn failed(what: &'static str) -> impl Fn(std::io::Error) -> RehearsalError {
    move |wrong| RehearsalError::Io {
        what: what.into(),
        wrong,
    }
}

fn now_s() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
}

/// A port that UDP and TCP both have free.
fn free_port() -> Result<SocketAddr, RehearsalError> {
    let mut wrong = None;
    for _ in 0..20 {
        let both = std::net::UdpSocket::bind("127.0.0.1:0").and_then(|udp| {
            let at = udp.local_addr()?;
            std::net::TcpListener::bind(at).map(|_| at)
        });
        match both {
            Ok(at) => return Ok(at),
            Err(other) => wrong = Some(other),
        }
    }
    let wrong = wrong.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into());
    Err(failed("no port for DNS")(wrong))
}

fn settings(plan: &Plan, steward: usize, dns: SocketAddr) -> serde_json::Value {
    let ms = |span: Duration| format!("{} ms", span.as_millis());
    let kind = |kind: &Kind| {
        let repeats = match kind.name {
            "proof" => "replayable",
            "order" => "uniqued",
            _ => "non-replayable",
        };
        json!({"name": kind.name, "response_target": ms(kind.response_target),
            "client_timeout": ms(kind.client_timeout), "benefit": kind.benefit, "repeats": repeats})
    };
    let by_name = |n: usize| plan.fronts.by_name(n, plan.stewards);
    // A plain proxy may ask any steward; the others have one each.
    let own = (0..plan.proxies).filter(|n| n % plan.stewards == steward || by_name(*n));
    let proxy = |n: usize| {
        let (name, zone) = (format!("front-{n}"), ZONES[n % ZONES.len()]);
        let usual = plan.rate / plan.proxies as f64;
        match by_name(n) {
            true => json!({"name": name, "zone": zone, "usual_rate": usual}),
            false => {
                json!({"name": name, "zone": zone, "runtime": format!("unix:front-{n}.sock"), "usual_rate": usual})
            }
        }
    };
    let mut settings = json!({
        "name": format!("steward-{steward}"),
        "zones": ZONES,
        "kinds": kinds().iter().map(kind).collect::<Vec<_>>(),
        "proxies": own.map(proxy).collect::<Vec<_>>(),
        "proxies_of_site": plan.proxies,
        "hosts_file": "hosts.jsonnet",
        "channel": {"lines_per_second": 4000, "most_waiting": plan.limits.most_waiting,
            "message_cap": plan.limits.message_cap, "message_window": ms(plan.limits.message_window)},
        "reports": {"every": "1 s"},
        "cold": {"start_share": plan.start_share, "warm_within": ms(plan.warm_within)},
        "probes": {"path": "/health"},
        "crossing_price": 0.06,
        "runtime_api": [{"listen": format!("unix:steward-{steward}.sock"), "level": "admin"}],
    });
    if plan.records {
        settings["records"] =
            json!({"folder": format!("records-{steward}"), "snapshot_every": "1 s"});
    }
    if plan.fronts != Fronts::Runtime {
        settings["dns"] = json!({"zone": DNS_ZONE, "listen": dns, "grace": ms(plan.limits.grace),
            "answers_per_second": 2000});
        // DNS brings no sums: hosts are asked for what they say of themselves.
        settings["probes"] =
            json!({"path": "/health", "load_every": "500 ms", "time_limit": "400 ms"});
    }
    settings
}

/// Asks the stewards' own sockets how many lines wait.
async fn watch(sockets: Vec<PathBuf>, facts: Facts) {
    loop {
        for (n, socket) in sockets.iter().enumerate() {
            let text = ask(socket, "show info").await;
            if let Some(lines) = text
                .as_deref()
                .and_then(|text| figure(text, "LinesWaiting"))
            {
                facts.note(Fact::Waiting {
                    steward: format!("steward-{n}"),
                    lines,
                });
            }
        }
        sleep(Duration::from_millis(250)).await;
    }
}

fn figure(info: &str, name: &str) -> Option<u64> {
    pondarch_runtime_api::info::Info::read(info).get_u64(name)
}

/// One command on a steward's own socket; none if nobody answers within a second.
pub(crate) async fn ask(socket: &Path, command: &str) -> Option<String> {
    let asked = async {
        let mut stream = UnixStream::connect(socket).await.ok()?;
        stream
            .write_all(format!("{command}\n").as_bytes())
            .await
            .ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await.ok()?;
        Some(text)
    };
    tokio::time::timeout(Duration::from_secs(1), asked)
        .await
        .ok()
        .flatten()
}
