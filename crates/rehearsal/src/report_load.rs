//! Load reports at multiples of the expected rate: how old the reported load is when the controller uses it, what the
//! controller uses, and how soon hosts that stop answering are noticed meanwhile. The proxies are the project's own,
//! without clients; simulated senders push load reports in their names, with the counts that clients would have
//! caused.

use crate::bad_day::RehearsalError;
use crate::connection_storm;
use crate::endpoint_list::{EndpointList, write_settings};
use crate::intercepted_proxy::InterceptedProxy;
use crate::observations::ObservationLog;
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

/// Expected time between two load reports of a proxy.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Expected requests per second, over all proxies.
const REQUEST_RATE: f64 = 2_400.0;

/// Size and steps of the rehearsal.
#[derive(Clone, Debug)]
pub struct Plan {
    pub proxies: usize,
    pub hosts: usize,
    /// Multiples of the expected rate, one step each.
    pub rate_multiples: Vec<u32>,
    /// Duration of each step. In its middle a tenth of the hosts stops answering.
    pub step_duration: Duration,
    /// Maximum number of reported lines that the controller uses per second; `None` for no limit.
    pub lines_per_second: Option<f64>,
}

/// Results of one step. Ages and times are in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct StepReport {
    #[serde(rename = "times")]
    pub rate_multiple: u32,
    pub reports: u64,
    /// Age of the oldest reported load that each decision round used.
    pub age_p50: f64,
    pub age_p99: f64,
    #[serde(rename = "age_most")]
    pub age_max: f64,
    #[serde(rename = "kept_back")]
    pub lines_deferred: u64,
    #[serde(rename = "dropped")]
    pub lines_dropped: u64,
    /// Time until half of the unresponsive hosts had no weight at any proxy.
    pub half_noticed: Option<f64>,
    /// Time until none of the unresponsive hosts had a weight at any proxy.
    pub all_noticed: Option<f64>,
    #[serde(rename = "hung")]
    pub unresponsive_hosts: usize,
    pub cpu_ms_per_s: f64,
    pub rss_kib: u64,
    pub memory: Vec<String>,
}

/// Results of all steps.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub proxies: usize,
    pub hosts: usize,
    pub lines_per_second: Option<f64>,
    #[serde(rename = "rates")]
    pub steps: Vec<StepReport>,
}

const TEXT: &str = "\
{{ r.proxies }} proxies, {{ r.hosts }} hosts, {{ r.lines_per_second or 'all' }} lines per second
{% for rate in r.rates -%}
{{ rate.times }} times the expected rate: {{ rate.reports }} reports; age of the oldest load used {{ rate.age_p50 | round(0) }} ms \
(median), {{ rate.age_p99 | round(0) }} ms (p99), {{ rate.age_most | round(0) }} ms (maximum); {{ rate.kept_back }} lines deferred, \
{{ rate.dropped }} dropped as stale
  {{ rate.hung }} hosts unresponsive: half noticed after {{ rate.half_noticed }} ms, all after {{ rate.all_noticed }} ms
  CPU {{ rate.cpu_ms_per_s | round(1) }} ms per second, {{ rate.rss_kib }} KiB
{% for line in rate.memory %}    {{ line }}
{% endfor -%}
{% endfor %}";

impl Report {
    /// Renders the report as text.
    ///
    /// # Errors
    ///
    /// The template does not match the fields.
    pub fn text(&self) -> Result<String, RehearsalError> {
        Ok(Environment::new().render_str(TEXT, context! { r => self })?)
    }
}

/// State shared by the simulated senders.
struct SenderState {
    rate_multiple: AtomicU64,
    hosts_unresponsive: AtomicBool,
    reports_sent: AtomicU64,
    stop: AtomicBool,
}

