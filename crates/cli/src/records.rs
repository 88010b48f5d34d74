//! `pondarch records` and `pondarch replay`: shows, verifies, exports, trims and replays event logs.

use crate::report_error;
use clap::Subcommand;
use pondarch_config::read_site;
use pondarch_event_log::{
    Folder, LogFile, LogPolicy, RetentionConfig, UNLIMITED_DURATION, list_file_names,
    list_segments, remove_old_segments,
};
use pondarch_replay::run_replay::{ComparedInputs, FolderReplay, RunReplay, replay};
use pondarch_replay::segments::{InputNumbers, InputSequence, list};
use pondarch_replay::what_if::{
    ExtractedScenario, Scenario, WhatIfResult, extract_scenario, replay_scenario,
};
use pondarch_replay::{ReplayError, ReplayFault, export};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand)]
pub(crate) enum RecordsCommand {
    /// One line for each input and each thing decided; `-v` adds all that is recorded of it.
    Show {
        folder: PathBuf,
        /// Of this proxy alone.
        #[arg(long)]
        proxy: Option<String>,
        #[arg(long)]
        host: Option<String>,
        /// Events, inputs or decisions of this name alone, such as `Ordered` or `List`.
        #[arg(long)]
        what: Option<String>,
        #[arg(long, default_value_t = 0)]
        from: u64,
        #[arg(long, default_value_t = u64::MAX)]
        to: u64,
        #[arg(long, short)]
        verbose: bool,
    },
    /// Reads all of it and says what is torn, missing or foreign.
    Verify { folder: PathBuf },
    /// Writes all of it to a columnar file (Arrow IPC).
    Export { folder: PathBuf, file: PathBuf },
    /// Drops the oldest segments, as a running steward does by its settings; it must not be running.
    Trim {
        folder: PathBuf,
        /// Bytes that are kept at most.
        #[arg(long)]
        bytes: u64,
    },
    /// The troubles of a run without its decisions, as a scene that can be played.
    Scene {
        folder: PathBuf,
        file: PathBuf,
        /// Which run; absent: the last.
        #[arg(long)]
        epoch: Option<u64>,
    },
}

/// Runs a subcommand of `pondarch records`.
pub(crate) fn records(command: RecordsCommand) -> ExitCode {
    match run_command(command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => report_error(&error),
    }
}

