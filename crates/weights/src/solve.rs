//! The linear program: which zone's work goes to which host, and how much of each kind is let in.
//!
//! Worth most is benefit let in, less what crossing zones costs, less the benefit of what misses its target by waiting.

use crate::delay::pieces;
use crate::model::{Fleet, Host, Kind, ModelError};
use good_lp::{
    Expression, ProblemVariables, ResolutionError, Solution, SolverModel, Variable, clarabel, constraint,
    microlp, variable, variables,
};
use serde::Serialize;
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
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plan {
    /// A weight for each host, in the fleet's order; the mean is 1. Work a second that the host should get, in parts of
    /// the mean; where nothing is asked for, its capacity in parts of the mean.
    pub weights: Vec<f64>,
    /// Planned part of each host's capacity.
    pub utilisation: Vec<f64>,
    /// Part of each kind that is let in.
    pub let_in: Vec<f64>,
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
    fleet.check()?;
    let asked = fleet.work_asked();
    if asked <= 0.0 || fleet.hosts.is_empty() {
        return Ok(idle(fleet));
    }
    let program = Program::new(fleet);
    let values = program.values(solver)?;
    Ok(plan(fleet, &values))
}

/// What one more host of this make would bring in each zone: benefit a second, by the program's own measure.
///
/// Errors: as `solve`.
pub fn one_more(fleet: &Fleet, make: &Host, solver: Solver) -> Result<Vec<f64>, SolveError> {
    let now = solve(fleet, solver)?.worth;
    let with = |zone: usize| {
        let mut more = fleet.clone();
        more.hosts.push(Host { name: "one more".into(), zone, ..make.clone() });
        let gain = solve(&more, solver)?.worth - now;
        Ok(if gain.abs() <= now.abs() * NOISE { 0.0 } else { gain })
    };
    (0..fleet.zones.len()).map(with).collect()
}

/// Nothing is asked for, or nobody is there: weights by capacity.
fn idle(fleet: &Fleet) -> Plan {
    let mean = fleet.capacity() / fleet.hosts.len().max(1) as f64;
    let nothing_asked = fleet.work_asked() <= 0.0;
    Plan {
        weights: fleet.hosts.iter().map(|host| host.capacity() / mean).collect(),
        utilisation: vec![0.0; fleet.hosts.len()],
        let_in: vec![if nothing_asked { 1.0 } else { 0.0 }; fleet.kinds.len()],
        served: (!nothing_asked).then_some(0.0),
        crossing: 0.0,
        little_room: Vec::new(),
        worth: 0.0,
    }
}

struct Program {
    variables: ProblemVariables,
    /// Reqs a second let in, by zone and kind.
    let_in: Vec<Vec<Variable>>,
    /// Work a second from a zone to a host.
    flow: Vec<Vec<Variable>>,
    /// Utilisation of a host by the pieces of the delay.
    filled: Vec<Vec<Variable>>,
    worth: Expression,
    /// Work of a req of each kind; capacity of each host.
    work: Vec<f64>,
    capacity: Vec<f64>,
}

impl Program {
    fn new(fleet: &Fleet) -> Program {
        let mut variables = variables!();
        let mut worth = Expression::from(0.0);
        let reqs: f64 = fleet.demand.rates.iter().flatten().sum();
        let zones = || fleet.zones.iter().enumerate();
        let benefit: f64 = fleet
            .demand
            .rates
            .iter()
            .flat_map(|rates| rates.iter().zip(&fleet.kinds))
            .map(|(r, k)| r * k.benefit)
            .sum();
        // Of a mean req: what crossing costs for each second of work, and the room that its target leaves for waiting.
        let work = fleet.work_asked() / reqs;
        let crossing = fleet.crossing * benefit / reqs / work;
        let room = |kind: &Kind| (kind.response_target_s / kind.work_s - 1.0).max(ROOM_LEAST);
        let rooms = fleet.demand.rates.iter().flat_map(|rates| rates.iter().zip(&fleet.kinds));
        let room = rooms.map(|(rate, kind)| rate * room(kind)).sum::<f64>() / reqs;
        let mut let_in = Vec::new();
        for (zone, _) in zones() {
            let of = |(kind, rate): (usize, &f64)| {
                let reqs = variables.add(variable().min(0.0).max(*rate));
                worth += fleet.kinds[kind].benefit * reqs;
                reqs
            };
            let_in.push(fleet.demand.rates[zone].iter().enumerate().map(of).collect());
        }
        let mut flow = Vec::new();
        for (zone, _) in zones() {
            let to = |host: &Host| {
                let work = variables.add(variable().min(0.0));
                if host.zone != zone {
                    worth += -crossing * work;
                }
                work
            };
            flow.push(fleet.hosts.iter().map(to).collect());
        }
        let mut filled = Vec::new();
        for host in &fleet.hosts {
            let piece = |(width, slope): (f64, f64)| {
                let part = variables.add(variable().min(0.0).max(width));
                worth += -(host.capacity() / work * benefit / reqs * slope) * part;
                part
            };
            filled.push(pieces(room).map(piece).collect());
        }
        let work = fleet.kinds.iter().map(|kind| kind.work_s).collect();
        let capacity = fleet.hosts.iter().map(Host::capacity).collect();
        Program { variables, let_in, flow, filled, worth, work, capacity }
    }

