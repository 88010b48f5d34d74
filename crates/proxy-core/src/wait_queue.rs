//! The queue of requests that wait because all of their candidate hosts are at the limit of requests in flight.

use pondarch_controller::Time;
use std::collections::BTreeMap;

/// A queued request; the queue identifies it by a number that increases with each request.
#[derive(Clone, Copy, Debug, PartialEq)]
struct QueuedRequest {
    priority_weight: f64,
    /// When the proxy gives up on the request, shortly before its client does.
    deadline: Time,
}

/// A bounded queue, in order of arrival, of requests that wait for a host with capacity.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    max_requests: usize,
    requests: BTreeMap<u64, QueuedRequest>,
}

/// Whether an offered request was queued, and which others were removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueOffer {
    /// Whether the offered request was queued.
    pub queued: bool,
    /// Queued requests that were removed and have to be rejected.
    pub rejected: Vec<u64>,
}

/// Which request leaves the queue when a host has capacity, and which others were removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueRelease {
    /// The request that picks a host next.
    pub next: Option<u64>,
    /// Queued requests that were removed and have to be rejected.
    pub rejected: Vec<u64>,
}

impl WaitQueue {
    /// An empty queue of at most `max_requests` requests.
    #[must_use]
    pub fn new(max_requests: usize) -> WaitQueue {
        WaitQueue {
            max_requests,
            requests: BTreeMap::new(),
        }
    }

    /// Number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Offers a request, whose number must be higher than all earlier ones. Expired requests are removed first. If the
    /// queue is still full, the request with the lowest priority weight is rejected, which may be the offered one; of
    /// several with the same weight, the newest.
    pub fn offer(
        &mut self,
        now: Time,
        number: u64,
        priority_weight: f64,
        deadline: Time,
    ) -> QueueOffer {
        let mut rejected = self.remove_expired(now);
        let lowest = self
            .requests
            .iter()
            .rev()
            .min_by(|a, b| a.1.priority_weight.total_cmp(&b.1.priority_weight))
            .map(|(number, request)| (*number, request.priority_weight));
        let queued = match lowest {
            _ if now >= deadline || self.max_requests == 0 => false,
            _ if self.requests.len() < self.max_requests => true,
            Some((lowest_number, lowest_weight)) if lowest_weight < priority_weight => {
                self.requests.remove(&lowest_number);
                rejected.push(lowest_number);
                true
            }
            _ => false,
        };
        if queued {
            let request = QueuedRequest {
                priority_weight,
                deadline,
            };
            self.requests.insert(number, request);
        }
        QueueOffer { queued, rejected }
    }

    /// Releases the oldest request that has not expired, when a host has capacity.
    pub fn release_next(&mut self, now: Time) -> QueueRelease {
        let rejected = self.remove_expired(now);
        QueueRelease {
            next: self.requests.pop_first().map(|(number, _)| number),
            rejected,
        }
    }

    /// Removes a request, for example when its client has disconnected.
    pub fn remove(&mut self, number: u64) {
        self.requests.remove(&number);
    }

    /// Removes the requests past their deadline and returns their numbers.
    fn remove_expired(&mut self, now: Time) -> Vec<u64> {
        let expired = self
            .requests
            .iter()
            .filter(|(_, request)| now >= request.deadline)
            .map(|(number, _)| *number)
            .collect();
        self.requests.retain(|_, request| now < request.deadline);
        expired
    }
}
