//! What a steward believes, for logs: read from its records, and no part of any decision.

use super::{MIN_STRONG_PART, Steward};
use crate::types::{Glance, Host, Span, median};

/// Tallied tries that errored from which a host is named.
const NAMED_FROM: f64 = 0.3;

impl Steward {
    /// What is believed now, for whoever watches.
    pub fn glance(&self) -> Glance {
        let named = |of: &dyn Fn(&&Host) -> bool| {
            self.hosts.iter().filter(of).map(|h| h.id.clone()).collect()
        };
        Glance {
            known: self.hosts.len(),
            open: self
                .hosts
                .iter()
                .filter(|h| self.ready.open(h, self.now))
                .count(),
            kept_out: named(&|h| h.out_until.is_some()),
            on_trial: named(&|h| h.trial_since.is_some()),
            eased: named(&|h| h.eased > 1.0 - MIN_STRONG_PART),
            errored: (self.hosts.iter().filter(|h| h.errored > NAMED_FROM))
                .map(|h| (h.id.clone(), h.tries, h.errored / h.tries))
                .collect(),
            levels: self.levels.clone(),
            strain: self.strain,
            load: median(self.hosts.iter().filter_map(|h| h.busy)).unwrap_or(0.0),
            lag: Span::from_micros((self.lag * 1e6) as u64),
            demand: self.demand(),
            flow: self.flow(self.hosts.iter()),
            channel: self.channel.report(),
        }
    }
}
