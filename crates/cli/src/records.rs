//! `pondarch records` and `pondarch replay`: what a steward recorded, looked at, checked, exported, trimmed, played again.

use crate::failed;
use clap::Subcommand;
use pondarch_config::read_site;
use pondarch_event_log::{
    Folder, LogFile, LogPolicy, RetentionConfig, UNLIMITED, list_file_names, list_segments,
    remove_old_segments,
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
pub(crate) enum What {
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

pub(crate) fn records(what: What) -> ExitCode {
    match done(what) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(wrong) => failed(&wrong),
    }
}

/// Gives whether all was in order.
fn done(what: What) -> Result<bool, String> {
    match what {
        What::Show {
            folder,
            proxy,
            host,
            what,
            from,
            to,
            verbose,
        } => {
            let fits =
                |own: &Option<String>, wanted: &Option<String>| wanted.is_none() || own == wanted;
            let mut out = std::io::stdout().lock();
            let flaws = export::rows(&Folder::read_only(&folder), |row| {
                let named = what
                    .as_ref()
                    .is_none_or(|what| row.name.eq_ignore_ascii_case(what));
                if fits(&row.proxy, &proxy)
                    && fits(&row.host, &host)
                    && named
                    && (from..=to).contains(&row.number)
                {
                    let of = row.proxy.as_deref().or(row.host.as_deref()).unwrap_or("");
                    let at = row.at_us as f64 / 1e6;
                    let more = if verbose { row.fields.as_str() } else { "" };
                    writeln!(
                        out,
                        "{at:.6} #{} {} {} {of} {more}",
                        row.number, row.category, row.name
                    )?;
                }
                Ok(())
            });
            say(&folder, &flaws.map_err(|wrong| of_folder(&folder, wrong))?);
            Ok(true)
        }
        What::Verify { folder } => {
            let disk = Folder::read_only(&folder);
            let segments = list(&disk)
                .map_err(|wrong| of_folder(&folder, wrong))?
                .segments;
            let mut rows = 0u64;
            let mut numbers = InputSequence::default();
            let mut missing = Vec::new();
            let flaws = export::rows(&disk, |row| {
                rows += 1;
                if row.category == export::RowCategory::Input
                    && let Some(InputNumbers { first, last }) =
                        numbers.record_input(row.incarnation, row.number)
                {
                    missing.push(format!(
                        "run {}: inputs {first} to {last} are missing",
                        row.incarnation
                    ));
                }
                if row.category == export::RowCategory::Gap {
                    let fields: serde_json::Value =
                        serde_json::from_str(&row.fields).unwrap_or_default();
                    numbers.record_gap(
                        row.incarnation,
                        fields["last"].as_u64().unwrap_or(row.number),
                    );
                    missing.push(format!("run {}: a gap: {}", row.incarnation, row.fields));
                }
                Ok(())
            });
            let flaws = flaws.map_err(|wrong| of_folder(&folder, wrong))?;
            let bytes: u64 = segments.iter().map(|segment| segment.bytes).sum();
            println!(
                "{}: {} segments, {bytes} bytes, {rows} rows",
                folder.display(),
                segments.len()
            );
            say(&folder, &flaws);
            missing
                .iter()
                .for_each(|what| eprintln!("pondarch: {}: {what}", folder.display()));
            Ok(flaws.is_empty() && missing.is_empty())
        }
        What::Export { folder, file } => {
            let export::Export {
                rows: count,
                faults: flaws,
            } = export::export(&Folder::read_only(&folder), &file)
                .map_err(|wrong| of_folder(&folder, wrong))?;
            say(&folder, &flaws);
            println!("{}: {count} rows", file.display());
            Ok(true)
        }
        What::Trim { folder, bytes } => {
            let mut disk = Folder::lock(&folder).map_err(|wrong| wrong.to_string())?;
            let io = |wrong: std::io::Error| format!("{}: {wrong}", folder.display());
            let retention = RetentionConfig {
                segment_bytes: bytes,
                total_bytes: bytes,
                max_age: UNLIMITED,
                sync_within: UNLIMITED,
            };
            let held = list_segments(&disk).map_err(io)?;
            let newest = list_file_names(&disk)
                .map_err(io)?
                .snapshots
                .pop()
                .and_then(|name| LogFile::parse(&name));
            // What the newest snapshot needs begins with the segment that was open when it was taken.
            let needed = newest.map_or(0, |snapshot| {
                held.iter()
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
                held.len()
            );
            Ok(true)
        }
        What::Scene {
            folder,
            file,
            epoch,
        } => {
            let ExtractedScenario {
                scenario: scene,
                faults: flaws,
            } = extract_scenario(&Folder::read_only(&folder), epoch)
                .map_err(|wrong| of_folder(&folder, wrong))?;
            say(&folder, &flaws);
            let text = serde_json::to_string(&scene).map_err(|wrong| wrong.to_string())?;
            std::fs::write(&file, text).map_err(|wrong| format!("{}: {wrong}", file.display()))?;
            println!("{}: {} moments", file.display(), scene.events.len());
            Ok(true)
        }
    }
}

fn of_folder(folder: &Path, wrong: ReplayError) -> String {
    format!("{}: {wrong}", folder.display())
}

fn say(folder: &Path, flaws: &[ReplayFault]) {
    for flaw in flaws {
        eprintln!(
            "pondarch: {}: {}",
            folder.join(&flaw.file).display(),
            flaw.cause
        );
    }
}

/// Plays a folder's runs again, or a scene, by its own settings and by others.
pub(crate) fn again(
    from: &Path,
    span: ComparedInputs,
    against: Option<&Path>,
    seeds: u64,
) -> ExitCode {
    let done = match (against, from.is_file()) {
        (None, false) => replayed(from, span),
        (against, _) => compared(from, against, seeds),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(wrong) => failed(&wrong),
    }
}

fn replayed(folder: &Path, span: ComparedInputs) -> Result<bool, String> {
    let FolderReplay {
        runs,
        faults: flaws,
    } = replay(&Folder::read_only(folder), span).map_err(|wrong| of_folder(folder, wrong))?;
    say(folder, &flaws);
    let mut same = true;
    for run in runs {
        let RunReplay {
            incarnation: epoch,
            program,
            inputs,
            decisions,
            recorded_duration: spans,
            replay_duration: took,
            difference: differs,
            stopped,
        } = run;
        let (spans, took) = (spans.as_secs_f64(), took.as_secs_f64());
        print!(
            "run {epoch} of {program}: {inputs} inputs over {spans:.1} s, {decisions} decisions, in {took:.2} s: "
        );
        match (differs, stopped) {
            (Some(difference), _) => {
                same = false;
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
    Ok(same)
}

fn compared(from: &Path, against: Option<&Path>, seeds: u64) -> Result<bool, String> {
    let scene: Scenario = if from.is_file() {
        let text = std::fs::read_to_string(from)
            .map_err(|wrong| format!("{}: {wrong}", from.display()))?;
        serde_json::from_str(&text).map_err(|wrong| format!("{}: {wrong}", from.display()))?
    } else {
        extract_scenario(&Folder::read_only(from), None)
            .map_err(|wrong| of_folder(from, wrong))?
            .scenario
    };
    let other = against
        .map(read_site)
        .transpose()
        .map_err(|wrong| wrong.to_string())?;
    let mut rows: Vec<(WhatIfResult, Option<WhatIfResult>)> = Vec::new();
    for seed in 1..=seeds {
        let played = |site: Option<&pondarch_config::SiteSettings>| {
            replay_scenario(&scene, site, seed)
                .map_err(|wrong| format!("{}: {wrong}", from.display()))
        };
        let own = played(None)?;
        rows.push((
            own,
            other.as_ref().map(|site| played(Some(site))).transpose()?,
        ));
    }
    type Figure = (&'static str, fn(&WhatIfResult) -> u64);
    let figures: [Figure; 10] = [
        ("table changes", |p| p.table_changes),
        ("lines changed", |p| p.lines_changed),
        ("binds", |p| p.binds),
        ("level changes", |p| p.admission_changes),
        ("messages", |p| p.messages),
        ("commands", |p| p.commands),
        ("messages to one proxy, most", |p| p.max_messages),
        ("cold hosts held back", |p| p.hosts_held_back),
        ("nothing to pick, longest ms", |p| p.max_without_host_ms),
        ("drain, longest ms", |p| p.max_drain_ms),
    ];
    println!(
        "{:<30}{:>16}{:>16}",
        format!("over {seeds} seeds"),
        "own settings",
        if against.is_some() { "others" } else { "" }
    );
    for (name, of) in figures {
        let span = |all: Vec<u64>| {
            let (least, most) = (
                all.iter().min().copied().unwrap_or(0),
                all.iter().max().copied().unwrap_or(0),
            );
            if least == most {
                format!("{least}")
            } else {
                format!("{least} to {most}")
            }
        };
        let own = span(rows.iter().map(|(own, _)| of(own)).collect());
        let others: Vec<u64> = rows
            .iter()
            .filter_map(|(_, other)| other.as_ref().map(of))
            .collect();
        let others = if others.is_empty() {
            String::new()
        } else {
            span(others)
        };
        println!("{name:<30}{own:>16}{others:>16}");
    }
    if let Some((own, Some(other))) = rows.first() {
        let tables: std::collections::BTreeSet<_> =
            own.tables.keys().chain(other.tables.keys()).collect();
        for table in tables {
            let names = |played: &WhatIfResult| {
                let lines = played.tables.get(table).cloned().unwrap_or_default();
                lines
                    .iter()
                    .map(|(host, weight)| format!("{host} {weight:.2}"))
                    .collect::<Vec<_>>()
                    .join(", ")
            };
            let (own, other) = (names(own), names(other));
            if own != other {
                println!("table {table}: {own}\n     others: {other}");
            }
        }
    }
    Ok(rows
        .iter()
        .all(|(own, other)| other.as_ref().is_none_or(|other| other == own)))
}
