//! An event log that an older program wrote: two runs over several segments, and two snapshots.

use crate::{fixtures_dir, read_fixture, to_stored_json};
use pondarch_config::{SiteSettings, site_from_json};
use pondarch_event_log::Folder;
use pondarch_replay::run_replay::{ComparedInputs, FolderReplay, replay};
use pondarch_replay::what_if::replay_scenario;
use pondarch_replay::what_if::{ExtractedScenario, extract_scenario};
use pondarch_replay::{export, recover};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::Path;

/// Incarnation of the first run, which is also its start in microseconds since the Unix epoch.
const FIRST_INCARNATION: u64 = 1_800_000_000_000_000;

/// Copies the event log, so that a test may add files; files whose names end in one of `excluded_suffixes` are left
/// out.
fn copy_event_log(excluded_suffixes: &[&str]) -> tempfile::TempDir {
    let copy = tempfile::tempdir().expect("create a temporary folder");
    for entry in std::fs::read_dir(fixtures_dir().join("records-before-rename"))
        .expect("read the fixture folder")
    {
        let name = entry
            .expect("a directory entry")
            .file_name()
            .into_string()
            .expect("a UTF-8 name");
        let is_log_file = name.ends_with(".rec") || name.ends_with(".snap");
        if is_log_file
            && !excluded_suffixes
                .iter()
                .any(|suffix| name.ends_with(suffix))
        {
            let from = fixtures_dir().join("records-before-rename").join(&name);
            std::fs::copy(from, copy.path().join(&name)).expect("copy the file");
        }
    }
    copy
}

/// Returns the settings that the first run recorded.
fn site(folder: &Path) -> SiteSettings {
    let ExtractedScenario { scenario, .. } =
        extract_scenario(&Folder::read_only(folder), Some(FIRST_INCARNATION))
            .expect("extract the scenario of the first run");
    site_from_json(&scenario.settings).expect("valid settings")
}

fn read_json_fixture(name: &str) -> Value {
    serde_json::from_str(&read_fixture(name)).expect("JSON")
}

/// Recovers the state from a folder without faults, as JSON with the stored names.
fn recover_to_json(folder: &Path) -> Value {
    let recovery = recover(&Folder::read_only(folder), &site(folder)).expect("read the folder");
    let faults: Vec<String> = recovery
        .faults
        .iter()
        .map(|fault| format!("{}: {}", fault.file, fault.cause))
        .collect();
    assert!(faults.is_empty(), "{faults:?}");
    json!({"epoch": recovery.incarnation, "last_us": recovery.last_us, "boot": to_stored_json(&recovery.boot),
        "inputs": recovery.inputs, "known": to_stored_json(&recovery.state)})
}

#[test]
fn state_is_recovered_from_the_newest_snapshot_and_the_records_after_it() {
    let folder = copy_event_log(&[]);
    let recovered = recover_to_json(folder.path());
    assert_eq!(recovered["epoch"], FIRST_INCARNATION + 1);
    assert_eq!(recovered["boot"]["id"], "machine");
    let state = &recovered["known"];
    let hosts = state["list"]["hosts"].as_array().expect("hosts");
    let lines: Vec<String> = hosts
        .iter()
        .map(|host| {
            let entry = &host["entry"];
            let text_field = |key: &str| entry[key].as_str().unwrap_or("-").to_string();
            let address_fields = [
                text_field("name"),
                text_field("address"),
                text_field("zone"),
                text_field("rack"),
                text_field("machine"),
            ];
            let time_field = |key: &str| {
                host[key].as_u64().map_or("-".into(), |at| {
                    at.saturating_sub(FIRST_INCARNATION).to_string()
                })
            };
            let standing = host["standing"].as_str().unwrap_or("-");
            let (weight, cores) = (&entry["weight"], &entry["cores"]);
            format!(
                "{} {weight} {cores} {standing} {} {}",
                address_fields.join(" "),
                time_field("started_us"),
                time_field("told_away_us")
            )
        })
        .collect();
    assert_eq!(lines.join("\n") + "\n", read_fixture("recovered-hosts.txt"));
    assert_eq!(recovered, read_json_fixture("recovered.json"));
}

/// Without snapshots, the recorded inputs give the same endpoint list and zones.
#[test]
fn state_is_recovered_from_the_segments_alone() {
    let folder = copy_event_log(&[".snap"]);
    let recovered = recover_to_json(folder.path());
    let expected = read_json_fixture("recovered.json");
    let from_segments =
        json!({"list": recovered["known"]["list"], "zones": recovered["known"]["zones"]});
    assert_eq!(
        from_segments,
        json!({"list": expected["known"]["list"], "zones": expected["known"]["zones"]})
    );
    assert_eq!(
        (&recovered["epoch"], &recovered["last_us"]),
        (&expected["epoch"], &expected["last_us"])
    );
}

