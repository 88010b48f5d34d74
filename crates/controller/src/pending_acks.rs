//! Requested acknowledgements that have not all arrived.

use crate::ids::AckId;
use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of batches tracked; beyond it, the oldest is dropped.
const MAX_PENDING_ACKS: usize = 64;

/// A sent batch of updates whose messages request an acknowledgement.
pub(crate) struct BatchSent {
    pub(crate) sent_at: Time,
    /// Total lines sent before this batch.
    pub(crate) lines_before: f64,
    /// Total lines sent including this batch.
    pub(crate) lines_after: f64,
    /// Unconfirmed lines when it was sent.
    pub(crate) queued_before: f64,
    /// Number of messages, each of which is acknowledged.
    pub(crate) messages: f64,
}

/// A batch that has not been fully acknowledged.
struct PendingAck {
    id: AckId,
    batch: BatchSent,
    /// Acknowledgements received so far.
    acks: f64,
}

/// The information gained from an acknowledgement.
pub(crate) struct AckProgress {
    /// Total lines that the channel is known to have sent.
    pub(crate) confirmed_lines: f64,
    /// The delay of the batch, if this is its first acknowledgement.
    pub(crate) first: Option<FirstAck>,
}

/// Delay of the first acknowledgement of a batch.
pub(crate) struct FirstAck {
    pub(crate) delay: Duration,
    /// Unconfirmed lines when the batch was sent.
    pub(crate) queued_before: f64,
}

/// Batches that wait for acknowledgements, in the order sent.
pub(crate) struct PendingAcks {
    pending: VecDeque<PendingAck>,
    next_id: AckId,
}

impl PendingAcks {
    pub(crate) fn new(first_id: AckId) -> PendingAcks {
        PendingAcks {
            pending: VecDeque::new(),
            next_id: first_id,
        }
    }

    /// Starts tracking a batch and returns the acknowledgement ID for its messages.
    pub(crate) fn request(&mut self, batch: BatchSent) -> AckId {
        let id = self.next_id;
        self.next_id = AckId(id.0.wrapping_add(1));
        if self.pending.len() == MAX_PENDING_ACKS {
            self.pending.pop_front();
        }
        self.pending.push_back(PendingAck {
            id,
            batch,
            acks: 0.0,
        });
        id
    }

    /// Records the acknowledgement of one message. Returns `None` if its batch is not tracked.
    pub(crate) fn acknowledge(
        &mut self,
        now: Time,
        id: AckId,
        smallest_message: f64,
    ) -> Option<AckProgress> {
        let index = self.pending.iter().position(|pending| pending.id == id)?;
        let pending = &mut self.pending[index];
        pending.acks += 1.0;
        let batch = &pending.batch;
        let is_complete = pending.acks >= batch.messages;
        let confirmed_lines = if is_complete {
            batch.lines_after
        } else {
            batch.lines_before + pending.acks * smallest_message
        };
        let is_first = pending.acks == 1.0;
        let progress = AckProgress {
            confirmed_lines: confirmed_lines.min(batch.lines_after),
            first: is_first.then(|| FirstAck {
                delay: now - batch.sent_at,
                queued_before: batch.queued_before,
            }),
        };
        // The channel sends in order, so older batches provide no more information.
        let done = if is_complete { index + 1 } else { index };
        self.pending.drain(..done);
        Some(progress)
    }

    /// Returns how long the oldest batch without an acknowledgement has waited for its first one.
    pub(crate) fn unanswered_for(&self, now: Time) -> Duration {
        let unanswered = self.pending.iter().find(|pending| pending.acks == 0.0);
        unanswered.map_or(Duration::ZERO, |pending| now - pending.batch.sent_at)
    }

    /// Drops batches that are known not to have been sent.
    pub(crate) fn drop_unsent(&mut self, sent_lines: f64) {
        self.pending
            .retain(|pending| pending.batch.lines_after <= sent_lines);
    }
}
