//! Proxies that take their tables from the DNS front.

use crate::town::*;
use pondarch_config::Length;
use pondarch_config::hosts::HostState;
use pondarch_config::site::{Dns, Secondary};
use pondarch_controller::{ProxyId, TableId};
use pondarch_daemon_core::{Event, Input, LoadTold, Output};
use pondarch_dns_core::SecondaryEvent;
use pondarch_dns_server::UNBOUND_TABLE;
use std::collections::{BTreeMap, VecDeque};

/// Two proxies with a runtime API, and two that ask for names; answers live 4 s, or 3 s with secondaries.
fn town() -> Town {
    town_with(Vec::new())
}

fn town_with(secondaries: Vec<Secondary>) -> Town {
    town_of(secondaries, &[2, 3])
}

/// These of four proxies ask by name.
fn town_of(secondaries: Vec<Secondary>, by_name: &[usize]) -> Town {
    let mut site = site(4);
    site.dns = Some(Dns {
        zone: "pond.example".into(),
        listen: ([127, 0, 0, 1], 0).into(),
        grace: Length::millis(6_000),
        learns_within: Length::millis(500),
        lifetime: None,
        answers_per_second: 50.0,
        secondaries,
        behind: Length::millis(1_000),
        expires: Length::millis(60_000),
    });
    by_name.iter().for_each(|&n| site.proxies[n].runtime = None);
    let mut town = Town::open(&site, 12);
    town.run(3_000);
    assert_eq!(town.info("ProxiesJoined"), 4 - by_name.len() as u64);
    town
}

fn asks(town: &mut Town, proxy: u16) {
    let view = town.core.view();
    let table = view
        .table_of(
            Some(ProxyId(proxy)),
            pondarch_controller::RequestClassId(0),
            1,
        )
        .map(|table| table.0);
    town.give(Input::AskedByName {
        proxy: Some(proxy),
        table,
        serial: view.serial,
    });
}

fn bound(town: &Town, proxy: u16) -> Option<TableId> {
    town.core
        .view()
        .bindings
        .get(&(ProxyId(proxy), pondarch_controller::RequestClassId(0)))
        .copied()
}

#[test]
fn who_asks_is_joined_and_bound_and_who_asks_no_more_has_left() {
    let mut town = town();
    assert!(bound(&town, 2).is_none());
    asks(&mut town, 2);
    town.run(1_000);
    let table = bound(&town, 2).expect("bound");
    assert!(!town.core.view().table_hosts(table).is_empty());
    assert!(bound(&town, 3).is_none());
    for _ in 0..10 {
        town.run(3_000);
        asks(&mut town, 2);
    }
    assert_eq!(bound(&town, 2), Some(table), "asking again changes nothing");
    town.run(30_000);
    assert!(bound(&town, 2).is_none());
    let left = |event: &&Event| matches!(event, Event::Left { proxy, .. } if proxy == "front-2");
    assert_eq!(town.events.iter().filter(left).count(), 1);
    assert_eq!(town.info("NamesAsking"), 0);
    // Those with a runtime API are not touched by any of it.
    assert_eq!(town.info("ProxiesJoined"), 2);
    asks(&mut town, 0);
    assert_eq!(town.info("NamesAsking"), 0);
}

/// A table that the module keeps no longer may name hosts that hang or start cold: strangers are bound like proxies, and
/// what nobody is bound to is given to nobody.
#[test]
fn strangers_are_bound_like_proxies_and_no_other_table_is_given_away() {
    let mut town = town();
    let first = town.core.view();
    let standing = first
        .table_of(None, pondarch_controller::RequestClassId(0), 77)
        .expect("the list itself");
    assert!(standing == UNBOUND_TABLE && first.table_hosts(standing).len() == 12);
    for mark in 0..40 {
        let stranger = first.anonymous_proxy(mark).map(|id| id.0);
        town.give(Input::AskedByName {
            proxy: stranger,
            table: Some(UNBOUND_TABLE.0),
            serial: first.serial,
        });
    }
    town.run(500);
    assert_eq!(
        (
            town.info("NamesStrangersAsking"),
            town.info("NamesAsking"),
            town.info("Proxies")
        ),
        (4, 0, 4)
    );
    asks(&mut town, 2);
    town.run(500);
    for _ in 0..20 {
        let view = town.core.view();
        let used: std::collections::BTreeSet<_> = view
            .bindings
            .values()
            .copied()
            .chain([UNBOUND_TABLE])
            .collect();
        assert!(view.tables.keys().all(|table| used.contains(table)));
        assert!(
            view.table_of(None, pondarch_controller::RequestClassId(0), 77)
                .is_some()
        );
        town.run(2_000);
        asks(&mut town, 2);
    }
    assert_eq!(town.info("NamesStrangersAsking"), 0, "they asked no more");
    assert_eq!(town.info("NamesAsking"), 1);
}

