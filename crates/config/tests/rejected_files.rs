//! An invalid file is rejected with a message of one line that names the file, and the line or the key.

// The tests are lists of cases.
#![allow(clippy::too_many_lines)]

use pondarch_config::{read_hosts, read_site};
use std::path::PathBuf;

/// Writes a file of this name into the directory of this test process.
fn write_file(name: &str, text: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("pondarch-settings-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let file = directory.join(name);
    std::fs::write(&file, text).expect("a file");
    file
}

/// Valid settings.
const VALID: &str = "{
  name: 'small', zones: ['ede', 'arnhem'],
  kinds: [{ name: 'proof', response_target: '1.5 s', client_timeout: '4 s', benefit: 1, repeats: 'replayable' }],
  proxies: [{ name: 'front-%d' % n, zone: 'ede', runtime: 'unix:front-%d.sock' % n } for n in [1, 2]],
  hosts_file: 'hosts.jsonnet',
  channel: { lines_per_second: 4000, most_waiting: 4000, message_cap: 12, message_window: '10 s' },
  cold: { start_share: 0.17, warm_within: '18 s' },
}";

/// The message for the valid settings with one change.
fn message_for(name: &str, from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "{from}");
    let file = write_file(name, &VALID.replace(from, to));
    let message = read_site(&file).expect_err(name).to_string();
    assert!(message.contains(name), "{message}");
    assert_eq!(message.lines().count(), 1, "{message}");
    message
}

#[test]
fn valid_settings_are_read() {
    let file = write_file("valid.jsonnet", VALID);
    let site = read_site(&file).expect("valid settings");
    assert_eq!(site.proxies.len(), 2);
    assert_eq!(site.hosts_file, file.with_file_name("hosts.jsonnet"));
    assert_eq!(
        site.request_classes[0].latency_objective.to_string(),
        "1500 ms"
    );
    assert_eq!(site.deployment_config().proxy_count, 2);
}

#[test]
fn invalid_settings_are_rejected() {
    let assert_contains =
        |message: String, part: &str| assert!(message.contains(part), "{message}\nlacks {part}");
    assert_contains(
        message_for("syntax.jsonnet", "zones:", "zones"),
        "syntax.jsonnet:2",
    );
    assert_contains(
        message_for("field.jsonnet", "benefit: 1", "benefit: self.worth"),
        "field.jsonnet:3",
    );
    assert_contains(
        message_for("unknown.jsonnet", "hosts_file", "hosts_fil"),
        "unknown field `hosts_fil`",
    );
    assert_contains(
        message_for("missing.jsonnet", "benefit: 1, ", ""),
        "kinds[0]: missing field `benefit`",
    );
    assert_contains(
        message_for("unit.jsonnet", "'1.5 s'", "'1.5'"),
        "kinds[0].response_target: '1.5' has no unit",
    );
    assert_contains(
        message_for("unit2.jsonnet", "'1.5 s'", "'2 parsecs'"),
        "'parsecs' is not a unit of time",
    );
    assert_contains(
        message_for("number.jsonnet", "'18 s'", "18"),
        "cold.warm_within: ",
    );
    assert_contains(
        message_for("range.jsonnet", "start_share: 0.17", "start_share: 17"),
        "cold.start_share: 17 is not between",
    );
    assert_contains(
        message_for(
            "order.jsonnet",
            "client_timeout: '4 s'",
            "client_timeout: '1 s'",
        ),
        "is less than response_target",
    );
    assert_contains(
        message_for("twice.jsonnet", "front-%d' % n, zone", "front', zone"),
        "proxies[1]: 'front' is listed twice",
    );
    assert_contains(
        message_for("zone.jsonnet", "zone: 'ede'", "zone: 'mars'"),
        "proxies[0].zone: 'mars' is not one of the site's zones",
    );
    assert_contains(
        message_for("socket.jsonnet", "unix:front-%d.sock' % n", "front.sock'"),
        "proxies[0].runtime: 'front.sock' is neither",
    );
    assert_contains(
        message_for(
            "shared.jsonnet",
            "unix:front-%d.sock' % n",
            "unix:front.sock'",
        ),
        "is the endpoint of another proxy too",
    );
    assert_contains(
        message_for("cap.jsonnet", "message_cap: 12", "message_cap: 2"),
        "channel.message_cap: ",
    );
    assert_contains(
        message_for("name.jsonnet", "name: 'small'", "name: 'a b'"),
        "name: 'a b' is not a valid name",
    );
    assert_contains(
        message_for("repeats.jsonnet", "'replayable'", "'safe'"),
        "unknown variant `safe`",
    );
    let missing = read_site(&write_file("none.jsonnet", "").with_file_name("not-there.jsonnet"))
        .expect_err("a missing file");
    assert_contains(missing.to_string(), "not-there.jsonnet: cannot be read");
}

#[test]
fn invalid_lists_of_hosts_are_rejected() {
    let zones = ["ede".to_string()];
    let read = |name: &str, text: &str| read_hosts(&write_file(name, text), &zones);
    let host = "{ name: 'a', address: '127.0.0.1:80', zone: 'ede' }";
    let list = read(
        "hosts.jsonnet",
        &format!("{{ version: 3, hosts: [{host}] }}"),
    )
    .expect("a valid list");
    assert_eq!(
        (list.version, list.hosts.len(), list.hosts[0].weight),
        (Some(3), 1, 1.0)
    );
    let assert_rejected = |name: &str, text: &str, part: &str| {
        let message = read(name, text).expect_err(name).to_string();
        assert!(
            message.contains(part) && message.contains(name),
            "{message}\nlacks {part}"
        );
    };
    assert_rejected(
        "twice.hosts",
        &format!("{{ hosts: [{host}, {host}] }}"),
        "hosts[1].name: 'a' is listed twice",
    );
    assert_rejected(
        "half.hosts",
        "{ version: 3, hosts: [{ name: 'a', addr",
        "half.hosts:1",
    );
    assert_rejected(
        "zone.hosts",
        &format!("{{ hosts: [{host} + {{ zone: 'x' }}] }}"),
        "hosts[0].zone: 'x' is not one of",
    );
    assert_rejected(
        "weight.hosts",
        &format!("{{ hosts: [{host} + {{ weight: -1 }}] }}"),
        "hosts[0].weight: -1",
    );
    assert_rejected(
        "addr.hosts",
        &format!("{{ hosts: [{host} + {{ address: 'nowhere' }}] }}"),
        "hosts[0].address",
    );
    assert_rejected(
        "since.hosts",
        &format!("{{ hosts: [{host} + {{ started: 1e12 }}] }}"),
        "hosts[0].started",
    );
}
