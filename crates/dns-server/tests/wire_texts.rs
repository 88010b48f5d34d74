//! Compares packets of the DNS server byte for byte with fixed ids and a fixed seed: queries, answers of each type, a
//! notification and a signed transfer. Each line of `wire_texts.txt` has the name of a packet and the packet as hex.

use pondarch_controller::{HostId, ProxyId, RequestClassId, TableId, Time};
use pondarch_dns_core::{Lifetime, RateLimiter};
use pondarch_dns_server::secondary::{Transfer, ZoneCopy};
use pondarch_dns_server::{
    Answerer, TableHost, Transport, TsigKey, View, Zone, ZoneTransfers, client, zone_rows,
};
use std::net::IpAddr;
use std::time::Duration;

const NOW: Time = Time::from_micros(1_800_000_000_000_000);
const NOW_S: u64 = 1_800_000_000;
const CLIENT: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);
const EXPECTED: &str = include_str!("wire_texts.txt");

fn key() -> TsigKey {
    TsigKey::new("second.pond.example", vec![1; 32]).expect("a key")
}

/// A table of two hosts, one with an IPv4 and one with an IPv6 address.
fn view() -> View {
    let addresses = ["127.0.0.1:8000", "[::1]:8001"].map(|text| text.parse().expect("an address"));
    let host = |n: usize| HostId(format!("host-{n}").into());
    let table_host = |n: usize| TableHost {
        host: host(n),
        address: addresses[n],
        weight: 1.0,
        warming_up: false,
    };
    View {
        serial: 7,
        tables: [(TableId(0), vec![table_host(0), table_host(1)])].into(),
        bindings: [((ProxyId(0), RequestClassId(0)), TableId(0))].into(),
        hosts: (0..2).map(|n| (host(n), addresses[n])).collect(),
        last_answers: Default::default(),
        anonymous_proxies: vec![ProxyId(1), ProxyId(2)],
    }
}

fn answerer() -> Answerer {
    let lifetime = Lifetime::for_drain_grace(
        Duration::from_millis(6_000),
        Duration::from_millis(500),
        None,
    )
    .expect("a lifetime");
    let names = |name: &str| vec![name.to_string()];
    let zone = Zone::new(
        "pond.example",
        CLIENT,
        lifetime,
        &names("proof"),
        &names("front-0"),
        Vec::new(),
    );
    let transfers = ZoneTransfers::new(vec![key()]);
    Answerer::new(
        zone.expect("a zone"),
        RateLimiter::new(1e6, 100, NOW),
        transfers,
        5,
    )
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The expected packets with this name, in order.
fn expected(name: &str) -> Vec<&'static str> {
    EXPECTED
        .lines()
        .filter_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
        .collect()
}

fn check(name: &str, packets: &[Vec<u8>]) {
    let packets: Vec<String> = packets.iter().map(|packet| hex(packet)).collect();
    assert_eq!(packets, expected(name), "{name}");
}

/// Checks the packet of a query and that of its answer.
fn check_query_and_answer(label: &str, name: &str, record_type: &str) {
    let query = client::encode_query(4_711, name, record_type).expect("a query");
    let reply = answerer().answer(NOW, CLIENT, Transport::Udp, &query, &view());
    check(&format!("{label} query"), &[query]);
    check(&format!("{label} answer"), &reply.packets);
}

#[test]
fn srv_records() {
    check_query_and_answer("SRV", "_proof._tcp.front-0.pond.example", "SRV");
}

#[test]
fn address_records() {
    check_query_and_answer("A", "host-0.hosts.pond.example", "A");
    check_query_and_answer("AAAA", "host-1.hosts.pond.example", "AAAA");
}

#[test]
fn apex_records() {
    check_query_and_answer("SOA", "pond.example", "SOA");
    check_query_and_answer("NS", "pond.example", "NS");
}

#[test]
fn negative_and_refused_answers() {
    check_query_and_answer("missing name", "nobody.pond.example", "A");
    check_query_and_answer("missing type", "host-0.hosts.pond.example", "SRV");
    check_query_and_answer("other zone", "pond.invalid", "A");
}

#[test]
fn notification() {
    let mut answerer = answerer();
    let rows = zone_rows(answerer.zone(), &view());
    answerer.transfers().set_zone(7, rows);
    check(
        "NOTIFY",
        &[answerer.notification(NOW, 0).expect("a notification")],
    );
}

#[test]
fn transfer() {
    let mut answerer = answerer();
    let rows = zone_rows(answerer.zone(), &view());
    answerer.transfers().set_zone(7, rows);
    let (query, _) =
        Transfer::start(99, "pond.example", &ZoneCopy::default(), &key(), NOW_S).expect("a query");
    let reply = answerer.answer(NOW, CLIENT, Transport::Tcp, &query, &view());
    check("transfer query", &[query]);
    check("transfer answer", &reply.packets);
}
