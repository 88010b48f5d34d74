//! The `Debug` texts of reports.
//!
//! The event log stores reports, and `pondarch replay` prints their `Debug` text where a replay differs. The text keeps the
//! type and field names of the event log, whatever the types and fields are called in the code.

use crate::message::{HostMetrics, ProxyCounters, Report, ReportBody};
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

debug_as_recorded!(Report = "Report" {
    number = "number",
    sent_us = "sent_us",
    echo_us = "word_us",
    echo_delay_us = "had_us",
    body = "body"
});

debug_as_recorded!(ReportBody = "Body" { counters = "counted", host_metrics = "own" });

debug_as_recorded!(ProxyCounters = "Counted" {
    backend = "backend",
    server = "server",
    requests = "reqs",
    succeeded = "done",
    failed = "errored",
    success_time_us = "done_us",
    utilization = "busy",
    queue_length = "waiting"
});

debug_as_recorded!(HostMetrics = "Own" {
    utilization = "busy",
    queue_length = "waiting",
    service_time_ms = "service_ms",
    request_rate = "rate",
    failure_rate = "errored_rate"
});
