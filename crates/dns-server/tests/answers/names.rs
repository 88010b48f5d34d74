//! Answers by name and record type, identification of clients, rate limits, and malformed packets.

use crate::fixture::{
    ANONYMOUS_PROXIES, Exchange, NOW, address, answerer, exchange, query, srv_targets, view,
};
use hickory_proto::op::{Edns, Message, MessageType, OpCode, ResponseCode};
use hickory_proto::rr::rdata::opt::{ClientSubnet, EdnsOption};
use hickory_proto::rr::{RData, RecordType};
use pondarch_controller::{ProxyId, TableId};
use pondarch_dns_server::Transport;
use proptest::prelude::{ProptestConfig, any, prop, prop_assert, proptest};

#[test]
fn a_query_with_the_name_of_a_proxy_gets_its_table() {
    let mut answerer = answerer(1e6);
    let view = view(6);
    let Exchange {
        answer,
        proxy,
        is_anonymous,
    } = exchange(
        &mut answerer,
        &view,
        &query(
            "_Proof._tcp.Front-0.POND.example.",
            RecordType::SRV,
            Some(1_232),
        ),
        Transport::Udp,
    );
    assert_eq!((proxy, is_anonymous), (Some(ProxyId(0)), false));
    assert!(
        answer.metadata.authoritative && answer.metadata.response_code == ResponseCode::NoError
    );
    let targets = srv_targets(&answer);
    assert_eq!(targets.len(), 6);
    assert_eq!(targets[0], ("host-0.hosts.pond.example.".to_string(), 333));
    assert_eq!(targets[2].1, 1_000);
    // Each target has its address, the name has the case of the query (a resolver may check it), and the lifetime
    // follows from the grace period.
    assert_eq!(answer.additionals.len(), 6);
    assert_eq!(
        answer.answers[0].name.to_ascii(),
        "_Proof._tcp.Front-0.POND.example."
    );
    assert!(answer.answers.iter().all(|record| record.ttl == 4));
    assert_eq!(answer.edns.as_ref().map(Edns::max_payload), Some(1_232));
}

#[test]
fn without_its_name_a_proxy_is_identified_by_source_address_or_client_subnet() {
    let mut answerer = answerer(1e6);
    let view = view(6);
    let packet = query("_order._tcp.pond.example.", RecordType::SRV, Some(1_232))
        .to_vec()
        .expect("a packet");
    let mut answer_from = |text: &str, packet: &[u8]| {
        let reply = answerer.answer(NOW, address(text), Transport::Udp, packet, &view);
        (reply.proxy, reply.table, reply.is_anonymous)
    };
    assert_eq!(
        answer_from("127.9.1.1", &packet),
        (Some(ProxyId(1)), Some(TableId(1)), false)
    );
    assert_eq!(
        answer_from("127.9.2.1", &packet),
        (Some(ProxyId(2)), Some(TableId(0)), false)
    );
    let anonymous = answer_from("127.0.0.1", &packet);
    assert!(
        anonymous
            .0
            .is_some_and(|proxy| ANONYMOUS_PROXIES.contains(&proxy))
            && anonymous.2
    );
    assert_eq!(
        answer_from("127.0.0.1", &packet),
        anonymous,
        "the same draw each time"
    );
    let mut message = query("_order._tcp.pond.example.", RecordType::SRV, Some(1_232));
    if let Some(edns) = message.edns.as_mut() {
        edns.options_mut()
            .insert(EdnsOption::Subnet(ClientSubnet::new(
                address("127.9.2.0"),
                24,
                0,
            )));
    }
    let packet = message.to_vec().expect("a packet");
    assert_eq!(answer_from("127.0.0.1", &packet).0, Some(ProxyId(2)));
}

/// Of an answer: the response code; serial, lifetime and MINIMUM of its SOA; the number of records.
type Summary = (ResponseCode, Option<(u32, u32, u32)>, usize);

fn summary(name: &str, record_type: RecordType) -> Summary {
    let answer = exchange(
        &mut answerer(1e6),
        &view(6),
        &query(name, record_type, None),
        Transport::Udp,
    )
    .answer;
    let soa = answer
        .authorities
        .iter()
        .find_map(|record| match &record.data {
            RData::SOA(soa) => Some((soa.serial, record.ttl, soa.minimum)),
            _ => None,
        });
    (answer.metadata.response_code, soa, answer.answers.len())
}

