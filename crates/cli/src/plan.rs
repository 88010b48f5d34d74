//! `pondarch plan`: solves the weights for a described fleet and prints them with the limits of the fleet.

use crate::report_error;
use pondarch_config::{PlanSite, read_plan};
use pondarch_controller::DurationExt;
use pondarch_weight_solver::guard::{Bears, guarded};
use pondarch_weight_solver::solve::one_more;
use pondarch_weight_solver::{Fleet, Host, Kind, Plan, SolveError, Solver, Table, solve};
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::process::ExitCode;

#[derive(Serialize)]
struct PlanOutput<'a> {
    hosts: Vec<HostOutput<'a>>,
    #[serde(rename = "kinds")]
    classes: Vec<ClassOutput<'a>>,
    #[serde(rename = "served")]
    benefit: Option<f64>,
    #[serde(rename = "crossing")]
    cross_zone_work: f64,
    #[serde(rename = "little_room")]
    low_headroom_hosts: &'a [String],
    /// The additional benefit per second of one more host like the first one, by zone.
    #[serde(rename = "one_more")]
    added_host_gains: Vec<(&'a str, f64)>,
}

#[derive(Serialize)]
struct HostOutput<'a> {
    name: &'a str,
    weight: f64,
    utilisation: f64,
}

#[derive(Serialize)]
struct ClassOutput<'a> {
    name: &'a str,
    #[serde(rename = "let_in")]
    admitted: f64,
    in_time: f64,
}

/// Solves the fleet that the settings describe and prints the plan.
pub(crate) fn plan(settings: &Path, simplex: bool, json: bool) -> ExitCode {
    let site = match read_plan(settings) {
        Ok(site) => site,
        Err(error) => return report_error(&error.to_string()),
    };
    let fleet = build_fleet(&site);
    let solver = if simplex {
        Solver::Simplex
    } else {
        Solver::Interior
    };
    match solve_fleet(&fleet, solver) {
        Ok((plan, gains)) => print_plan(&fleet, &plan, &gains, json),
        Err(error) => report_error(&format!("{}: {error}", settings.display())),
    }
}

/// The plan with its weights limited to what hosts can handle, and the gain of one more host in each zone.
fn solve_fleet(fleet: &Fleet, solver: Solver) -> Result<(Plan, Vec<f64>), SolveError> {
    let mut plan = solve(fleet, solver)?;
    let host_limits = |host: &Host| Bears {
        capacity: host.capacity(),
        warm: host.warm >= 1.0,
    };
    plan.weights = guarded(
        &fleet.hosts.iter().map(host_limits).collect::<Vec<_>>(),
        &plan.weights,
    );
    let gains = match fleet.hosts.first() {
        Some(model) => one_more(
            fleet,
            &Host {
                warm: 1.0,
                taken: 0.0,
                ..model.clone()
            },
            solver,
        )?,
        None => Vec::new(),
    };
    Ok((plan, gains))
}

