//! Zone transfers, as a whole and as differences, their signatures, and notifications.

use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{Name, RecordType};
use pondarch_controller::{HostId, ProxyId, RequestClassId, TableId, Time};
use pondarch_dns_core::{Lifetime, RateLimiter, SecondaryEvent};
use pondarch_dns_server::secondary::{
    Transfer, TransferError, TransferProgress, ZoneCopy, acknowledge_notification,
};
use pondarch_dns_server::{
    Answerer, Reply, TableHost, Transport, TsigKey, View, Zone, ZoneTransfers, zone_rows,
};
use std::net::IpAddr;
use std::time::Duration;

const ANONYMOUS_PROXIES: [ProxyId; 2] = [ProxyId(18), ProxyId(19)];
const NOW: Time = Time::from_micros(1_800_000_000_000_000);
const NOW_S: u64 = 1_800_000_000;
const PEER: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);

fn key(name: &str, fill: u8) -> TsigKey {
    TsigKey::new(name, vec![fill; 32]).expect("a key")
}

/// A view with six lines for each table; `shift` moves the hosts that the tables have.
fn view(serial: u32, hosts: usize, shift: usize) -> View {
    let address = |n: usize| {
        (
            [127, 0, (n / 200) as u8, (n % 200) as u8 + 1],
            8_000 + n as u16,
        )
            .into()
    };
    let table_host = |n: usize| TableHost {
        host: HostId(format!("host-{n}").into()),
        address: address(n),
        weight: 1.0,
        warming_up: false,
    };
    let table = |t: usize| {
        (
            TableId(t as u16),
            (0..6)
                .map(|l| table_host((t * 6 + l + shift) % hosts))
                .collect(),
        )
    };
    View {
        serial,
        tables: (0..hosts / 6).map(table).collect(),
        bindings: (0..20)
            .map(|p| ((ProxyId(p), RequestClassId(0)), TableId(p % 4)))
            .collect(),
        hosts: (0..hosts)
            .map(|n| (HostId(format!("host-{n}").into()), address(n)))
            .collect(),
        last_answers: Default::default(),
        anonymous_proxies: ANONYMOUS_PROXIES.into(),
    }
}

fn answerer() -> Answerer {
    let lifetime = Lifetime::for_drain_grace(
        Duration::from_millis(6_000),
        Duration::from_millis(500),
        None,
    )
    .expect("a lifetime");
    let proxies: Vec<String> = (0..20).map(|n| format!("front-{n}")).collect();
    let classes = ["proof".to_string(), "order".to_string()];
    let zone = Zone::new(
        "pond.example",
        PEER,
        lifetime,
        &classes,
        &proxies,
        Vec::new(),
    )
    .expect("a zone");
    let transfers = ZoneTransfers::new(vec![
        key("second-0.pond.example", 1),
        key("second-1.pond.example", 2),
    ]);
    Answerer::new(zone, RateLimiter::new(1e6, 100, NOW), transfers, 5)
}

fn set_zone(answerer: &mut Answerer, view: &View) {
    let rows = zone_rows(answerer.zone(), view);
    answerer.transfers().set_zone(view.serial, rows);
}

/// Runs a transfer, and returns its result and the server's reply.
fn transfer(
    answerer: &mut Answerer,
    view: &View,
    key: &TsigKey,
    copy: &mut ZoneCopy,
    transport: Transport,
) -> (Result<TransferProgress, TransferError>, Reply) {
    let (packet, mut transfer) =
        Transfer::start(99, "pond.example", copy, key, NOW_S).expect("a query");
    let reply = answerer.answer(NOW, PEER, transport, &packet, view);
    let mut last = Ok(TransferProgress::Incomplete);
    for packet in &reply.packets {
        assert!(packet.len() < 65_536);
        last = transfer.apply(packet, copy);
        if !matches!(last, Ok(TransferProgress::Incomplete)) {
            break;
        }
    }
    (last, reply)
}

/// Runs a transfer over TCP that must succeed, and returns the server's reply.
fn transfer_completely(
    answerer: &mut Answerer,
    view: &View,
    key: &TsigKey,
    copy: &mut ZoneCopy,
) -> Reply {
    let (result, reply) = transfer(answerer, view, key, copy, Transport::Tcp);
    assert_eq!(result.expect("a transfer"), TransferProgress::Complete);
    reply
}

/// The target of a name's alias.
fn alias_target(copy: &ZoneCopy, name: &str) -> Option<String> {
    let name = Name::from_ascii(name).expect("a name");
    copy.records
        .iter()
        .find(|record| record.name == name && record.record_type == RecordType::CNAME)
        .map(|record| record.data.clone())
}

