//! A bounded buffer of events that wait to be logged.

use std::collections::VecDeque;

/// Maximum number of events kept until they are taken; beyond it, the oldest are dropped.
const MAX_PENDING: usize = 1_024;

/// Events that have not been taken yet, oldest first.
pub(crate) struct EventBuffer<T> {
    pending: VecDeque<T>,
}

impl<T> Default for EventBuffer<T> {
    fn default() -> Self {
        EventBuffer {
            pending: VecDeque::new(),
        }
    }
}

impl<T> EventBuffer<T> {
    /// Adds an event.
    pub(crate) fn push(&mut self, event: T) {
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(event);
    }

    /// Takes all events, oldest first.
    pub(crate) fn take(&mut self) -> Vec<T> {
        self.pending.drain(..).collect()
    }
}
