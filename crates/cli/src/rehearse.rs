//! `pondarch rehearse`: plays troubles on loopback, with this same program as the stewards.

use crate::failed;
use clap::{Args, Subcommand, ValueEnum};
use pondarch_rehearsal::bad_day::RehearsalError;
use pondarch_rehearsal::{
    bad_day, connection_storm, controller_kills, proxy_benchmark, report_load, weight_comparison,
};
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand)]
pub(crate) enum Scene {
    /// One day with every known trouble, under 90 s.
    BadDay {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// A day of a third of the length and half of the size.
        #[arg(long)]
        short: bool,
        /// How proxies get their tables.
        #[arg(long, value_enum, default_value_t = Fronts::Runtime)]
        fronts: Fronts,
        /// Stewards record, and recover from their records.
        #[arg(long)]
        records: bool,
        #[command(flatten)]
        show: Show,
    },
    /// A steward killed again and again, in the middle of drains and under load; about 1.5 s a kill.
    Kills {
        #[arg(long, default_value_t = 20)]
        times: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[command(flatten)]
        show: Show,
    },
    /// The own proxy under a recorded stream: parts by weight, versions, speed beside a direct connection.
    Proxy {
        #[arg(long, default_value_t = 200_000)]
        reqs: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[command(flatten)]
        show: Show,
    },
    /// Solved weights beside listed and equal ones on hosts of known capacity: about a minute a site.
    Weights {
        #[arg(long, default_value_t = 5)]
        sites: usize,
        #[arg(long, default_value_t = 1)]
        stewards: usize,
        /// Parts of the capacity that are asked for.
        #[arg(long, value_delimiter = ',')]
        loads: Option<Vec<f64>>,
        #[command(flatten)]
        show: Show,
    },
    /// Reports pushed at the expected rate and at many times it, with hosts that hang in the middle.
    Reports {
        #[arg(long, default_value_t = 740)]
        proxies: usize,
        #[arg(long, default_value_t = 700)]
        hosts: usize,
        /// Times the expected rate, one after the other.
        #[arg(long, value_delimiter = ',', default_values_t = [1, 3, 10])]
        times: Vec<u32>,
        /// Seconds of each.
        #[arg(long, default_value_t = 30)]
        each: u64,
        /// Lines of hosts that decisions take in a second; absent: all.
        #[arg(long)]
        lines: Option<f64>,
        #[command(flatten)]
        show: Show,
    },
    /// Many proxies and hosts, no traffic: joins, drains, and what they cost.
    Storm {
        #[arg(long, default_value_t = 200)]
        proxies: usize,
        #[arg(long, default_value_t = 700)]
        hosts: usize,
        #[command(flatten)]
        show: Show,
    },
}

#[derive(Clone, Copy, ValueEnum)]
pub(crate) enum Fronts {
    Runtime,
    /// From DNS, by plain proxies with a cache.
    Names,
    Both,
}

#[derive(Args)]
pub(crate) struct Show {
    /// Prints the figures as JSON.
    #[arg(long)]
    json: bool,
    /// Where sockets, lists and logs go; absent: a new folder for temporary files, kept if a rule broke.
    #[arg(long)]
    folder: Option<PathBuf>,
}

impl Show {
    fn folder(&self) -> Result<PathBuf, String> {
        let new =
            || std::env::temp_dir().join(format!("pondarch-rehearsal-{}", std::process::id()));
        let folder = self.folder.clone().unwrap_or_else(new);
        std::fs::create_dir_all(&folder)
            .map_err(|wrong| format!("{}: {wrong}", folder.display()))?;
        Ok(folder)
    }

    fn print(
        &self,
        report: &impl Serialize,
        text: Result<String, RehearsalError>,
    ) -> Result<(), String> {
        let text = if self.json {
            serde_json::to_string_pretty(report).map_err(|wrong| wrong.to_string())?
        } else {
            text.map_err(|wrong| wrong.to_string())?
        };
        println!("{text}");
        Ok(())
    }

    /// Left-over files of a rehearsal that went well help nobody.
    fn tidy(&self, folder: &Path) {
        if self.folder.is_none() {
            std::fs::remove_dir_all(folder).ok();
        }
    }
}

pub(crate) async fn rehearse(scene: Scene) -> ExitCode {
    match played(scene).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(wrong) => failed(&wrong),
    }
}

