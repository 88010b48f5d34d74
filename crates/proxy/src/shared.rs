//! What all parts of a running proxy share.

use pondarch_config::proxy::{Limits, Pick, ProxyKind};
use pondarch_config::{ProxySite, site};
use pondarch_controller::Time;
use pondarch_proxy_core::avoid::Habit;
use pondarch_proxy_core::obey::{Habits, Kind, Obey};
use pondarch_proxy_core::table::PickBy;
use pondarch_proxy_core::tries::Repeats;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

/// The rules, the clock, and reqs that wait. The lock is held for decisions alone, never while anything is awaited.
pub(crate) struct Shared {
    obey: Mutex<Obey>,
    waiting: Mutex<BTreeMap<u64, oneshot::Sender<bool>>>,
    limits: Mutex<Limits>,
    pub(crate) kinds: Vec<ProxyKind>,
    at_start: u64,
    start: Instant,
}

impl Shared {
    pub(crate) fn new(
        site: &ProxySite,
        standing: &[(String, std::net::SocketAddr)],
        seed: u64,
    ) -> Shared {
        let at_start = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_micros() as u64;
        let kinds: Vec<Kind> = site.kinds.iter().map(kind).collect();
        let now = Time::from_micros(at_start);
        let process = u64::from(std::process::id());
        let obey = Obey::new(
            &site.name,
            process,
            kinds,
            habits(site),
            standing,
            seed,
            now,
        );
        Shared {
            obey: Mutex::new(obey),
            waiting: Mutex::default(),
            limits: Mutex::new(site.limits),
            kinds: site.kinds.clone(),
            at_start,
            start: Instant::now(),
        }
    }

    /// Microseconds since 1970, steady.
    pub(crate) fn now(&self) -> Time {
        Time::from_micros(self.at_start + self.start.elapsed().as_micros() as u64)
    }

    pub(crate) fn obey(&self) -> MutexGuard<'_, Obey> {
        self.obey.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn limits(&self) -> Limits {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// New habits and limits; reqs under way go on.
    pub(crate) fn reload(&self, site: &ProxySite) {
        self.obey().set_habits(habits(site));
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
        self.obey().leave_line(number);
    }

    /// A host has room again.
    pub(crate) fn room(&self) {
        let (next, turned_away) = self.obey().room(self.now());
        self.wake(next, &turned_away);
    }
}

fn kind(kind: &ProxyKind) -> Kind {
    Kind {
        name: kind.name.clone(),
        repeats: match kind.repeats {
            site::Repeats::Replayable => Repeats::Replayable,
            site::Repeats::Uniqued => {
                Repeats::Uniqued(kind.memory.map_or(Duration::ZERO, |memory| memory.0))
            }
            site::Repeats::NonReplayable => Repeats::NonReplayable,
        },
        client_timeout: kind.client_timeout.0,
        benefit: kind.benefit,
    }
}

fn habits(site: &ProxySite) -> Habits {
    let avoid = site.avoid;
    Habits {
        pick: match site.pick {
            Pick::Weighted => PickBy::Weighted,
            Pick::Round => PickBy::Round,
            Pick::Two => PickBy::Two,
        },
        avoid: Habit {
            after: avoid.after,
            least: avoid.least.0,
            most: avoid.most.0,
            part: avoid.part,
            remembered: avoid.remembered.0,
        },
        further_tries: site.further_tries,
        host_limit: site.limits.at_host,
        line_most: site.limits.waiting,
        last_ready_for: site.limits.last_ready_for.0,
    }
}

pub(crate) type Together = Arc<Shared>;
