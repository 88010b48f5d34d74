//! Which versions are applied, and by which connection.

use pondarch_proxy_core::version::{AppliedVersion, Version, VersionError};
use proptest::prelude::{prop, prop_assert, prop_assert_eq, proptest};

fn version(controller: &str, incarnation: u64, batch: u64) -> Version {
    Version {
        controller: controller.into(),
        incarnation,
        batch,
    }
}

proptest! {
    /// Whatever is sent in whatever order, one controller's versions never go back.
    #[test]
    fn versions_of_one_controller_never_decrease(sent in prop::collection::vec((0..2usize, 1..4u64, 1..9u64, 0..5u64), 1..60)) {
        let mut applied = AppliedVersion::default();
        let mut newest = [(0, 0); 2];
        let mut last: Option<usize> = None;
        for (controller, incarnation, batch, connection) in sent {
            let name = ["a", "b"][controller];
            if applied.apply(version(name, incarnation, batch), connection).is_ok() {
                // Taken over from another controller, a batch may be any; of the same one it rises.
                if last == Some(controller) {
                    prop_assert!((incarnation, batch) >= newest[controller]);
                }
                newest[controller] = (incarnation, batch);
                last = Some(controller);
            }
        }
    }

    #[test]
    fn a_written_version_is_read_back(name in "[a-z][a-z0-9:._-]{0,9}", incarnation: u64, batch: u64) {
        let version = version(&name, incarnation, batch);
        prop_assert_eq!(version.to_string().parse(), Ok(version));
    }
}

#[test]
fn two_controllers() {
    let mut applied = AppliedVersion::default();
    assert!(applied.apply(version("a", 1, 7), 1).is_ok());
    assert!(
        applied.apply(version("b", 1, 1), 2).is_ok(),
        "the newer connection wins"
    );
    assert!(matches!(
        applied.apply(version("a", 1, 8), 1),
        Err(VersionError::Displaced { .. })
    ));
    assert!(
        applied.apply(version("a", 1, 8), 3).is_ok(),
        "it has connected again"
    );
    applied.connection_closed(3);
    assert!(!applied.is_connected());
    assert!(
        applied.apply(version("b", 1, 2), 2).is_ok(),
        "the sender is disconnected"
    );
    assert!(matches!(
        applied.apply(version("b", 0, 9), 2),
        Err(VersionError::Older { .. })
    ));
    assert!(
        applied.apply(version("b", 1, 2), 2).is_ok(),
        "the same again is the same batch"
    );
}