/// Plays a scene; gives whether the rules held.
async fn played(scene: Scene) -> Result<bool, String> {
    let program =
        std::env::current_exe().map_err(|wrong| format!("cannot find this program: {wrong}"))?;
    match scene {
        Scene::Kills { times, seed, show } => {
            if !(1..=1_000).contains(&times) {
                return Err("1 to 1000 kills".into());
            }
            let folder = show.folder()?;
            let report = controller_kills::run(times, seed, &program, &folder)
                .await
                .map_err(|wrong| wrong.to_string())?;
            show.print(&report, report.text())?;
            if report.passed() {
                show.tidy(&folder);
            }
            Ok(report.passed())
        }
        Scene::BadDay {
            seed,
            short,
            fronts,
            records,
            show,
        } => {
            let folder = show.folder()?;
            let plan = if short {
                bad_day::Plan::short(seed)
            } else {
                bad_day::Plan::full(seed)
            };
            let plan = plan.with_table_source(match fronts {
                Fronts::Runtime => bad_day::TableSource::RuntimeApi,
                Fronts::Names => bad_day::TableSource::Dns,
                Fronts::Both => bad_day::TableSource::Mixed,
            });
            let plan = bad_day::Plan {
                event_log: records,
                ..plan
            };
            let report = bad_day::run(plan, &program, &folder)
                .await
                .map_err(|wrong| wrong.to_string())?;
            show.print(&report, report.text())?;
            if report.passed() {
                show.tidy(&folder);
            } else {
                eprintln!("pondarch: the stewards' logs are in {}", folder.display());
            }
            Ok(report.passed())
        }
        Scene::Proxy { reqs, seed, show } => {
            if !(1_000..=2_000_000).contains(&reqs) {
                return Err("a trial has 1000 to 2000000 reqs".into());
            }
            let folder = show.folder()?;
            let plan = proxy_benchmark::Plan::with_requests(reqs, seed);
            let report = proxy_benchmark::run(&plan, &program, &folder)
                .await
                .map_err(|wrong| wrong.to_string())?;
            show.print(&report, report.text())?;
            if report.passed() {
                show.tidy(&folder);
            }
            Ok(report.passed())
        }
        Scene::Weights {
            sites,
            stewards,
            loads,
            show,
        } => {
            let mut plan = weight_comparison::Plan::full(sites, stewards);
            plan.loads = loads.unwrap_or(plan.loads);
            let sound = plan.loads.iter().all(|load| (0.05..=2.0).contains(load));
            if !(1..=20).contains(&sites) || !(1..=plan.proxies).contains(&stewards) || !sound {
                return Err("1 to 20 sites, 1 to 12 stewards, loads from 0.05 to 2".into());
            }
            let folder = show.folder()?;
            let report = weight_comparison::run(&plan, &program, &folder)
                .await
                .map_err(|wrong| wrong.to_string())?;
            show.print(&report, report.text())?;
            if report.passed() {
                show.tidy(&folder);
            }
            Ok(report.passed())
        }
        Scene::Reports {
            proxies,
            hosts,
            times,
            each,
            lines,
            show,
        } => {
            let sound = times.iter().all(|times| (1..=100).contains(times)) && !times.is_empty();
            if !(1..=1_000).contains(&proxies)
                || !(8..=5_000).contains(&hosts)
                || !(2..=7_200).contains(&each)
                || !sound
            {
                return Err(
                    "1 to 1000 proxies, 8 to 5000 hosts, 1 to 100 times, 2 to 7200 s".into(),
                );
            }
            let folder = show.folder()?;
            let each = std::time::Duration::from_secs(each);
            let plan = report_load::Plan {
                proxies,
                hosts,
                rate_multiples: times,
                step_duration: each,
                lines_per_second: lines,
            };
            let report = report_load::run(&plan, &program, &folder)
                .await
                .map_err(|wrong| wrong.to_string())?;
            show.print(&report, report.text())?;
            show.tidy(&folder);
            Ok(true)
        }
        Scene::Storm {
            proxies,
            hosts,
            show,
        } => {
            if !(1..=1_000).contains(&proxies) || !(8..=5_000).contains(&hosts) {
                return Err("a storm has 1 to 1000 proxies and 8 to 5000 hosts".into());
            }
            let folder = show.folder()?;
            let plan = connection_storm::Plan {
                proxies,
                hosts,
                ..connection_storm::Plan::default()
            };
            let report = connection_storm::run(&plan, &program, &folder)
                .await
                .map_err(|wrong| wrong.to_string())?;
            show.print(&report, report.text())?;
            show.tidy(&folder);
            Ok(true)
        }
    }
}
