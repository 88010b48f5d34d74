//! The `Debug` texts of fleets and plans.
//!
//! The event log stores fleets and plans, and `pondarch replay` prints their `Debug` text where a replay differs. The text
//! keeps the type and field names of the event log, whatever the types and fields are called in the code.

use crate::model::{Fleet, Host, RequestClass};
use crate::solve::Plan;
use std::fmt;

/// Implements `Debug` with exactly the text that `derive(Debug)` gives for the names at the right of the equals signs.
macro_rules! debug_as_recorded {
    ($type:ident = $type_text:literal { $($field:ident = $field_text:literal),* }) => {
        impl fmt::Debug for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                let $type { $($field),* } = self;
                f.debug_struct($type_text)$(.field($field_text, $field))*.finish()
            }
        }
    };
}

debug_as_recorded!(Fleet = "Fleet" {
    zones = "zones",
    classes = "kinds",
    hosts = "hosts",
    tables = "tables",
    crossing_price = "crossing"
});

debug_as_recorded!(Host = "Host" {
    name = "name",
    zone = "zone",
    cores = "cores",
    speed = "speed",
    max_concurrent_requests = "connections",
    warm_fraction = "warm",
    other_work = "taken",
    other_work_age_s = "taken_age_s"
});

debug_as_recorded!(RequestClass = "Kind" {
    name = "name",
    work_s = "work_s",
    latency_objective_s = "response_target_s",
    benefit = "benefit"
});

debug_as_recorded!(Plan = "Plan" {
    weights = "weights",
    utilization = "utilisation",
    admitted = "let_in",
    on_time = "in_time",
    admitted_benefit = "served",
    cross_zone_share = "crossing",
    nearly_full = "little_room",
    objective = "worth"
});
