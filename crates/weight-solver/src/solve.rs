//! The linear program: how much work of each table goes to each of its hosts, and how much of each kind is let in.
//!
//! Worth most is benefit let in, less what crossing zones costs, less the benefit of what misses its target by
//! waiting. Work that a zone's hosts get beyond what the zone lets in has crossed.

use crate::delay::{missing, pieces};
use crate::model::{Fleet, Host, Kind, ModelError, Table};
use good_lp::constraint::ConstraintReference;
use good_lp::solvers::DualValues;
use good_lp::{
    Expression, ProblemVariables, ResolutionError, Solution, SolutionWithDual, SolverModel,
    Variable, clarabel, constraint, microlp, variable, variables,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// Room that is taken to be there at least, in times of one req: targets under that cannot be planned for.
const ROOM_LEAST: f64 = 2.0;
/// A host that is planned to bear this much or more has little room left: a further unit of work costs others much.
const LITTLE_ROOM: f64 = 0.85;
/// What is left of a difference of two solved plans is noise under this part of the worth.
const NOISE: f64 = 1e-6;

/// Which library solves: an interior point method, or a simplex.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Solver {
    #[default]
    Interior,
    Simplex,
}

#[derive(Clone, Debug, PartialEq, Error)]
pub enum SolveError {
    #[error(transparent)]
    Model(#[from] ModelError),
    #[error("the solver found no plan: {0}")]
    Solver(String),
}

/// What the program says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// A weight for each host, in the fleet's order; the mean is 1. Work a second that the host should get, in parts of
    /// the mean; where nothing is asked for, its capacity in parts of the mean.
    pub weights: Vec<f64>,
    /// Planned part of each host's capacity, others' work with it.
    pub utilisation: Vec<f64>,
    /// Part of each kind that is let in.
    pub let_in: Vec<f64>,
    /// Part of each kind that is let in and answered within its target, by the curve of the delay.
    pub in_time: Vec<f64>,
    /// Benefit let in over benefit asked for; none where nothing is asked for.
    pub served: Option<f64>,
    /// Part of the work that crosses zones.
    pub crossing: f64,
    /// Hosts planned to bear 0.85 or more.
    pub little_room: Vec<String>,
    /// Worth a second by the program's own measure, in benefit.
    pub worth: f64,
}

/// Solves for a fleet.
///
/// Errors: a figure of the model cannot be, or the library finds no plan.
pub fn solve(fleet: &Fleet, solver: Solver) -> Result<Plan, SolveError> {
    solve_within(fleet, solver, None).map(|(plan, _)| plan)
}

/// Solves for a fleet within a time that the interior point method keeps (the simplex knows none). The second is
/// what a later solve can start from; none where there was nothing to solve.
///
/// Errors: as `solve`; the time was up.
pub fn solve_within(
    fleet: &Fleet,
    solver: Solver,
    limit: Option<Duration>,
) -> Result<(Plan, Option<Values>), SolveError> {
    fleet.check()?;
    if fleet.work_asked() <= 0.0 || fleet.hosts.is_empty() {
        return Ok((idle(fleet), None));
    }
    let values = Program::new(fleet).values(solver, limit)?;
    Ok((plan(fleet, &values), Some(values)))
}

/// What one more host of this make would bring in each zone: benefit a second, by the program's own measure. It
/// stands in all tables.
///
/// Errors: as `solve`.
pub fn one_more(fleet: &Fleet, make: &Host, solver: Solver) -> Result<Vec<f64>, SolveError> {
    let now = solve(fleet, solver)?.worth;
    let with = |zone: usize| {
        let mut more = fleet.clone();
        more.tables
            .iter_mut()
            .filter_map(|t| t.hosts.as_mut())
            .for_each(|h| h.push(fleet.hosts.len()));
        more.hosts.push(Host {
            name: "one more".into(),
            zone,
            ..make.clone()
        });
        let gain = solve(&more, solver)?.worth - now;
        Ok(if gain.abs() <= now.abs() * NOISE {
            0.0
        } else {
            gain
        })
    };
    (0..fleet.zones.len()).map(with).collect()
}

