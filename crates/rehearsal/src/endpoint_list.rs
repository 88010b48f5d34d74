//! The settings and the list that the stewards of a rehearsal are given, as files.

use crate::observations::{Fact, Facts, Listed};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tokio::process::{Child, Command};

/// One host as the list shows it.
#[derive(Clone, Debug)]
pub struct Entry {
    pub addr: SocketAddr,
    pub zone: String,
    pub rack: String,
    pub weight: f64,
    pub cores: f64,
    /// Seconds since 1970; none: not said.
    pub started: Option<f64>,
    pub listed: Listed,
}

/// The list that stewards follow, as a file that is replaced whole.
pub struct List {
    file: PathBuf,
    version: u64,
    pub hosts: BTreeMap<String, Entry>,
    facts: Facts,
}

impl List {
    pub fn new(file: PathBuf, facts: Facts) -> List {
        List {
            file,
            version: 0,
            hosts: BTreeMap::new(),
            facts,
        }
    }

    pub fn file(&self) -> &Path {
        &self.file
    }

    /// Changes entries and writes the file.
    pub fn change(&mut self, change: impl FnOnce(&mut BTreeMap<String, Entry>)) -> io::Result<()> {
        let before: BTreeMap<String, Listed> = self
            .hosts
            .iter()
            .map(|(name, entry)| (name.clone(), entry.listed))
            .collect();
        change(&mut self.hosts);
        self.version += 1;
        let entry = |(name, entry): (&String, &Entry)| {
            let state = match entry.listed {
                Listed::Ready => "ready",
                Listed::Drain => "drain",
                Listed::Gone => "gone",
            };
            json!({"name": name, "address": entry.addr, "zone": entry.zone, "rack": entry.rack,
                "weight": entry.weight, "cores": entry.cores, "started": entry.started, "state": state})
        };
        let hosts: Vec<Value> = self.hosts.iter().map(entry).collect();
        let text = json!({"version": self.version, "hosts": hosts}).to_string();
        let part = self.file.with_extension("part");
        std::fs::write(&part, text)?;
        // The clock of the rules starts no later than the stewards can know.
        for (name, entry) in &self.hosts {
            if before.get(name) != Some(&entry.listed) {
                self.facts.note(Fact::Listed {
                    host: name.clone(),
                    as_: entry.listed,
                });
            }
        }
        for name in before.keys().filter(|name| !self.hosts.contains_key(*name)) {
            self.facts.note(Fact::Listed {
                host: name.clone(),
                as_: Listed::Gone,
            });
        }
        std::fs::rename(&part, &self.file)
    }

    pub fn set(&mut self, hosts: &[String], listed: Listed) -> io::Result<()> {
        self.change(|list| {
            hosts
                .iter()
                .filter_map(|name| Some((name, list.get(name)?.clone())))
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|(name, entry)| {
                    drop(list.insert(name.clone(), Entry { listed, ..entry }))
                });
        })
    }
}

/// Writes a steward's settings; JSON is Jsonnet.
pub fn write_settings(file: &Path, settings: &Value) -> io::Result<()> {
    std::fs::write(
        file,
        serde_json::to_string_pretty(settings).unwrap_or_default(),
    )
}

/// Starts this program in a process of its own; it ends with the rehearsal, and its log is added to that file.
pub(crate) fn spawn(
    program: &Path,
    args: &[&str],
    settings: &Path,
    log: &Path,
) -> io::Result<Child> {
    let log = std::fs::File::options()
        .create(true)
        .append(true)
        .open(log)?;
    let mut command = Command::new(program);
    command.args(["--log", "json"]).args(args).arg(settings);
    command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .kill_on_drop(true)
        .spawn()
}
