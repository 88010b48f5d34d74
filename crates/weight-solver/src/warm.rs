//! A solve that starts from the last one. Interior point methods cannot start from a known plan; but the last plan
//! scaled to the new figures is a plan too, and the last prices bound what any plan can be worth (weak duality), in
//! time that grows with the hosts alone. If the one is near enough to the other, nothing is solved.

use crate::delay::{POINTS, bound, pieces};
use crate::model::{Fleet, Host};
use crate::solve::{Plan, Prices, SolveError, Solver, Values, loads, plan, solve_within};
use std::time::Duration;

/// The part of the worth that a kept plan may miss: less than estimates are off by.
const NEAR: f64 = 0.003;

/// The last answer and what was asked for then.
#[derive(Clone, Debug, Default)]
pub struct Warm {
    last: Option<(Fleet, Values)>,
}

/// How a plan came to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// The last plan is within a small part of the best.
    Kept,
    Solved,
}

impl Warm {
    /// Solves for a fleet, or keeps the last plan if it is near enough to the best.
    ///
    /// Errors: as `solve_within`; the last answer stays.
    pub fn solve(&mut self, fleet: &Fleet, limit: Duration) -> Result<(Plan, Start), SolveError> {
        fleet.check()?;
        if let Some((then, values)) = &self.last
            && let Some(values) = scaled(then, fleet, values)
            && upper_bound(fleet, &values.price) <= values.worth + NEAR * values.worth.abs()
        {
            return Ok((plan(fleet, &values), Start::Kept));
        }
        let (plan, values) = solve_within(fleet, Solver::Interior, Some(limit))?;
        self.last = values.map(|values| (fleet.clone(), values));
        Ok((plan, Start::Solved))
    }
}

/// The last plan as a plan for a fleet with other figures; none if it does not fit.
fn scaled(then: &Fleet, fleet: &Fleet, values: &Values) -> Option<Values> {
    let same_hosts = then.hosts.len() == fleet.hosts.len()
        && then
            .hosts
            .iter()
            .zip(&fleet.hosts)
            .all(|(a, b)| a.name == b.name && a.zone == b.zone);
    let same_tables = then.tables.len() == fleet.tables.len()
        && then
            .tables
            .iter()
            .zip(&fleet.tables)
            .all(|(a, b)| a.hosts == b.hosts);
    if !same_hosts
        || !same_tables
        || then.kinds.len() != fleet.kinds.len()
        || fleet.work_asked() <= 0.0
    {
        return None;
    }
    let prices = Prices::of(fleet);
    let mut now = Values {
        worth: 0.0,
        ..values.clone()
    };
    for (t, table) in fleet.tables.iter().enumerate() {
        let mut own = vec![0.0; fleet.zones.len()];
        for (z, rates) in table.rates.iter().enumerate() {
            for (k, kind) in fleet.kinds.iter().enumerate() {
                let asked = then.tables[t].rates[z][k];
                // What was not asked for then is let in as far as others of its kind were.
                let part = if asked > 0.0 {
                    values.let_in[t][z][k] / asked
                } else {
                    1.0
                };
                now.let_in[t][z][k] = part.min(1.0) * rates[k];
                own[z] += now.let_in[t][z][k] * kind.work_s;
                now.worth += now.let_in[t][z][k] * kind.benefit;
            }
        }
        let (before, after): (f64, f64) = (
            values.flow[t].iter().map(|(_, work)| work).sum(),
            own.iter().sum(),
        );
        if before <= 0.0 && after > 0.0 {
            return None;
        }
        let factor = if before > 0.0 { after / before } else { 0.0 };
        now.flow[t].iter_mut().for_each(|(_, work)| *work *= factor);
        for (z, own) in own.iter().enumerate() {
            let here = now.flow[t]
                .iter()
                .filter(|(host, _)| fleet.hosts[*host].zone == z);
            now.away[t][z] = (here.map(|(_, work)| work).sum::<f64>() - own).max(0.0);
            now.worth -= prices.crossing * now.away[t][z];
        }
    }
    for (load, host) in loads(fleet, &now).iter().zip(&fleet.hosts) {
        let utilisation = (load + host.taken_now()) / host.capacity();
        if utilisation > POINTS[POINTS.len() - 1] + 1e-9 {
            return None;
        }
        now.worth -= host.capacity() * prices.missed * bound(utilisation, host.cores, prices.room);
    }
    Some(now)
}

