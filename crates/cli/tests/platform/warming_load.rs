//! The rule on overload, checked by what proxies hold: a host that has just started is not brought more than a multiple of
//! what it can do, over a span, by proxies that know of its start.

use crate::channel_relay::{AppliedTable, ChannelRelay};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::{Duration, Instant};

/// Multiple of its present capacity that a warming host falls over at.
pub(crate) const FALL_MULTIPLE: f64 = 2.5;
/// Span over which load and capacity are added up.
const FALL_SPAN: Duration = Duration::from_secs(2);
/// Part of the load that has to come from proxies that know of the start.
const KNOWING_PART: f64 = 2.0 / 3.0;

/// What is asked of warming hosts.
#[derive(Clone, Copy)]
pub(crate) struct WarmingRule {
    pub window: Duration,
    pub initial_capacity: f64,
    /// Time within which proxies have to act on what their controller was told.
    pub grace: Duration,
    /// Requests a second that a warm host can do.
    pub capacity: f64,
}

/// A host that has started lately.
#[derive(Clone, Copy)]
struct Warming {
    started: Instant,
    told: Instant,
}

/// One sample of a host's load, in requests.
struct Sample {
    at: Instant,
    load: f64,
    knowing: f64,
    capacity: f64,
}

/// The largest load that a warming host was brought.
#[derive(Clone, Default)]
pub(crate) struct Worst {
    pub host: String,
    /// Multiple of its capacity over the span.
    pub multiple: f64,
    /// How long after its start.
    pub age: Duration,
    /// The lines that proxies held of it then.
    pub lines: Vec<HeldLine>,
}

/// What one proxy sends to a warming host.
#[derive(Clone)]
pub(crate) struct HeldLine {
    proxy: u16,
    /// Requests a second.
    rate: f64,
    weight: f64,
    /// The sum of all weights in its table.
    table_weight: f64,
    /// How long ago its last message was ordered.
    ordered: Option<Duration>,
}

impl fmt::Display for HeldLine {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let HeldLine {
            proxy,
            rate,
            weight,
            table_weight,
            ordered,
        } = self;
        write!(
            formatter,
            "proxy {proxy}: {rate:.2} a second, weight {weight} of {table_weight:.3}, ordered {ordered:?} ago"
        )
    }
}

pub(crate) struct WarmingLoad {
    rule: WarmingRule,
    warming: BTreeMap<String, Warming>,
    samples: BTreeMap<String, VecDeque<Sample>>,
    sampled: Instant,
    /// Until then the rule's time limit waits.
    paused_until: Instant,
    pub worst: Worst,
}

impl WarmingLoad {
    pub(crate) fn new(rule: WarmingRule) -> WarmingLoad {
        WarmingLoad {
            rule,
            warming: BTreeMap::new(),
            samples: BTreeMap::new(),
            sampled: Instant::now(),
            paused_until: Instant::now(),
            worst: Worst::default(),
        }
    }

    /// A host has just started, and its controller is told so.
    pub(crate) fn started(&mut self, host: &str) {
        let now = Instant::now();
        let warming = Warming {
            started: now,
            told: now,
        };
        self.warming.insert(host.to_string(), warming);
        self.samples.remove(host);
    }

    /// The controller begins to know anew, this long from now on at the earliest.
    pub(crate) fn told_again(&mut self, after: Duration) {
        for warming in self.warming.values_mut() {
            warming.told = Instant::now() + after;
        }
        self.samples.clear();
    }

    /// The rule's time limit waits for so long.
    pub(crate) fn pause(&mut self, pause: Duration) {
        self.paused_until = self.paused_until.max(Instant::now() + pause);
    }

    /// Adds what has been sent since the last sample: each proxy sends `rate` requests a second, by its weights.
    pub(crate) fn sample(&mut self, relay: &ChannelRelay, rate: impl Fn(u16) -> f64) {
        let now = Instant::now();
        let passed = (now - self.sampled).as_secs_f64();
        self.sampled = now;
        let tables = relay.applied_tables();
        let rule = self.rule;
        let paused_until = self.paused_until;
        self.warming
            .retain(|_, warming| now - warming.started < rule.window);
        for (host, warming) in &self.warming {
            let due = warming.told.max(paused_until) + rule.grace;
            let mut sample = rule.sample(host, *warming, &tables, &rate, now, passed);
            if now >= due {
                sample.knowing = sample.load;
            }
            let samples = self.samples.entry(host.clone()).or_default();
            samples.push_back(sample);
            while now - samples[0].at > FALL_SPAN {
                samples.pop_front();
            }
            let sum = |of: fn(&Sample) -> f64| samples.iter().map(of).sum::<f64>();
            let load = sum(|sample| sample.load);
            let multiple = load / sum(|sample| sample.capacity).max(1e-9);
            let is_knowing = sum(|sample| sample.knowing) >= load * KNOWING_PART;
            // The budget is for a whole span: what a shorter one holds is none yet.
            let is_whole = now - samples[0].at > FALL_SPAN.mul_f64(0.9);
            if is_knowing && is_whole && multiple > self.worst.multiple {
                self.worst = Worst {
                    host: host.clone(),
                    multiple,
                    age: now - warming.started,
                    lines: held_lines(host, &tables, &rate, now),
                };
            }
        }
    }
}

fn held_lines(
    host: &str,
    tables: &BTreeMap<u16, AppliedTable>,
    rate: impl Fn(u16) -> f64,
    now: Instant,
) -> Vec<HeldLine> {
    let held = tables.iter().filter_map(|(&proxy, held)| {
        Some(HeldLine {
            proxy,
            rate: rate(proxy),
            weight: *held.weights.get(host)?,
            table_weight: held.weights.values().sum(),
            ordered: held.updated_at.map(|at| now - at),
        })
    });
    held.collect()
}

impl WarmingRule {
    fn sample(
        &self,
        host: &str,
        warming: Warming,
        tables: &BTreeMap<u16, AppliedTable>,
        rate: impl Fn(u16) -> f64,
        now: Instant,
        passed: f64,
    ) -> Sample {
        let (mut load, mut knowing) = (0.0, 0.0);
        for (&proxy, held) in tables {
            let Some(weight) = held.weights.get(host) else {
                continue;
            };
            let sent = rate(proxy) * weight / held.weights.values().sum::<f64>() * passed;
            let is_told = held.updated_at.is_some_and(|at| at >= warming.told);
            load += sent;
            if is_told {
                knowing += sent;
            }
        }
        let age = (now - warming.started).as_secs_f64() / self.window.as_secs_f64();
        let part = self.initial_capacity + (1.0 - self.initial_capacity) * age.min(1.0);
        Sample {
            at: now,
            load,
            knowing,
            capacity: self.capacity * part * passed,
        }
    }
}
