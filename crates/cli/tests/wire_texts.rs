//! Names of the program's commands and flags, as its help shows them; not the prose beside them.

use std::process::Command;

const HELP: &[(&str, &[&str])] = &[
    (
        "",
        &[
            "run", "platform", "proxy", "check", "plan", "ctl", "resolve", "records", "replay",
            "rehearse",
        ],
    ),
    (
        "",
        &[
            "--log <LOG>",
            "--log-level <LOG_LEVEL>",
            "--help",
            "--version",
            "[possible values: text, json]",
        ],
    ),
    ("", &["[possible values: error, warn, info, debug]"]),
    ("run", &["<SETTINGS>", "--seed <SEED>"]),
    (
        "platform",
        &[
            "RELAY_CONFIG",
            "RELAY_LISTEN",
            "RELAY_DISCOVERY",
            "RELAY_NAME",
        ],
    ),
    ("proxy", &["<SETTINGS>"]),
    ("check", &["<SETTINGS>", "--proxy"]),
    ("plan", &["<SETTINGS>", "--simplex", "--json"]),
    ("ctl", &["<SOCKET>", "[COMMAND]..."]),
    (
        "resolve",
        &[
            "<NAME>",
            "--server <SERVER>",
            "--type <OF>",
            "--tcp",
            "[default: SRV]",
        ],
    ),
    ("records", &["show", "verify", "export", "trim"]),
    (
        "replay",
        &[
            "<FROM>",
            "--from <FIRST>",
            "--to <LAST>",
            "--against <AGAINST>",
            "--seeds <SEEDS>",
        ],
    ),
    ("rehearse", &["bad-day", "kills"]),
    (
        "rehearse bad-day",
        &[
            "--seed <SEED>",
            "--short",
            "--fronts <FRONTS>",
            "--records",
            "--json",
        ],
    ),
    (
        "records show",
        &[
            "<FOLDER>",
            "--proxy <",
            "--host <",
            "--what <",
            "--from <",
            "--to <",
            "-v, --verbose",
        ],
    ),
];

#[test]
fn help_names_commands_and_flags() {
    for (command, names) in HELP {
        let mut program = Command::new(env!("CARGO_BIN_EXE_pondarch"));
        let output = program
            .args(command.split_whitespace())
            .arg("--help")
            .output()
            .expect("cannot start the program");
        assert!(output.status.success(), "{command} --help");
        let text = String::from_utf8(output.stdout).expect("not UTF-8");
        for name in *names {
            // A command stands at the start of its line; a flag or value anywhere.
            let is_command =
                name.chars().all(|c| c.is_ascii_lowercase() || c == '-') && !name.starts_with('-');
            let there = match is_command {
                true => text
                    .lines()
                    .any(|line| line.split_whitespace().next() == Some(name)),
                false => text.contains(name),
            };
            assert!(there, "'{name}' in the help of '{command}':\n{text}");
        }
    }
}
