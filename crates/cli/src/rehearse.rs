//! `pondarch rehearse`: runs rehearsals on loopback, with this program as the daemons.

use crate::report_error;
use clap::{Args, Subcommand, ValueEnum};
use pondarch_rehearsal::bad_day::RehearsalError;
use pondarch_rehearsal::{
    bad_day, connection_storm, controller_kills, proxy_benchmark, report_load, weight_comparison,
};
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand)]
pub(crate) enum Rehearsal {
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
        output: OutputArgs,
    },
    /// A steward killed again and again, in the middle of drains and under load; about 1.5 s a kill.
    Kills {
        #[arg(long, default_value_t = 20)]
        times: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[command(flatten)]
        output: OutputArgs,
    },
    /// The own proxy under a recorded stream: parts by weight, versions, speed beside a direct connection.
    Proxy {
        #[arg(long, default_value_t = 200_000)]
        reqs: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[command(flatten)]
        output: OutputArgs,
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
        output: OutputArgs,
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
        output: OutputArgs,
    },
    /// Many proxies and hosts, no traffic: joins, drains, and what they cost.
    Storm {
        #[arg(long, default_value_t = 200)]
        proxies: usize,
        #[arg(long, default_value_t = 700)]
        hosts: usize,
        #[command(flatten)]
        output: OutputArgs,
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
pub(crate) struct OutputArgs {
    /// Prints the figures as JSON.
    #[arg(long)]
    json: bool,
    /// Where sockets, lists and logs go; absent: a new folder for temporary files, kept if a rule broke.
    #[arg(long)]
    folder: Option<PathBuf>,
}

impl OutputArgs {
    fn folder(&self) -> Result<PathBuf, String> {
        let new_folder =
            || std::env::temp_dir().join(format!("pondarch-rehearsal-{}", std::process::id()));
        let folder = self.folder.clone().unwrap_or_else(new_folder);
        std::fs::create_dir_all(&folder)
            .map_err(|error| format!("{}: {error}", folder.display()))?;
        Ok(folder)
    }

    fn print(
        &self,
        report: &impl Serialize,
        text: Result<String, RehearsalError>,
    ) -> Result<(), String> {
        let text = if self.json {
            serde_json::to_string_pretty(report).map_err(|error| error.to_string())?
        } else {
            text.map_err(|error| error.to_string())?
        };
        println!("{text}");
        Ok(())
    }

    /// Removes the temporary folder of a successful rehearsal, unless the user named it.
    fn remove_folder(&self, folder: &Path) {
        if self.folder.is_none() {
            std::fs::remove_dir_all(folder).ok();
        }
    }
}

/// Runs a rehearsal and prints its report.
pub(crate) async fn rehearse(rehearsal: Rehearsal) -> ExitCode {
    match run(rehearsal).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => report_error(&error),
    }
}

/// Runs a rehearsal; returns whether the rules held.
async fn run(rehearsal: Rehearsal) -> Result<bool, String> {
    let program =
        std::env::current_exe().map_err(|error| format!("cannot find this program: {error}"))?;
    match rehearsal {
        Rehearsal::Kills {
            times,
            seed,
            output,
        } => {
            if !(1..=1_000).contains(&times) {
                return Err("the number of kills must be from 1 to 1000".into());
            }
            let folder = output.folder()?;
            let report = controller_kills::run(times, seed, &program, &folder)
                .await
                .map_err(|error| error.to_string())?;
            output.print(&report, report.text())?;
            if report.passed() {
                output.remove_folder(&folder);
            }
            Ok(report.passed())
        }
        Rehearsal::BadDay {
            seed,
            short,
            fronts,
            records,
            output,
        } => {
            let folder = output.folder()?;
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
                .map_err(|error| error.to_string())?;
            output.print(&report, report.text())?;
            if report.passed() {
                output.remove_folder(&folder);
            } else {
                eprintln!("pondarch: the stewards' logs are in {}", folder.display());
            }
            Ok(report.passed())
        }
        Rehearsal::Proxy { reqs, seed, output } => {
            if !(1_000..=2_000_000).contains(&reqs) {
                return Err("the number of requests must be from 1000 to 2000000".into());
            }
            let folder = output.folder()?;
            let plan = proxy_benchmark::Plan::with_requests(reqs, seed);
            let report = proxy_benchmark::run(&plan, &program, &folder)
                .await
                .map_err(|error| error.to_string())?;
            output.print(&report, report.text())?;
            if report.passed() {
                output.remove_folder(&folder);
            }
            Ok(report.passed())
        }
        Rehearsal::Weights {
            sites,
            stewards,
            loads,
            output,
        } => {
            let mut plan = weight_comparison::Plan::full(sites, stewards);
            plan.loads = loads.unwrap_or(plan.loads);
            let is_valid = plan.loads.iter().all(|load| (0.05..=2.0).contains(load));
            if !(1..=20).contains(&sites) || !(1..=plan.proxies).contains(&stewards) || !is_valid {
                return Err(
                    "sites must be from 1 to 20, stewards from 1 to 12 and loads from 0.05 to 2"
                        .into(),
                );
            }
            let folder = output.folder()?;
            let report = weight_comparison::run(&plan, &program, &folder)
                .await
                .map_err(|error| error.to_string())?;
            output.print(&report, report.text())?;
            if report.passed() {
                output.remove_folder(&folder);
            }
            Ok(report.passed())
        }
        Rehearsal::Reports {
            proxies,
            hosts,
            times,
            each,
            lines,
            output,
        } => {
            let is_valid = times.iter().all(|times| (1..=100).contains(times)) && !times.is_empty();
            if !(1..=1_000).contains(&proxies)
                || !(8..=5_000).contains(&hosts)
                || !(2..=7_200).contains(&each)
                || !is_valid
            {
                return Err(
                    "proxies must be from 1 to 1000, hosts from 8 to 5000, times from 1 to 100 and each from 2 to 7200 seconds".into(),
                );
            }
            let folder = output.folder()?;
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
                .map_err(|error| error.to_string())?;
            output.print(&report, report.text())?;
            output.remove_folder(&folder);
            Ok(true)
        }
        Rehearsal::Storm {
            proxies,
            hosts,
            output,
        } => {
            if !(1..=1_000).contains(&proxies) || !(8..=5_000).contains(&hosts) {
                return Err("proxies must be from 1 to 1000 and hosts from 8 to 5000".into());
            }
            let folder = output.folder()?;
            let plan = connection_storm::Plan {
                proxies,
                hosts,
                ..connection_storm::Plan::default()
            };
            let report = connection_storm::run(&plan, &program, &folder)
                .await
                .map_err(|error| error.to_string())?;
            output.print(&report, report.text())?;
            output.remove_folder(&folder);
            Ok(true)
        }
    }
}