#[test]
fn a_missing_name_and_a_missing_type_have_different_answers() {
    let soa = Some((7, 4, 4));
    for (name, record_type) in [
        ("nobody.pond.example.", RecordType::A),
        ("_proof._tcp.nobody.pond.example.", RecordType::SRV),
        ("host-99.hosts.pond.example.", RecordType::A),
    ] {
        assert_eq!(
            summary(name, record_type),
            (ResponseCode::NXDomain, soa, 0),
            "{name}"
        );
    }
    for (name, record_type) in [
        ("hosts.pond.example.", RecordType::A),
        ("_tcp.front-1.pond.example.", RecordType::SRV),
        ("front-1.pond.example.", RecordType::A),
        ("_proof._tcp.front-1.pond.example.", RecordType::TXT),
        ("proof.front-1.pond.example.", RecordType::AAAA),
        ("pond.example.", RecordType::A),
    ] {
        assert_eq!(
            summary(name, record_type),
            (ResponseCode::NoError, soa, 0),
            "{name}"
        );
    }
}

#[test]
fn zone_records_are_answered_and_other_zones_and_unsigned_transfers_are_refused() {
    for (name, record_type) in [
        ("pond.example.", RecordType::SOA),
        ("pond.example.", RecordType::NS),
        ("ns.pond.example.", RecordType::A),
        ("host-3.hosts.pond.example.", RecordType::A),
    ] {
        assert_eq!(
            summary(name, record_type),
            (ResponseCode::NoError, None, 1),
            "{name}"
        );
    }
    for (name, record_type) in [
        ("elsewhere.example.", RecordType::A),
        ("pond.example.", RecordType::AXFR),
    ] {
        assert_eq!(
            summary(name, record_type),
            (ResponseCode::Refused, None, 0),
            "{name}"
        );
    }
}

#[test]
fn queries_are_rate_limited_over_udp_only_and_updates_are_not_implemented() {
    let mut answerer = answerer(10.0);
    let view = view(6);
    let packet = query(
        "_proof._tcp.front-0.pond.example.",
        RecordType::SRV,
        Some(1_232),
    )
    .to_vec()
    .expect("a packet");
    // Answered, truncated and dropped queries.
    let mut counts = [0; 3];
    for _ in 0..100 {
        match answerer
            .answer(NOW, address("127.0.0.1"), Transport::Udp, &packet, &view)
            .packets
            .first()
        {
            None => counts[2] += 1,
            Some(bytes) => {
                let answer = Message::from_vec(bytes).expect("a message");
                counts[usize::from(answer.metadata.truncation)] += 1;
            }
        }
    }
    assert_eq!(counts, [20, 40, 40]);
    assert!(
        answerer
            .answer(NOW, address("127.0.0.1"), Transport::Tcp, &packet, &view)
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
    let answer = exchange(
        &mut crate::fixture::answerer(1e6),
        &view,
        &other,
        Transport::Tcp,
    )
    .answer;
    assert_eq!(answer.metadata.response_code, ResponseCode::NotImp);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Any bytes are dropped or get a response that can be decoded and is within the size limit. A response gets no
    /// reply.
    #[test]
    fn any_packet_is_dropped_or_gets_a_valid_response(
        bytes in prop::collection::vec(any::<u8>(), 0..300), changed_bytes in prop::collection::vec((0usize..80, any::<u8>()), 0..6),
    ) {
        let mut answerer = answerer(1e6);
        let view = view(40);
        let mut almost_valid = query("_proof._tcp.front-0.pond.example.", RecordType::SRV, Some(1_232)).to_vec().expect("a packet");
        for (at, byte) in changed_bytes {
            let at = at % almost_valid.len();
            almost_valid[at] = byte;
        }
        for packet in [bytes, almost_valid] {
            let reply = answerer.answer(NOW, address("127.0.0.1"), Transport::Udp, &packet, &view);
            if let Some(answer) = reply.packets.first() {
                prop_assert!(packet[2] & 0x80 == 0, "a response got a reply");
                prop_assert!(answer.len() <= 1_232);
                let decoded = Message::from_vec(answer);
                prop_assert!(decoded.is_ok_and(|message| message.metadata.message_type == MessageType::Response));
            }
        }
    }
}
