//! HostLoad shedding: under overload the request kinds of least benefit are let in less, down to what the fleet can do.

use super::{Controller, LOAD_WINDOW};
use crate::state::*;
use crate::*;
use std::time::Duration;

/// Report delays for which a host's sums count as evidence of strain.
const FRESH_LAGS: f64 = 3.0;
/// The fleet is strained when its median host's answers take this share of the mean response target on average: the
/// slower ones then miss it.
const STRAINED_TIME: f64 = 0.36;
/// The fleet is strained when this share of its median host's tries fails.
const STRAINED_FAILING: f64 = 0.3;
/// Strain under which levels rise fast.
const RELAXED: f64 = 0.6;
/// Long answers count as strain only while this many requests wait at the mean host.
const QUEUED: f64 = 0.2;
/// Times that strain is raised at most for hosts that went since the sums: lists can be wrong.
const MAX_MISSING: f64 = 2.0;
/// Under strain what is let in is cut to this part of itself, or of the most ever done.
const CUT_FACTOR: f64 = 0.8;
/// Time until a cut shows in the sums.
const CUT_WAIT: Duration = Duration::from_millis(3_000);
/// Rise of what is let in per second, in parts of the most ever done.
const RISE_FAST: f64 = 0.06;
const RISE_SLOW: f64 = 0.02;
/// Least share of the kind of highest benefit that is let in.
const MIN_TOP_LEVEL: f64 = 0.5;
/// Step in which shares are sent.
const LEVEL_STEP: f64 = 0.05;

impl Controller {
    /// What is let in, and the most ever done, were of the proxies joined then. Held fast while those of a
    /// steward that restarts come over, they would have twice the reqs refused.
    pub(super) fn joined_changed(&mut self, before: f64) {
        let part = self.demand() / before;
        if part.is_normal() {
            self.let_in = self.let_in.map(|let_in| let_in * part);
            self.peak_per_weight *= part;
        } else {
            (self.let_in, self.peak_per_weight) = (None, 0.0);
        }
    }

    /// Reqs a second of our proxies.
    pub(super) fn demand(&self) -> f64 {
        self.proxies.values().map(Proxy::rate).sum()
    }

    /// Share of all reqs that the levels let in.
    pub(super) fn share_let_in(&self) -> f64 {
        let came = self.demand();
        let taken = |p: &Proxy| -> f64 {
            p.rates
                .iter()
                .zip(&self.levels)
                .map(|(r, level)| r * level)
                .sum()
        };
        if came > 0.0 {
            self.proxies.values().map(taken).sum::<f64>() / came
        } else {
            1.0
        }
    }

    /// Under real overload the kinds of least benefit are let in less, down to what the fleet can do.
    pub(super) fn set_levels(&mut self, passed: f64) {
        // Old sums are no evidence: hosts unheard of lately say nothing of the strain.
        let usable = || self.hosts.iter().filter(|h| self.ready.usable(h, self.now));
        let known =
            || usable().filter(|h| (self.newest_line - h.heard).seconds() < self.lag * FRESH_LAGS);
        let time = median(known().map(|h| h.time).filter(|&time| time > 0.0)).unwrap_or(0.0);
        let failing = median(known().filter_map(Host::failing)).unwrap_or(0.0);
        // Answers that take long though nothing waits are no overload: refusing would make none faster.
        let (told, queue) = known()
            .filter_map(|h| h.queue)
            .fold((0.0, 0.0), |(n, sum), q| (n + 1.0, sum + q));
        let time = if queue >= told * QUEUED { time } else { 0.0 };
        let done = self.flow(self.hosts.iter()).successes;
        // The most ever done goes by weight, so that it grows and shrinks with the fleet.
        let weight = usable().map(|h| h.weight).sum::<f64>().max(1e-9);
        self.peak_per_weight = self.peak_per_weight.max(done / weight);
        let peak = self.peak_per_weight * weight;
        let kinds = 0..self.levels.len();
        let came: Vec<f64> = kinds
            .map(|k| self.proxies.values().map(|p| p.rates[k]).sum())
            .collect();
        let demand: f64 = came.iter().sum();
        let target = came
            .iter()
            .zip(&self.ready.targets)
            .map(|(rate, t)| rate * t)
            .sum::<f64>()
            / demand;
        // Sums tell of what the fleet could do then: what went since shows in them seconds later.
        let able = usable()
            .map(|h| h.weight * self.ready.ramp(h, self.now))
            .sum::<f64>()
            .max(1e-9);
        let shown = 1.0 - (-passed / LOAD_WINDOW.seconds()).exp();
        let missing = mix(self.missing, 1.0, shown) * self.able / able;
        (self.missing, self.able) = (missing.clamp(1.0, MAX_MISSING), able);
        let strain =
            (time / (target * STRAINED_TIME)).max(failing / STRAINED_FAILING) * self.missing;
        self.strain = strain;
        // The first sums after a start tell of a few tries: a cut to those would refuse nearly all.
        let since = self.cut_at.max(self.first_line.unwrap_or(self.now));
        // A cut shows once it has reached the proxies.
        let wait = CUT_WAIT + self.channel.lateness(self.now);
        if strain > 1.0 && self.now - since >= wait && demand > 0.0 {
            self.let_in = Some(self.let_in.unwrap_or(demand).min(demand).min(peak) * CUT_FACTOR);
            self.cut_at = self.now;
        } else if strain <= 1.0 {
            let room = |held: f64| self.planned.is_some_and(|part| held < part * demand);
            let rise = |held| {
                if strain < RELAXED || room(held) {
                    RISE_FAST
                } else {
                    RISE_SLOW
                }
            };
            let risen = self.let_in.map(|held| held + peak * rise(held) * passed);
            self.let_in = risen.filter(|&let_in| let_in < demand);
        }
        let mut over = self.let_in.map_or(0.0, |let_in| demand - let_in);
        for &kind in &self.ready.least_benefit_first {
            let least = if self.ready.least_benefit_first.ends_with(&[kind]) {
                MIN_TOP_LEVEL
            } else {
                0.0
            };
            let share = (1.0 - over / came[kind].max(1e-9)).clamp(least, 1.0);
            over = (over - came[kind]).max(0.0);
            self.levels[kind] = (share / LEVEL_STEP).round() * LEVEL_STEP;
        }
    }
}
