//! A host of the fleet under load: it works on its requests in order and can do less while it is warming up.

use crate::common::SECOND;
use pondarch_controller::{DeploymentConfig, ProxyId};
use std::collections::VecDeque;

/// Requests that a host holds before it rejects more.
const MAX_HELD: usize = 12;
/// Time after which clients give up on a request.
const CLIENT_TIMEOUT_US: u64 = 3 * SECOND;
/// A warming host falls over when it is sent more than this many times its capacity within the span. A quarter more is
/// left to chance.
const OVERLOAD_FACTOR: f64 = 2.5;
const OVERLOAD_SPAN_US: u64 = 2_300_000;
const CHANCE_FACTOR: f64 = 1.25;

/// A request at a host. Its work is in mean requests.
pub(crate) struct Request {
    pub(crate) sent_at_us: u64,
    pub(crate) work: f64,
    pub(crate) proxy: ProxyId,
}

/// The end of a request at a host. There is no latency if the client gave up.
pub(crate) struct RequestEnd {
    pub(crate) proxy: ProxyId,
    pub(crate) latency_us: Option<u64>,
}

/// What a warming host was sent within the span, and what it can take.
pub(crate) struct Overload {
    pub(crate) sent: usize,
    pub(crate) budget: f64,
}

/// A host.
pub(crate) struct LoadedHost {
    is_up: bool,
    weight: f64,
    /// When it started; `None` for a host that is warm.
    started_us: Option<u64>,
    held: VecDeque<Request>,
    /// When requests were sent to it while it was warming up.
    sent_at_us: VecDeque<u64>,
}

impl LoadedHost {
    pub(crate) fn new(weight: f64, started_us: Option<u64>) -> LoadedHost {
        LoadedHost {
            is_up: true,
            weight,
            started_us,
            held: VecDeque::new(),
            sent_at_us: VecDeque::new(),
        }
    }

    pub(crate) fn is_up(&self) -> bool {
        self.is_up
    }

    pub(crate) fn weight(&self) -> f64 {
        self.weight
    }

    /// Returns the number of requests that it holds.
    pub(crate) fn held(&self) -> usize {
        self.held.len()
    }

    pub(crate) fn stop(&mut self) {
        self.is_up = false;
        self.held.clear();
    }

    /// Returns the requests per second that it can do now, where a warm host does `host_rate` per unit of weight.
    pub(crate) fn capacity(&self, config: &DeploymentConfig, host_rate: f64, now_us: u64) -> f64 {
        let full = host_rate * self.weight;
        let Some(started_us) = self.started_us else {
            return full;
        };
        let age = (now_us - started_us) as f64 / config.slow_start_window.as_micros() as f64;
        full * (config.initial_capacity + (1.0 - config.initial_capacity) * age).min(1.0)
    }

    /// Takes a request unless it holds too many. Returns whether it did.
    pub(crate) fn take(&mut self, request: Request) -> bool {
        let is_taken = self.is_up && self.held.len() < MAX_HELD;
        if is_taken {
            self.held.push_back(request);
        }
        is_taken
    }

    /// Does this much work, in mean requests. Returns the requests that ended.
    pub(crate) fn work(&mut self, mut work: f64, now_us: u64) -> Vec<RequestEnd> {
        let mut ended = Vec::new();
        while let Some(request) = self.held.front_mut() {
            let waited_us = now_us - request.sent_at_us;
            let is_given_up = waited_us > CLIENT_TIMEOUT_US;
            if !is_given_up && request.work > work {
                request.work -= work;
                break;
            }
            if !is_given_up {
                work -= request.work;
            }
            ended.push(RequestEnd {
                proxy: request.proxy,
                latency_us: (!is_given_up).then_some(waited_us),
            });
            self.held.pop_front();
        }
        ended
    }

    /// Counts a request that is sent to it while it is warming up. Returns the overload if it is one too many.
    pub(crate) fn overload(&mut self, capacity: f64, now_us: u64) -> Option<Overload> {
        self.sent_at_us.push_back(now_us);
        self.sent_at_us
            .retain(|at_us| now_us - at_us <= OVERLOAD_SPAN_US);
        let budget = OVERLOAD_FACTOR * capacity * OVERLOAD_SPAN_US as f64 / SECOND as f64;
        let sent = self.sent_at_us.len();
        let is_overloaded = sent as f64 > budget * CHANCE_FACTOR;
        is_overloaded.then_some(Overload { sent, budget })
    }
}
