//! The linear program: how much work of each table goes to each of its hosts, and how much of each request class is admitted.
//!
//! The objective is the benefit that is admitted, less the cost of work that crosses zones, less the benefit of requests that
//! wait so long that they miss their latency objective. Work that the hosts of a zone get beyond the work that the zone
//! admits has crossed zones.

use crate::latency::{missed_share, segments};
use crate::model::{Fleet, Host, ModelError, RequestClass, Table};
use good_lp::constraint::ConstraintReference;
use good_lp::solvers::DualValues;
use good_lp::{
    Expression, ProblemVariables, ResolutionError, Solution, SolutionWithDual, SolverModel,
    Variable, clarabel, constraint, microlp, variable, variables,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// Smallest assumed wait budget, in service times: stricter latency objectives cannot be planned for.
const MIN_WAIT_BUDGET: f64 = 2.0;
/// Planned utilization from which a host counts as nearly full: further work there delays much other work.
const NEARLY_FULL: f64 = 0.85;
/// A difference between the objectives of two plans is noise below this part of the objective.
const RELATIVE_NOISE: f64 = 1e-6;

/// Which method, and so which library, solves the program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Solver {
    /// The interior point method of Clarabel.
    #[default]
    InteriorPoint,
    /// The simplex method of microlp.
    Simplex,
}

/// Why there is no plan.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SolveError {
    /// The model is invalid.
    #[error(transparent)]
    Model(#[from] ModelError),
    /// The library found no solution.
    #[error("the solver found no plan: {0}")]
    Solver(String),
}

/// The plan for a fleet.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Weight of each host, in the order of the fleet: the work a second that the host should get relative to the mean or,
    /// without demand, its capacity relative to the mean.
    pub weights: Vec<f64>,
    /// Planned utilization of each host, including other work.
    #[serde(rename = "utilisation")]
    pub utilization: Vec<f64>,
    /// Part of each request class that is admitted.
    #[serde(rename = "let_in")]
    pub admitted: Vec<f64>,
    /// Part of each request class that is admitted and meets its latency objective, by the curve in `latency`.
    #[serde(rename = "in_time")]
    pub on_time: Vec<f64>,
    /// Admitted part of the demanded benefit; none without demand.
    #[serde(rename = "served")]
    pub admitted_benefit: Option<f64>,
    /// Part of the work that crosses zones.
    #[serde(rename = "crossing")]
    pub cross_zone_share: f64,
    /// Hosts with a planned utilization of 0.85 or more.
    #[serde(rename = "little_room")]
    pub nearly_full: Vec<String>,
    /// Value of the program's objective: benefit a second.
    #[serde(rename = "worth")]
    pub objective: f64,
}

/// Plans for a fleet.
///
/// # Errors
///
/// The model is invalid, or the library finds no solution.
pub fn solve(fleet: &Fleet, solver: Solver) -> Result<Plan, SolveError> {
    solve_with_limit(fleet, solver, None).map(|(plan, _)| plan)
}

/// Plans for a fleet within a time limit, which only the interior point method observes. Also returns the solution, for a warm
/// start; none if there was nothing to solve.
///
/// # Errors
///
/// As `solve`, or the time limit was hit.
pub fn solve_with_limit(
    fleet: &Fleet,
    solver: Solver,
    time_limit: Option<Duration>,
) -> Result<(Plan, Option<ProgramSolution>), SolveError> {
    fleet.validate()?;
    if fleet.demanded_work() <= 0.0 || fleet.hosts.is_empty() {
        return Ok((idle(fleet), None));
    }
    let solution = Program::new(fleet).solution(solver, time_limit)?;
    Ok((plan(fleet, &solution), Some(solution)))
}

/// By how much the objective (benefit a second) would rise with one more host like `template`, for each zone. The host is
/// added to all tables.
///
/// # Errors
///
/// As `solve`.
pub fn added_host_gains(
    fleet: &Fleet,
    template: &Host,
    solver: Solver,
) -> Result<Vec<f64>, SolveError> {
    let current = solve(fleet, solver)?.objective;
    let gain_in = |zone: usize| {
        let mut larger = fleet.clone();
        larger
            .tables
            .iter_mut()
            .filter_map(|table| table.hosts.as_mut())
            .for_each(|hosts| hosts.push(fleet.hosts.len()));
        larger.hosts.push(Host {
            name: "one more".into(),
            zone,
            ..template.clone()
        });
        let gain = solve(&larger, solver)?.objective - current;
        Ok(if gain.abs() <= current.abs() * RELATIVE_NOISE {
            0.0
        } else {
            gain
        })
    };
    (0..fleet.zones.len()).map(gain_in).collect()
}

