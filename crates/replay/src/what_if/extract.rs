//! Extracts the scenario of a recorded run.

use super::scenario::{ExternalInput, HostAttempts, Scenario, ScenarioEvent};
use crate::error::{ReplayError, ReplayFault};
use crate::record::Record;
use crate::segments::{self, SegmentList};
use pondarch_config::site_from_json;
use pondarch_daemon_core::Input;
use pondarch_event_log::Disk;
use pondarch_runtime_api::stat::{self, RowType, StatRow};
use std::collections::BTreeMap;
use std::ops::ControlFlow;

/// The result of extracting a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct ExtractedScenario {
    /// Scenario of the run.
    pub scenario: Scenario,
    /// Parts of the event log that could not be read.
    pub faults: Vec<ReplayFault>,
}

/// Extracts the scenario of the run with this incarnation, or of the last run if it is `None`.
///
/// # Errors
///
/// The folder cannot be read, it does not have the start of the run, or the settings of the run are not valid.
pub fn extract_scenario(
    disk: &impl Disk,
    incarnation: Option<u64>,
) -> Result<ExtractedScenario, ReplayError> {
    let SegmentList {
        segments,
        mut faults,
    } = segments::list(disk)?;
    let incarnations = segments.iter().map(|segment| segment.header.incarnation);
    let incarnation = incarnation
        .or(incarnations.max())
        .ok_or(ReplayError::NoRecords)?;
    let mut extractor = ScenarioExtractor::default();
    for segment in segments
        .iter()
        .filter(|segment| segment.header.incarnation == incarnation)
    {
        segments::read(disk, segment, &mut faults, |record| {
            extractor.apply(record);
            ControlFlow::Continue(())
        })?;
    }
    let scenario = extractor
        .scenario
        .ok_or(ReplayError::NoStart(incarnation))?;
    site_from_json(&scenario.settings).map_err(ReplayError::Settings)?;
    Ok(ExtractedScenario { scenario, faults })
}

/// Builds a scenario from the records of a run, one by one.
#[derive(Default)]
struct ScenarioExtractor {
    /// The scenario so far; `None` before the start of the run.
    scenario: Option<Scenario>,
    /// Last reported counters, by proxy number.
    counters: BTreeMap<u16, ProxyCounters>,
    /// Whether each proxy was last reachable, by proxy number.
    reachable: BTreeMap<u16, bool>,
}

impl ScenarioExtractor {
    fn apply(&mut self, record: Record) {
        match record {
            Record::Start(start) => {
                self.scenario = Some(Scenario {
                    settings: start.settings,
                    at_us: start.at_us,
                    events: Vec::new(),
                });
            }
            Record::Input { at_us, input, .. } if self.scenario.is_some() => {
                let input = self.external_input(input);
                if let (Some(scenario), Some(input)) = (&mut self.scenario, input) {
                    let after_us = at_us.saturating_sub(scenario.at_us);
                    scenario.events.push(ScenarioEvent { after_us, input });
                }
            }
            _ => {}
        }
    }

    /// Returns the external part of an input; `None` if the input only follows from decisions.
    fn external_input(&mut self, input: Input) -> Option<ExternalInput> {
        match input {
            Input::Recovered(state) => Some(ExternalInput::RecoveredState(state)),
            Input::EndpointList { generation, hosts } => {
                Some(ExternalInput::EndpointList { generation, hosts })
            }
            Input::Connected { proxy, .. } => self.observe_reachable(proxy, true),
            Input::Disconnected { proxy, .. } => self.observe_reachable(proxy, false),
            Input::Answer { proxy, text, .. } => {
                self.counters.entry(proxy).or_default().apply(proxy, &text)
            }
            Input::HealthCheckCompleted {
                host,
                for_load,
                healthy,
                load,
            } => Some(ExternalInput::HealthCheckCompleted {
                host,
                for_load,
                healthy,
                load,
            }),
            Input::DnsQueried { proxy, .. } => Some(ExternalInput::DnsQueried { proxy }),
            Input::Command { level, line, .. } => (!line.starts_with("show"))
                .then_some(ExternalInput::OperatorCommand { level, line }),
            Input::TimerExpired
            | Input::EndpointListRejected { .. }
            | Input::EventLog(_)
            | Input::SecondaryObserved { .. }
            | Input::SenderConnected { .. }
            | Input::SenderDisconnected { .. }
            | Input::ReportReceived { .. }
            | Input::MemoryUsage { .. }
            | Input::Solved { .. } => None,
        }
    }

    /// Returns an input for the first result of connecting to a proxy, and for each change after it.
    fn observe_reachable(&mut self, proxy: u16, reachable: bool) -> Option<ExternalInput> {
        let before = self.reachable.insert(proxy, reachable);
        (before != Some(reachable)).then_some(ExternalInput::ProxyReachable { proxy, reachable })
    }
}

/// Attempt counters of a proxy since its start.
#[derive(Clone, Copy, Default)]
struct AttemptCounters {
    succeeded: u64,
    failed: u64,
    succeeded_ms: u64,
}

/// The counters that one proxy last reported.
#[derive(Default)]
struct ProxyCounters {
    /// Attempts by backend and host.
    attempts: BTreeMap<(String, String), AttemptCounters>,
    /// Requests by backend.
    requests: BTreeMap<String, u64>,
}

impl ProxyCounters {
    /// Returns the increase of the counters since the last answer; `None` if the answer has no counters or none
    /// increased.
    fn apply(&mut self, proxy: u16, text: &str) -> Option<ExternalInput> {
        if !text.starts_with("# pxname") {
            return None;
        }
        let mut requests = Vec::new();
        let mut attempts = Vec::new();
        // An answer that is not a statistics table has no counters.
        for row in stat::read(text).ok()? {
            match row.row_type {
                RowType::Backend => requests.push(self.apply_backend(row)),
                RowType::Server => attempts.extend(self.apply_server(row)),
                _ => {}
            }
        }
        requests.retain(|(_, count)| *count > 0);
        (!requests.is_empty() || !attempts.is_empty()).then_some(ExternalInput::ProxyTraffic {
            proxy,
            requests,
            attempts,
        })
    }

    fn apply_backend(&mut self, row: StatRow) -> (String, u64) {
        let before = self.requests.insert(row.backend.clone(), row.requests);
        (row.backend, increase(row.requests, before.unwrap_or(0)))
    }

    fn apply_server(&mut self, row: StatRow) -> Option<HostAttempts> {
        let sums = row.exact_totals?;
        let now = AttemptCounters {
            succeeded: sums.succeeded,
            failed: sums.failed,
            succeeded_ms: sums.succeeded_duration.as_millis() as u64,
        };
        let key = (row.backend.clone(), row.server.clone());
        let before = self.attempts.insert(key, now).unwrap_or_default();
        let succeeded = increase(now.succeeded, before.succeeded);
        let failed = increase(now.failed, before.failed);
        (succeeded + failed > 0).then(|| HostAttempts {
            backend: row.backend,
            host: row.server,
            succeeded,
            failed,
            succeeded_ms: increase(now.succeeded_ms, before.succeeded_ms),
        })
    }
}

/// Returns the increase of a counter. A counter that is lower than before was reset, and counts from zero.
fn increase(now: u64, before: u64) -> u64 {
    if now >= before { now - before } else { now }
}
