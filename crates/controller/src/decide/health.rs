//! Outlier detection: keeps away from hosts that fail or are silent where their peers are not, lets them come back, and
//! takes weight off hosts whose load stands out.

use super::{Controller, EJECTION_TIME, TRIES_HALF_LIFE};
use crate::state::*;
use crate::*;
use std::collections::BTreeMap;

/// RetryPolicy before a host is judged, lest a stray failure decides.
const MIN_TRIES: f64 = 2.0;
/// Part of the room above the fleet's median share of failures from which a host is kept away from: one that fails less
/// is eased.
const EJECTION_THRESHOLD: f64 = 0.6;
/// Ended tries expected of a host, none of which came, that make it silent (e^-7 is no chance).
const SILENT_TRIES: f64 = 7.0;
/// Report delays for which nothing is heard of a host before it is silent.
const SILENT_LAGS: f64 = 2.0;
/// Report intervals for which a host's sums count as a sign of life.
const ALIVE_LAGS: f64 = 4.0;
/// Part of the open hosts that may be kept away from at most: the rest must carry the day.
const MAX_EJECTED_PART: f64 = 0.25;
/// Times in a row that a host is kept away from for twice as long as before (12 s at most).
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Part of its weight that a host on trial gets.
const TRIAL_WEIGHT: f64 = 0.2;
/// Multiple of the median load from which a host is eased.
const OVERLOADED: f64 = 1.3;
/// Most of its weight that easing takes.
const MAX_EASED: f64 = 0.85;
/// Factors a second by which a host's weight goes down and up: down faster, as queues feed themselves.
const EASE_DOWN: f64 = 0.9;
const EASE_UP: f64 = 1.05;

impl Controller {
    /// Keeps away from hosts that fail or are silent where their peers are not, and lets them come back.
    pub(super) fn judge_hosts(&mut self) {
        let now = self.now;
        let median = median(self.hosts.iter().filter_map(Host::failing)).unwrap_or(0.0);
        let open = self
            .hosts
            .iter()
            .filter(|h| self.ready.open(h, now))
            .count();
        let out = self.hosts.iter().filter(|h| h.out_until.is_some()).count();
        let mut spare = ((open as f64 * MAX_EJECTED_PART) as usize).saturating_sub(out);
        // What was ordered a moment ago may not have reached the proxies.
        let delay = self.channel.lateness(now);
        // RetryPolicy a second that a host should see end, by our own bindings, weights and levels.
        let mut per_weight = vec![0.0; self.boards.len()];
        self.hosts
            .iter()
            .flat_map(|h| &h.places)
            .for_each(|place| per_weight[place.table] += place.sent);
        let let_in = self.share_let_in();
        for (t, usage) in self.usage().into_iter().enumerate() {
            per_weight[t] = usage * let_in / per_weight[t].max(1e-9);
        }
        per_weight[self.ready.shared_tables..].fill(0.0);
        // Kinds may be confined to zones: each zone keeps a warm host.
        let mut warm: BTreeMap<ZoneId, usize> = BTreeMap::new();
        let stays = |h: &Host| self.ready.usable(h, now) && self.ready.ramp(h, now) >= 1.0;
        self.hosts
            .iter()
            .filter(|h| stays(h))
            .for_each(|h| *warm.entry(h.zone).or_default() += 1);
        for host in &mut self.hosts {
            let warm_left = warm.entry(host.zone).or_default();
            let expected = host
                .places
                .iter()
                .map(|p| p.sent * per_weight[p.table])
                .sum::<f64>();
            host.in_use_since = if expected > 0.0 {
                host.in_use_since
            } else {
                now
            };
            let fails = host
                .failing()
                .is_some_and(|share| share > median + (1.0 - median) * EJECTION_THRESHOLD);
            // No line while peers' lines come: hung or vanished, long before its tries time out. Sums that
            // are late for all make nobody silent.
            let quiet = self.newest_line - host.heard.max(host.in_use_since + delay);
            let silent = expected * quiet.seconds() > SILENT_TRIES
                && quiet.seconds() > self.lag * SILENT_LAGS;
            let bad = (fails || silent)
                && spare > 0
                && *warm_left > 1
                && host.standing == EndpointState::Ready;
            if let Some(until) = host.out_until {
                if *warm_left == 0 || now >= until && !self.ready.probes {
                    host.start_trial(now);
                } else if now >= until && host.standing == EndpointState::Ready {
                    host.out_until = Some(now + EJECTION_TIME);
                    self.out.push_back(Decision::CheckHealth(host.id.clone()));
                }
            } else if bad {
                *warm_left -= usize::from(self.ready.ramp(host, now) >= 1.0);
                // One that answers looks but fails reqs would be back, and failing, most of the time.
                host.outs = if fails {
                    (host.outs + 1).min(MAX_EJECTION_DOUBLINGS)
                } else {
                    1
                };
                let wait = EJECTION_TIME
                    .scaled((0.8 + 0.4 * self.chance.f64()) * f64::from(1 << (host.outs - 1)));
                (host.out_until, host.trial_since) = (Some(now + wait), None);
                spare -= 1;
            } else if host
                .trial_since
                .is_some_and(|at| now - at > EJECTION_TIME.scaled(2.0))
            {
                host.trial_since = None;
            } else if host.trial_since.is_none() && !fails && host.failing().is_some() {
                host.outs = 0;
            }
        }
    }

