//! Each broken file gives one plain message that names the file, and the line or the key.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(clippy::too_many_lines)]

use pondarch_config::{read_hosts, read_site};
use std::path::PathBuf;

fn file(name: &str, text: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("pondarch-settings-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join(name);
    std::fs::write(&file, text).expect("a file");
    file
}

const GOOD: &str = "{
  name: 'small', zones: ['ede', 'arnhem'],
  kinds: [{ name: 'proof', response_target: '1.5 s', client_timeout: '4 s', benefit: 1, repeats: 'replayable' }],
  proxies: [{ name: 'front-%d' % n, zone: 'ede', runtime: 'unix:front-%d.sock' % n } for n in [1, 2]],
  hosts_file: 'hosts.jsonnet',
  channel: { lines_per_second: 4000, most_waiting: 4000, message_cap: 12, message_window: '10 s' },
  cold: { start_share: 0.17, warm_within: '18 s' },
}";

/// The message for the good settings with one part changed.
fn wrong(name: &str, from: &str, to: &str) -> String {
    assert!(GOOD.contains(from), "{from}");
    let file = file(name, &GOOD.replace(from, to));
    let message = read_site(&file).expect_err(name).to_string();
    assert!(message.contains(name), "{message}");
    assert_eq!(message.lines().count(), 1, "{message}");
    message
}

#[test]
fn good_settings_are_read() {
    let file = file("good.jsonnet", GOOD);
    let site = read_site(&file).expect("good settings");
    assert_eq!(site.proxies.len(), 2);
    assert_eq!(site.hosts_file, file.with_file_name("hosts.jsonnet"));
    assert_eq!(site.kinds[0].response_target.to_string(), "1500 ms");
    assert_eq!(site.ticket().proxy_count, 2);
}

#[test]
fn broken_settings() {
    let has =
        |message: String, part: &str| assert!(message.contains(part), "{message}\nlacks {part}");
    has(
        wrong("syntax.jsonnet", "zones:", "zones"),
        "syntax.jsonnet:2",
    );
    has(
        wrong("field.jsonnet", "benefit: 1", "benefit: self.worth"),
        "field.jsonnet:3",
    );
    has(
        wrong("unknown.jsonnet", "hosts_file", "hosts_fil"),
        "unknown field `hosts_fil`",
    );
    has(
        wrong("missing.jsonnet", "benefit: 1, ", ""),
        "kinds[0]: missing field `benefit`",
    );
    has(
        wrong("unit.jsonnet", "'1.5 s'", "'1.5'"),
        "kinds[0].response_target: '1.5' has no unit",
    );
    has(
        wrong("unit2.jsonnet", "'1.5 s'", "'2 parsecs'"),
        "'parsecs' is no unit of time",
    );
    has(
        wrong("number.jsonnet", "'18 s'", "18"),
        "cold.warm_within: ",
    );
    has(
        wrong("range.jsonnet", "start_share: 0.17", "start_share: 17"),
        "cold.start_share: 17 is not within",
    );
    has(
        wrong(
            "order.jsonnet",
            "client_timeout: '4 s'",
            "client_timeout: '1 s'",
        ),
        "under the response target",
    );
    has(
        wrong("twice.jsonnet", "front-%d' % n, zone", "front', zone"),
        "proxies[1]: 'front' is named twice",
    );
    has(
        wrong("zone.jsonnet", "zone: 'ede'", "zone: 'mars'"),
        "proxies[0].zone: 'mars' is none of the site's zones",
    );
    has(
        wrong("socket.jsonnet", "unix:front-%d.sock' % n", "front.sock'"),
        "proxies[0].runtime: 'front.sock' is neither",
    );
    has(
        wrong(
            "shared.jsonnet",
            "unix:front-%d.sock' % n",
            "unix:front.sock'",
        ),
        "is another proxy's socket too",
    );
    has(
        wrong("cap.jsonnet", "message_cap: 12", "message_cap: 2"),
        "channel.message_cap: ",
    );
    has(
        wrong("name.jsonnet", "name: 'small'", "name: 'a b'"),
        "name: 'a b' is no name",
    );
    has(
        wrong("repeats.jsonnet", "'replayable'", "'safe'"),
        "unknown variant `safe`",
    );
    let none = read_site(&file("none.jsonnet", "").with_file_name("not-there.jsonnet"))
        .expect_err("no file");
    has(none.to_string(), "not-there.jsonnet: cannot be read");
}

#[test]
fn broken_lists() {
    let zones = ["ede".to_string()];
    let read = |name: &str, text: &str| read_hosts(&file(name, text), &zones);
    let host = "{ name: 'a', address: '127.0.0.1:80', zone: 'ede' }";
    let list = read(
        "hosts.jsonnet",
        &format!("{{ version: 3, hosts: [{host}] }}"),
    )
    .expect("a good list");
    assert_eq!(
        (list.version, list.hosts.len(), list.hosts[0].weight),
        (Some(3), 1, 1.0)
    );
    let wrong = |name: &str, text: &str, part: &str| {
        let message = read(name, text).expect_err(name).to_string();
        assert!(
            message.contains(part) && message.contains(name),
            "{message}\nlacks {part}"
        );
    };
    wrong(
        "twice.hosts",
        &format!("{{ hosts: [{host}, {host}] }}"),
        "hosts[1].name: 'a' is listed twice",
    );
    wrong(
        "half.hosts",
        "{ version: 3, hosts: [{ name: 'a', addr",
        "half.hosts:1",
    );
    wrong(
        "zone.hosts",
        &format!("{{ hosts: [{host} + {{ zone: 'x' }}] }}"),
        "hosts[0].zone: 'x' is none",
    );
    wrong(
        "weight.hosts",
        &format!("{{ hosts: [{host} + {{ weight: -1 }}] }}"),
        "hosts[0].weight: -1",
    );
    wrong(
        "addr.hosts",
        &format!("{{ hosts: [{host} + {{ address: 'nowhere' }}] }}"),
        "hosts[0].address",
    );
    wrong(
        "since.hosts",
        &format!("{{ hosts: [{host} + {{ started: 1e12 }}] }}"),
        "hosts[0].started",
    );
}
