//! The results of a bad day, as JSON and as text.

use super::{InjectedFault, Plan, RehearsalError, fault_report};
use crate::client::RequestClass;
use crate::observations::{ListedState, Observation};
use crate::rules::{RULES, Violation};
use crate::service_level::{ServiceLevel, measure};
use minijinja::{Environment, context};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Service level around one fault; `None` where no request was sent or no traffic moved.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FaultReport {
    pub name: &'static str,
    #[serde(rename = "began_s")]
    pub start_s: f64,
    #[serde(rename = "lasted_s")]
    pub duration_s: f64,
    pub before: Option<f64>,
    pub during: Option<f64>,
    pub after: Option<f64>,
    /// Time from the start of the fault until the first proxy's table lowered the weight of the host.
    #[serde(rename = "first_moved_s")]
    pub first_shift_s: Option<f64>,
    /// Time until the host received less than half of its usual share of all attempts, over one second.
    #[serde(rename = "half_moved_s")]
    pub half_shifted_s: Option<f64>,
}

/// The results of a bad day.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub seed: u64,
    #[serde(rename = "moments")]
    pub faults: Vec<FaultReport>,
    #[serde(rename = "day")]
    pub service_level: ServiceLevel,
    #[serde(rename = "service")]
    pub service_share: Option<f64>,
    /// Number of messages that contained updates, over all proxies.
    #[serde(rename = "messages")]
    pub update_messages: usize,
    /// Number of commands in those messages.
    pub commands: usize,
    /// Longest time from a change of the endpoint list until the last proxy removed the host, over all drains.
    pub longest_drain_s: Option<f64>,
    #[serde(rename = "held")]
    pub rules_held: Vec<&'static str>,
    #[serde(rename = "breaks")]
    pub violations: Vec<Violation>,
}

const TEXT: &str = "\
Bad day, seed {{ r.seed }}: service {{ share(r.service) }} \
({{ r.day.asked }} sent, {{ r.day.in_time }} in time, {{ r.day.done - r.day.in_time }} late, \
{{ r.day.denied }} rejected, {{ r.day.errored }} failed)

{{ pad('fault', 38) }}{{ pad('at s', 8) }}{{ pad('for s', 8) }}{{ pad('before', 9) }}{{ pad('during', 9) }}\
{{ pad('after', 9) }}{{ pad('first shift', 13) }}half shifted
{% for m in r.moments -%}
{{ pad(m.name, 38) }}{{ pad(m.began_s | round(1), 8) }}{{ pad(m.lasted_s | round(1), 8) }}{{ pad(share(m.before), 9) }}\
{{ pad(share(m.during), 9) }}{{ pad(share(m.after), 9) }}{{ pad(seconds(m.first_moved_s), 13) }}\
{{ seconds(m.half_moved_s) }}
{% endfor %}
{{ r.messages }} messages with {{ r.commands }} commands; longest drain {{ seconds(r.longest_drain_s) }}
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
        let mut templates = Environment::new();
        templates.add_function("pad", |text: String, width: usize| {
            format!("{text:<width$}")
        });
        templates.add_function("share", |share: Option<f64>| {
            share.map_or("-".into(), |s| format!("{s:.3}"))
        });
        templates.add_function("seconds", |duration: Option<f64>| {
            duration.map_or("-".into(), |s| format!("{s:.2} s"))
        });
        Ok(templates.render_str(TEXT, context! { r => self })?)
    }
}

pub(super) fn report(
    plan: &Plan,
    observations: &[(Duration, Observation)],
    faults: Vec<InjectedFault>,
    violations: Vec<Violation>,
    classes: &[RequestClass],
) -> Report {
    let service_level = measure(observations, classes, Duration::ZERO, Duration::MAX);
    let violated: BTreeSet<&str> = violations.iter().map(|violation| violation.rule).collect();
    let messages = observations
        .iter()
        .filter_map(|(_, observation)| match observation {
            Observation::UpdateMessage { commands, .. } => Some(*commands),
            _ => None,
        });
    Report {
        seed: plan.seed,
        faults: faults
            .iter()
            .map(|fault| fault_report(plan, observations, fault, classes))
            .collect(),
        service_share: service_level.share(),
        service_level,
        update_messages: messages.clone().count(),
        commands: messages.sum(),
        longest_drain_s: longest_drain(observations).map(|duration| duration.as_secs_f64()),
        rules_held: RULES
            .into_iter()
            .filter(|rule| !violated.contains(rule))
            .collect(),
        violations,
    }
}

/// Longest time from the endpoint list draining or removing a host until the last table without it.
fn longest_drain(observations: &[(Duration, Observation)]) -> Option<Duration> {
    let mut unavailable_since: BTreeMap<&str, Duration> = BTreeMap::new();
    let mut in_table: BTreeSet<(&str, &str, &str)> = BTreeSet::new();
    let mut longest = None;
    for (at, observation) in observations {
        match observation {
            Observation::ListedStateChanged {
                host,
                state: ListedState::Ready,
            } => drop(unavailable_since.remove(host.as_str())),
            Observation::ListedStateChanged { host, .. } => {
                unavailable_since.entry(host).or_insert(*at);
            }
            Observation::TableChanged {
                proxy,
                class,
                lines,
            } => {
                let (proxy, class) = (proxy.as_str(), class.as_str());
                for (host, since) in &unavailable_since {
                    let still_in_table = lines.iter().any(|(name, _)| name == host);
                    if !still_in_table && in_table.contains(&(proxy, class, *host)) {
                        longest = longest.max(Some(*at - *since));
                    }
                }
                in_table.retain(|(p, c, _)| (*p, *c) != (proxy, class));
                in_table.extend(lines.iter().map(|(name, _)| (proxy, class, name.as_str())));
            }
            _ => {}
        }
    }
    longest
}
