//! Tests of the runtime API of the controller itself.

use crate::simulated_fleet::*;

fn fleet() -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(&site(2), 8);
    fleet.run(3_000);
    fleet
}

#[test]
fn commands_need_their_access_level() {
    let mut fleet = fleet();
    let denied = "Permission denied\n\n";
    assert_eq!(fleet.command(0, "show servers state"), denied);
    assert_eq!(
        fleet.command(1, "set server hosts/host-1 state drain"),
        denied
    );
    assert!(fleet.command(0, "show info").contains("Name: pondarch"));
    assert!(
        fleet
            .command(1, "show servers state hosts")
            .contains("host-1")
    );
    assert_eq!(
        fleet.command(2, "set server hosts/host-1 state drain"),
        "\n"
    );
}

#[test]
fn each_command_of_a_line_gets_a_reply_and_errors_do_not_stop_the_rest() {
    let mut fleet = fleet();
    let text = fleet.command(
        2,
        "show backend; bogus word; set server hosts/nobody weight 3; get weight hosts/host-0",
    );
    let replies: Vec<&str> = text.split("\n\n").collect();
    assert_eq!(replies.len(), 5, "{text}");
    assert!(replies[0].starts_with("# name\nhosts"));
    assert!(replies[1].starts_with("Unknown command: 'bogus word'"));
    assert_eq!(replies[2], "No such server.");
    assert_eq!(replies[3], "1 (initial 1)");
}

#[test]
fn a_drain_by_an_operator_reaches_the_proxies_and_survives_a_new_list() {
    let mut fleet = fleet();
    assert_eq!(
        fleet.command(2, "set server hosts/host-3 state drain"),
        "\n"
    );
    fleet.run(300);
    let holds = |fleet: &SimulatedFleet, n: usize| fleet.serving(n, "proof").contains_key("host-3");
    assert!(!holds(&fleet, 0) && !holds(&fleet, 1));
    fleet.apply_list((0..8).map(host).collect());
    fleet.run(3_000);
    assert!(!holds(&fleet, 0) && !holds(&fleet, 1));
    assert_eq!(fleet.command(2, "enable server hosts/host-3"), "\n");
    fleet.run(5_000);
    assert!(holds(&fleet, 0) || holds(&fleet, 1));
}

#[test]
fn operators_can_add_and_delete_hosts() {
    let mut fleet = fleet();
    assert_eq!(
        fleet.command(2, "add server hosts/extra 127.0.0.9:80 weight 2"),
        "New server registered.\n\n"
    );
    assert!(
        fleet
            .command(2, "add server hosts/extra 127.0.0.9:80")
            .contains("New server registered")
    );
    assert_eq!(fleet.command(2, "add map zones extra arnhem"), "\n");
    assert!(
        fleet
            .command(2, "set map zones extra mars")
            .contains("none of the site's zones")
    );
    assert!(
        fleet
            .command(2, "add map zones host-1 ede")
            .contains("The file names")
    );
    assert_eq!(fleet.command(2, "set server hosts/extra state ready"), "\n");
    assert!(
        fleet
            .command(2, "add server hosts/extra 127.0.0.9:80")
            .contains("Already exists")
    );
    fleet.run(2_000);
    assert_eq!(fleet.info("HostsReady"), 9);
    assert!(
        fleet.info("HostsCold") >= 1,
        "a host that was just added is warming up"
    );
    assert!(
        fleet
            .command(2, "del server hosts/extra")
            .contains("Only servers in maintenance")
    );
    assert_eq!(fleet.command(2, "disable server hosts/extra"), "\n");
    assert_eq!(
        fleet.command(2, "del server hosts/extra"),
        "Server deleted.\n\n"
    );
    fleet.run(2_000);
    assert_eq!(fleet.info("HostsReady"), 8);
    assert_rejects_changes_of_read_only_values(&mut fleet);
}

