//! A small zone with a view of its tables, and helpers to send queries to it.

use hickory_proto::op::{Edns, Message, MessageType, OpCode, Query};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use pondarch_controller::{HostId, ProxyId, RequestClassId, TableId, Time};
use pondarch_dns_core::{Lifetime, RateLimiter};
use pondarch_dns_server::{Answerer, SourceNet, TableHost, Transport, View, Zone, ZoneTransfers};
use std::net::IpAddr;
use std::time::Duration;

/// The proxies that unknown clients are assigned to. Both have bindings, as the known proxies do.
pub(crate) const ANONYMOUS_PROXIES: [ProxyId; 2] = [ProxyId(3), ProxyId(4)];
pub(crate) const NOW: Time = Time::from_micros(1_000_000_000);

pub(crate) fn address(text: &str) -> IpAddr {
    text.parse().expect("an address")
}

/// A view with `hosts` hosts in table 0 and four others in table 1.
pub(crate) fn view(hosts: usize) -> View {
    let host_address = |n: usize| {
        (
            [127, 0, (n / 200) as u8, (n % 200) as u8 + 1],
            8_000 + n as u16,
        )
            .into()
    };
    let table_host = |n: usize| TableHost {
        host: HostId(format!("host-{n}").into()),
        address: host_address(n),
        weight: 1.0 + (n % 3) as f64,
        warming_up: false,
    };
    let bindings =
        (0..5).flat_map(|p| (0..2).map(move |k| ((ProxyId(p), RequestClassId(k)), TableId(p % 2))));
    View {
        serial: 7,
        tables: [
            (TableId(0), (0..hosts).map(table_host).collect()),
            (TableId(1), (hosts..hosts + 4).map(table_host).collect()),
        ]
        .into(),
        bindings: bindings.collect(),
        hosts: (0..hosts + 4)
            .map(|n| (HostId(format!("host-{n}").into()), host_address(n)))
            .collect(),
        last_answers: Default::default(),
        anonymous_proxies: ANONYMOUS_PROXIES.into(),
    }
}

/// `rate` is the number of answers per second for one source.
pub(crate) fn answerer(rate: f64) -> Answerer {
    let lifetime = Lifetime::for_drain_grace(
        Duration::from_millis(6_000),
        Duration::from_millis(500),
        None,
    )
    .expect("a lifetime");
    let names = |names: &[&str]| names.iter().map(ToString::to_string).collect::<Vec<_>>();
    let zone = Zone::new(
        "pond.example",
        address("127.0.0.53"),
        lifetime,
        &names(&["proof", "order"]),
        &names(&["front-0", "front-1", "front-2"]),
        vec![
            SourceNet {
                address: address("127.9.0.0"),
                prefix_bits: 16,
                proxy: ProxyId(1),
            },
            SourceNet {
                address: address("127.9.2.0"),
                prefix_bits: 24,
                proxy: ProxyId(2),
            },
        ],
    );
    Answerer::new(
        zone.expect("a zone"),
        RateLimiter::new(rate, 1_000, NOW),
        ZoneTransfers::new(Vec::new()),
        5,
    )
}

pub(crate) fn query(name: &str, record_type: RecordType, edns_size: Option<u16>) -> Message {
    let mut message = Message::new(4_711, MessageType::Query, OpCode::Query);
    message.metadata.recursion_desired = true;
    message.add_query(Query::query(
        Name::from_ascii(name).expect("a name"),
        record_type,
    ));
    if let Some(size) = edns_size {
        let mut edns = Edns::new();
        edns.set_max_payload(size);
        message.set_edns(edns);
    }
    message
}

/// The answer to a query, and the proxy that the client was identified as.
pub(crate) struct Exchange {
    pub(crate) answer: Message,
    pub(crate) proxy: Option<ProxyId>,
    pub(crate) is_anonymous: bool,
}

/// Sends a query and checks the size and the header of its answer.
pub(crate) fn exchange(
    answerer: &mut Answerer,
    view: &View,
    message: &Message,
    transport: Transport,
) -> Exchange {
    let packet = message.to_vec().expect("a packet");
    let reply = answerer.answer(NOW, address("127.0.0.1"), transport, &packet, view);
    let bytes = reply.packets.first().expect("an answer").clone();
    if transport == Transport::Udp {
        assert!(bytes.len() <= packet.len() * 20 && bytes.len() <= 1_232);
    }
    let answer = Message::from_vec(&bytes).expect("a message");
    assert_eq!(answer.metadata.id, 4_711);
    assert!(!answer.metadata.recursion_available);
    Exchange {
        answer,
        proxy: reply.proxy,
        is_anonymous: reply.is_anonymous,
    }
}

/// Target and weight of each SRV record of an answer.
pub(crate) fn srv_targets(answer: &Message) -> Vec<(String, u16)> {
    let srv = |record: &Record| match &record.data {
        RData::SRV(srv) => Some((srv.target.to_ascii(), srv.weight)),
        _ => None,
    };
    answer.answers.iter().filter_map(srv).collect()
}
