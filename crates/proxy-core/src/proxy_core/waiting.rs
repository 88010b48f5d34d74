//! The wait queue of requests that wait for a host with capacity.

use super::{AdmittedRequest, ProxyCore};
use crate::wait_queue::{QueueOffer, QueueRelease};
use pondarch_controller::Time;

impl ProxyCore {
    /// Offers a request that no host has capacity for to the wait queue. Returns its number in the queue and the
    /// result.
    pub fn offer_to_queue(&mut self, now: Time, request: &AdmittedRequest) -> (u64, QueueOffer) {
        self.last_queue_number += 1;
        let number = self.last_queue_number;
        let priority_weight = self.classes[request.class].priority_weight;
        let deadline = request.progress.deadline;
        let offer = self
            .wait_queue
            .offer(now, number, priority_weight, deadline);
        (number, offer)
    }

    /// Releases the next waiting request when a host may have capacity, and returns the requests to reject.
    pub fn release_from_queue(&mut self, now: Time) -> QueueRelease {
        self.wait_queue.release_next(now)
    }

    /// Removes a request that no longer waits.
    pub fn remove_from_queue(&mut self, number: u64) {
        self.wait_queue.remove(number);
    }
}
