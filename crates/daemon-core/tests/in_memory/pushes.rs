//! Reports that are pushed: late, twice, out of order, by clocks that are off, by senders that rave, and not at all.

use crate::town::*;
use pondarch_config::Length;
use pondarch_config::hosts::HostState;
use pondarch_daemon_core::{Event, Input, Output};
use pondarch_load_report_protocol::{Body, Counted, Own, Report, SenderIs};
use pondarch_proxy_core::holding::Holding;
use pondarch_runtime_api::stat::RowType;
use std::collections::BTreeMap;

const STALE_US: u64 = 6_000_000;

/// One that pushes, with a clock of its own.
struct Pusher {
    name: String,
    is: SenderIs,
    conn: u64,
    run: u64,
    number: u64,
    /// Its clock less ours.
    off: i64,
    word: (u64, u64),
    credit: u32,
}

fn town(lines_per_second: Option<f64>, hosts: usize) -> Town {
    let mut site = site(6);
    site.reports.push = Some("unix:/push".parse().expect("a path"));
    site.reports.lines_per_second = lines_per_second;
    site.reports.every = Length::millis(1_000);
    let mut town = Town::open(&site, hosts);
    town.run(3_000);
    assert_eq!(town.info("ProxiesJoined"), 6);
    town
}

fn body(tables: &Holding) -> Body {
    let counted = tables.rows().into_iter().map(|row| {
        let sums = row.sums.unwrap_or_default();
        Counted {
            backend: row.backend,
            server: (row.of == RowType::Server).then_some(row.server),
            reqs: row.reqs,
            done: sums.done,
            errored: sums.errored,
            done_us: sums.done_time.as_micros() as u64,
            ..Counted::default()
        }
    });
    Body {
        counted: counted.collect(),
        own: None,
    }
}

impl Pusher {
    fn proxy(n: usize, off_s: i64) -> Pusher {
        let name = format!("front-{n}");
        Pusher {
            name,
            is: SenderIs::Proxy,
            conn: 100 + n as u64,
            run: 5,
            number: 0,
            off: off_s * 1_000_000,
            word: (0, 0),
            credit: 0,
        }
    }

    fn theirs(&self, now: u64) -> u64 {
        now.saturating_add_signed(self.off)
    }

    fn come(&mut self, town: &mut Town) {
        let (conn, name, is, run) = (self.conn, self.name.clone(), self.is, self.run);
        town.give(Input::SenderConnected {
            connection: conn,
            name,
            role: is,
            incarnation: run,
        });
        self.hear(town);
    }

    /// Takes the words that were said to it.
    fn hear(&mut self, town: &mut Town) {
        let now = self.theirs(town.now);
        let said = std::mem::take(&mut town.outputs);
        for output in said {
            match output {
                Output::GrantCredit {
                    connection: conn,
                    reports: more,
                    at_us,
                } if conn == self.conn => {
                    self.credit += more;
                    self.word = (at_us, now);
                }
                other => town.outputs.push(other),
            }
        }
    }

    /// The report that it would send now.
    fn report(&mut self, town: &Town, body: Body) -> Report {
        self.number += 1;
        let sent_us = self.theirs(town.now);
        let had_us = sent_us - self.word.1;
        Report {
            number: self.number,
            sent_us,
            word_us: self.word.0,
            had_us,
            body,
        }
    }

    fn send(&mut self, town: &mut Town, report: Report) {
        town.give(Input::ReportReceived {
            connection: self.conn,
            report: Box::new(report),
        });
        self.hear(town);
    }

    fn push(&mut self, town: &mut Town, n: usize) {
        let report = self.report(town, body(&town.fronts[n].tables));
        self.send(town, report);
    }
}

/// A second of traffic at each proxy; each pushes.
fn second(town: &mut Town, pushers: &mut [Pusher]) {
    town.run(500);
    for (n, pusher) in pushers.iter_mut().enumerate() {
        town.traffic(n, 5, 0, 40);
        pusher.push(town, n);
    }
    town.run(500);
}

