//! Kills controllers repeatedly under load, every fifth time all of them at once, each time shortly after the
//! endpoint list began to drain a host. Checks on the observed traffic that the drains take effect nevertheless.

use crate::bad_day::harness::{Harness, classes};
use crate::bad_day::{Plan, RehearsalError};
use crate::observations::{ListedState, ObservationLog};
use crate::rules::{self, RULES, Violation};
use crate::service_level::{ServiceLevel, measure};
use minijinja::{Environment, context};
use serde::Serialize;
use std::path::Path;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Maximum time from the start of a drain to the kill.
const MAX_KILL_DELAY: Duration = Duration::from_millis(250);
/// Time that the killed controllers are down.
const DOWNTIME: Duration = Duration::from_millis(50);
/// Time that the drain lasts after all proxies have joined again.
const DRAIN_DURATION: Duration = Duration::from_millis(900);

/// Results of the repeated kills.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub kills: usize,
    #[serde(rename = "day")]
    pub service_level: ServiceLevel,
    #[serde(rename = "service")]
    pub service_share: Option<f64>,
    /// Time from a restart until all proxies had joined: median, 95th percentile, maximum.
    pub joined_s: [f64; 3],
    #[serde(rename = "held")]
    pub rules_held: Vec<&'static str>,
    #[serde(rename = "breaks")]
    pub violations: Vec<Violation>,
}

const TEXT: &str = "\
{{ r.kills }} kills: service {{ r.service }} ({{ r.day.asked }} sent, {{ r.day.in_time }} in time, {{ r.day.denied }} rejected, \
{{ r.day.errored }} failed)
all proxies joined after {{ r.joined_s[0] | round(3) }} s (median), {{ r.joined_s[1] | round(3) }} s (p95), \
{{ r.joined_s[2] | round(3) }} s (maximum)
{% for rule in r.held -%}
held: {{ rule }}
{% endfor -%}
{% for b in r.breaks -%}
BROKEN: {{ b.rule }} at {{ b.at_s | round(2) }} s: {{ b.seen }}
{% endfor %}";

impl Report {
    /// Whether no rule was violated.
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
    }

    /// Renders the report as text.
    ///
    /// # Errors
    ///
    /// The template does not match the fields.
    pub fn text(&self) -> Result<String, RehearsalError> {
        Ok(Environment::new().render_str(TEXT, context! { r => self })?)
    }
}

/// Runs this number of kills. Everything that it started has ended when it returns.
///
/// # Errors
///
/// A component could not be started, or the proxies did not join a restarted controller.
pub async fn run(
    kills: usize,
    seed: u64,
    program: &Path,
    folder: &Path,
) -> Result<Report, RehearsalError> {
    let observations = ObservationLog::default();
    let plan = Plan {
        event_log: true,
        ..Plan::short(seed)
    };
    // Each restart sends a join and each drain at least two messages, so that the message cap of normal operation
    // does not apply to this many kills.
    let plan = Plan {
        limits: rules::RuleLimits {
            message_cap: 0,
            ..plan.limits.clone()
        },
        ..plan
    };
    let mut harness = Harness::start(&plan, program, folder, observations.clone()).await?;
    harness.wait_joined().await?;
    let duration_per_kill =
        MAX_KILL_DELAY + DOWNTIME + DRAIN_DURATION + Duration::from_millis(1_000);
    let clients = harness.client_load(&plan, Instant::now() + duration_per_kill * kills as u32);
    let script = async {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut join_times = Vec::new();
        for n in 0..kills {
            let hosts: Vec<String> = harness.list.hosts.keys().cloned().collect();
            let host = hosts[rng.usize(0..hosts.len())].clone();
            let list_error = |error| RehearsalError::Io {
                context: "cannot write the endpoint list".into(),
                error,
            };
            harness
                .list
                .set_state(std::slice::from_ref(&host), ListedState::Draining)
                .map_err(list_error)?;
            sleep(MAX_KILL_DELAY.mul_f64(rng.f64())).await;
            // Every fifth time all controllers at once, so that all proxies join again at the same time.
            let killed = if n % 5 == 4 {
                0..plan.controllers
            } else {
                n % plan.controllers..n % plan.controllers + 1
            };
            for controller in killed.clone() {
                harness.kill_controller(controller).await;
            }
            sleep(DOWNTIME).await;
            let restarted_at = Instant::now();
            for controller in killed {
                harness.start_controller(controller)?;
            }
            harness.wait_joined().await?;
            join_times.push(restarted_at.elapsed().as_secs_f64());
            sleep(DRAIN_DURATION).await;
            harness
                .list
                .set_state(std::slice::from_ref(&host), ListedState::Ready)
                .map_err(list_error)?;
            sleep(Duration::from_millis(300)).await;
        }
        Ok::<_, RehearsalError>(join_times)
    };
    tokio::pin!(clients);
    let join_times = tokio::select! {
        join_times = script => join_times?,
        // If the clients end first, the script is late and the remaining kills would run without load.
        () = &mut clients => return Err(RehearsalError::NotJoined(0, folder.to_path_buf())),
    };
    harness.shut_down().await;
    let observations = observations.take();
    let violations = rules::check(&observations, &plan.limits);
    let service_level = measure(&observations, &classes(), Duration::ZERO, Duration::MAX);
    let mut join_times = join_times;
    join_times.sort_by(f64::total_cmp);
    let quantile = |q: f64| join_times[((join_times.len() - 1) as f64 * q) as usize];
    let rules_held = RULES
        .into_iter()
        .filter(|rule| violations.iter().all(|violation| violation.rule != *rule))
        .collect();
    Ok(Report {
        kills,
        service_share: service_level.share(),
        service_level,
        joined_s: [quantile(0.5), quantile(0.95), quantile(1.0)],
        rules_held,
        violations,
    })
}
