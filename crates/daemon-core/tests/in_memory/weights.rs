//! Tests of the weights that a solver sets.

use crate::simulated_fleet::*;
use pondarch_config::hosts::HostState;
use pondarch_config::site::WeightSource;
use pondarch_controller::Time;
use pondarch_daemon_core::{Core, Event, Input, Output};
use std::collections::BTreeMap;
use std::time::Duration;

/// A fleet with solved weights whose proxies have all joined.
fn fleet_with_solver(proxies: usize, hosts: usize) -> SimulatedFleet {
    let mut site = site(proxies);
    site.weight_source = WeightSource::Solved;
    let mut fleet = SimulatedFleet::new(&site, hosts);
    fleet.run(3_000);
    assert_eq!(fleet.info("ProxiesJoined"), proxies as u64);
    fleet
}

/// Runs a second of traffic. Each server gets requests by its weight; those of the host `slow` take three times as
/// long.
fn run_second(fleet: &mut SimulatedFleet, slow: &str) {
    for proxy in &mut fleet.proxies {
        for backend in proxy.state.backends.values_mut() {
            let total_weight: u64 = backend
                .servers
                .values()
                .filter(|server| server.is_serving())
                .map(|server| u64::from(server.weight))
                .sum();
            for (name, server) in backend
                .servers
                .iter_mut()
                .filter(|(_, server)| server.is_serving())
            {
                let requests = 40 * u64::from(server.weight) / total_weight.max(1);
                let ms = if name == slow { 60 } else { 20 };
                server.attempts += requests;
                server.results.succeeded += requests;
                server.results.succeeded_duration += Duration::from_millis(ms * requests);
                backend.requests += requests;
            }
        }
    }
    fleet.run(1_000);
}

fn weights(fleet: &mut SimulatedFleet) -> BTreeMap<String, f64> {
    let text = fleet.command(1, "show map weights");
    let line = |line: &str| {
        let mut words = line.split_whitespace().skip(1);
        Some((words.next()?.to_string(), words.next()?.parse().ok()?))
    };
    text.lines().filter_map(line).collect()
}

fn source(fleet: &mut SimulatedFleet) -> String {
    let text = fleet.command(0, "show info");
    text.lines()
        .find_map(|line| line.strip_prefix("Weights: "))
        .unwrap_or("?")
        .to_string()
}

#[test]
fn a_slow_host_gets_a_lower_weight_in_the_list_of_the_controller_and_in_tables() {
    let mut fleet = fleet_with_solver(4, 8);
    let before = weights(&mut fleet);
    assert!(
        before.values().all(|weight| (weight - 1.0).abs() < 1e-9),
        "{before:?}"
    );
    for _ in 0..30 {
        run_second(&mut fleet, "host-3");
    }
    let after = weights(&mut fleet);
    assert_eq!(source(&mut fleet), "solved");
    assert!(after["host-3"] < 0.7 && after["host-2"] > 0.9, "{after:?}");
    // The listed weight is unchanged, and the sum of the planned weights stays that of the listed ones.
    assert!(
        fleet
            .command(1, "get weight hosts/host-3")
            .starts_with("1 (initial 1)")
    );
    assert!((after.values().sum::<f64>() - 8.0).abs() < 1.0, "{after:?}");
    let lines = fleet.serving(0, "proof");
    let min_other = lines
        .iter()
        .filter(|(name, _)| *name != "host-3")
        .map(|(_, line)| line.1)
        .min();
    if let (Some(slow), Some(min_other)) = (lines.get("host-3"), min_other) {
        assert!(slow.1 < min_other, "{lines:?}");
    }
}

#[test]
fn listed_weights_are_not_changed_without_a_solver() {
    let mut fleet = SimulatedFleet::new(&site(2), 6);
    for _ in 0..10 {
        run_second(&mut fleet, "host-3");
    }
    assert!(
        fleet
            .outputs
            .iter()
            .all(|output| !matches!(output, Output::Solve { .. }))
    );
    assert_eq!(source(&mut fleet), "listed");
}

#[test]
fn a_solver_that_fails_or_is_silent_is_logged_and_changes_no_weights() {
    for failure in [Solver::Fails, Solver::Silent] {
        let mut fleet = fleet_with_solver(4, 8);
        fleet.solver = failure;
        for _ in 0..20 {
            run_second(&mut fleet, "host-3");
        }
        assert_eq!(source(&mut fleet), "listed");
        let is_failure = |event: &Event| matches!(event, Event::PlanFailed { .. });
        assert!(fleet.events.iter().any(is_failure));
        assert!(!fleet.command(0, "show info").contains("WeightsFailed: -"));
        assert!(
            weights(&mut fleet)
                .values()
                .all(|weight| (weight - 1.0).abs() < 1e-9)
        );
        fleet.solver = Solver::Solves;
        for _ in 0..10 {
            run_second(&mut fleet, "host-3");
        }
        assert_eq!(source(&mut fleet), "solved");
        assert!(fleet.command(0, "show info").contains("WeightsFailed: -"));
    }
}

