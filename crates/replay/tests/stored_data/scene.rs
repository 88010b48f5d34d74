//! A scene as a file: JSON with the names of fields and variants.

use crate::{stored, text};
use pondarch_replay::what_if::Scenario;
use serde_json::{Value, json};
use std::collections::BTreeSet;

#[test]
fn a_scene_is_read_and_written_with_every_variant() {
    let file: Value = serde_json::from_str(&text("scene.json")).expect("JSON");
    let scene: Scenario = serde_json::from_value(file.clone()).expect("a scene");
    assert_eq!(stored(&scene), file);
    let course = file["course"].as_array().expect("a course");
    let held: BTreeSet<String> = course
        .iter()
        .flat_map(|moment| {
            moment["what"]
                .as_object()
                .expect("a variant")
                .keys()
                .cloned()
        })
        .collect();
    let other = json!({"settings": "{}", "at_us": 1, "course": [{"after_us": 1, "what": "other"}]});
    let wrong = serde_json::from_value::<Scenario>(other)
        .map(drop)
        .expect_err("unknown")
        .to_string();
    let known: BTreeSet<String> = wrong
        .split('`')
        .skip(3)
        .step_by(2)
        .map(str::to_string)
        .collect();
    assert_eq!(held, known, "{wrong}");
}

#[test]
fn a_scene_with_an_unknown_key_is_refused_with_those_that_are_known() {
    let other = json!({"settings": "{}", "at_us": 1, "course": [], "other": 1});
    let wrong = serde_json::from_value::<Scenario>(other)
        .map(drop)
        .expect_err("unknown")
        .to_string();
    assert_eq!(
        wrong,
        "unknown field `other`, expected one of `settings`, `at_us`, `course`"
    );
}
