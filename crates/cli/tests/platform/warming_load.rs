//! The rule on overload, checked by the tables that proxies have applied: over a time span, proxies that know of a host's
//! start do not send it more than a multiple of its present capacity.

use crate::channel_relay::{AppliedTable, ChannelRelay};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Multiple of its present capacity at which a warming host is overloaded.
pub(crate) const OVERLOAD_MULTIPLE: f64 = 2.5;
/// Time span over which load and capacity are added up.
const OVERLOAD_SPAN: Duration = Duration::from_secs(2);
/// Share of the load that has to come from proxies that know of the start; with less, the rule does not apply.
const INFORMED_SHARE: f64 = 2.0 / 3.0;

/// The parameters of the rule.
#[derive(Clone, Copy)]
pub(crate) struct WarmingRule {
    /// Time from its start until a host has its full capacity.
    pub window: Duration,
    /// Share of its capacity that a host has at its start.
    pub initial_capacity: f64,
    /// Time within which proxies have to act on a change of the list.
    pub grace: Duration,
    /// Requests per second that a fully warm host can handle.
    pub capacity: f64,
}

/// A host that is warming up.
#[derive(Clone, Copy)]
struct Warming {
    started: Instant,
    /// When the controller was informed of the start.
    informed: Instant,
}

/// The load of a host between two samples, in requests.
struct Sample {
    at: Instant,
    load: f64,
    /// The part of the load that came from proxies that know of the start.
    informed_load: f64,
    capacity: f64,
}

/// The largest load of a warming host.
#[derive(Clone, Default)]
pub(crate) struct WorstLoad {
    pub host: String,
    /// Load over the span, as a multiple of the host's capacity.
    pub multiple: f64,
    /// Time since the host's start.
    pub age: Duration,
    /// The lines for it in the proxies' tables at that time.
    pub lines: Vec<TableLine>,
}

/// The line for a warming host in one proxy's table.
#[derive(Clone)]
pub(crate) struct TableLine {
    proxy: u16,
    /// Requests per second.
    rate: f64,
    weight: f64,
    /// The sum of all weights in the table.
    table_weight: f64,
    /// Time since the update call of the last message that the proxy has applied.
    updated: Option<Duration>,
}

impl fmt::Display for TableLine {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TableLine {
            proxy,
            rate,
            weight,
            table_weight,
            updated,
        } = self;
        write!(
            formatter,
            "proxy {proxy}: {rate:.2} requests/s, weight {weight} of {table_weight:.3}, updated {updated:?} ago"
        )
    }
}

/// Measures the load of warming hosts against the rule.
pub(crate) struct WarmingLoad {
    rule: WarmingRule,
    warming: BTreeMap<String, Warming>,
    samples: BTreeMap<String, VecDeque<Sample>>,
    last_sample: Instant,
    /// Grace periods start at this time at the earliest.
    grace_from: Instant,
    pub worst: WorstLoad,
}

impl WarmingLoad {
    pub(crate) fn new(rule: WarmingRule) -> WarmingLoad {
        WarmingLoad {
            rule,
            warming: BTreeMap::new(),
            samples: BTreeMap::new(),
            last_sample: Instant::now(),
            grace_from: Instant::now(),
            worst: WorstLoad::default(),
        }
    }

    /// A host has just started, and the controller is informed of it.
    pub(crate) fn started(&mut self, host: &str) {
        let now = Instant::now();
        let warming = Warming {
            started: now,
            informed: now,
        };
        self.warming.insert(host.to_string(), warming);
        self.samples.remove(host);
    }

    /// The controller has restarted and is informed of all starts again, after this time at the earliest.
    pub(crate) fn informed_again(&mut self, after: Duration) {
        for warming in self.warming.values_mut() {
            warming.informed = Instant::now() + after;
        }
        self.samples.clear();
    }

    /// Postpones the start of all grace periods until this time from now at least.
    pub(crate) fn postpone_grace(&mut self, delay: Duration) {
        self.grace_from = self.grace_from.max(Instant::now() + delay);
    }

    /// Adds the load since the last sample: each proxy sends `rate` requests per second, distributed by its weights.
    pub(crate) fn sample(&mut self, relay: &ChannelRelay, rate: impl Fn(u16) -> f64) {
        let now = Instant::now();
        let elapsed = (now - self.last_sample).as_secs_f64();
        self.last_sample = now;
        let tables = relay.applied_tables();
        let rule = self.rule;
        let grace_from = self.grace_from;
        self.warming
            .retain(|_, warming| now - warming.started < rule.window);
        for (host, warming) in &self.warming {
            let applies_from = warming.informed.max(grace_from) + rule.grace;
            let mut sample = rule.sample(host, *warming, &tables, &rate, now, elapsed);
            if now >= applies_from {
                sample.informed_load = sample.load;
            }
            let samples = self.samples.entry(host.clone()).or_default();
            samples.push_back(sample);
            while now - samples[0].at > OVERLOAD_SPAN {
                samples.pop_front();
            }
            let sum = |value: fn(&Sample) -> f64| samples.iter().map(value).sum::<f64>();
            let load = sum(|sample| sample.load);
            let multiple = load / sum(|sample| sample.capacity).max(1e-9);
            let is_informed = sum(|sample| sample.informed_load) >= load * INFORMED_SHARE;
            // The rule is on whole spans: a shorter one does not count yet.
            let is_full_span = now - samples[0].at > OVERLOAD_SPAN.mul_f64(0.9);
            if is_informed && is_full_span && multiple > self.worst.multiple {
                self.worst = WorstLoad {
                    host: host.clone(),
                    multiple,
                    age: now - warming.started,
                    lines: table_lines(host, &tables, &rate, now),
                };
            }
        }
    }
}

fn table_lines(
    host: &str,
    tables: &BTreeMap<u16, Arc<AppliedTable>>,
    rate: impl Fn(u16) -> f64,
    now: Instant,
) -> Vec<TableLine> {
    let lines = tables.iter().filter_map(|(&proxy, applied)| {
        Some(TableLine {
            proxy,
            rate: rate(proxy),
            weight: *applied.weights.get(host)?,
            table_weight: applied.weights.values().sum(),
            updated: applied.updated_at.map(|at| now - at),
        })
    });
    lines.collect()
}

impl WarmingRule {
    fn sample(
        &self,
        host: &str,
        warming: Warming,
        tables: &BTreeMap<u16, Arc<AppliedTable>>,
        rate: impl Fn(u16) -> f64,
        now: Instant,
        elapsed: f64,
    ) -> Sample {
        let (mut load, mut informed_load) = (0.0, 0.0);
        for (&proxy, applied) in tables {
            let Some(weight) = applied.weights.get(host) else {
                continue;
            };
            let sent = rate(proxy) * weight / applied.weights.values().sum::<f64>() * elapsed;
            let is_informed = applied.updated_at.is_some_and(|at| at >= warming.informed);
            load += sent;
            if is_informed {
                informed_load += sent;
            }
        }
        let age = (now - warming.started).as_secs_f64() / self.window.as_secs_f64();
        let capacity_share = self.initial_capacity + (1.0 - self.initial_capacity) * age.min(1.0);
        Sample {
            at: now,
            load,
            informed_load,
            capacity: self.capacity * capacity_share * elapsed,
        }
    }
}
