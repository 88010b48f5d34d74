//! A core that starts with the recovered state.

use crate::harness::{START, host, site};
use pondarch_config::hosts::HostState;
use pondarch_controller::Time;
use pondarch_daemon_core::{Core, Input};

/// A clock that went back by ten minutes while the controller was down, and one that went on by ten.
#[test]
fn recovered_times_follow_a_clock_that_jumped() {
    let mut core = Core::new(&site(false), 7, 1, START, Time::from_micros(START));
    let give = |core: &mut Core, at: u64, input| {
        core.handle(Time::from_micros(at), input);
        while core.next_output().is_some() {}
    };
    let hosts: Vec<_> = (0..8).map(|n| host(n, HostState::Ready, None)).collect();
    give(
        &mut core,
        START,
        Input::EndpointList {
            generation: Some(1),
            hosts: hosts.clone(),
        },
    );
    let mut later = hosts;
    later.push(host(8, HostState::Ready, None));
    later[2].state = HostState::Drain;
    give(
        &mut core,
        START + 5_000_000,
        Input::EndpointList {
            generation: Some(2),
            hosts: later,
        },
    );
    let state = core.state_to_recover();
    for jump in [-600_000_000i64, 600_000_000] {
        // 3 s later by the machine's own count.
        let now = (START as i64 + 8_000_000 + jump) as u64;
        let moved = state.clone().rebased_to_clock(now, 3_000_000);
        let of = |n: usize| moved.hosts()[n].clone();
        assert_eq!(
            now - of(2).draining_since_us.expect("a time"),
            3_000_000,
            "the drain began 3 s ago"
        );
        assert_eq!(
            now - of(8).started_us,
            3_000_000,
            "the host is 3 s old, and warming up"
        );
        assert_eq!(of(0).started_us, 0, "this one started long before");
    }
}

/// The list says that another process has the name: the old one was known to the run before.
#[test]
fn a_host_replaced_while_the_controller_was_down_is_warming_up() {
    let mut first = Core::new(&site(false), 7, 1, START, Time::from_micros(START));
    let hosts: Vec<_> = (0..8).map(|n| host(n, HostState::Ready, None)).collect();
    first.handle(
        Time::from_micros(START),
        Input::EndpointList {
            generation: Some(4),
            hosts: hosts.clone(),
        },
    );
    let state = first.state_to_recover();
    let at = START + 60_000_000;
    let mut next = Core::new(&site(false), 9, 2, START + 1, Time::from_micros(at));
    next.handle(Time::from_micros(at), Input::Recovered(Box::new(state)));
    let mut later = hosts;
    later[3].address.set_port(9_000);
    later[4].started = Some((at - 2_000_000) as f64 / 1e6);
    next.handle(
        Time::from_micros(at + 10),
        Input::EndpointList {
            generation: Some(5),
            hosts: later.clone(),
        },
    );
    let started = |core: &Core, n: usize| core.state_to_recover().hosts()[n].started_us;
    assert_eq!(
        (started(&next, 3), started(&next, 4), started(&next, 5)),
        (at + 10, at - 2_000_000, 0)
    );
    // An older copy of the file is refused also over a restart.
    next.handle(
        Time::from_micros(at + 20),
        Input::EndpointList {
            generation: Some(3),
            hosts: Vec::new(),
        },
    );
    assert_eq!(next.state_to_recover().hosts().len(), 8);
}

/// The list was lost in a gap, and what is on record tells of no host: no list has come, and what proxies hold stands.
#[test]
fn a_recovered_state_without_hosts_is_no_endpoint_list() {
    let mut core = Core::new(&site(false), 7, 1, START, Time::from_micros(START));
    core.handle(Time::from_micros(START), Input::Recovered(Box::default()));
    let mut now = START;
    let mut give = |core: &mut Core, input: Input| {
        now += 50_000;
        core.handle(Time::from_micros(now), input);
        while core.next_output().is_some() {}
    };
    give(
        &mut core,
        Input::Command {
            caller: 1,
            level: 3,
            line: "help".into(),
        },
    );
    for _ in 0..100 {
        give(&mut core, Input::TimerExpired);
    }
    let hosts = (0..8).map(|n| host(n, HostState::Ready, None)).collect();
    give(
        &mut core,
        Input::EndpointList {
            generation: Some(1),
            hosts,
        },
    );
    assert_eq!(core.state_to_recover().hosts().len(), 8);
}
