//! What the sums say of the hosts' speed, the kinds' work and the demand.
//!
//! A steward sees its own proxies' reqs alone, late and in periods. What a host says of itself (cores busy, reqs
//! waiting) is of all senders. Two laws join them, each with its own error, and are weighed by that. Little's: of the
//! time that a req spends at a host, the part waiting / (waiting + cores busy) is waiting, whoever sent the others;
//! but queues are seen at moments only. Utilisation: cores busy over reqs a second is the work of one; but of the
//! reqs only ours are seen. What is at work is work over speed, one figure a kind and one a host, found in a few
//! rounds. Evidence fades with its age; what is left is weighed against the listed weight, so that a host nobody hears
//! of ends there.

use pondarch_controller::DurationExt;
use pondarch_controller::{HostId, ProxyId, RequestClassId, Time, ZoneId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time in which evidence of speed and work loses half its say: hosts change by deploys and neighbours, not by the
/// second. With 10 s weights wandered by a tenth, and at 0.85 of the capacity some host was always jammed.
const HALF: Duration = Duration::from_millis(20_000);
/// Time over which demand is averaged.
const DEMAND_OVER: Duration = Duration::from_millis(5_000);
/// Variation of one req's time about its kind's mean; what all figures of one host are off by together; how far off
/// its queue is, which is seen at moments only; how far listed weights are off, in rough figures.
const REQ_SPREAD: f64 = 0.5;
const HOST_SPREAD: f64 = 0.05;
const QUEUE_SPREAD: f64 = 0.3;
/// How far off the busy part is that a host tells; and how much our part of a host's reqs differs from host to host,
/// for each part of the proxies that are not ours.
const BUSY_SPREAD: f64 = 0.04;
const SHARE_SPREAD: f64 = 0.6;
const LISTED_SPREAD: f64 = 0.4;
/// Times that a speed may be off from what the listed weight says: beyond it something else is wrong.
const OFF_MOST: f64 = 8.0;
/// Least part of a req's time that counts as work.
const WORK_LEAST: f64 = 0.05;
/// Rounds in which speeds and work settle.
const ROUNDS: usize = 6;
/// Work of a req that nobody has seen yet, in seconds.
const UNSEEN_WORK_S: f64 = 0.1;
/// Busy part of the fleet from which its load says no more how much is asked for.
const FULL: f64 = 0.85;
/// Figures beyond these are mistakes: reqs in one look, seconds a req, reqs waiting.
const REQS_MOST: f64 = 1e7;
const TIME_MOST_S: f64 = 3_600.0;
const QUEUE_MOST: f64 = 1e6;

/// A host as the list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub host: HostId,
    pub zone: ZoneId,
    /// None: the listed weight counts as cores of the usual speed.
    pub cores: Option<f64>,
    pub weight: f64,
    /// The part of its work that it can do now.
    pub warm: f64,
    /// Whether anything new may be sent there.
    pub open: bool,
}

impl Listed {
    pub fn cores(&self) -> f64 {
        self.cores.unwrap_or(self.weight).max(1e-3)
    }
}

/// The speed of one core of each host as its listed weight has it; the mean is 1.
pub(crate) fn listed_speeds(listed: &[Listed]) -> Vec<f64> {
    let speed = |l: &Listed| l.weight / l.cores();
    let mean = listed.iter().map(speed).sum::<f64>() / listed.len().max(1) as f64;
    listed.iter().map(|l| speed(l) / mean.max(1e-9)).collect()
}

/// A figure, how far it may be off as a part of itself, and how old what it rests on is on the mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figure {
    pub value: f64,
    pub spread: f64,
    pub age: Duration,
}

/// What proxies saw at one host in one look: reqs done of each kind and the time they took in all; and its own word.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seen {
    pub done: Vec<(RequestClassId, f64, Duration)>,
    /// Busy part of its cores, and reqs waiting.
    pub load: Option<(f64, f64)>,
    pub over: Duration,
}

/// All that is known by now.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimated {
    /// Work of one core a second, by host; the mean of all is about 1.
    pub speed: BTreeMap<HostId, Figure>,
    /// Seconds of a core of speed 1, by kind.
    pub work: Vec<Figure>,
    /// Reqs a second that the whole fleet is asked for, by zone and kind: our proxies', times `scale`.
    pub rates: Vec<Vec<f64>>,
    /// All load over what our proxies bring.
    pub scale: f64,
}

