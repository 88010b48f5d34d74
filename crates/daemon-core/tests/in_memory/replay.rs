//! The same inputs give the same outputs, byte for byte.

use crate::simulated_fleet::*;
use pondarch_config::hosts::HostState;
use pondarch_controller::Time;
use pondarch_daemon_core::{Core, Input, Output};
use proptest::prelude::*;

fn played(inputs: &[(u64, Input)], site: &pondarch_config::SiteSettings) -> Vec<Output> {
    let mut core = Core::new(site, 7, 1, START, Time::from_micros(START));
    let mut outputs = Vec::new();
    for (at, input) in inputs {
        core.handle(Time::from_micros(*at), input.clone());
        outputs.extend(std::iter::from_fn(|| core.next_output()));
    }
    outputs
}

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Standing(usize, HostState),
    Restart(usize),
    Broken(usize),
    Away(usize, bool),
    Fault(usize, Fault),
    Traffic(usize, u64, u64, u64),
    Operator(&'static str),
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![
        Just(HostState::Ready),
        Just(HostState::Drain),
        Just(HostState::Gone)
    ];
    let fault = prop_oneof![
        (0..30usize).prop_map(Fault::CutAfter),
        Just(Fault::Twice),
        (0..9usize).prop_map(Fault::Refuse),
        Just(Fault::Silent),
        Just(Fault::None),
    ];
    let line = prop_oneof![
        Just("set server hosts/host-2 state drain; set server hosts/host-2 weight 3"),
        Just("set server hosts/host-2 state ready"),
        Just("add server hosts/extra 127.0.0.9:80 weight 2; set server hosts/extra state ready"),
        Just("show servers state; nonsense; show stat"),
    ];
    prop_oneof![
        4 => (10..4_000u64).prop_map(Step::Wait),
        2 => (0..14usize, state).prop_map(|(n, state)| Step::Standing(n, state)),
        1 => (0..14usize).prop_map(Step::Restart),
        1 => (0..6usize).prop_map(Step::Broken),
        1 => (0..6usize, any::<bool>()).prop_map(|(n, up)| Step::Away(n, up)),
        2 => (0..6usize, fault).prop_map(|(n, fault)| Step::Fault(n, fault)),
        3 => (0..6usize, 0..40u64, 0..40u64, 1..900u64).prop_map(|(n, d, e, m)| Step::Traffic(n, d, e, m)),
        1 => line.prop_map(Step::Operator),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, failure_persistence: None, ..ProptestConfig::default() })]

    /// A random course with every fault: rules that can be seen here hold after each step, and a replay of what
    /// was recorded, by way of its text, gives the same outputs.
    #[test]
    fn any_course_keeps_the_rules_and_replays(steps in prop::collection::vec(step(), 1..30)) {
        let site = site(6);
        let mut fleet = SimulatedFleet::open(&site, 14);
        let mut hosts: Vec<_> = (0..14).map(host).collect();
        fleet.run(2_000);
        for step in steps {
            match step {
                Step::Wait(ms) => fleet.run(ms),
                Step::Standing(n, state) => {
                    hosts[n].state = state;
                    fleet.list(hosts.clone());
                }
                Step::Restart(n) => {
                    hosts[n].started = Some(fleet.now as f64 / 1e6);
                    fleet.list(hosts.clone());
                }
                Step::Broken(n) => fleet.drop_link(n),
                Step::Away(n, up) => {
                    fleet.fronts[n].up = up;
                    if !up {
                        fleet.drop_link(n);
                    }
                }
                Step::Fault(n, fault) => fleet.fronts[n].fault = fault,
                Step::Traffic(n, done, failed, mean) => fleet.traffic(n, done, failed, mean),
                Step::Operator(line) => drop(fleet.command(2, line)),
            }
            fleet.deliver();
            for front in &fleet.fronts {
                let since = fleet.now.saturating_sub(10 * SECOND);
                let lately = front.orders.iter().filter(|(at, _)| *at > since).count();
                prop_assert!(lately <= 12, "{lately} messages within the window");
            }
            prop_assert!(fleet.info("LinesWaiting") <= 8_000);
        }
        let text = serde_json::to_string(&fleet.inputs).expect("inputs can be written");
        let inputs: Vec<(u64, Input)> = serde_json::from_str(&text).expect("and read");
        let again = played(&inputs, &site);
        prop_assert_eq!(serde_json::to_string(&again).ok(), serde_json::to_string(&fleet.outputs).ok());
    }
}
