//! Counts of what came and went, for the logs.

use pondarch_platform_protocol::report::Spoilt;
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    pub joined: u64,
    pub left: u64,
    pub unsure: u64,
    pub lists: u64,
    pub calls: u64,
    pub orders: u64,
    pub stopped: u64,
    pub not_taken: u64,
    pub unknown: u64,
    pub marks_applied: u64,
    pub reports: u64,
    /// Tries and reqs that these told of.
    pub tries: u64,
    pub reqs: u64,
    pub with_load: u64,
    pub probes: u64,
    pub probes_good: u64,
    /// Messages that said nothing, by reason.
    pub spoilt: BTreeMap<Spoilt, u64>,
}

impl Tally {
    pub fn spoilt(&mut self, why: Spoilt) {
        *self.spoilt.entry(why).or_default() += 1;
    }
}
