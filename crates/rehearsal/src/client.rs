//! A paced client: reqs of each kind at drawn times, whether the former ones are answered or not.

use crate::facts::{Fact, Facts, How};
use crate::proxy::{Handle, Req};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

/// Reqs of one client that may be under way; it asks no more until one ends, so that a rehearsal stays bounded.
const OPEN_MOST: usize = 4_000;

/// One request kind as clients ask for it.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: &'static str,
    /// Part of all reqs.
    pub share: f64,
    pub work: Duration,
    pub response_target: Duration,
    pub client_timeout: Duration,
    pub benefit: f64,
    pub replayable: bool,
}

/// Asks `rate` reqs a second of one proxy until `until`, then waits for the last to end.
pub async fn ask(
    proxy: Handle,
    kinds: Vec<Kind>,
    rate: f64,
    until: Instant,
    ids: Arc<AtomicU64>,
    seed: u64,
    facts: Facts,
) {
    let mut chance = fastrand::Rng::with_seed(seed);
    let mut open = JoinSet::new();
    let mut next = Instant::now();
    loop {
        // Times between reqs as they come from many clients that do not know of each other.
        next += Duration::from_secs_f64((-(1.0 - chance.f64()).ln() / rate).min(5.0));
        if next >= until {
            break;
        }
        sleep_until(next).await;
        while open.try_join_next().is_some() {}
        if open.len() >= OPEN_MOST {
            open.join_next().await;
        }
        let mut at = chance.f64() * kinds.iter().map(|kind| kind.share).sum::<f64>();
        let drawn = kinds.iter().find(|kind| {
            at -= kind.share;
            at < 0.0
        });
        let Some(kind) = drawn.or(kinds.last()).cloned() else { return };
        let id = ids.fetch_add(1, Relaxed);
        // A fifth either way, as jobs differ.
        let work = kind.work.mul_f64(0.8 + 0.4 * chance.f64());
        let req = Req { id, kind: kind.name.to_string(), work, client_timeout: kind.client_timeout };
        let (proxy, facts) = (proxy.clone(), facts.clone());
        open.spawn(async move {
            let (asked, kind) = (Instant::now(), kind.name.to_string());
            facts.note(Fact::Asked { kind: kind.clone(), req: id });
            let how = match tokio::time::timeout(req.client_timeout, proxy.serve(req)).await {
                Ok(how) => how,
                Err(_) => How::Errored,
            };
            facts.note(Fact::Ended { kind, req: id, how, took: asked.elapsed() });
        });
    }
    while open.join_next().await.is_some() {}
}
