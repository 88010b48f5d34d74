//! Whether a failed attempt may be retried, and the retry budget.

use pondarch_controller::Time;
use std::time::Duration;

/// Maximum number of attempts of one request, including the first.
const MAX_ATTEMPTS: usize = 3;
/// Maximum number of retries in the budget: the burst that an idle proxy may spend when a host fails.
const MAX_BUDGET: f64 = 50.0;

/// When a proxy retries at another host; the controller sets it for each request class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryMode {
    /// No retries.
    #[default]
    Never,
    /// One retry, only if no attempt so far can have been processed.
    Unprocessed,
    /// One retry after any failure.
    Failure,
    /// Up to two retries after any failures.
    FailureTwice,
}

/// Whether a request can safely be processed twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Processing it twice has the same effect as processing it once.
    Idempotent,
    /// It carries an idempotency key: hosts of the same group drop a duplicate within this time of the first attempt.
    ByKey(Duration),
    /// Processing it twice takes effect twice.
    NotIdempotent,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The host responded without a server error.
    Success,
    /// It failed and certainly had no effect: no connection, nothing sent, or the host reported it as unprocessed.
    Unprocessed,
    /// It failed and may have been processed.
    InDoubt,
}

/// The state of a request that matters for its retries.
#[derive(Clone, Debug)]
pub struct RequestProgress {
    /// When the request may be retried.
    pub retry_mode: RetryMode,
    /// Whether the request can safely be processed twice.
    pub idempotency: Idempotency,
    /// When the first attempt was sent.
    pub first_sent_at: Time,
    /// When the proxy gives up on the request.
    pub deadline: Time,
    /// Number of attempts sent so far.
    pub attempts: usize,
    /// Whether an attempt before the latest one may have been processed.
    pub in_doubt: bool,
    /// The group of the first host that may have processed the request, or `None` if unknown.
    pub group: Option<String>,
    /// Whether the whole request body is buffered and can be sent again.
    pub body_buffered: bool,
}

/// Whether a request is retried, and at which hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// No retry.
    Stop,
    /// Retry at any host that has not been tried yet.
    AnyHost,
    /// Retry only at another host of this group.
    WithinGroup(String),
}

impl RetryMode {
    /// Parses a value of the map `pond_tries`. Unknown values mean no retries, the safe default.
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
    /// Decides what follows an attempt with this outcome. Whatever mode the controller has set, a request that may have
    /// been processed is retried only if its class allows it, so that it never takes effect twice.
    #[must_use]
    pub fn decide_retry(&self, outcome: AttemptOutcome, now: Time) -> RetryDecision {
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
            (_, Idempotency::ByKey(key_lifetime), Some(group))
                if now - self.first_sent_at < key_lifetime =>
            {
                RetryDecision::WithinGroup(group.clone())
            }
            (_, Idempotency::ByKey(_), _) => RetryDecision::Stop,
        }
    }
}

/// Limits retries to a fraction of the first attempts. Without it, retries would double the load on hosts that fail
/// because of overload.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    retry_ratio: f64,
    available: f64,
}

impl RetryBudget {
    /// A budget that grows by `retry_ratio` retries with each first attempt.
    #[must_use]
    pub fn new(retry_ratio: f64) -> RetryBudget {
        RetryBudget {
            retry_ratio,
            available: MAX_BUDGET * retry_ratio.min(1.0),
        }
    }

    /// Records a first attempt, which adds the retry ratio to the budget.
    pub fn record_first_attempt(&mut self) {
        self.available = (self.available + self.retry_ratio).min(MAX_BUDGET);
    }

    /// Takes one retry from the budget, or returns false if less than one is left.
    pub fn try_take(&mut self) -> bool {
        let is_available = self.available >= 1.0;
        if is_available {
            self.available -= 1.0;
        }
        is_available
    }
}
