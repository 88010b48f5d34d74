//! The names of commands, flags and values in the output of `--help`; its descriptions are not checked.

use std::process::Command;

/// Subcommands, and the names that their help contains.
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
fn help_contains_all_commands_and_flags() {
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
            // A command is the first word of a line; a flag or value may be anywhere.
            let is_command =
                name.chars().all(|c| c.is_ascii_lowercase() || c == '-') && !name.starts_with('-');
            let is_listed = match is_command {
                true => text
                    .lines()
                    .any(|line| line.split_whitespace().next() == Some(name)),
                false => text.contains(name),
            };
            assert!(
                is_listed,
                "'{name}' is not in the help of '{command}':\n{text}"
            );
        }
    }
}