/// What the module was told of since the last call: rounds, and the oldest figure of all.
fn looked(town: &mut Town) -> (usize, u64) {
    let mut all = (0, 0);
    town.outputs.retain(|output| match output {
        Output::LoadReportsApplied { oldest_us, .. } => {
            all = (all.0 + 1, all.1.max(*oldest_us));
            false
        }
        _ => true,
    });
    all
}

fn stat_reads(town: &mut Town) -> usize {
    let reads = |output: &Output| matches!(output, Output::Write { lines, .. } if lines.iter().any(|line| line == "show stat"));
    let count = town.outputs.iter().filter(|output| reads(output)).count();
    town.outputs.clear();
    count
}

/// Reqs done at all hosts in the round that was told last.
fn done(town: &mut Town) -> u64 {
    let stat = town.command(1, "show stat");
    let header: Vec<&str> = stat.lines().next().unwrap_or_default().split(',').collect();
    let at = header
        .iter()
        .position(|name| *name == "pond_done")
        .expect("our column");
    let hosts = stat.lines().filter(|line| line.starts_with("hosts,"));
    hosts
        .filter_map(|line| line.split(',').nth(at)?.parse::<u64>().ok())
        .sum()
}

fn weights(town: &mut Town) -> BTreeMap<String, f64> {
    let stat = town.command(1, "show stat");
    let rows = stat.lines().filter(|line| line.starts_with("table-"));
    let mut all = BTreeMap::new();
    for row in rows {
        let fields: Vec<&str> = row.split(',').collect();
        let weight: f64 = fields
            .get(18)
            .and_then(|weight| weight.parse().ok())
            .unwrap_or(0.0);
        *all.entry(fields[1].to_string()).or_default() += weight;
    }
    all
}

#[test]
fn who_pushes_is_not_read_and_who_falls_silent_is_read_again_and_no_count_is_taken_twice() {
    let mut town = town(None, 12);
    let mut pushers: Vec<Pusher> = (0..6).map(|n| Pusher::proxy(n, 0)).collect();
    pushers.iter_mut().for_each(|pusher| pusher.come(&mut town));
    for _ in 0..5 {
        second(&mut town, &mut pushers);
    }
    stat_reads(&mut town);
    for _ in 0..5 {
        second(&mut town, &mut pushers);
    }
    assert_eq!(stat_reads(&mut town), 0);
    let tries = |town: &mut Town| {
        let stat = town.command(1, "show stat");
        let hosts = stat
            .lines()
            .filter(|line| line.starts_with("hosts,"))
            .count();
        assert_eq!(hosts, 12);
        town.info("Reports")
    };
    assert_eq!(tries(&mut town), 60);
    // Two of them push no more: their counters are read, and go on from where they were.
    for _ in 0..6 {
        second(&mut town, &mut pushers[2..]);
    }
    let reads = stat_reads(&mut town);
    assert!((4..=8).contains(&reads), "{reads}");
    assert_eq!(town.info("ReportsStale"), 0);
    town.drop_link(0);
    town.run(2_000);
    second(&mut town, &mut pushers[2..]);
}

#[test]
fn twenty_seconds_of_delayed_reports_at_once_are_no_evidence_but_the_newest() {
    let mut town = town(None, 12);
    let mut pushers: Vec<Pusher> = (0..6).map(|n| Pusher::proxy(n, 0)).collect();
    pushers.iter_mut().for_each(|pusher| pusher.come(&mut town));
    for _ in 0..5 {
        second(&mut town, &mut pushers);
    }
    // The way is blocked for 20 s: reports are sent, and wait somewhere; the steward reads on its own meanwhile.
    let mut under_way: Vec<(usize, Report)> = Vec::new();
    for _ in 0..20 {
        town.run(1_000);
        for (n, pusher) in pushers.iter_mut().enumerate() {
            town.traffic(n, 5, 2, 40);
            let report = pusher.report(&town, body(&town.fronts[n].tables));
            under_way.push((n, report));
        }
    }
    looked(&mut town);
    let before = town.info("ReportsStale");
    for (n, report) in under_way {
        pushers[n].send(&mut town, report);
    }
    // What they count was read meanwhile: none of it is taken again as that of a proxy that began anew.
    let counted = done(&mut town);
    town.run(1_500);
    let (_, oldest) = looked(&mut town);
    assert!(oldest < STALE_US, "{oldest} us old");
    assert!(
        done(&mut town) <= counted.max(60),
        "{} after {counted}",
        done(&mut town)
    );
    // 14 s of them are too old to be evidence in any case.
    let stale = town.info("ReportsStale") - before;
    assert!((6 * 13..=6 * 15).contains(&stale), "{stale}");
    for _ in 0..3 {
        second(&mut town, &mut pushers);
    }
    let (_, oldest) = looked(&mut town);
    assert!(oldest < 2_000_000);
}