#[test]
fn a_secondary_without_a_copy_gets_the_whole_zone() {
    let mut answerer = answerer();
    let first = view(7, 120, 0);
    let own_key = key("second-1.pond.example", 2);
    set_zone(&mut answerer, &first);
    let mut copy = ZoneCopy::default();
    let reply = transfer_completely(&mut answerer, &first, &own_key, &mut copy);
    assert!(
        reply.packets.len() > 4,
        "several messages, to check that each signature covers the previous one"
    );
    assert_eq!(
        reply.secondary_events,
        [
            (1, SecondaryEvent::Queried(None)),
            (1, SecondaryEvent::Transferred(7))
        ]
    );
    assert_eq!((copy.serial, copy.expire_s), (Some(7), 60));
    assert_eq!(
        alias_target(&copy, "_proof._tcp.front-5.pond.example.").as_deref(),
        Some("t1.tables.pond.example.")
    );
    assert_eq!(
        alias_target(&copy, "order.pond.example.").as_deref(),
        Some("all.tables.pond.example.")
    );
}

#[test]
fn a_secondary_with_a_copy_gets_the_differences() {
    let mut answerer = answerer();
    let first = view(7, 120, 0);
    let own_key = key("second-1.pond.example", 2);
    set_zone(&mut answerer, &first);
    let mut copy = ZoneCopy::default();
    transfer_completely(&mut answerer, &first, &own_key, &mut copy);
    // Every table changes with each serial.
    for serial in 8..20 {
        let next = view(serial, 120, serial as usize);
        set_zone(&mut answerer, &next);
    }
    let last = view(20, 120, 0);
    set_zone(&mut answerer, &last);
    let (over_udp, _) = transfer(&mut answerer, &last, &own_key, &mut copy, Transport::Udp);
    assert_eq!(
        over_udp.expect("a transfer"),
        TransferProgress::RetryOverTcp
    );
    // Differences that are larger than the zone are not sent.
    let mut whole = ZoneCopy::default();
    transfer_completely(&mut answerer, &last, &own_key, &mut whole);
    transfer_completely(&mut answerer, &last, &own_key, &mut copy);
    assert_eq!(copy, whole);
    let mut changed = last.clone();
    changed.serial = 21;
    changed.tables.get_mut(&TableId(3)).expect("a table")[2].weight = 0.25;
    set_zone(&mut answerer, &changed);
    let reply = transfer_completely(&mut answerer, &changed, &own_key, &mut copy);
    assert_eq!(reply.packets.len(), 1);
    let mut whole = ZoneCopy::default();
    transfer_completely(&mut answerer, &changed, &own_key, &mut whole);
    assert_eq!(copy, whole);
    let (again, reply) = transfer(&mut answerer, &changed, &own_key, &mut copy, Transport::Tcp);
    assert_eq!(again.expect("a transfer"), TransferProgress::UpToDate);
    assert_eq!(
        reply.secondary_events[1],
        (1, SecondaryEvent::Transferred(21))
    );
}

/// After a restart the server's journal is empty while a secondary has an older serial.
#[test]
fn a_serial_that_is_not_in_the_journal_gets_the_whole_zone() {
    let mut answerer = answerer();
    let now = view(500, 24, 0);
    let own_key = key("second-0.pond.example", 1);
    set_zone(&mut answerer, &now);
    let mut copy = ZoneCopy {
        serial: Some(431),
        ..ZoneCopy::default()
    };
    assert_eq!(
        transfer(&mut answerer, &now, &own_key, &mut copy, Transport::Tcp)
            .0
            .expect("a transfer"),
        TransferProgress::Complete
    );
    assert_eq!(copy.serial, Some(500));
    assert!(copy.records.len() > 100);
}

