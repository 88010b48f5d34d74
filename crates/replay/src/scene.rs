//! The troubles of a run without its decisions: what came from outside, which would have come whatever was decided. Proxies'
//! answers are not among it (they follow from orders), what their clients and hosts did is.

use crate::record::Record;
use crate::runs::{self, Flaw, HistoryError};
use pondarch_config::{HostEntry, site_from_text};
use pondarch_daemon_core::{Input, RecoveredState, ReportedLoad};
use pondarch_event_log::Disk;
use pondarch_runtime_api::stat::{self, RowType};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A scene as a file: JSON, which is Jsonnet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scene {
    /// The settings, evaluated, as JSON.
    pub settings: String,
    pub at_us: u64,
    /// In order of time.
    pub course: Vec<Moment>,
}

/// Something that happens, so long after the beginning.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Moment {
    pub after_us: u64,
    pub what: What,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum What {
    /// What an earlier run knew.
    Known(Box<RecoveredState>),
    List {
        version: Option<u64>,
        hosts: Vec<HostEntry>,
    },
    /// A proxy can be dialled, or no more.
    Proxy {
        proxy: u16,
        up: bool,
    },
    /// What a proxy's clients brought and its hosts did since its last word, by kind's backend.
    Traffic {
        proxy: u16,
        reqs: Vec<(String, u64)>,
        met: Vec<Met>,
    },
    Probed {
        host: String,
        for_load: bool,
        good: bool,
        load: Option<ReportedLoad>,
    },
    Asked {
        proxy: Option<u16>,
    },
    Operator {
        level: u8,
        line: String,
    },
}

/// What one host did with the tries of one backend of one proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Met {
    pub backend: String,
    pub host: String,
    pub done: u64,
    pub errored: u64,
    pub done_ms: u64,
}

/// Counters of one proxy as it last told them, by backend and server; and reqs by backend.
#[derive(Default)]
struct Counters {
    met: BTreeMap<(String, String), (u64, u64, u64)>,
    reqs: BTreeMap<String, u64>,
}

/// The scene of one run: the last one, or the one of this epoch.
///
/// Errors: the folder cannot be read, or has no start of such a run.
pub fn of_run(disk: &impl Disk, epoch: Option<u64>) -> Result<(Scene, Vec<Flaw>), HistoryError> {
    let (places, mut flaws) = runs::places(disk)?;
    let epoch = epoch
        .or(places.iter().map(|place| place.head.incarnation).max())
        .ok_or(HistoryError::Nothing)?;
    let mut scene: Option<Scene> = None;
    let (mut counters, mut up): (BTreeMap<u16, Counters>, BTreeMap<u16, bool>) = Default::default();
    for place in places
        .iter()
        .filter(|place| place.head.incarnation == epoch)
    {
        runs::read(disk, place, &mut flaws, |_, record| {
            match (record, &mut scene) {
                (Record::Start(start), _) => {
                    scene = Some(Scene {
                        settings: start.settings,
                        at_us: start.at_us,
                        course: Vec::new(),
                    });
                }
                (Record::Input { at_us, input, .. }, Some(scene)) => {
                    let after_us = at_us.saturating_sub(scene.at_us);
                    if let Some(what) = what(input, &mut counters, &mut up) {
                        scene.course.push(Moment { after_us, what });
                    }
                }
                _ => {}
            }
            true
        })?;
    }
    let scene = scene
        .ok_or_else(|| HistoryError::Scene(format!("the start of run {epoch} is not on record")))?;
    site_from_text(&scene.settings).map_err(|wrong| HistoryError::Settings(wrong.to_string()))?;
    Ok((scene, flaws))
}

fn what(
    input: Input,
    counters: &mut BTreeMap<u16, Counters>,
    up: &mut BTreeMap<u16, bool>,
) -> Option<What> {
    match input {
        Input::Recovered(known) => Some(What::Known(known)),
        Input::EndpointList {
            generation: version,
            hosts,
        } => Some(What::List { version, hosts }),
        // The first connection, or the first failed dial, and each change after it.
        Input::Connected { proxy, .. } => {
            (up.insert(proxy, true) != Some(true)).then_some(What::Proxy { proxy, up: true })
        }
        Input::Disconnected { proxy, .. } => {
            (up.insert(proxy, false) != Some(false)).then_some(What::Proxy { proxy, up: false })
        }
        Input::Answer { proxy, text, .. } => {
            traffic(proxy, &text, counters.entry(proxy).or_default())
        }
        Input::HealthCheckCompleted {
            host,
            for_load,
            healthy: good,
            load,
        } => Some(What::Probed {
            host,
            for_load,
            good,
            load,
        }),
        Input::ReportReceived { .. } => None,
        Input::DnsQueried { proxy, .. } => Some(What::Asked { proxy }),
        Input::Command { level, line, .. } => {
            (!line.starts_with("show")).then_some(What::Operator { level, line })
        }
        Input::TimerExpired
        | Input::EndpointListRejected { .. }
        | Input::EventLog(_)
        | Input::SecondaryObserved { .. }
        | Input::SenderConnected { .. }
        | Input::SenderDisconnected { .. }
        | Input::MemoryUsage { .. }
        | Input::Solved { .. } => None,
    }
}

/// The difference of a proxy's sums to those it told last; none: it is no such answer, or nothing happened.
fn traffic(proxy: u16, text: &str, last: &mut Counters) -> Option<What> {
    if !text.starts_with("# pxname") {
        return None;
    }
    let (mut reqs, mut met) = (Vec::new(), Vec::new());
    for row in stat::read(text).ok()? {
        // One that fell back began anew.
        let more = |now: u64, then: u64| if now >= then { now - then } else { now };
        match (row.of, row.sums) {
            (RowType::Backend, _) => {
                let then = last.reqs.insert(row.backend.clone(), row.reqs).unwrap_or(0);
                reqs.push((row.backend, more(row.reqs, then)));
            }
            (RowType::Server, Some(sums)) => {
                let now = (sums.done, sums.errored, sums.done_time.as_millis() as u64);
                let key = (row.backend.clone(), row.server.clone());
                let then = last.met.insert(key, now).unwrap_or_default();
                let (done, errored) = (more(now.0, then.0), more(now.1, then.1));
                if done + errored > 0 {
                    let done_ms = more(now.2, then.2);
                    met.push(Met {
                        backend: row.backend,
                        host: row.server,
                        done,
                        errored,
                        done_ms,
                    });
                }
            }
            _ => {}
        }
    }
    reqs.retain(|(_, many)| *many > 0);
    (!reqs.is_empty() || !met.is_empty()).then_some(What::Traffic { proxy, reqs, met })
}
