//! The bad day: hosts, proxies and clients on loopback, stewards as processes of their own, and every trouble that
//! the site has met, one after the other.

pub(crate) mod harness;
mod report;

pub(crate) use harness::{ask, kinds};
pub use report::{Moment, Report};

use crate::observations::{Fact, Facts, Listed};
use crate::rules::{self, Limits};
use crate::service_level::{moved, service};
use harness::Stage;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, sleep};

#[derive(Debug, Error)]
pub enum RehearsalError {
    #[error("{what}: {wrong}")]
    Io { what: String, wrong: std::io::Error },
    #[error("after {0} s not all proxies were joined; see the stewards' logs in {1}")]
    NotJoined(u64, PathBuf),
    #[error("a steward ended by itself: {0}; see its log in {1}")]
    StewardEnded(String, PathBuf),
    #[error("a proxy cannot be started: {0}")]
    Proxy(#[from] pondarch_proxy::ProxyError),
    #[error(transparent)]
    Stream(#[from] crate::request_trace::StreamError),
    #[error("the report cannot be written: {0}")]
    Report(#[from] minijinja::Error),
}

/// How proxies get their tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fronts {
    Runtime,
    /// From DNS, by plain proxies with a cache.
    Names,
    /// Half of them each way, at each steward.
    Both,
}

impl Fronts {
    /// Whether the proxy at this place asks by name.
    fn by_name(self, n: usize, stewards: usize) -> bool {
        match self {
            Fronts::Runtime => false,
            Fronts::Names => true,
            Fronts::Both => (n / stewards) % 2 == 1,
        }
    }
}

/// How a day is played. All spans are real time.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub hosts: usize,
    pub proxies: usize,
    pub stewards: usize,
    pub fronts: Fronts,
    /// Stewards record, and recover from their records.
    pub records: bool,
    /// Reqs a second, all proxies together.
    pub rate: f64,
    /// Undisturbed spans: before the first trouble, and between two.
    pub opening: Duration,
    pub calm: Duration,
    pub slow: Duration,
    pub silent: Duration,
    pub deploy: Vec<usize>,
    pub between_batches: Duration,
    pub steward_away: Duration,
    pub wrong_list: Duration,
    pub start_share: f64,
    pub warm_within: Duration,
    pub limits: Limits,
}

impl Plan {
    /// The whole day: about 80 s, 20 hosts in 4 zones, 12 proxies, 2 stewards.
    pub fn full(seed: u64) -> Plan {
        Plan {
            seed,
            hosts: 20,
            proxies: 12,
            stewards: 2,
            fronts: Fronts::Runtime,
            records: false,
            rate: 160.0,
            opening: Duration::from_secs(8),
            calm: Duration::from_secs(5),
            slow: Duration::from_secs(10),
            silent: Duration::from_secs(8),
            deploy: vec![3, 2, 2],
            between_batches: Duration::from_secs(3),
            steward_away: Duration::from_secs(2),
            wrong_list: Duration::from_secs(4),
            start_share: 0.17,
            warm_within: Duration::from_secs(6),
            limits: limits(),
        }
    }

    /// A shorter one for tests: the same troubles, less of each.
    pub fn short(seed: u64) -> Plan {
        Plan {
            hosts: 12,
            proxies: 6,
            rate: 80.0,
            opening: Duration::from_secs(3),
            calm: Duration::from_millis(1_500),
            slow: Duration::from_secs(5),
            silent: Duration::from_secs(4),
            deploy: vec![2],
            steward_away: Duration::from_millis(500),
            wrong_list: Duration::from_secs(3),
            warm_within: Duration::from_secs(4),
            ..Plan::full(seed)
        }
    }