/// Returns whether the event log has no faults.
fn run_command(command: RecordsCommand) -> Result<bool, String> {
    match command {
        RecordsCommand::Show {
            folder,
            proxy,
            host,
            what,
            from,
            to,
            verbose,
        } => {
            let matches_filter = |value: &Option<String>, filter: &Option<String>| {
                filter.is_none() || value == filter
            };
            let mut out = std::io::stdout().lock();
            let faults = export::rows(&Folder::read_only(&folder), |row| {
                let has_name = what
                    .as_ref()
                    .is_none_or(|what| row.name.eq_ignore_ascii_case(what));
                if matches_filter(&row.proxy, &proxy)
                    && matches_filter(&row.host, &host)
                    && has_name
                    && (from..=to).contains(&row.number)
                {
                    let subject = row.proxy.as_deref().or(row.host.as_deref()).unwrap_or("");
                    let at = row.at_us as f64 / 1e6;
                    let fields = if verbose { row.fields.as_str() } else { "" };
                    writeln!(
                        out,
                        "{at:.6} #{} {} {} {subject} {fields}",
                        row.number, row.category, row.name
                    )?;
                }
                Ok(())
            });
            print_faults(
                &folder,
                &faults.map_err(|error| with_folder(&folder, error))?,
            );
            Ok(true)
        }
        RecordsCommand::Verify { folder } => {
            let disk = Folder::read_only(&folder);
            let segments = list(&disk)
                .map_err(|error| with_folder(&folder, error))?
                .segments;
            let mut rows = 0u64;
            let mut numbers = InputSequence::default();
            let mut missing = Vec::new();
            let faults = export::rows(&disk, |row| {
                rows += 1;
                if row.category == export::RowCategory::Input
                    && let Some(InputNumbers { first, last }) =
                        numbers.observe_input(row.incarnation, row.number)
                {
                    missing.push(format!(
                        "run {}: inputs {first} to {last} are missing",
                        row.incarnation
                    ));
                }
                if row.category == export::RowCategory::Gap {
                    let fields: serde_json::Value =
                        serde_json::from_str(&row.fields).unwrap_or_default();
                    numbers.observe_gap(
                        row.incarnation,
                        fields["last"].as_u64().unwrap_or(row.number),
                    );
                    missing.push(format!("run {}: a gap: {}", row.incarnation, row.fields));
                }
                Ok(())
            });
            let faults = faults.map_err(|error| with_folder(&folder, error))?;
            let bytes: u64 = segments.iter().map(|segment| segment.bytes).sum();
            println!(
                "{}: {} segments, {bytes} bytes, {rows} rows",
                folder.display(),
                segments.len()
            );
            print_faults(&folder, &faults);
            missing
                .iter()
                .for_each(|what| eprintln!("pondarch: {}: {what}", folder.display()));
            Ok(faults.is_empty() && missing.is_empty())
        }
        RecordsCommand::Export { folder, file } => {
            let export::Export {
                rows: count,
                faults,
            } = export::export(&Folder::read_only(&folder), &file)
                .map_err(|error| with_folder(&folder, error))?;
            print_faults(&folder, &faults);
            println!("{}: {count} rows", file.display());
            Ok(true)
        }
        RecordsCommand::Trim { folder, bytes } => {
            let mut disk = Folder::lock(&folder).map_err(|error| error.to_string())?;
            let io = |error: std::io::Error| format!("{}: {error}", folder.display());
            let retention = RetentionConfig {
                segment_bytes: bytes,
                total_bytes: bytes,
                max_age: UNLIMITED_DURATION,
                sync_within: UNLIMITED_DURATION,
            };
            let segments = list_segments(&disk).map_err(io)?;
            let newest = list_file_names(&disk)
                .map_err(io)?
                .snapshots
                .pop()
                .and_then(|name| LogFile::parse(&name));
            // The newest snapshot needs the segments from the one that was open when it was taken.
            let needed = newest.map_or(0, |snapshot| {
                segments
                    .iter()
                    .map(|segment| segment.number)
                    .filter(|n| *n < snapshot.number())
                    .max()
                    .unwrap_or(0)
            });
            let now = pondarch_controller::Time::from_micros(pondarch_event_log::now_us());
            let dropped = remove_old_segments(&mut disk, &LogPolicy::new(retention), now, needed)
                .map_err(io)?;
            println!(
                "{}: {dropped} of {} segments dropped",
                folder.display(),
                segments.len()
            );
            Ok(true)
        }
        RecordsCommand::Scene {
            folder,
            file,
            epoch,
        } => {
            let ExtractedScenario { scenario, faults } =
                extract_scenario(&Folder::read_only(&folder), epoch)
                    .map_err(|error| with_folder(&folder, error))?;
            print_faults(&folder, &faults);
            let text = serde_json::to_string(&scenario).map_err(|error| error.to_string())?;
            std::fs::write(&file, text).map_err(|error| format!("{}: {error}", file.display()))?;
            println!("{}: {} moments", file.display(), scenario.events.len());
            Ok(true)
        }
    }
}

fn with_folder(folder: &Path, error: ReplayError) -> String {
    format!("{}: {error}", folder.display())
}

fn print_faults(folder: &Path, faults: &[ReplayFault]) {
    for fault in faults {
        eprintln!(
            "pondarch: {}: {}",
            folder.join(&fault.file).display(),
            fault.cause
        );
    }
}

/// Replays the runs of an event log, or a scenario by its own settings and by others.
pub(crate) fn replay_path(
    from: &Path,
    span: ComparedInputs,
    against: Option<&Path>,
    seeds: u64,
) -> ExitCode {
    let result = match (against, from.is_file()) {
        (None, false) => replay_log(from, span),
        (against, _) => compare_settings(from, against, seeds),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => report_error(&error),
    }
}

