//! Tests update batches: older versions are rejected, and prepared changes are atomic.

use pondarch_controller::Time;
use pondarch_proxy_core::proxy_state::ProxyState;
use pondarch_proxy_core::updates::UpdateConnections;
use pondarch_runtime_api::Level;

struct Proxy {
    updates: UpdateConnections,
    state: ProxyState,
}

fn at_ms(ms: u64) -> Time {
    Time::from_micros(1_000_000 + ms * 1_000)
}

impl Proxy {
    fn new() -> Proxy {
        Proxy {
            updates: UpdateConnections::default(),
            state: ProxyState::new("front", 1, &["proof"]),
        }
    }

    fn send(&mut self, ms: u64, connection: u64, line: &str) -> String {
        self.updates
            .execute_line(at_ms(ms), connection, Level::Admin, line, &mut self.state)
            .concat()
    }

    fn hosts(&self) -> Vec<&str> {
        self.state.backends["proof"]
            .servers
            .keys()
            .map(String::as_str)
            .collect()
    }
}

fn batch(version: &str, host: &str) -> String {
    format!("add map pond_state table {version}; add server proof/{host} 127.0.0.1:80")
}

#[test]
fn an_older_batch_is_rejected_as_a_whole_and_a_repeated_one_changes_nothing() {
    let mut proxy = Proxy::new();
    proxy.send(0, 1, &batch("a:5/2", "two"));
    assert!(
        proxy
            .send(1, 1, &batch("a:5/1", "one"))
            .starts_with("Refused: a:5/1 is older than a:5/2")
    );
    assert_eq!(proxy.hosts(), ["two"]);
    assert!(
        proxy
            .send(2, 1, &batch("a:5/2", "two"))
            .contains("Already exists")
    );
    assert!(
        proxy
            .send(3, 2, &batch("a:4/99", "old"))
            .starts_with("Refused"),
        "an older incarnation"
    );
    assert_eq!(
        proxy.send(4, 1, "set server proof/two weight 7"),
        "",
        "the version of this connection is still applied"
    );
    assert_eq!(proxy.state.backends["proof"].servers["two"].weight, 7);
    assert!(
        proxy
            .send(5, 3, &batch("b:1/1", "three"))
            .starts_with("New server"),
        "a newer connection takes over"
    );
    assert!(
        proxy
            .send(6, 1, &batch("a:5/3", "four"))
            .starts_with("Refused")
    );
    assert!(
        proxy
            .send(7, 1, "set server proof/two weight 9")
            .starts_with("Refused")
    );
    assert_eq!(
        proxy.send(8, 9, "set server proof/two weight 11"),
        "",
        "updates of an operator are applied"
    );
    assert_eq!(proxy.updates.rejected_batches, 3);
}

#[test]
fn a_prepared_change_is_atomic() {
    let mut proxy = Proxy::new();
    assert_eq!(
        proxy.send(0, 1, "prepare map pond_state"),
        "New version created: 1\n"
    );
    assert_eq!(
        proxy.send(
            1,
            1,
            "add map @1 pond_state table a:1/1; add server proof/x 127.0.0.1:80"
        ),
        "New server registered.\n"
    );
    assert!(
        proxy.hosts().is_empty(),
        "nothing changes before the commit"
    );
    assert_eq!(proxy.send(2, 1, "commit map @1 pond_state"), "");
    assert_eq!(proxy.hosts(), ["x"]);
    assert_eq!(proxy.state.map_entry("pond_state", "table"), Some("a:1/1"));
    // A change is dropped if the controller disconnects before the commit.
    proxy.send(
        3,
        1,
        "prepare map pond_state; add map @2 pond_state table a:1/2; del server proof/x",
    );
    proxy.updates.connection_closed(1);
    assert!(
        proxy
            .send(4, 1, "commit map @2 pond_state")
            .contains("Version not found")
    );
    assert_eq!(proxy.hosts(), ["x"]);
    // A change is dropped if its commit takes longer than 5 s.
    proxy.send(
        5,
        4,
        "prepare map pond_state; add map @3 pond_state table a:1/3; del server proof/x",
    );
    assert!(
        proxy
            .send(5_006, 4, "commit map @3 pond_state")
            .contains("Version not found")
    );
    // A change with an older version is rejected.
    proxy.send(
        5_010,
        4,
        "prepare map pond_state; add map @4 pond_state table a:1/0; add server proof/y 127.0.0.1:80",
    );
    assert!(
        proxy
            .send(5_011, 4, "commit map @4 pond_state")
            .starts_with("Refused: a:1/0 is older")
    );
    assert_eq!(proxy.hosts(), ["x"]);
}
