//! What all parts of a running proxy share.

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

/// The rules, the clock, and reqs that wait. The lock is held for decisions alone, never while anything is awaited.
pub(crate) struct Shared {
    obey: Mutex<ProxyCore>,
    waiting: Mutex<BTreeMap<u64, oneshot::Sender<bool>>>,
    limits: Mutex<Limits>,
    pub(crate) kinds: Vec<ProxyRequestClass>,
    at_start: u64,
    start: Instant,
}

impl Shared {
    pub(crate) fn new(site: &ProxySettings, standing: &[StaticHost], seed: u64) -> Shared {
        let at_start = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_micros() as u64;
        let kinds: Vec<RequestClass> = site.request_classes.iter().map(kind).collect();
        let now = Time::from_micros(at_start);
        let process = u64::from(std::process::id());
        let obey = ProxyCore::new(
            ProxyCoreOptions {
                name: site.name.clone(),
                process_id: process,
                classes: kinds,
                policy: habits(site),
                static_hosts: standing.to_vec(),
                seed,
            },
            now,
        );
        Shared {
            obey: Mutex::new(obey),
            waiting: Mutex::default(),
            limits: Mutex::new(site.limits),
            kinds: site.request_classes.clone(),
            at_start,
            start: Instant::now(),
        }
    }

    /// Microseconds since 1970, steady.
    pub(crate) fn now(&self) -> Time {
        Time::from_micros(self.at_start + self.start.elapsed().as_micros() as u64)
    }

    pub(crate) fn obey(&self) -> MutexGuard<'_, ProxyCore> {
        self.obey.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn limits(&self) -> Limits {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// New habits and limits; reqs under way go on.
    pub(crate) fn reload(&self, site: &ProxySettings) {
        self.obey().set_policy(habits(site));
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner) = site.limits;
    }

    /// Enters the line's number; the receiver is told to look again, or that the req is turned away.
    pub(crate) fn wait(&self, number: u64) -> oneshot::Receiver<bool> {
        let (told, waits) = oneshot::channel();
        self.waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(number, told);
        waits
    }

    pub(crate) fn wake(&self, next: Option<u64>, turned_away: &[u64]) {
        if next.is_none() && turned_away.is_empty() {
            return;
        }
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let all = next
            .map(|number| (number, true))
            .into_iter()
            .chain(turned_away.iter().map(|number| (*number, false)));
        for (number, again) in all {
            if let Some(told) = waiting.remove(&number) {
                // Its client may have gone meanwhile.
                told.send(again).ok();
            }
        }
    }

    /// A req waits no longer, by its own time limit or because its client has gone.
    pub(crate) fn leave_line(&self, number: u64) {
        self.waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&number);
        self.obey().remove_from_queue(number);
    }

    /// A host has room again.
    pub(crate) fn room(&self) {
        let release = self.obey().release_from_queue(self.now());
        self.wake(release.next, &release.rejected);
    }
}

fn kind(kind: &ProxyRequestClass) -> RequestClass {
    RequestClass {
        name: kind.name.clone(),
        idempotency: match kind.idempotency {
            site::Idempotency::Idempotent => Idempotency::Idempotent,
            site::Idempotency::ByKey => Idempotency::ByKey(
                kind.deduplication_window
                    .map_or(Duration::ZERO, |memory| memory.0),
            ),
            site::Idempotency::NotIdempotent => Idempotency::NotIdempotent,
        },
        client_timeout: kind.client_timeout.0,
        priority_weight: kind.priority_weight,
    }
}

fn habits(site: &ProxySettings) -> RoutingPolicy {
    let avoid = site.ejection;
    RoutingPolicy {
        pick: match site.pick {
            PickStrategy::WeightedRandom => PickPolicy::WeightedRandom,
            PickStrategy::RoundRobin => PickPolicy::RoundRobin,
            PickStrategy::TwoChoices => PickPolicy::TwoChoices,
        },
        ejection: EjectionPolicy {
            consecutive_failures: avoid.consecutive_failures,
            min_duration: avoid.min_duration.0,
            max_duration: avoid.max_duration.0,
            max_ejected_fraction: avoid.max_ejected_fraction,
            forget_after: avoid.forget_after.0,
        },
        retry_ratio: site.retry_ratio,
        max_in_flight_per_host: site.limits.max_in_flight_per_host,
        max_waiting: site.limits.max_waiting,
        last_ready_for: site.limits.last_ready_for.0,
    }
}

pub(crate) type Together = Arc<Shared>;