/// What hosts say of themselves, where no proxy brings sums: one is as busy as can be, one says nothing.
#[test]
fn a_host_that_only_plain_proxies_meet_is_judged_by_its_own_word() {
    let mut town = town_of(Vec::new(), &[0, 1, 2, 3]);
    let word = |n: usize| LoadTold {
        busy: Some(if n == 5 { 1.0 } else { 0.3 }),
        queue: Some(if n == 5 { 9.0 } else { 0.0 }),
        service_ms: None,
        rate: Some(8.0),
        errored_rate: Some(0.0),
    };
    let weight = |town: &Town, name: &str| {
        let view = town.core.view();
        let lines = view
            .tables
            .iter()
            .filter(|(table, _)| **table != UNBOUND_TABLE)
            .flat_map(|(_, lines)| lines);
        lines
            .filter(|line| *line.host.0 == *name)
            .map(|line| line.weight)
            .sum::<f64>()
    };
    let mut before = (0.0, 0.0);
    for step in 0..60 {
        (0..4).for_each(|proxy| asks(&mut town, proxy));
        for n in (0..12).filter(|n| step < 20 || *n != 7) {
            let load = Some(if step < 20 {
                LoadTold {
                    busy: Some(0.3),
                    queue: Some(0.0),
                    ..word(n)
                }
            } else {
                word(n)
            });
            town.give(Input::Probed {
                host: format!("host-{n}"),
                for_load: true,
                good: true,
                load,
            });
        }
        if step == 19 {
            before = (weight(&town, "host-5"), weight(&town, "host-7"));
        }
        town.run(500);
    }
    assert!(before.0 > 0.0 && before.1 > 0.0);
    let after = (weight(&town, "host-5"), weight(&town, "host-7"));
    assert!(
        after.0 < before.0 * 0.7,
        "busy: {} after {}",
        after.0,
        before.0
    );
    assert!(
        after.1 < before.1 * 0.1,
        "silent: {} after {}",
        after.1,
        before.1
    );
}

#[test]
fn a_drain_leaves_the_answers_at_once_and_lingers_no_longer_than_the_grace() {
    let mut town = town();
    asks(&mut town, 2);
    town.run(1_000);
    asks(&mut town, 2);
    let table = bound(&town, 2).expect("bound");
    let host_of = town.core.view().table_hosts(table)[0].host.clone();
    let serial = town.core.view().serial;
    // The drain is learnt just after an answer.
    let told = town.now;
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    hosts
        .iter_mut()
        .filter(|host| *host.name == *host_of.0)
        .for_each(|host| host.state = HostState::Drain);
    town.list(hosts);
    let view = town.core.view();
    assert!(view.serial > serial);
    assert!(
        view.tables
            .values()
            .flatten()
            .all(|line| line.host != host_of),
        "it is answered no more"
    );
    let lingering = town.command(1, "show map lingering");
    assert!(lingering.contains(&*host_of.0), "{lingering}");
    town.run(6_000);
    assert!(town.now - told <= 6_000_000);
    assert!(!town.command(1, "show map lingering").contains(&*host_of.0));
}

#[test]
fn an_emptied_list_and_a_refilled_one() {
    let mut town = town();
    asks(&mut town, 2);
    town.run(1_000);
    let table = bound(&town, 2).expect("bound");
    let before = town.core.view().table_hosts(table).to_vec();
    town.list(Vec::new());
    town.run(1_000);
    // What the table last had is given for as long as it runs out within the grace, and no longer.
    let view = town.core.view();
    assert!(view.last_answers.contains(&table) && view.table_hosts(table) == before);
    town.run(2_450);
    assert!(!town.core.view().table_hosts(table).is_empty());
    town.run(100);
    assert!(
        town.core.view().table_hosts(table).is_empty(),
        "the grace ends in 2.5 s: 0.5 to learn, 1 held, 1 counted"
    );
    assert_eq!(bound(&town, 2), Some(table), "still bound");
    let serial = town.core.view().serial;
    town.list((0..12).map(host).collect());
    town.run(2_000);
    asks(&mut town, 2);
    town.run(1_000);
    let view = town.core.view();
    assert!(view.serial > serial && view.last_answers.is_empty());
    assert!(bound(&town, 2).is_some_and(|table| !view.table_hosts(table).is_empty()));
}