#[derive(Clone, Debug, Default)]
struct HostSums {
    at: Time,
    /// Reqs done, and seconds they took, by kind; all these fade together.
    kinds: Vec<(f64, f64)>,
    busy: f64,
    queue: f64,
    loads: f64,
    over_s: f64,
    /// Sum of the times of evidence by its weight, as an age at `at`.
    age_s: f64,
}

#[derive(Clone, Debug)]
struct Asked {
    zone: ZoneId,
    rates: Vec<f64>,
}

#[derive(Clone, Debug)]
pub struct Estimates {
    kinds: usize,
    zones: usize,
    /// The part of all proxies that are ours.
    own_part: f64,
    hosts: BTreeMap<HostId, HostSums>,
    asked: BTreeMap<ProxyId, Asked>,
    newest: Option<Time>,
}

impl Estimates {
    pub fn new(kinds: usize, zones: usize, own_part: f64) -> Estimates {
        let own_part = if own_part.is_finite() {
            own_part.clamp(1e-3, 1.0)
        } else {
            1.0
        };
        Estimates {
            kinds,
            zones,
            own_part,
            hosts: BTreeMap::new(),
            asked: BTreeMap::new(),
            newest: None,
        }
    }

    /// What was seen at a host that is warm; a cold one's times say nothing of what it can do later.
    pub fn seen(&mut self, now: Time, host: &HostId, seen: &Seen) {
        let sums = self.hosts.entry(host.clone()).or_default();
        if sums.kinds.is_empty() {
            (sums.kinds, sums.at) = (vec![(0.0, 0.0); self.kinds], now);
        }
        sums.fade(now);
        let before = sums.reqs();
        for (kind, done, time) in &seen.done {
            let Some((reqs, time_s)) = sums.kinds.get_mut(kind.0 as usize) else {
                continue;
            };
            let sound = (0.0..=REQS_MOST).contains(done) && time.seconds() <= done * TIME_MOST_S;
            if sound {
                *reqs += done;
                *time_s += time.seconds();
            }
        }
        let after = sums.reqs();
        // New evidence is as old as half of what it is over.
        if after > 0.0 {
            sums.age_s =
                (sums.age_s * before + (after - before) * seen.over.seconds() / 2.0) / after;
        }
        sums.over_s += seen.over.seconds();
        if let Some((busy, queue)) = seen.load
            && (0.0..=1.0).contains(&busy)
            && (0.0..=QUEUE_MOST).contains(&queue)
        {
            sums.busy += busy;
            sums.queue += queue;
            sums.loads += 1.0;
        }
        self.newest = self.newest.max(Some(now));
    }

    /// Reqs that came to one of our proxies.
    pub fn asked(
        &mut self,
        proxy: ProxyId,
        zone: ZoneId,
        kind: RequestClassId,
        reqs: f64,
        over: Duration,
    ) {
        let asked = self.asked.entry(proxy).or_insert_with(|| Asked {
            zone,
            rates: vec![0.0; self.kinds],
        });
        asked.zone = zone;
        if let Some(rate) = asked.rates.get_mut(kind.0 as usize)
            && over > Duration::ZERO
            && (0.0..=REQS_MOST).contains(&reqs)
        {
            let new = reqs / over.seconds();
            *rate = if *rate > 0.0 {
                *rate + (new - *rate) * over.sample_weight(DEMAND_OVER)
            } else {
                new
            };
        }
    }

    /// The proxy left: what it was asked for, another is asked for now.
    pub fn left(&mut self, proxy: ProxyId) {
        self.asked.remove(&proxy);
    }

    /// A new process, or a host that is gone: what was seen is of another.
    pub fn forget(&mut self, host: &HostId) {
        self.hosts.remove(host);
    }

    /// Forgets all hosts but these.
    pub fn keep(&mut self, wanted: impl Fn(&HostId) -> bool) {
        self.hosts.retain(|host, _| wanted(host));
    }

    /// When anything was seen last.
    pub fn newest(&self) -> Option<Time> {
        self.newest
    }

