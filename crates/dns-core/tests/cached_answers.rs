//! Tracking of the answers that caches may still hold.

use pondarch_controller::{HostId, TableId, Time};
use pondarch_dns_core::{AnsweredHost, CachedAnswers, is_newer};
use proptest::prelude::{ProptestConfig, any, prop, prop_assert, prop_assert_eq, proptest};
use std::collections::BTreeMap;
use std::time::Duration;

fn at(ms: u64) -> Time {
    Time::from_micros(1_000_000_000 + ms * 1_000)
}

fn answered_host(share: f64) -> AnsweredHost {
    AnsweredHost {
        share,
        address: ([127, 0, 0, 1], 80).into(),
        started: Time::default(),
    }
}

fn answered_hosts(shares: &[(&str, f64)]) -> BTreeMap<HostId, AnsweredHost> {
    shares
        .iter()
        .map(|(host, share)| (HostId((*host).into()), answered_host(*share)))
        .collect()
}

const TABLE: TableId = TableId(0);
const MAX_CACHE_TIME: Duration = Duration::from_millis(3_000);

#[test]
fn a_removed_host_lingers_until_the_last_answer_with_it_expires() {
    let mut cached = CachedAnswers::default();
    let a = HostId("a".into());
    cached.record_table(at(0), 1, TABLE, answered_hosts(&[("a", 0.5), ("b", 0.5)]));
    cached.record_answer(at(999), 1, TABLE, MAX_CACHE_TIME);
    cached.record_table(at(1_000), 2, TABLE, answered_hosts(&[("b", 1.0)]));
    cached.record_answer(at(2_000), 2, TABLE, MAX_CACHE_TIME);
    assert_eq!(cached.cached_until(at(2_000), &a), Some(at(3_999)));
    assert_eq!(cached.lingering(at(2_000)).keys().collect::<Vec<_>>(), [&a]);
    assert_eq!(cached.cached_until(at(3_999), &a), None);
    assert!(cached.lingering(at(3_999)).is_empty());
}

#[test]
fn a_replaced_version_without_an_answer_is_not_cached() {
    let mut cached = CachedAnswers::default();
    cached.record_table(at(0), 1, TABLE, answered_hosts(&[("a", 1.0)]));
    cached.record_table(at(1), 2, TABLE, answered_hosts(&[("b", 1.0)]));
    assert_eq!(cached.cached_until(at(1), &HostId("a".into())), None);
    cached.record_answer(at(2), 2, TableId(7), MAX_CACHE_TIME);
    assert_eq!(
        cached.max_share(at(2), TableId(7), &HostId("b".into())),
        0.0
    );
}

/// The previous incarnation was sent with a great weight under the same name and address; the new one is warming up.
#[test]
fn answers_for_an_earlier_incarnation_count_until_they_expire() {
    let mut cached = CachedAnswers::default();
    let a = HostId("a".into());
    let address = answered_host(0.0).address;
    cached.record_table(at(0), 1, TABLE, answered_hosts(&[("a", 0.5), ("b", 0.5)]));
    cached.record_answer(at(900), 1, TABLE, MAX_CACHE_TIME);
    assert_eq!(
        cached.earlier_incarnation_cached_until(at(1_000), &a, address, Time::default()),
        None,
        "the same incarnation"
    );
    assert_eq!(
        cached.earlier_incarnation_cached_until(at(1_000), &a, address, at(950)),
        Some(at(3_900))
    );
    assert_eq!(
        cached.earlier_incarnation_cached_until(
            at(1_000),
            &a,
            ([127, 0, 0, 2], 80).into(),
            at(950)
        ),
        None,
        "another address"
    );
    cached.record_table(
        at(1_000),
        2,
        TABLE,
        [(
            a.clone(),
            AnsweredHost {
                started: at(950),
                ..answered_host(0.02)
            },
        )]
        .into(),
    );
    cached.record_answer(at(2_000), 2, TABLE, MAX_CACHE_TIME);
    assert_eq!(
        cached.earlier_incarnation_cached_until(at(2_000), &a, address, at(950)),
        Some(at(3_900))
    );
    assert_eq!(
        cached.earlier_incarnation_cached_until(at(3_900), &a, address, at(950)),
        None
    );
}

/// The table changes twice between an answer and the report of that answer.
#[test]
fn a_late_report_extends_the_version_that_was_sent() {
    let mut cached = CachedAnswers::default();
    let a = HostId("a".into());
    cached.record_table(at(0), 1, TABLE, answered_hosts(&[("a", 1.0)]));
    cached.record_table(at(5_000), 2, TABLE, answered_hosts(&[("b", 1.0)]));
    cached.record_table(at(5_010), 3, TABLE, answered_hosts(&[("c", 1.0)]));
    cached.record_answer(at(5_020), 1, TABLE, MAX_CACHE_TIME);
    assert_eq!(cached.cached_until(at(5_020), &a), Some(at(8_020)));
    assert_eq!(cached.cached_until(at(5_020), &HostId("b".into())), None);
}

#[test]
fn a_zone_copy_extends_its_own_and_newer_versions_only() {
    let mut cached = CachedAnswers::default();
    let a = HostId("a".into());
    for (serial, host) in [(1, "a"), (2, "b"), (3, "c")] {
        cached.record_table(at(0), serial, TABLE, answered_hosts(&[(host, 1.0)]));
        cached.record_zone_copy(at(0), serial, MAX_CACHE_TIME);
    }
    cached.record_zone_copy(at(2_000), 2, MAX_CACHE_TIME);
    assert_eq!(cached.cached_until(at(2_000), &a), Some(at(3_000)));
    assert_eq!(
        cached.cached_until(at(2_000), &HostId("b".into())),
        Some(at(5_000))
    );
    // A newer zone contains the last version of a table that has not changed since.
    cached.record_zone_copy(at(4_000), 9, MAX_CACHE_TIME);
    assert_eq!(
        cached.cached_until(at(4_000), &HostId("c".into())),
        Some(at(7_000))
    );
    assert!(is_newer(3, u32::MAX) && !is_newer(u32::MAX, 3) && !is_newer(3, 3));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    /// Compares with a list of all answers: none that may be cached is missed, also when versions are merged.
    #[test]
    fn no_cached_answer_is_missed(steps in prop::collection::vec((0u64..400, 0usize..4, 0.0..1.0f64, any::<bool>()), 1..120)) {
        let mut cached = CachedAnswers::default();
        let mut now = 0;
        let mut answers = Vec::new();
        let mut table = answered_hosts(&[("h0", 1.0)]);
        cached.record_table(at(0), 1, TABLE, table.clone());
        for (elapsed_ms, host, share, answer) in steps {
            now += elapsed_ms;
            if answer {
                cached.record_answer(at(now), now as u32, TABLE, MAX_CACHE_TIME);
                answers.push((now + 3_000, table.clone()));
            } else {
                table.retain(|_, _| share > 0.3);
                table.insert(HostId(format!("h{host}").into()), answered_host(share));
                cached.record_table(at(now), now as u32, TABLE, table.clone());
            }
            for host in (0..4).map(|n| HostId(format!("h{n}").into())) {
                let unexpired = answers.iter().filter(|(cached_until, _)| *cached_until > now);
                let max_share = unexpired.filter_map(|(_, hosts)| hosts.get(&host)).map(|host| host.share).fold(0.0, f64::max);
                prop_assert!(cached.max_share(at(now), TABLE, &host) >= max_share);
                prop_assert_eq!(cached.cached_until(at(now), &host).is_some() || max_share == 0.0, true);
            }
        }
    }
}