/// Whether this host is one of the tenth that stops answering.
fn becomes_unresponsive(host: &str) -> bool {
    host.rsplit('-')
        .next()
        .and_then(|n| n.parse::<usize>().ok())
        .is_some_and(|n| n.is_multiple_of(10))
}

/// Runs all steps. Everything that it started has ended when it returns.
///
/// # Errors
///
/// A component could not be started or stopped, or the event log could not be read.
pub async fn run(plan: &Plan, program: &Path, folder: &Path) -> Result<Report, RehearsalError> {
    let io_error = |context: &'static str| {
        move |error| RehearsalError::Io {
            context: context.into(),
            error,
        }
    };
    let observations = ObservationLog::default();
    let storm_plan = connection_storm::Plan {
        proxies: plan.proxies,
        hosts: plan.hosts,
        ..connection_storm::Plan::default()
    };
    let mut list = EndpointList::new(folder.join("hosts.jsonnet"), observations.clone());
    list.update(|all| all.extend(connection_storm::endpoint_entries(plan.hosts)))
        .map_err(io_error("cannot write the endpoint list"))?;
    let mut proxies = Vec::new();
    for n in 0..plan.proxies {
        proxies.push(Arc::new(
            connection_storm::start_proxy(n, list.file(), &observations).await?,
        ));
    }
    let mut settings = connection_storm::controller_settings(&storm_plan);
    settings["reports"] = serde_json::json!({"every": "1 s", "push": "unix:push.sock"});
    if let Some(lines) = plan.lines_per_second {
        settings["reports"]["lines_per_second"] = lines.into();
    }
    settings["records"] = serde_json::json!({"folder": "records"});
    let settings_file = folder.join("steward.jsonnet");
    write_settings(&settings_file, &settings)
        .map_err(io_error("cannot write the controller's settings"))?;
    let mut controller = connection_storm::start_controller(program, &settings_file, folder)?;
    connection_storm::wait_settled(&storm_plan, folder).await?;
    let state = Arc::new(SenderState {
        rate_multiple: AtomicU64::new(1),
        hosts_unresponsive: AtomicBool::new(false),
        reports_sent: AtomicU64::new(0),
        stop: AtomicBool::new(false),
    });
    let mut senders = JoinSet::new();
    for (n, proxy) in proxies.iter().enumerate() {
        senders.spawn(push_reports(
            n,
            plan.proxies,
            folder.join("push.sock"),
            proxy.clone(),
            state.clone(),
        ));
    }
    let mut steps = Vec::new();
    for &rate_multiple in &plan.rate_multiples {
        state.rate_multiple.store(u64::from(rate_multiple), Relaxed);
        sleep(Duration::from_secs(3)).await;
        let (sent_before, cpu_before, began, began_us) = (
            state.reports_sent.load(Relaxed),
            connection_storm::cpu_ms(&controller),
            Instant::now(),
            now_us(),
        );
        sleep(plan.step_duration / 2).await;
        let (unresponsive_hosts, half_noticed, all_noticed) =
            measure_detection(&proxies, &state, plan.step_duration / 2).await;
        let command = |command| {
            let socket = folder.join("steward.sock");
            async move {
                crate::bad_day::runtime_command(&socket, command)
                    .await
                    .unwrap_or_default()
            }
        };
        let memory = command("show memory")
            .await
            .lines()
            .map(str::to_string)
            .filter(|line| !line.is_empty())
            .collect();
        let ended_us = now_us();
        let cpu_ms_per_s =
            (connection_storm::cpu_ms(&controller) - cpu_before) / began.elapsed().as_secs_f64();
        let rss_kib = connection_storm::memory_kib(&controller, "VmRSS");
        let reports = state.reports_sent.load(Relaxed) - sent_before;
        // Wait until the hosts are back in use and the event log is on disk.
        state.hosts_unresponsive.store(false, Relaxed);
        sleep(Duration::from_secs(8)).await;
        let (mut ages, lines_deferred, lines_dropped) =
            read_ages(&folder.join("records"), began_us, ended_us)?;
        ages.sort_by(f64::total_cmp);
        let quantile = |q: f64| {
            ages.get(((ages.len().max(1) - 1) as f64 * q) as usize)
                .copied()
                .unwrap_or(0.0)
        };
        steps.push(StepReport {
            rate_multiple,
            reports,
            age_p50: quantile(0.5),
            age_p99: quantile(0.99),
            age_max: quantile(1.0),
            lines_deferred,
            lines_dropped,
            half_noticed,
            all_noticed,
            unresponsive_hosts,
            cpu_ms_per_s,
            rss_kib,
            memory,
        });
    }
    state.stop.store(true, Relaxed);
    senders.shutdown().await;
    controller
        .kill()
        .await
        .map_err(io_error("cannot stop the controller"))?;
    Ok(Report {
        proxies: plan.proxies,
        hosts: plan.hosts,
        lines_per_second: plan.lines_per_second,
        steps,
    })
}

fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}

/// Makes a tenth of the hosts unresponsive. Returns how many of them are in use, and the time in milliseconds until
/// half of those and all of those are in no table.
async fn measure_detection(
    proxies: &[Arc<InterceptedProxy>],
    state: &SenderState,
    limit: Duration,
) -> (usize, Option<f64>, Option<f64>) {
    let in_use = || {
        let mut hosts = BTreeSet::new();
        for proxy in proxies {
            let tables = proxy.mirror();
            let servers = tables
                .backends
                .values()
                .flat_map(|backend| &backend.servers);
            hosts.extend(
                servers
                    .filter(|(name, s)| s.is_serving() && becomes_unresponsive(name))
                    .map(|(name, _)| name.clone()),
            );
        }
        hosts
    };
    let initial = in_use();
    state.hosts_unresponsive.store(true, Relaxed);
    let began = Instant::now();
    let (mut half, mut all) = (None, None);
    while began.elapsed() < limit {
        let left = in_use().intersection(&initial).count();
        let ms = began.elapsed().as_secs_f64() * 1e3;
        if left * 2 <= initial.len() {
            half = half.or(Some(ms.round()));
        }
        if left == 0 {
            all = all.or(Some(ms.round()));
        }
        sleep(Duration::from_millis(50)).await;
    }
    (initial.len(), half, all)
}

/// Reads the decision rounds of a time span from the event log: the age in milliseconds of the oldest load that each
/// of them used, and the numbers of lines deferred and dropped.
fn read_ages(
    folder: &Path,
    from_us: u64,
    to_us: u64,
) -> Result<(Vec<f64>, u64, u64), RehearsalError> {
    let (mut ages, mut deferred, mut dropped) = (Vec::new(), 0, 0);
    let read = export::rows(&Folder::read_only(folder), |row| {
        if row.name == "Looked" && (from_us..=to_us).contains(&row.at_us) {
            let fields: serde_json::Value = serde_json::from_str(&row.fields).unwrap_or_default();
            ages.push(fields["oldest_us"].as_f64().unwrap_or(0.0) / 1e3);
            deferred += fields["kept"].as_u64().unwrap_or(0);
            dropped += fields["dropped"].as_u64().unwrap_or(0);
        }
        Ok(())
    });
    let replay_error = |error: pondarch_replay::ReplayError| RehearsalError::Io {
        context: "cannot read the event log".into(),
        error: std::io::Error::other(error.to_string()),
    };
    read.map_err(replay_error)?;
    Ok((ages, deferred, dropped))
}

