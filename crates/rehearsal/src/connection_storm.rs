//! Many proxies and many hosts without traffic: how long it takes all proxies to join at once and to drain one host,
//! and what the controller uses.

use crate::bad_day::RehearsalError;
use crate::client::RequestClass;
use crate::endpoint_list::{EndpointEntry, EndpointList, spawn_program, write_settings};
use crate::intercepted_proxy::InterceptedProxy;
use crate::observations::{ListedState, Observation, ObservationLog};
use minijinja::{Environment, context};
use serde::Serialize;
use serde_json::json;
use std::path::Path;
use std::time::Duration;
use tokio::process::Child;
use tokio::time::{Instant, sleep};

const CLASSES: [&str; 3] = ["proof", "order", "release"];
const ZONES: [&str; 4] = ["ede", "arnhem", "utrecht", "amersfoort"];
/// Time limit of each step.
const STEP_LIMIT: Duration = Duration::from_secs(60);

/// Size of the rehearsal.
#[derive(Clone, Debug)]
pub struct Plan {
    pub proxies: usize,
    pub hosts: usize,
    pub drains: usize,
    /// Time over which the idle CPU usage is measured.
    pub idle_duration: Duration,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            proxies: 200,
            hosts: 700,
            drains: 5,
            idle_duration: Duration::from_secs(10),
        }
    }
}

/// Results; times in milliseconds, memory in KiB.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub proxies: usize,
    pub hosts: usize,
    /// Time from the first connection to a proxy until the last message that updated a proxy's table.
    pub join_ms: f64,
    pub join_messages: usize,
    pub join_commands: usize,
    #[serde(rename = "most_waiting")]
    pub max_queued_lines: u64,
    /// The same for a restarted controller, whose proxies already have their tables.
    pub rejoin_ms: f64,
    pub rejoin_commands: usize,
    /// Time of each drain from the change of the endpoint list until the last proxy removed the host.
    pub drains_ms: Vec<f64>,
    #[serde(rename = "rest_cpu_ms_per_s")]
    pub idle_cpu_ms_per_s: f64,
    #[serde(rename = "rest_rss_kib")]
    pub idle_rss_kib: u64,
    pub peak_rss_kib: u64,
}

const TEXT: &str = "\
Storm: {{ r.proxies }} proxies, {{ r.hosts }} hosts, one controller, no traffic
  all joined after          {{ r.join_ms | round(0) }} ms ({{ r.join_messages }} messages, {{ r.join_commands }} commands, \
at most {{ r.most_waiting }} lines queued)
  joined again after a kill {{ r.rejoin_ms | round(0) }} ms ({{ r.rejoin_commands }} commands)
  drains, list to last      {% for ms in r.drains_ms %}{{ ms | round(0) }} ms {% endfor %}
  CPU when idle             {{ r.rest_cpu_ms_per_s | round(1) }} ms per second
  memory when idle, peak    {{ r.rest_rss_kib }} KiB, {{ r.peak_rss_kib }} KiB
";

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

