//! Tests that the same inputs give the same outputs, byte for byte.

use crate::simulated_fleet::*;
use pondarch_config::hosts::HostState;
use pondarch_controller::Time;
use pondarch_daemon_core::{Core, Input, Output};
use proptest::prelude::*;

/// The outputs of a new core for recorded inputs.
fn replay(inputs: &[(u64, Input)], site: &pondarch_config::SiteSettings) -> Vec<Output> {
    let mut core = Core::new(site, 7, 1, START, Time::from_micros(START));
    let mut outputs = Vec::new();
    for (at, input) in inputs {
        core.handle(Time::from_micros(*at), input.clone());
        outputs.extend(std::iter::from_fn(|| core.next_output()));
    }
    outputs
}

/// A step of a random run. The first number of most is the index of a host or proxy.
#[derive(Clone, Debug)]
enum Step {
    /// Milliseconds.
    Wait(u64),
    SetHostState(usize, HostState),
    RestartHost(usize),
    BreakConnection(usize),
    /// Whether the proxy can be reached.
    SetProxyUp(usize, bool),
    Fault(usize, Fault),
    /// Requests done, requests failed, and mean latency in milliseconds.
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
        (0..30usize).prop_map(Fault::DisconnectAfter),
        Just(Fault::ExecuteTwice),
        (0..9usize).prop_map(Fault::RejectCommand),
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
        2 => (0..14usize, state).prop_map(|(n, state)| Step::SetHostState(n, state)),
        1 => (0..14usize).prop_map(Step::RestartHost),
        1 => (0..6usize).prop_map(Step::BreakConnection),
        1 => (0..6usize, any::<bool>()).prop_map(|(n, up)| Step::SetProxyUp(n, up)),
        2 => (0..6usize, fault).prop_map(|(n, fault)| Step::Fault(n, fault)),
        3 => (0..6usize, 0..40u64, 0..40u64, 1..900u64).prop_map(|(n, done, failed, mean)| Step::Traffic(n, done, failed, mean)),
        1 => line.prop_map(Step::Operator),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, failure_persistence: None, ..ProptestConfig::default() })]

    /// A random run with all faults: the limits on messages and on lines in flight hold after each step, and a replay
    /// of the inputs, serialized and read again, gives the same outputs.
    #[test]
    fn random_runs_stay_within_the_limits_and_replay_to_the_same_outputs(steps in prop::collection::vec(step(), 1..30)) {
        let site = site(6);
        let mut fleet = SimulatedFleet::new(&site, 14);
        let mut hosts: Vec<_> = (0..14).map(host).collect();
        fleet.run(2_000);
        for step in steps {
            match step {
                Step::Wait(ms) => fleet.run(ms),
                Step::SetHostState(n, state) => {
                    hosts[n].state = state;
                    fleet.apply_list(hosts.clone());
                }
                Step::RestartHost(n) => {
                    hosts[n].started = Some(fleet.now as f64 / 1e6);
                    fleet.apply_list(hosts.clone());
                }
                Step::BreakConnection(n) => fleet.disconnect(n),
                Step::SetProxyUp(n, up) => {
                    fleet.proxies[n].up = up;
                    if !up {
                        fleet.disconnect(n);
                    }
                }
                Step::Fault(n, fault) => fleet.proxies[n].fault = fault,
                Step::Traffic(n, done, failed, mean) => fleet.traffic(n, done, failed, mean),
                Step::Operator(line) => drop(fleet.command(2, line)),
            }
            fleet.deliver();
            for proxy in &fleet.proxies {
                let since = fleet.now.saturating_sub(10 * SECOND);
                let within_window = proxy.updates.iter().filter(|(at, _)| *at > since).count();
                prop_assert!(within_window <= 12, "{within_window} messages within the window");
            }
            prop_assert!(fleet.info("LinesWaiting") <= 8_000);
        }
        let text = serde_json::to_string(&fleet.inputs).expect("serializable inputs");
        let inputs: Vec<(u64, Input)> = serde_json::from_str(&text).expect("deserializable inputs");
        let replayed = replay(&inputs, &site);
        prop_assert_eq!(serde_json::to_string(&replayed).ok(), serde_json::to_string(&fleet.outputs).ok());
    }
}
