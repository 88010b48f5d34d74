//! Reports pushed at the expected rate and at many times it: how old figures are when they are decided on, what it costs, and
//! how soon hosts that hang are noticed in the middle of it. Proxies are the project's own, without clients; stand-ins push
//! in their names what clients would have brought.

use crate::bad_day::RehearsalError;
use crate::facts::Facts;
use crate::front::Front;
use crate::site::{List, write_settings};
use crate::storm;
use futures_util::{SinkExt, StreamExt};
use minijinja::{Environment, context};
use pondarch_event_log::Folder;
use pondarch_load_report_protocol::message::PROTOCOL_VERSION;
use pondarch_load_report_protocol::{
    Codec, Hello, ProxyCounters, ReportBody, ReportSender, SenderRole, ToController, ToSender,
};
use pondarch_replay::export;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UnixStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use tokio_util::codec::Framed;

/// The expected rates: a report a second of each proxy, and reqs a second over all of them.
const REPORT_EVERY: Duration = Duration::from_secs(1);
const REQS: f64 = 2_400.0;

#[derive(Clone, Debug)]
pub struct Plan {
    pub proxies: usize,
    pub hosts: usize,
    /// Times the expected rate, one after the other.
    pub times: Vec<u32>,
    /// How long each is played; in its middle a tenth of the hosts hangs.
    pub each: Duration,
    /// Lines of hosts that decisions take in a second; none: all.
    pub lines_per_second: Option<f64>,
}

/// What one rate came to. Ages and spans in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Rate {
    pub times: u32,
    pub reports: u64,
    /// Age of the oldest figure of each round that was decided on.
    pub age_p50: f64,
    pub age_p99: f64,
    pub age_most: f64,
    pub kept_back: u64,
    pub dropped: u64,
    /// From the hang to the moment that half of the hosts that hang, and all of them, had no weight at any proxy.
    pub half_noticed: Option<f64>,
    pub all_noticed: Option<f64>,
    pub hung: usize,
    pub cpu_ms_per_s: f64,
    pub rss_kib: u64,
    pub memory: Vec<String>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub proxies: usize,
    pub hosts: usize,
    pub lines_per_second: Option<f64>,
    pub rates: Vec<Rate>,
}

const TEXT: &str = "\
{{ r.proxies }} proxies, {{ r.hosts }} hosts, {{ r.lines_per_second or 'all' }} lines a second
{% for rate in r.rates -%}
{{ rate.times }} times: {{ rate.reports }} reports; oldest figure decided on {{ rate.age_p50 | round(0) }} ms (middle), \
{{ rate.age_p99 | round(0) }} ms (99 in 100), {{ rate.age_most | round(0) }} ms; {{ rate.kept_back }} lines kept for later, \
{{ rate.dropped }} dropped as stale
  {{ rate.hung }} hosts hung: half noticed after {{ rate.half_noticed }} ms, all after {{ rate.all_noticed }} ms
  CPU {{ rate.cpu_ms_per_s | round(1) }} ms a second, {{ rate.rss_kib }} KiB
{% for line in rate.memory %}    {{ line }}
{% endfor -%}
{% endfor %}";

impl Report {
    /// Errors: only if the template and the figures do not fit each other.
    pub fn text(&self) -> Result<String, RehearsalError> {
        Ok(Environment::new().render_str(TEXT, context! { r => self })?)
    }
}

/// Shared by the stand-ins that push.
struct Load {
    /// Times the expected rate.
    times: AtomicU64,
    hangs: AtomicBool,
    sent: AtomicU64,
    ends: AtomicBool,
}

/// Hosts that hang when it is time.
fn hangs(host: &str) -> bool {
    host.rsplit('-')
        .next()
        .and_then(|n| n.parse::<usize>().ok())
        .is_some_and(|n| n.is_multiple_of(10))
}

