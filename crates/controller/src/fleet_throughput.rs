//! The throughput that the fleet's hosts have shown, per unit of weight: a measure of their capacity, which is not known.
//!
//! A controller sees the attempts of its own proxies only. What it learns is kept as a throughput of the whole fleet, by
//! the part of all proxies that was joined to it, so that it stays true while proxies join and leave.

use crate::config::DeploymentConfig;
use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Time for which attempts of proxies that have left may still show in the reports: six half-lives of the counts.
const ATTEMPTS_SHOWN_FOR: Duration = Duration::from_millis(12_000);
/// Time for which the hosts must serve a throughput for it to count as sustained: four half-lives of the counts. Reports
/// of several seconds that arrive together show a higher throughput for less time.
const SUSTAINED_FOR: Duration = Duration::from_millis(8_000);

/// A measured throughput of the whole fleet per unit of weight.
struct Sample {
    at: Time,
    per_weight: f64,
}

/// What the fleet's hosts have served so far.
pub(crate) struct FleetThroughput {
    /// Number of proxies of all controllers.
    proxy_count: f64,
    /// The numbers of joined proxies of late, each with the time of its observation, in descending order.
    joined: VecDeque<(Time, usize)>,
    /// The throughputs of late, without a gap, in ascending order; an earlier one that a later one undercuts is left out.
    recent: VecDeque<Sample>,
    /// When the gapless throughputs began.
    measured_since: Option<Time>,
    highest_per_weight: f64,
    sustained_per_weight: f64,
}

impl FleetThroughput {
    pub(crate) fn new(config: &DeploymentConfig) -> FleetThroughput {
        FleetThroughput {
            proxy_count: config.proxy_count as f64,
            joined: VecDeque::new(),
            recent: VecDeque::new(),
            measured_since: None,
            highest_per_weight: 0.0,
            sustained_per_weight: 0.0,
        }
    }

    /// Returns the part of all proxies that this many joined proxies are; 1 if there are none.
    pub(crate) fn share(&self, joined_proxies: usize) -> f64 {
        let joined = joined_proxies as f64;
        if joined > 0.0 {
            joined / self.proxy_count.max(joined)
        } else {
            1.0
        }
    }

    /// Records the number of joined proxies.
    pub(crate) fn observe_proxies(&mut self, now: Time, joined_proxies: usize) {
        while self
            .joined
            .back()
            .is_some_and(|(_, joined)| *joined <= joined_proxies)
        {
            self.joined.pop_back();
        }
        self.joined.push_back((now, joined_proxies));
        while self
            .joined
            .front()
            .is_some_and(|(at, _)| now - *at > ATTEMPTS_SHOWN_FOR)
        {
            self.joined.pop_front();
        }
    }

    /// Records what this controller's proxies get from the hosts, per second and unit of weight; `None` while it says
    /// nothing about the hosts.
    pub(crate) fn observe_throughput(&mut self, now: Time, own_per_weight: Option<f64>) {
        let Some(own_per_weight) = own_per_weight else {
            self.recent.clear();
            self.measured_since = None;
            return;
        };
        let most_joined = self.joined.front().map_or(0, |(_, joined)| *joined);
        let per_weight = own_per_weight / self.share(most_joined);
        self.highest_per_weight = self.highest_per_weight.max(per_weight);
        while self
            .recent
            .back()
            .is_some_and(|sample| sample.per_weight >= per_weight)
        {
            self.recent.pop_back();
        }
        self.recent.push_back(Sample {
            at: now,
            per_weight,
        });
        while self
            .recent
            .front()
            .is_some_and(|sample| now - sample.at > SUSTAINED_FOR)
        {
            self.recent.pop_front();
        }
        let since = *self.measured_since.get_or_insert(now);
        if now - since >= SUSTAINED_FOR {
            let lowest = self.recent.front().map_or(0.0, |sample| sample.per_weight);
            self.sustained_per_weight = self.sustained_per_weight.max(lowest);
        }
    }

    /// Returns the highest throughput per weight for the requests of this many joined proxies; zero if it is not known.
    pub(crate) fn highest(&self, joined_proxies: usize) -> f64 {
        self.highest_per_weight * self.share(joined_proxies)
    }

    /// Returns the highest throughput per weight that the hosts have sustained, for the requests of this many joined
    /// proxies: the lowest one so far while none was measured for long enough, and zero if none was measured.
    pub(crate) fn sustained(&self, joined_proxies: usize) -> f64 {
        let lowest = self.recent.front().map_or(0.0, |sample| sample.per_weight);
        let per_weight = if self.sustained_per_weight > 0.0 {
            self.sustained_per_weight
        } else {
            lowest
        };
        per_weight * self.share(joined_proxies)
    }

    /// Forgets the highest throughput, which was learned with a load that is not known any more.
    pub(crate) fn forget_highest(&mut self) {
        self.highest_per_weight = 0.0;
    }
}
