//! A steward killed again and again under load, now and then all of them, each time a moment after a drain was listed: what
//! it was told must hold, by what crossed the sockets.

use crate::bad_day::harness::{Stage, kinds};
use crate::bad_day::{Plan, RehearsalError};
use crate::observations::{Facts, Listed};
use crate::rules::{self, Break, RULES};
use crate::service_level::{Service, service};
use minijinja::{Environment, context};
use serde::Serialize;
use std::path::Path;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// From a drain to the kill, at most; how long the steward is away; and how long a drain stays.
const KILLED_WITHIN: Duration = Duration::from_millis(250);
const AWAY: Duration = Duration::from_millis(50);
const DRAINED_FOR: Duration = Duration::from_millis(900);

#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub kills: usize,
    pub day: Service,
    pub service: Option<f64>,
    /// From a start to all proxies joined: the middle one, the one that 95 in 100 are under, and the longest.
    pub joined_s: [f64; 3],
    pub held: Vec<&'static str>,
    pub breaks: Vec<Break>,
}

const TEXT: &str = "\
{{ r.kills }} kills: service {{ r.service }} ({{ r.day.asked }} asked, {{ r.day.in_time }} in time, {{ r.day.denied }} denied, \
{{ r.day.errored }} errored)
joined after {{ r.joined_s[0] | round(3) }} s, 95 in 100 after {{ r.joined_s[1] | round(3) }} s, the last after \
{{ r.joined_s[2] | round(3) }} s
{% for rule in r.held -%}
held: {{ rule }}
{% endfor -%}
{% for b in r.breaks -%}
BROKEN: {{ b.rule }} at {{ b.at_s | round(2) }} s: {{ b.seen }}
{% endfor %}";

impl Report {
    pub fn holds(&self) -> bool {
        self.breaks.is_empty()
    }

    /// The report as operators read it.
    ///
    /// Errors: only if the template and the figures do not fit each other.
    pub fn text(&self) -> Result<String, RehearsalError> {
        Ok(Environment::new().render_str(TEXT, context! { r => self })?)
    }
}

/// Plays so many kills; everything it started has ended when it returns.
///
/// Errors: something could not be started, or a steward did not come back.
pub async fn play(
    times: usize,
    seed: u64,
    program: &Path,
    folder: &Path,
) -> Result<Report, RehearsalError> {
    let facts = Facts::default();
    let plan = Plan {
        records: true,
        ..Plan::short(seed)
    };
    // A restart is a join, and a drain two messages at least: over so many kills the cap of a calm site says nothing.
    let plan = Plan {
        limits: rules::Limits {
            message_cap: 0,
            ..plan.limits.clone()
        },
        ..plan
    };
    let mut stage = Stage::set(&plan, program, folder, facts.clone()).await?;
    stage.wait_joined().await?;
    let each = KILLED_WITHIN + AWAY + DRAINED_FOR + Duration::from_millis(1_000);
    let clients = stage.clients(&plan, Instant::now() + each * times as u32);
    let script = async {
        let mut chance = fastrand::Rng::with_seed(seed);
        let mut joined = Vec::new();
        for n in 0..times {
            let hosts: Vec<String> = stage.list.hosts.keys().cloned().collect();
            let host = hosts[chance.usize(0..hosts.len())].clone();
            let listing = |wrong| RehearsalError::Io {
                what: "the list".into(),
                wrong,
            };
            stage
                .list
                .set(std::slice::from_ref(&host), Listed::Drain)
                .map_err(listing)?;
            sleep(KILLED_WITHIN.mul_f64(chance.f64())).await;
            // Now and then all of them at once: every proxy comes back in the same moment.
            let killed = if n % 5 == 4 {
                0..plan.stewards
            } else {
                n % plan.stewards..n % plan.stewards + 1
            };
            for steward in killed.clone() {
                stage.kill_steward(steward).await;
            }
            sleep(AWAY).await;
            let begun = Instant::now();
            for steward in killed {
                stage.start_steward(steward)?;
            }
            stage.wait_joined().await?;
            joined.push(begun.elapsed().as_secs_f64());
            sleep(DRAINED_FOR).await;
            stage
                .list
                .set(std::slice::from_ref(&host), Listed::Ready)
                .map_err(listing)?;
            sleep(Duration::from_millis(300)).await;
        }
        Ok::<_, RehearsalError>(joined)
    };
    tokio::pin!(clients);
    let joined = tokio::select! {
        joined = script => joined?,
        // Clients end before a script that is late: the rest of it is played without load.
        () = &mut clients => return Err(RehearsalError::NotJoined(0, folder.to_path_buf())),
    };
    stage.end().await;
    let facts = facts.take();
    let breaks = rules::check(&facts, &plan.limits);
    let day = service(&facts, &kinds(), Duration::ZERO, Duration::MAX);
    let mut joined = joined;
    joined.sort_by(f64::total_cmp);
    let at = |part: f64| joined[((joined.len() - 1) as f64 * part) as usize];
    let held = RULES
        .into_iter()
        .filter(|rule| breaks.iter().all(|b| b.rule != *rule))
        .collect();
    Ok(Report {
        kills: times,
        service: day.share(),
        day,
        joined_s: [at(0.5), at(0.95), at(1.0)],
        held,
        breaks,
    })
}