/// Runs the rehearsal in this folder, with `program` as the controller.
///
/// # Errors
///
/// A component could not be started or stopped, or a step exceeded its time limit.
pub async fn run(plan: &Plan, program: &Path, folder: &Path) -> Result<Report, RehearsalError> {
    let io_error = |context: &'static str| {
        move |error| RehearsalError::Io {
            context: context.into(),
            error,
        }
    };
    let observations = ObservationLog::default();
    let mut list = EndpointList::new(folder.join("hosts.jsonnet"), observations.clone());
    list.update(|all| all.extend(endpoint_entries(plan.hosts)))
        .map_err(io_error("cannot write the endpoint list"))?;
    let mut proxies = Vec::new();
    for n in 0..plan.proxies {
        proxies.push(start_proxy(n, list.file(), &observations).await?);
    }
    let settings = folder.join("steward.jsonnet");
    write_settings(&settings, &controller_settings(plan))
        .map_err(io_error("cannot write the controller's settings"))?;
    observations.take();
    let mut controller = start_controller(program, &settings, folder)?;
    let max_queued_lines = wait_settled(plan, folder).await?;
    let joined = observations.take();
    let (join_ms, join_messages, join_commands) = join_costs(&joined);
    sleep(Duration::from_secs(3)).await;
    let cpu_before = cpu_ms(&controller);
    let idle_since = Instant::now();
    sleep(plan.idle_duration).await;
    let idle_cpu_ms_per_s = (cpu_ms(&controller) - cpu_before) / idle_since.elapsed().as_secs_f64();
    let idle_rss_kib = memory_kib(&controller, "VmRSS");
    let mut drains_ms = Vec::new();
    for drain in 0..plan.drains {
        observations.take();
        let Some(host) = proxies.iter().find_map(|proxy| {
            let tables = proxy.mirror();
            let serving = tables
                .backends
                .get("proof")
                .into_iter()
                .flat_map(|b| b.servers.iter());
            serving
                .filter(|(_, server)| server.is_serving())
                .map(|(name, _)| name.clone())
                .nth(drain % 3)
        }) else {
            break;
        };
        let listed_at = observations.elapsed();
        list.set_state(std::slice::from_ref(&host), ListedState::Draining)
            .map_err(io_error("cannot write the endpoint list"))?;
        let drain_start = Instant::now();
        while proxies.iter().any(|proxy| serves(proxy, &host)) && drain_start.elapsed() < STEP_LIMIT
        {
            sleep(Duration::from_millis(5)).await;
        }
        drains_ms.push(
            last_message(&observations.take())
                .map_or(0.0, |at| millis(at.saturating_sub(listed_at))),
        );
        sleep(Duration::from_secs(2)).await;
    }
    let peak_rss_kib = memory_kib(&controller, "VmHWM");
    controller
        .kill()
        .await
        .map_err(io_error("cannot stop the controller"))?;
    observations.take();
    let mut controller = start_controller(program, &settings, folder)?;
    wait_settled(plan, folder).await?;
    let (rejoin_ms, _, rejoin_commands) = join_costs(&observations.take());
    controller
        .kill()
        .await
        .map_err(io_error("cannot stop the controller"))?;
    Ok(Report {
        proxies: plan.proxies,
        hosts: plan.hosts,
        join_ms,
        join_messages,
        join_commands,
        max_queued_lines,
        rejoin_ms,
        rejoin_commands,
        drains_ms,
        idle_cpu_ms_per_s,
        idle_rss_kib,
        peak_rss_kib,
    })
}

/// Entries of hosts with addresses that nothing listens on.
pub(crate) fn endpoint_entries(hosts: usize) -> impl Iterator<Item = (String, EndpointEntry)> {
    let entry = |n: usize| EndpointEntry {
        addr: ([127, 1, (n / 250) as u8, (n % 250) as u8 + 1], 9).into(),
        zone: ZONES[n % 4].into(),
        rack: format!("rack-{}", n / 6),
        weight: 1.0,
        cores: 1.0,
        started: None,
        state: ListedState::Ready,
    };
    (0..hosts).map(move |n| (format!("host-{n}"), entry(n)))
}

/// Starts the proxy with index `n`.
pub(crate) async fn start_proxy(
    n: usize,
    list: &Path,
    observations: &ObservationLog,
) -> Result<InterceptedProxy, RehearsalError> {
    let (name, seed) = (format!("front-{n}"), n as u64);
    Ok(InterceptedProxy::start(
        &name,
        ZONES[n % 4],
        &ZONES,
        &classes(),
        list,
        seed,
        observations.clone(),
    )
    .await?)
}

fn classes() -> Vec<RequestClass> {
    let class = |name| RequestClass {
        name,
        share: 1.0,
        work: Duration::from_millis(50),
        latency_objective: Duration::from_secs(1),
        client_timeout: Duration::from_secs(3),
        priority_weight: 1.0,
        replayable: true,
    };
    CLASSES.map(class).into()
}

pub(crate) fn controller_settings(plan: &Plan) -> serde_json::Value {
    let class = |name: &str| json!({"name": name, "response_target": "1 s", "client_timeout": "3 s", "benefit": 1, "repeats": "replayable"});
    let proxy = |n: usize| {
        json!({"name": format!("front-{n}"), "zone": ZONES[n % 4], "runtime": format!("unix:front-{n}.sock"),
            "usual_rate": 3.5})
    };
    json!({
        "name": "storm",
        "zones": ZONES,
        "kinds": CLASSES.map(class),
        "proxies": (0..plan.proxies).map(proxy).collect::<Vec<_>>(),
        "hosts_file": "hosts.jsonnet",
        "channel": {"lines_per_second": 50000, "most_waiting": 50000, "message_cap": 12, "message_window": "10 s"},
        "cold": {"start_share": 0.17, "warm_within": "18 s"},
        "crossing_price": 0.06,
        "runtime_api": [{"listen": "unix:steward.sock", "level": "admin"}],
    })
}

