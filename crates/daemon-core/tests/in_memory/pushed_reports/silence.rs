//! Senders that fall silent, pauses of the controller, limits; and a replay of all of it.

use super::*;

/// A host that serves and tells nothing of itself any more is judged by what proxies meet there.
#[test]
fn a_host_whose_own_reports_stop_is_not_dead() {
    let mut fleet = fleet(None, 12);
    let mut pushers: Vec<Pusher> = (0..6).map(|n| Pusher::proxy(n, 0)).collect();
    pushers
        .iter_mut()
        .for_each(|pusher| pusher.come(&mut fleet));
    let mut hosts: Vec<Pusher> = (0..12)
        .map(|n| Pusher {
            name: format!("host-{n}"),
            is: SenderIs::Host,
            ..Pusher::proxy(200 + n, 0)
        })
        .collect();
    hosts.iter_mut().for_each(|host| host.come(&mut fleet));
    let own = Own {
        busy: Some(0.4),
        waiting: Some(0.0),
        rate: Some(20.0),
        ..Own::default()
    };
    let mut before = BTreeMap::new();
    for step in 0..30 {
        for (n, host) in hosts
            .iter_mut()
            .enumerate()
            .filter(|(n, _)| step < 10 || *n != 4)
        {
            let report = host.report(
                &fleet,
                Body {
                    own: Some(own),
                    counted: Vec::new(),
                },
            );
            host.send(&mut fleet, report);
            assert!(n < 12);
        }
        second(&mut fleet, &mut pushers);
        if step == 9 {
            before = weights(&mut fleet);
        }
    }
    let after = weights(&mut fleet);
    assert!(
        after["host-4"] > before["host-4"] * 0.8,
        "{} after {}",
        after["host-4"],
        before["host-4"]
    );
}

/// Nothing arrives for 3 s, as the controller itself stood still: that makes no host silent.
#[test]
fn a_controller_that_stood_still_blames_nobody() {
    let mut fleet = fleet(None, 12);
    let mut pushers: Vec<Pusher> = (0..6).map(|n| Pusher::proxy(n, 0)).collect();
    pushers
        .iter_mut()
        .for_each(|pusher| pusher.come(&mut fleet));
    for _ in 0..10 {
        second(&mut fleet, &mut pushers);
    }
    let before = weights(&mut fleet);
    for interval in 0..3 {
        fleet.now += 3_000_000;
        // What waited comes at once, proxy by proxy, each with time passing between.
        for (n, pusher) in pushers.iter_mut().enumerate() {
            fleet.traffic(n, 15, 0, 40);
            pusher.push(&mut fleet, n);
            fleet.run(20);
        }
        fleet.run(2_000);
        let after = weights(&mut fleet);
        let out = before
            .iter()
            .filter(|(host, weight)| after.get(*host).is_none_or(|after| *after < **weight * 0.5));
        assert_eq!(out.count(), 0, "interval {interval}");
        second(&mut fleet, &mut pushers);
    }
}

/// Under a budget of a fifth of the hosts, a host that fails is found as soon as without one.
#[test]
fn a_budget_of_lines_hides_no_failing_host() {
    let noticed = |budget: Option<f64>| {
        let mut fleet = fleet(budget, 30);
        let mut pushers: Vec<Pusher> = (0..6).map(|n| Pusher::proxy(n, 0)).collect();
        pushers
            .iter_mut()
            .for_each(|pusher| pusher.come(&mut fleet));
        for _ in 0..12 {
            second(&mut fleet, &mut pushers);
        }
        let bad = weights(&mut fleet)
            .into_iter()
            .find(|(_, weight)| *weight > 0.0)
            .expect("a host")
            .0;
        for step in 0..40 {
            fleet.run(500);
            for (n, pusher) in pushers.iter_mut().enumerate() {
                fleet.traffic(n, 6, 0, 40);
                for backend in fleet.fronts[n].tables.backends.values_mut() {
                    if let Some(server) = backend
                        .servers
                        .get_mut(&bad)
                        .filter(|server| server.is_serving())
                    {
                        server.results.succeeded -= 6;
                        server.results.failed += 6;
                    }
                }
                pusher.push(&mut fleet, n);
            }
            fleet.run(500);
            if weights(&mut fleet)
                .get(&bad)
                .is_none_or(|weight| *weight == 0.0)
            {
                return step;
            }
        }
        99
    };
    let all = noticed(None);
    let some = noticed(Some(6.0));
    assert!(some <= all + 2, "{some} rounds for {all}");
}

#[test]
fn a_pushed_run_replays_to_the_same() {
    let mut fleet = fleet(Some(5.0), 12);
    let mut pushers: Vec<Pusher> = (0..6).map(|n| Pusher::proxy(n, n as i64 * 60)).collect();
    pushers
        .iter_mut()
        .for_each(|pusher| pusher.come(&mut fleet));
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    for step in 0..12 {
        second(&mut fleet, &mut pushers);
        if step == 6 {
            hosts[4].state = HostState::Drain;
            fleet.list(hosts.clone());
        }
    }
    let text = serde_json::to_string(&fleet.inputs).expect("inputs can be written");
    let inputs: Vec<(u64, Input)> = serde_json::from_str(&text).expect("and read");
    let play = || {
        let mut site = site(6);
        site.load_reports.push_endpoint = Some("unix:/push".parse().expect("a path"));
        site.load_reports.max_lines_per_second = Some(5.0);
        let mut core = pondarch_daemon_core::Core::new(
            &site,
            7,
            1,
            START,
            pondarch_controller::Time::from_micros(START),
        );
        let mut outputs = Vec::new();
        for (at, input) in &inputs {
            core.handle(pondarch_controller::Time::from_micros(*at), input.clone());
            outputs.extend(std::iter::from_fn(|| core.next_output()));
        }
        serde_json::to_string(&outputs).expect("written")
    };
    assert_eq!(play(), play());
}
