//! When to solve, what to do with an answer, and which weights are in use: between the estimates and the decision
//! module, which takes them as listed weights.
//!
//! An answer counts for a while. Without a new one the weights in use stay; when the last is too old they go back to
//! the listed ones, step by step like any other change. Every weight that is handed on has passed the guard.

use crate::estimate::{Estimated, Estimates, Figure, Listed, listed_speeds};
use crate::guard::{Bears, guarded};
use crate::model::{Fleet, Host, Kind, Table};
use crate::solve::Plan;
use crate::steady::step;
use pondarch_controller::DurationExt;
use pondarch_controller::{HostId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between two solves: some report periods; a step a report would be more than message caps let out.
const EVERY: Duration = Duration::from_millis(2_000);
/// Time after which an answer is given up, and what the solver is given: the rest is for queues on the way.
const LATE: Duration = Duration::from_millis(1_500);
pub const SOLVE_LIMIT: Duration = Duration::from_millis(1_200);
/// Sums older than this are no ground for a new plan.
const STALE: Duration = Duration::from_millis(5_000);
/// Time for which the last good answer holds.
const HOLDS: Duration = Duration::from_millis(30_000);
/// Part of each host's capacity that is planned with: speeds are believed, not known, and a host that turns out
/// slower than planned must not jam at once. Without it crossings were saved by filling one zone's hosts to 0.91.
const PRUDENCE: f64 = 0.85;
/// Least part of its listed weight, and least warm part, that a host is taken to have: the module takes 0 for none.
const LEAST: f64 = 1e-3;

/// Where the weights in use come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Source {
    #[default]
    Listed,
    Solved,
    /// The solver is late or fails, or there are no new sums: the last good answer holds.
    LastGood,
}

impl Source {
    pub fn word(self) -> &'static str {
        match self {
            Source::Listed => "listed",
            Source::Solved => "solved",
            Source::LastGood => "last good",
        }
    }
}

/// A fleet to be solved, with a number that its answer must bear.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    pub number: u64,
    pub fleet: Fleet,
}

/// Of each kind, in order.
#[derive(Clone, Debug, PartialEq)]
pub struct KindFacts {
    pub name: String,
    pub response_target: Duration,
    pub benefit: f64,
}

struct Answer {
    at: Time,
    weights: BTreeMap<HostId, (f64, f64)>,
    /// The part of all reqs that the plan lets in.
    let_in: f64,
}

struct Question {
    number: u64,
    at: Time,
    hosts: Vec<HostId>,
    /// Of each, the part of its work that it could do, and the spread of its speed.
    warm: Vec<(f64, f64)>,
    rates: Vec<f64>,
}

pub struct Planner {
    kinds: Vec<KindFacts>,
    zones: Vec<String>,
    crossing: f64,
    pub estimates: Estimates,
    in_use: BTreeMap<HostId, f64>,
    /// Listed weights as of the last list.
    listed: BTreeMap<HostId, f64>,
    answer: Option<Answer>,
    question: Option<Question>,
    number: u64,
    next_at: Time,
    source: Source,
    failed: Option<String>,
}

impl Planner {
    /// `own_part`: the part of all proxies of the site that are this steward's.
    pub fn new(
        kinds: Vec<KindFacts>,
        zones: Vec<String>,
        crossing: f64,
        own_part: f64,
        now: Time,
    ) -> Planner {
        Planner {
            estimates: Estimates::new(kinds.len(), zones.len(), own_part),
            kinds,
            zones,
            crossing,
            in_use: BTreeMap::new(),
            listed: BTreeMap::new(),
            answer: None,
            question: None,
            number: 0,
            next_at: now + EVERY,
            source: Source::Listed,
            failed: None,
        }
    }

    pub fn wake_at(&self) -> Time {
        let late = self.question.as_ref().map(|question| question.at + LATE);
        late.map_or(self.next_at, |late| late.min(self.next_at))
    }

    pub fn source(&self) -> Source {
        self.source
    }

    /// Why the last question got no plan, until one does.
    pub fn failed(&self) -> Option<&str> {
        self.failed.as_deref()
    }

    /// The part of all reqs that the plan in force lets in; none where no plan is in force.
    pub fn let_in(&self) -> Option<f64> {
        self.answer
            .as_ref()
            .filter(|_| self.source == Source::Solved)
            .map(|answer| answer.let_in)
    }

