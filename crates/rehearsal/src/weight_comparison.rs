//! Compares weights that the solver computes with listed and with equal weights, on simulated hosts of known
//! capacity. Each random site runs with the same traffic under every weight source, side by side and at several
//! loads.

mod evaluation;
mod harness;
mod report;

pub use evaluation::{Evaluation, max_service_share};
pub use report::{Report, Row};

use crate::bad_day::RehearsalError;
use crate::client::RequestClass;
use harness::Harness;
use std::path::Path;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Where the weights of hosts come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightSource {
    /// Computed by the solver from inaccurate listed weights.
    Solved,
    /// The inaccurate listed weights.
    Listed,
    Equal,
    /// Listed weights equal to the hosts' capacities. No real list has these; they show what the controller can reach
    /// with exact weights.
    TrueCapacity,
}

impl WeightSource {
    /// All weight sources, in the order of the report.
    pub const ALL: [WeightSource; 4] = [
        WeightSource::Solved,
        WeightSource::Listed,
        WeightSource::Equal,
        WeightSource::TrueCapacity,
    ];

    /// Name in reports and folder names.
    pub fn name(self) -> &'static str {
        match self {
            WeightSource::Solved => "solved",
            WeightSource::Listed => "listed",
            WeightSource::Equal => "equal",
            WeightSource::TrueCapacity => "true",
        }
    }
}

/// Size and timing of the comparison.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seeds: Vec<u64>,
    /// Offered loads, as fractions of the capacity.
    pub loads: Vec<f64>,
    pub hosts: usize,
    pub proxies: usize,
    pub controllers: usize,
    /// Time for weights to settle before the evaluation starts.
    pub settling_time: Duration,
    /// Time that is evaluated; a cold host joins at its start.
    pub evaluation_time: Duration,
    pub initial_capacity: f64,
    pub slow_start_window: Duration,
}

impl Plan {
    /// The full comparison with this number of sites.
    pub fn full(sites: usize, controllers: usize) -> Plan {
        Plan {
            seeds: (1..=sites as u64).collect(),
            loads: vec![0.5, 0.65, 0.75],
            hosts: 12,
            proxies: 12,
            controllers,
            settling_time: Duration::from_secs(30),
            evaluation_time: Duration::from_secs(30),
            initial_capacity: 0.2,
            slow_start_window: Duration::from_secs(12),
        }
    }
}

/// One random site: the properties of its hosts and their listed weights.
#[derive(Clone, Debug)]
pub struct Site {
    pub hosts: Vec<SiteHost>,
    /// The host that starts cold.
    pub new_host: SiteHost,
    /// Relative traffic of each proxy.
    pub traffic_shares: Vec<f64>,
}

/// One host of a site.
#[derive(Clone, Debug)]
pub struct SiteHost {
    pub name: String,
    pub zone: usize,
    pub cores: usize,
    pub speed: f64,
    /// Listed weight: an inaccurate estimate of the capacity.
    pub listed_weight: f64,
}

impl SiteHost {
    /// Seconds of work that the host completes per second.
    pub fn capacity(&self) -> f64 {
        self.cores as f64 * self.speed
    }
}

/// The request classes of the bad day with twice the work and time limits, so that hosts with several cores are
/// loaded by fewer requests.
pub(crate) fn classes() -> Vec<RequestClass> {
    let doubled = |class: RequestClass| RequestClass {
        work: class.work * 2,
        latency_objective: class.latency_objective * 2,
        client_timeout: class.client_timeout * 2,
        ..class
    };
    crate::bad_day::classes().into_iter().map(doubled).collect()
}

pub(crate) const ZONES: [&str; 3] = ["ede", "arnhem", "utrecht"];

impl Site {
    /// Generates a random site.
    pub fn generate(plan: &Plan, seed: u64) -> Site {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut host = |n: usize, name: String| {
            let cores = [2, 2, 4, 8][rng.usize(0..4)];
            // Speeds range from half to twice the usual one, and listed weights from half to twice the capacity.
            let speed = (2.0f64).powf(2.0 * rng.f64() - 1.0);
            let listed_weight = cores as f64 * speed * (2.0f64).powf(2.0 * rng.f64() - 1.0);
            SiteHost {
                name,
                zone: n % ZONES.len(),
                cores,
                speed,
                listed_weight: (listed_weight * 1e3).round() / 1e3,
            }
        };
        let hosts = (0..plan.hosts)
            .map(|n| host(n, format!("host-{n}")))
            .collect();
        let new_host = host(seed as usize, "new".into());
        let mut traffic_shares: Vec<f64> = (0..plan.proxies).map(|_| 0.5 + rng.f64()).collect();
        // The first proxy gets a quarter of all traffic.
        let others: f64 = traffic_shares[1..].iter().sum();
        traffic_shares[0] = others / 3.0;
        Site {
            hosts,
            new_host,
            traffic_shares,
        }
    }

    /// Total capacity of the hosts, without the new one.
    pub fn capacity(&self) -> f64 {
        self.hosts.iter().map(SiteHost::capacity).sum()
    }

    /// Requests per second that use this fraction of the capacity.
    pub fn request_rate(&self, load: f64, classes: &[RequestClass]) -> f64 {
        let total_share: f64 = classes.iter().map(|class| class.share).sum();
        let mean_work = classes
            .iter()
            .map(|class| class.share * class.work.as_secs_f64())
            .sum::<f64>()
            / total_share;
        self.capacity() * load / mean_work
    }
}

/// Runs all sites one after the other; the loads and weight sources of a site run side by side.
///
/// # Errors
///
/// A component could not be started.
pub async fn run(plan: &Plan, program: &Path, folder: &Path) -> Result<Report, RehearsalError> {
    let mut rows = Vec::new();
    for &seed in &plan.seeds {
        let site = Site::generate(plan, seed);
        let mut harnesses = Vec::new();
        for (&load, weight_source) in plan
            .loads
            .iter()
            .flat_map(|load| WeightSource::ALL.map(|weight_source| (load, weight_source)))
        {
            let name = format!("{seed}-{}-{}", (load * 100.0).round(), weight_source.name());
            let folder = folder.join(name);
            std::fs::create_dir_all(&folder).map_err(|error| RehearsalError::Io {
                context: "cannot create a folder".into(),
                error,
            })?;
            let harness =
                Harness::start(plan, &site, seed, load, weight_source, program, &folder).await?;
            harnesses.push(harness);
        }
        let began = Instant::now();
        for harness in &mut harnesses {
            harness.start_clients(plan, &site, began);
        }
        sleep_until(began + plan.settling_time).await;
        for harness in &mut harnesses {
            harness.start_new_host(plan, &site).await?;
        }
        sleep_until(began + plan.settling_time + plan.evaluation_time).await;
        for harness in harnesses {
            rows.push(harness.finish(plan, &site, &classes()).await);
        }
    }
    Ok(Report::new(plan, rows))
}
