//! `pondarch rehearse`: plays troubles on loopback, with this same program as the stewards.

use crate::failed;
use clap::Subcommand;
use pondarch_rehearsal::bad_day::{Plan, play};
use std::path::PathBuf;
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
        /// Prints the figures as JSON.
        #[arg(long)]
        json: bool,
        /// Where sockets, lists and logs go; absent: a new folder for temporary files, kept if a rule broke.
        #[arg(long)]
        folder: Option<PathBuf>,
    },
}

pub(crate) async fn rehearse(scene: Scene) -> ExitCode {
    let Scene::BadDay { seed, short, json, folder } = scene;
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(wrong) => return failed(&format!("cannot find this program: {wrong}")),
    };
    let own = folder.is_none();
    let folder = folder
        .unwrap_or_else(|| std::env::temp_dir().join(format!("pondarch-bad-day-{}", std::process::id())));
    if let Err(wrong) = std::fs::create_dir_all(&folder) {
        return failed(&format!("{}: {wrong}", folder.display()));
    }
    let plan = if short { Plan::short(seed) } else { Plan::full(seed) };
    let report = match play(plan, &program, &folder).await {
        Ok(report) => report,
        Err(wrong) => return failed(&wrong.to_string()),
    };
    let text = if json {
        serde_json::to_string_pretty(&report).map_err(|e| e.to_string())
    } else {
        report.text().map_err(|e| e.to_string())
    };
    match text {
        Ok(text) => println!("{text}"),
        Err(wrong) => return failed(&wrong),
    }
    if !report.rules_held() {
        println!("The stewards' logs are in {}", folder.display());
        return ExitCode::from(1);
    }
    if own {
        // Left-over files of a rehearsal harm nobody.
        std::fs::remove_dir_all(&folder).ok();
    }
    ExitCode::SUCCESS
}
