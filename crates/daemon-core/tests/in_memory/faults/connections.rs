//! Proxies that fall silent, answer out of turn or restart.

use super::{holds_its_table, settled};
use crate::simulated_fleet::*;
use pondarch_config::hosts::HostState;
use pondarch_daemon_core::{Event, Input};

#[test]
fn a_proxy_that_answers_nothing_holds_nobody_up_and_is_hung_up() {
    let mut fleet = settled(8, 12);
    fleet.fronts[0].fault = Fault::Silent;
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    hosts[2].state = HostState::Drain;
    fleet.list(hosts);
    fleet.run(500);
    for n in 1..8 {
        assert!(
            !fleet.serving(n, "proof").contains_key("host-2"),
            "front-{n} waits for front-0"
        );
    }
    assert!(fleet.info("LinesWaiting") <= 8_000);
    fleet.run(3_000);
    let left = |event: &Event| matches!(event, Event::ProxyLeft { proxy, reason } if proxy == "front-0" && reason.contains("unanswered"));
    assert!(fleet.events.iter().any(left));
    assert_eq!(fleet.info("ProxiesJoined"), 7);
    assert_eq!(fleet.info("LinesWaiting"), 0);
    // It comes back, and gets what it missed.
    fleet.fronts[0].fault = Fault::None;
    fleet.run(12_000);
    assert_eq!(fleet.info("ProxiesJoined"), 8);
    assert!(!fleet.serving(0, "proof").contains_key("host-2"));
}

#[test]
fn answers_of_an_old_connection_say_nothing() {
    let mut fleet = settled(1, 8);
    let old = fleet.fronts[0].conn.expect("connected");
    fleet.drop_link(0);
    fleet.give(Input::Answer {
        proxy: 0,
        connection: old,
        text: "1\n# nonsense".into(),
    });
    fleet.give(Input::Disconnected {
        proxy: 0,
        connection: old,
        reason: "again".into(),
    });
    fleet.run(4_000);
    fleet.give(Input::Answer {
        proxy: 0,
        connection: old,
        text: "late".into(),
    });
    assert_eq!(fleet.info("ProxiesJoined"), 1);
    holds_its_table(&mut fleet, 0);
}

#[test]
fn an_unexpected_answer_ends_the_connection() {
    let mut fleet = settled(1, 8);
    let conn = fleet.fronts[0].conn.expect("connected");
    // Quiet: all was answered. One answer more means that both ends count differently.
    fleet.run(100);
    fleet.give(Input::Answer {
        proxy: 0,
        connection: conn,
        text: String::new(),
    });
    assert!(fleet.events.iter().any(
        |e| matches!(e, Event::ProxyLeft { reason, .. } if reason.contains("nothing asked for"))
    ));
    fleet.run(4_000);
    assert_eq!(fleet.info("ProxiesJoined"), 1);
}

#[test]
fn a_restart_within_a_report_period_is_a_fresh_proxy_and_no_negative_sum() {
    let mut fleet = settled(1, 8);
    fleet.traffic(0, 40, 2, 100);
    fleet.run(2_000);
    let fresh = pondarch_proxy_core::proxy_state::ProxyState::new("front-0", 999, &CLASSES);
    fleet.fronts[0].tables = fresh;
    fleet.drop_link(0);
    fleet.run(1_000);
    let joined = fleet.events.iter().rev().find_map(|event| match event {
        Event::ProxyJoined { fresh, .. } => Some(*fresh),
        _ => None,
    });
    assert_eq!(joined, Some(true));
    holds_its_table(&mut fleet, 0);
    fleet.traffic(0, 5, 1, 100);
    fleet.run(2_500);
    let stat = fleet.command(0, "show stat");
    let rows = pondarch_runtime_api::stat::read(stat.trim_end()).expect("stat");
    let used = rows.iter().filter(|row| {
        row.backend == "hosts" && row.total_sessions + row.attempt_totals().succeeded > 0
    });
    let sums: Vec<_> = used.map(|row| row.attempt_totals()).collect();
    assert!(!sums.is_empty());
    // Five completed and one failed for each of three request classes, counted from 0 and once.
    assert!(
        sums.iter()
            .all(|sums| sums.succeeded == 15 && sums.failed == 3),
        "{sums:?}"
    );
}
