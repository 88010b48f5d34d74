//! Reuse of the last solution where it is still good enough. Interior point methods cannot start from a known solution. But
//! the last solution, rescaled to the new fleet, is feasible too, and the last shadow prices give an upper bound on the
//! objective of any solution (weak duality), in time linear in the number of hosts. If the two are close enough, nothing is
//! solved.

use crate::latency::{BREAKPOINTS, missed_share_bound, segments};
use crate::model::{Fleet, Host};
use crate::solve::{
    Plan, Prices, ProgramSolution, SolveError, Solver, loads, plan, solve_with_limit,
};
use std::time::Duration;

/// How far below the upper bound the objective of a reused solution may be, relative to itself: less than the error of the
/// estimates.
const REUSE_TOLERANCE: f64 = 0.003;

/// A solver that keeps the last fleet and its solution.
#[derive(Clone, Debug, Default)]
pub struct WarmStartSolver {
    last: Option<(Fleet, ProgramSolution)>,
}

/// Where a plan comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanOrigin {
    /// The last solution, rescaled: it is close enough to the optimum.
    Reused,
    /// The fleet was solved.
    Solved,
}

impl WarmStartSolver {
    /// Plans for a fleet, with the last solution if it is close enough to the optimum.
    ///
    /// # Errors
    ///
    /// As `solve_with_limit`; the last solution is kept.
    pub fn solve(
        &mut self,
        fleet: &Fleet,
        time_limit: Duration,
    ) -> Result<(Plan, PlanOrigin), SolveError> {
        fleet.validate()?;
        if let Some((previous, solution)) = &self.last
            && let Some(solution) = rescaled(previous, fleet, solution)
            && upper_bound(fleet, &solution.price)
                <= solution.objective + REUSE_TOLERANCE * solution.objective.abs()
        {
            return Ok((plan(fleet, &solution), PlanOrigin::Reused));
        }
        let (plan, solution) = solve_with_limit(fleet, Solver::InteriorPoint, Some(time_limit))?;
        self.last = solution.map(|solution| (fleet.clone(), solution));
        Ok((plan, PlanOrigin::Solved))
    }
}

/// The last solution, rescaled to the new fleet; none if it is not feasible there.
#[expect(
    clippy::too_many_lines,
    reason = "one pass over tables, zones and classes that adds up the objective in order"
)]
fn rescaled(
    previous: &Fleet,
    fleet: &Fleet,
    solution: &ProgramSolution,
) -> Option<ProgramSolution> {
    let same_hosts = previous.hosts.len() == fleet.hosts.len()
        && previous
            .hosts
            .iter()
            .zip(&fleet.hosts)
            .all(|(a, b)| a.name == b.name && a.zone == b.zone);
    let same_tables = previous.tables.len() == fleet.tables.len()
        && previous
            .tables
            .iter()
            .zip(&fleet.tables)
            .all(|(a, b)| a.hosts == b.hosts);
    if !same_hosts
        || !same_tables
        || previous.classes.len() != fleet.classes.len()
        || fleet.demanded_work() <= 0.0
    {
        return None;
    }
    let prices = Prices::of(fleet);
    let mut current = ProgramSolution {
        objective: 0.0,
        ..solution.clone()
    };
    for (t, table) in fleet.tables.iter().enumerate() {
        let mut own_work = vec![0.0; fleet.zones.len()];
        for (z, rates) in table.rates.iter().enumerate() {
            for (c, class) in fleet.classes.iter().enumerate() {
                let demanded = previous.tables[t].rates[z][c];
                // Demand that did not exist in the previous fleet is admitted in full.
                let part = if demanded > 0.0 {
                    solution.admitted[t][z][c] / demanded
                } else {
                    1.0
                };
                current.admitted[t][z][c] = part.min(1.0) * rates[c];
                own_work[z] += current.admitted[t][z][c] * class.work_s;
                current.objective += current.admitted[t][z][c] * class.benefit;
            }
        }
        let (before, after): (f64, f64) = (
            solution.flow[t].iter().map(|(_, work)| work).sum(),
            own_work.iter().sum(),
        );
        if before <= 0.0 && after > 0.0 {
            return None;
        }
        let factor = if before > 0.0 { after / before } else { 0.0 };
        current.flow[t]
            .iter_mut()
            .for_each(|(_, work)| *work *= factor);
        for (z, own) in own_work.iter().enumerate() {
            let to_zone = current.flow[t]
                .iter()
                .filter(|(host, _)| fleet.hosts[*host].zone == z);
            current.crossing[t][z] = (to_zone.map(|(_, work)| work).sum::<f64>() - own).max(0.0);
            current.objective -= prices.crossing * current.crossing[t][z];
        }
    }
    for (load, host) in loads(fleet, &current).iter().zip(&fleet.hosts) {
        let utilization = (load + host.current_other_work()) / host.capacity();
        if utilization > BREAKPOINTS[BREAKPOINTS.len() - 1] + 1e-9 {
            return None;
        }
        current.objective -= host.capacity()
            * prices.missed
            * missed_share_bound(utilization, host.cores, prices.wait_budget);
    }
    Some(current)
}

