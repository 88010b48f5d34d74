//! Tests of proxies that stop replying, send unexpected replies, or restart.

use super::{assert_holds_its_table, joined_fleet};
use crate::simulated_fleet::*;
use pondarch_config::hosts::HostState;
use pondarch_daemon_core::{Event, Input};

#[test]
fn a_silent_proxy_delays_no_other_and_is_disconnected() {
    let mut fleet = joined_fleet(8, 12);
    fleet.proxies[0].fault = Fault::Silent;
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    hosts[2].state = HostState::Drain;
    fleet.apply_list(hosts);
    fleet.run(500);
    for n in 1..8 {
        assert!(
            !fleet.serving(n, "proof").contains_key("host-2"),
            "front-{n} waits for front-0"
        );
    }
    assert!(fleet.info("LinesWaiting") <= 8_000);
    fleet.run(3_000);
    let has_left = |event: &Event| matches!(event, Event::ProxyLeft { proxy, reason } if proxy == "front-0" && reason.contains("unanswered"));
    assert!(fleet.events.iter().any(has_left));
    assert_eq!(fleet.info("ProxiesJoined"), 7);
    assert_eq!(fleet.info("LinesWaiting"), 0);
    // It is dialled again, and gets the update that it missed.
    fleet.proxies[0].fault = Fault::None;
    fleet.run(12_000);
    assert_eq!(fleet.info("ProxiesJoined"), 8);
    assert!(!fleet.serving(0, "proof").contains_key("host-2"));
}

#[test]
fn replies_of_an_earlier_connection_are_ignored() {
    let mut fleet = joined_fleet(1, 8);
    let earlier = fleet.proxies[0].connection.expect("connected");
    fleet.disconnect(0);
    fleet.apply(Input::Answer {
        proxy: 0,
        connection: earlier,
        text: "1\n# nonsense".into(),
    });
    fleet.apply(Input::Disconnected {
        proxy: 0,
        connection: earlier,
        reason: "again".into(),
    });
    fleet.run(4_000);
    fleet.apply(Input::Answer {
        proxy: 0,
        connection: earlier,
        text: "late".into(),
    });
    assert_eq!(fleet.info("ProxiesJoined"), 1);
    assert_holds_its_table(&mut fleet, 0);
}

#[test]
fn an_unexpected_reply_closes_the_connection() {
    let mut fleet = joined_fleet(1, 8);
    let connection = fleet.proxies[0].connection.expect("connected");
    // All commands have their replies by now. A further one means that the two ends have lost count of replies.
    fleet.run(100);
    fleet.apply(Input::Answer {
        proxy: 0,
        connection,
        text: String::new(),
    });
    assert!(fleet.events.iter().any(
        |event| matches!(event, Event::ProxyLeft { reason, .. } if reason.contains("nothing asked for"))
    ));
    fleet.run(4_000);
    assert_eq!(fleet.info("ProxiesJoined"), 1);
}

#[test]
fn a_proxy_that_restarts_within_a_report_interval_joins_as_fresh_and_its_counters_start_at_zero() {
    let mut fleet = joined_fleet(1, 8);
    fleet.traffic(0, 40, 2, 100);
    fleet.run(2_000);
    let restarted = pondarch_proxy_core::proxy_state::ProxyState::new("front-0", 999, &CLASSES);
    fleet.proxies[0].state = restarted;
    fleet.disconnect(0);
    fleet.run(1_000);
    let joined = fleet.events.iter().rev().find_map(|event| match event {
        Event::ProxyJoined { fresh, .. } => Some(*fresh),
        _ => None,
    });
    assert_eq!(joined, Some(true));
    assert_holds_its_table(&mut fleet, 0);
    fleet.traffic(0, 5, 1, 100);
    fleet.run(2_500);
    let stat = fleet.command(0, "show stat");
    let rows = pondarch_runtime_api::stat::read(stat.trim_end()).expect("a valid stat");
    let used = rows.iter().filter(|row| {
        row.backend == "hosts" && row.total_sessions + row.attempt_totals().succeeded > 0
    });
    let sums: Vec<_> = used.map(|row| row.attempt_totals()).collect();
    assert!(!sums.is_empty());
    // Five completed and one failed request for each of three request classes, counted once and from 0.
    assert!(
        sums.iter()
            .all(|sums| sums.succeeded == 15 && sums.failed == 3),
        "{sums:?}"
    );
}