fn assert_rejects_changes_of_read_only_values(fleet: &mut SimulatedFleet) {
    assert!(
        fleet
            .command(2, "set server table-0/host-1 weight 4")
            .contains("Tables are the steward's")
    );
    assert!(
        fleet
            .command(2, "set map levels table-0/proof 1")
            .contains("can't be set")
    );
    assert!(
        fleet
            .command(2, "set server hosts/host-1 weight 0")
            .contains("above 0")
    );
}

#[test]
fn replies_of_show_commands_can_be_parsed() {
    let mut fleet = fleet();
    fleet.traffic(0, 30, 3, 80);
    fleet.run(2_500);
    let stat = fleet.command(0, "show stat");
    let rows = pondarch_runtime_api::stat::read(stat.trim_end()).expect("a valid stat");
    assert!(rows.iter().any(|row| row.backend == "table-0"));
    assert!(
        rows.iter()
            .any(|row| row.backend == "hosts" && row.attempt_totals().failed == 9),
        "{rows:?}"
    );
    let state = fleet.command(2, "show servers state");
    assert!(
        pondarch_runtime_api::state::read_state(state.trim_end())
            .expect("a valid state")
            .len()
            > 8
    );
    let maps =
        pondarch_runtime_api::info::read_map(fleet.command(2, "show map proxies").trim_end())
            .expect("a valid map");
    assert!(maps["front-0"].starts_with("joined table-"), "{maps:?}");
    let json = fleet.command(0, "show stat json");
    assert!(serde_json::from_str::<serde_json::Value>(json.trim()).is_ok());
    assert!(fleet.command(2, "show events").contains("Joined"));
}

#[test]
fn a_prepared_zone_map_takes_effect_only_when_committed() {
    let mut fleet = fleet();
    fleet.command(
        2,
        "add server hosts/one 127.0.0.8:80; add server hosts/two 127.0.0.9:80",
    );
    assert_eq!(
        fleet.command(2, "prepare map zones"),
        "New version created: 1\n\n"
    );
    fleet.command(
        2,
        "add map @1 zones one arnhem; add map @1 zones two arnhem",
    );
    let zone =
        |fleet: &mut SimulatedFleet, host: &str| fleet.command(2, &format!("get map zones {host}"));
    assert!(
        zone(&mut fleet, "two").contains("\"ede\""),
        "the zone changed before the commit"
    );
    assert!(fleet.command(2, "show map @1 zones").contains("two arnhem"));
    assert_eq!(fleet.command(2, "commit map @1 zones"), "\n");
    assert!(zone(&mut fleet, "two").contains("\"arnhem\""));
    assert!(
        fleet
            .command(2, "commit map @1 zones")
            .contains("Version not found")
    );
    assert!(
        fleet
            .command(2, "add map @7 zones one ede")
            .contains("Version not found")
    );
    assert!(
        fleet
            .command(2, "prepare map levels")
            .contains("can't be set")
    );
}

#[test]
fn a_warming_host_with_too_small_a_weight_is_not_sent_and_is_logged() {
    let mut fleet = SimulatedFleet::new(&site(1), 12);
    fleet.run(3_000);
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    hosts.iter_mut().for_each(|host| host.weight = 900.0);
    // Most restart: a host alone would be in no table until it is warm.
    for host in &mut hosts[2..] {
        host.started = Some(fleet.now as f64 / 1e6);
    }
    hosts[4].weight = 0.01;
    fleet.apply_list(hosts);
    fleet.run(4_000);
    assert!(!fleet.serving(0, "proof").contains_key("host-4"));
    let is_too_small = |event: &pondarch_daemon_core::Event| matches!(event, pondarch_daemon_core::Event::WeightTooSmall { host, .. } if host == "host-4");
    assert!(fleet.events.iter().any(is_too_small));
    fleet.run(20_000);
    assert!(
        fleet.serving(0, "proof").contains_key("host-4"),
        "still not sent after the slow start window"
    );
}