/// Later changes of decisions make each run differ from some input on; up to there it replays the same. Replies to
/// operators and problems for the solver are compared by their checksums.
#[test]
fn both_runs_replay_up_to_the_known_difference() {
    let folder = copy_event_log(&[]);
    let FolderReplay { runs, faults } =
        replay(&Folder::read_only(folder.path()), ComparedInputs::default())
            .expect("read the folder");
    assert!(faults.is_empty());
    let summaries: Vec<Value> = runs
        .iter()
        .map(|run| {
            let difference = run.difference.as_ref().map(|difference| {
                json!({"n": difference.number, "input": to_stored_json(&difference.input),
                    "then": to_stored_json(&difference.recorded), "now": to_stored_json(&difference.replayed)})
            });
            json!({"epoch": run.incarnation, "program": run.program, "inputs": run.inputs, "decisions": run.decisions,
                "spans_us": run.recorded_duration.as_micros() as u64, "differs": difference, "stopped": run.stopped})
        })
        .collect();
    assert_eq!(json!(summaries), read_json_fixture("replayed.json"));
}

/// Formats JSON with sorted keys, so that the result does not depend on the features of the JSON library.
fn to_sorted_json(value: &Value) -> String {
    match value {
        Value::Object(fields) => {
            let fields: BTreeMap<&String, String> = fields
                .iter()
                .map(|(key, value)| (key, to_sorted_json(value)))
                .collect();
            let fields: Vec<String> = fields
                .iter()
                .map(|(key, value)| format!("\"{key}\":{value}"))
                .collect();
            format!("{{{}}}", fields.join(","))
        }
        Value::Array(values) => format!(
            "[{}]",
            values
                .iter()
                .map(to_sorted_json)
                .collect::<Vec<_>>()
                .join(",")
        ),
        other => other.to_string(),
    }
}

#[test]
fn exported_rows_have_the_same_names_and_values() {
    let folder = copy_event_log(&[]);
    let (mut counts, mut checksum) = (BTreeMap::<String, u64>::new(), crc32fast::Hasher::new());
    let faults = export::rows(&Folder::read_only(folder.path()), |row| {
        *counts
            .entry(format!("{} {}", row.category, row.name))
            .or_default() += 1;
        let value: Value = serde_json::from_str(&row.fields).expect("JSON");
        let subject = [row.proxy.unwrap_or_default(), row.host.unwrap_or_default()].join(" ");
        let (epoch, n, at_us) = (row.incarnation, row.number, row.at_us);
        checksum.update(
            format!("{epoch} {n} {at_us} {subject} {}\n", to_sorted_json(&value)).as_bytes(),
        );
        Ok(())
    })
    .expect("read the rows");
    assert!(faults.is_empty());
    let mut summary: String = counts
        .iter()
        .map(|(name, count)| format!("{name} {count}\n"))
        .collect();
    summary += &format!("checksum {:08x}\n", checksum.finalize());
    assert_eq!(summary, read_fixture("rows.txt"));
}

#[test]
fn the_columnar_file_has_every_row() {
    let folder = copy_event_log(&[]);
    let file = folder.path().join("rows.arrow");
    let export::Export { rows, .. } =
        export::export(&Folder::read_only(folder.path()), &file).expect("write the columnar file");
    let bytes = std::fs::read(&file).expect("read the columnar file");
    let expected: u64 = read_fixture("rows.txt")
        .lines()
        .filter(|line| !line.starts_with("checksum"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum();
    assert_eq!(rows, expected);
    for column in ["epoch", "n", "at_us", "of", "what", "proxy", "host", "text"] {
        assert!(
            bytes
                .windows(column.len())
                .any(|window| window == column.as_bytes()),
            "{column}"
        );
    }
}

/// The scenario of each run is the same as before, and so is its what-if replay with another seed.
#[test]
fn the_scenario_of_each_run_and_its_replay_are_unchanged() {
    let folder = copy_event_log(&[]);
    let mut summaries = Vec::new();
    for incarnation in [FIRST_INCARNATION, FIRST_INCARNATION + 1] {
        let ExtractedScenario { scenario, faults } =
            extract_scenario(&Folder::read_only(folder.path()), Some(incarnation))
                .expect("extract the scenario");
        assert!(faults.is_empty());
        let scenario_value = to_stored_json(&scenario);
        let event_count = scenario_value["course"]
            .as_array()
            .expect("an array of events")
            .len();
        let checksum = crc32fast::hash(to_sorted_json(&scenario_value).as_bytes());
        let result = replay_scenario(&scenario, None, 3).expect("replay the scenario");
        summaries.push(
            json!({"course": event_count, "checksum": checksum, "played": to_stored_json(&result)}),
        );
    }
    assert_eq!(json!(summaries), read_json_fixture("scenes.json"));
}
