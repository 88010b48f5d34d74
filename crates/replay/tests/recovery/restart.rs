//! Cores that start with a recovered state.

use crate::harness::{START, host, site};
use pondarch_config::hosts::HostState;
use pondarch_controller::Time;
use pondarch_daemon_core::{Core, Input};

/// The wall clock jumps back or forward by ten minutes while the controller is down. Recovered times are shifted with
/// it, so that drains and slow starts keep their age.
#[test]
fn recovered_times_follow_a_clock_that_jumped() {
    let mut core = Core::new(&site(false), 7, 1, START, Time::from_micros(START));
    let handle_input = |core: &mut Core, at: u64, input| {
        core.handle(Time::from_micros(at), input);
        while core.next_output().is_some() {}
    };
    let hosts: Vec<_> = (0..8).map(|n| host(n, HostState::Ready, None)).collect();
    handle_input(
        &mut core,
        START,
        Input::EndpointList {
            generation: Some(1),
            hosts: hosts.clone(),
        },
    );
    let mut changed_hosts = hosts;
    changed_hosts.push(host(8, HostState::Ready, None));
    changed_hosts[2].state = HostState::Drain;
    handle_input(
        &mut core,
        START + 5_000_000,
        Input::EndpointList {
            generation: Some(2),
            hosts: changed_hosts,
        },
    );
    let state = core.state_to_recover();
    for jump in [-600_000_000i64, 600_000_000] {
        // The machine's monotonic clock advanced by 3 s since the last record.
        let now = (START as i64 + 8_000_000 + jump) as u64;
        let rebased = state.clone().rebased_to_clock(now, 3_000_000);
        let rebased_host = |n: usize| rebased.hosts()[n].clone();
        assert_eq!(
            now - rebased_host(2).draining_since_us.expect("a draining host"),
            3_000_000,
            "the drain began 3 s ago"
        );
        assert_eq!(
            now - rebased_host(8).started_us,
            3_000_000,
            "the host started 3 s ago and is warming up"
        );
        assert_eq!(
            rebased_host(0).started_us,
            0,
            "a host on the first list counts as started long ago"
        );
    }
}

/// While the controller is down, two hosts are replaced: one has a new address, the other a new start time. Both must
/// be treated as started hosts, although the recovered state has their names.
#[test]
fn a_host_replaced_while_the_controller_was_down_is_warming_up() {
    let mut first_run = Core::new(&site(false), 7, 1, START, Time::from_micros(START));
    let hosts: Vec<_> = (0..8).map(|n| host(n, HostState::Ready, None)).collect();
    first_run.handle(
        Time::from_micros(START),
        Input::EndpointList {
            generation: Some(4),
            hosts: hosts.clone(),
        },
    );
    let state = first_run.state_to_recover();
    let at = START + 60_000_000;
    let mut next_run = Core::new(&site(false), 9, 2, START + 1, Time::from_micros(at));
    next_run.handle(Time::from_micros(at), Input::Recovered(Box::new(state)));
    let mut changed_hosts = hosts;
    changed_hosts[3].address.set_port(9_000);
    changed_hosts[4].started = Some((at - 2_000_000) as f64 / 1e6);
    next_run.handle(
        Time::from_micros(at + 10),
        Input::EndpointList {
            generation: Some(5),
            hosts: changed_hosts.clone(),
        },
    );
    let started_us = |core: &Core, n: usize| core.state_to_recover().hosts()[n].started_us;
    assert_eq!(
        (
            started_us(&next_run, 3),
            started_us(&next_run, 4),
            started_us(&next_run, 5)
        ),
        (at + 10, at - 2_000_000, 0)
    );
    // A list of an older generation is rejected also after a restart of the controller.
    next_run.handle(
        Time::from_micros(at + 20),
        Input::EndpointList {
            generation: Some(3),
            hosts: Vec::new(),
        },
    );
    assert_eq!(next_run.state_to_recover().hosts().len(), 8);
}

/// The endpoint list was lost in a gap, so the recovered state has no hosts. It must not be taken for an empty list:
/// the proxies keep their tables until a list comes.
#[test]
fn a_recovered_state_without_hosts_is_no_endpoint_list() {
    let mut core = Core::new(&site(false), 7, 1, START, Time::from_micros(START));
    core.handle(Time::from_micros(START), Input::Recovered(Box::default()));
    let mut now = START;
    let mut handle_input = |core: &mut Core, input: Input| {
        now += 50_000;
        core.handle(Time::from_micros(now), input);
        while core.next_output().is_some() {}
    };
    handle_input(
        &mut core,
        Input::Command {
            caller: 1,
            level: 3,
            line: "help".into(),
        },
    );
    for _ in 0..100 {
        handle_input(&mut core, Input::TimerExpired);
    }
    let hosts = (0..8).map(|n| host(n, HostState::Ready, None)).collect();
    handle_input(
        &mut core,
        Input::EndpointList {
            generation: Some(1),
            hosts,
        },
    );
    assert_eq!(core.state_to_recover().hosts().len(), 8);
}
