//! The state that all parts of a running proxy share.

use pondarch_config::proxy::{Limits, PickStrategy, ProxyRequestClass};
use pondarch_config::{ProxySettings, site};
use pondarch_controller::Time;
use pondarch_proxy_core::ejection::EjectionPolicy;
use pondarch_proxy_core::policy::{ProxyCoreOptions, RequestClass, RoutingPolicy, StaticHost};
use pondarch_proxy_core::proxy_core::ProxyCore;
use pondarch_proxy_core::retry::Idempotency;
use pondarch_proxy_core::routing_table::PickPolicy;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

/// The proxy core, the clock, and the requests that wait. Locks are held for decisions only, never across an await.
pub(crate) struct SharedState {
    core: Mutex<ProxyCore>,
    /// By queue number: receives `true` when a host may have capacity, `false` when the request is rejected.
    waiters: Mutex<BTreeMap<u64, oneshot::Sender<bool>>>,
    limits: Mutex<Limits>,
    pub(crate) classes: Vec<ProxyRequestClass>,
    start_unix_us: u64,
    started_at: Instant,
}

impl SharedState {
    pub(crate) fn new(site: &ProxySettings, static_hosts: &[StaticHost], seed: u64) -> SharedState {
        let start_unix_us = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_micros() as u64;
        let classes: Vec<RequestClass> = site.request_classes.iter().map(request_class).collect();
        let now = Time::from_micros(start_unix_us);
        let process_id = u64::from(std::process::id());
        let core = ProxyCore::new(
            ProxyCoreOptions {
                name: site.name.clone(),
                process_id,
                classes,
                policy: routing_policy(site),
                static_hosts: static_hosts.to_vec(),
                seed,
            },
            now,
        );
        SharedState {
            core: Mutex::new(core),
            waiters: Mutex::default(),
            limits: Mutex::new(site.limits),
            classes: site.request_classes.clone(),
            start_unix_us,
            started_at: Instant::now(),
        }
    }

    /// Time since 1970 by a clock that never steps back.
    pub(crate) fn now(&self) -> Time {
        Time::from_micros(self.start_unix_us + self.started_at.elapsed().as_micros() as u64)
    }

    /// The proxy core, locked.
    pub(crate) fn core(&self) -> MutexGuard<'_, ProxyCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn limits(&self) -> Limits {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets another routing policy and other limits; requests in flight are not affected.
    pub(crate) fn reload(&self, site: &ProxySettings) {
        self.core().set_policy(routing_policy(site));
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner) = site.limits;
    }

    /// Registers a queue number. The receiver gets `true` when the request should pick a host again, and `false` when
    /// it is rejected.
    pub(crate) fn register_waiter(&self, number: u64) -> oneshot::Receiver<bool> {
        let (sender, receiver) = oneshot::channel();
        self.waiters
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(number, sender);
        receiver
    }

    /// Wakes the next request in the queue, and those that were rejected.
    pub(crate) fn wake(&self, next: Option<u64>, rejected: &[u64]) {
        if next.is_none() && rejected.is_empty() {
            return;
        }
        let mut waiters = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        let notices = next
            .map(|number| (number, true))
            .into_iter()
            .chain(rejected.iter().map(|number| (*number, false)));
        for (number, released) in notices {
            if let Some(sender) = waiters.remove(&number) {
                // The client may have disconnected meanwhile.
                sender.send(released).ok();
            }
        }
    }

    /// Removes a request from the queue: it was released, its deadline has passed, or its client disconnected.
    pub(crate) fn leave_queue(&self, number: u64) {
        self.waiters
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&number);
        self.core().remove_from_queue(number);
    }

    /// Wakes the next waiting request after a host has got capacity again.
    pub(crate) fn release_capacity(&self) {
        let release = self.core().release_from_queue(self.now());
        self.wake(release.next, &release.rejected);
    }
}

fn request_class(class: &ProxyRequestClass) -> RequestClass {
    RequestClass {
        name: class.name.clone(),
        idempotency: match class.idempotency {
            site::Idempotency::Idempotent => Idempotency::Idempotent,
            site::Idempotency::ByKey => Idempotency::ByKey(
                class
                    .deduplication_window
                    .map_or(Duration::ZERO, |duration| duration.0),
            ),
            site::Idempotency::NotIdempotent => Idempotency::NotIdempotent,
        },
        client_timeout: class.client_timeout.0,
        priority_weight: class.priority_weight,
    }
}

fn routing_policy(site: &ProxySettings) -> RoutingPolicy {
    let ejection = site.ejection;
    RoutingPolicy {
        pick: match site.pick {
            PickStrategy::WeightedRandom => PickPolicy::WeightedRandom,
            PickStrategy::RoundRobin => PickPolicy::RoundRobin,
            PickStrategy::TwoChoices => PickPolicy::TwoChoices,
        },
        ejection: EjectionPolicy {
            consecutive_failures: ejection.consecutive_failures,
            min_duration: ejection.min_duration.0,
            max_duration: ejection.max_duration.0,
            max_ejected_fraction: ejection.max_ejected_fraction,
            record_lifetime: ejection.forget_after.0,
        },
        retry_ratio: site.retry_ratio,
        max_in_flight_per_host: site.limits.max_in_flight_per_host,
        max_waiting: site.limits.max_waiting,
        last_ready_for: site.limits.last_ready_for.0,
    }
}

/// A handle to the shared state.
pub(crate) type SharedHandle = Arc<SharedState>;
