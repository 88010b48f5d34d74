//! Copies of the zone: whole, by differences, and not for everybody.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(clippy::too_many_lines)]

use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{Name, RecordType};
use pondarch_controller::{HostId, ProxyId, RequestClassId, TableId, Time};
use pondarch_dns_core::{Lifetime, RateLimiter, SecondaryEvent};
use pondarch_dns_server::fetch::{Copy, Fetch, FetchError, Fetched, acknowledge};
use pondarch_dns_server::{Answerer, Copies, Key, Line, Reply, Transport, View, Zone, rows};
use std::net::IpAddr;
use std::time::Duration;

const STRANGERS: [ProxyId; 2] = [ProxyId(18), ProxyId(19)];
const NOW: Time = Time::from_micros(1_800_000_000_000_000);
const NOW_S: u64 = 1_800_000_000;
const FROM: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);

fn key(name: &str, fill: u8) -> Key {
    Key::new(name, vec![fill; 32]).expect("a key")
}

fn view(serial: u32, hosts: usize, shift: usize) -> View {
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
        weight: 1.0,
        cold: false,
    };
    let table = |t: usize| {
        (
            TableId(t as u16),
            (0..6).map(|l| line((t * 6 + l + shift) % hosts)).collect(),
        )
    };
    View {
        serial,
        tables: (0..hosts / 6).map(table).collect(),
        bound: (0..20)
            .map(|p| ((ProxyId(p), RequestClassId(0)), TableId(p % 4)))
            .collect(),
        hosts: (0..hosts)
            .map(|n| (HostId(format!("host-{n}").into()), addr(n)))
            .collect(),
        last: Default::default(),
        strangers: STRANGERS.into(),
    }
}

fn answerer() -> Answerer {
    let life = Lifetime::for_drain_grace(
        Duration::from_millis(6_000),
        Duration::from_millis(500),
        None,
    )
    .expect("it fits");
    let proxies: Vec<String> = (0..20).map(|n| format!("front-{n}")).collect();
    let kinds = ["proof".to_string(), "order".to_string()];
    let zone = Zone::new("pond.example", FROM, life, &kinds, &proxies, Vec::new()).expect("a zone");
    let copies = Copies::new(vec![
        key("second-0.pond.example", 1),
        key("second-1.pond.example", 2),
    ]);
    Answerer::new(zone, RateLimiter::new(1e6, 100, NOW), copies, 5)
}

fn follow(answerer: &mut Answerer, view: &View) {
    let rows = rows(answerer.zone(), view);
    answerer.copies().follow(view.serial, rows);
}

fn fetch(
    answerer: &mut Answerer,
    view: &View,
    key: &Key,
    copy: &mut Copy,
    over: Transport,
) -> (Result<Fetched, FetchError>, Reply) {
    let (packet, mut fetch) = Fetch::ask(99, "pond.example", copy, key, NOW_S).expect("a question");
    let reply = answerer.answer(NOW, FROM, over, &packet, view);
    let mut last = Ok(Fetched::More);
    for packet in &reply.packets {
        assert!(packet.len() < 65_536);
        last = fetch.took(packet, copy);
        if last != Ok(Fetched::More) {
            break;
        }
    }
    (last, reply)
}

