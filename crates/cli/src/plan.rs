//! `pondarch plan`: weights for a described fleet, and what bounds it.

use crate::failed;
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
struct Printed<'a> {
    hosts: Vec<PrintedHost<'a>>,
    kinds: Vec<PrintedKind<'a>>,
    served: Option<f64>,
    crossing: f64,
    little_room: &'a [String],
    /// Benefit a second that one more host of the first kind of host would bring, by zone.
    one_more: Vec<(&'a str, f64)>,
}

#[derive(Serialize)]
struct PrintedHost<'a> {
    name: &'a str,
    weight: f64,
    utilisation: f64,
}

#[derive(Serialize)]
struct PrintedKind<'a> {
    name: &'a str,
    let_in: f64,
    in_time: f64,
}

pub(crate) fn plan(settings: &Path, simplex: bool, json: bool) -> ExitCode {
    let site = match read_plan(settings) {
        Ok(site) => site,
        Err(wrong) => return failed(&wrong.to_string()),
    };
    let fleet = fleet(&site);
    let solver = if simplex {
        Solver::Simplex
    } else {
        Solver::InteriorPoint
    };
    match solved(&fleet, solver) {
        Ok((plan, gains)) => print(&fleet, &plan, &gains, json),
        Err(wrong) => failed(&format!("{}: {wrong}", settings.display())),
    }
}

fn solved(fleet: &Fleet, solver: Solver) -> Result<(Plan, Vec<f64>), SolveError> {
    let mut plan = solve(fleet, solver)?;
    let bears = |host: &Host| HostCapacity {
        capacity: host.capacity(),
        warm: host.warm_fraction >= 1.0,
    };
    plan.weights = limit_warming_up(
        &fleet.hosts.iter().map(bears).collect::<Vec<_>>(),
        &plan.weights,
    );
    let gains = match fleet.hosts.first() {
        Some(make) => added_host_gains(
            fleet,
            &Host {
                warm_fraction: 1.0,
                other_work: 0.0,
                ..make.clone()
            },
            solver,
        )?,
        None => Vec::new(),
    };
    Ok((plan, gains))
}

fn fleet(site: &PlanSettings) -> Fleet {
    let zone = |name: &String| site.zones.iter().position(|zone| zone == name).unwrap_or(0);
    let hosts = site.hosts.iter().flat_map(|of| {
        (0..of.count).map(move |n| Host {
            name: if of.count == 1 {
                of.name.clone()
            } else {
                format!("{}-{n}", of.name)
            },
            zone: zone(&of.zone),
            cores: of.cores,
            speed: of.speed,
            max_concurrent_requests: of.max_concurrent_requests,
            warm_fraction: of.capacity_fraction,
            other_work: of.other_load,
            other_work_age_s: of.other_load_age.0.seconds(),
        })
    });
    let kind = |kind: &pondarch_config::plan::PlanRequestClass| RequestClass {
        name: kind.name.clone(),
        work_s: kind.work_per_request.0.seconds(),
        latency_objective_s: kind.latency_objective.0.seconds(),
        benefit: kind.priority_weight,
    };
    let kinds: Vec<RequestClass> = site.request_classes.iter().map(kind).collect();
    let hosts: Vec<Host> = hosts.collect();
    let rates = |demand: &BTreeMap<String, BTreeMap<String, f64>>| {
        let rate = |zone: &String, kind: &RequestClass| demand.get(zone)?.get(&kind.name).copied();
        let of_zone = |zone| {
            kinds
                .iter()
                .map(|kind| rate(zone, kind).unwrap_or(0.0))
                .collect()
        };
        site.zones.iter().map(of_zone).collect::<Vec<Vec<f64>>>()
    };
    // The hosts of a table by the names in the settings, which may stand for several alike.
    let named = |name: &String, host: &Host| {
        host.name == *name || host.name.rsplit_once('-').is_some_and(|(of, _)| of == name)
    };
    let places = |names: &Vec<String>| {
        let of = |host: &Host| names.iter().any(|name| named(name, host));
        hosts
            .iter()
            .enumerate()
            .filter(|(_, host)| of(host))
            .map(|(place, _)| place)
            .collect::<Vec<_>>()
    };
    let mut tables: Vec<Table> = site
        .tables
        .iter()
        .map(|(name, table)| Table {
            name: name.clone(),
            hosts: Some(places(&table.hosts)),
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
        classes: kinds,
        crossing_price: site.cross_zone_cost,
    }
}

fn print(fleet: &Fleet, plan: &Plan, gains: &[f64], json: bool) -> ExitCode {
    let figures = plan.weights.iter().zip(&plan.utilization);
    let host = |(host, (weight, utilisation)): (&'_ Host, (&f64, &f64))| {
        (host.name.clone(), *weight, *utilisation)
    };
    let hosts: Vec<(String, f64, f64)> = fleet.hosts.iter().zip(figures).map(host).collect();
    let printed = Printed {
        hosts: hosts
            .iter()
            .map(|(name, weight, utilisation)| PrintedHost {
                name,
                weight: *weight,
                utilisation: *utilisation,
            })
            .collect(),
        kinds: fleet
            .classes
            .iter()
            .zip(plan.admitted.iter().zip(&plan.on_time))
            .map(|(k, (let_in, in_time))| PrintedKind {
                name: &k.name,
                let_in: *let_in,
                in_time: *in_time,
            })
            .collect(),
        served: plan.admitted_benefit,
        crossing: plan.cross_zone_share,
        little_room: &plan.nearly_full,
        one_more: fleet
            .zones
            .iter()
            .map(String::as_str)
            .zip(gains.iter().copied())
            .collect(),
    };
    if json {
        return match serde_json::to_string_pretty(&printed) {
            Ok(text) => {
                println!("{text}");
                ExitCode::SUCCESS
            }
            Err(wrong) => failed(&wrong.to_string()),
        };
    }
    println!("{:<24}{:>9}{:>13}", "host", "weight", "utilisation");
    for host in &printed.hosts {
        println!(
            "{:<24}{:>9.3}{:>13.3}",
            host.name, host.weight, host.utilisation
        );
    }
    for kind in &printed.kinds {
        println!(
            "let in, {:<16}{:>9.3}  of which in time {:.3}",
            kind.name, kind.let_in, kind.in_time
        );
    }
    match printed.served {
        Some(served) => println!("benefit let in{:>19.3}", served),
        None => println!("nothing is asked for: weights by capacity"),
    }
    println!("work that crosses zones{:>10.3}", printed.crossing);
    println!(
        "hosts with little room: {} of {}",
        printed.little_room.len(),
        printed.hosts.len()
    );
    printed
        .little_room
        .iter()
        .for_each(|host| println!("  {host}"));
    for (zone, gain) in &printed.one_more {
        println!("one more host in {zone:<14} {gain:>8.3} benefit a second");
    }
    ExitCode::SUCCESS
}
