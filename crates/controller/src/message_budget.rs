//! The message cap: how many messages a proxy may be sent in a window, and how they are spent.
//!
//! A token bucket spreads them over the window, so that no burst of updates can use up the cap for those that follow: a
//! table has a token again within one refill interval. Updates that can wait leave a token for those that a rule asks for,
//! which gather while there is none.

use crate::config::DeploymentConfig;
use crate::time::{DurationExt, Time};
use std::time::Duration;

/// Messages that may be sent at once: one for updates that can wait, and one for those that cannot. The larger it is, the
/// longer the refill interval.
const BURST_MESSAGES: f64 = 2.0;
/// Tokens below which the bucket counts as empty; the rest is rounding.
const MIN_TOKENS: f64 = 1e-6;

/// The messages that a proxy may be sent.
pub(crate) struct MessageCap {
    /// Messages in a window, the binding of a proxy that joins among them; none: any number.
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

    /// Messages in a window besides the binding.
    fn updates_per_window(&self) -> Option<f64> {
        self.max_messages
            .map(|messages| messages.saturating_sub(1) as f64)
    }

    /// Time in which one message more may be sent; zero where any number may.
    pub(crate) fn refill_interval(&self) -> Duration {
        let Some(updates) = self.updates_per_window() else {
            return Duration::ZERO;
        };
        let refilled = (updates - BURST_MESSAGES).max(1.0);
        self.window.scaled(1.0 / refilled)
    }

    /// Whether so many messages may be sent now, by when messages were sent within the window, the oldest first.
    pub(crate) fn has_tokens(
        &self,
        now: Time,
        sent_at: impl Iterator<Item = Time>,
        messages: f64,
    ) -> bool {
        let Some(updates) = self.updates_per_window() else {
            return true;
        };
        let burst = BURST_MESSAGES.min(updates);
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
        count + 1.0 <= updates && burst - spent >= needed - MIN_TOKENS
    }
}
