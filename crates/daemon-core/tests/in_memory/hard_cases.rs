//! Each test is one hard case of the front towards proxies.

use crate::town::*;
use pondarch_config::hosts::HostState;
use pondarch_daemon_core::{Event, Input};
use proptest::prelude::*;

fn settled(proxies: usize, hosts: usize) -> Town {
    let mut town = Town::open(&site(proxies), hosts);
    town.run(3_000);
    assert_eq!(town.info("ProxiesJoined"), proxies as u64);
    town
}

/// The proxy holds just what the steward's own table says, for every kind.
fn holds_its_table(town: &mut Town, n: usize) {
    let map = town.command(2, &format!("get map proxies front-{n}"));
    let table = map
        .split_whitespace()
        .find_map(|w| w.split('"').find(|w| w.starts_with("table-")))
        .map(str::to_string);
    let table = table.unwrap_or_else(|| panic!("front-{n} has no table: {map}"));
    let state = town.command(2, &format!("show servers state {table}"));
    let state = pondarch_runtime_api::state::read_state(state.trim_end()).expect("a state");
    let wanted: std::collections::BTreeMap<_, _> = state
        .into_iter()
        .map(|s| (s.server, (s.addr, s.weight)))
        .collect();
    for kind in KINDS {
        assert_eq!(town.serving(n, kind), wanted, "front-{n}, {kind}");
    }
}

#[test]
fn joined_proxies_hold_their_tables_and_only_safe_further_tries_are_ordered() {
    let mut town = settled(6, 12);
    for n in 0..6 {
        holds_its_table(&mut town, n);
        for kind in KINDS {
            assert_eq!(
                town.fronts[n].tables.entry("pond_tries", kind),
                Some("unsent")
            );
        }
    }
}