    /// What is known of these hosts; none while nothing was ever seen.
    pub fn read(&self, now: Time, listed: &[Listed]) -> Option<Estimated> {
        self.newest?;
        let prior = listed_speeds(listed);
        let evidence: Vec<Option<Evidence>> = listed
            .iter()
            .map(|l| {
                self.hosts
                    .get(&l.host)
                    .and_then(|sums| sums.evidence(now, l.cores(), self.own_part))
            })
            .collect();
        let (speed, work) = self.settle(&prior, &evidence);
        let figure = |n: usize| {
            let (precision, age) = match &evidence[n] {
                Some(evidence) => (evidence.precision(), evidence.age),
                None => (0.0, Duration::ZERO),
            };
            let spread = (1.0 / (precision + 1.0 / LISTED_SPREAD.powi(2))).sqrt();
            Figure {
                value: speed[n],
                spread,
                age,
            }
        };
        let scale = self.scale(listed, &evidence, &speed, &work);
        let mut rates = vec![vec![0.0; self.kinds]; self.zones];
        for asked in self.asked.values() {
            if let Some(of_zone) = rates.get_mut(asked.zone.0 as usize) {
                of_zone
                    .iter_mut()
                    .zip(&asked.rates)
                    .for_each(|(sum, rate)| *sum += rate * scale);
            }
        }
        let of_kind = |k: usize| {
            let seen: f64 = evidence.iter().flatten().map(|e| e.kinds[k].0).sum();
            let ages = evidence
                .iter()
                .flatten()
                .map(|e| e.age.seconds() * e.kinds[k].0)
                .sum::<f64>();
            let age = Duration::from_micros((ages / seen.max(1e-9) * 1e6) as u64);
            Figure {
                value: work[k],
                spread: (REQ_SPREAD / seen.max(0.25).sqrt()).max(HOST_SPREAD),
                age,
            }
        };
        let speeds = listed
            .iter()
            .enumerate()
            .map(|(n, l)| (l.host.clone(), figure(n)))
            .collect();
        Some(Estimated {
            speed: speeds,
            work: (0..self.kinds).map(of_kind).collect(),
            rates,
            scale,
        })
    }

    /// One figure a kind and one a host, in a few rounds: time at work = work of the kind / speed of the host.
    fn settle(&self, prior: &[f64], evidence: &[Option<Evidence>]) -> (Vec<f64>, Vec<f64>) {
        let (mut speed, mut work) = (prior.to_vec(), vec![UNSEEN_WORK_S; self.kinds]);
        for _ in 0..ROUNDS {
            let mut by_kind = vec![(0.0, 0.0); self.kinds];
            for (evidence, speed) in evidence.iter().zip(&speed) {
                // Where most of the time is waiting, what is left for work is mostly the error of that.
                let Some((evidence, say)) =
                    evidence.as_ref().map(|e| (e, (1.0 - e.waiting).powi(2)))
                else {
                    continue;
                };
                for (sum, (reqs, at_work)) in by_kind.iter_mut().zip(&evidence.kinds) {
                    *sum = (sum.0 + reqs * say, sum.1 + at_work * say * speed);
                }
            }
            let known = by_kind.iter().filter(|(reqs, _)| *reqs > 0.0);
            let (reqs, all) = known.fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
            let usual = if reqs > 0.0 {
                all / reqs
            } else {
                UNSEEN_WORK_S
            };
            for (work, (reqs, all)) in work.iter_mut().zip(&by_kind) {
                *work = if *reqs > 0.0 { all / reqs } else { usual }.clamp(1e-6, TIME_MOST_S);
            }
            // How far each host's figures are from its listed speed, and its say.
            let off = |(evidence, prior): (&Option<Evidence>, &f64)| {
                let evidence = evidence.as_ref()?;
                let due: f64 = evidence
                    .kinds
                    .iter()
                    .zip(&work)
                    .map(|((reqs, _), work)| reqs * work)
                    .sum();
                let took: f64 = evidence.kinds.iter().map(|(_, at_work)| at_work).sum();
                Some((
                    (due / took / prior).clamp(1.0 / OFF_MOST, OFF_MOST).ln(),
                    evidence.precision(),
                ))
            };
            let off: Vec<Option<(f64, f64)>> = evidence.iter().zip(prior).map(off).collect();
            // Hosts that were heard of and those that were not go by one yardstick.
            let (sum, say) = off
                .iter()
                .flatten()
                .fold((0.0, 0.0), |(s, w), (ln, p)| (s + ln * p, w + p));
            let middle = if say > 0.0 { sum / say } else { 0.0 };
            for ((speed, prior), off) in speed.iter_mut().zip(prior).zip(off) {
                let (ln, precision) = off.unwrap_or((middle, 0.0));
                let part = precision / (precision + 1.0 / LISTED_SPREAD.powi(2));
                *speed = prior * ((ln - middle) * part).exp();
            }
        }
        (speed, work)
    }

