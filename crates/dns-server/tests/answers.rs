//! Packets in, packets out.

use hickory_proto::op::{Edns, Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::opt::{ClientSubnet, EdnsOption};
use hickory_proto::rr::{Name, RData, RecordType};
use pondarch_controller::{HostId, ProxyId, RequestClassId, TableId, Time};
use pondarch_dns_core::{Lifetime, RateLimiter};
use pondarch_dns_server::{Answerer, Copies, Line, STANDING, Transport, View, Zone};
use proptest::prelude::*;
use std::net::IpAddr;
use std::time::Duration;

/// Both are bound like the known ones.
const STRANGERS: [ProxyId; 2] = [ProxyId(3), ProxyId(4)];
const NOW: Time = Time::from_micros(1_000_000_000);

fn ip(text: &str) -> IpAddr {
    text.parse().expect("an address")
}

fn view(hosts: usize) -> View {
    let addr = |n: usize| {
        (
            [127, 0, (n / 200) as u8, (n % 200) as u8 + 1],
            8_000 + n as u16,
        )
            .into()
    };
    let line = |n: usize| Line {
        host: HostId(format!("host-{n}").into()),
        addr: addr(n),
        weight: 1.0 + (n % 3) as f64,
        cold: false,
    };
    let bound =
        (0..5).flat_map(|p| (0..2).map(move |k| ((ProxyId(p), RequestClassId(k)), TableId(p % 2))));
    View {
        serial: 7,
        tables: [
            (TableId(0), (0..hosts).map(line).collect()),
            (TableId(1), (hosts..hosts + 4).map(line).collect()),
        ]
        .into(),
        bound: bound.collect(),
        hosts: (0..hosts + 4)
            .map(|n| (HostId(format!("host-{n}").into()), addr(n)))
            .collect(),
        last: Default::default(),
        strangers: STRANGERS.into(),
    }
}

fn answerer(rate: f64) -> Answerer {
    let life = Lifetime::for_drain_grace(
        Duration::from_millis(6_000),
        Duration::from_millis(500),
        None,
    )
    .expect("it fits");
    let names = |of: &[&str]| of.iter().map(ToString::to_string).collect::<Vec<_>>();
    let zone = Zone::new(
        "pond.example",
        ip("127.0.0.53"),
        life,
        &names(&["proof", "order"]),
        &names(&["front-0", "front-1", "front-2"]),
        vec![
            (ip("127.9.0.0"), 16, ProxyId(1)),
            (ip("127.9.2.0"), 24, ProxyId(2)),
        ],
    );
    Answerer::new(
        zone.expect("a zone"),
        RateLimiter::new(rate, 1_000, NOW),
        Copies::new(Vec::new()),
        5,
    )
}

fn query(name: &str, of: RecordType, edns: Option<u16>) -> Message {
    let mut message = Message::new(4_711, MessageType::Query, OpCode::Query);
    message.metadata.recursion_desired = true;
    message.add_query(Query::query(Name::from_ascii(name).expect("a name"), of));
    if let Some(size) = edns {
        let mut edns = Edns::new();
        edns.set_max_payload(size);
        message.set_edns(edns);
    }
    message
}

fn ask(
    answerer: &mut Answerer,
    view: &View,
    message: &Message,
    over: Transport,
) -> (Message, Option<ProxyId>, bool) {
    let packet = message.to_vec().expect("a packet");
    let reply = answerer.answer(NOW, ip("127.0.0.1"), over, &packet, view);
    let bytes = reply.packets.first().expect("an answer").clone();
    if over == Transport::Udp {
        assert!(bytes.len() <= packet.len() * 20 && bytes.len() <= 1_232);
    }
    let answer = Message::from_vec(&bytes).expect("it can be read");
    assert_eq!(answer.metadata.id, 4_711);
    assert!(!answer.metadata.recursion_available);
    (answer, reply.asked, reply.unknown)
}

fn hosts(answer: &Message) -> Vec<(String, u16)> {
    let srv = |record: &hickory_proto::rr::Record| match &record.data {
        RData::SRV(srv) => Some((srv.target.to_ascii(), srv.weight)),
        _ => None,
    };
    answer.answers.iter().filter_map(srv).collect()
}

#[test]
fn a_proxy_gets_its_table_by_its_name() {
    let (mut answerer, view) = (answerer(1e6), view(6));
    let (answer, asked, unknown) = ask(
        &mut answerer,
        &view,
        &query(
            "_Proof._tcp.Front-0.POND.example.",
            RecordType::SRV,
            Some(1_232),
        ),
        Transport::Udp,
    );
    assert_eq!((asked, unknown), (Some(ProxyId(0)), false));
    assert!(
        answer.metadata.authoritative && answer.metadata.response_code == ResponseCode::NoError
    );
    let lines = hosts(&answer);
    assert_eq!(lines.len(), 6);
    assert_eq!(lines[0], ("host-0.hosts.pond.example.".to_string(), 333));
    assert_eq!(lines[2].1, 1_000);
    // Each target with its address; the case as it was asked (a resolver may check it); the lifetime from the grace.
    assert_eq!(answer.additionals.len(), 6);
    assert_eq!(
        answer.answers[0].name.to_ascii(),
        "_Proof._tcp.Front-0.POND.example."
    );
    assert!(answer.answers.iter().all(|record| record.ttl == 4));
    assert_eq!(answer.edns.as_ref().map(Edns::max_payload), Some(1_232));
}

#[test]
fn without_a_name_the_source_or_the_clients_net_says_who_asks() {
    let (mut answerer, view) = (answerer(1e6), view(6));
    let packet = query("_order._tcp.pond.example.", RecordType::SRV, Some(1_232))
        .to_vec()
        .expect("a packet");
    let mut from = |text: &str, packet: &[u8]| {
        let reply = answerer.answer(NOW, ip(text), Transport::Udp, packet, &view);
        (reply.asked, reply.given, reply.unknown)
    };
    assert_eq!(
        from("127.9.1.1", &packet),
        (Some(ProxyId(1)), Some(TableId(1)), false)
    );
    assert_eq!(
        from("127.9.2.1", &packet),
        (Some(ProxyId(2)), Some(TableId(0)), false)
    );
    let unknown = from("127.0.0.1", &packet);
    assert!(
        unknown
            .0
            .is_some_and(|taken_for| STRANGERS.contains(&taken_for))
            && unknown.2
    );
    assert_eq!(
        from("127.0.0.1", &packet),
        unknown,
        "the same draw each time"
    );
    let mut message = query("_order._tcp.pond.example.", RecordType::SRV, Some(1_232));
    if let Some(edns) = message.edns.as_mut() {
        edns.options_mut()
            .insert(EdnsOption::Subnet(ClientSubnet::new(
                ip("127.9.2.0"),
                24,
                0,
            )));
    }
    let packet = message.to_vec().expect("a packet");
    assert_eq!(from("127.0.0.1", &packet).0, Some(ProxyId(2)));
}

#[test]
fn names_that_are_not_there_and_types_that_are_not_there_are_told_apart() {
    let (mut answerer, view) = (answerer(1e6), view(6));
    let mut code = |name: &str, of| {
        let (answer, _, _) = ask(&mut answerer, &view, &query(name, of, None), Transport::Udp);
        let soa = answer
            .authorities
            .iter()
            .find_map(|record| match &record.data {
                RData::SOA(soa) => Some((soa.serial, record.ttl, soa.minimum)),
                _ => None,
            });
        (answer.metadata.response_code, soa, answer.answers.len())
    };
    let soa = Some((7, 4, 4));
    assert_eq!(
        code("nobody.pond.example.", RecordType::A),
        (ResponseCode::NXDomain, soa, 0)
    );
    assert_eq!(
        code("_proof._tcp.nobody.pond.example.", RecordType::SRV),
        (ResponseCode::NXDomain, soa, 0)
    );
    assert_eq!(
        code("host-99.hosts.pond.example.", RecordType::A),
        (ResponseCode::NXDomain, soa, 0)
    );
    for (name, of) in [
        ("hosts.pond.example.", RecordType::A),
        ("_tcp.front-1.pond.example.", RecordType::SRV),
        ("front-1.pond.example.", RecordType::A),
        ("_proof._tcp.front-1.pond.example.", RecordType::TXT),
        ("proof.front-1.pond.example.", RecordType::AAAA),
        ("pond.example.", RecordType::A),
    ] {
        assert_eq!(code(name, of), (ResponseCode::NoError, soa, 0), "{name}");
    }
    assert_eq!(
        code("pond.example.", RecordType::SOA),
        (ResponseCode::NoError, None, 1)
    );
    assert_eq!(
        code("pond.example.", RecordType::NS),
        (ResponseCode::NoError, None, 1)
    );
    assert_eq!(
        code("ns.pond.example.", RecordType::A),
        (ResponseCode::NoError, None, 1)
    );
    assert_eq!(
        code("host-3.hosts.pond.example.", RecordType::A),
        (ResponseCode::NoError, None, 1)
    );
    assert_eq!(
        code("elsewhere.example.", RecordType::A),
        (ResponseCode::Refused, None, 0)
    );
    assert_eq!(
        code("pond.example.", RecordType::AXFR),
        (ResponseCode::Refused, None, 0)
    );
}

#[test]
fn a_table_too_large_is_sampled_over_udp_and_whole_over_tcp() {
    let (mut answerer, view) = (answerer(1e6), view(120));
    let asked = query(
        "_proof._tcp.front-0.pond.example.",
        RecordType::SRV,
        Some(1_232),
    );
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..60 {
        let (answer, _, _) = ask(&mut answerer, &view, &asked, Transport::Udp);
        assert!(!answer.metadata.truncation);
        let lines = hosts(&answer);
        assert!(lines.len() >= 8, "{}", lines.len());
        seen.extend(lines.into_iter().map(|(host, _)| host));
    }
    assert!(
        seen.len() > 110,
        "only {} hosts were ever drawn",
        seen.len()
    );
    let (answer, _, _) = ask(&mut answerer, &view, &asked, Transport::Tcp);
    assert_eq!(hosts(&answer).len(), 120);
}

#[test]
fn addresses_come_by_weight() {
    let (mut answerer, view) = (answerer(1e6), view(6));
    let asked = query("proof.front-0.pond.example.", RecordType::A, None);
    let mut first = std::collections::BTreeMap::<String, f64>::new();
    for _ in 0..12_000 {
        let (answer, _, _) = ask(&mut answerer, &view, &asked, Transport::Udp);
        assert_eq!(answer.answers.len(), 4);
        *first.entry(answer.answers[0].data.to_string()).or_default() += 1.0 / 12_000.0;
    }
    for (n, weight) in [1.0, 2.0, 3.0, 1.0, 2.0, 3.0].into_iter().enumerate() {
        let got = first
            .get(&format!("127.0.0.{}", n + 1))
            .copied()
            .unwrap_or(0.0);
        assert!((got - weight / 12.0).abs() < 0.02, "{n}: {got}");
    }
}

#[test]
fn an_empty_table_is_a_failure_and_no_empty_answer() {
    let (mut answerer, mut view) = (answerer(1e6), view(6));
    view.tables.values_mut().for_each(Vec::clear);
    let (answer, asked, _) = ask(
        &mut answerer,
        &view,
        &query("_proof._tcp.front-0.pond.example.", RecordType::SRV, None),
        Transport::Udp,
    );
    assert_eq!(
        (answer.metadata.response_code, asked),
        (ResponseCode::ServFail, Some(ProxyId(0)))
    );
    view.tables
        .values_mut()
        .next()
        .expect("a table")
        .push(Line {
            host: HostId("back".into()),
            addr: ([127, 0, 0, 9], 80).into(),
            weight: 0.01,
            cold: true,
        });
    let (answer, _, _) = ask(
        &mut answerer,
        &view,
        &query("_proof._tcp.front-0.pond.example.", RecordType::SRV, None),
        Transport::Udp,
    );
    assert_eq!(hosts(&answer).len(), 1, "a cold host is better than none");
}

/// Who holds an answer by address sends a cold host an even share, however light its line.
#[test]
fn a_cold_host_is_never_named_by_address_beside_warm_ones() {
    let (mut answerer, mut view) = (answerer(1e6), view(6));
    view.tables
        .values_mut()
        .flatten()
        .filter(|line| &*line.host.0 == "host-2")
        .for_each(|line| line.cold = true);
    let asked = query("proof.front-0.pond.example.", RecordType::A, None);
    for _ in 0..500 {
        let (answer, _, _) = ask(&mut answerer, &view, &asked, Transport::Udp);
        assert!(
            answer
                .answers
                .iter()
                .all(|record| record.data.to_string() != "127.0.0.3")
        );
    }
    view.tables
        .values_mut()
        .flatten()
        .for_each(|line| line.cold = true);
    let (answer, _, _) = ask(&mut answerer, &view, &asked, Transport::Udp);
    assert_eq!(answer.answers.len(), 4, "cold hosts are better than none");
}

/// Before anybody is bound there is no table, and there are hosts.
#[test]
fn who_asks_first_of_all_gets_a_few_hosts_of_the_list() {
    let (mut answerer, mut view) = (answerer(1e6), view(30));
    let all: Vec<Line> = view.tables.values().flatten().cloned().collect();
    view.tables = [(STANDING, all)].into();
    view.bound.clear();
    let asked = query(
        "_proof._tcp.front-0.pond.example.",
        RecordType::SRV,
        Some(1_232),
    );
    let (answer, proxy, unknown) = ask(&mut answerer, &view, &asked, Transport::Udp);
    assert_eq!(
        (hosts(&answer).len(), proxy, unknown),
        (8, Some(ProxyId(0)), false)
    );
    let (again, ..) = ask(&mut answerer, &view, &asked, Transport::Udp);
    assert_eq!(hosts(&answer), hosts(&again), "the same draw each time");
}

#[test]
fn what_a_table_last_had_is_held_for_a_second() {
    let (mut answerer, mut view) = (answerer(1e6), view(6));
    view.last.insert(TableId(0));
    for name in ["_proof._tcp.front-0", "t0.tables"] {
        let asked = query(
            &format!("{name}.pond.example."),
            RecordType::SRV,
            Some(1_232),
        );
        let (answer, _, _) = ask(&mut answerer, &view, &asked, Transport::Udp);
        assert!(
            answer
                .answers
                .iter()
                .chain(&answer.additionals)
                .all(|record| record.ttl == 1)
        );
    }
}

/// Picks by RFC 2782 from whole answers and from samples are true to the table.
#[test]
fn over_a_hundred_thousand_picks_each_host_gets_its_part() {
    let mut chance = fastrand::Rng::with_seed(9);
    for table in [8, 120] {
        let (mut answerer, view) = (answerer(1e9), view(table));
        let asked = query(
            "_proof._tcp.front-0.pond.example.",
            RecordType::SRV,
            Some(1_232),
        );
        let mut picks = std::collections::BTreeMap::<String, f64>::new();
        // Ten picks from an answer, as a proxy makes while it holds one.
        for _ in 0..10_000 {
            let (answer, _, _) = ask(&mut answerer, &view, &asked, Transport::Udp);
            let lines = hosts(&answer);
            let all: u32 = lines.iter().map(|(_, weight)| u32::from(*weight)).sum();
            for _ in 0..10 {
                let mut at = chance.u32(0..all);
                let picked = lines.iter().find(|(_, weight)| {
                    let here = at < u32::from(*weight);
                    at = at.saturating_sub(u32::from(*weight));
                    here
                });
                *picks.entry(picked.expect("one").0.clone()).or_default() += 1e-5;
            }
        }
        let sum: f64 = (0..table).map(|n| 1.0 + (n % 3) as f64).sum();
        let off = |n: usize| {
            let got = picks
                .get(&format!("host-{n}.hosts.pond.example."))
                .copied()
                .unwrap_or(0.0);
            (got - (1.0 + (n % 3) as f64) / sum).abs()
        };
        let worst = (0..table).map(off).fold(0.0, f64::max);
        assert!(worst < 0.02, "{worst} at {table} lines");
    }
}

#[test]
fn floods_are_limited_over_udp_only_and_strangers_are_refused() {
    let (mut answerer, view) = (answerer(10.0), view(6));
    let packet = query(
        "_proof._tcp.front-0.pond.example.",
        RecordType::SRV,
        Some(1_232),
    )
    .to_vec()
    .expect("a packet");
    let mut seen = [0; 3];
    for _ in 0..100 {
        match answerer
            .answer(NOW, ip("127.0.0.1"), Transport::Udp, &packet, &view)
            .packets
            .first()
        {
            None => seen[2] += 1,
            Some(bytes) => {
                let answer = Message::from_vec(bytes).expect("it can be read");
                seen[usize::from(answer.metadata.truncation)] += 1;
            }
        }
    }
    assert_eq!(seen, [20, 40, 40]);
    assert!(
        answerer
            .answer(NOW, ip("127.0.0.1"), Transport::Tcp, &packet, &view)
            .packets
            .len()
            == 1
    );
    let mut other = query(
        "_proof._tcp.front-0.pond.example.",
        RecordType::SRV,
        Some(1_232),
    );
    other.metadata.op_code = OpCode::Update;
    let (answer, _, _) = ask(&mut crate::answerer(1e6), &view, &other, Transport::Tcp);
    assert_eq!(answer.metadata.response_code, ResponseCode::NotImp);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Any bytes: dropped, or a packet that can be read and is no larger than stated. An answer is never answered.
    #[test]
    fn any_packet_is_dropped_or_answered_in_bounds(
        bytes in prop::collection::vec(any::<u8>(), 0..300), spoil in prop::collection::vec((0usize..80, any::<u8>()), 0..6),
    ) {
        let (mut answerer, view) = (answerer(1e6), view(40));
        let mut near = query("_proof._tcp.front-0.pond.example.", RecordType::SRV, Some(1_232)).to_vec().expect("a packet");
        for (at, with) in spoil {
            let at = at % near.len();
            near[at] = with;
        }
        for packet in [bytes, near] {
            let reply = answerer.answer(NOW, ip("127.0.0.1"), Transport::Udp, &packet, &view);
            if let Some(answer) = reply.packets.first() {
                prop_assert!(packet[2] & 0x80 == 0, "an answer was answered");
                prop_assert!(answer.len() <= 1_232);
                let read = Message::from_vec(answer);
                prop_assert!(read.is_ok_and(|message| message.metadata.message_type == MessageType::Response));
            }
        }
    }
}
