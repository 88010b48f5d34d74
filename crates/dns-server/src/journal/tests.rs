//! Differences between zone versions, and the bounds of the journal.

use super::{Changes, Journal, MAX_DIFFERENCES, MAX_ROWS};
use crate::rows::Row;
use pondarch_controller::HostId;
use proptest::prelude::{ProptestConfig, prop, prop_assert_eq, proptest};
use std::collections::BTreeSet;

fn row(n: u8) -> Row {
    Row::Host {
        host: HostId(format!("h{n}").into()),
        address: [127, 0, 0, n].into(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, ..ProptestConfig::default() })]

    /// The changes since any earlier serial lead to the current zone.
    #[test]
    fn changes_since_any_serial_lead_to_the_current_zone(zones in prop::collection::vec(prop::collection::btree_set(0u8..30, 10..30), 1..40)) {
        let mut journal = Journal::default();
        let mut versions = Vec::new();
        for (n, zone) in zones.iter().enumerate() {
            let rows: BTreeSet<Row> = zone.iter().copied().map(row).collect();
            journal.set_zone(n as u32 + 5, rows.clone());
            versions.push((n as u32 + 5, rows));
        }
        let (current_serial, current_rows) = versions.last().cloned().expect("a version");
        for (serial, mut rows) in versions {
            match journal.changes_since(serial) {
                Changes::UpToDate => prop_assert_eq!(serial, current_serial),
                Changes::WholeZone => continue,
                Changes::Differences(differences) => {
                    let mut reached = serial;
                    for difference in differences {
                        prop_assert_eq!(difference.from_serial, reached);
                        reached = difference.to_serial;
                        for row in &difference.removed {
                            assert!(rows.remove(row));
                        }
                        for row in difference.added {
                            assert!(rows.insert(row));
                        }
                    }
                    prop_assert_eq!(reached, current_serial);
                }
            }
            prop_assert_eq!(&rows, &current_rows);
        }
        prop_assert_eq!(journal.changes_since(4), Changes::WholeZone);
    }
}

#[test]
fn the_journal_is_bounded_by_rows_and_differences() {
    let mut journal = Journal::default();
    for n in 0..5_000u32 {
        let rows = (0..40).map(|h| row((h + 40 * (n % 5)) as u8)).collect();
        journal.set_zone(n + 1, rows);
        assert!(journal.row_count <= MAX_ROWS && journal.differences.len() <= MAX_DIFFERENCES);
    }
    assert_eq!(journal.changes_since(1), Changes::WholeZone);
    assert!(
        matches!(journal.changes_since(4_999), Changes::WholeZone),
        "the difference is larger than the zone"
    );
}