    /// All load over what our proxies bring: other stewards' proxies send to the same hosts, and whoever plans for the
    /// whole with the same figures comes to the same weights, so that nobody pours onto what is idle twice.
    fn scale(
        &self,
        listed: &[Listed],
        evidence: &[Option<Evidence>],
        speed: &[f64],
        work: &[f64],
    ) -> f64 {
        let (mut all, mut own, mut capacity) = (0.0, 0.0, 0.0);
        for ((listed, evidence), speed) in listed.iter().zip(evidence).zip(speed) {
            let Some((evidence, busy)) = evidence.as_ref().and_then(|e| Some((e, e.busy?))) else {
                continue;
            };
            capacity += listed.cores() * speed;
            all += listed.cores() * speed * busy;
            own += evidence
                .rates
                .iter()
                .zip(work)
                .map(|(rate, work)| rate * work)
                .sum::<f64>();
        }
        let by_proxies = 1.0 / self.own_part;
        let seen = if own > 0.0 { all / own } else { by_proxies };
        // Cores that are all busy don't say how much was asked for.
        let seen = if all > capacity * FULL {
            seen.max(by_proxies)
        } else {
            seen
        };
        seen.clamp(1.0, by_proxies * 2.0)
    }
}

/// What is left of one host's sums now.
#[derive(Clone, Debug)]
struct Evidence {
    /// Reqs, and seconds at work, by kind.
    kinds: Vec<(f64, f64)>,
    /// Reqs a second of ours, by kind.
    rates: Vec<f64>,
    busy: Option<f64>,
    /// The part of a req's time that is waiting, and the variance of what is left.
    waiting: f64,
    variance: f64,
    age: Duration,
}

impl Evidence {
    /// One over the squared spread of its speed.
    fn precision(&self) -> f64 {
        let reqs: f64 = self.kinds.iter().map(|(reqs, _)| reqs).sum();
        let variance = REQ_SPREAD.powi(2) / reqs + HOST_SPREAD.powi(2) + self.variance;
        if reqs < 1e-3 { 0.0 } else { 1.0 / variance }
    }
}

impl HostSums {
    fn reqs(&self) -> f64 {
        self.kinds.iter().map(|(reqs, _)| reqs).sum()
    }

    fn fade(&mut self, now: Time) {
        let (part, passed) = ((now - self.at).decay(HALF), (now - self.at).seconds());
        self.at = self.at.max(now);
        self.kinds
            .iter_mut()
            .for_each(|(reqs, time)| (*reqs, *time) = (*reqs * part, *time * part));
        for sum in [
            &mut self.busy,
            &mut self.queue,
            &mut self.loads,
            &mut self.over_s,
        ] {
            *sum *= part;
        }
        self.age_s += passed;
    }

    fn evidence(&self, now: Time, cores: f64, own_part: f64) -> Option<Evidence> {
        let mut sums = self.clone();
        sums.fade(now);
        let reqs = sums.reqs();
        if reqs <= 0.0 {
            return None;
        }
        let mean: f64 = sums.kinds.iter().map(|(_, time)| time).sum::<f64>() / reqs;
        let per_s = if sums.over_s > 0.0 {
            1.0 / sums.over_s
        } else {
            0.0
        };
        let told = (sums.loads > 0.0).then(|| (sums.busy / sums.loads, sums.queue / sums.loads));
        let (waiting, variance) = told.map_or((0.0, LISTED_SPREAD.powi(2)), |(busy, queue)| {
            let at_work = (cores * busy).max(1e-6);
            let little = queue / (queue + at_work);
            let by_little = (
                (mean * (1.0 - little)).max(1e-9),
                (QUEUE_SPREAD * little).powi(2) + 1e-4,
            );
            let share = (SHARE_SPREAD * (1.0 - own_part)).powi(2);
            let by_use = (
                (at_work * own_part / (reqs * per_s).max(1e-9)).max(1e-9),
                BUSY_SPREAD.powi(2) + share,
            );
            // In logs, as both are off by a factor; the less sure one counts less.
            let (a, b) = (1.0 / by_little.1, 1.0 / by_use.1);
            let work = ((by_little.0.ln() * a + by_use.0.ln() * b) / (a + b)).exp();
            (
                (1.0 - work / mean.max(1e-9)).clamp(0.0, 1.0 - WORK_LEAST),
                1.0 / (a + b),
            )
        });
        let at_work = |(reqs, time): &(f64, f64)| {
            (
                *reqs,
                (time - reqs * mean * waiting)
                    .max(time * WORK_LEAST)
                    .max(reqs * 1e-6),
            )
        };
        Some(Evidence {
            kinds: sums.kinds.iter().map(at_work).collect(),
            rates: sums.kinds.iter().map(|(reqs, _)| reqs * per_s).collect(),
            busy: told.map(|(busy, _)| busy),
            waiting,
            variance,
            age: Duration::from_micros((sums.age_s * 1e6) as u64),
        })
    }
}
