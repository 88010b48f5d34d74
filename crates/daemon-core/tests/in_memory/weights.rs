//! Solved weights between the list and the module.

use crate::simulated_fleet::*;
use pondarch_config::hosts::HostState;
use pondarch_config::site::WeightSource;
use pondarch_controller::Time;
use pondarch_daemon_core::{Core, Event, Input, Output};
use std::collections::BTreeMap;
use std::time::Duration;

fn solved(proxies: usize, hosts: usize) -> SimulatedFleet {
    let mut site = site(proxies);
    site.weight_source = WeightSource::Solved;
    let mut fleet = SimulatedFleet::open(&site, hosts);
    fleet.run(3_000);
    assert_eq!(fleet.info("ProxiesJoined"), proxies as u64);
    fleet
}

/// A second of traffic: each line gets requests by its weight; those of `slow` take three times as long. Hosts tell how
/// busy they are.
fn second(fleet: &mut SimulatedFleet, slow: &str) {
    for front in &mut fleet.fronts {
        for backend in front.tables.backends.values_mut() {
            let all: u64 = backend
                .servers
                .values()
                .filter(|s| s.is_serving())
                .map(|s| u64::from(s.weight))
                .sum();
            for (name, server) in backend
                .servers
                .iter_mut()
                .filter(|(_, server)| server.is_serving())
            {
                let requests = 40 * u64::from(server.weight) / all.max(1);
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
fn a_slow_host_gets_less_in_the_list_the_module_sees_and_in_tables() {
    let mut fleet = solved(4, 8);
    let before = weights(&mut fleet);
    assert!(
        before.values().all(|weight| (weight - 1.0).abs() < 1e-9),
        "{before:?}"
    );
    for _ in 0..30 {
        second(&mut fleet, "host-3");
    }
    let after = weights(&mut fleet);
    assert_eq!(source(&mut fleet), "solved");
    assert!(after["host-3"] < 0.7 && after["host-2"] > 0.9, "{after:?}");
    // The list's own word stays what it was, and the whole does not seem to grow.
    assert!(
        fleet
            .command(1, "get weight hosts/host-3")
            .starts_with("1 (initial 1)")
    );
    assert!((after.values().sum::<f64>() - 8.0).abs() < 1.0, "{after:?}");
    let lines = fleet.serving(0, "proof");
    let usual = lines
        .iter()
        .filter(|(name, _)| *name != "host-3")
        .map(|(_, line)| line.1)
        .min();
    if let (Some(slow), Some(usual)) = (lines.get("host-3"), usual) {
        assert!(slow.1 < usual, "{lines:?}");
    }
}

#[test]
fn listed_weights_are_used_as_they_are_unless_the_settings_say_so() {
    let mut fleet = SimulatedFleet::open(&site(2), 6);
    for _ in 0..10 {
        second(&mut fleet, "host-3");
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
fn a_solver_that_fails_or_is_silent_is_logged_and_leaves_the_weights() {
    for trouble in [Solver::Fails, Solver::Silent] {
        let mut fleet = solved(4, 8);
        fleet.solver = trouble;
        for _ in 0..20 {
            second(&mut fleet, "host-3");
        }
        assert_eq!(source(&mut fleet), "listed");
        let failed = |event: &Event| matches!(event, Event::PlanFailed { .. });
        assert!(fleet.events.iter().any(failed));
        assert!(!fleet.command(0, "show info").contains("WeightsFailed: -"));
        assert!(
            weights(&mut fleet)
                .values()
                .all(|weight| (weight - 1.0).abs() < 1e-9)
        );
        fleet.solver = Solver::Answers;
        for _ in 0..10 {
            second(&mut fleet, "host-3");
        }
        assert_eq!(source(&mut fleet), "solved");
        assert!(fleet.command(0, "show info").contains("WeightsFailed: -"));
    }
}

/// A solver that gives all to one host: by steps only, with no proxy bare, no cold host above its due, and drains
/// kept.
#[test]
fn a_raving_solver_breaks_no_rule() {
    let mut fleet = solved(4, 8);
    fleet.solver = Solver::Raves;
    let mut last = weights(&mut fleet);
    for n in 0..40 {
        if n == 10 {
            // The last by name is the one that gets everything: a cold host, and another is drained.
            let mut hosts: Vec<_> = (0..10).map(host).collect();
            hosts[2].state = HostState::Drain;
            fleet.list(hosts);
        }
        second(&mut fleet, "host-3");
        let now = weights(&mut fleet);
        // A host that drains is judged afresh: its weight is the list's again. Cold ones go by the guard.
        for (host, weight) in now
            .iter()
            .filter(|(host, _)| !["host-2", "host-8", "host-9"].contains(&host.as_str()))
        {
            let before = last.get(host).copied().unwrap_or(*weight);
            assert!(
                *weight <= before * 1.251 + 2e-3,
                "{host} from {before} to {weight} in a second"
            );
        }
        last = now;
        for front in 0..4 {
            for class in CLASSES {
                let lines = fleet.serving(front, class);
                assert!(!lines.is_empty(), "nothing to pick for {class}");
                assert!(
                    n < 11 || !lines.contains_key("host-2"),
                    "a drained host is held"
                );
                let warm = lines
                    .iter()
                    .filter(|(name, _)| !["host-8", "host-9"].contains(&name.as_str()));
                let most = warm.map(|(_, line)| line.1).max().unwrap_or(0);
                for cold in ["host-8", "host-9"]
                    .iter()
                    .filter(|_| (11..25).contains(&n))
                {
                    assert!(
                        lines.get(*cold).is_none_or(|line| line.1 <= most.max(1)),
                        "{cold}: {lines:?}"
                    );
                }
            }
        }
    }
    // Orders to one proxy within ten seconds.
    for front in &fleet.fronts {
        let times: Vec<u64> = front.orders.iter().map(|(at, _)| *at).collect();
        for at in &times {
            let near = times
                .iter()
                .filter(|other| (at.saturating_sub(10 * SECOND)..=*at).contains(*other));
            assert!(near.count() <= 12);
        }
    }
}

#[test]
fn weights_change_few_orders_when_nothing_changes() {
    let mut listed = SimulatedFleet::open(&site(4), 8);
    listed.run(3_000);
    // The module's own easing by times goes on with both.
    let messages = [solved(4, 8), listed].map(|mut fleet| {
        for _ in 0..40 {
            second(&mut fleet, "host-3");
        }
        let before: usize = fleet.fronts.iter().map(|front| front.orders.len()).sum();
        for _ in 0..60 {
            second(&mut fleet, "host-3");
        }
        fleet
            .fronts
            .iter()
            .map(|front| front.orders.len())
            .sum::<usize>()
            - before
    });
    assert!(
        messages[0] <= messages[1] + 16,
        "{messages:?} messages to four proxies within a quiet minute"
    );
}

#[test]
fn a_run_with_plans_replays_to_the_same() {
    let mut fleet = solved(4, 8);
    for n in 0..20 {
        fleet.solver = if n % 7 == 3 {
            Solver::Fails
        } else {
            Solver::Answers
        };
        second(&mut fleet, "host-3");
    }
    let mut site = site(4);
    site.weight_source = WeightSource::Solved;
    let mut core = Core::new(&site, 7, 1, START, Time::from_micros(START));
    let mut outputs = Vec::new();
    for (at, input) in &fleet.inputs {
        let text = serde_json::to_string(input).expect("an input can be recorded");
        let input: Input = serde_json::from_str(&text).expect("and read");
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
