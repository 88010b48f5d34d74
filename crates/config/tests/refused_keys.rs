//! Unknown keys and words are refused at every place, with exactly those that are known there: a key that is added,
//! dropped or renamed shows in the message.

use pondarch_config::{read_hosts, read_plan, read_proxy, read_site};
use std::path::Path;

/// What the message says is known, for a fixture with `patch` laid over it; the key's path stands before it.
fn known(kind: &str, patch: &str) -> String {
    let fixtures = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures");
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("patched.jsonnet");
    let fixture = fixtures.join(format!("{kind}.jsonnet"));
    std::fs::write(
        &file,
        format!("local all = import '{}';\n{patch}\n", fixture.display()),
    )
    .expect("written");
    let message = match kind {
        "site" => read_site(&file).map(drop),
        "proxy" => read_proxy(&file).map(drop),
        "plan" => read_plan(&file).map(drop),
        _ => read_hosts(&file, &["ede".to_string(), "arnhem".to_string()]).map(drop),
    };
    let message = message.expect_err("it is refused").to_string();
    let message = message
        .split_once("patched.jsonnet: ")
        .expect("the file's name")
        .1
        .replace('`', "");
    message
        .replace("unknown field other", "-")
        .replace("unknown variant other", "-")
        .replace("expected ", "")
}

/// The keys of the settings, by place: what is laid over the fixture, and the message.
fn all_are_refused(kind: &str, file: &str) {
    let mut failed = Vec::new();
    let mut places = 0;
    for line in file
        .lines()
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
    {
        let (patch, due) = line.split_once(" => ").expect("a patch and a message");
        let message = known(kind, patch);
        places += 1;
        if message != due {
            failed.push(format!("{patch} => {message}"));
        }
    }
    assert!(
        failed.is_empty() && places > 0,
        "{kind}, {} of {places}:\n{}",
        failed.len(),
        failed.join("\n")
    );
}

#[test]
fn of_a_site() {
    all_are_refused("site", include_str!("fixtures/refused-site.txt"));
}

#[test]
fn of_a_proxy() {
    all_are_refused("proxy", include_str!("fixtures/refused-proxy.txt"));
}

#[test]
fn of_a_plan() {
    all_are_refused("plan", include_str!("fixtures/refused-plan.txt"));
}

#[test]
fn of_a_list_of_hosts() {
    all_are_refused("hosts", include_str!("fixtures/refused-hosts.txt"));
}