#[test]
fn a_secondary_gets_all_of_it_and_then_the_differences() {
    let (mut answerer, first, mine) =
        (answerer(), view(7, 120, 0), key("second-1.pond.example", 2));
    follow(&mut answerer, &first);
    let mut copy = Copy::default();
    let (done, reply) = fetch(&mut answerer, &first, &mine, &mut copy, Transport::Tcp);
    assert_eq!(done, Ok(Fetched::Done));
    assert!(
        reply.packets.len() > 4,
        "many messages, each signed over the one before"
    );
    assert_eq!(
        reply.heard,
        [
            (1, SecondaryEvent::Queried(None)),
            (1, SecondaryEvent::Transferred(7))
        ]
    );
    assert_eq!((copy.serial, copy.expire_s), (Some(7), 60));
    let alias = |name: &str| {
        let name = Name::from_ascii(name).expect("a name");
        let found = copy
            .records
            .iter()
            .find(|(n, of, _)| *n == name && *of == RecordType::CNAME);
        found.map(|(_, _, data)| data.clone())
    };
    assert_eq!(
        alias("_proof._tcp.front-5.pond.example.").as_deref(),
        Some("t1.tables.pond.example.")
    );
    assert_eq!(
        alias("order.pond.example.").as_deref(),
        Some("all.tables.pond.example.")
    );
    // Two tables change places: as many records as that, not the zone.
    for serial in 8..20 {
        let next = view(serial, 120, serial as usize);
        follow(&mut answerer, &next);
    }
    let last = view(20, 120, 0);
    follow(&mut answerer, &last);
    assert_eq!(
        fetch(&mut answerer, &last, &mine, &mut copy, Transport::Udp).0,
        Ok(Fetched::ByTcp)
    );
    // Steps that are more than the zone are not worth it.
    let mut whole = Copy::default();
    assert_eq!(
        fetch(&mut answerer, &last, &mine, &mut whole, Transport::Tcp).0,
        Ok(Fetched::Done)
    );
    assert_eq!(
        fetch(&mut answerer, &last, &mine, &mut copy, Transport::Tcp).0,
        Ok(Fetched::Done)
    );
    assert_eq!(copy, whole);
    let mut changed = last.clone();
    changed.serial = 21;
    changed.tables.get_mut(&TableId(3)).expect("a table")[2].weight = 0.25;
    follow(&mut answerer, &changed);
    let (done, reply) = fetch(&mut answerer, &changed, &mine, &mut copy, Transport::Tcp);
    assert_eq!((done, reply.packets.len()), (Ok(Fetched::Done), 1));
    let mut whole = Copy::default();
    assert_eq!(
        fetch(&mut answerer, &changed, &mine, &mut whole, Transport::Tcp).0,
        Ok(Fetched::Done)
    );
    assert_eq!(copy, whole);
    let (same, reply) = fetch(&mut answerer, &changed, &mine, &mut copy, Transport::Tcp);
    assert_eq!(
        (same, &reply.heard[1]),
        (Ok(Fetched::Same), &(1, SecondaryEvent::Transferred(21)))
    );
}

#[test]
fn a_serial_from_before_a_restart_gets_the_whole_zone() {
    let (mut answerer, now, mine) = (
        answerer(),
        view(500, 24, 0),
        key("second-0.pond.example", 1),
    );
    follow(&mut answerer, &now);
    let mut copy = Copy {
        serial: Some(431),
        ..Copy::default()
    };
    assert_eq!(
        fetch(&mut answerer, &now, &mine, &mut copy, Transport::Tcp).0,
        Ok(Fetched::Done)
    );
    assert_eq!(copy.serial, Some(500));
    assert!(copy.records.len() > 100);
}