/// An upper bound on the objective of any solution for this fleet, from the shadow prices of work by table and zone.
fn upper_bound(fleet: &Fleet, shadow_prices: &[(f64, Vec<f64>)]) -> f64 {
    let prices = Prices::of(fleet);
    let mut objective = 0.0;
    let mut host_price = vec![0.0f64; fleet.hosts.len()];
    for (table, (work_price, zones)) in fleet.tables.iter().zip(shadow_prices) {
        let price_in = |zone: usize| {
            work_price
                - zones
                    .get(zone)
                    .copied()
                    .unwrap_or(0.0)
                    .clamp(0.0, prices.crossing)
        };
        for (zone, rates) in table.rates.iter().enumerate() {
            let net_benefit = |(rate, class): (&f64, &crate::RequestClass)| {
                rate * (class.benefit - class.work_s * price_in(zone)).max(0.0)
            };
            objective += rates
                .iter()
                .zip(&fleet.classes)
                .map(net_benefit)
                .sum::<f64>();
        }
        for host in fleet.hosts_of_table(table) {
            host_price[host] = host_price[host].max(price_in(fleet.hosts[host].zone));
        }
    }
    let capacity_value = |(host, price): (&Host, f64)| {
        let capacity = host.capacity();
        let gain = |(width, slope): (f64, f64)| {
            width * capacity * (price - prices.missed * slope).max(0.0)
        };
        segments(host.cores, prices.wait_budget)
            .map(gain)
            .sum::<f64>()
            - price * host.current_other_work()
    };
    objective
        + fleet
            .hosts
            .iter()
            .zip(host_price)
            .map(capacity_value)
            .sum::<f64>()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{RequestClass, Table};
    use proptest::prelude::*;

    fn fleet(speeds: &[f64], load: f64) -> Fleet {
        let class = |name: &str, work_s, benefit| RequestClass {
            name: name.into(),
            work_s,
            latency_objective_s: 1.0,
            benefit,
        };
        let host = |(n, speed): (usize, &f64)| Host {
            name: format!("host-{n}"),
            zone: n % 2,
            cores: 1.0 + (n % 3) as f64,
            speed: *speed,
            max_concurrent_requests: None,
            warm_fraction: 1.0,
            other_work: 0.0,
            other_work_age_s: 0.0,
        };
        let hosts: Vec<Host> = speeds.iter().enumerate().map(host).collect();
        let capacity: f64 = hosts.iter().map(Host::capacity).sum();
        let requests = capacity * load / 0.15;
        Fleet {
            zones: vec!["ede".into(), "arnhem".into()],
            classes: vec![class("proof", 0.1, 1.0), class("order", 0.05, 5.0)],
            hosts,
            tables: vec![Table::of_all_hosts(vec![
                vec![requests * 0.7; 2],
                vec![requests * 0.3; 2],
            ])],
            crossing_price: 0.06,
        }
    }

    const LIMIT: Duration = Duration::from_secs(5);

    #[test]
    fn small_changes_reuse_the_solution_and_large_ones_do_not() {
        let mut solver = WarmStartSolver::default();
        let speeds = [1.0, 0.8, 1.2, 1.0, 1.5, 0.9];
        assert_eq!(
            solver
                .solve(&fleet(&speeds, 0.6), LIMIT)
                .map(|(_, origin)| origin),
            Ok(PlanOrigin::Solved)
        );
        assert_eq!(
            solver
                .solve(&fleet(&speeds, 0.6), LIMIT)
                .map(|(_, origin)| origin),
            Ok(PlanOrigin::Reused)
        );
        assert_eq!(
            solver
                .solve(&fleet(&speeds, 0.62), LIMIT)
                .map(|(_, origin)| origin),
            Ok(PlanOrigin::Reused)
        );
        let mut slow = speeds;
        slow[0] = 0.3;
        assert_eq!(
            solver
                .solve(&fleet(&slow, 0.75), LIMIT)
                .map(|(_, origin)| origin),
            Ok(PlanOrigin::Solved)
        );
        assert_eq!(
            solver
                .solve(&fleet(&speeds[..5], 0.6), LIMIT)
                .map(|(_, origin)| origin),
            Ok(PlanOrigin::Solved)
        );
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 40, failure_persistence: None, ..ProptestConfig::default() })]

        /// Whatever changed, the bound is not below the optimum, and a reused plan is within the stated tolerance of it.
        #[test]
        fn upper_bound_holds_and_reused_plans_are_close_to_the_optimum(
            speeds in prop::collection::vec(0.5..2.0f64, 6),
            changed in prop::collection::vec(0.85..1.15f64, 6),
            (load, growth) in (0.1..1.5f64, 0.9..1.1f64),
        ) {
            let mut solver = WarmStartSolver::default();
            solver.solve(&fleet(&speeds, load), LIMIT).expect("a plan");
            let shadow_prices = solver.last.as_ref().map(|(_, solution)| solution.price.clone()).expect("a solution");
            let new_speeds: Vec<f64> = speeds.iter().zip(&changed).map(|(speed, change)| speed * change).collect();
            let new = fleet(&new_speeds, load * growth);
            let optimum = crate::solve(&new, Solver::InteriorPoint).expect("a plan").objective;
            let upper = upper_bound(&new, &shadow_prices);
            prop_assert!(upper >= optimum - optimum.abs() * 1e-5, "upper bound {upper} below the optimum {optimum}");
            let (plan, origin) = solver.solve(&new, LIMIT).expect("a plan");
            if origin == PlanOrigin::Reused {
                prop_assert!(plan.objective >= optimum - optimum.abs() * (REUSE_TOLERANCE + 1e-5), "objective {} below the optimum {optimum}", plan.objective);
            }
        }
    }
}
