//! The day that broke the rule on overload in three reports (issues 36, 59 and 69): its hosts, its list, its signal and
//! the rate at which streams break. What the reports do not tell is drawn by the seed.
//!
//! Times are in seconds since the start of the fleet.

use crate::fake_registry::ListedHost;
use crate::loaded_host::HostProfile;
use crate::loaded_soak::{Day, HostStep, between, draw_profiles};
use fastrand::Rng;

/// The hosts, each with its zone.
const HOSTS: [(&str, &str); 30] = [
    ("d6fa3d3d", "ede"),
    ("cac31651", "arnhem"),
    ("2d42b643", "utrecht"),
    ("eb6a2ad8", "amersfoort"),
    ("2b3eb0b1", "ede"),
    ("c3fb0cbd", "amersfoort"),
    ("a829adcc", "arnhem"),
    ("31c7184b", "utrecht"),
    ("ae637508", "ede"),
    ("a25fadba", "amersfoort"),
    ("ee4ddbe2", "arnhem"),
    ("726a7fe9", "utrecht"),
    ("6ef6a2ff", "ede"),
    ("8e33447a", "amersfoort"),
    ("9f66ca35", "arnhem"),
    ("73084e68", "utrecht"),
    ("f3bc65db", "ede"),
    ("88b2bb75", "amersfoort"),
    ("d3a9bbe4", "arnhem"),
    ("b0511d8a", "utrecht"),
    ("a114e816", "ede"),
    ("6b62dbe4", "arnhem"),
    ("98c347ee", "arnhem"),
    ("2901711a", "utrecht"),
    ("7ed997f6", "arnhem"),
    ("d51df365", "amersfoort"),
    ("21600491", "utrecht"),
    ("67f6b1b9", "arnhem"),
    ("64a66c03", "utrecht"),
    ("f6cede86", "amersfoort"),
];
/// When a pair of hosts drains.
const DRAINS: [(f64, [&str; 2]); 6] = [
    (3.83, ["b0511d8a", "f3bc65db"]),
    (10.15, ["a25fadba", "d3a9bbe4"]),
    (14.03, ["73084e68", "a829adcc"]),
    (19.85, ["21600491", "88b2bb75"]),
    (22.77, ["6b62dbe4", "6ef6a2ff"]),
    (26.65, ["2901711a", "cac31651"]),
];
/// When a pair of hosts starts again that nothing named before.
const RESTARTS: [(f64, [&str; 2]); 4] = [
    (15.5, ["2b3eb0b1", "eb6a2ad8"]),
    (28.1, ["f3bc65db", "73084e68"]),
    (44.6, ["6ef6a2ff", "9f66ca35"]),
    (53.0, ["eb6a2ad8", "c3fb0cbd"]),
];
/// Time from a drain to the end of the process, and to its next start.
const DRAIN_TO_STOP_S: (f64, f64) = (3.8, 5.3);
const DRAIN_TO_START_S: f64 = 8.75;
/// Time for which the process is down that starts again without notice.
const DOWN_S: (f64, f64) = (0.5, 5.0);
/// Time from a start to the list that shows it.
const START_TO_LIST_S: (f64, f64) = (0.3, 1.0);
/// Steps of the release, and how many of them lie between two pairs.
const STEP_S: f64 = 0.97;
const STEPS_BETWEEN_PAIRS: std::ops::RangeInclusive<usize> = 3..=7;
/// The last drain.
const DRAINS_UNTIL_S: f64 = 48.0;
/// The controller that is reloaded, and when.
const RELOADED: usize = 1;
const RELOAD_AT_S: f64 = 24.5;
/// When another controller is killed, on half of the days, and for how long.
const KILL_AT_S: f64 = 41.0;
const KILLED_FOR_S: f64 = 5.0;
/// Share of the capacity that requests use.
pub(crate) const UTILIZATION: (f64, f64) = (0.5, 0.69);

/// What happens to a pair of hosts.
#[derive(Clone, Copy)]
enum PairEvent {
    Drain,
    Restart,
}