    fn values(&self, solver: Solver) -> Result<Values, SolveError> {
        let (variables, worth) = (self.variables.clone(), self.worth.clone());
        let failed = |wrong: ResolutionError| SolveError::Solver(wrong.to_string());
        match solver {
            Solver::Interior => {
                let mut model = variables.maximise(worth).using(clarabel);
                model.settings().verbose(false);
                self.constrained(model).solve().map(|solution| self.read(&solution)).map_err(failed)
            }
            Solver::Simplex => {
                let model = variables.maximise(worth).using(microlp);
                self.constrained(model).solve().map(|solution| self.read(&solution)).map_err(failed)
            }
        }
    }

    fn constrained<M: SolverModel>(&self, mut model: M) -> M {
        // What a zone lets in goes to some host.
        for (let_in, flow) in self.let_in.iter().zip(&self.flow) {
            let work: Expression = let_in.iter().zip(&self.work).map(|(reqs, work)| *work * *reqs).sum();
            let sent: Expression = flow.iter().sum();
            model = model.with(constraint!(sent == work));
        }
        // What comes to a host fills it.
        for (host, (pieces, capacity)) in self.filled.iter().zip(&self.capacity).enumerate() {
            let came: Expression = self.flow.iter().map(|flow| flow[host]).sum();
            let filled: Expression = pieces.iter().sum();
            model = model.with(constraint!(came == *capacity * filled));
        }
        model
    }

    fn read(&self, solution: &impl Solution) -> Values {
        // A solver's zero may be a little under it.
        let value = |v: &Variable| solution.value(*v).max(0.0);
        let all =
            |rows: &Vec<Vec<Variable>>| rows.iter().map(|row| row.iter().map(value).collect()).collect();
        Values { let_in: all(&self.let_in), flow: all(&self.flow), worth: solution.eval(&self.worth) }
    }
}

/// What a library found.
struct Values {
    let_in: Vec<Vec<f64>>,
    flow: Vec<Vec<f64>>,
    worth: f64,
}

fn plan(fleet: &Fleet, values: &Values) -> Plan {
    let hosts = 0..fleet.hosts.len();
    let load: Vec<f64> = hosts.clone().map(|host| values.flow.iter().map(|flow| flow[host]).sum()).collect();
    let all: f64 = load.iter().sum();
    let mean = all / load.len() as f64;
    let utilisation: Vec<f64> =
        load.iter().zip(&fleet.hosts).map(|(load, host)| load / host.capacity()).collect();
    let crossed: f64 = values
        .flow
        .iter()
        .enumerate()
        .map(|(zone, flow)| {
            let away = flow.iter().zip(&fleet.hosts).filter(|(_, host)| host.zone != zone);
            away.map(|(work, _)| work).sum::<f64>()
        })
        .sum();
    let rates = &fleet.demand.rates;
    let of_kind = |kind: usize| {
        let asked: f64 = rates.iter().map(|rates| rates[kind]).sum();
        let came: f64 = values.let_in.iter().map(|let_in| let_in[kind]).sum();
        if asked > 0.0 { (came / asked).min(1.0) } else { 1.0 }
    };
    let let_in: Vec<f64> = (0..fleet.kinds.len()).map(of_kind).collect();
    let benefit = |part: &dyn Fn(usize) -> f64| -> f64 {
        let of = |(kind, of): (usize, &Kind)| {
            rates.iter().map(|rates| rates[kind]).sum::<f64>() * of.benefit * part(kind)
        };
        fleet.kinds.iter().enumerate().map(of).sum()
    };
    let asked = benefit(&|_| 1.0);
    let full = |n: &usize| utilisation[*n] >= LITTLE_ROOM;
    Plan {
        weights: if mean > 0.0 { load.iter().map(|load| load / mean).collect() } else { idle(fleet).weights },
        little_room: hosts.filter(full).map(|n| fleet.hosts[n].name.clone()).collect(),
        utilisation,
        served: (asked > 0.0).then(|| benefit(&|kind| let_in[kind]) / asked),
        let_in,
        crossing: if all > 0.0 { crossed / all } else { 0.0 },
        worth: values.worth,
    }
}
