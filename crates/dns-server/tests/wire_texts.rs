//! Exact packets of the DNS server, as hex, with fixed ids and seed: questions, answers of each type, a notification
//! and a signed transfer. Expected lines stand in `wire_texts.txt`: what it is, then the packet.

use pondarch_controller::{HostId, ProxyId, RequestClassId, TableId, Time};
use pondarch_dns_core::{Lifetime, RateLimiter};
use pondarch_dns_server::secondary::{Transfer, ZoneCopy};
use pondarch_dns_server::{
    Answerer, TableHost, Transport, TsigKey, View, Zone, ZoneTransfers, client, zone_rows,
};
use std::net::IpAddr;
use std::time::Duration;

const NOW: Time = Time::from_micros(1_800_000_000_000_000);
const NOW_SECONDS: u64 = 1_800_000_000;
const FROM: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);
const EXPECTED: &str = include_str!("wire_texts.txt");

fn key() -> TsigKey {
    TsigKey::new("second.pond.example", vec![1; 32]).expect("a key")
}

/// One host with an IPv4 address, one with an IPv6 address, in one table.
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
    .expect("it fits");
    let names = |name: &str| vec![name.to_string()];
    let zone = Zone::new(
        "pond.example",
        FROM,
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

/// The expected packets of this name, in order.
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

/// The question's packet and its answer's.
fn check_question(what: &str, name: &str, of: &str) {
    let question = client::encode_query(4_711, name, of).expect("a question");
    let reply = answerer().answer(NOW, FROM, Transport::Udp, &question, &view());
    check(&format!("{what} question"), &[question]);
    check(&format!("{what} answer"), &reply.packets);
}

#[test]
fn service() {
    check_question("SRV", "_proof._tcp.front-0.pond.example", "SRV");
}

#[test]
fn addresses() {
    check_question("A", "host-0.hosts.pond.example", "A");
    check_question("AAAA", "host-1.hosts.pond.example", "AAAA");
}

#[test]
fn zone_records() {
    check_question("SOA", "pond.example", "SOA");
    check_question("NS", "pond.example", "NS");
}

#[test]
fn refusals() {
    check_question("no name", "nobody.pond.example", "A");
    check_question("no data", "host-0.hosts.pond.example", "SRV");
    check_question("not ours", "pond.invalid", "A");
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
    let (question, _) = Transfer::start(
        99,
        "pond.example",
        &ZoneCopy::default(),
        &key(),
        NOW_SECONDS,
    )
    .expect("a question");
    let reply = answerer.answer(NOW, FROM, Transport::Tcp, &question, &view());
    check("transfer question", &[question]);
    check("transfer answer", &reply.packets);
}
