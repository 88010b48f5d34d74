//! The hosts of a table in an answer: SRV weights, samples and addresses.

use crate::fixture::{Exchange, answerer, exchange, query, srv_targets, view};
use hickory_proto::op::ResponseCode;
use hickory_proto::rr::RecordType;
use pondarch_controller::{HostId, ProxyId, TableId};
use pondarch_dns_server::{TableHost, Transport, UNBOUND_TABLE};
use std::collections::{BTreeMap, BTreeSet};

#[test]
fn a_large_table_is_sampled_over_udp_and_complete_over_tcp() {
    let mut answerer = answerer(1e6);
    let view = view(120);
    let query = query(
        "_proof._tcp.front-0.pond.example.",
        RecordType::SRV,
        Some(1_232),
    );
    let mut drawn_hosts = BTreeSet::new();
    for _ in 0..60 {
        let answer = exchange(&mut answerer, &view, &query, Transport::Udp).answer;
        assert!(!answer.metadata.truncation);
        let targets = srv_targets(&answer);
        assert!(targets.len() >= 8, "{}", targets.len());
        drawn_hosts.extend(targets.into_iter().map(|(host, _)| host));
    }
    assert!(
        drawn_hosts.len() > 110,
        "only {} hosts were ever drawn",
        drawn_hosts.len()
    );
    let answer = exchange(&mut answerer, &view, &query, Transport::Tcp).answer;
    assert_eq!(srv_targets(&answer).len(), 120);
}

#[test]
fn addresses_are_drawn_by_weight() {
    let mut answerer = answerer(1e6);
    let view = view(6);
    let query = query("proof.front-0.pond.example.", RecordType::A, None);
    let mut first_address_shares = BTreeMap::<String, f64>::new();
    for _ in 0..12_000 {
        let answer = exchange(&mut answerer, &view, &query, Transport::Udp).answer;
        assert_eq!(answer.answers.len(), 4);
        *first_address_shares
            .entry(answer.answers[0].data.to_string())
            .or_default() += 1.0 / 12_000.0;
    }
    for (n, weight) in [1.0, 2.0, 3.0, 1.0, 2.0, 3.0].into_iter().enumerate() {
        let share = first_address_shares
            .get(&format!("127.0.0.{}", n + 1))
            .copied()
            .unwrap_or(0.0);
        assert!((share - weight / 12.0).abs() < 0.02, "{n}: {share}");
    }
}

#[test]
fn an_empty_table_is_answered_with_servfail() {
    let mut answerer = answerer(1e6);
    let mut view = view(6);
    view.tables.values_mut().for_each(Vec::clear);
    let Exchange { answer, proxy, .. } = exchange(
        &mut answerer,
        &view,
        &query("_proof._tcp.front-0.pond.example.", RecordType::SRV, None),
        Transport::Udp,
    );
    assert_eq!(
        (answer.metadata.response_code, proxy),
        (ResponseCode::ServFail, Some(ProxyId(0)))
    );
    view.tables
        .values_mut()
        .next()
        .expect("a table")
        .push(TableHost {
            host: HostId("back".into()),
            address: ([127, 0, 0, 9], 80).into(),
            weight: 0.01,
            warming_up: true,
        });
    let answer = exchange(
        &mut answerer,
        &view,
        &query("_proof._tcp.front-0.pond.example.", RecordType::SRV, None),
        Transport::Udp,
    )
    .answer;
    assert_eq!(
        srv_targets(&answer).len(),
        1,
        "the only host is answered although it is warming up"
    );
}

