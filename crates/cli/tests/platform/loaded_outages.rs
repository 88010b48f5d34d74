//! What else happens on a seeded day of outages: controllers end together and one after the other, a channel slows down, a
//! registry falls silent, one proxy gets much of all requests, and hosts restart while they warm up.
//!
//! Ranges are those of the users' pages.

use crate::loaded_faults::FAULTS;
use crate::loaded_fleet::CHANNEL_RATE;
use crate::loaded_soak::{CONTROLLERS, Day, DayKind, HostStep, PROXIES, between};
use fastrand::Rng;

/// Coefficient of variation of the proxies' requests.
pub(crate) const RATE_VARIATION: (f64, f64) = (0.6, 1.4);
/// When controllers are reloaded, and when some of them are killed together.
const RELOAD_AT_S: (f64, f64) = (24.5, 34.0);
const KILL_AT_S: (f64, f64) = (26.0, 41.0);
/// Seconds for which they are down.
const OUTAGE_S: (f64, f64) = (2.6, 10.0);
/// Seconds from their return to the planned restart of another, and for which it is down.
const NEXT_AFTER_S: (f64, f64) = (0.5, 8.0);
const RESTART_S: (f64, f64) = (0.5, 3.0);
/// The burst that begins around the outage, and how long it lasts.
const BURST: (f64, f64) = (1.3, 2.5);
const BURST_S: (f64, f64) = (3.3, 8.7);
/// When other faults of this kind begin, and the seconds between two of them.
const FIRST_FAULT_S: f64 = 6.0;
const FAULT_INTERVAL_S: (f64, f64) = (4.0, 12.0);
/// How many times slower a channel is, and for how many seconds.
const SLOW_CHANNEL: (f64, f64) = (2.0, 4.5);
const SLOW_CHANNEL_S: (f64, f64) = (7.5, 18.0);
/// Seconds for which a registry is silent; what it has to tell counts as told after 6 s.
const SILENT_S: (f64, f64) = (1.0, 6.0);
/// The share of all requests that one proxy gets, and for how many seconds.
const HOT_SHARE: (f64, f64) = (0.05, 0.24);
const HOT_S: (f64, f64) = (10.0, 30.0);
/// Other faults of a day with few of them, and when they begin.
const FEW_FAULTS: std::ops::RangeInclusive<usize> = 1..=3;
const FEW_FAULTS_AT_S: (f64, f64) = (5.0, 48.0);
/// Faults of this kind, beside hosts that crash and the faults of days of churn.
const OUTAGE_FAULTS: u32 = 4;
/// Hosts that restart without notice while they warm up.
const RESTARTED_HOSTS: usize = 3;

/// A proxy that gets more requests for a while.
struct HotProxy {
    proxy: usize,
    usual_rate: f64,
    until: f64,
}

/// What happens on a day of outages, and when.
pub(crate) struct Outages {
    /// Whether streams break all the time.
    pub has_churn: bool,
    /// Until when each controller's registry is silent.
    pub silent_until: [f64; CONTROLLERS],
    reload_at: f64,
    /// When controllers are killed, how many, and until when.
    kill_at: f64,
    killed: usize,
    back_at: f64,
    /// When another controller restarts as planned.
    next_at: f64,
    burst_at: Option<f64>,
    fault_at: f64,
    /// When the faults of a day with few of them begin.
    few_faults_at: Vec<f64>,
    slow_channel: Option<(f64, usize)>,
    hot: Option<HotProxy>,
}

impl Outages {
    pub(crate) fn draw(random: &mut Rng) -> Outages {
        let kill_at = between(random, KILL_AT_S);
        let back_at = kill_at + between(random, OUTAGE_S);
        let has_burst = random.bool();
        let burst_at = kill_at - 3.0 + 12.0 * random.f64();
        Outages {
            has_churn: random.bool(),
            silent_until: [0.0; CONTROLLERS],
            reload_at: between(random, RELOAD_AT_S),
            kill_at,
            killed: random.usize(1..CONTROLLERS),
            back_at,
            next_at: back_at + between(random, NEXT_AFTER_S),
            burst_at: has_burst.then_some(burst_at),
            fault_at: FIRST_FAULT_S,
            few_faults_at: (0..random.usize(FEW_FAULTS))
                .map(|_| between(random, FEW_FAULTS_AT_S))
                .collect(),
            slow_channel: None,
            hot: None,
        }
    }
}

/// Returns whether a time has come, and keeps it from coming again.
fn take_due(at: &mut f64, now: f64) -> bool {
    let is_due = now >= *at;
    if is_due {
        *at = f64::INFINITY;
    }
    is_due
}

impl Day {
    /// Does what is due.
    pub(crate) fn advance_outages(&mut self, now: f64) {
        self.end_faults(now);
        if take_due(&mut self.outages.reload_at, now) {
            for controller in 0..CONTROLLERS {
                self.reload_controller(controller);
            }
        }
        if take_due(&mut self.outages.kill_at, now) {
            self.kill_together();
        }
        if take_due(&mut self.outages.next_at, now) {
            self.restart_next(now);
        }
        if self.outages.burst_at.take_if(|at| now >= *at).is_some() {
            let factor = between(&mut self.random, BURST);
            self.burst_until = now + between(&mut self.random, BURST_S);
            self.fleet.world().burst = factor;
            self.note(&format!("burst of {factor:.2} around the outage"));
        }
        if self.kind == DayKind::FewFaults {
            self.inject_few(now);
        } else if now >= self.outages.fault_at {
            self.outages.fault_at = now + between(&mut self.random, FAULT_INTERVAL_S);
            self.inject_outage(now);
        }
    }