    /// A list has come. What operators change of a listed weight changes the one in use by as much; a host that is not
    /// open, or has started anew (`anew`), is judged afresh.
    pub fn list_came(&mut self, listed: &[Listed], anew: impl Fn(&HostId) -> bool) {
        for l in listed {
            if anew(&l.host) || !l.open {
                self.estimates.forget(&l.host);
                self.in_use.remove(&l.host);
            }
            let before = self.listed.get(&l.host).copied().unwrap_or(l.weight);
            if before != l.weight
                && let Some(used) = self.in_use.get_mut(&l.host)
            {
                *used *= l.weight / before;
            }
        }
        self.listed = listed.iter().map(|l| (l.host.clone(), l.weight)).collect();
        let known = &self.listed;
        self.in_use.retain(|host, _| known.contains_key(host));
        self.estimates.keep(|host| known.contains_key(host));
    }

    /// The next problem, if it is time for one and there is anything new to go by.
    pub fn due(&mut self, now: Time, listed: &[Listed]) -> Option<Problem> {
        if now < self.next_at {
            return None;
        }
        self.next_at = now + EVERY;
        if self.question.is_some() || self.estimates.newest().is_none_or(|at| now - at > STALE) {
            return None;
        }
        let open: Vec<Listed> = listed.iter().filter(|l| l.open).cloned().collect();
        let estimated = self.estimates.read(now, &open)?;
        let asked: f64 = estimated.rates.iter().flatten().sum();
        if open.is_empty() || asked <= 0.0 {
            return None;
        }
        self.number += 1;
        let spread = |l: &Listed| {
            estimated
                .speed
                .get(&l.host)
                .map_or(1.0, |speed| speed.spread)
        };
        let kinds = 0..self.kinds.len();
        self.question = Some(Question {
            number: self.number,
            at: now,
            hosts: open.iter().map(|l| l.host.clone()).collect(),
            warm: open
                .iter()
                .map(|l| (l.warm.clamp(LEAST, 1.0), spread(l)))
                .collect(),
            rates: kinds
                .map(|k| estimated.rates.iter().map(|rates| rates[k]).sum())
                .collect(),
        });
        Some(Problem {
            number: self.number,
            fleet: self.fleet(&open, &estimated),
        })
    }

    fn fleet(&self, open: &[Listed], estimated: &Estimated) -> Fleet {
        let host = |l: &Listed| Host {
            name: l.host.0.to_string(),
            zone: (l.zone.0 as usize).min(self.zones.len() - 1),
            cores: l.cores(),
            speed: estimated
                .speed
                .get(&l.host)
                .map_or(1.0, |figure| figure.value * PRUDENCE)
                .clamp(1e-3, 1e3),
            connections: None,
            warm: l.warm.clamp(LEAST, 1.0),
            taken: 0.0,
            taken_age_s: 0.0,
        };
        let kind = |(facts, work): (&KindFacts, &Figure)| Kind {
            name: facts.name.clone(),
            work_s: work.value,
            response_target_s: facts.response_target.seconds().max(1e-6),
            benefit: facts.benefit,
        };
        Fleet {
            zones: self.zones.clone(),
            kinds: self.kinds.iter().zip(&estimated.work).map(kind).collect(),
            hosts: open.iter().map(host).collect(),
            tables: vec![Table::of_all(estimated.rates.clone())],
            crossing: self.crossing.clamp(0.0, 1.0),
        }
    }

    /// The solver's word. An answer to another question than the last one says nothing.
    pub fn answered(&mut self, now: Time, number: u64, answer: Result<Plan, String>) {
        let Some(question) = self.question.take_if(|question| question.number == number) else {
            return;
        };
        let plan = match answer {
            Ok(plan) if plan.weights.len() == question.hosts.len() => plan,
            Ok(_) => return self.failed = Some("an answer for other hosts".into()),
            Err(wrong) => return self.failed = Some(wrong),
        };
        if now - question.at > LATE {
            return self.failed = Some("the answer came too late".into());
        }
        // A cold host's weight is of what it can do now; the module counts its ramp itself.
        let facts = plan.weights.iter().zip(question.warm);
        let weights = facts.map(|(weight, (warm, spread))| (weight / warm, spread));
        let came: f64 = question.rates.iter().sum();
        let taken = question
            .rates
            .iter()
            .zip(&plan.let_in)
            .map(|(rate, part)| rate * part)
            .sum::<f64>();
        let let_in = (taken / came.max(1e-9) / PRUDENCE).clamp(0.0, 1.0);
        let weights = question.hosts.into_iter().zip(weights).collect();
        self.failed = None;
        self.answer = Some(Answer {
            at: now,
            weights,
            let_in,
        });
    }