/// What no plan for this fleet can be worth more than, by these prices of work by table and zone.
fn upper_bound(fleet: &Fleet, price: &[(f64, Vec<f64>)]) -> f64 {
    let prices = Prices::of(fleet);
    let mut worth = 0.0;
    let mut host_price = vec![0.0f64; fleet.hosts.len()];
    for (table, (all, zones)) in fleet.tables.iter().zip(price) {
        let own = |zone: usize| {
            all - zones
                .get(zone)
                .copied()
                .unwrap_or(0.0)
                .clamp(0.0, prices.crossing)
        };
        for (zone, rates) in table.rates.iter().enumerate() {
            let of = |(rate, kind): (&f64, &crate::Kind)| {
                rate * (kind.benefit - kind.work_s * own(zone)).max(0.0)
            };
            worth += rates.iter().zip(&fleet.kinds).map(of).sum::<f64>();
        }
        for host in fleet.hosts_of(table) {
            host_price[host] = host_price[host].max(own(fleet.hosts[host].zone));
        }
    }
    let of = |(host, price): (&Host, f64)| {
        let capacity = host.capacity();
        let gain = |(width, slope): (f64, f64)| {
            width * capacity * (price - prices.missed * slope).max(0.0)
        };
        pieces(host.cores, prices.room).map(gain).sum::<f64>() - price * host.taken_now()
    };
    worth + fleet.hosts.iter().zip(host_price).map(of).sum::<f64>()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Kind, Table};
    use proptest::prelude::*;

    fn fleet(speeds: &[f64], load: f64) -> Fleet {
        let kind = |name: &str, work_s, benefit| Kind {
            name: name.into(),
            work_s,
            response_target_s: 1.0,
            benefit,
        };
        let host = |(n, speed): (usize, &f64)| Host {
            name: format!("host-{n}"),
            zone: n % 2,
            cores: 1.0 + (n % 3) as f64,
            speed: *speed,
            connections: None,
            warm: 1.0,
            taken: 0.0,
            taken_age_s: 0.0,
        };
        let hosts: Vec<Host> = speeds.iter().enumerate().map(host).collect();
        let capacity: f64 = hosts.iter().map(Host::capacity).sum();
        let reqs = capacity * load / 0.15;
        Fleet {
            zones: vec!["ede".into(), "arnhem".into()],
            kinds: vec![kind("proof", 0.1, 1.0), kind("order", 0.05, 5.0)],
            hosts,
            tables: vec![Table::of_all(vec![
                vec![reqs * 0.7; 2],
                vec![reqs * 0.3; 2],
            ])],
            crossing: 0.06,
        }
    }

    const LIMIT: Duration = Duration::from_secs(5);

    #[test]
    fn small_changes_keep_the_plan_and_large_ones_do_not() {
        let mut warm = Warm::default();
        let speeds = [1.0, 0.8, 1.2, 1.0, 1.5, 0.9];
        assert_eq!(
            warm.solve(&fleet(&speeds, 0.6), LIMIT)
                .map(|(_, start)| start),
            Ok(Start::Solved)
        );
        assert_eq!(
            warm.solve(&fleet(&speeds, 0.6), LIMIT)
                .map(|(_, start)| start),
            Ok(Start::Kept)
        );
        assert_eq!(
            warm.solve(&fleet(&speeds, 0.62), LIMIT)
                .map(|(_, start)| start),
            Ok(Start::Kept)
        );
        let mut slow = speeds;
        slow[0] = 0.3;
        assert_eq!(
            warm.solve(&fleet(&slow, 0.75), LIMIT)
                .map(|(_, start)| start),
            Ok(Start::Solved)
        );
        assert_eq!(
            warm.solve(&fleet(&speeds[..5], 0.6), LIMIT)
                .map(|(_, start)| start),
            Ok(Start::Solved)
        );
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 40, failure_persistence: None, ..ProptestConfig::default() })]

        /// The bound is above the best, whatever changed; and a kept plan is within its stated part of the best.
        #[test]
        fn the_bound_bounds_and_a_kept_plan_is_near_the_best(
            speeds in prop::collection::vec(0.5..2.0f64, 6),
            changed in prop::collection::vec(0.85..1.15f64, 6),
            (load, more) in (0.1..1.5f64, 0.9..1.1f64),
        ) {
            let mut warm = Warm::default();
            warm.solve(&fleet(&speeds, load), LIMIT).expect("a plan");
            let price = warm.last.as_ref().map(|(_, values)| values.price.clone()).expect("prices");
            let new: Vec<f64> = speeds.iter().zip(&changed).map(|(a, b)| a * b).collect();
            let new = fleet(&new, load * more);
            let best = crate::solve(&new, Solver::Interior).expect("a plan").worth;
            let most = upper_bound(&new, &price);
            prop_assert!(most >= best - best.abs() * 1e-5, "{most} under the best, {best}");
            let (plan, start) = warm.solve(&new, LIMIT).expect("a plan");
            if start == Start::Kept {
                prop_assert!(plan.worth >= best - best.abs() * (NEAR + 1e-5), "{} of {best}", plan.worth);
            }
        }
    }
}
