//! Tests which versions are applied, and from which connections.

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
    /// For any sequence of versions, the applied versions of one controller never decrease.
    #[test]
    fn versions_of_one_controller_never_decrease(sent in prop::collection::vec((0..2usize, 1..4u64, 1..9u64, 0..5u64), 1..60)) {
        let mut applied = AppliedVersion::default();
        let mut newest_versions = [(0, 0); 2];
        let mut last_controller: Option<usize> = None;
        for (controller, incarnation, batch, connection) in sent {
            let name = ["a", "b"][controller];
            if applied.apply(version(name, incarnation, batch), connection).is_ok() {
                // After a takeover any version may be applied; from the same controller it must not decrease.
                if last_controller == Some(controller) {
                    prop_assert!((incarnation, batch) >= newest_versions[controller]);
                }
                newest_versions[controller] = (incarnation, batch);
                last_controller = Some(controller);
            }
        }
    }

    #[test]
    fn a_displayed_version_parses_to_itself(name in "[a-z][a-z0-9:._-]{0,9}", incarnation: u64, batch: u64) {
        let version = version(&name, incarnation, batch);
        prop_assert_eq!(version.to_string().parse(), Ok(version));
    }
}

#[test]
fn the_newer_connection_of_two_controllers_wins() {
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
        "the controller has reconnected"
    );
    applied.connection_closed(3);
    assert!(!applied.is_connected());
    assert!(
        applied.apply(version("b", 1, 2), 2).is_ok(),
        "the sender of the applied version is disconnected"
    );
    assert!(matches!(
        applied.apply(version("b", 0, 9), 2),
        Err(VersionError::Older { .. })
    ));
    assert!(
        applied.apply(version("b", 1, 2), 2).is_ok(),
        "the same version belongs to the same batch"
    );
}