fn build_fleet(site: &PlanSite) -> Fleet {
    let zone = |name: &String| site.zones.iter().position(|zone| zone == name).unwrap_or(0);
    let hosts = site.hosts.iter().flat_map(|group| {
        (0..group.count).map(move |n| Host {
            name: if group.count == 1 {
                group.name.clone()
            } else {
                format!("{}-{n}", group.name)
            },
            zone: zone(&group.zone),
            cores: group.cores,
            speed: group.speed,
            connections: group.connections,
            warm: group.warm,
            taken: group.taken,
            taken_age_s: group.taken_age.0.seconds(),
        })
    });
    let kind = |kind: &pondarch_config::plan::PlanKind| Kind {
        name: kind.name.clone(),
        work_s: kind.work.0.seconds(),
        response_target_s: kind.response_target.0.seconds(),
        benefit: kind.benefit,
    };
    let kinds: Vec<Kind> = site.kinds.iter().map(kind).collect();
    let hosts: Vec<Host> = hosts.collect();
    let rates = |demand: &BTreeMap<String, BTreeMap<String, f64>>| {
        let rate = |zone: &String, kind: &Kind| demand.get(zone)?.get(&kind.name).copied();
        let zone_rates = |zone| {
            kinds
                .iter()
                .map(|kind| rate(zone, kind).unwrap_or(0.0))
                .collect()
        };
        site.zones.iter().map(zone_rates).collect::<Vec<Vec<f64>>>()
    };
    // A table lists hosts by their names in the settings; such a name may stand for several identical hosts.
    let has_name = |name: &String, host: &Host| {
        host.name == *name
            || host
                .name
                .rsplit_once('-')
                .is_some_and(|(base, _)| base == name)
    };
    let host_indices = |names: &Vec<String>| {
        let is_listed = |host: &Host| names.iter().any(|name| has_name(name, host));
        hosts
            .iter()
            .enumerate()
            .filter(|(_, host)| is_listed(host))
            .map(|(index, _)| index)
            .collect::<Vec<_>>()
    };
    let mut tables: Vec<Table> = site
        .tables
        .iter()
        .map(|(name, table)| Table {
            name: name.clone(),
            hosts: Some(host_indices(&table.hosts)),
            rates: rates(&table.demand),
        })
        .collect();
    if !site.demand.is_empty() || tables.is_empty() {
        tables.push(Table::of_all(rates(&site.demand)));
    }
    Fleet {
        tables,
        zones: site.zones.clone(),
        hosts,
        kinds,
        crossing: site.crossing_price,
    }
}

fn print_plan(fleet: &Fleet, plan: &Plan, gains: &[f64], json: bool) -> ExitCode {
    let figures = plan.weights.iter().zip(&plan.utilisation);
    let host = |(host, (weight, utilisation)): (&'_ Host, (&f64, &f64))| {
        (host.name.clone(), *weight, *utilisation)
    };
    let hosts: Vec<(String, f64, f64)> = fleet.hosts.iter().zip(figures).map(host).collect();
    let output = PlanOutput {
        hosts: hosts
            .iter()
            .map(|(name, weight, utilisation)| HostOutput {
                name,
                weight: *weight,
                utilisation: *utilisation,
            })
            .collect(),
        classes: fleet
            .kinds
            .iter()
            .zip(plan.let_in.iter().zip(&plan.in_time))
            .map(|(kind, (admitted, in_time))| ClassOutput {
                name: &kind.name,
                admitted: *admitted,
                in_time: *in_time,
            })
            .collect(),
        benefit: plan.served,
        cross_zone_work: plan.crossing,
        low_headroom_hosts: &plan.little_room,
        added_host_gains: fleet
            .zones
            .iter()
            .map(String::as_str)
            .zip(gains.iter().copied())
            .collect(),
    };
    if json {
        return match serde_json::to_string_pretty(&output) {
            Ok(text) => {
                println!("{text}");
                ExitCode::SUCCESS
            }
            Err(error) => report_error(&error.to_string()),
        };
    }
    println!("{:<24}{:>9}{:>13}", "host", "weight", "utilisation");
    for host in &output.hosts {
        println!(
            "{:<24}{:>9.3}{:>13.3}",
            host.name, host.weight, host.utilisation
        );
    }
    for class in &output.classes {
        println!(
            "let in, {:<16}{:>9.3}  of which in time {:.3}",
            class.name, class.admitted, class.in_time
        );
    }
    match output.benefit {
        Some(benefit) => println!("benefit let in{:>19.3}", benefit),
        None => println!("nothing is asked for: weights by capacity"),
    }
    println!("work that crosses zones{:>10.3}", output.cross_zone_work);
    println!(
        "hosts with little room: {} of {}",
        output.low_headroom_hosts.len(),
        output.hosts.len()
    );
    output
        .low_headroom_hosts
        .iter()
        .for_each(|host| println!("  {host}"));
    for (zone, gain) in &output.added_host_gains {
        println!("one more host in {zone:<14} {gain:>8.3} benefit a second");
    }
    ExitCode::SUCCESS
}