/// A solver gives all weight to one host. Weights must still change in steps, every request class must keep a host,
/// hosts that are warming up must not weigh more than warm ones, and draining hosts must not be used.
#[test]
fn an_extreme_plan_is_applied_in_steps_and_keeps_drains_and_slow_starts() {
    let mut fleet = fleet_with_solver(4, 8);
    fleet.solver = Solver::Overloads;
    let mut previous = weights(&mut fleet);
    for n in 0..40 {
        if n == 10 {
            // Adds host-8 and host-9, which are warming up: the plan gives all weight to the latter. Drains host-2.
            let mut hosts: Vec<_> = (0..10).map(host).collect();
            hosts[2].state = HostState::Drain;
            fleet.apply_list(hosts);
        }
        run_second(&mut fleet, "host-3");
        let now = weights(&mut fleet);
        // Not checked: the draining host, whose weight is the listed one again, and those warming up, which follow
        // their slow start.
        for (host, weight) in now
            .iter()
            .filter(|(host, _)| !["host-2", "host-8", "host-9"].contains(&host.as_str()))
        {
            let before = previous.get(host).copied().unwrap_or(*weight);
            assert!(
                *weight <= before * 1.251 + 2e-3,
                "{host} from {before} to {weight} in a second"
            );
        }
        previous = now;
        for proxy in 0..4 {
            for class in CLASSES {
                let lines = fleet.serving(proxy, class);
                assert!(!lines.is_empty(), "no host for {class}");
                assert!(
                    n < 11 || !lines.contains_key("host-2"),
                    "a draining host is used"
                );
                let warm = lines
                    .iter()
                    .filter(|(name, _)| !["host-8", "host-9"].contains(&name.as_str()));
                let max_weight = warm.map(|(_, line)| line.1).max().unwrap_or(0);
                for warming_up in ["host-8", "host-9"]
                    .iter()
                    .filter(|_| (11..25).contains(&n))
                {
                    assert!(
                        lines
                            .get(*warming_up)
                            .is_none_or(|line| line.1 <= max_weight.max(1)),
                        "{warming_up}: {lines:?}"
                    );
                }
            }
        }
    }
    // No proxy gets more than 12 messages within ten seconds.
    for proxy in &fleet.proxies {
        let times: Vec<u64> = proxy.updates.iter().map(|(at, _)| *at).collect();
        for at in &times {
            let within_window = times
                .iter()
                .filter(|other| (at.saturating_sub(10 * SECOND)..=*at).contains(*other));
            assert!(within_window.count() <= 12);
        }
    }
}

#[test]
fn solved_weights_cause_few_updates_when_nothing_changes() {
    let mut listed = SimulatedFleet::new(&site(4), 8);
    listed.run(3_000);
    // The controller's gradual weight changes cause updates with listed weights as well.
    let messages = [fleet_with_solver(4, 8), listed].map(|mut fleet| {
        for _ in 0..40 {
            run_second(&mut fleet, "host-3");
        }
        let before: usize = fleet.proxies.iter().map(|proxy| proxy.updates.len()).sum();
        for _ in 0..60 {
            run_second(&mut fleet, "host-3");
        }
        fleet
            .proxies
            .iter()
            .map(|proxy| proxy.updates.len())
            .sum::<usize>()
            - before
    });
    assert!(
        messages[0] <= messages[1] + 16,
        "{messages:?} messages to four proxies within a minute without changes"
    );
}

#[test]
fn a_run_with_plans_replays_to_the_same_outputs() {
    let mut fleet = fleet_with_solver(4, 8);
    for n in 0..20 {
        fleet.solver = if n % 7 == 3 {
            Solver::Fails
        } else {
            Solver::Solves
        };
        run_second(&mut fleet, "host-3");
    }
    let mut site = site(4);
    site.weight_source = WeightSource::Solved;
    let mut core = Core::new(&site, 7, 1, START, Time::from_micros(START));
    let mut outputs = Vec::new();
    for (at, input) in &fleet.inputs {
        let text = serde_json::to_string(input).expect("a serializable input");
        let input: Input = serde_json::from_str(&text).expect("a deserializable input");
        core.handle(Time::from_micros(*at), input);
        outputs.extend(std::iter::from_fn(|| core.next_output()));
    }
    assert!(
        outputs
            .iter()
            .any(|output| matches!(output, Output::Solve { .. }))
    );
    assert_eq!(outputs, fleet.outputs);
}