#[test]
fn clocks_ten_minutes_apart_change_nothing_and_a_jump_is_noticed() {
    for off in [-600, 600] {
        let mut town = town(None, 12);
        let mut pushers: Vec<Pusher> = (0..6).map(|n| Pusher::proxy(n, off)).collect();
        pushers.iter_mut().for_each(|pusher| pusher.come(&mut town));
        for _ in 0..8 {
            second(&mut town, &mut pushers);
        }
        let (rounds, oldest) = looked(&mut town);
        assert!(rounds >= 6 && oldest < 1_500_000, "{oldest}");
        assert_eq!((town.info("ReportsStale"), town.info("ClockJumps")), (0, 0));
        pushers[3].off += 3_600_000_000;
        pushers[3].word.1 = pushers[3].word.1.wrapping_add(3_600_000_000);
        for _ in 0..4 {
            second(&mut town, &mut pushers);
        }
        assert_eq!(town.info("ClockJumps"), 1);
        assert!(looked(&mut town).1 < 1_500_000);
    }
}

#[test]
fn repeated_numbers_and_starts_at_0_are_told_apart_and_harm_nothing() {
    let mut town = town(None, 12);
    let mut pusher = Pusher::proxy(0, 0);
    pusher.come(&mut town);
    town.run(1_000);
    pusher.push(&mut town, 0);
    for _ in 0..50 {
        town.traffic(0, 5, 0, 40);
        pusher.number -= 1;
        pusher.push(&mut town, 0);
    }
    assert_eq!(town.info("ReportsDoubled"), 50);
    (pusher.number, pusher.run) = (0, 6);
    town.fronts[0].tables = {
        let mut fresh = town.fronts[0].tables.clone();
        fresh
            .backends
            .values_mut()
            .for_each(|backend| backend.reqs = 0);
        fresh
    };
    pusher.come(&mut town);
    pusher.push(&mut town, 0);
    assert_eq!(town.info("ReportsRestarted"), 1);
    pusher.number += 10;
    pusher.push(&mut town, 0);
    assert_eq!(town.info("ReportsMissing"), 10);
}

#[test]
fn figures_that_cannot_be_are_refused_whole_counted_and_named() {
    let mut town = town(None, 12);
    let mut pusher = Pusher::proxy(0, 0);
    pusher.come(&mut town);
    town.run(1_000);
    pusher.push(&mut town, 0);
    town.run(1_000);
    for (n, busy) in [-1.0, f64::NAN, 1e300, 40.0].into_iter().enumerate() {
        let mut body = body(&town.fronts[0].tables);
        body.counted
            .iter_mut()
            .take(1)
            .for_each(|of| of.busy = Some(busy));
        let report = pusher.report(&town, body);
        pusher.send(&mut town, report);
        assert_eq!(town.info("ReportsRefused"), n as u64 + 1);
    }
    let mut wild = body(&town.fronts[0].tables);
    wild.counted.iter_mut().for_each(|of| of.done = u64::MAX);
    let report = pusher.report(&town, wild);
    pusher.send(&mut town, report);
    assert_eq!(town.info("ReportsRefused"), 5);
    town.run(1_500);
    let said = |event: &&Event| matches!(event, Event::ReportRejected { error: wrong, .. } if wrong.starts_with("front-0: "));
    assert_eq!(town.events.iter().filter(said).count(), 1, "once a round");
    let mut host = Pusher {
        name: "host-3".into(),
        is: SenderIs::Host,
        ..Pusher::proxy(50, 0)
    };
    host.come(&mut town);
    let own = Own {
        rate: Some(1e9),
        ..Own::default()
    };
    let report = host.report(
        &town,
        Body {
            own: Some(own),
            counted: Vec::new(),
        },
    );
    host.send(&mut town, report);
    assert_eq!(town.info("ReportsRefused"), 6);
}

