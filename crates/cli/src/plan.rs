//! `pondarch plan`: solves the weights for a described fleet and prints them with the limits of the fleet.

use crate::report_error;
use pondarch_config::{PlanSettings, read_plan};
use pondarch_controller::DurationExt;
use pondarch_weight_solver::guard::{HostCapacity, limit_warming_up};
use pondarch_weight_solver::solve::added_host_gains;
use pondarch_weight_solver::{Fleet, Host, Plan, RequestClass, SolveError, Solver, Table, solve};
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
    admitted_benefit: Option<f64>,
    #[serde(rename = "crossing")]
    cross_zone_share: f64,
    #[serde(rename = "little_room")]
    nearly_full: &'a [String],
    /// The additional benefit per second of one more host like the first one, by zone.
    #[serde(rename = "one_more")]
    added_host_gains: Vec<(&'a str, f64)>,
}

#[derive(Serialize)]
struct HostOutput<'a> {
    name: &'a str,
    weight: f64,
    #[serde(rename = "utilisation")]
    utilization: f64,
}

#[derive(Serialize)]
struct ClassOutput<'a> {
    name: &'a str,
    #[serde(rename = "let_in")]
    admitted: f64,
    #[serde(rename = "in_time")]
    on_time: f64,
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
        Solver::InteriorPoint
    };
    match solve_fleet(&fleet, solver) {
        Ok((plan, gains)) => print_plan(&fleet, &plan, &gains, json),
        Err(error) => report_error(&format!("{}: {error}", settings.display())),
    }
}

/// The plan with its weights limited to what hosts can handle, and the gain of one more host in each zone.
fn solve_fleet(fleet: &Fleet, solver: Solver) -> Result<(Plan, Vec<f64>), SolveError> {
    let mut plan = solve(fleet, solver)?;
    let host_limits = |host: &Host| HostCapacity {
        capacity: host.capacity(),
        warm: host.warm_fraction >= 1.0,
    };
    plan.weights = limit_warming_up(
        &fleet.hosts.iter().map(host_limits).collect::<Vec<_>>(),
        &plan.weights,
    );
    let gains = match fleet.hosts.first() {
        Some(model) => added_host_gains(
            fleet,
            &Host {
                warm_fraction: 1.0,
                other_work: 0.0,
                ..model.clone()
            },
            solver,
        )?,
        None => Vec::new(),
    };
    Ok((plan, gains))
}

fn build_fleet(site: &PlanSettings) -> Fleet {
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
            max_concurrent_requests: group.max_concurrent_requests,
            warm_fraction: group.capacity_fraction,
            other_work: group.other_load,
            other_work_age_s: group.other_load_age.0.seconds(),
        })
    });
    let class = |kind: &pondarch_config::plan::PlanRequestClass| RequestClass {
        name: kind.name.clone(),
        work_s: kind.work_per_request.0.seconds(),
        latency_objective_s: kind.latency_objective.0.seconds(),
        benefit: kind.priority_weight,
    };
    let classes: Vec<RequestClass> = site.request_classes.iter().map(class).collect();
    let hosts: Vec<Host> = hosts.collect();
    let rates = |demand: &BTreeMap<String, BTreeMap<String, f64>>| {
        let rate =
            |zone: &String, class: &RequestClass| demand.get(zone)?.get(&class.name).copied();
        let zone_rates = |zone| {
            classes
                .iter()
                .map(|class| rate(zone, class).unwrap_or(0.0))
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
        tables.push(Table::of_all_hosts(rates(&site.demand)));
    }
    Fleet {
        tables,
        zones: site.zones.clone(),
        hosts,
        classes,
        crossing_price: site.cross_zone_cost,
    }
}

fn print_plan(fleet: &Fleet, plan: &Plan, gains: &[f64], json: bool) -> ExitCode {
    let figures = plan.weights.iter().zip(&plan.utilization);
    let host = |(host, (weight, utilization)): (&'_ Host, (&f64, &f64))| {
        (host.name.clone(), *weight, *utilization)
    };
    let hosts: Vec<(String, f64, f64)> = fleet.hosts.iter().zip(figures).map(host).collect();
    let output = PlanOutput {
        hosts: hosts
            .iter()
            .map(|(name, weight, utilization)| HostOutput {
                name,
                weight: *weight,
                utilization: *utilization,
            })
            .collect(),
        classes: fleet
            .classes
            .iter()
            .zip(plan.admitted.iter().zip(&plan.on_time))
            .map(|(class, (admitted, on_time))| ClassOutput {
                name: &class.name,
                admitted: *admitted,
                on_time: *on_time,
            })
            .collect(),
        admitted_benefit: plan.admitted_benefit,
        cross_zone_share: plan.cross_zone_share,
        nearly_full: &plan.nearly_full,
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
            host.name, host.weight, host.utilization
        );
    }
    for class in &output.classes {
        println!(
            "let in, {:<16}{:>9.3}  of which in time {:.3}",
            class.name, class.admitted, class.on_time
        );
    }
    match output.admitted_benefit {
        Some(benefit) => println!("benefit let in{:>19.3}", benefit),
        None => println!("nothing is asked for: weights by capacity"),
    }
    println!("work that crosses zones{:>10.3}", output.cross_zone_share);
    println!(
        "hosts with little room: {} of {}",
        output.nearly_full.len(),
        output.hosts.len()
    );
    output
        .nearly_full
        .iter()
        .for_each(|host| println!("  {host}"));
    for (zone, gain) in &output.added_host_gains {
        println!("one more host in {zone:<14} {gain:>8.3} benefit a second");
    }
    ExitCode::SUCCESS
}