/// A list that names one drained host fewer does not bring it back as a last answer.
#[test]
fn a_host_that_drained_long_ago_is_in_no_last_answer() {
    let mut town = town();
    asks(&mut town, 2);
    town.run(1_000);
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    hosts
        .iter_mut()
        .skip(1)
        .for_each(|host| host.state = HostState::Drain);
    town.list(hosts);
    town.run(5_000);
    town.list(Vec::new());
    town.run(500);
    let view = town.core.view();
    let named: Vec<_> = view
        .tables
        .values()
        .flatten()
        .map(|line| &*line.host.0)
        .collect();
    assert!(
        !named.is_empty() && named.iter().all(|name| *name == "host-0"),
        "{named:?}"
    );
}

/// Reqs a second of each proxy, and what a warm host can do, so that the fleet is at 0.6.
const EACH: f64 = 1.8;
const FALL_MULTIPLE: f64 = 2.5;

/// What all proxies bring a host a second: those with a runtime API by what they hold, those that ask by what their
/// caches hold.
struct Load {
    /// By proxy: until when its answer is held, and each host's part in it.
    caches: BTreeMap<u16, (u64, BTreeMap<String, f64>)>,
}

impl Load {
    fn at(&mut self, town: &mut Town, host: &str) -> f64 {
        for proxy in [2, 3] {
            if self
                .caches
                .get(&proxy)
                .is_none_or(|(until, _)| *until <= town.now)
            {
                asks(town, proxy);
                let view = town.core.view();
                let table = view.table_of(
                    Some(ProxyId(proxy)),
                    pondarch_controller::RequestClassId(0),
                    1,
                );
                let lines = table
                    .map(|table| view.table_hosts(table).to_vec())
                    .unwrap_or_default();
                let all: f64 = lines.iter().map(|line| line.weight).sum();
                let parts = lines
                    .iter()
                    .map(|line| (line.host.0.to_string(), line.weight / all))
                    .collect();
                // The worst that a cache does: it counts whole seconds.
                self.caches.insert(proxy, (town.now + 5 * SECOND, parts));
            }
        }
        let held = self
            .caches
            .values()
            .filter_map(|(_, parts)| parts.get(host))
            .sum::<f64>();
        let by_runtime = [0, 1].map(|n| {
            let serving = town.serving(n, "proof");
            let all: f64 = serving.values().map(|(_, weight)| f64::from(*weight)).sum();
            serving
                .get(host)
                .map_or(0.0, |(_, weight)| f64::from(*weight) / all)
        });
        EACH * (held + by_runtime.iter().sum::<f64>())
    }
}

/// A host is replaced under its own name and address: caches hold its old, heavy line, which nobody can take back, while
/// the other front would bring it its new one on top.
#[test]
fn a_cold_host_is_not_pushed_over_by_both_fronts_together() {
    let mut worst = 0.0f64;
    for n in 0..12 {
        let mut town = town();
        let mut load = Load {
            caches: BTreeMap::new(),
        };
        let name = format!("host-{n}");
        for _ in 0..30 {
            town.run(100);
            load.at(&mut town, &name);
        }
        let start = town.now;
        let mut hosts: Vec<_> = (0..12).map(host).collect();
        hosts[n].started = Some(start as f64 / 1e6);
        town.list(hosts);
        let (mut brought, mut returned) = (VecDeque::new(), None);
        while town.now < start + 18 * SECOND {
            town.run(100);
            let now = load.at(&mut town, &name);
            brought.push_back(now * 0.1);
            if brought.len() > 20 {
                brought.pop_front();
            }
            let age = (town.now - start) as f64 / 1e6;
            let share = 0.2 + 0.8 * age / 18.0;
            // Answers from before the start are no steward's to take back; theirs have run out after 5.2 s.
            if age > 5.3 {
                let part = brought.iter().sum::<f64>() / (FALL_MULTIPLE * share * 2.0);
                worst = worst.max(part);
            }
            let own = [0, 1]
                .iter()
                .any(|&p| town.serving(p, "proof").contains_key(&name));
            let answered = town
                .core
                .view()
                .tables
                .values()
                .flatten()
                .any(|line| *line.host.0 == *name);
            if age < 2.0
                && load
                    .caches
                    .values()
                    .any(|(_, parts)| parts.contains_key(&name))
            {
                assert!(
                    !own && !answered,
                    "{name} is met by old answers, and by new ones at {age} s"
                );
            }
            if own || answered {
                returned.get_or_insert(age);
            }
        }
        assert!(
            returned.is_some_and(|age| age < 8.0),
            "{name} came back at {returned:?}"
        );
    }
    assert!(worst < 1.0, "{worst} of what a cold host bears");
}

