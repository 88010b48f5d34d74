//! Weights as a solver sets them beside listed and equal ones, on stand-in hosts of known capacity: the same site and
//! the same traffic three times side by side, at several loads, for several seeded sites.

mod evaluation;
mod harness;
mod report;

pub use evaluation::{Judged, best};
pub use report::{Report, Row};

use crate::bad_day::RehearsalError;
use crate::client::Kind;
use harness::Stage;
use std::path::Path;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// How proxies' weights come to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Solved from listed weights that are off.
    Solved,
    /// The listed weights that are off.
    Listed,
    Equal,
    /// Listed weights that are just what hosts can do: nobody has these; what the mechanism reaches with them.
    True,
}

impl Mode {
    pub const ALL: [Mode; 4] = [Mode::Solved, Mode::Listed, Mode::Equal, Mode::True];

    pub fn word(self) -> &'static str {
        match self {
            Mode::Solved => "solved",
            Mode::Listed => "listed",
            Mode::Equal => "equal",
            Mode::True => "true",
        }
    }
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seeds: Vec<u64>,
    /// Parts of the capacity that are asked for.
    pub loads: Vec<f64>,
    pub hosts: usize,
    pub proxies: usize,
    pub stewards: usize,
    /// Before anything is judged: weights settle.
    pub settles: Duration,
    /// What is judged; a cold host joins at its start.
    pub judged: Duration,
    pub start_share: f64,
    pub warm_within: Duration,
}

impl Plan {
    pub fn full(sites: usize, stewards: usize) -> Plan {
        Plan {
            seeds: (1..=sites as u64).collect(),
            loads: vec![0.5, 0.65, 0.75],
            hosts: 12,
            proxies: 12,
            stewards,
            settles: Duration::from_secs(30),
            judged: Duration::from_secs(30),
            start_share: 0.2,
            warm_within: Duration::from_secs(12),
        }
    }
}

/// One seeded site: what its hosts are and what the list says of them.
#[derive(Clone, Debug)]
pub struct Site {
    pub hosts: Vec<SiteHost>,
    /// The host that starts cold.
    pub new: SiteHost,
    /// Each proxy's part of the traffic.
    pub parts: Vec<f64>,
}

#[derive(Clone, Debug)]
pub struct SiteHost {
    pub name: String,
    pub zone: usize,
    pub cores: usize,
    pub speed: f64,
    /// The list's word: its capacity as somebody once guessed it.
    pub listed: f64,
}

impl SiteHost {
    pub fn capacity(&self) -> f64 {
        self.cores as f64 * self.speed
    }
}

/// The kinds of the bad day with twice the work and targets, so that hosts of several cores need fewer reqs.
pub(crate) fn kinds() -> Vec<Kind> {
    let twice = |kind: Kind| Kind {
        work: kind.work * 2,
        response_target: kind.response_target * 2,
        client_timeout: kind.client_timeout * 2,
        ..kind
    };
    crate::bad_day::kinds().into_iter().map(twice).collect()
}

pub(crate) const ZONES: [&str; 3] = ["ede", "arnhem", "utrecht"];

impl Site {
    pub fn drawn(plan: &Plan, seed: u64) -> Site {
        let mut chance = fastrand::Rng::with_seed(seed);
        let mut host = |n: usize, name: String| {
            let cores = [2, 2, 4, 8][chance.usize(0..4)];
            // From half to twice the usual speed, and listed at from half to twice of what it is.
            let speed = (2.0f64).powf(2.0 * chance.f64() - 1.0);
            let listed = cores as f64 * speed * (2.0f64).powf(2.0 * chance.f64() - 1.0);
            SiteHost {
                name,
                zone: n % ZONES.len(),
                cores,
                speed,
                listed: (listed * 1e3).round() / 1e3,
            }
        };
        let hosts = (0..plan.hosts)
            .map(|n| host(n, format!("host-{n}")))
            .collect();
        let new = host(seed as usize, "new".into());
        let mut parts: Vec<f64> = (0..plan.proxies).map(|_| 0.5 + chance.f64()).collect();
        // One proxy has a quarter of all traffic.
        let others: f64 = parts[1..].iter().sum();
        parts[0] = others / 3.0;
        Site { hosts, new, parts }
    }

    pub fn capacity(&self) -> f64 {
        self.hosts.iter().map(SiteHost::capacity).sum()
    }

    /// Reqs a second that are this part of the capacity.
    pub fn rate(&self, load: f64, kinds: &[Kind]) -> f64 {
        let shares: f64 = kinds.iter().map(|kind| kind.share).sum();
        let work = kinds
            .iter()
            .map(|kind| kind.share * kind.work.as_secs_f64())
            .sum::<f64>()
            / shares;
        self.capacity() * load / work
    }
}

/// Plays all sites, one after the other; the loads and ways of weighing of a site side by side.
///
/// Errors: something could not be started.
pub async fn play(plan: &Plan, program: &Path, folder: &Path) -> Result<Report, RehearsalError> {
    let mut rows = Vec::new();
    for &seed in &plan.seeds {
        let site = Site::drawn(plan, seed);
        let mut stages = Vec::new();
        for (&load, mode) in plan
            .loads
            .iter()
            .flat_map(|load| Mode::ALL.map(|mode| (load, mode)))
        {
            let name = format!("{seed}-{}-{}", (load * 100.0).round(), mode.word());
            let folder = folder.join(name);
            std::fs::create_dir_all(&folder).map_err(|wrong| RehearsalError::Io {
                what: "a folder".into(),
                wrong,
            })?;
            let stage = Stage::set(plan, &site, seed, load, mode, program, &folder).await?;
            stages.push(stage);
        }
        let began = Instant::now();
        for stage in &mut stages {
            stage.begin(plan, &site, began);
        }
        sleep_until(began + plan.settles).await;
        for stage in &mut stages {
            stage.new_host(plan, &site).await?;
        }
        sleep_until(began + plan.settles + plan.judged).await;
        for stage in stages {
            rows.push(stage.end(plan, &site, &kinds()).await);
        }
    }
    Ok(Report::of(plan, rows))
}