/// The plan without demand or without hosts: weights by capacity.
pub(crate) fn idle(fleet: &Fleet) -> Plan {
    let mean = fleet.capacity() / fleet.hosts.len().max(1) as f64;
    let no_demand = fleet.demanded_work() <= 0.0;
    Plan {
        weights: fleet
            .hosts
            .iter()
            .map(|host| host.capacity() / mean)
            .collect(),
        utilization: fleet
            .hosts
            .iter()
            .map(|host| host.current_other_work() / host.capacity())
            .collect(),
        admitted: vec![if no_demand { 1.0 } else { 0.0 }; fleet.classes.len()],
        on_time: vec![if no_demand { 1.0 } else { 0.0 }; fleet.classes.len()],
        admitted_benefit: (!no_demand).then_some(0.0),
        cross_zone_share: 0.0,
        nearly_full: Vec::new(),
        objective: 0.0,
    }
}

/// The part of a class's latency objective that is left for waiting, in service times.
fn wait_budget(class: &RequestClass) -> f64 {
    (class.latency_objective_s / class.work_s - 1.0).max(MIN_WAIT_BUDGET)
}

/// Prices in the objective, from the mean benefit of the demand.
pub(crate) struct Prices {
    /// Price of a second of work that crosses zones.
    pub(crate) crossing: f64,
    /// Price of a second of work whose requests miss their latency objective.
    pub(crate) missed: f64,
    /// Mean wait budget of the demanded requests, in service times.
    pub(crate) wait_budget: f64,
}

impl Prices {
    pub(crate) fn of(fleet: &Fleet) -> Prices {
        let (requests, benefit) = fleet
            .demands()
            .fold((0.0, 0.0), |(requests, benefit), (rate, class)| {
                (requests + rate, benefit + rate * class.benefit)
            });
        let work = fleet.demanded_work();
        let wait_budget = fleet
            .demands()
            .map(|(rate, class)| rate * wait_budget(class))
            .sum::<f64>()
            / requests;
        Prices {
            crossing: fleet.crossing_price * benefit / work,
            missed: benefit / work,
            wait_budget,
        }
    }
}

/// The variables and the objective of the program for a fleet.
struct Program<'a> {
    fleet: &'a Fleet,
    variables: ProblemVariables,
    /// Admitted requests a second, by table, zone and request class.
    admitted: Vec<Vec<Vec<Variable>>>,
    /// Work a second from each table to its hosts, with their indices.
    flow: Vec<Vec<(usize, Variable)>>,
    /// Work a second that crosses into a zone, by table.
    crossing: Vec<Vec<Variable>>,
    /// Utilization of each host, split into the segments of `latency::segments`.
    segment_fill: Vec<Vec<Variable>>,
    objective: Expression,
}

/// The values of the variables and the shadow prices that a library found.
#[derive(Clone, Debug, PartialEq)]
pub struct ProgramSolution {
    pub(crate) admitted: Vec<Vec<Vec<f64>>>,
    pub(crate) flow: Vec<Vec<(usize, f64)>>,
    pub(crate) crossing: Vec<Vec<f64>>,
    pub(crate) objective: f64,
    /// By table: the shadow price of a second of work, and by how much it is lower in each zone.
    pub(crate) price: Vec<(f64, Vec<f64>)>,
}

/// The constraints of a table: all admitted work goes to hosts; and, for each zone, the work that crosses into it.
type TableRows = (ConstraintReference, Vec<ConstraintReference>);