/// Pushes load reports in a proxy's name.
async fn push_reports(
    n: usize,
    proxy_count: usize,
    socket: PathBuf,
    proxy: Arc<InterceptedProxy>,
    state: Arc<SenderState>,
) {
    let mut sender = ReportSender::default();
    let (mut rng, incarnation) = (fastrand::Rng::with_seed(n as u64), now_us());
    let mut counts: BTreeMap<(String, Option<String>), ProxyCounters> = BTreeMap::new();
    let mut last_report = Instant::now();
    while !state.stop.load(Relaxed) {
        let Ok(stream) = UnixStream::connect(&socket).await else {
            sleep(Duration::from_millis(200)).await;
            continue;
        };
        let mut connection: Framed<UnixStream, Codec<ToSender, ToController>> =
            Framed::new(stream, Codec::default());
        sender.on_connected();
        let hello = Hello {
            version: PROTOCOL_VERSION,
            name: format!("front-{n}"),
            role: SenderRole::Proxy,
            incarnation,
        };
        if connection.send(&ToController::Hello(hello)).await.is_err() {
            continue;
        }
        let mut rate_multiple = state.rate_multiple.load(Relaxed);
        let mut ticks = interval(REPORT_INTERVAL / rate_multiple.max(1) as u32);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                message = connection.next() => match message {
                    Some(Ok(message)) => {
                        if sender.on_message(now_us(), message).is_some() {
                            break;
                        }
                    }
                    _ => break,
                },
                _ = ticks.tick() => {
                    sender.on_period_end();
                    if state.rate_multiple.load(Relaxed) != rate_multiple {
                        rate_multiple = state.rate_multiple.load(Relaxed);
                        ticks = interval(REPORT_INTERVAL / rate_multiple.max(1) as u32);
                        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
                    }
                }
            }
            let new_requests = REQUEST_RATE * rate_multiple as f64 / proxy_count as f64
                * last_report.elapsed().as_secs_f64();
            let report = sender.next_report(now_us(), || {
                last_report = Instant::now();
                count_requests(
                    &proxy,
                    &mut counts,
                    new_requests,
                    state.hosts_unresponsive.load(Relaxed),
                    &mut rng,
                )
            });
            if let Some(report) = report {
                state.reports_sent.fetch_add(1, Relaxed);
                if connection
                    .send(&ToController::Report(report))
                    .await
                    .is_err()
                {
                    break;
                }
            }
        }
    }
}

/// Adds this number of requests to the counts, spread at random over the hosts in the proxy's tables.
fn count_requests(
    proxy: &InterceptedProxy,
    counts: &mut BTreeMap<(String, Option<String>), ProxyCounters>,
    new_requests: f64,
    hosts_unresponsive: bool,
    rng: &mut fastrand::Rng,
) -> ReportBody {
    let tables = proxy.mirror();
    let classes = tables.backends.len().max(1) as f64;
    for (name, backend) in &tables.backends {
        // A fractional request is rounded up or down at random.
        let requests = (new_requests / classes + rng.f64()) as u64;
        let empty_count = |server: Option<&String>| ProxyCounters {
            backend: name.clone(),
            server: server.cloned(),
            ..ProxyCounters::default()
        };
        counts
            .entry((name.clone(), None))
            .or_insert_with(|| empty_count(None))
            .requests += requests;
        let serving: Vec<&String> = backend
            .servers
            .iter()
            .filter(|(_, s)| s.is_serving())
            .map(|(name, _)| name)
            .collect();
        for server in &serving {
            counts
                .entry((name.clone(), Some((*server).clone())))
                .or_insert_with(|| empty_count(Some(server)));
        }
        for _ in 0..requests {
            let Some(server) = serving.get(rng.usize(0..serving.len().max(1))) else {
                continue;
            };
            let Some(count) = counts.get_mut(&(name.clone(), Some((*server).clone()))) else {
                continue;
            };
            match hosts_unresponsive && becomes_unresponsive(server) {
                true => count.failed += 1,
                false => {
                    (count.succeeded, count.success_time_us) =
                        (count.succeeded + 1, count.success_time_us + 40_000)
                }
            }
        }
    }
    ReportBody {
        counters: counts.values().cloned().collect(),
        host_metrics: None,
    }
}
