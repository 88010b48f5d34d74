//! What a day came to, as figures and as text.

use super::{Plan, Played, RehearsalError, moment};
use crate::client::Kind;
use crate::observations::{Fact, Listed};
use crate::rules::{Break, RULES};
use crate::service_level::{Service, service};
use minijinja::{Environment, context};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Service around one trouble; `None` where nothing was asked for or nothing moved.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Moment {
    pub name: &'static str,
    pub began_s: f64,
    pub lasted_s: f64,
    pub before: Option<f64>,
    pub during: Option<f64>,
    pub after: Option<f64>,
    /// From the trouble's begin to the first proxy whose table was changed.
    pub first_moved_s: Option<f64>,
    /// To the second in which the host got under half of its usual part of all tries.
    pub half_moved_s: Option<f64>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub seed: u64,
    pub moments: Vec<Moment>,
    pub day: Service,
    pub service: Option<f64>,
    /// Messages with orders, and the commands in them, over all proxies.
    pub messages: usize,
    pub commands: usize,
    /// Longest time from the list's word to the last proxy without the host, over all drains.
    pub longest_drain_s: Option<f64>,
    pub held: Vec<&'static str>,
    pub breaks: Vec<Break>,
}

const TEXT: &str = "\
Bad day, seed {{ r.seed }}: service {{ share(r.service) }} \
({{ r.day.asked }} asked, {{ r.day.in_time }} in time, {{ r.day.done - r.day.in_time }} late, \
{{ r.day.denied }} denied, {{ r.day.errored }} errored)

{{ pad('trouble', 38) }}{{ pad('at s', 8) }}{{ pad('for s', 8) }}{{ pad('before', 9) }}{{ pad('during', 9) }}\
{{ pad('after', 9) }}{{ pad('first moved', 13) }}half moved
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
    pub fn rules_held(&self) -> bool {
        self.breaks.is_empty()
    }

    /// The report as operators read it.
    ///
    /// Errors: only if the template and the figures do not fit each other.
    pub fn text(&self) -> Result<String, RehearsalError> {
        let mut templates = Environment::new();
        templates.add_function("pad", |text: String, width: usize| {
            format!("{text:<width$}")
        });
        templates.add_function("share", |share: Option<f64>| {
            share.map_or("-".into(), |s| format!("{s:.3}"))
        });
        templates.add_function("seconds", |span: Option<f64>| {
            span.map_or("-".into(), |s| format!("{s:.2} s"))
        });
        Ok(templates.render_str(TEXT, context! { r => self })?)
    }
}

pub(super) fn report(
    plan: &Plan,
    facts: &[(Duration, Fact)],
    played: Vec<Played>,
    breaks: Vec<Break>,
    kinds: &[Kind],
) -> Report {
    let day = service(facts, kinds, Duration::ZERO, Duration::MAX);
    let broken: BTreeSet<&str> = breaks.iter().map(|b| b.rule).collect();
    let messages = facts.iter().filter_map(|(_, fact)| match fact {
        Fact::Message { commands, .. } => Some(*commands),
        _ => None,
    });
    Report {
        seed: plan.seed,
        moments: played
            .iter()
            .map(|played| moment(plan, facts, played, kinds))
            .collect(),
        service: day.share(),
        day,
        messages: messages.clone().count(),
        commands: messages.sum(),
        longest_drain_s: longest_drain(facts).map(|span| span.as_secs_f64()),
        held: RULES
            .into_iter()
            .filter(|rule| !broken.contains(rule))
            .collect(),
        breaks,
    }
}

/// From the list's word that a host is to be left alone to the last table that lost it.
fn longest_drain(facts: &[(Duration, Fact)]) -> Option<Duration> {
    let mut away: BTreeMap<&str, Duration> = BTreeMap::new();
    let mut holds: BTreeSet<(&str, &str, &str)> = BTreeSet::new();
    let mut longest = None;
    for (at, fact) in facts {
        match fact {
            Fact::Listed {
                host,
                as_: Listed::Ready,
            } => drop(away.remove(host.as_str())),
            Fact::Listed { host, .. } => drop(away.entry(host).or_insert(*at)),
            Fact::Lines { proxy, kind, lines } => {
                let (proxy, kind) = (proxy.as_str(), kind.as_str());
                for (host, since) in &away {
                    let holds_now = lines.iter().any(|(name, _)| name == host);
                    if !holds_now && holds.contains(&(proxy, kind, *host)) {
                        longest = longest.max(Some(*at - *since));
                    }
                }
                holds.retain(|(p, k, _)| (*p, *k) != (proxy, kind));
                holds.extend(lines.iter().map(|(name, _)| (proxy, kind, name.as_str())));
            }
            _ => {}
        }
    }
    longest
}
