//! Measures queries per second on one core and their latency by table size, and memory by the number of proxies. Run
//! with `cargo bench -p pondarch-dns-server`.

use hdrhistogram::Histogram;
use pondarch_controller::{HostId, ProxyId, RequestClassId, TableId, Time};
use pondarch_dns_core::{Lifetime, Members, RateLimiter};
use pondarch_dns_server::client::encode_query;
use pondarch_dns_server::{Answerer, TableHost, Transport, View, Zone, ZoneTransfers, zone_rows};
use std::net::IpAddr;
use std::time::{Duration, Instant};

const NOW: Time = Time::from_micros(1_800_000_000_000_000);
const CLIENT: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);
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
    Zone::new(
        "pond.example",
        CLIENT,
        lifetime,
        &classes,
        &names,
        Vec::new(),
    )
    .expect("a zone")
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

/// Answers `QUERIES` queries for SRV from tables with this many lines, and prints size, rate and latency.
fn measure_answers(lines: usize, transport: Transport) {
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
            encode_query(7, &format!("_proof._tcp.front-{p}.pond.example"), "SRV").expect("a query")
        })
        .collect();
    let mut latencies = Histogram::<u64>::new(3).expect("three digits");
    let mut total_bytes = 0;
    let started = Instant::now();
    for n in 0..QUERIES {
        let query_started = Instant::now();
        // The clock advances so that the rate limit is not reached.
        let now = NOW + Duration::from_micros(n as u64 * 10);
        let reply = answerer.answer(now, CLIENT, transport, &packets[n % proxies], &view);
        latencies
            .record(query_started.elapsed().as_nanos() as u64)
            .ok();
        total_bytes += reply.packets.iter().map(Vec::len).sum::<usize>();
    }
    let mean_bytes = total_bytes / QUERIES;
    let queries_per_s = QUERIES as f64 / started.elapsed().as_secs_f64();
    let latency_us = |quantile| latencies.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "{transport:?} {lines:>4} lines: {mean_bytes:>6} bytes, {queries_per_s:>8.0} a second, p50 {:.1} us, p99 {:.1} us, p99.9 {:.1} us",
        latency_us(0.5),
        latency_us(0.99),
        latency_us(0.999)
    );
}

/// The resident memory of this process in KiB, with pages of 4 KiB.
fn resident_kib() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * 4
}

/// Prints the memory for this many tracked proxies, and the time to convert their view to rows.
fn measure_memory(proxies: usize) {
    let before_kib = resident_kib();
    let zone = zone(proxies);
    let view = view(proxies, (proxies / 5).min(400), 8);
    let mut members = Members::new(Duration::from_millis(5_000), 60_000);
    for p in 0..proxies {
        members.record_query(NOW, ProxyId(p as u16));
    }
    let used_kib = resident_kib().saturating_sub(before_kib);
    let started = Instant::now();
    let rows = zone_rows(&zone, &view);
    let count = rows.len();
    let elapsed_ms = started.elapsed().as_secs_f64() * 1e3;
    println!(
        "{proxies:>6} proxies: {used_kib} KiB; as {count} rows for copies in {elapsed_ms:.1} ms"
    );
}

fn main() {
    for lines in [4, 12, 60, 170] {
        measure_answers(lines, Transport::Udp);
    }
    for lines in [12, 170] {
        measure_answers(lines, Transport::Tcp);
    }
    for proxies in [1_000, 60_000] {
        measure_memory(proxies);
    }
}
