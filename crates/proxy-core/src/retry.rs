//! Whether another attempt may follow one that ended, and the retry budget.

use pondarch_controller::Time;
use std::time::Duration;

/// Most attempts of one request, the first one included.
const MAX_ATTEMPTS: usize = 3;
/// Retries that the budget holds at most: what a quiet proxy may spend at once when a host fails.
const MAX_BUDGET: f64 = 50.0;

/// When a proxy retries at another host, as the controller sets it for a request class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryMode {
    /// No retries.
    #[default]
    Never,
    /// One retry, on proof that no attempt so far was processed.
    Unprocessed,
    /// One retry after a failure.
    Failure,
    /// Two retries after failures.
    FailureTwice,
}

/// What processing the same request twice does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It has the effect of once.
    Idempotent,
    /// It carries an idempotency key: hosts of one group drop a repetition within this time of the first attempt.
    ByKey(Duration),
    /// It takes effect twice.
    NotIdempotent,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The host answered without a server error.
    Success,
    /// It failed, with proof that it had no effect: no connection, nothing sent, or the host says so.
    Unprocessed,
    /// It failed and may have had an effect.
    InDoubt,
}

/// One request so far.
#[derive(Clone, Debug)]
pub struct RequestProgress {
    /// When it may be retried.
    pub retry_mode: RetryMode,
    /// What processing it twice does.
    pub idempotency: Idempotency,
    /// When the first attempt was sent.
    pub first_sent_at: Time,
    /// When the proxy gives up.
    pub deadline: Time,
    /// Attempts sent so far.
    pub attempts: usize,
    /// Whether an attempt before the last may have been processed.
    pub in_doubt: bool,
    /// The group of the first host that may have processed it; none: not known.
    pub group: Option<String>,
    /// Whether the whole body is buffered, so that it can be sent again.
    pub body_buffered: bool,
}

/// Whether and where a request is retried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// No further attempt.
    Stop,
    /// At any host that was not used yet.
    AnyHost,
    /// At another host of this group only.
    WithinGroup(String),
}

impl RetryMode {
    /// Reads a value of the map `pond_tries`; unknown ones mean no retries, as the safe reading.
    #[must_use]
    pub fn parse(text: &str) -> RetryMode {
        match text {
            "unsent" => RetryMode::Unprocessed,
            "failure" => RetryMode::Failure,
            "failure-twice" => RetryMode::FailureTwice,
            _ => RetryMode::Never,
        }
    }

    fn max_attempts(self) -> usize {
        match self {
            RetryMode::Never => 1,
            RetryMode::Unprocessed | RetryMode::Failure => 2,
            RetryMode::FailureTwice => MAX_ATTEMPTS,
        }
    }
}

impl RequestProgress {
    /// What may follow an attempt with this outcome. A request that may have been processed is retried only if that
    /// is safe for its class, whatever the controller has set: no effect twice.
    #[must_use]
    pub fn retry_after(&self, outcome: AttemptOutcome, now: Time) -> RetryDecision {
        let exhausted = self.attempts >= self.retry_mode.max_attempts()
            || now >= self.deadline
            || !self.body_buffered;
        if outcome == AttemptOutcome::Success || exhausted {
            return RetryDecision::Stop;
        }
        if outcome == AttemptOutcome::Unprocessed && !self.in_doubt {
            return RetryDecision::AnyHost;
        }
        match (self.retry_mode, self.idempotency, &self.group) {
            (RetryMode::Never | RetryMode::Unprocessed, ..)
            | (_, Idempotency::NotIdempotent, _) => RetryDecision::Stop,
            (_, Idempotency::Idempotent, _) => RetryDecision::AnyHost,
            (_, Idempotency::ByKey(memory), Some(group)) if now - self.first_sent_at < memory => {
                RetryDecision::WithinGroup(group.clone())
            }
            (_, Idempotency::ByKey(_), _) => RetryDecision::Stop,
        }
    }
}

/// Retries as a part of first attempts: when everything fails, unbounded retries would double the load that makes it
/// fail.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    retry_ratio: f64,
    available: f64,
}

impl RetryBudget {
    /// A budget of so many retries for each first attempt.
    #[must_use]
    pub fn new(retry_ratio: f64) -> RetryBudget {
        RetryBudget {
            retry_ratio,
            available: MAX_BUDGET * retry_ratio.min(1.0),
        }
    }

    /// Records a first attempt, which adds to the budget.
    pub fn record_first_attempt(&mut self) {
        self.available = (self.available + self.retry_ratio).min(MAX_BUDGET);
    }

    /// Takes one retry from the budget; false if there is none.
    pub fn take(&mut self) -> bool {
        let is_available = self.available >= 1.0;
        if is_available {
            self.available -= 1.0;
        }
        is_available
    }
}