    /// Takes weight off hosts whose load stands out in the fleet (known by times alone: among their like).
    pub(super) fn ease_loaded_hosts(&mut self, passed: f64) {
        let (ready, now) = (&self.ready, self.now);
        let usable = || self.hosts.iter().filter(|h| ready.usable(h, now));
        let by_busy = usable().filter(|h| h.busy.is_some()).count() * 2 > usable().count();
        let load = |h: &Host| {
            if by_busy {
                h.busy
            } else {
                (h.time > 0.0).then_some(h.time)
            }
        };
        let like = |h: &Host| {
            if by_busy {
                MachineTypeId::default()
            } else {
                h.machine
            }
        };
        let mut loads: BTreeMap<MachineTypeId, Vec<f64>> = BTreeMap::new();
        usable().for_each(|h| loads.entry(like(h)).or_default().extend(load(h)));
        let usual: BTreeMap<MachineTypeId, Option<f64>> = loads
            .into_iter()
            .map(|(machine, loads)| (machine, median(loads.into_iter())))
            .collect();
        for host in &mut self.hosts {
            if let (Some(own), Some(&Some(usual))) = (load(host), usual.get(&like(host))) {
                let over = own / usual.max(1e-6);
                let step = if over > OVERLOADED {
                    (OVERLOADED / over).max(EASE_DOWN)
                } else {
                    EASE_UP
                };
                host.eased = (1.0 - (1.0 - host.eased) * step.powf(passed)).clamp(0.0, MAX_EASED);
            }
        }
    }

    /// RetryPolicy and good answers a second at our proxies, of some hosts.
    pub(super) fn flow<'a>(&self, hosts: impl Iterator<Item = &'a Host>) -> Throughput {
        // Tallies that have only begun hold less than their due.
        let since = self.newest_line - self.first_line.unwrap_or(self.newest_line)
            + self.ready.report_every;
        let per_s = std::f64::consts::LN_2
            / TRIES_HALF_LIFE.seconds()
            / (1.0 - since.decay(TRIES_HALF_LIFE));
        let faded = |h: &Host| (self.newest_line - h.heard).decay(TRIES_HALF_LIFE) * per_s;
        hosts.fold(Throughput::default(), |sum, h| Throughput {
            attempts: sum.attempts + h.tries * faded(h),
            successes: sum.successes + (h.tries - h.errored) * faded(h),
        })
    }
}

impl Makeready {
    /// Whether the list lets us send there. Where being dropped from the list binds nobody, a host that was
    /// merely dropped counts as open while it answers.
    pub(super) fn open(&self, host: &Host, now: Time) -> bool {
        let answers =
            now - host.heard < self.report_every.scaled(ALIVE_LAGS) && host.errored < host.tries;
        let dropped =
            host.standing == EndpointState::Removed && self.gone_is_no_drain && !host.drained;
        host.standing == EndpointState::Ready || dropped && answers
    }

    pub(super) fn usable(&self, host: &Host, now: Time) -> bool {
        self.open(host, now) && host.out_until.is_none()
    }

    /// The part of its work that a host can do at least, by the start time that every steward is told.
    pub(super) fn ramp(&self, host: &Host, now: Time) -> f64 {
        let warmed = self.start_capacity
            + (1.0 - self.start_capacity) * (now - host.started).ratio(self.cold);
        if host.started.is_unset() {
            1.0
        } else {
            warmed.min(1.0)
        }
    }

    pub(super) fn strength(&self, host: &Host, now: Time) -> f64 {
        let trial = if host.trial_since.is_some() {
            TRIAL_WEIGHT
        } else {
            1.0
        };
        self.ramp(host, now).min(trial) * (1.0 - host.eased)
    }
}

impl Host {
    pub(super) fn failing(&self) -> Option<f64> {
        (self.tries >= MIN_TRIES).then(|| self.errored / self.tries)
    }

    pub(super) fn start_trial(&mut self, now: Time) {
        (self.tries, self.errored, self.time, self.heard) = (0.0, 0.0, 0.0, now);
        (self.out_until, self.trial_since) = (None, Some(now));
    }
}