impl<'a> Program<'a> {
    fn new(fleet: &'a Fleet) -> Program<'a> {
        let mut variables = variables!();
        let mut objective = Expression::from(0.0);
        let prices = Prices::of(fleet);
        let (mut admitted, mut flow, mut crossing) = (Vec::new(), Vec::new(), Vec::new());
        for table in &fleet.tables {
            let mut add_class = |(class, rate): (&RequestClass, &f64)| {
                let requests = variables.add(variable().min(0.0).max(*rate));
                objective += class.benefit * requests;
                requests
            };
            let mut add_zone = |rates: &Vec<f64>| {
                fleet
                    .classes
                    .iter()
                    .zip(rates)
                    .map(&mut add_class)
                    .collect::<Vec<_>>()
            };
            admitted.push(table.rates.iter().map(&mut add_zone).collect::<Vec<_>>());
            let add_flow = |host: usize| (host, variables.add(variable().min(0.0)));
            flow.push(
                fleet
                    .hosts_of_table(table)
                    .map(add_flow)
                    .collect::<Vec<_>>(),
            );
            let add_crossing = |_| {
                let work = variables.add(variable().min(0.0));
                objective += -prices.crossing * work;
                work
            };
            crossing.push((0..fleet.zones.len()).map(add_crossing).collect::<Vec<_>>());
        }
        let add_host = |host: &Host| {
            let add_segment = |(width, slope): (f64, f64)| {
                let part = variables.add(variable().min(0.0).max(width));
                objective += -(host.capacity() * prices.missed * slope) * part;
                part
            };
            segments(host.cores, prices.wait_budget)
                .map(add_segment)
                .collect()
        };
        let segment_fill = fleet.hosts.iter().map(add_host).collect();
        Program {
            fleet,
            variables,
            admitted,
            flow,
            crossing,
            segment_fill,
            objective,
        }
    }

    fn solution(
        &self,
        solver: Solver,
        time_limit: Option<Duration>,
    ) -> Result<ProgramSolution, SolveError> {
        let (variables, objective) = (self.variables.clone(), self.objective.clone());
        let solver_error = |error: ResolutionError| SolveError::Solver(error.to_string());
        let solution = match solver {
            Solver::InteriorPoint => {
                let mut model = variables.maximise(objective).using(clarabel);
                model.settings().verbose(false);
                if let Some(time_limit) = time_limit {
                    model.settings().time_limit(time_limit.as_secs_f64());
                }
                let table_rows = self.constrain(&mut model);
                let mut solution = model.solve().map_err(solver_error)?;
                let found = self.read(&solution);
                let dual = solution.compute_dual();
                let prices_of = |(flow_row, zones): &TableRows| {
                    // The sign of a dual depends on the library; a shadow price is not negative.
                    let zones = zones
                        .iter()
                        .map(|row| dual.dual(row.clone()).abs())
                        .collect();
                    (dual.dual(flow_row.clone()).abs(), zones)
                };
                ProgramSolution {
                    price: table_rows.iter().map(prices_of).collect(),
                    ..found
                }
            }
            Solver::Simplex => {
                let mut model = variables.maximise(objective).using(microlp);
                self.constrain(&mut model);
                self.read(&model.solve().map_err(solver_error)?)
            }
        };
        // A library may return values that it knows to be no solution.
        let all = solution
            .flow
            .iter()
            .flatten()
            .map(|(_, work)| *work)
            .chain([solution.objective]);
        let plausible = all
            .into_iter()
            .all(|value| value.is_finite() && value.abs() < 1e12);
        if plausible {
            Ok(solution)
        } else {
            Err(SolveError::Solver("its figures are no plan".into()))
        }
    }

    /// Adds all constraints to the model; returns those of each table.
    fn constrain<M: SolverModel>(&self, model: &mut M) -> Vec<TableRows> {
        let fleet = self.fleet;
        let admitted_work = |admitted: &Vec<Variable>| -> Expression {
            admitted
                .iter()
                .zip(&fleet.classes)
                .map(|(requests, class)| class.work_s * *requests)
                .sum()
        };
        let mut table_rows = Vec::new();
        for ((admitted, flow), crossing) in self.admitted.iter().zip(&self.flow).zip(&self.crossing)
        {
            let work: Expression = admitted.iter().map(admitted_work).sum();
            let sent: Expression = flow.iter().map(|(_, work)| *work).sum();
            let flow_row = model.add_constraint(constraint!(sent == work));
            let add_zone_row =
                |(zone, (admitted, crossing)): (usize, (&Vec<Variable>, &Variable))| {
                    let to_zone = flow
                        .iter()
                        .filter(|(host, _)| fleet.hosts[*host].zone == zone);
                    let received: Expression = to_zone.map(|(_, work)| *work).sum();
                    let own = admitted_work(admitted);
                    model.add_constraint(constraint!(received - own - *crossing <= 0.0))
                };
            table_rows.push((
                flow_row,
                admitted
                    .iter()
                    .zip(crossing)
                    .enumerate()
                    .map(add_zone_row)
                    .collect(),
            ));
        }
        // The work that a host gets, with its other work, fills its segments.
        let mut received: Vec<Expression> = fleet
            .hosts
            .iter()
            .map(|host| Expression::from(host.current_other_work()))
            .collect();
        self.flow
            .iter()
            .flatten()
            .for_each(|(host, work)| received[*host] += *work);
        for ((received, fill), host) in received
            .into_iter()
            .zip(&self.segment_fill)
            .zip(&fleet.hosts)
        {
            let utilization: Expression = fill.iter().sum();
            model.add_constraint(constraint!(received == host.capacity() * utilization));
        }
        table_rows
    }

    fn read(&self, solution: &impl Solution) -> ProgramSolution {
        // Solvers may return slightly negative values for zero.
        let value = |variable: &Variable| solution.value(*variable).max(0.0);
        let row = |row: &Vec<Variable>| row.iter().map(value).collect::<Vec<f64>>();
        ProgramSolution {
            admitted: self
                .admitted
                .iter()
                .map(|zones| zones.iter().map(row).collect())
                .collect(),
            flow: self
                .flow
                .iter()
                .map(|flow| {
                    flow.iter()
                        .map(|(host, work)| (*host, value(work)))
                        .collect()
                })
                .collect(),
            crossing: self.crossing.iter().map(row).collect(),
            objective: solution.eval(&self.objective),
            price: Vec::new(),
        }
    }
}

/// Planned work a second at each host, without other work.
pub(crate) fn loads(fleet: &Fleet, solution: &ProgramSolution) -> Vec<f64> {
    let mut load = vec![0.0; fleet.hosts.len()];
    solution
        .flow
        .iter()
        .flatten()
        .for_each(|(host, work)| load[*host] += work);
    load
}

/// The plan that follows from a solution.
#[expect(
    clippy::too_many_lines,
    reason = "the fields of a plan are derived one by one from one solution"
)]
pub(crate) fn plan(fleet: &Fleet, solution: &ProgramSolution) -> Plan {
    let load = loads(fleet, solution);
    let total_work: f64 = load.iter().sum();
    let mean = total_work / load.len() as f64;
    let utilization_of =
        |(load, host): (&f64, &Host)| (load + host.current_other_work()) / host.capacity();
    let utilization: Vec<f64> = load.iter().zip(&fleet.hosts).map(utilization_of).collect();
    let admitted_part = |class: usize| {
        let rate = |table: &Table| table.rates.iter().map(|rates| rates[class]).sum::<f64>();
        let demanded: f64 = fleet.tables.iter().map(rate).sum();
        let admitted: f64 = solution
            .admitted
            .iter()
            .flatten()
            .map(|admitted| admitted[class])
            .sum();
        if demanded > 0.0 {
            (admitted / demanded).min(1.0)
        } else {
            1.0
        }
    };
    let admitted: Vec<f64> = (0..fleet.classes.len()).map(admitted_part).collect();
    let admitted_benefit_of = |admitted: &Vec<f64>| -> f64 {
        admitted
            .iter()
            .zip(&fleet.classes)
            .map(|(requests, class)| requests * class.benefit)
            .sum()
    };
    let missed_share_of = |class: &RequestClass| -> f64 {
        let missed_work =
            |((load, host), utilization): ((&f64, &Host), &f64)| match *utilization > 0.0 {
                true => {
                    load * missed_share(utilization.min(1.0), host.cores, wait_budget(class))
                        / utilization.min(1.0)
                }
                false => 0.0,
            };
        load.iter()
            .zip(&fleet.hosts)
            .zip(&utilization)
            .map(missed_work)
            .sum::<f64>()
            / total_work.max(1e-12)
    };
    let on_time = fleet
        .classes
        .iter()
        .zip(&admitted)
        .map(|(class, part)| part * (1.0 - missed_share_of(class)))
        .collect();
    let demanded: f64 = fleet
        .demands()
        .map(|(rate, class)| rate * class.benefit)
        .sum();
    let nearly_full = |(host, utilization): (&Host, &f64)| {
        (*utilization >= NEARLY_FULL).then(|| host.name.clone())
    };
    Plan {
        weights: if mean > 0.0 {
            load.iter().map(|load| load / mean).collect()
        } else {
            idle(fleet).weights
        },
        nearly_full: fleet
            .hosts
            .iter()
            .zip(&utilization)
            .filter_map(nearly_full)
            .collect(),
        utilization,
        admitted_benefit: (demanded > 0.0).then(|| {
            (solution
                .admitted
                .iter()
                .flatten()
                .map(admitted_benefit_of)
                .sum::<f64>()
                / demanded)
                .min(1.0)
        }),
        admitted,
        on_time,
        cross_zone_share: if total_work > 0.0 {
            solution.crossing.iter().flatten().sum::<f64>() / total_work
        } else {
            0.0
        },
        objective: solution.objective,
    }
}