/// What is still to come of the day.
pub(crate) struct ReportedDay {
    pairs: Vec<(f64, PairEvent, [&'static str; 2])>,
    reload_at: Option<f64>,
    kill_at: Option<f64>,
}

/// Returns the hosts with what they can do.
pub(crate) fn profiles(random: &mut Rng) -> Vec<(String, HostProfile)> {
    let drawn = draw_profiles(random).into_iter().zip(HOSTS);
    drawn
        .map(|((_, profile), (host, zone))| (host.to_string(), HostProfile { zone, ..profile }))
        .collect()
}

impl ReportedDay {
    pub(crate) fn draw(random: &mut Rng) -> ReportedDay {
        let drains = DRAINS.map(|(at, pair)| (at, PairEvent::Drain, pair));
        let restarts = RESTARTS.map(|(at, pair)| (at, PairEvent::Restart, pair));
        let mut pairs: Vec<_> = drains.into_iter().chain(restarts).collect();
        pairs.extend(draw_later_drains(random));
        ReportedDay {
            pairs,
            reload_at: Some(RELOAD_AT_S),
            kill_at: random.bool().then_some(KILL_AT_S),
        }
    }
}

/// Draws the drains after those that the reports show: pairs of hosts that were not named yet.
fn draw_later_drains(random: &mut Rng) -> Vec<(f64, PairEvent, [&'static str; 2])> {
    let is_named = |host: &str| {
        let drained = DRAINS.iter().map(|(_, pair)| pair);
        let mut named = drained.chain(RESTARTS.iter().map(|(_, pair)| pair));
        named.any(|pair| pair.contains(&host))
    };
    let mut hosts: Vec<&'static str> = HOSTS.iter().map(|(host, _)| *host).collect();
    hosts.retain(|host| !is_named(host));
    random.shuffle(&mut hosts);
    let mut at = DRAINS[DRAINS.len() - 1].0;
    let mut drains = Vec::new();
    for pair in hosts.chunks_exact(2) {
        at += STEP_S * random.usize(STEPS_BETWEEN_PAIRS) as f64;
        if at > DRAINS_UNTIL_S {
            break;
        }
        drains.push((at, PairEvent::Drain, [pair[0], pair[1]]));
    }
    drains
}

impl Day {
    /// Does what is due of the reported day.
    pub(crate) fn advance_reported_day(&mut self, now: f64) {
        let pairs = std::mem::take(&mut self.reported_day.pairs);
        let (due, later): (Vec<_>, Vec<_>) = pairs.into_iter().partition(|(at, ..)| *at <= now);
        self.reported_day.pairs = later;
        for (_, event, pair) in due {
            match event {
                PairEvent::Drain => self.drain_pair(now, pair),
                PairEvent::Restart => self.restart_pair(now, pair),
            }
        }
        let reload_at = &mut self.reported_day.reload_at;
        if reload_at.take_if(|at| now >= *at).is_some() {
            self.reload_controller(RELOADED);
        }
        let kill_at = &mut self.reported_day.kill_at;
        if kill_at.take_if(|at| now >= *at).is_some() {
            self.end_controller(RELOADED + 1, false, now + KILLED_FOR_S);
        }
    }

    fn drain_pair(&mut self, now: f64, pair: [&str; 2]) {
        self.note(&format!("{pair:?} drain"));
        let terminating = ListedHost {
            lifecycle: "Terminating",
            started_ms: 0,
        };
        self.tell_all(now, &pair.map(|host| (host.to_string(), terminating)));
        let stops_at = now + between(&mut self.random, DRAIN_TO_STOP_S);
        self.start_pair_again(pair, stops_at, now + DRAIN_TO_START_S);
    }

    fn restart_pair(&mut self, now: f64, pair: [&str; 2]) {
        self.note(&format!("{pair:?} restart"));
        let starts_at = now + between(&mut self.random, DOWN_S);
        self.start_pair_again(pair, now, starts_at);
    }

    fn start_pair_again(&mut self, pair: [&str; 2], stops_at: f64, starts_at: f64) {
        for host in pair {
            let host = host.to_string();
            self.steps.push((stops_at, HostStep::Stop, host.clone()));
            self.steps.push((starts_at, HostStep::Start, host));
        }
    }

    /// Draws how late the list shows a start on this day.
    pub(crate) fn draw_list_delay(&mut self) -> f64 {
        between(&mut self.random, START_TO_LIST_S)
    }
}
