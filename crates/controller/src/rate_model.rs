//! Models of how fast the channel to the proxies sends, for where nothing can be measured.

use crate::time::{DurationExt, Time};

/// Times that a channel in a slow spell is slower than stated.
pub(crate) const SLOW_CHANNEL_FACTOR: f64 = 8.0;

/// Lines that are queued by the stated rate, and by a slow one.
pub(crate) struct RateModel {
    stated_rate: f64,
    queued_at_stated_rate: f64,
    queued_at_slow_rate: f64,
    counted_at: Time,
}

impl RateModel {
    pub(crate) fn new(stated_rate: f64) -> RateModel {
        RateModel {
            stated_rate,
            queued_at_stated_rate: 0.0,
            queued_at_slow_rate: 0.0,
            counted_at: Time::default(),
        }
    }

    /// Lets the models send what they can until `now`.
    pub(crate) fn advance(&mut self, now: Time) {
        let passed = (now - self.counted_at).seconds();
        self.counted_at = now;
        let slow_rate = self.stated_rate / SLOW_CHANNEL_FACTOR;
        self.queued_at_stated_rate =
            remaining(self.queued_at_stated_rate, passed * self.stated_rate);
        self.queued_at_slow_rate = remaining(self.queued_at_slow_rate, passed * slow_rate);
    }

    pub(crate) fn add(&mut self, lines: f64) {
        self.queued_at_stated_rate += lines;
        self.queued_at_slow_rate += lines;
    }

    /// So many lines were surely not sent.
    pub(crate) fn take_back(&mut self, lines: f64) {
        self.queued_at_stated_rate = remaining(self.queued_at_stated_rate, lines);
        self.queued_at_slow_rate = remaining(self.queued_at_slow_rate, lines);
    }

    pub(crate) fn queued_at_stated_rate(&self) -> f64 {
        self.queued_at_stated_rate
    }

    pub(crate) fn queued_at_slow_rate(&self) -> f64 {
        self.queued_at_slow_rate
    }
}

fn remaining(queued: f64, lines: f64) -> f64 {
    (queued - lines).max(0.0)
}
