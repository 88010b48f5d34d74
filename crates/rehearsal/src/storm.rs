//! Many proxies, many hosts, no traffic: how long joining all and draining one host takes, and what it costs.

use crate::bad_day::RehearsalError;
use crate::client::Kind;
use crate::facts::{Fact, Facts, Listed};
use crate::front::Front;
use crate::site::{Entry, List, spawn, write_settings};
use minijinja::{Environment, context};
use serde::Serialize;
use serde_json::json;
use std::path::Path;
use std::time::Duration;
use tokio::process::Child;
use tokio::time::{Instant, sleep};

const KINDS: [&str; 3] = ["proof", "order", "release"];
const ZONES: [&str; 4] = ["ede", "arnhem", "utrecht", "amersfoort"];
/// How long anything may take, before the storm is given up.
const LIMIT: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
pub struct Plan {
    pub proxies: usize,
    pub hosts: usize,
    pub drains: usize,
    pub rest: Duration,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            proxies: 200,
            hosts: 700,
            drains: 5,
            rest: Duration::from_secs(10),
        }
    }
}

/// Spans in milliseconds, memory in KiB.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub proxies: usize,
    pub hosts: usize,
    /// From the first proxy reached to the last one that held its table.
    pub join_ms: f64,
    pub join_messages: usize,
    pub join_commands: usize,
    pub most_waiting: u64,
    /// The same for a steward that starts again, with proxies that hold its tables already.
    pub rejoin_ms: f64,
    pub rejoin_commands: usize,
    /// From the list's word to the last proxy without the host, each drain.
    pub drains_ms: Vec<f64>,
    pub rest_cpu_ms_per_s: f64,
    pub rest_rss_kib: u64,
    pub peak_rss_kib: u64,
}

const TEXT: &str = "\
Storm: {{ r.proxies }} proxies, {{ r.hosts }} hosts, one steward, no traffic
  all joined after          {{ r.join_ms | round(0) }} ms ({{ r.join_messages }} messages, {{ r.join_commands }} commands, \
{{ r.most_waiting }} lines waiting at most)
  joined again after a kill {{ r.rejoin_ms | round(0) }} ms ({{ r.rejoin_commands }} commands)
  drains, list to last      {% for ms in r.drains_ms %}{{ ms | round(0) }} ms {% endfor %}
  CPU at rest               {{ r.rest_cpu_ms_per_s | round(1) }} ms a second
  memory at rest, peak      {{ r.rest_rss_kib }} KiB, {{ r.peak_rss_kib }} KiB
";

impl Report {
    /// Errors: only if the template and the figures do not fit each other.
    pub fn text(&self) -> Result<String, RehearsalError> {
        Ok(Environment::new().render_str(TEXT, context! { r => self })?)
    }
}

pub async fn play(plan: &Plan, program: &Path, folder: &Path) -> Result<Report, RehearsalError> {
    let io = |what: &'static str| {
        move |wrong| RehearsalError::Io {
            what: what.into(),
            wrong,
        }
    };
    let facts = Facts::default();
    let mut list = List::new(folder.join("hosts.jsonnet"), facts.clone());
    list.change(|all| all.extend(entries(plan.hosts)))
        .map_err(io("the list cannot be written"))?;
    let mut proxies = Vec::new();
    for n in 0..plan.proxies {
        proxies.push(front(n, list.file(), &facts).await?);
    }
    let settings = folder.join("steward.jsonnet");
    write_settings(&settings, &site(plan)).map_err(io("settings cannot be written"))?;
    facts.take();
    let mut steward = start(program, &settings, folder)?;
    let most_waiting = until_settled(plan, folder).await?;
    let joined = facts.take();
    let (join_ms, join_messages, join_commands) = storm(&joined);
    sleep(Duration::from_secs(3)).await;
    let before = cpu_ms(&steward);
    let rested = Instant::now();
    sleep(plan.rest).await;
    let rest_cpu = (cpu_ms(&steward) - before) / rested.elapsed().as_secs_f64();
    let rest_rss_kib = memory_kib(&steward, "VmRSS");
    let mut drains_ms = Vec::new();
    for drain in 0..plan.drains {
        facts.take();
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
        let told = facts.now();
        list.set(std::slice::from_ref(&host), Listed::Drain)
            .map_err(io("the list cannot be written"))?;
        let began = Instant::now();
        while proxies.iter().any(|proxy| holds(proxy, &host)) && began.elapsed() < LIMIT {
            sleep(Duration::from_millis(5)).await;
        }
        drains_ms.push(last_message(&facts.take()).map_or(0.0, |at| ms(at.saturating_sub(told))));
        sleep(Duration::from_secs(2)).await;
    }
    let peak_rss_kib = memory_kib(&steward, "VmHWM");
    steward
        .kill()
        .await
        .map_err(io("the steward cannot be ended"))?;
    facts.take();
    let mut steward = start(program, &settings, folder)?;
    until_settled(plan, folder).await?;
    let (rejoin_ms, _, rejoin_commands) = storm(&facts.take());
    steward
        .kill()
        .await
        .map_err(io("the steward cannot be ended"))?;
    Ok(Report {
        proxies: plan.proxies,
        hosts: plan.hosts,
        join_ms,
        join_messages,
        join_commands,
        most_waiting,
        rejoin_ms,
        rejoin_commands,
        drains_ms,
        rest_cpu_ms_per_s: rest_cpu,
        rest_rss_kib,
        peak_rss_kib,
    })
}