/// Nothing is asked for, or nobody is there: weights by capacity.
pub(crate) fn idle(fleet: &Fleet) -> Plan {
    let mean = fleet.capacity() / fleet.hosts.len().max(1) as f64;
    let nothing_asked = fleet.work_asked() <= 0.0;
    Plan {
        weights: fleet
            .hosts
            .iter()
            .map(|host| host.capacity() / mean)
            .collect(),
        utilisation: fleet
            .hosts
            .iter()
            .map(|host| host.taken_now() / host.capacity())
            .collect(),
        let_in: vec![if nothing_asked { 1.0 } else { 0.0 }; fleet.kinds.len()],
        in_time: vec![if nothing_asked { 1.0 } else { 0.0 }; fleet.kinds.len()],
        served: (!nothing_asked).then_some(0.0),
        crossing: 0.0,
        little_room: Vec::new(),
        worth: 0.0,
    }
}

/// What a kind's target leaves for waiting, in times of one req.
fn room(kind: &Kind) -> f64 {
    (kind.response_target_s / kind.work_s - 1.0).max(ROOM_LEAST)
}

/// The prices that the fleet's demand sets, by which a plan is judged.
pub(crate) struct Prices {
    /// Of a second of work that crosses.
    pub(crate) crossing: f64,
    /// Of a second of work whose reqs miss their target.
    pub(crate) missed: f64,
    /// Room for waiting, in times of one req.
    pub(crate) room: f64,
}

impl Prices {
    pub(crate) fn of(fleet: &Fleet) -> Prices {
        let (reqs, benefit) = fleet.asked().fold((0.0, 0.0), |(r, b), (rate, kind)| {
            (r + rate, b + rate * kind.benefit)
        });
        let work = fleet.work_asked();
        let room = fleet
            .asked()
            .map(|(rate, kind)| rate * room(kind))
            .sum::<f64>()
            / reqs;
        Prices {
            crossing: fleet.crossing * benefit / work,
            missed: benefit / work,
            room,
        }
    }
}

struct Program<'a> {
    fleet: &'a Fleet,
    variables: ProblemVariables,
    /// Reqs a second let in, by table, zone and kind.
    let_in: Vec<Vec<Vec<Variable>>>,
    /// Work a second from a table to its hosts, with their places.
    flow: Vec<Vec<(usize, Variable)>>,
    /// Work a second that crosses into a zone, by table.
    away: Vec<Vec<Variable>>,
    /// Utilisation of a host by the pieces of the delay.
    filled: Vec<Vec<Variable>>,
    worth: Expression,
}

/// What a library found.
#[derive(Clone, Debug, PartialEq)]
pub struct Values {
    pub(crate) let_in: Vec<Vec<Vec<f64>>>,
    pub(crate) flow: Vec<Vec<(usize, f64)>>,
    pub(crate) away: Vec<Vec<f64>>,
    pub(crate) worth: f64,
    /// By table: the price of a second of work, and what being in a zone takes off it.
    pub(crate) price: Vec<(f64, Vec<f64>)>,
}

/// The rows of a table: the one that sends on all that is let in, and those that count what crosses into each zone.
type TableRows = (ConstraintReference, Vec<ConstraintReference>);

