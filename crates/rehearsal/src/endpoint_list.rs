//! The files that the controllers of a rehearsal read: settings and endpoint list.

use crate::observations::{ListedState, Observation, ObservationLog};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use tokio::process::{Child, Command};

/// One host in the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    pub addr: SocketAddr,
    pub zone: String,
    pub rack: String,
    pub weight: f64,
    pub cores: f64,
    /// Start time in seconds since 1970; `None` if the list does not state it.
    pub started: Option<f64>,
    pub state: ListedState,
}

/// The endpoint list that controllers watch. Its file is replaced atomically on each update.
pub struct EndpointList {
    file: PathBuf,
    version: u64,
    pub hosts: BTreeMap<String, EndpointEntry>,
    observations: ObservationLog,
}

impl EndpointList {
    /// Creates an empty list; the file is written by the first update.
    pub fn new(file: PathBuf, observations: ObservationLog) -> EndpointList {
        EndpointList {
            file,
            version: 0,
            hosts: BTreeMap::new(),
            observations,
        }
    }

    /// Path of the list's file.
    pub fn file(&self) -> &Path {
        &self.file
    }

    /// Changes entries and writes the file.
    pub fn update(
        &mut self,
        change: impl FnOnce(&mut BTreeMap<String, EndpointEntry>),
    ) -> io::Result<()> {
        let before: BTreeMap<String, ListedState> = self
            .hosts
            .iter()
            .map(|(name, entry)| (name.clone(), entry.state))
            .collect();
        change(&mut self.hosts);
        self.version += 1;
        let entry = |(name, entry): (&String, &EndpointEntry)| {
            let state = match entry.state {
                ListedState::Ready => "ready",
                ListedState::Draining => "drain",
                ListedState::Gone => "gone",
            };
            json!({"name": name, "address": entry.addr, "zone": entry.zone, "rack": entry.rack,
                "weight": entry.weight, "cores": entry.cores, "started": entry.started, "state": state})
        };
        let hosts: Vec<Value> = self.hosts.iter().map(entry).collect();
        let text = json!({"version": self.version, "hosts": hosts}).to_string();
        let temporary_file = self.file.with_extension("part");
        std::fs::write(&temporary_file, text)?;
        // Recorded before the rename: the time limits of the rules must not start after controllers can read the list.
        for (name, entry) in &self.hosts {
            if before.get(name) != Some(&entry.state) {
                self.observations.record(Observation::ListedStateChanged {
                    host: name.clone(),
                    state: entry.state,
                });
            }
        }
        for name in before.keys().filter(|name| !self.hosts.contains_key(*name)) {
            self.observations.record(Observation::ListedStateChanged {
                host: name.clone(),
                state: ListedState::Gone,
            });
        }
        std::fs::rename(&temporary_file, &self.file)
    }

    /// Sets the state of the named hosts that are in the list, and writes the file.
    pub fn set_state(&mut self, hosts: &[String], state: ListedState) -> io::Result<()> {
        self.update(|list| {
            hosts
                .iter()
                .filter_map(|name| Some((name, list.get(name)?.clone())))
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|(name, entry)| {
                    drop(list.insert(name.clone(), EndpointEntry { state, ..entry }))
                });
        })
    }
}

/// Writes a settings file as JSON, which is valid Jsonnet.
pub fn write_settings(file: &Path, settings: &Value) -> io::Result<()> {
    std::fs::write(
        file,
        serde_json::to_string_pretty(settings).unwrap_or_default(),
    )
}

/// Starts `program` as a child process that is killed when its handle is dropped; its log is appended to `log`.
pub(crate) fn spawn_program(
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