/// A cache may send each address an even share of its requests, whatever the host's weight.
#[test]
fn a_warming_host_is_answered_as_an_address_only_if_all_are_warming_up() {
    let mut answerer = answerer(1e6);
    let mut view = view(6);
    for host in view.tables.values_mut().flatten() {
        host.warming_up = &*host.host.0 == "host-2";
    }
    let query = query("proof.front-0.pond.example.", RecordType::A, None);
    for _ in 0..500 {
        let answer = exchange(&mut answerer, &view, &query, Transport::Udp).answer;
        assert!(
            answer
                .answers
                .iter()
                .all(|record| record.data.to_string() != "127.0.0.3")
        );
    }
    for host in view.tables.values_mut().flatten() {
        host.warming_up = true;
    }
    let answer = exchange(&mut answerer, &view, &query, Transport::Udp).answer;
    assert_eq!(
        answer.answers.len(),
        4,
        "all hosts are warming up, so they are answered"
    );
}

/// Before the first binding no proxy has a table, but the endpoint list has hosts.
#[test]
fn without_bindings_a_client_gets_a_few_hosts_of_the_endpoint_list() {
    let mut answerer = answerer(1e6);
    let mut view = view(30);
    let all: Vec<TableHost> = view.tables.values().flatten().cloned().collect();
    view.tables = [(UNBOUND_TABLE, all)].into();
    view.bindings.clear();
    let query = query(
        "_proof._tcp.front-0.pond.example.",
        RecordType::SRV,
        Some(1_232),
    );
    let Exchange {
        answer,
        proxy,
        is_anonymous,
    } = exchange(&mut answerer, &view, &query, Transport::Udp);
    assert_eq!(
        (srv_targets(&answer).len(), proxy, is_anonymous),
        (8, Some(ProxyId(0)), false)
    );
    let again = exchange(&mut answerer, &view, &query, Transport::Udp).answer;
    assert_eq!(
        srv_targets(&answer),
        srv_targets(&again),
        "the same hosts for the same client"
    );
}

#[test]
fn a_table_with_only_its_last_hosts_is_answered_for_one_second() {
    let mut answerer = answerer(1e6);
    let mut view = view(6);
    view.last_answers.insert(TableId(0));
    for name in ["_proof._tcp.front-0", "t0.tables"] {
        let query = query(
            &format!("{name}.pond.example."),
            RecordType::SRV,
            Some(1_232),
        );
        let answer = exchange(&mut answerer, &view, &query, Transport::Udp).answer;
        assert!(
            answer
                .answers
                .iter()
                .chain(&answer.additionals)
                .all(|record| record.ttl == 1)
        );
    }
}

/// Picks by SRV weight (RFC 2782) from complete answers and from samples are in proportion to the table's weights.
#[test]
fn each_host_is_picked_in_proportion_to_its_weight() {
    let mut rng = fastrand::Rng::with_seed(9);
    for table in [8, 120] {
        let mut answerer = answerer(1e9);
        let view = view(table);
        let query = query(
            "_proof._tcp.front-0.pond.example.",
            RecordType::SRV,
            Some(1_232),
        );
        let mut picks = BTreeMap::<String, f64>::new();
        // 10 picks from each answer, as by a proxy that caches it: 100,000 picks in total.
        for _ in 0..10_000 {
            let answer = exchange(&mut answerer, &view, &query, Transport::Udp).answer;
            let targets = srv_targets(&answer);
            let total_weight: u32 = targets.iter().map(|(_, weight)| u32::from(*weight)).sum();
            for _ in 0..10 {
                let mut remaining = rng.u32(0..total_weight);
                let picked = targets.iter().find(|(_, weight)| {
                    let is_picked = remaining < u32::from(*weight);
                    remaining = remaining.saturating_sub(u32::from(*weight));
                    is_picked
                });
                *picks
                    .entry(picked.expect("a target").0.clone())
                    .or_default() += 1e-5;
            }
        }
        let sum: f64 = (0..table).map(|n| 1.0 + (n % 3) as f64).sum();
        let deviation = |n: usize| {
            let share = picks
                .get(&format!("host-{n}.hosts.pond.example."))
                .copied()
                .unwrap_or(0.0);
            (share - (1.0 + (n % 3) as f64) / sum).abs()
        };
        let max_deviation = (0..table).map(deviation).fold(0.0, f64::max);
        assert!(max_deviation < 0.02, "{max_deviation} at {table} hosts");
    }
}
