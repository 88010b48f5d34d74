//! The steward's own runtime API.

use crate::town::*;

fn town() -> Town {
    let mut town = Town::open(&site(2), 8);
    town.run(3_000);
    town
}

#[test]
fn levels_bind() {
    let mut town = town();
    let denied = "Permission denied\n\n";
    assert_eq!(town.command(0, "show servers state"), denied);
    assert_eq!(
        town.command(1, "set server hosts/host-1 state drain"),
        denied
    );
    assert!(town.command(0, "show info").contains("Name: pondarch"));
    assert!(
        town.command(1, "show servers state hosts")
            .contains("host-1")
    );
    assert_eq!(town.command(2, "set server hosts/host-1 state drain"), "\n");
}

#[test]
fn several_commands_give_as_many_answers_and_errors_spoil_nothing() {
    let mut town = town();
    let text = town.command(
        2,
        "show backend; bogus word; set server hosts/nobody weight 3; get weight hosts/host-0",
    );
    let answers: Vec<&str> = text.split("\n\n").collect();
    assert_eq!(answers.len(), 5, "{text}");
    assert!(answers[0].starts_with("# name\nhosts"));
    assert!(answers[1].starts_with("Unknown command: 'bogus word'"));
    assert_eq!(answers[2], "No such server.");
    assert_eq!(answers[3], "1 (initial 1)");
}

#[test]
fn a_drain_by_an_operator_reaches_the_proxies_and_outlives_the_file() {
    let mut town = town();
    assert_eq!(town.command(2, "set server hosts/host-3 state drain"), "\n");
    town.run(300);
    let holds = |town: &Town, n: usize| town.serving(n, "proof").contains_key("host-3");
    assert!(!holds(&town, 0) && !holds(&town, 1));
    town.list((0..8).map(host).collect());
    town.run(3_000);
    assert!(!holds(&town, 0) && !holds(&town, 1));
    assert_eq!(town.command(2, "enable server hosts/host-3"), "\n");
    town.run(5_000);
    assert!(holds(&town, 0) || holds(&town, 1));
}

#[test]
fn hosts_come_and_go_by_command() {
    let mut town = town();
    assert_eq!(
        town.command(2, "add server hosts/extra 127.0.0.9:80 weight 2"),
        "New server registered.\n\n"
    );
    assert!(
        town.command(2, "add server hosts/extra 127.0.0.9:80")
            .contains("New server registered")
    );
    assert_eq!(town.command(2, "add map zones extra arnhem"), "\n");
    assert!(
        town.command(2, "set map zones extra mars")
            .contains("none of the site's zones")
    );
    assert!(
        town.command(2, "add map zones host-1 ede")
            .contains("The file names")
    );
    assert_eq!(town.command(2, "set server hosts/extra state ready"), "\n");
    assert!(
        town.command(2, "add server hosts/extra 127.0.0.9:80")
            .contains("Already exists")
    );
    town.run(2_000);
    assert_eq!(town.info("HostsReady"), 9);
    assert!(
        town.info("HostsCold") >= 1,
        "a host that has just come is cold"
    );
    assert!(
        town.command(2, "del server hosts/extra")
            .contains("Only servers in maintenance")
    );
    assert_eq!(town.command(2, "disable server hosts/extra"), "\n");
    assert_eq!(
        town.command(2, "del server hosts/extra"),
        "Server deleted.\n\n"
    );
    town.run(2_000);
    assert_eq!(town.info("HostsReady"), 8);
    assert!(
        town.command(2, "set server table-0/host-1 weight 4")
            .contains("Tables are the steward's")
    );
    assert!(
        town.command(2, "set map levels table-0/proof 1")
            .contains("can't be set")
    );
    assert!(
        town.command(2, "set server hosts/host-1 weight 0")
            .contains("above 0")
    );
}

#[test]
fn what_it_shows_can_be_read_again() {
    let mut town = town();
    town.traffic(0, 30, 3, 80);
    town.run(2_500);
    let stat = town.command(0, "show stat");
    let rows = pondarch_runtime_api::stat::read(stat.trim_end()).expect("stat");
    assert!(rows.iter().any(|row| row.backend == "table-0"));
    assert!(
        rows.iter()
            .any(|row| row.backend == "hosts" && row.ended().errored == 9),
        "{rows:?}"
    );
    let state = town.command(2, "show servers state");
    assert!(
        pondarch_runtime_api::state::read_state(state.trim_end())
            .expect("state")
            .len()
            > 8
    );
    let maps = pondarch_runtime_api::info::read_map(town.command(2, "show map proxies").trim_end())
        .expect("map");
    assert!(maps["front-0"].starts_with("joined table-"), "{maps:?}");
    let json = town.command(0, "show stat json");
    assert!(serde_json::from_str::<serde_json::Value>(json.trim()).is_ok());
    assert!(town.command(2, "show events").contains("Joined"));
}

#[test]
fn zones_of_added_hosts_are_swapped_whole_or_not_at_all() {
    let mut town = town();
    town.command(
        2,
        "add server hosts/one 127.0.0.8:80; add server hosts/two 127.0.0.9:80",
    );
    assert_eq!(
        town.command(2, "prepare map zones"),
        "New version created: 1\n\n"
    );
    town.command(
        2,
        "add map @1 zones one arnhem; add map @1 zones two arnhem",
    );
    let zone = |town: &mut Town, host: &str| town.command(2, &format!("get map zones {host}"));
    assert!(
        zone(&mut town, "two").contains("\"ede\""),
        "not before the commit"
    );
    assert!(town.command(2, "show map @1 zones").contains("two arnhem"));
    assert_eq!(town.command(2, "commit map @1 zones"), "\n");
    assert!(zone(&mut town, "two").contains("\"arnhem\""));
    assert!(
        town.command(2, "commit map @1 zones")
            .contains("Version not found")
    );
    assert!(
        town.command(2, "add map @7 zones one ede")
            .contains("Version not found")
    );
    assert!(
        town.command(2, "prepare map levels")
            .contains("can't be set")
    );
}

#[test]
fn a_cold_host_too_light_to_tell_is_held_back_and_said() {
    let mut town = Town::open(&site(1), 12);
    town.run(3_000);
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    hosts.iter_mut().for_each(|host| host.weight = 900.0);
    hosts[4].weight = 0.01;
    hosts[4].started = Some(town.now as f64 / 1e6);
    town.list(hosts);
    town.run(4_000);
    assert!(!town.serving(0, "proof").contains_key("host-4"));
    let told = |e: &pondarch_daemon_core::Event| matches!(e, pondarch_daemon_core::Event::WeightTooSmall { host, .. } if host == "host-4");
    assert!(town.events.iter().any(told));
    town.run(20_000);
    assert!(
        town.serving(0, "proof").contains_key("host-4"),
        "warm, and still held back"
    );
}