#[test]
fn a_host_that_is_alone_is_not_kept_out() {
    let mut town = town();
    town.list(vec![host(0)]);
    town.run(8_000);
    asks(&mut town, 2);
    town.run(300);
    let mut again = host(0);
    again.started = Some(town.now as f64 / 1e6);
    town.list(vec![again]);
    town.run(300);
    let view = town.core.view();
    assert!(
        view.tables.values().any(|lines| !lines.is_empty()),
        "a cold host is better than none"
    );
    assert!(town.serving(0, "proof").contains_key("host-0"));
}

fn says(town: &mut Town) -> Vec<u16> {
    let said = town.outputs.drain(..).filter_map(|output| match output {
        Output::SayChanged { secondary } => Some(secondary),
        _ => None,
    });
    said.collect()
}

#[test]
fn secondaries_are_told_of_changes_and_what_they_still_serve_lingers() {
    let secondary = |n: u16| Secondary {
        address: ([127, 0, 0, 1], 5_300 + n).into(),
        key: format!("second-{n}"),
        secret_file: "none".into(),
    };
    let mut town = town_with(vec![secondary(0), secondary(1)]);
    town.run(2_000);
    let serial = town.core.view().serial;
    for n in [0, 1] {
        town.give(Input::Secondary {
            n,
            heard: SecondaryEvent::Transferred(serial),
        });
    }
    town.events.clear();
    says(&mut town);
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    hosts[3].state = HostState::Drain;
    let told = town.now;
    town.list(hosts);
    assert_eq!(says(&mut town), [0, 1]);
    let serial = town.core.view().serial;
    town.give(Input::Secondary {
        n: 0,
        heard: SecondaryEvent::Acknowledged,
    });
    town.give(Input::Secondary {
        n: 0,
        heard: SecondaryEvent::Transferred(serial),
    });
    assert!(
        town.command(1, "show map secondaries")
            .contains("second-1 holds")
    );
    // The other is cut off: it is told again, said to be late, and what it serves goes on lingering.
    town.run(9_000);
    assert!(says(&mut town).iter().filter(|n| **n == 1).count() >= 4);
    let late = |event: &&Event| matches!(event, Event::SecondaryLate { secondary } if secondary == "second-1");
    assert_eq!(town.events.iter().filter(late).count(), 1);
    assert!(town.command(1, "show map lingering").contains("host-3"));
    let serial = town.core.view().serial;
    town.give(Input::Secondary {
        n: 0,
        heard: SecondaryEvent::Transferred(serial),
    });
    town.give(Input::Secondary {
        n: 1,
        heard: SecondaryEvent::Transferred(serial),
    });
    let fetched = town.now;
    while town.command(1, "show map lingering").contains("host-3") {
        town.run(50);
        assert!(
            town.now - fetched < 4_500_000,
            "answers live 3 s, and 1 for how caches count"
        );
    }
    assert!(town.now - told > 12 * SECOND);
}

#[test]
fn serials_never_go_back_when_a_steward_starts_again() {
    let mut first = town();
    for n in 0..8 {
        let mut hosts: Vec<_> = (0..12).map(host).collect();
        hosts[n].weight = 4.0;
        first.list(hosts);
        first.run(1_500);
    }
    let before = first.core.view().serial;
    assert!(u64::from(before) >= START / SECOND, "seconds since 1970");
    // Another process starts later than the first was last heard of.
    assert!(u64::from(before) <= first.now / SECOND + 8, "{before}");
}
