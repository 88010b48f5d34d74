//! The components of a rehearsal: simulated hosts, proxies, the endpoint list and controllers.

use super::{Plan, RehearsalError, TableSource};
use crate::client::{self, LoadTarget, RequestClass};
use crate::dns_proxy::DnsProxy;
use crate::endpoint_list::{EndpointEntry, EndpointList, spawn_program, write_settings};
use crate::host::{Host, HostConfig, HostFaults};
use crate::intercepted_proxy::InterceptedProxy;
use crate::observations::{ListedState, Observation, ObservationLog};
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

/// The DNS zone that controllers serve.
const DNS_ZONE: &str = "pond.test";
const ZONES: [&str; 4] = ["ede", "arnhem", "utrecht", "amersfoort"];
/// Time limit for all proxies to join, in seconds.
const JOIN_LIMIT_S: u64 = 10;

/// The request classes that clients send.
pub(crate) fn classes() -> Vec<RequestClass> {
    let class = |name, share, work, objective, timeout, priority_weight, replayable| RequestClass {
        name,
        share,
        work: Duration::from_millis(work),
        latency_objective: Duration::from_millis(objective),
        client_timeout: Duration::from_millis(timeout),
        priority_weight,
        replayable,
    };
    vec![
        class("proof", 0.48, 60, 600, 2_000, 1.0, true),
        class("order", 0.40, 40, 400, 1_500, 5.0, false),
        class("release", 0.12, 40, 300, 1_200, 3.0, false),
    ]
}

/// All running components of a bad day.
pub(crate) struct Harness {
    hosts: BTreeMap<String, Host>,
    pub(crate) proxies: Vec<InterceptedProxy>,
    /// Plain proxies that use DNS.
    dns_proxies: Vec<Arc<DnsProxy>>,
    pub(crate) list: EndpointList,
    controllers: Vec<Option<Child>>,
    program: PathBuf,
    folder: PathBuf,
    observations: ObservationLog,
    queue_monitor: JoinHandle<()>,
}

impl Harness {
    pub(crate) async fn start(
        plan: &Plan,
        program: &Path,
        folder: &Path,
        observations: ObservationLog,
    ) -> Result<Harness, RehearsalError> {
        let mut list = EndpointList::new(folder.join("hosts.jsonnet"), observations.clone());
        let mut hosts = BTreeMap::new();
        for n in 0..plan.hosts {
            let zone = ZONES[n % ZONES.len()];
            let config = HostConfig {
                name: format!("{zone}-{}", n / ZONES.len()),
                zone: zone.to_string(),
                rack: format!("{zone}-rack-{}", n / (2 * ZONES.len())),
                cores: 1,
                speed: 1.0,
                initial_capacity: plan.initial_capacity,
                slow_start_window: plan.slow_start_window,
                warm: true,
            };
            let host = Host::start(config, None, observations.clone())
                .await
                .map_err(io_error("cannot start a host"))?;
            hosts.insert(host.config.name.clone(), host);
        }
        list.update(|list| {
            list.extend(
                hosts
                    .values()
                    .map(|host| (host.config.name.clone(), endpoint_entry(host, None))),
            )
        })
        .map_err(io_error("cannot write the endpoint list"))?;
        let dns: Vec<SocketAddr> = (0..plan.controllers)
            .map(|_| free_port())
            .collect::<Result<_, _>>()?;
        let (mut proxies, mut dns_proxies) = (Vec::new(), Vec::new());
        for n in 0..plan.proxies {
            let zone = ZONES[n % ZONES.len()];
            let (name, seed) = (
                format!("front-{n}"),
                plan.seed.wrapping_mul(1_000) + n as u64,
            );
            if plan.table_source.uses_dns(n, plan.controllers) {
                let mut servers = dns.clone();
                servers.rotate_left(n % plan.controllers);
                let classes: Vec<&'static str> = classes().iter().map(|class| class.name).collect();
                let proxy = DnsProxy::new(
                    &name,
                    DNS_ZONE,
                    servers,
                    &classes,
                    seed,
                    observations.clone(),
                );
                dns_proxies.push(Arc::new(proxy));
                continue;
            }
            proxies.push(
                InterceptedProxy::start(
                    &name,
                    zone,
                    &ZONES,
                    &classes(),
                    list.file(),
                    seed,
                    observations.clone(),
                )
                .await?,
            );
        }
        for (c, dns) in dns.iter().enumerate() {
            write_settings(
                &folder.join(format!("steward-{c}.jsonnet")),
                &controller_settings(plan, c, *dns),
            )
            .map_err(io_error("cannot write a controller's settings"))?;
        }
        let sockets = (0..plan.controllers)
            .map(|c| folder.join(format!("steward-{c}.sock")))
            .collect();
        let mut harness = Harness {
            hosts,
            proxies,
            dns_proxies,
            list,
            controllers: (0..plan.controllers).map(|_| None).collect(),
            program: program.to_path_buf(),
            folder: folder.to_path_buf(),
            observations: observations.clone(),
            queue_monitor: tokio::spawn(monitor_queues(sockets, observations)),
        };
        for c in 0..plan.controllers {
            harness.start_controller(c)?;
        }
        Ok(harness)
    }