    /// Some controllers are killed at the same time. Their proxies join the others, or wait.
    fn kill_together(&mut self) {
        let first = self.random.usize(0..CONTROLLERS);
        let until = self.outages.back_at;
        for offset in 0..self.outages.killed {
            self.end_controller((first + offset) % CONTROLLERS, false, until);
        }
    }

    /// The controller with the most proxies restarts as planned.
    fn restart_next(&mut self, now: f64) {
        let joined = |controller: usize| {
            let world = self.fleet.world();
            let proxies = world.proxies.iter();
            proxies
                .filter(|proxy| proxy.controller == Some(controller))
                .count()
        };
        let busiest = (0..CONTROLLERS).max_by_key(|&controller| joined(controller));
        let until = now + between(&mut self.random, RESTART_S);
        if let Some(controller) = busiest {
            self.end_controller(controller, true, until);
        }
    }

    /// Injects the faults of a day with few of them that are due.
    pub(crate) fn inject_few(&mut self, now: f64) {
        let before = self.outages.few_faults_at.len();
        self.outages.few_faults_at.retain(|at| now < *at);
        for _ in self.outages.few_faults_at.len()..before {
            let controller = self.random.usize(0..CONTROLLERS);
            let fault = self.random.u32(0..FAULTS + OUTAGE_FAULTS + 2);
            match fault.checked_sub(FAULTS) {
                None => self.inject_fault(fault, controller, now),
                Some(0 | 1) => self.crash_hosts(now),
                Some(_) => self.inject_outage(now),
            }
        }
    }

    fn inject_outage(&mut self, now: f64) {
        let controller = self.random.usize(0..CONTROLLERS);
        match self.random.u32(0..OUTAGE_FAULTS) {
            0 => self.slow_channel(controller, now),
            1 => self.silence_registry(controller, now),
            2 => self.heat_proxy(now),
            _ => self.restart_warming_hosts(now),
        }
    }

    fn slow_channel(&mut self, controller: usize, now: f64) {
        if self.outages.slow_channel.is_some() {
            return;
        }
        let factor = between(&mut self.random, SLOW_CHANNEL);
        let until = now + between(&mut self.random, SLOW_CHANNEL_S);
        self.note(&format!(
            "channel of n{controller} {factor:.1} times slower until {until:.1} s"
        ));
        self.fleet.relay(controller).set_rate(CHANNEL_RATE / factor);
        self.fleet.world().grace_factor = factor;
        self.outages.slow_channel = Some((until, controller));
    }

    fn silence_registry(&mut self, controller: usize, now: f64) {
        let until = now + between(&mut self.random, SILENT_S);
        self.note(&format!(
            "registry of n{controller} silent until {until:.1} s"
        ));
        self.outages.silent_until[controller] = until;
        let of_controller = self
            .tellings
            .iter_mut()
            .filter(|telling| telling.controller == controller);
        of_controller.for_each(|telling| telling.at = telling.at.max(until));
    }

    fn heat_proxy(&mut self, now: f64) {
        if self.outages.hot.is_some() {
            return;
        }
        let proxy = self.random.usize(0..PROXIES);
        let share = between(&mut self.random, HOT_SHARE);
        let until = now + between(&mut self.random, HOT_S);
        self.note(&format!(
            "proxy {proxy} gets {share:.2} of all requests until {until:.1} s"
        ));
        let mut world = self.fleet.world();
        let total: f64 = world.proxies.iter().map(|proxy| proxy.rate).sum();
        let usual_rate = world.proxies[proxy].rate;
        world.proxies[proxy].rate = total * share;
        drop(world);
        self.outages.hot = Some(HotProxy {
            proxy,
            usual_rate,
            until,
        });
    }

    /// Hosts that warm up restart without notice.
    fn restart_warming_hosts(&mut self, now: f64) {
        let mut hosts = self.idle_hosts(usize::MAX);
        let world = self.fleet.world();
        hosts.retain(|id| world.hosts[id].is_warming(now));
        drop(world);
        hosts.truncate(RESTARTED_HOSTS);
        self.note(&format!("{hosts:?} restart while they warm up"));
        for host in hosts {
            self.steps.push((now, HostStep::Stop, host.clone()));
            self.steps.push((now + 0.5, HostStep::Start, host));
        }
    }

    pub(crate) fn end_faults(&mut self, now: f64) {
        if let Some((_, controller)) = self
            .outages
            .slow_channel
            .take_if(|(until, _)| now >= *until)
        {
            self.fleet.relay(controller).set_rate(CHANNEL_RATE);
            self.fleet.world().grace_factor = 1.0;
        }
        if let Some(hot) = self.outages.hot.take_if(|hot| now >= hot.until) {
            self.fleet.world().proxies[hot.proxy].rate = hot.usual_rate;
        }
    }
}