impl<'a> Program<'a> {
    fn new(fleet: &'a Fleet) -> Program<'a> {
        let mut variables = variables!();
        let mut worth = Expression::from(0.0);
        let prices = Prices::of(fleet);
        let (mut let_in, mut flow, mut away) = (Vec::new(), Vec::new(), Vec::new());
        for table in &fleet.tables {
            let mut of_kind = |(kind, rate): (&crate::Kind, &f64)| {
                let reqs = variables.add(variable().min(0.0).max(*rate));
                worth += kind.benefit * reqs;
                reqs
            };
            let mut of_zone = |rates: &Vec<f64>| {
                fleet
                    .kinds
                    .iter()
                    .zip(rates)
                    .map(&mut of_kind)
                    .collect::<Vec<_>>()
            };
            let_in.push(table.rates.iter().map(&mut of_zone).collect::<Vec<_>>());
            let to_host = |host: usize| (host, variables.add(variable().min(0.0)));
            flow.push(fleet.hosts_of(table).map(to_host).collect::<Vec<_>>());
            let to_zone = |_| {
                let work = variables.add(variable().min(0.0));
                worth += -prices.crossing * work;
                work
            };
            away.push((0..fleet.zones.len()).map(to_zone).collect::<Vec<_>>());
        }
        let of_host = |host: &Host| {
            let piece = |(width, slope): (f64, f64)| {
                let part = variables.add(variable().min(0.0).max(width));
                worth += -(host.capacity() * prices.missed * slope) * part;
                part
            };
            pieces(host.cores, prices.room).map(piece).collect()
        };
        let filled = fleet.hosts.iter().map(of_host).collect();
        Program {
            fleet,
            variables,
            let_in,
            flow,
            away,
            filled,
            worth,
        }
    }

    fn values(&self, solver: Solver, limit: Option<Duration>) -> Result<Values, SolveError> {
        let (variables, worth) = (self.variables.clone(), self.worth.clone());
        let failed = |wrong: ResolutionError| SolveError::Solver(wrong.to_string());
        let values = match solver {
            Solver::Interior => {
                let mut model = variables.maximise(worth).using(clarabel);
                model.settings().verbose(false);
                if let Some(limit) = limit {
                    model.settings().time_limit(limit.as_secs_f64());
                }
                let rows = self.constrain(&mut model);
                let mut solution = model.solve().map_err(failed)?;
                let found = self.read(&solution);
                let dual = solution.compute_dual();
                let of = |(all, zones): &TableRows| {
                    // Signs as libraries have them; a price is none under zero.
                    let zones = zones
                        .iter()
                        .map(|row| dual.dual(row.clone()).abs())
                        .collect();
                    (dual.dual(all.clone()).abs(), zones)
                };
                Values {
                    price: rows.iter().map(of).collect(),
                    ..found
                }
            }
            Solver::Simplex => {
                let mut model = variables.maximise(worth).using(microlp);
                self.constrain(&mut model);
                self.read(&model.solve().map_err(failed)?)
            }
        };
        // A library may give an answer that it knows to be none.
        let all = values
            .flow
            .iter()
            .flatten()
            .map(|(_, work)| *work)
            .chain([values.worth]);
        let sound = all
            .into_iter()
            .all(|value| value.is_finite() && value.abs() < 1e12);
        if sound {
            Ok(values)
        } else {
            Err(SolveError::Solver("its figures are no plan".into()))
        }
    }

    /// By table: the row that sends on all that is let in, and those that count what crosses into a zone.
    fn constrain<M: SolverModel>(&self, model: &mut M) -> Vec<TableRows> {
        let fleet = self.fleet;
        let of_zone = |let_in: &Vec<Variable>| -> Expression {
            let_in
                .iter()
                .zip(&fleet.kinds)
                .map(|(reqs, kind)| kind.work_s * *reqs)
                .sum()
        };
        let mut rows = Vec::new();
        for ((let_in, flow), away) in self.let_in.iter().zip(&self.flow).zip(&self.away) {
            let work: Expression = let_in.iter().map(of_zone).sum();
            let sent: Expression = flow.iter().map(|(_, work)| *work).sum();
            let all = model.add_constraint(constraint!(sent == work));
            let zone = |(zone, (let_in, away)): (usize, (&Vec<Variable>, &Variable))| {
                let here = flow
                    .iter()
                    .filter(|(host, _)| fleet.hosts[*host].zone == zone);
                let came: Expression = here.map(|(_, work)| *work).sum();
                let own = of_zone(let_in);
                model.add_constraint(constraint!(came - own - *away <= 0.0))
            };
            rows.push((all, let_in.iter().zip(away).enumerate().map(zone).collect()));
        }
        // What comes to a host fills it, beside what others bring.
        let mut came: Vec<Expression> = fleet
            .hosts
            .iter()
            .map(|host| Expression::from(host.taken_now()))
            .collect();
        self.flow
            .iter()
            .flatten()
            .for_each(|(host, work)| came[*host] += *work);
        for ((came, pieces), host) in came.into_iter().zip(&self.filled).zip(&fleet.hosts) {
            let filled: Expression = pieces.iter().sum();
            model.add_constraint(constraint!(came == host.capacity() * filled));
        }
        rows
    }

    fn read(&self, solution: &impl Solution) -> Values {
        // A solver's zero may be a little under it.
        let value = |v: &Variable| solution.value(*v).max(0.0);
        let row = |row: &Vec<Variable>| row.iter().map(value).collect::<Vec<f64>>();
        Values {
            let_in: self
                .let_in
                .iter()
                .map(|zones| zones.iter().map(row).collect())
                .collect(),
            flow: self
                .flow
                .iter()
                .map(|flow| flow.iter().map(|(h, v)| (*h, value(v))).collect())
                .collect(),
            away: self.away.iter().map(row).collect(),
            worth: solution.eval(&self.worth),
            price: Vec::new(),
        }
    }
}

/// Work a second at each host, others' not counted.
pub(crate) fn loads(fleet: &Fleet, values: &Values) -> Vec<f64> {
    let mut load = vec![0.0; fleet.hosts.len()];
    values
        .flow
        .iter()
        .flatten()
        .for_each(|(host, work)| load[*host] += work);
    load
}

pub(crate) fn plan(fleet: &Fleet, values: &Values) -> Plan {
    let load = loads(fleet, values);
    let all: f64 = load.iter().sum();
    let mean = all / load.len() as f64;
    let part = |(load, host): (&f64, &Host)| (load + host.taken_now()) / host.capacity();
    let utilisation: Vec<f64> = load.iter().zip(&fleet.hosts).map(part).collect();
    let of_kind = |kind: usize| {
        let rate = |table: &Table| table.rates.iter().map(|rates| rates[kind]).sum::<f64>();
        let asked: f64 = fleet.tables.iter().map(rate).sum();
        let came: f64 = values
            .let_in
            .iter()
            .flatten()
            .map(|let_in| let_in[kind])
            .sum();
        if asked > 0.0 {
            (came / asked).min(1.0)
        } else {
            1.0
        }
    };
    let let_in: Vec<f64> = (0..fleet.kinds.len()).map(of_kind).collect();
    let of_let_in = |let_in: &Vec<f64>| -> f64 {
        let_in
            .iter()
            .zip(&fleet.kinds)
            .map(|(reqs, kind)| reqs * kind.benefit)
            .sum()
    };
    let late = |kind: &Kind| -> f64 {
        let of = |((load, host), u): ((&f64, &Host), &f64)| match *u > 0.0 {
            true => load * missing(u.min(1.0), host.cores, room(kind)) / u.min(1.0),
            false => 0.0,
        };
        load.iter()
            .zip(&fleet.hosts)
            .zip(&utilisation)
            .map(of)
            .sum::<f64>()
            / all.max(1e-12)
    };
    let in_time = fleet
        .kinds
        .iter()
        .zip(&let_in)
        .map(|(kind, part)| part * (1.0 - late(kind)))
        .collect();
    let asked: f64 = fleet.asked().map(|(rate, kind)| rate * kind.benefit).sum();
    let full = |(host, u): (&Host, &f64)| (*u >= LITTLE_ROOM).then(|| host.name.clone());
    Plan {
        weights: if mean > 0.0 {
            load.iter().map(|load| load / mean).collect()
        } else {
            idle(fleet).weights
        },
        little_room: fleet
            .hosts
            .iter()
            .zip(&utilisation)
            .filter_map(full)
            .collect(),
        utilisation,
        served: (asked > 0.0)
            .then(|| (values.let_in.iter().flatten().map(of_let_in).sum::<f64>() / asked).min(1.0)),
        let_in,
        in_time,
        crossing: if all > 0.0 {
            values.away.iter().flatten().sum::<f64>() / all
        } else {
            0.0
        },
        worth: values.worth,
    }
}
