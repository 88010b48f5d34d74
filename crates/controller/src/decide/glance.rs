//! What a steward believes, for logs: read from its records, and no part of any decision.

use super::{Controller, MIN_STRONG_PART};
use crate::state::{Host, median};
use crate::{HostFailures, StatusSnapshot};
use std::time::Duration;

/// Tallied tries that errored from which a host is named.
const NAMED_FROM: f64 = 0.3;

impl Controller {
    /// What is believed now, for whoever watches.
    pub fn status(&self) -> StatusSnapshot {
        let named = |of: &dyn Fn(&&Host) -> bool| {
            self.hosts.iter().filter(of).map(|h| h.id.clone()).collect()
        };
        StatusSnapshot {
            known_hosts: self.hosts.len(),
            ready_hosts: self
                .hosts
                .iter()
                .filter(|h| self.ready.open(h, self.now))
                .count(),
            ejected: named(&|h| h.out_until.is_some()),
            on_probation: named(&|h| h.trial_since.is_some()),
            weight_reduced: named(&|h| h.eased > 1.0 - MIN_STRONG_PART),
            failing: (self.hosts.iter().filter(|h| h.errored > NAMED_FROM))
                .map(|h| HostFailures {
                    host: h.id.clone(),
                    attempts: h.tries,
                    failure_ratio: h.errored / h.tries,
                })
                .collect(),
            admitted_fractions: self.levels.clone(),
            overload: self.strain,
            median_load: median(self.hosts.iter().filter_map(|h| h.busy)).unwrap_or(0.0),
            report_delay: Duration::from_micros((self.lag * 1e6) as u64),
            demand: self.demand(),
            throughput: self.flow(self.hosts.iter()),
            update_queue: self.channel.report(),
        }
    }
}