    /// The same day with proxies that get their tables in another way. Answers by name live for whole seconds, so that
    /// the grace is longer there.
    pub fn by(self, fronts: Fronts) -> Plan {
        let grace = if fronts == Fronts::Runtime {
            self.limits.grace
        } else {
            Duration::from_secs(4)
        };
        Plan {
            fronts,
            limits: Limits {
                grace,
                ..self.limits
            },
            ..self
        }
    }
}

pub(crate) fn limits() -> Limits {
    Limits {
        bare: Duration::from_secs(2),
        grace: Duration::from_secs(2),
        fall_multiple: 2.5,
        fall_over: Duration::from_secs(2),
        message_cap: 12,
        message_window: Duration::from_secs(10),
        most_waiting: 4_000,
        once: ["release".to_string()].into(),
    }
}

/// Plays the day with stewards of this program, in this folder. Everything it started has ended when it returns.
///
/// Errors: something could not be started; a broken rule is no error but stands in the report.
pub async fn play(plan: Plan, program: &Path, folder: &Path) -> Result<Report, RehearsalError> {
    let facts = Facts::default();
    let mut stage = Stage::set(&plan, program, folder, facts.clone()).await?;
    stage.wait_joined().await?;
    let spans = stage.spans(&plan);
    let clients = stage.clients(&plan, Instant::now() + spans);
    let moments = {
        let script = script(&plan, &mut stage, &facts);
        tokio::pin!(clients, script);
        // The clients go on until the script's end; a failure in the script ends both.
        let ((), moments) = tokio::join!(&mut clients, &mut script);
        moments?
    };
    stage.end().await;
    let facts = facts.take();
    let breaks = rules::check(&facts, &plan.limits);
    Ok(report::report(&plan, &facts, moments, breaks, &kinds()))
}

/// A trouble as it was played.
pub(crate) struct Played {
    name: &'static str,
    began: Duration,
    ended: Duration,
    /// The host whose traffic should move away.
    host: Option<String>,
}

async fn script(
    plan: &Plan,
    stage: &mut Stage,
    facts: &Facts,
) -> Result<Vec<Played>, RehearsalError> {
    let mut played = Vec::new();
    let mut chance = fastrand::Rng::with_seed(plan.seed);
    sleep(plan.opening).await;

    let slow = stage.some_host(&mut chance, "arnhem");
    let began = begin(facts, "a host slows 6 times");
    stage.trouble(&slow, |trouble| trouble.slower.store(6_000, Relaxed));
    sleep(plan.slow).await;
    stage.trouble(&slow, |trouble| trouble.slower.store(1_000, Relaxed));
    played.push(end(
        facts,
        "a host slows 6 times",
        began,
        Some(slow.clone()),
    ));
    sleep(plan.calm).await;

    let silent = stage.some_host(&mut chance, "utrecht");
    let began = begin(facts, "a host goes silent");
    stage.trouble(&silent, |trouble| trouble.hangs.store(true, Relaxed));
    sleep(plan.silent).await;
    stage.trouble(&silent, |trouble| trouble.hangs.store(false, Relaxed));
    played.push(end(
        facts,
        "a host goes silent",
        began,
        Some(silent.clone()),
    ));
    sleep(plan.calm).await;

    let began = begin(facts, "a rolling deploy");
    for &batch in &plan.deploy {
        let old = stage.replaceable(batch, &[&slow, &silent]);
        stage.successors(&old).await?;
        sleep(plan.limits.grace + Duration::from_millis(200)).await;
        stage
            .list
            .change(|list| list.retain(|name, _| !old.contains(name)))
            .map_err(listing)?;
        old.iter().for_each(|name| stage.kill_host(name));
        sleep(plan.between_batches.saturating_sub(plan.limits.grace)).await;
    }
    sleep(plan.warm_within / 2).await;
    played.push(end(facts, "a rolling deploy", began, None));
    sleep(plan.calm).await;

    let again = stage.some_host(&mut chance, "amersfoort");
    let began = begin(facts, "a host starts anew under its name");
    stage.restart_host(&again).await?;
    sleep(plan.warm_within).await;
    played.push(end(facts, "a host starts anew under its name", began, None));
    sleep(plan.calm).await;

    for (name, proxy) in [("a socket drops halfway", 0), ("a batch comes twice", 1)] {
        // Only runtime sockets carry orders.
        if stage.proxies.len() <= proxy {
            continue;
        }
        let began = begin(facts, name);
        let faults = stage.proxies[proxy].faults();
        let before = faults.used.load(Relaxed);
        if proxy == 0 {
            faults.cut_after.store(2, Relaxed);
        } else {
            faults.twice.store(true, Relaxed);
        }
        // Halving a listed weight changes tables: the orders meet the fault.
        stage.operator(proxy % plan.stewards, "weight 2").await?;
        let deadline = Instant::now() + Duration::from_secs(4);
        while stage.proxies[proxy].faults().used.load(Relaxed) == before
            && Instant::now() < deadline
        {
            sleep(Duration::from_millis(50)).await;
        }
        sleep(plan.calm / 2).await;
        played.push(end(facts, name, began, None));
    }

    let began = begin(facts, "a steward is killed");
    stage.kill_steward(0).await;
    sleep(plan.steward_away).await;
    stage.start_steward(0)?;
    stage.wait_joined().await?;
    played.push(end(facts, "a steward is killed", began, None));
    sleep(plan.calm).await;

    let wrong = stage.some_host(&mut chance, "ede");
    let began = begin(facts, "the list calls a serving host gone");
    stage
        .list
        .set(std::slice::from_ref(&wrong), Listed::Gone)
        .map_err(listing)?;
    sleep(plan.wrong_list).await;
    stage
        .list
        .set(std::slice::from_ref(&wrong), Listed::Ready)
        .map_err(listing)?;
    played.push(end(
        facts,
        "the list calls a serving host gone",
        began,
        None,
    ));
    sleep(plan.calm).await;
    Ok(played)
}

fn listing(wrong: std::io::Error) -> RehearsalError {
    RehearsalError::Io {
        what: "the list".into(),
        wrong,
    }
}

fn begin(facts: &Facts, name: &'static str) -> Duration {
    facts.note(Fact::Trouble { name, begins: true });
    facts.now()
}

fn end(facts: &Facts, name: &'static str, began: Duration, host: Option<String>) -> Played {
    facts.note(Fact::Trouble {
        name,
        begins: false,
    });
    Played {
        name,
        began,
        ended: facts.now(),
        host,
    }
}

/// Service around one trouble, and how fast traffic moved.
pub(crate) fn moment(
    plan: &Plan,
    facts: &[(Duration, Fact)],
    played: &Played,
    kinds: &[crate::client::Kind],
) -> Moment {
    let share = |from, to| service(facts, kinds, from, to).share();
    let (began, ended) = (played.began, played.ended);
    let moved = played
        .host
        .as_ref()
        .map(|host| moved(facts, host, began, plan.calm));
    let seconds = |span: Option<Duration>| span.map(|span| span.as_secs_f64());
    Moment {
        name: played.name,
        began_s: began.as_secs_f64(),
        lasted_s: (ended - began).as_secs_f64(),
        before: share(began.saturating_sub(plan.calm), began),
        during: share(began, ended),
        after: share(ended, ended + plan.calm),
        first_moved_s: moved.and_then(|(first, _)| seconds(first)),
        half_moved_s: moved.and_then(|(_, half)| seconds(half)),
    }
}
