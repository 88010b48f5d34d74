//! Queries a second on one core and the longest of them, by the size of the table; and memory by tracked proxies:
//! `cargo bench -p pondarch-dns-server`.

use hdrhistogram::Histogram;
use pondarch_controller::{HostId, ProxyId, RequestClassId, TableId, Time};
use pondarch_dns_core::{Lifetime, Members, RateLimiter};
use pondarch_dns_server::client::encode_query;
use pondarch_dns_server::{Answerer, TableHost, Transport, View, Zone, ZoneTransfers, zone_rows};
use std::net::IpAddr;
use std::time::{Duration, Instant};

const NOW: Time = Time::from_micros(1_800_000_000_000_000);
const FROM: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);
const QUERIES: usize = 20_000;

fn zone(proxies: usize) -> Zone {
    let lifetime = Lifetime::for_drain_grace(
        Duration::from_millis(6_000),
        Duration::from_millis(500),
        None,
    )
    .expect("a lifetime");
    let names: Vec<String> = (0..proxies).map(|n| format!("front-{n}")).collect();
    let classes = ["proof", "order", "release"].map(String::from);
    Zone::new("pond.example", FROM, lifetime, &classes, &names, Vec::new()).expect("a zone")
}

fn view(proxies: usize, tables: usize, lines: usize) -> View {
    let address = |n: usize| ([127, 0, (n / 200) as u8, (n % 200) as u8 + 1], 8_000).into();
    let table_host = |n: usize| TableHost {
        host: HostId(format!("amersfoort-{n}").into()),
        address: address(n),
        weight: 1.0 + (n % 7) as f64,
        warming_up: false,
    };
    let bound = |p: usize| {
        (0..3).map(move |k| {
            (
                (ProxyId(p as u16), RequestClassId(k)),
                TableId((p % tables) as u16),
            )
        })
    };
    View {
        serial: 7,
        tables: (0..tables)
            .map(|t| {
                (
                    TableId(t as u16),
                    (0..lines).map(|l| table_host(t * lines + l)).collect(),
                )
            })
            .collect(),
        bindings: (0..proxies).flat_map(bound).collect(),
        hosts: (0..tables * lines)
            .map(|n| (HostId(format!("amersfoort-{n}").into()), address(n)))
            .collect(),
        ..View::default()
    }
}

fn answers(lines: usize, transport: Transport) {
    let proxies = 20;
    let view = view(proxies, 4, lines);
    let mut answerer = Answerer::new(
        zone(proxies),
        RateLimiter::new(1e6, 1_000, NOW),
        ZoneTransfers::new(Vec::new()),
        5,
    );
    let packets: Vec<Vec<u8>> = (0..proxies)
        .map(|p| {
            encode_query(7, &format!("_proof._tcp.front-{p}.pond.example"), "SRV")
                .expect("a question")
        })
        .collect();
    let mut times = Histogram::<u64>::new(3).expect("three digits");
    let mut bytes = 0;
    let started = Instant::now();
    for n in 0..QUERIES {
        let query_started = Instant::now();
        // The clock goes on, so that the source's tokens do not run out.
        let now = NOW + Duration::from_micros(n as u64 * 10);
        let reply = answerer.answer(now, FROM, transport, &packets[n % proxies], &view);
        times.record(query_started.elapsed().as_nanos() as u64).ok();
        bytes += reply.packets.iter().map(Vec::len).sum::<usize>();
    }
    let each = bytes / QUERIES;
    let per_s = QUERIES as f64 / started.elapsed().as_secs_f64();
    let us = |part| times.value_at_quantile(part) as f64 / 1e3;
    println!(
        "{transport:?} {lines:>4} lines: {each:>6} bytes, {per_s:>8.0} a second, p50 {:.1} us, p99 {:.1} us, p99.9 {:.1} us",
        us(0.5),
        us(0.99),
        us(0.999)
    );
}

/// Resident memory, in KiB.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * 4
}

fn memory(proxies: usize) {
    let before = resident();
    let zone = zone(proxies);
    let view = view(proxies, (proxies / 5).min(400), 8);
    let mut members = Members::new(Duration::from_millis(5_000), 60_000);
    for p in 0..proxies {
        members.record_query(NOW, ProxyId(p as u16));
    }
    let tracked = resident().saturating_sub(before);
    let started = Instant::now();
    let rows = zone_rows(&zone, &view);
    let count = rows.len();
    let elapsed_ms = started.elapsed().as_secs_f64() * 1e3;
    println!(
        "{proxies:>6} proxies: {tracked} KiB; as {count} rows for copies in {elapsed_ms:.1} ms"
    );
}

fn main() {
    for lines in [4, 12, 60, 170] {
        answers(lines, Transport::Udp);
    }
    for lines in [12, 170] {
        answers(lines, Transport::Tcp);
    }
    for proxies in [1_000, 60_000] {
        memory(proxies);
    }
}