/// So many hosts that nobody answers for.
pub(crate) fn entries(hosts: usize) -> impl Iterator<Item = (String, Entry)> {
    let entry = |n: usize| Entry {
        addr: ([127, 1, (n / 250) as u8, (n % 250) as u8 + 1], 9).into(),
        zone: ZONES[n % 4].into(),
        rack: format!("rack-{}", n / 6),
        weight: 1.0,
        cores: 1.0,
        started: None,
        listed: Listed::Ready,
    };
    (0..hosts).map(move |n| (format!("host-{n}"), entry(n)))
}

/// The n-th proxy.
pub(crate) async fn front(n: usize, list: &Path, facts: &Facts) -> Result<Front, RehearsalError> {
    let (name, seed) = (format!("front-{n}"), n as u64);
    Ok(Front::start(
        &name,
        ZONES[n % 4],
        &ZONES,
        &kinds(),
        list,
        seed,
        facts.clone(),
    )
    .await?)
}

fn kinds() -> Vec<Kind> {
    let kind = |name| Kind {
        name,
        share: 1.0,
        work: Duration::from_millis(50),
        response_target: Duration::from_secs(1),
        client_timeout: Duration::from_secs(3),
        benefit: 1.0,
        replayable: true,
    };
    KINDS.map(kind).into()
}

pub(crate) fn site(plan: &Plan) -> serde_json::Value {
    let kind = |name: &str| json!({"name": name, "response_target": "1 s", "client_timeout": "3 s", "benefit": 1, "repeats": "replayable"});
    let proxy = |n: usize| {
        json!({"name": format!("front-{n}"), "zone": ZONES[n % 4], "runtime": format!("unix:front-{n}.sock"),
            "usual_rate": 3.5})
    };
    json!({
        "name": "storm",
        "zones": ZONES,
        "kinds": KINDS.map(kind),
        "proxies": (0..plan.proxies).map(proxy).collect::<Vec<_>>(),
        "hosts_file": "hosts.jsonnet",
        "channel": {"lines_per_second": 50000, "most_waiting": 50000, "message_cap": 12, "message_window": "10 s"},
        "cold": {"start_share": 0.17, "warm_within": "18 s"},
        "crossing_price": 0.06,
        "runtime_api": [{"listen": "unix:steward.sock", "level": "admin"}],
    })
}

pub(crate) fn start(
    program: &Path,
    settings: &Path,
    folder: &Path,
) -> Result<Child, RehearsalError> {
    let wrong = |wrong| RehearsalError::Io {
        what: "a steward cannot be started".into(),
        wrong,
    };
    spawn(
        program,
        &["--log-level", "warn", "run"],
        settings,
        &folder.join("steward.log"),
    )
    .map_err(wrong)
}

/// Waits until all are joined and nothing waits; gives the most lines that were seen waiting.
pub(crate) async fn until_settled(plan: &Plan, folder: &Path) -> Result<u64, RehearsalError> {
    let (began, mut most, mut quiet) = (Instant::now(), 0, 0);
    while began.elapsed() < LIMIT {
        let text = crate::bad_day::ask(&folder.join("steward.sock"), "show info")
            .await
            .unwrap_or_default();
        let info = pondarch_runtime_api::info::Info::read(&text);
        let figure = |name: &str| info.get_u64(name).unwrap_or(0);
        most = most.max(figure("LinesWaiting"));
        let settled = figure("ProxiesJoined") as usize == plan.proxies
            && figure("LinesWaiting") == 0
            && figure("ProxiesBehind") == 0;
        quiet = if settled { quiet + 1 } else { 0 };
        if quiet == 5 {
            return Ok(most);
        }
        sleep(Duration::from_millis(10)).await;
    }
    Err(RehearsalError::NotJoined(
        LIMIT.as_secs(),
        folder.to_path_buf(),
    ))
}

/// From the first link to the last message, in milliseconds; messages and commands.
fn storm(facts: &[(Duration, Fact)]) -> (f64, usize, usize) {
    let first = facts
        .iter()
        .find(|(_, fact)| matches!(fact, Fact::Link { up: true, .. }))
        .map(|(at, _)| *at);
    let last = last_message(facts).or(facts.last().map(|(at, _)| *at));
    let commands = facts.iter().filter_map(|(_, fact)| match fact {
        Fact::Message { commands, .. } => Some(*commands),
        _ => None,
    });
    let took = first
        .zip(last)
        .map_or(0.0, |(first, last)| ms(last.saturating_sub(first)));
    (took, commands.clone().count(), commands.sum())
}

fn last_message(facts: &[(Duration, Fact)]) -> Option<Duration> {
    facts
        .iter()
        .rev()
        .find(|(_, fact)| matches!(fact, Fact::Message { .. }))
        .map(|(at, _)| *at)
}

fn holds(proxy: &Front, host: &str) -> bool {
    let tables = proxy.mirror();
    tables.backends.values().any(|b| {
        b.servers
            .get(host)
            .is_some_and(|server| server.is_serving())
    })
}

fn ms(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

/// CPU time of a process so far, by the system's account (ticks of 10 ms).
pub(crate) fn cpu_ms(child: &Child) -> f64 {
    let stat = child
        .id()
        .and_then(|id| std::fs::read_to_string(format!("/proc/{id}/stat")).ok())
        .unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or("");
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |at: usize| {
        fields
            .get(at)
            .and_then(|text| text.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) * 10.0
}

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
