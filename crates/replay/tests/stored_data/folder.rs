//! A folder of records that an older program wrote: two runs over several segments and two snapshots.

use crate::{fixtures, stored, text};
use pondarch_config::{SiteSettings, site_from_json};
use pondarch_event_log::Folder;
use pondarch_replay::run_replay::{ComparedInputs, FolderReplay, replay};
use pondarch_replay::what_if::replay_scenario;
use pondarch_replay::what_if::{ExtractedScenario, extract_scenario};
use pondarch_replay::{export, recover};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::Path;

const FIRST: u64 = 1_800_000_000_000_000;

/// A copy that a test may change; `without` names endings of files that it lacks.
fn copy(without: &[&str]) -> tempfile::TempDir {
    let copy = tempfile::tempdir().expect("a folder");
    for entry in std::fs::read_dir(fixtures().join("records-before-rename")).expect("the fixture") {
        let name = entry
            .expect("a file")
            .file_name()
            .into_string()
            .expect("a name");
        let kept = name.ends_with(".rec") || name.ends_with(".snap");
        if kept && !without.iter().any(|end| name.ends_with(end)) {
            let from = fixtures().join("records-before-rename").join(&name);
            std::fs::copy(from, copy.path().join(&name)).expect("copied");
        }
    }
    copy
}

/// The settings as the first run recorded them.
fn site(folder: &Path) -> SiteSettings {
    let ExtractedScenario { scenario, .. } =
        extract_scenario(&Folder::read_only(folder), Some(FIRST)).expect("the first run");
    site_from_json(&scenario.settings).expect("settings")
}

fn expected(name: &str) -> Value {
    serde_json::from_str(&text(name)).expect("JSON")
}

/// What was recovered, in the names under which it is stored.
fn recovered(folder: &Path) -> Value {
    let found = recover(&Folder::read_only(folder), &site(folder)).expect("it can be read");
    let faults: Vec<String> = found
        .faults
        .iter()
        .map(|fault| format!("{}: {}", fault.file, fault.cause))
        .collect();
    assert!(faults.is_empty(), "{faults:?}");
    json!({"epoch": found.incarnation, "last_us": found.last_us, "boot": stored(&found.boot),
        "inputs": found.inputs, "known": stored(&found.state)})
}

#[test]
fn what_was_known_is_recovered_from_the_newest_snapshot_and_what_followed() {
    let folder = copy(&[]);
    let found = recovered(folder.path());
    assert_eq!(found["epoch"], FIRST + 1);
    assert_eq!(found["boot"]["id"], "machine");
    let known = &found["known"];
    let hosts = known["list"]["hosts"].as_array().expect("hosts");
    let lines: Vec<String> = hosts
        .iter()
        .map(|host| {
            let entry = &host["entry"];
            let text = |key: &str| entry[key].as_str().unwrap_or("-").to_string();
            let words = [
                text("name"),
                text("address"),
                text("zone"),
                text("rack"),
                text("machine"),
            ];
            let since = |key: &str| {
                host[key]
                    .as_u64()
                    .map_or("-".into(), |at| at.saturating_sub(FIRST).to_string())
            };
            let standing = host["standing"].as_str().unwrap_or("-");
            let (weight, cores) = (&entry["weight"], &entry["cores"]);
            format!(
                "{} {weight} {cores} {standing} {} {}",
                words.join(" "),
                since("started_us"),
                since("told_away_us")
            )
        })
        .collect();
    assert_eq!(lines.join("\n") + "\n", text("recovered-hosts.txt"));
    assert_eq!(found, expected("recovered.json"));
}

/// Without snapshots the same is known from the inputs alone.
#[test]
fn what_was_known_is_recovered_from_the_log_alone() {
    let folder = copy(&[".snap"]);
    let found = recovered(folder.path());
    let due = expected("recovered.json");
    let of_log = json!({"list": found["known"]["list"], "zones": found["known"]["zones"]});
    assert_eq!(
        of_log,
        json!({"list": due["known"]["list"], "zones": due["known"]["zones"]})
    );
    assert_eq!(
        (&found["epoch"], &found["last_us"]),
        (&due["epoch"], &due["last_us"])
    );
}

