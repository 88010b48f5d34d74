//! The load that hosts usually serve: the measure of what a warming host can take, since the capacity of a host is not
//! known.

use crate::fleet_throughput::FleetThroughput;
use crate::host::HostRegistry;
use crate::proxy::ProxyRegistry;
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

    /// Returns the requests per second and unit of weight that hosts usually serve for the joined proxies: what they have
    /// sustained, or an even split of the demand while that is not known. The demand counts up to what the proxies
    /// stated: it may be a burst that hosts can't serve.
    pub(crate) fn per_weight(&self, throughput: &FleetThroughput, proxies: &ProxyRegistry) -> f64 {
        let sustained = throughput.sustained(proxies.len());
        if sustained > 0.0 {
            return sustained;
        }
        let stated = proxies.stated_demand();
        let demand = if stated > 0.0 {
            proxies.demand().min(stated)
        } else {
            proxies.demand()
        };
        demand / self.max_listed_weight.max(EPSILON)
    }
}
