//! Tests of the replies to operators, as transcripts: each command after `> `, then its reply without the empty line
//! that ends it.

use super::*;
use pondarch_config::DurationSetting;

/// The commands, each with the access level of the connection: 0 user, 1 operator, 2 admin.
const COMMANDS: &[(u8, &str)] = &[
    (0, "help"),
    (0, "show info"),
    (0, "show info json"),
    (0, "show stat"),
    (0, "show backend"),
    (2, "show servers state"),
    (2, "show servers state hosts"),
    (2, "show servers state bogus"),
    (2, "show servers conn table-0"),
    (2, "show servers conn bogus"),
    (2, "show memory"),
    (2, "show errors"),
    (2, "show map"),
    (2, "show map levels"),
    (2, "show map tries"),
    (2, "show map proxies"),
    (2, "show map weights"),
    (2, "show map lingering"),
    (2, "show map owed"),
    (2, "show map secondaries"),
    (2, "show map zones"),
    (2, "show map bogus"),
    (2, "show map @9 zones"),
    (2, "get map zones host-0"),
    (2, "get map zones nobody"),
    (2, "get weight hosts/host-0"),
    (2, "get weight hosts/nobody"),
    (2, "get weight table-0/host-0"),
    (2, "set server hosts/host-1 weight 0"),
    (2, "set server table-0/host-1 weight 3"),
    (2, "set server hosts/host-1 weight 50%"),
    (2, "get weight hosts/host-1"),
    (2, "set server hosts/host-1 addr 127.0.0.9 port 81"),
    (2, "set server hosts/host-1 addr 127.0.0.9 port 81"),
    (2, "set server hosts/host-2 state drain"),
    (2, "add server hosts/new 127.0.0.8:80 weight 4"),
    (2, "add server hosts/new 127.0.0.8:80"),
    (2, "add server hosts/host-0 127.0.0.8:80"),
    (2, "add server hosts/b@d 127.0.0.8:80"),
    (2, "add server table-0/new 127.0.0.8:80"),
    (2, "set map zones new arnhem"),
    (2, "add map zones new arnhem"),
    (2, "add map zones new bogus"),
    (2, "add map zones host-0 ede"),
    (2, "set map zones nobody ede"),
    (2, "del map zones nobody"),
    (2, "prepare map zones"),
    (2, "add map @1 zones new ede"),
    (2, "show map @1 zones"),
    (2, "commit map @1 zones"),
    (2, "commit map @1 zones"),
    (2, "clear map @7 zones"),
    (2, "set map levels table-0/proof 1"),
    (2, "del server hosts/host-0"),
    (2, "del server hosts/new"),
    (0, "show map"),
    (1, "set server hosts/host-1 state drain"),
    (2, "bogus"),
];

fn transcript(fleet: &mut SimulatedFleet, commands: &[(u8, &str)]) -> String {
    let mut transcript = String::new();
    for (level, line) in commands {
        let reply = fleet.command(*level, line);
        transcript.push_str(&format!(
            "> {line}\n{}",
            reply.strip_suffix('\n').expect("an empty line at the end")
        ));
    }
    transcript
}

#[test]
fn replies_to_every_command() {
    let mut fleet = fleet();
    fleet.traffic(0, 30, 3, 80);
    fleet.run(2_500);
    assert_same(
        &transcript(&mut fleet, COMMANDS),
        include_str!("replies.txt"),
    );
}

/// The figures that `show info` has only with a DNS server, an event log or pushed reports.
#[test]
fn show_info_with_all_figures() {
    let mut site = site(1);
    site.dns = Some(pondarch_config::site::DnsSettings {
        zone: "pond.example".into(),
        listen: ([127, 0, 0, 1], 0).into(),
        drain_grace_period: DurationSetting::from_millis(6_000),
        max_list_delay: DurationSetting::from_millis(500),
        lifetime_s: None,
        answers_per_second: 50.0,
        secondaries: Vec::new(),
        max_secondary_lag: DurationSetting::from_millis(1_000),
        secondary_expiry: DurationSetting::from_millis(60_000),
    });
    site.load_reports.push_endpoint = Some("unix:/push".parse().expect("a socket path"));
    let mut fleet = SimulatedFleet::new(&site, 3);
    fleet.run(1_000);
    fleet.apply(pondarch_daemon_core::Input::EventLog(
        pondarch_daemon_core::EventLogState {
            stopped_reason: None,
            lost_inputs: 2,
        },
    ));
    assert_same(
        &transcript(&mut fleet, &[(0, "show info")]),
        include_str!("info.txt"),
    );
}

/// `show events` writes events under the names in `recorded_debug`, whatever the code calls them. These names are on
/// the wire, so they are checked here.
#[test]
fn show_events() {
    let mut fleet = fleet();
    fleet.command(
        2,
        "set server hosts/host-1 weight 3; set server hosts/host-2 state drain",
    );
    fleet.proxies[0].fault = Fault::RejectCommand(1);
    fleet.run(2_000);
    fleet.disconnect(1);
    fleet.run(1_000);
    assert_same(
        &transcript(&mut fleet, &[(2, "show events")]),
        include_str!("events.txt"),
    );
}
