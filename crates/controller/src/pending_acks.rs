//! Acknowledgements that proxies were asked for and that have not all come.

use crate::ids::AckId;
use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Batches that are remembered; older ones without an acknowledgement are given up.
const MAX_PENDING_ACKS: usize = 64;

/// A batch of updates whose messages ask for an acknowledgement.
pub(crate) struct BatchSent {
    pub(crate) sent_at: Time,
    /// Lines sent before this batch, in all.
    pub(crate) lines_before: f64,
    /// Lines sent with this batch, in all.
    pub(crate) lines_after: f64,
    /// Lines that were queued before it.
    pub(crate) queued_before: f64,
    pub(crate) messages: f64,
}

struct PendingAck {
    id: AckId,
    batch: BatchSent,
    acks: f64,
}

/// What an acknowledgement tells.
pub(crate) struct AckProgress {
    /// Lines that the channel has sent for sure.
    pub(crate) confirmed_lines: f64,
    /// For the first one of its batch.
    pub(crate) first: Option<FirstAck>,
}

/// How long the first message of a batch took.
pub(crate) struct FirstAck {
    pub(crate) delay: Duration,
    /// Lines that were queued before it.
    pub(crate) queued_before: f64,
}

/// Batches in the order in which they were sent.
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

    /// Gives the number that the messages of a batch carry.
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

    /// A proxy has acknowledged a message; none: of a batch that is not waited for.
    pub(crate) fn acknowledge(
        &mut self,
        now: Time,
        id: AckId,
        smallest_message: f64,
    ) -> Option<AckProgress> {
        let place = self.pending.iter().position(|pending| pending.id == id)?;
        let pending = &mut self.pending[place];
        pending.acks += 1.0;
        let batch = &pending.batch;
        let is_complete = pending.acks >= batch.messages;
        let position = if is_complete {
            batch.lines_after
        } else {
            batch.lines_before + pending.acks * smallest_message
        };
        let is_first = pending.acks == 1.0;
        let progress = AckProgress {
            confirmed_lines: position.min(batch.lines_after),
            first: is_first.then(|| FirstAck {
                delay: now - batch.sent_at,
                queued_before: batch.queued_before,
            }),
        };
        // The channel keeps the order: older batches say nothing more.
        let done = if is_complete { place + 1 } else { place };
        self.pending.drain(..done);
        Some(progress)
    }

    /// How long a batch has waited for its first acknowledgement by now.
    pub(crate) fn unanswered_for(&self, now: Time) -> Duration {
        let unanswered = self.pending.iter().find(|pending| pending.acks == 0.0);
        unanswered.map_or(Duration::ZERO, |pending| now - pending.batch.sent_at)
    }

    /// Drops batches that were surely not sent.
    pub(crate) fn drop_unsent(&mut self, sent_lines: f64) {
        self.pending
            .retain(|pending| pending.batch.lines_after <= sent_lines);
    }
}
