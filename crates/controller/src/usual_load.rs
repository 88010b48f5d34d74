//! The load that hosts usually serve: the measure of what a warming host can take, since the capacity of a host is not
//! known.

use crate::host::HostRegistry;
use crate::statistics::EPSILON;

/// The usual load of a fleet's hosts.
#[derive(Default)]
pub(crate) struct UsualLoad {
    /// Largest total weight of the listed hosts so far. Where most hosts are lost, the rest usually serves a part of the
    /// demand that does not grow with the loss.
    max_listed_weight: f64,
}

impl UsualLoad {
    /// Records the weight of the hosts that are listed now.
    pub(crate) fn observe(&mut self, hosts: &HostRegistry) {
        self.max_listed_weight = self.max_listed_weight.max(hosts.listed_weight());
    }

    /// Returns the requests per second and unit of weight that hosts usually serve: the peak, or an even split of the
    /// demand while the peak is zero, that is, not known.
    pub(crate) fn per_weight(&self, peak_per_weight: f64, demand: f64) -> f64 {
        if peak_per_weight > 0.0 {
            peak_per_weight
        } else {
            demand / self.max_listed_weight.max(EPSILON)
        }
    }
}