/// Replays all runs of an event log; returns whether all decisions are the same.
fn replay_log(folder: &Path, span: ComparedInputs) -> Result<bool, String> {
    let FolderReplay { runs, faults } =
        replay(&Folder::read_only(folder), span).map_err(|error| with_folder(folder, error))?;
    print_faults(folder, &faults);
    let mut all_same = true;
    for run in runs {
        let RunReplay {
            incarnation,
            program,
            inputs,
            decisions,
            recorded_duration,
            replay_duration,
            difference,
            stopped,
        } = run;
        let (recorded_s, replay_s) = (
            recorded_duration.as_secs_f64(),
            replay_duration.as_secs_f64(),
        );
        print!(
            "run {incarnation} of {program}: {inputs} inputs over {recorded_s:.1} s, {decisions} decisions, in {replay_s:.2} s: "
        );
        match (difference, stopped) {
            (Some(difference), _) => {
                all_same = false;
                println!(
                    "differs at #{} by {:?}",
                    difference.number, difference.input
                );
                println!(
                    "  then: {:?}\n  now:  {:?}",
                    difference.recorded, difference.replayed
                );
            }
            (None, Some(why)) => println!("same, up to where {why}"),
            (None, None) => println!("same"),
        }
    }
    Ok(all_same)
}

/// Replays a scenario by its own settings and by others, and prints figures of both; returns whether they are the same.
fn compare_settings(from: &Path, against: Option<&Path>, seeds: u64) -> Result<bool, String> {
    let scenario: Scenario = if from.is_file() {
        let text = std::fs::read_to_string(from)
            .map_err(|error| format!("{}: {error}", from.display()))?;
        serde_json::from_str(&text).map_err(|error| format!("{}: {error}", from.display()))?
    } else {
        extract_scenario(&Folder::read_only(from), None)
            .map_err(|error| with_folder(from, error))?
            .scenario
    };
    let other = against
        .map(read_site)
        .transpose()
        .map_err(|error| error.to_string())?;
    let mut rows: Vec<(WhatIfResult, Option<WhatIfResult>)> = Vec::new();
    for seed in 1..=seeds {
        let replay_with = |site: Option<&pondarch_config::SiteSettings>| {
            replay_scenario(&scenario, site, seed)
                .map_err(|error| format!("{}: {error}", from.display()))
        };
        let own = replay_with(None)?;
        rows.push((
            own,
            other
                .as_ref()
                .map(|site| replay_with(Some(site)))
                .transpose()?,
        ));
    }
    type Figure = (&'static str, fn(&WhatIfResult) -> u64);
    let figures: [Figure; 10] = [
        ("table changes", |result| result.table_changes),
        ("lines changed", |result| result.lines_changed),
        ("binds", |result| result.binds),
        ("level changes", |result| result.admission_changes),
        ("messages", |result| result.messages),
        ("commands", |result| result.commands),
        ("messages to one proxy, most", |result| result.max_messages),
        ("cold hosts held back", |result| result.hosts_held_back),
        ("nothing to pick, longest ms", |result| {
            result.max_without_host_ms
        }),
        ("drain, longest ms", |result| result.max_drain_ms),
    ];
    println!(
        "{:<30}{:>16}{:>16}",
        format!("over {seeds} seeds"),
        "own settings",
        if against.is_some() { "others" } else { "" }
    );
    for (name, figure) in figures {
        let range = |values: Vec<u64>| {
            let (min, max) = (
                values.iter().min().copied().unwrap_or(0),
                values.iter().max().copied().unwrap_or(0),
            );
            if min == max {
                format!("{min}")
            } else {
                format!("{min} to {max}")
            }
        };
        let own = range(rows.iter().map(|(own, _)| figure(own)).collect());
        let others: Vec<u64> = rows
            .iter()
            .filter_map(|(_, other)| other.as_ref().map(figure))
            .collect();
        let others = if others.is_empty() {
            String::new()
        } else {
            range(others)
        };
        println!("{name:<30}{own:>16}{others:>16}");
    }
    if let Some((own, Some(other))) = rows.first() {
        let tables: std::collections::BTreeSet<_> =
            own.tables.keys().chain(other.tables.keys()).collect();
        for table in tables {
            let table_lines = |result: &WhatIfResult| {
                let lines = result.tables.get(table).cloned().unwrap_or_default();
                lines
                    .iter()
                    .map(|(host, weight)| format!("{host} {weight:.2}"))
                    .collect::<Vec<_>>()
                    .join(", ")
            };
            let (own, other) = (table_lines(own), table_lines(other));
            if own != other {
                println!("table {table}: {own}\n     others: {other}");
            }
        }
    }
    Ok(rows
        .iter()
        .all(|(own, other)| other.as_ref().is_none_or(|other| other == own)))
}
