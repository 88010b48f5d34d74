//! The message cap: the maximum number of messages to a proxy per window.
//!
//! A token bucket spreads the messages over the window, so that a burst of updates cannot use up the cap for later
//! ones: a table gets a new token within one refill interval. Deferrable updates leave tokens for safety-critical
//! updates, which accumulate while there is no token.

use crate::config::DeploymentConfig;
use crate::time::{DurationExt, Time};
use std::time::Duration;

/// Size of a burst: one message for deferrable updates, the others for safety-critical ones. The second of these carries
/// the changes that were listed while the first was on its way. A larger burst means a longer refill interval, so low
/// caps have the smaller one.
const MIN_BURST_MESSAGES: f64 = 2.0;
const MAX_BURST_MESSAGES: f64 = 3.0;
/// Messages per window for each message of the burst.
const MESSAGES_PER_BURST_MESSAGE: f64 = 3.5;
/// Tolerance for rounding errors when tokens are compared.
const TOKEN_TOLERANCE: f64 = 1e-6;

/// Limit on the messages to each proxy.
pub(crate) struct MessageCap {
    /// Maximum number of messages per window, including the binding of a joining proxy; `None` means no limit.
    max_messages: Option<usize>,
    window: Duration,
}

impl MessageCap {
    pub(crate) fn new(config: &DeploymentConfig) -> MessageCap {
        let max_messages = config.max_messages_per_window as usize;
        MessageCap {
            max_messages: Some(max_messages).filter(|&messages| messages > 0),
            window: config.message_window,
        }
    }

    pub(crate) fn max_messages(&self) -> Option<usize> {
        self.max_messages
    }

    pub(crate) fn window(&self) -> Duration {
        self.window
    }

    /// Returns the maximum number of messages per window besides the binding.
    fn updates_per_window(&self) -> Option<f64> {
        self.max_messages
            .map(|messages| messages.saturating_sub(1) as f64)
    }

    /// Returns the number of messages that may be sent at once.
    fn burst(updates_per_window: f64) -> f64 {
        (updates_per_window / MESSAGES_PER_BURST_MESSAGE)
            .floor()
            .clamp(MIN_BURST_MESSAGES, MAX_BURST_MESSAGES)
    }

    /// Returns the tokens that a deferrable update needs, which leaves all but one of a burst for safety-critical ones.
    pub(crate) fn deferrable_tokens(&self) -> f64 {
        self.updates_per_window().map_or(1.0, MessageCap::burst)
    }

    /// Returns the time until one more message may be sent; zero if there is no limit.
    pub(crate) fn refill_interval(&self) -> Duration {
        let Some(updates) = self.updates_per_window() else {
            return Duration::ZERO;
        };
        let refilled = (updates - MessageCap::burst(updates)).max(1.0);
        self.window.scaled(1.0 / refilled)
    }

    /// Returns whether `messages` tokens are available, given the times of the messages sent in the window, oldest
    /// first.
    pub(crate) fn has_tokens(
        &self,
        now: Time,
        sent_at: impl Iterator<Item = Time>,
        messages: f64,
    ) -> bool {
        let Some(updates) = self.updates_per_window() else {
            return true;
        };
        let burst = MessageCap::burst(updates).min(updates);
        let refill_interval = self.refill_interval();
        let mut spent: f64 = 0.0;
        let mut count = 0.0;
        let mut last = Time::default();
        for at in sent_at {
            spent = (spent - (at - last).ratio(refill_interval)).max(0.0) + 1.0;
            count += 1.0;
            last = at;
        }
        spent = (spent - (now - last).ratio(refill_interval)).max(0.0);
        let needed = messages.min(burst);
        count + 1.0 <= updates && burst - spent >= needed - TOKEN_TOLERANCE
    }
}