/// Plays all rates; what it started has ended when it returns.
///
/// Errors: something could not be started, or the records not read.
pub async fn play(plan: &Plan, program: &Path, folder: &Path) -> Result<Report, RehearsalError> {
    let io = |what: &'static str| {
        move |wrong| RehearsalError::Io {
            what: what.into(),
            wrong,
        }
    };
    let facts = Facts::default();
    let of = storm::Plan {
        proxies: plan.proxies,
        hosts: plan.hosts,
        ..storm::Plan::default()
    };
    let mut list = List::new(folder.join("hosts.jsonnet"), facts.clone());
    list.change(|all| all.extend(storm::entries(plan.hosts)))
        .map_err(io("the list cannot be written"))?;
    let mut fronts = Vec::new();
    for n in 0..plan.proxies {
        fronts.push(Arc::new(storm::front(n, list.file(), &facts).await?));
    }
    let mut site = storm::site(&of);
    site["reports"] = serde_json::json!({"every": "1 s", "push": "unix:push.sock"});
    if let Some(lines) = plan.lines_per_second {
        site["reports"]["lines_per_second"] = lines.into();
    }
    site["records"] = serde_json::json!({"folder": "records"});
    let settings = folder.join("steward.jsonnet");
    write_settings(&settings, &site).map_err(io("settings cannot be written"))?;
    let mut steward = storm::start(program, &settings, folder)?;
    storm::until_settled(&of, folder).await?;
    let load = Arc::new(Load {
        times: AtomicU64::new(1),
        hangs: AtomicBool::new(false),
        sent: AtomicU64::new(0),
        ends: AtomicBool::new(false),
    });
    let mut pushing = JoinSet::new();
    for (n, front) in fronts.iter().enumerate() {
        pushing.spawn(push(
            n,
            plan.proxies,
            folder.join("push.sock"),
            front.clone(),
            load.clone(),
        ));
    }
    let mut rates = Vec::new();
    for &times in &plan.times {
        load.times.store(u64::from(times), Relaxed);
        sleep(Duration::from_secs(3)).await;
        let (sent, cpu, begun, began_us) = (
            load.sent.load(Relaxed),
            storm::cpu_ms(&steward),
            Instant::now(),
            now_us(),
        );
        sleep(plan.each / 2).await;
        let (hung, half_noticed, all_noticed) = hang(&fronts, &load, plan.each / 2).await;
        let ask = |command| {
            let socket = folder.join("steward.sock");
            async move {
                crate::bad_day::ask(&socket, command)
                    .await
                    .unwrap_or_default()
            }
        };
        let memory = ask("show memory")
            .await
            .lines()
            .map(str::to_string)
            .filter(|line| !line.is_empty())
            .collect();
        let ended_us = now_us();
        let cpu_ms_per_s = (storm::cpu_ms(&steward) - cpu) / begun.elapsed().as_secs_f64();
        let rss_kib = storm::memory_kib(&steward, "VmRSS");
        let reports = load.sent.load(Relaxed) - sent;
        // Until they are back, and records are on the disk.
        load.hangs.store(false, Relaxed);
        sleep(Duration::from_secs(8)).await;
        let (mut ages, kept_back, dropped) = ages(&folder.join("records"), began_us, ended_us)?;
        ages.sort_by(f64::total_cmp);
        let at = |part: f64| {
            ages.get(((ages.len().max(1) - 1) as f64 * part) as usize)
                .copied()
                .unwrap_or(0.0)
        };
        rates.push(Rate {
            times,
            reports,
            age_p50: at(0.5),
            age_p99: at(0.99),
            age_most: at(1.0),
            kept_back,
            dropped,
            half_noticed,
            all_noticed,
            hung,
            cpu_ms_per_s,
            rss_kib,
            memory,
        });
    }
    load.ends.store(true, Relaxed);
    pushing.shutdown().await;
    steward
        .kill()
        .await
        .map_err(io("the steward cannot be ended"))?;
    Ok(Report {
        proxies: plan.proxies,
        hosts: plan.hosts,
        lines_per_second: plan.lines_per_second,
        rates,
    })
}

fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}

/// A tenth of the hosts hangs: how many of those that are in use, and how soon half and all of them are in no table.
async fn hang(
    fronts: &[Arc<Front>],
    load: &Load,
    within: Duration,
) -> (usize, Option<f64>, Option<f64>) {
    let in_use = || {
        let mut hosts = BTreeSet::new();
        for front in fronts {
            let tables = front.mirror();
            let servers = tables
                .backends
                .values()
                .flat_map(|backend| &backend.servers);
            hosts.extend(
                servers
                    .filter(|(name, s)| s.is_serving() && hangs(name))
                    .map(|(name, _)| name.clone()),
            );
        }
        hosts
    };
    let first = in_use();
    load.hangs.store(true, Relaxed);
    let begun = Instant::now();
    let (mut half, mut all) = (None, None);
    while begun.elapsed() < within {
        let left = in_use().intersection(&first).count();
        let ms = begun.elapsed().as_secs_f64() * 1e3;
        if left * 2 <= first.len() {
            half = half.or(Some(ms.round()));
        }
        if left == 0 {
            all = all.or(Some(ms.round()));
        }
        sleep(Duration::from_millis(50)).await;
    }
    (first.len(), half, all)
}