    /// Says where weights come from now. One step towards the plan, or back
    /// towards the listed weights; then what is to be used, if any of it changed.
    pub fn step(&mut self, now: Time, listed: &[Listed]) -> Option<BTreeMap<HostId, f64>> {
        let age = self.answer.as_ref().map(|answer| now - answer.at);
        self.source = match age {
            Some(age) if age <= EVERY.scaled(3.0) => Source::Solved,
            Some(age) if age <= HOLDS => Source::LastGood,
            _ => Source::Listed,
        };
        let before = self.in_use.clone();
        let planned: Vec<(f64, f64)> = match (&self.answer, self.source) {
            (Some(answer), Source::Solved) => self.towards(answer, listed),
            (_, Source::Listed) => listed.iter().map(|l| (l.weight, 0.0)).collect(),
            _ => return None,
        };
        let used: Vec<Option<f64>> = listed
            .iter()
            .map(|l| Some(*self.in_use.get(&l.host).unwrap_or(&l.weight)))
            .collect();
        let next = step(&used, &planned);
        let stepped = listed.iter().zip(next).filter(|(l, _)| l.open);
        self.in_use
            .extend(stepped.map(|(l, weight)| (l.host.clone(), weight)));
        (self.in_use != before).then(|| self.handed(now, listed))
    }

    /// The plan's weights in the scale of the listed ones: the module goes by weights over time, and the whole must
    /// not seem to grow or shrink by a plan.
    fn towards(&self, answer: &Answer, listed: &[Listed]) -> Vec<(f64, f64)> {
        let known = listed.iter().filter(|l| l.open && l.warm >= 1.0);
        let pairs = known.filter_map(|l| Some((l.weight, answer.weights.get(&l.host)?.0)));
        let (listed_sum, planned_sum) = pairs.fold((0.0, 0.0), |(a, b), (l, p)| (a + l, b + p));
        let scale = if planned_sum > 0.0 {
            listed_sum / planned_sum
        } else {
            1.0
        };
        let one = |l: &Listed| match answer.weights.get(&l.host) {
            Some((weight, spread)) => ((weight * scale).max(l.weight * LEAST), *spread),
            None => (l.weight, 0.0),
        };
        listed.iter().map(one).collect()
    }

    /// The question that is too late, given up: whether there was one.
    pub fn gave_up(&mut self, now: Time) -> bool {
        let late = self
            .question
            .take_if(|question| now - question.at >= LATE)
            .is_some();
        if late {
            self.failed = Some("the solver is too late".into());
        }
        late
    }

    /// The weights to hand to the module as listed ones: those in use or, for a host that is new, the file's; a cold
    /// host's cut to what it can bear. Its capacity counts as the less of what is listed and what is believed.
    pub fn handed(&self, now: Time, listed: &[Listed]) -> BTreeMap<HostId, f64> {
        let open: Vec<Listed> = listed.iter().filter(|l| l.open).cloned().collect();
        let believed = self.estimates.read(now, &open);
        let bears = |(l, prior): (&Listed, f64)| {
            let speed = believed
                .as_ref()
                .and_then(|b| b.speed.get(&l.host))
                .map_or(prior, |f| f.value);
            let (warm, speed) = (
                l.warm >= 1.0,
                if l.warm >= 1.0 {
                    speed
                } else {
                    speed.min(prior)
                },
            );
            Bears {
                capacity: (l.cores() * speed * l.warm).max(1e-9),
                warm,
            }
        };
        let used = |l: &Listed| self.in_use.get(&l.host).copied().unwrap_or(l.weight) * l.warm;
        let hosts: Vec<Bears> = open.iter().zip(listed_speeds(&open)).map(bears).collect();
        let safe = guarded(&hosts, &open.iter().map(used).collect::<Vec<_>>());
        let mut handed: BTreeMap<HostId, f64> =
            listed.iter().map(|l| (l.host.clone(), l.weight)).collect();
        for (l, weight) in open.iter().zip(safe) {
            // The module takes a weight of 0 for none given.
            handed.insert(
                l.host.clone(),
                (weight / l.warm.max(LEAST)).max(l.weight * LEAST),
            );
        }
        handed
    }
}