#[test]
fn queries_without_a_valid_signature_get_no_transfer() {
    let mut answerer = answerer();
    let now = view(7, 24, 0);
    set_zone(&mut answerer, &now);
    let mut copy = ZoneCopy::default();
    // A wrong secret and an unknown key name; below, a signature whose time is too old and a query without one.
    for wrong_key in [
        key("second-1.pond.example", 9),
        key("third.pond.example", 2),
    ] {
        let (rejected, reply) =
            transfer(&mut answerer, &now, &wrong_key, &mut copy, Transport::Tcp);
        assert!(
            matches!(
                rejected,
                Err(TransferError::Rejected(ResponseCode::NotAuth))
            ),
            "{rejected:?}"
        );
        assert!(reply.secondary_events.is_empty());
    }
    let own_key = key("second-1.pond.example", 2);
    let (expired_query, _) =
        Transfer::start(99, "pond.example", &copy, &own_key, NOW_S - 400).expect("a query");
    let reply = answerer.answer(NOW, PEER, Transport::Tcp, &expired_query, &now);
    let answer = Message::from_vec(&reply.packets[0]).expect("a message");
    assert_eq!(
        (answer.metadata.response_code, answer.answers.len()),
        (ResponseCode::NotAuth, 0)
    );
    let mut unsigned = Message::new(1, MessageType::Query, OpCode::Query);
    unsigned.add_query(Query::query(
        Name::from_ascii("pond.example.").expect("a name"),
        RecordType::AXFR,
    ));
    let reply = answerer.answer(
        NOW,
        PEER,
        Transport::Tcp,
        &unsigned.to_vec().expect("bytes"),
        &now,
    );
    let answer = Message::from_vec(&reply.packets[0]).expect("a message");
    assert_eq!(answer.metadata.response_code, ResponseCode::Refused);
    // A query that was changed after it was signed.
    let (mut packet, _) =
        Transfer::start(99, "pond.example", &copy, &own_key, NOW_S).expect("a query");
    packet[2] |= 1;
    let reply = answerer.answer(NOW, PEER, Transport::Tcp, &packet, &now);
    assert_eq!(
        Message::from_vec(&reply.packets[0])
            .expect("bytes")
            .metadata
            .response_code,
        ResponseCode::NotAuth
    );
    assert!(copy.records.is_empty() && TsigKey::new("short", vec![1; 8]).is_err());
}

#[test]
fn a_transfer_that_is_changed_or_incomplete_leaves_the_copy_unchanged() {
    let mut answerer = answerer();
    let now = view(7, 120, 0);
    let own_key = key("second-1.pond.example", 2);
    set_zone(&mut answerer, &now);
    let mut copy = ZoneCopy::default();
    let start = |copy: &ZoneCopy| {
        Transfer::start(99, "pond.example", copy, &own_key, NOW_S).expect("a query")
    };
    for (message_index, byte_index) in [(0, 300), (2, 500), (3, 40)] {
        let (packet, mut transfer) = start(&copy);
        let mut packets = answerer
            .answer(NOW, PEER, Transport::Tcp, &packet, &now)
            .packets;
        packets[message_index][byte_index] ^= 1;
        let result = packets
            .iter()
            .map(|packet| transfer.apply(packet, &mut copy))
            .find(|result| !matches!(result, Ok(TransferProgress::Incomplete)));
        assert!(matches!(result, Some(Err(_))), "{result:?}");
        // A missing message breaks the chain of signatures as well.
        let (packet, mut transfer) = start(&copy);
        let mut packets = answerer
            .answer(NOW, PEER, Transport::Tcp, &packet, &now)
            .packets;
        packets.remove(1);
        let result = packets
            .iter()
            .map(|packet| transfer.apply(packet, &mut copy))
            .find(|result| !matches!(result, Ok(TransferProgress::Incomplete)));
        assert!(
            matches!(result, Some(Err(TransferError::Signature(_)))),
            "{result:?}"
        );
        assert_eq!(copy, ZoneCopy::default());
    }
}

#[test]
fn a_notification_is_acknowledged_by_its_secondary_only() {
    let mut answerer = answerer();
    let now = view(7, 24, 0);
    set_zone(&mut answerer, &now);
    let own_key = key("second-1.pond.example", 2);
    let other_key = key("second-0.pond.example", 1);
    let notification = answerer.notification(NOW, 1).expect("a notification");
    assert!(answerer.notification(NOW, 2).is_none());
    assert!(
        acknowledge_notification(&notification, &other_key, NOW_S).is_none(),
        "the notification is for another secondary"
    );
    let acknowledgement =
        acknowledge_notification(&notification, &own_key, NOW_S).expect("an acknowledgement");
    let mut forged = Message::from_vec(&acknowledgement).expect("a message");
    forged.signature = None;
    let forged = forged.to_vec().expect("bytes");
    assert!(
        answerer
            .answer(NOW, PEER, Transport::Udp, &forged, &now)
            .secondary_events
            .is_empty()
    );
    let reply = answerer.answer(NOW, PEER, Transport::Udp, &acknowledgement, &now);
    assert_eq!(
        (reply.secondary_events, reply.packets.len()),
        (vec![(1, SecondaryEvent::Acknowledged)], 0)
    );
    assert!(
        answerer
            .answer(NOW, PEER, Transport::Udp, &acknowledgement, &now)
            .secondary_events
            .is_empty(),
        "an acknowledgement is accepted once"
    );
}