pub(crate) fn start_controller(
    program: &Path,
    settings: &Path,
    folder: &Path,
) -> Result<Child, RehearsalError> {
    let io_error = |error| RehearsalError::Io {
        context: "cannot start the controller".into(),
        error,
    };
    spawn_program(
        program,
        &["--log-level", "warn", "run"],
        settings,
        &folder.join("steward.log"),
    )
    .map_err(io_error)
}

/// Waits until all proxies are joined and up to date and the update queue is empty, at five polls in a row. Returns the
/// maximum number of queued lines that was read.
pub(crate) async fn wait_settled(plan: &Plan, folder: &Path) -> Result<u64, RehearsalError> {
    let (began, mut max_queued_lines, mut settled_polls) = (Instant::now(), 0, 0);
    while began.elapsed() < STEP_LIMIT {
        let text = crate::bad_day::runtime_command(&folder.join("steward.sock"), "show info")
            .await
            .unwrap_or_default();
        let info = pondarch_runtime_api::info::Info::read(&text);
        let number = |name: &str| info.get_u64(name).unwrap_or(0);
        max_queued_lines = max_queued_lines.max(number("LinesWaiting"));
        let settled = number("ProxiesJoined") as usize == plan.proxies
            && number("LinesWaiting") == 0
            && number("ProxiesBehind") == 0;
        settled_polls = if settled { settled_polls + 1 } else { 0 };
        if settled_polls == 5 {
            return Ok(max_queued_lines);
        }
        sleep(Duration::from_millis(10)).await;
    }
    Err(RehearsalError::NotJoined(
        STEP_LIMIT.as_secs(),
        folder.to_path_buf(),
    ))
}

/// Time from the first connection to the last message in milliseconds, number of messages, number of commands.
fn join_costs(observations: &[(Duration, Observation)]) -> (f64, usize, usize) {
    let first = observations
        .iter()
        .find(|(_, observation)| {
            matches!(
                observation,
                Observation::ControllerConnection {
                    connected: true,
                    ..
                }
            )
        })
        .map(|(at, _)| *at);
    let last = last_message(observations).or(observations.last().map(|(at, _)| *at));
    let commands = observations
        .iter()
        .filter_map(|(_, observation)| match observation {
            Observation::UpdateMessage { commands, .. } => Some(*commands),
            _ => None,
        });
    let duration_ms = first
        .zip(last)
        .map_or(0.0, |(first, last)| millis(last.saturating_sub(first)));
    (duration_ms, commands.clone().count(), commands.sum())
}

fn last_message(observations: &[(Duration, Observation)]) -> Option<Duration> {
    observations
        .iter()
        .rev()
        .find(|(_, observation)| matches!(observation, Observation::UpdateMessage { .. }))
        .map(|(at, _)| *at)
}

fn serves(proxy: &InterceptedProxy, host: &str) -> bool {
    let tables = proxy.mirror();
    tables.backends.values().any(|b| {
        b.servers
            .get(host)
            .is_some_and(|server| server.is_serving())
    })
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

/// CPU time that a process has used, from `/proc` (in ticks of 10 ms).
pub(crate) fn cpu_ms(child: &Child) -> f64 {
    let stat = child
        .id()
        .and_then(|id| std::fs::read_to_string(format!("/proc/{id}/stat")).ok())
        .unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or("");
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|text| text.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) * 10.0
}

/// A memory value of a process, such as `VmRSS`, from `/proc`.
pub(crate) fn memory_kib(child: &Child, name: &str) -> u64 {
    let text = child
        .id()
        .and_then(|id| std::fs::read_to_string(format!("/proc/{id}/status")).ok())
        .unwrap_or_default();
    let line = text
        .lines()
        .find(|line| line.starts_with(name))
        .unwrap_or("");
    line.split_whitespace()
        .nth(1)
        .and_then(|kib| kib.parse().ok())
        .unwrap_or(0)
}