#[test]
fn a_hundred_thousand_names_leave_no_trace() {
    let mut town = town(None, 12);
    let before = town.command(1, "show memory");
    for n in 0..100_000u64 {
        let is = if n % 2 == 0 {
            SenderIs::Proxy
        } else {
            SenderIs::Host
        };
        town.give(Input::SenderConnected {
            connection: 1_000 + n,
            name: format!("nobody-{n}"),
            role: is,
            incarnation: n,
        });
        town.give(Input::ReportReceived {
            connection: 1_000 + n,
            report: Box::default(),
        });
        town.outputs.clear();
        town.inputs.clear();
    }
    assert_eq!(
        (
            town.info("ReportsOfStrangers"),
            town.info("Senders"),
            town.info("Reports")
        ),
        (100_000, 0, 0)
    );
    town.run(2_000);
    assert_eq!(
        before.lines().next(),
        town.command(1, "show memory").lines().next()
    );
}

/// Hosts that nobody listed, made up by the thousand in each report.
#[test]
fn made_up_hosts_are_counted_and_not_kept() {
    let mut town = town(None, 12);
    let mut pusher = Pusher::proxy(0, 0);
    pusher.come(&mut town);
    for round in 0..20 {
        town.run(1_000);
        let mut body = body(&town.fronts[0].tables);
        body.counted.extend((0..5_000).map(|n| Counted {
            backend: "proof".into(),
            server: Some(format!("made-up-{round}-{n}")),
            done: 3,
            ..Counted::default()
        }));
        let report = pusher.report(&town, body);
        pusher.send(&mut town, report);
        town.inputs.clear();
    }
    town.run(1_500);
    assert_eq!(town.info("ReportsUnlisted"), 100_000);
    let reports = town.info("Memory_reports");
    assert!(reports < 20_000, "{reports}");
}

/// A host that serves and tells nothing of itself any more is judged by what proxies meet there.
#[test]
fn a_host_whose_own_reports_stop_is_not_dead() {
    let mut town = town(None, 12);
    let mut pushers: Vec<Pusher> = (0..6).map(|n| Pusher::proxy(n, 0)).collect();
    pushers.iter_mut().for_each(|pusher| pusher.come(&mut town));
    let mut hosts: Vec<Pusher> = (0..12)
        .map(|n| Pusher {
            name: format!("host-{n}"),
            is: SenderIs::Host,
            ..Pusher::proxy(200 + n, 0)
        })
        .collect();
    hosts.iter_mut().for_each(|host| host.come(&mut town));
    let own = Own {
        busy: Some(0.4),
        waiting: Some(0.0),
        rate: Some(20.0),
        ..Own::default()
    };
    let mut before = BTreeMap::new();
    for step in 0..30 {
        for (n, host) in hosts
            .iter_mut()
            .enumerate()
            .filter(|(n, _)| step < 10 || *n != 4)
        {
            let report = host.report(
                &town,
                Body {
                    own: Some(own),
                    counted: Vec::new(),
                },
            );
            host.send(&mut town, report);
            assert!(n < 12);
        }
        second(&mut town, &mut pushers);
        if step == 9 {
            before = weights(&mut town);
        }
    }
    let after = weights(&mut town);
    assert!(
        after["host-4"] > before["host-4"] * 0.8,
        "{} after {}",
        after["host-4"],
        before["host-4"]
    );
}