/// Up to the first difference of each run, which comes from later changes of decisions. Texts for operators and fleets for the
/// solver are held against their checksums as well.
#[test]
fn both_runs_replay_up_to_the_known_difference() {
    let folder = copy(&[]);
    let FolderReplay { runs, faults } =
        replay(&Folder::read_only(folder.path()), ComparedInputs::default())
            .expect("it can be read");
    assert!(faults.is_empty());
    let told: Vec<Value> = runs
        .iter()
        .map(|run| {
            let differs = run.difference.as_ref().map(|differs| {
                json!({"n": differs.number, "input": stored(&differs.input), "then": stored(&differs.recorded), "now": stored(&differs.replayed)})
            });
            json!({"epoch": run.incarnation, "program": run.program, "inputs": run.inputs, "decisions": run.decisions,
                "spans_us": run.recorded_duration.as_micros() as u64, "differs": differs, "stopped": run.stopped})
        })
        .collect();
    assert_eq!(json!(told), expected("replayed.json"));
}

/// JSON with its keys in order, so that no feature of a library changes it.
fn in_order(value: &Value) -> String {
    match value {
        Value::Object(fields) => {
            let fields: BTreeMap<&String, String> = fields
                .iter()
                .map(|(key, value)| (key, in_order(value)))
                .collect();
            let fields: Vec<String> = fields
                .iter()
                .map(|(key, value)| format!("\"{key}\":{value}"))
                .collect();
            format!("{{{}}}", fields.join(","))
        }
        Value::Array(values) => format!(
            "[{}]",
            values.iter().map(in_order).collect::<Vec<_>>().join(",")
        ),
        other => other.to_string(),
    }
}

#[test]
fn rows_of_the_records_have_the_same_names_and_values() {
    let folder = copy(&[]);
    let (mut counts, mut checksum) = (BTreeMap::<String, u64>::new(), crc32fast::Hasher::new());
    let faults = export::rows(&Folder::read_only(folder.path()), |row| {
        *counts
            .entry(format!("{} {}", row.category, row.name))
            .or_default() += 1;
        let value: Value = serde_json::from_str(&row.fields).expect("JSON");
        let whose = [row.proxy.unwrap_or_default(), row.host.unwrap_or_default()].join(" ");
        let (epoch, n, at_us) = (row.incarnation, row.number, row.at_us);
        checksum.update(format!("{epoch} {n} {at_us} {whose} {}\n", in_order(&value)).as_bytes());
        Ok(())
    })
    .expect("rows");
    assert!(faults.is_empty());
    let mut told: String = counts
        .iter()
        .map(|(name, many)| format!("{name} {many}\n"))
        .collect();
    told += &format!("checksum {:08x}\n", checksum.finalize());
    assert_eq!(told, text("rows.txt"));
}

#[test]
fn the_columnar_file_has_every_row() {
    let folder = copy(&[]);
    let file = folder.path().join("rows.arrow");
    let export::Export { rows, .. } =
        export::export(&Folder::read_only(folder.path()), &file).expect("written");
    let bytes = std::fs::read(&file).expect("read");
    let due: u64 = text("rows.txt")
        .lines()
        .filter(|line| !line.starts_with("checksum"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum();
    assert_eq!(rows, due);
    for column in ["epoch", "n", "at_us", "of", "what", "proxy", "host", "text"] {
        assert!(
            bytes
                .windows(column.len())
                .any(|window| window == column.as_bytes()),
            "{column}"
        );
    }
}

/// The course of a run without its decisions, and what a core decides over it with another seed.
#[test]
fn the_scene_of_each_run_is_the_same_and_can_be_played() {
    let folder = copy(&[]);
    let mut told = Vec::new();
    for epoch in [FIRST, FIRST + 1] {
        let ExtractedScenario { scenario, faults } =
            extract_scenario(&Folder::read_only(folder.path()), Some(epoch)).expect("a scenario");
        assert!(faults.is_empty());
        let scenario_value = stored(&scenario);
        let course = scenario_value["course"].as_array().expect("a course").len();
        let checksum = crc32fast::hash(in_order(&scenario_value).as_bytes());
        let played = replay_scenario(&scenario, None, 3).expect("played");
        told.push(json!({"course": course, "checksum": checksum, "played": stored(&played)}));
    }
    assert_eq!(json!(told), expected("scenes.json"));
}
