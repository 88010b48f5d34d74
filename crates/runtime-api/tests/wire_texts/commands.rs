//! The text of each command, as it is parsed and written, and of each error.

use pondarch_runtime_api::command::{Command, HELP, Level};

/// Commands that are written as they are read, with the lowest level that may use each: 0 user, 1 operator, 2 admin.
const COMMANDS: &[(&str, u8)] = &[
    ("help", 0),
    ("quit", 0),
    ("prompt", 0),
    ("prompt n", 0),
    ("prompt i", 0),
    ("prompt p", 0),
    ("show info", 0),
    ("show info json", 0),
    ("show stat", 0),
    ("show stat json", 0),
    ("show backend", 0),
    ("show servers state", 1),
    ("show servers state hosts", 1),
    ("show servers conn", 1),
    ("show servers conn hosts", 1),
    ("show errors", 1),
    ("show events", 1),
    ("show memory", 1),
    ("show map", 1),
    ("show map pond_levels", 1),
    ("show map @3 pond_levels", 1),
    ("get map pond_tries proof", 1),
    ("get weight proof/a", 1),
    ("add map pond_state steward s:1", 2),
    ("add map @3 pond_state steward a\\ b", 2),
    ("set map pond_levels proof 75", 2),
    ("del map pond_levels proof", 2),
    ("clear map pond_levels", 2),
    ("clear map @3 pond_levels", 2),
    ("prepare map pond_levels", 2),
    ("commit map @3 pond_levels", 2),
    ("set server proof/a weight 256", 2),
    ("set server proof/a weight 12.5%", 2),
    ("set server proof/a state ready", 2),
    ("set server proof/a state drain", 2),
    ("set server proof/a state maint", 2),
    ("set server proof/a addr 127.0.0.1", 2),
    ("set server proof/a addr ::1 port 80", 2),
    ("add server proof/a 127.0.0.1:80", 2),
    ("add server proof/a 127.0.0.1:80 weight 4", 2),
    ("del server proof/a", 2),
];

/// Other forms of a command, with the form in which it is written.
const SYNONYMS: &[(&str, &str)] = &[
    ("help me", "help"),
    ("set weight proof/a 12", "set server proof/a weight 12"),
    ("set weight proof/a 50%", "set server proof/a weight 50%"),
    ("enable server proof/a", "set server proof/a state ready"),
    ("disable server proof/a", "set server proof/a state maint"),
    ("set map m k a b", "set map m k a\\ b"),
];

/// Invalid commands with the text of their error.
const ERRORS: &[(&str, &str)] = &[
    (
        "bogus",
        "Unknown command: 'bogus'. Type 'help' for the list of commands.",
    ),
    (
        "show bogus",
        "Unknown command: 'show bogus'. Type 'help' for the list of commands.",
    ),
    ("prompt x", "'prompt' takes no word 'x'."),
    ("show info text", "'show info' takes no word 'text'."),
    ("show stat text", "'show stat' takes no word 'text'."),
    ("show servers", "'show servers' needs 'state' or 'conn'."),
    ("show map @1", "'show map' needs a map."),
    ("get map m", "'get map' needs a key."),
    ("add map m k", "'add map' needs a value."),
    ("set map m k", "'set map' needs a value."),
    ("del map", "'del map' needs a map."),
    ("clear map", "'clear map' needs a map."),
    ("prepare map", "'prepare map' needs a map."),
    ("commit map m", "'commit map' needs a version."),
    ("commit map @x m", "Malformed version 'x'."),
    ("get weight", "'get weight' needs a server."),
    ("get weight a", "Require 'backend/server', got 'a'."),
    ("set weight a/b", "'set weight' needs a weight."),
    (
        "set weight a/b 257",
        "Malformed weight '257': a whole number from 0 to 256, or 0 to 100 with '%'.",
    ),
    ("enable server", "'enable server' needs a server."),
    (
        "set server a/b",
        "'set server' needs 'addr', 'state' or 'weight'.",
    ),
    (
        "set server a/b state off",
        "'set server <srv> state' expects 'ready', 'drain' and 'maint', got 'off'.",
    ),
    ("set server a/b addr x", "Malformed address 'x'."),
    ("add server a/b", "'add server' needs an address."),
    (
        "add server a/b 1.2.3.4:5 weight",
        "'add server' needs a weight.",
    ),
    (
        "add server a/b 1.2.3.4:5 size",
        "'add server' takes no word 'size'.",
    ),
    ("del server a/b c", "'del server' takes no word 'c'."),
];

fn level(number: u8) -> Level {
    [Level::User, Level::Operator, Level::Admin][usize::from(number)]
}

#[test]
fn commands_are_written_as_they_are_read() {
    for (text, lowest_level) in COMMANDS {
        let command = Command::parse(text).unwrap_or_else(|error| panic!("{text}: {error}"));
        assert_eq!(command.to_string(), *text);
        assert!(command.level() == level(*lowest_level), "level of {text}");
    }
}

#[test]
fn synonyms() {
    for (text, written) in SYNONYMS {
        let command = Command::parse(text).unwrap_or_else(|error| panic!("{text}: {error}"));
        assert_eq!(command.to_string(), *written);
    }
}

#[test]
fn error_texts() {
    for (text, expected) in ERRORS {
        let error = Command::parse(text).expect_err(text).to_string();
        assert_eq!(error, *expected);
    }
}

#[test]
fn help_lists_each_command() {
    let listed: Vec<&str> = HELP
        .lines()
        .skip(1)
        .filter_map(|line| line.split(" : ").next())
        .collect();
    let listed: Vec<&str> = listed.iter().map(|name| name.trim()).collect();
    let expected = "add map [@<ver>] <map> <key> <val>|add server <bk>/<srv> <addr> [weight n]|\
        clear map [@<ver>] <map>|commit map @<ver> <map>|del map <map> <key>|del server <bk>/<srv>|\
        disable server <bk>/<srv>|enable server <bk>/<srv>|get map <map> <key>|get weight <bk>/<srv>|help|\
        prepare map <map>|prompt [n|i|p]|quit|set map <map> <key> <val>|\
        set server <bk>/<srv> addr|state|weight|set weight <bk>/<srv> <weight>[%]|show backend|show errors|\
        show events|show info [json]|show map [[@<ver>] <map>]|show memory|show servers conn [<bk>]|\
        show servers state [<bk>]|show stat [json]";
    assert_eq!(listed.join("|"), expected);
}