#[test]
fn without_the_key_there_is_nothing() {
    let (mut answerer, now) = (answerer(), view(7, 24, 0));
    follow(&mut answerer, &now);
    let mut copy = Copy::default();
    // A secret that is not the right one, a name that is not known, a key of another time.
    for wrong in [
        key("second-1.pond.example", 9),
        key("third.pond.example", 2),
    ] {
        let (refused, reply) = fetch(&mut answerer, &now, &wrong, &mut copy, Transport::Tcp);
        assert_eq!(refused, Err(FetchError::Refused(ResponseCode::NotAuth)));
        assert!(reply.heard.is_empty());
    }
    let mine = key("second-1.pond.example", 2);
    let (old, _) = Fetch::ask(99, "pond.example", &copy, &mine, NOW_S - 400).expect("a question");
    let reply = answerer.answer(NOW, FROM, Transport::Tcp, &old, &now);
    let answer = Message::from_vec(&reply.packets[0]).expect("it can be read");
    assert_eq!(
        (answer.metadata.response_code, answer.answers.len()),
        (ResponseCode::NotAuth, 0)
    );
    let mut plain = Message::new(1, MessageType::Query, OpCode::Query);
    plain.add_query(Query::query(
        Name::from_ascii("pond.example.").expect("a name"),
        RecordType::AXFR,
    ));
    let reply = answerer.answer(
        NOW,
        FROM,
        Transport::Tcp,
        &plain.to_vec().expect("bytes"),
        &now,
    );
    let answer = Message::from_vec(&reply.packets[0]).expect("it can be read");
    assert_eq!(answer.metadata.response_code, ResponseCode::Refused);
    // A question that was changed on the way.
    let (mut packet, _) = Fetch::ask(99, "pond.example", &copy, &mine, NOW_S).expect("a question");
    packet[2] |= 1;
    let reply = answerer.answer(NOW, FROM, Transport::Tcp, &packet, &now);
    assert_eq!(
        Message::from_vec(&reply.packets[0])
            .expect("bytes")
            .metadata
            .response_code,
        ResponseCode::NotAuth
    );
    assert!(copy.records.is_empty() && Key::new("short", vec![1; 8]).is_err());
}

#[test]
fn a_transfer_that_was_tampered_with_or_cut_leaves_the_copy_as_it_was() {
    let (mut answerer, now, mine) = (answerer(), view(7, 120, 0), key("second-1.pond.example", 2));
    follow(&mut answerer, &now);
    let mut copy = Copy::default();
    let ask = |copy: &Copy| Fetch::ask(99, "pond.example", copy, &mine, NOW_S).expect("a question");
    for (spoilt, at) in [(0, 300), (2, 500), (3, 40)] {
        let (packet, mut fetch) = ask(&copy);
        let mut packets = answerer
            .answer(NOW, FROM, Transport::Tcp, &packet, &now)
            .packets;
        packets[spoilt][at] ^= 1;
        let came = packets
            .iter()
            .map(|packet| fetch.took(packet, &mut copy))
            .find(|came| came != &Ok(Fetched::More));
        assert!(matches!(came, Some(Err(_))), "{came:?}");
        // One message left out breaks the chain as well.
        let (packet, mut fetch) = ask(&copy);
        let mut packets = answerer
            .answer(NOW, FROM, Transport::Tcp, &packet, &now)
            .packets;
        packets.remove(1);
        let came = packets
            .iter()
            .map(|packet| fetch.took(packet, &mut copy))
            .find(|came| came != &Ok(Fetched::More));
        assert!(matches!(came, Some(Err(FetchError::Broken(_)))), "{came:?}");
        assert_eq!(copy, Copy::default());
    }
}

#[test]
fn the_word_of_a_change_is_answered_by_its_secondary_alone() {
    let (mut answerer, now) = (answerer(), view(7, 24, 0));
    follow(&mut answerer, &now);
    let (mine, other) = (
        key("second-1.pond.example", 2),
        key("second-0.pond.example", 1),
    );
    let word = answerer.word(NOW, 1).expect("a word");
    assert!(answerer.word(NOW, 2).is_none());
    assert!(
        acknowledge(&word, &other, NOW_S).is_none(),
        "not meant for it"
    );
    let answer = acknowledge(&word, &mine, NOW_S).expect("an answer");
    let mut forged = Message::from_vec(&answer).expect("it can be read");
    forged.signature = None;
    let forged = forged.to_vec().expect("bytes");
    assert!(
        answerer
            .answer(NOW, FROM, Transport::Udp, &forged, &now)
            .heard
            .is_empty()
    );
    let reply = answerer.answer(NOW, FROM, Transport::Udp, &answer, &now);
    assert_eq!(
        (reply.heard, reply.packets.len()),
        (vec![(1, SecondaryEvent::Acknowledged)], 0)
    );
    assert!(
        answerer
            .answer(NOW, FROM, Transport::Udp, &answer, &now)
            .heard
            .is_empty(),
        "once"
    );
}
