//! Requests that wait because all hosts that may serve them are at their limit.

use pondarch_controller::Time;
use std::collections::BTreeMap;

/// A request that waits, under a number that rises with each request.
#[derive(Clone, Copy, Debug, PartialEq)]
struct QueuedRequest {
    priority_weight: f64,
    /// Its client has given up by then.
    deadline: Time,
}

/// A bounded queue of requests that wait for a host with capacity, in order of arrival.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    max_requests: usize,
    requests: BTreeMap<u64, QueuedRequest>,
}

/// Whether a request was queued, and which others were removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueOffer {
    /// Whether the offered request waits now.
    pub queued: bool,
    /// Requests that waited and are to be rejected now.
    pub rejected: Vec<u64>,
}

/// Which request leaves the queue as a host has capacity, and which others were removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueRelease {
    /// The request that may pick a host again.
    pub next: Option<u64>,
    /// Requests that waited and are to be rejected now.
    pub rejected: Vec<u64>,
}

impl WaitQueue {
    /// An empty queue for at most `max_requests`.
    #[must_use]
    pub fn new(max_requests: usize) -> WaitQueue {
        WaitQueue {
            max_requests,
            requests: BTreeMap::new(),
        }
    }

    /// How many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Offers a request, with a number above all before it. Requests past their deadline are removed first; if the
    /// queue is still full, the one of least priority weight is rejected, the newest of them, be it this one.
    pub fn offer(
        &mut self,
        now: Time,
        number: u64,
        priority_weight: f64,
        deadline: Time,
    ) -> QueueOffer {
        let mut rejected = self.remove_expired(now);
        let least = self
            .requests
            .iter()
            .rev()
            .min_by(|a, b| a.1.priority_weight.total_cmp(&b.1.priority_weight))
            .map(|(number, request)| (*number, request.priority_weight));
        let queued = match least {
            _ if now >= deadline || self.max_requests == 0 => false,
            _ if self.requests.len() < self.max_requests => true,
            Some((least_number, least_weight)) if least_weight < priority_weight => {
                self.requests.remove(&least_number);
                rejected.push(least_number);
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

    /// A host has capacity: releases the first request of those that can still be answered in time.
    pub fn release_next(&mut self, now: Time) -> QueueRelease {
        let rejected = self.remove_expired(now);
        QueueRelease {
            next: self.requests.pop_first().map(|(number, _)| number),
            rejected,
        }
    }

    /// Removes a request whose client has gone or that waits no longer.
    pub fn remove(&mut self, number: u64) {
        self.requests.remove(&number);
    }

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
