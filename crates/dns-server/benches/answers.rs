//! Queries a second on one core and the longest of them, by the size of the table; and memory by tracked proxies:
//! `cargo bench -p pondarch-dns-server`.

use hdrhistogram::Histogram;
use pondarch_controller::{HostId, ProxyId, RequestClassId, TableId, Time};
use pondarch_dns_core::{Lifetime, Members, RateLimiter};
use pondarch_dns_server::ask::question;
use pondarch_dns_server::{Answerer, Copies, Line, Transport, View, Zone, rows};
use std::net::IpAddr;
use std::time::Duration;
use std::time::Instant;

const NOW: Time = Time::from_micros(1_800_000_000_000_000);
const FROM: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);
const ASKED: usize = 20_000;

fn zone(proxies: usize) -> Zone {
    let life = Lifetime::for_drain_grace(
        Duration::from_millis(6_000),
        Duration::from_millis(500),
        None,
    )
    .expect("it fits");
    let names: Vec<String> = (0..proxies).map(|n| format!("front-{n}")).collect();
    let kinds = ["proof", "order", "release"].map(String::from);
    Zone::new("pond.example", FROM, life, &kinds, &names, Vec::new()).expect("a zone")
}

fn view(proxies: usize, tables: usize, lines: usize) -> View {
    let addr = |n: usize| ([127, 0, (n / 200) as u8, (n % 200) as u8 + 1], 8_000).into();
    let line = |n: usize| Line {
        host: HostId(format!("amersfoort-{n}").into()),
        addr: addr(n),
        weight: 1.0 + (n % 7) as f64,
        cold: false,
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
                    (0..lines).map(|l| line(t * lines + l)).collect(),
                )
            })
            .collect(),
        bound: (0..proxies).flat_map(bound).collect(),
        hosts: (0..tables * lines)
            .map(|n| (HostId(format!("amersfoort-{n}").into()), addr(n)))
            .collect(),
        ..View::default()
    }
}

fn answers(lines: usize, over: Transport) {
    let (view, proxies) = (view(20, 4, lines), 20);
    let mut answerer = Answerer::new(
        zone(proxies),
        RateLimiter::new(1e6, 1_000, NOW),
        Copies::new(Vec::new()),
        5,
    );
    let packets: Vec<Vec<u8>> = (0..proxies)
        .map(|p| {
            question(7, &format!("_proof._tcp.front-{p}.pond.example"), "SRV").expect("a question")
        })
        .collect();
    let mut times = Histogram::<u64>::new(3).expect("three digits");
    let (mut bytes, begun) = (0, Instant::now());
    for n in 0..ASKED {
        let one = Instant::now();
        // The clock goes on, so that the source's account does not run out.
        let now = NOW + Duration::from_micros(n as u64 * 10);
        let reply = answerer.answer(now, FROM, over, &packets[n % proxies], &view);
        times.record(one.elapsed().as_nanos() as u64).ok();
        bytes += reply.packets.iter().map(Vec::len).sum::<usize>();
    }
    let (each, per_s) = (bytes / ASKED, ASKED as f64 / begun.elapsed().as_secs_f64());
    let us = |part| times.value_at_quantile(part) as f64 / 1e3;
    println!(
        "{over:?} {lines:>4} lines: {each:>6} bytes, {per_s:>8.0} a second, p50 {:.1} us, p99 {:.1} us, p99.9 {:.1} us",
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
    let begun = Instant::now();
    let rows = rows(&zone, &view);
    let (count, took) = (rows.len(), begun.elapsed().as_secs_f64() * 1e3);
    println!("{proxies:>6} proxies: {tracked} KiB; as {count} rows for copies in {took:.1} ms");
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
