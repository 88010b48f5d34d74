//! At each place, an unknown key or enum value is rejected with a message that lists exactly the known ones, so a key
//! that is added, removed or renamed changes the message.

use pondarch_config::{read_hosts, read_plan, read_proxy, read_site};
use std::path::Path;

/// The message for the fixture with this change: the path of the key, `-`, and the known keys or values.
fn message_for(fixture_name: &str, change: &str) -> String {
    let fixtures = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures");
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("patched.jsonnet");
    let fixture = fixtures.join(format!("{fixture_name}.jsonnet"));
    std::fs::write(
        &file,
        format!("local all = import '{}';\n{change}\n", fixture.display()),
    )
    .expect("written");
    let message = match fixture_name {
        "site" => read_site(&file).map(drop),
        "proxy" => read_proxy(&file).map(drop),
        "plan" => read_plan(&file).map(drop),
        _ => read_hosts(&file, &["ede".to_string(), "arnhem".to_string()]).map(drop),
    };
    let message = message.expect_err("a rejection").to_string();
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

/// Checks each line `change => message` of a file.
fn assert_all_rejected(fixture_name: &str, file: &str) {
    let mut failed = Vec::new();
    let mut count = 0;
    for line in file
        .lines()
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
    {
        let (change, expected) = line.split_once(" => ").expect("a change and a message");
        let message = message_for(fixture_name, change);
        count += 1;
        if message != expected {
            failed.push(format!("{change} => {message}"));
        }
    }
    assert!(
        failed.is_empty() && count > 0,
        "{fixture_name}, {} of {count}:\n{}",
        failed.len(),
        failed.join("\n")
    );
}

#[test]
fn unknown_keys_of_a_site() {
    assert_all_rejected("site", include_str!("fixtures/unknown-keys-site.txt"));
}

#[test]
fn unknown_keys_of_a_proxy() {
    assert_all_rejected("proxy", include_str!("fixtures/unknown-keys-proxy.txt"));
}

#[test]
fn unknown_keys_of_a_plan() {
    assert_all_rejected("plan", include_str!("fixtures/unknown-keys-plan.txt"));
}

#[test]
fn unknown_keys_of_a_list_of_hosts() {
    assert_all_rejected("hosts", include_str!("fixtures/unknown-keys-hosts.txt"));
}