    pub(crate) fn start_controller(&mut self, c: usize) -> Result<(), RehearsalError> {
        let settings = self.folder.join(format!("steward-{c}.jsonnet"));
        let log = self.folder.join(format!("steward-{c}.log"));
        let child = spawn_program(&self.program, &["run"], &settings, &log)
            .map_err(io_error("cannot start a controller"))?;
        self.controllers[c] = Some(child);
        Ok(())
    }

    /// Kills a controller without a clean shutdown.
    pub(crate) async fn kill_controller(&mut self, c: usize) {
        if let Some(mut child) = self.controllers[c].take() {
            // An error means that it has already exited.
            child.kill().await.ok();
        }
    }

    /// Waits until each proxy with a runtime socket has joined a running controller.
    pub(crate) async fn wait_joined(&mut self) -> Result<(), RehearsalError> {
        let deadline = Instant::now() + Duration::from_secs(JOIN_LIMIT_S);
        loop {
            for controller in self.controllers.iter_mut().flatten() {
                if let Ok(Some(status)) = controller.try_wait() {
                    return Err(RehearsalError::ProcessFailed(
                        status.to_string(),
                        self.folder.clone(),
                    ));
                }
            }
            let mut joined = 0;
            for c in 0..self.controllers.len() {
                let text =
                    runtime_command(&self.folder.join(format!("steward-{c}.sock")), "show info")
                        .await;
                joined += text
                    .as_deref()
                    .and_then(|text| info_number(text, "ProxiesJoined"))
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

    /// Stops a host and starts a cold one with its name and address; the endpoint list shows the new start time at
    /// once.
    pub(crate) async fn restart_host(&mut self, name: &str) -> Result<(), RehearsalError> {
        let Some(old) = self.hosts.remove(name) else {
            return Ok(());
        };
        let (config, addr) = (
            HostConfig {
                warm: false,
                ..old.config.clone()
            },
            old.addr,
        );
        drop(old);
        let deadline = Instant::now() + Duration::from_secs(2);
        let host = loop {
            // The old listener closes asynchronously, so that the address may still be in use.
            match Host::start(config.clone(), Some(addr), self.observations.clone()).await {
                Ok(host) => break host,
                Err(_) if Instant::now() < deadline => sleep(Duration::from_millis(5)).await,
                Err(error) => return Err(io_error("cannot restart a host")(error)),
            }
        };
        self.hosts.insert(name.to_string(), host);
        let started = now_s();
        let change = |list: &mut BTreeMap<String, EndpointEntry>| {
            list.entry(name.to_string())
                .and_modify(|entry| entry.started = Some(started));
        };
        self.list
            .update(change)
            .map_err(io_error("cannot write the endpoint list"))
    }

    /// Minimum duration of the script, with some margin for the events that it waits for.
    pub(crate) fn script_duration(&self, plan: &Plan) -> Duration {
        let batch =
            plan.limits.drain_grace_period.max(plan.batch_interval) + Duration::from_millis(200);
        plan.initial_quiet_period
            + plan.slow_host_duration
            + plan.unresponsive_host_duration
            + batch * plan.deploy_batches.len() as u32
            + plan.slow_start_window / 2
            + plan.slow_start_window
            + plan.quiet_period * 7
            + Duration::from_secs(4)
            + plan.controller_downtime
            + plan.wrong_list_duration
    }

    /// Sends requests to all proxies until `until`.
    pub(crate) fn client_load(
        &self,
        plan: &Plan,
        until: Instant,
    ) -> impl Future<Output = ()> + Send + use<> {
        let next_id = Arc::new(AtomicU64::new(1));
        let mut rng = fastrand::Rng::with_seed(plan.seed ^ 0x5eed);
        let runtime_api_targets = self
            .proxies
            .iter()
            .map(|proxy| LoadTarget::Proxy(client::Client::new(proxy.addr)));
        let targets: Vec<LoadTarget> = runtime_api_targets
            .chain(self.dns_proxies.iter().cloned().map(LoadTarget::Dns))
            .collect();
        // Proxies receive unequal shares of the traffic.
        let shares: Vec<f64> = targets.iter().map(|_| 0.5 + rng.f64()).collect();
        let total: f64 = shares.iter().sum();
        let mut generators = tokio::task::JoinSet::new();
        for (target, share) in targets.into_iter().zip(shares) {
            let (rate, seed) = (plan.request_rate * share / total, rng.u64(..));
            generators.spawn(client::generate_load(
                target,
                classes(),
                rate,
                until,
                next_id.clone(),
                seed,
                self.observations.clone(),
            ));
        }
        async move { while generators.join_next().await.is_some() {} }
    }

    pub(crate) fn random_host_in(&self, rng: &mut fastrand::Rng, zone: &str) -> String {
        let in_zone: Vec<&String> = self
            .list
            .hosts
            .iter()
            .filter(|(_, e)| e.zone == zone)
            .map(|(n, _)| n)
            .collect();
        in_zone
            .get(rng.usize(0..in_zone.len().max(1)))
            .map(|name| name.to_string())
            .unwrap_or_default()
    }

    pub(crate) fn set_host_faults(&self, host: &str, set: impl FnOnce(&HostFaults)) {
        if let Some(host) = self.hosts.get(host) {
            set(&host.faults);
        }
    }

    /// Up to `count` listed hosts that were there from the start, except those in `excluded`.
    pub(crate) fn replaceable(&self, count: usize, excluded: &[&String]) -> Vec<String> {
        let initial = |name: &&String| !name.ends_with("-new") && !excluded.contains(name);
        self.list
            .hosts
            .keys()
            .filter(initial)
            .take(count)
            .cloned()
            .collect()
    }

    /// Starts a cold successor of each old host. One update of the endpoint list adds them and drains the old ones.
    pub(crate) async fn replace_hosts(&mut self, old: &[String]) -> Result<(), RehearsalError> {
        let mut new = Vec::new();
        for name in old {
            let Some(host) = self.hosts.get(name) else {
                continue;
            };
            let config = HostConfig {
                name: format!("{name}-new"),
                warm: false,
                ..host.config.clone()
            };
            let host = Host::start(config, None, self.observations.clone())
                .await
                .map_err(io_error("cannot start a successor host"))?;
            new.push((
                host.config.name.clone(),
                endpoint_entry(&host, Some(now_s())),
            ));
            self.hosts.insert(host.config.name.clone(), host);
        }
        self.list
            .update(|list| {
                list.extend(new);
                for name in old {
                    if let Some(entry) = list.get_mut(name) {
                        entry.state = ListedState::Draining;
                    }
                }
            })
            .map_err(io_error("cannot write the endpoint list"))
    }

    pub(crate) fn kill_host(&mut self, name: &str) {
        self.hosts.remove(name);
    }

    /// Applies an operator's change to every other host at a controller, so that each of its tables changes.
    pub(crate) async fn change_every_other_host(
        &self,
        controller: usize,
        change: &str,
    ) -> Result<(), RehearsalError> {
        let socket = self.folder.join(format!("steward-{controller}.sock"));
        for host in self.list.hosts.keys().step_by(2) {
            runtime_command(&socket, &format!("set server hosts/{host} {change}")).await;
        }
        Ok(())
    }

    pub(crate) async fn shut_down(&mut self) {
        self.queue_monitor.abort();
        for c in 0..self.controllers.len() {
            self.kill_controller(c).await;
        }
    }
}

fn endpoint_entry(host: &Host, started: Option<f64>) -> EndpointEntry {
    let config = &host.config;
    EndpointEntry {
        addr: host.addr,
        zone: config.zone.clone(),
        rack: config.rack.clone(),
        weight: 1.0,
        cores: config.cores as f64,
        started,
        state: ListedState::Ready,
    }
}

fn io_error(context: &'static str) -> impl Fn(std::io::Error) -> RehearsalError {
    move |error| RehearsalError::Io {
        context: context.into(),
        error,
    }
}

fn now_s() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
}

/// A port that is free for both UDP and TCP.
fn free_port() -> Result<SocketAddr, RehearsalError> {
    let mut last_error = None;
    for _ in 0..20 {
        let both = std::net::UdpSocket::bind("127.0.0.1:0").and_then(|udp| {
            let at = udp.local_addr()?;
            std::net::TcpListener::bind(at).map(|_| at)
        });
        match both {
            Ok(at) => return Ok(at),
            Err(error) => last_error = Some(error),
        }
    }
    let error = last_error.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into());
    Err(io_error("found no free port for DNS")(error))
}

fn controller_settings(plan: &Plan, controller: usize, dns: SocketAddr) -> serde_json::Value {
    let ms = |duration: Duration| format!("{} ms", duration.as_millis());
    let class = |class: &RequestClass| {
        let repeats = match class.name {
            "proof" => "replayable",
            "order" => "uniqued",
            _ => "non-replayable",
        };
        json!({"name": class.name, "response_target": ms(class.latency_objective),
            "client_timeout": ms(class.client_timeout), "benefit": class.priority_weight, "repeats": repeats})
    };
    let uses_dns = |n: usize| plan.table_source.uses_dns(n, plan.controllers);
    // A plain proxy may query any controller; the others belong to one each.
    let own = (0..plan.proxies).filter(|n| n % plan.controllers == controller || uses_dns(*n));
    let proxy = |n: usize| {
        let (name, zone) = (format!("front-{n}"), ZONES[n % ZONES.len()]);
        let usual_rate = plan.request_rate / plan.proxies as f64;
        match uses_dns(n) {
            true => json!({"name": name, "zone": zone, "usual_rate": usual_rate}),
            false => {
                json!({"name": name, "zone": zone, "runtime": format!("unix:front-{n}.sock"), "usual_rate": usual_rate})
            }
        }
    };
    let mut settings = json!({
        "name": format!("steward-{controller}"),
        "zones": ZONES,
        "kinds": classes().iter().map(class).collect::<Vec<_>>(),
        "proxies": own.map(proxy).collect::<Vec<_>>(),
        "proxies_of_site": plan.proxies,
        "hosts_file": "hosts.jsonnet",
        "channel": {"lines_per_second": 4000, "most_waiting": plan.limits.max_queued_lines,
            "message_cap": plan.limits.message_cap, "message_window": ms(plan.limits.message_window)},
        "reports": {"every": "1 s"},
        "cold": {"start_share": plan.initial_capacity, "warm_within": ms(plan.slow_start_window)},
        "probes": {"path": "/health"},
        "crossing_price": 0.06,
        "runtime_api": [{"listen": format!("unix:steward-{controller}.sock"), "level": "admin"}],
    });
    if plan.event_log {
        settings["records"] =
            json!({"folder": format!("records-{controller}"), "snapshot_every": "1 s"});
    }
    if plan.table_source != TableSource::RuntimeApi {
        settings["dns"] = json!({"zone": DNS_ZONE, "listen": dns, "grace": ms(plan.limits.drain_grace_period),
            "answers_per_second": 2000});
        // Proxies that use DNS send no load reports, so that controllers read load from the hosts' health checks.
        settings["probes"] =
            json!({"path": "/health", "load_every": "500 ms", "time_limit": "400 ms"});
    }
    settings
}

/// Periodically reads the number of queued lines from the controllers' sockets.
async fn monitor_queues(sockets: Vec<PathBuf>, observations: ObservationLog) {
    loop {
        for (n, socket) in sockets.iter().enumerate() {
            let text = runtime_command(socket, "show info").await;
            if let Some(lines) = text
                .as_deref()
                .and_then(|text| info_number(text, "LinesWaiting"))
            {
                observations.record(Observation::QueuedLines {
                    controller: format!("steward-{n}"),
                    lines,
                });
            }
        }
        sleep(Duration::from_millis(250)).await;
    }
}

fn info_number(info: &str, name: &str) -> Option<u64> {
    pondarch_runtime_api::info::Info::read(info).get_u64(name)
}

/// Sends one command to a runtime API socket; `None` if there is no reply within a second.
pub(crate) async fn runtime_command(socket: &Path, command: &str) -> Option<String> {
    let exchange = async {
        let mut stream = UnixStream::connect(socket).await.ok()?;
        stream
            .write_all(format!("{command}\n").as_bytes())
            .await
            .ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await.ok()?;
        Some(text)
    };
    tokio::time::timeout(Duration::from_secs(1), exchange)
        .await
        .ok()
        .flatten()
}