/// Nothing is heard for 3 s, as the steward itself stood still: that makes no host silent.
#[test]
fn a_steward_that_stood_still_blames_nobody() {
    let mut town = town(None, 12);
    let mut pushers: Vec<Pusher> = (0..6).map(|n| Pusher::proxy(n, 0)).collect();
    pushers.iter_mut().for_each(|pusher| pusher.come(&mut town));
    for _ in 0..10 {
        second(&mut town, &mut pushers);
    }
    let before = weights(&mut town);
    for round in 0..3 {
        town.now += 3_000_000;
        // What waited comes at once, proxy by proxy, each with time passing between.
        for (n, pusher) in pushers.iter_mut().enumerate() {
            town.traffic(n, 15, 0, 40);
            pusher.push(&mut town, n);
            town.run(20);
        }
        town.run(2_000);
        let after = weights(&mut town);
        let out = before
            .iter()
            .filter(|(host, weight)| after.get(*host).is_none_or(|after| *after < **weight * 0.5));
        assert_eq!(out.count(), 0, "round {round}");
        second(&mut town, &mut pushers);
    }
}

/// Under a budget of a fifth of the hosts, a host that fails is found as soon as without one.
#[test]
fn a_budget_of_lines_hides_no_failing_host() {
    let noticed = |budget: Option<f64>| {
        let mut town = town(budget, 30);
        let mut pushers: Vec<Pusher> = (0..6).map(|n| Pusher::proxy(n, 0)).collect();
        pushers.iter_mut().for_each(|pusher| pusher.come(&mut town));
        for _ in 0..12 {
            second(&mut town, &mut pushers);
        }
        let bad = weights(&mut town)
            .into_iter()
            .find(|(_, weight)| *weight > 0.0)
            .expect("a host")
            .0;
        for step in 0..40 {
            town.run(500);
            for (n, pusher) in pushers.iter_mut().enumerate() {
                town.traffic(n, 6, 0, 40);
                for backend in town.fronts[n].tables.backends.values_mut() {
                    if let Some(server) = backend
                        .servers
                        .get_mut(&bad)
                        .filter(|server| server.serves())
                    {
                        server.sums.done -= 6;
                        server.sums.errored += 6;
                    }
                }
                pusher.push(&mut town, n);
            }
            town.run(500);
            if weights(&mut town)
                .get(&bad)
                .is_none_or(|weight| *weight == 0.0)
            {
                return step;
            }
        }
        99
    };
    let (all, some) = (noticed(None), noticed(Some(6.0)));
    assert!(some <= all + 2, "{some} rounds for {all}");
}

#[test]
fn a_pushed_run_replays_to_the_same() {
    let mut town = town(Some(5.0), 12);
    let mut pushers: Vec<Pusher> = (0..6).map(|n| Pusher::proxy(n, n as i64 * 60)).collect();
    pushers.iter_mut().for_each(|pusher| pusher.come(&mut town));
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    for step in 0..12 {
        second(&mut town, &mut pushers);
        if step == 6 {
            hosts[4].state = HostState::Drain;
            town.list(hosts.clone());
        }
    }
    let text = serde_json::to_string(&town.inputs).expect("inputs can be written");
    let inputs: Vec<(u64, Input)> = serde_json::from_str(&text).expect("and read");
    let play = || {
        let mut site = site(6);
        site.reports.push = Some("unix:/push".parse().expect("a path"));
        site.reports.lines_per_second = Some(5.0);
        let mut core = pondarch_daemon_core::Core::new(
            &site,
            7,
            1,
            START,
            pondarch_controller::Time::from_micros(START),
        );
        let mut outputs = Vec::new();
        for (at, input) in &inputs {
            core.handle(pondarch_controller::Time::from_micros(*at), input.clone());
            outputs.extend(std::iter::from_fn(|| core.next_output()));
        }
        serde_json::to_string(&outputs).expect("written")
    };
    assert_eq!(play(), play());
}