#[test]
fn orders_delivered_twice_change_nothing_more() {
    let mut town = settled(1, 12);
    town.fronts[0].fault = Fault::Twice;
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    hosts[3].state = HostState::Drain;
    hosts[5].weight = 3.0;
    town.list(hosts);
    town.run(4_000);
    assert_eq!(town.fronts[0].fault, Fault::None, "no orders came");
    holds_its_table(&mut town, 0);
    assert_eq!(
        town.fronts[0].tables.entry("pond_tries", "release"),
        Some("unsent")
    );
    assert!(
        town.events
            .iter()
            .all(|event| !matches!(event, Event::UpdateRejected { .. }))
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    /// Cut off after any command: each line is as before or as wanted, a host to pick remains, and the next
    /// connection brings the difference alone.
    #[test]
    fn a_batch_cut_anywhere_is_repaired_by_the_difference(cut in 0..60usize, drained in 0..12usize, rejoin: bool) {
        let mut town = if rejoin { settled(1, 12) } else { Town::open(&site(1), 12) };
        let before = KINDS.map(|kind| town.serving(0, kind));
        let orders = town.fronts[0].orders.len();
        town.fronts[0].fault = Fault::CutAfter(cut);
        if rejoin {
            let mut hosts: Vec<_> = (0..12).map(host).collect();
            hosts[drained].state = HostState::Drain;
            hosts[(drained + 5) % 12].weight = 4.0;
            town.list(hosts);
        }
        // Until the orders came, and not on to the repair.
        for _ in 0..4_000 {
            if town.fronts[0].orders.len() > orders {
                break;
            }
            town.run(1);
        }
        prop_assert_eq!(town.fronts[0].orders.len(), orders + 1);
        let cut_short = town.fronts[0].orders[orders].1.len() > cut;
        let halfway = KINDS.map(|kind| town.serving(0, kind));
        let first: Vec<String> = town.fronts[0].orders[orders].1.clone();
        town.fronts[0].fault = Fault::None;
        town.run(4_000);
        holds_its_table(&mut town, 0);
        for (k, kind) in KINDS.iter().enumerate() {
            prop_assert!(!halfway[k].is_empty(), "nothing to pick for {kind}");
            let after = town.serving(0, kind);
            for (name, line) in &halfway[k] {
                let known = before[k].get(name).is_some_and(|old| old.0 == line.0 || old.1 == line.1)
                    || after.get(name).is_some_and(|new| new.0 == line.0 || new.1 == line.1);
                prop_assert!(known, "{name} of {kind} is neither old nor new: {line:?}");
            }
        }
        if cut_short {
            // What the cut batch had not done, and not what it had.
            let again = &town.fronts[0].orders[orders + 1].1;
            let done = &first[..cut];
            prop_assert!(again.iter().all(|command| !done.contains(command)), "{again:?} repeats of {done:?}");
        }
    }
}

#[test]
fn a_proxy_that_answers_nothing_holds_nobody_up_and_is_hung_up() {
    let mut town = settled(8, 12);
    town.fronts[0].fault = Fault::Silent;
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    hosts[2].state = HostState::Drain;
    town.list(hosts);
    town.run(500);
    for n in 1..8 {
        assert!(
            !town.serving(n, "proof").contains_key("host-2"),
            "front-{n} waits for front-0"
        );
    }
    assert!(town.info("LinesWaiting") <= 8_000);
    town.run(3_000);
    let left = |event: &Event| matches!(event, Event::ProxyLeft { proxy, reason: why } if proxy == "front-0" && why.contains("unanswered"));
    assert!(town.events.iter().any(left));
    assert_eq!(town.info("ProxiesJoined"), 7);
    assert_eq!(town.info("LinesWaiting"), 0);
    // It comes back, and gets what it missed.
    town.fronts[0].fault = Fault::None;
    town.run(12_000);
    assert_eq!(town.info("ProxiesJoined"), 8);
    assert!(!town.serving(0, "proof").contains_key("host-2"));
}

#[test]
fn answers_of_an_old_connection_say_nothing() {
    let mut town = settled(1, 8);
    let old = town.fronts[0].conn.expect("connected");
    town.drop_link(0);
    town.give(Input::Answer {
        proxy: 0,
        connection: old,
        text: "1\n# nonsense".into(),
    });
    town.give(Input::Disconnected {
        proxy: 0,
        connection: old,
        reason: "again".into(),
    });
    town.run(4_000);
    town.give(Input::Answer {
        proxy: 0,
        connection: old,
        text: "late".into(),
    });
    assert_eq!(town.info("ProxiesJoined"), 1);
    holds_its_table(&mut town, 0);
}

#[test]
fn an_answer_nobody_asked_for_ends_the_connection() {
    let mut town = settled(1, 8);
    let conn = town.fronts[0].conn.expect("connected");
    // Quiet: all was answered. One answer more means that both ends count differently.
    town.run(100);
    town.give(Input::Answer {
        proxy: 0,
        connection: conn,
        text: String::new(),
    });
    assert!(town.events.iter().any(
        |e| matches!(e, Event::ProxyLeft { reason: why, .. } if why.contains("nothing asked for"))
    ));
    town.run(4_000);
    assert_eq!(town.info("ProxiesJoined"), 1);
}

#[test]
fn a_restart_within_a_report_period_is_a_fresh_proxy_and_no_negative_sum() {
    let mut town = settled(1, 8);
    town.traffic(0, 40, 2, 100);
    town.run(2_000);
    let fresh = pondarch_proxy_core::holding::Holding::new("front-0", 999, &KINDS);
    town.fronts[0].tables = fresh;
    town.drop_link(0);
    town.run(1_000);
    let joined = town.events.iter().rev().find_map(|event| match event {
        Event::ProxyJoined { fresh, .. } => Some(*fresh),
        _ => None,
    });
    assert_eq!(joined, Some(true));
    holds_its_table(&mut town, 0);
    town.traffic(0, 5, 1, 100);
    town.run(2_500);
    let stat = town.command(0, "show stat");
    let rows = pondarch_runtime_api::stat::read(stat.trim_end()).expect("stat");
    let used = rows
        .iter()
        .filter(|row| row.backend == "hosts" && row.total + row.ended().done > 0);
    let sums: Vec<_> = used.map(|row| row.ended()).collect();
    assert!(!sums.is_empty());
    // Three kinds' five done and one errored each, counted from 0 and once.
    assert!(
        sums.iter().all(|sums| sums.done == 15 && sums.errored == 3),
        "{sums:?}"
    );
}

#[test]
fn a_refused_command_leaves_the_rest_and_is_not_asked_for_without_end() {
    let mut town = settled(1, 12);
    let before = town.fronts[0].orders.len();
    town.fronts[0].fault = Fault::Refuse(1);
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    (0..12).step_by(2).for_each(|n| hosts[n].weight = 4.0);
    town.list(hosts);
    town.run(2_500);
    assert!(town.events.iter().any(
        |e| matches!(e, Event::UpdateRejected { error: wrong, .. } if wrong.contains("Not now"))
    ));
    let few = town.fronts[0].orders.len() - before;
    assert!(few <= 3, "{few} messages for one refusal");
    town.run(8_000);
    holds_its_table(&mut town, 0);
}

/// Its standing hosts are in no table of the steward's: taking them away with the adds refused would leave it bare.
#[test]
fn refused_lines_do_not_cost_a_proxy_those_it_has() {
    let mut town = Town::open(&site(6), 40);
    for backend in town.fronts[0].tables.backends.values_mut() {
        backend.servers.clear();
        let server = pondarch_proxy_core::holding::Server::new(
            addr(99),
            50,
            pondarch_runtime_api::AdminState::Ready,
        );
        backend.servers.insert("elsewhere".into(), server);
    }
    town.fronts[0].fault = Fault::RefuseAdds;
    town.run(20_000);
    for kind in KINDS {
        assert!(
            town.serving(0, kind).contains_key("elsewhere"),
            "nothing to pick for {kind}"
        );
    }
    town.fronts[0].fault = Fault::None;
    town.run(10_000);
    holds_its_table(&mut town, 0);
}

#[test]
fn a_proxy_that_refuses_everything_gets_no_storm() {
    let mut town = settled(1, 12);
    // A table without its backends: every order is refused.
    town.fronts[0].tables.backends.clear();
    let before = town.fronts[0].orders.len();
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    (0..12).step_by(2).for_each(|n| hosts[n].weight = 4.0);
    town.list(hosts);
    town.run(60_000);
    let messages = town.fronts[0].orders.len() - before;
    assert!(messages <= 72, "{messages} messages within a minute");
}

#[test]
fn two_hosts_that_swap_addresses_are_swapped_at_the_proxies() {
    let mut town = settled(4, 8);
    let mut hosts: Vec<_> = (0..8).map(host).collect();
    (hosts[1].address, hosts[2].address) = (hosts[2].address, hosts[1].address);
    // Known to run on: the list says since when.
    hosts
        .iter_mut()
        .for_each(|host| host.started = Some(1_700_000_000.0));
    town.list(hosts);
    town.run(20_000);
    for n in 0..4 {
        for (name, (held, _)) in town.serving(n, "order") {
            let wanted = match name.as_str() {
                "host-1" => addr(2),
                "host-2" => addr(1),
                other => addr(other[5..].parse().expect("a number")),
            };
            assert_eq!(held, wanted, "{name} at front-{n}");
        }
    }
}

#[test]
fn a_host_replaced_under_its_name_is_cold_and_lighter_before_it_is_reached() {
    let mut town = settled(2, 8);
    let old: Vec<_> = (0..2).map(|n| town.serving(n, "proof")).collect();
    let before: Vec<usize> = town.fronts.iter().map(|front| front.orders.len()).collect();
    let mut hosts: Vec<_> = (0..8).map(host).collect();
    hosts[3].address = addr(33);
    town.list(hosts);
    town.run(2_000);
    for n in 0..2 {
        let commands: Vec<&String> = town.fronts[n].orders[before[n]..]
            .iter()
            .flat_map(|(_, c)| c)
            .collect();
        let place = |part: &str| {
            commands
                .iter()
                .position(|c| c.starts_with(&format!("set server proof/host-3 {part}")))
        };
        if !old[n].contains_key("host-3") {
            continue;
        }
        let now = town.serving(n, "proof").get("host-3").copied();
        if let Some((addr_now, units)) = now {
            assert_eq!(addr_now, addr(33));
            assert!(
                units < old[n]["host-3"].1,
                "a cold host with a warm one's weight"
            );
            assert!(place("weight") < place("addr"), "{commands:?}");
        }
    }
}

#[test]
fn broken_and_older_lists_leave_the_last_good_one() {
    let mut town = settled(2, 8);
    town.give(Input::EndpointListRejected {
        error: "hosts.jsonnet:3:1: syntax error".into(),
    });
    town.give(Input::EndpointList {
        generation: Some(0),
        hosts: Vec::new(),
    });
    town.run(3_000);
    assert_eq!(town.info("HostsReady"), 8);
    assert!(
        town.command(0, "show info")
            .contains("ListRefused: the list's version fell")
    );
    holds_its_table(&mut town, 0);
    // An empty list of the right version does count.
    town.list(Vec::new());
    town.run(3_000);
    assert!(town.serving(0, "proof").is_empty());
}

#[test]
fn before_the_first_list_nothing_is_touched() {
    let site = site(2);
    let mut core = pondarch_daemon_core::Core::new(
        &site,
        7,
        1,
        START,
        pondarch_controller::Time::from_micros(START),
    );
    for n in 1..40u64 {
        core.handle(
            pondarch_controller::Time::from_micros(START + n * 250_000),
            Input::TimerExpired,
        );
    }
    let out: Vec<_> = std::iter::from_fn(|| core.next_output()).collect();
    assert!(
        out.iter()
            .all(|o| !matches!(o, pondarch_daemon_core::Output::Write { .. })),
        "{out:?}"
    );
}

#[test]
fn a_join_storm_stays_within_the_queue_and_a_drain_reaches_all() {
    let mut site = site(200);
    site.channel.most_waiting = 2_000.0;
    let mut town = Town::open(&site, 700);
    let mut most = 0;
    for _ in 0..200 {
        town.run(20);
        most = most.max(town.info("LinesWaiting"));
    }
    assert_eq!(town.info("ProxiesJoined"), 200);
    assert!(most <= 2_000, "{most} lines waited");
    let (name, _) = town.serving(0, "proof").into_iter().next().expect("a host");
    let mut hosts: Vec<_> = (0..700).map(host).collect();
    let drained = hosts
        .iter_mut()
        .find(|host| host.name == name)
        .expect("listed");
    drained.state = HostState::Drain;
    town.list(hosts);
    town.run(1_500);
    for n in 0..200 {
        assert!(
            !town.serving(n, "proof").contains_key(&name),
            "front-{n} still holds {name}"
        );
        assert!(!town.serving(n, "proof").is_empty());
    }
}