/// The age of the oldest figure of each round within a span, in milliseconds; lines kept back, and dropped.
fn ages(folder: &Path, from_us: u64, to_us: u64) -> Result<(Vec<f64>, u64, u64), RehearsalError> {
    let (mut ages, mut kept, mut dropped) = (Vec::new(), 0, 0);
    let read = export::rows(&Folder::read_only(folder), |row| {
        if row.name == "Looked" && (from_us..=to_us).contains(&row.at_us) {
            let fields: serde_json::Value = serde_json::from_str(&row.fields).unwrap_or_default();
            ages.push(fields["oldest_us"].as_f64().unwrap_or(0.0) / 1e3);
            kept += fields["kept"].as_u64().unwrap_or(0);
            dropped += fields["dropped"].as_u64().unwrap_or(0);
        }
        Ok(())
    });
    let wrong = |wrong: pondarch_replay::ReplayError| RehearsalError::Io {
        what: "the records cannot be read".into(),
        wrong: std::io::Error::other(wrong.to_string()),
    };
    read.map_err(wrong)?;
    Ok((ages, kept, dropped))
}

/// Pushes in a proxy's name what its clients would have brought.
async fn push(n: usize, proxies: usize, socket: PathBuf, front: Arc<Front>, load: Arc<Load>) {
    let mut sender = ReportSender::default();
    let (mut chance, run) = (fastrand::Rng::with_seed(n as u64), now_us());
    let mut counted: BTreeMap<(String, Option<String>), ProxyCounters> = BTreeMap::new();
    let mut last = Instant::now();
    while !load.ends.load(Relaxed) {
        let Ok(stream) = UnixStream::connect(&socket).await else {
            sleep(Duration::from_millis(200)).await;
            continue;
        };
        let mut wire: Framed<UnixStream, Codec<ToSender, ToController>> =
            Framed::new(stream, Codec::default());
        sender.on_connected();
        let hello = Hello {
            version: PROTOCOL_VERSION,
            name: format!("front-{n}"),
            role: SenderRole::Proxy,
            incarnation: run,
        };
        if wire.send(&ToController::Hello(hello)).await.is_err() {
            continue;
        }
        let mut times = load.times.load(Relaxed);
        let mut ticks = interval(REPORT_EVERY / times.max(1) as u32);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                word = wire.next() => match word {
                    Some(Ok(word)) => {
                        if sender.on_message(now_us(), word).is_some() {
                            break;
                        }
                    }
                    _ => break,
                },
                _ = ticks.tick() => {
                    sender.on_period_end();
                    if load.times.load(Relaxed) != times {
                        times = load.times.load(Relaxed);
                        ticks = interval(REPORT_EVERY / times.max(1) as u32);
                        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
                    }
                }
            }
            let brought = REQS * times as f64 / proxies as f64 * last.elapsed().as_secs_f64();
            let report = sender.next_report(now_us(), || {
                last = Instant::now();
                bring(
                    &front,
                    &mut counted,
                    brought,
                    load.hangs.load(Relaxed),
                    &mut chance,
                )
            });
            if let Some(report) = report {
                load.sent.fetch_add(1, Relaxed);
                if wire.send(&ToController::Report(report)).await.is_err() {
                    break;
                }
            }
        }
    }
}

/// So many reqs more, dealt to what the proxy serves by now.
fn bring(
    front: &Front,
    counted: &mut BTreeMap<(String, Option<String>), ProxyCounters>,
    brought: f64,
    hung: bool,
    chance: &mut fastrand::Rng,
) -> ReportBody {
    let tables = front.mirror();
    let kinds = tables.backends.len().max(1) as f64;
    for (name, backend) in &tables.backends {
        // The part of a req that is left over is one by chance.
        let reqs = (brought / kinds + chance.f64()) as u64;
        let of = |server: Option<&String>| ProxyCounters {
            backend: name.clone(),
            server: server.cloned(),
            ..ProxyCounters::default()
        };
        counted
            .entry((name.clone(), None))
            .or_insert_with(|| of(None))
            .requests += reqs;
        let serving: Vec<&String> = backend
            .servers
            .iter()
            .filter(|(_, s)| s.is_serving())
            .map(|(name, _)| name)
            .collect();
        for server in &serving {
            counted
                .entry((name.clone(), Some((*server).clone())))
                .or_insert_with(|| of(Some(server)));
        }
        for _ in 0..reqs {
            let Some(server) = serving.get(chance.usize(0..serving.len().max(1))) else {
                continue;
            };
            let Some(count) = counted.get_mut(&(name.clone(), Some((*server).clone()))) else {
                continue;
            };
            match hung && hangs(server) {
                true => count.failed += 1,
                false => {
                    (count.succeeded, count.success_time_us) =
                        (count.succeeded + 1, count.success_time_us + 40_000)
                }
            }
        }
    }
    ReportBody {
        counters: counted.values().cloned().collect(),
        host_metrics: None,
    }
}
