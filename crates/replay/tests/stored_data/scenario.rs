//! The scenario file (a "scene" on the command line): JSON with the stored names of fields and variants.

use crate::{read_fixture, to_stored_json};
use pondarch_replay::what_if::Scenario;
use serde_json::{Value, json};
use std::collections::BTreeSet;

#[test]
fn a_scenario_with_every_variant_is_read_and_written_unchanged() {
    let file: Value = serde_json::from_str(&read_fixture("scene.json")).expect("valid JSON");
    let scenario: Scenario = serde_json::from_value(file.clone()).expect("a valid scenario");
    assert_eq!(to_stored_json(&scenario), file);
    let events = file["course"].as_array().expect("an array of events");
    let fixture_variants: BTreeSet<String> = events
        .iter()
        .flat_map(|event| {
            event["what"]
                .as_object()
                .expect("a variant")
                .keys()
                .cloned()
        })
        .collect();
    let unknown =
        json!({"settings": "{}", "at_us": 1, "course": [{"after_us": 1, "what": "other"}]});
    let error = serde_json::from_value::<Scenario>(unknown)
        .map(drop)
        .expect_err("an unknown name")
        .to_string();
    let known_variants: BTreeSet<String> = error
        .split('`')
        .skip(3)
        .step_by(2)
        .map(str::to_string)
        .collect();
    assert_eq!(fixture_variants, known_variants, "{error}");
}

#[test]
fn an_unknown_key_is_rejected_with_a_list_of_the_known_keys() {
    let unknown = json!({"settings": "{}", "at_us": 1, "course": [], "other": 1});
    let error = serde_json::from_value::<Scenario>(unknown)
        .map(drop)
        .expect_err("an unknown name")
        .to_string();
    assert_eq!(
        error,
        "unknown field `other`, expected one of `settings`, `at_us`, `course`"
    );
}
