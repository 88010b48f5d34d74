//! The bad day: simulated hosts, proxies and clients on loopback, controllers as separate processes, and every fault
//! that the deployment has met in operation, one after the other.

pub(crate) mod harness;
mod report;

pub(crate) use harness::{classes, runtime_command};
pub use report::{FaultReport, Report};

use crate::observations::{ListedState, Observation, ObservationLog};
use crate::rules::{self, RuleLimits};
use crate::service_level::{measure, traffic_shift};
use harness::Harness;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, sleep};

/// Why a rehearsal could not be run to its end.
#[derive(Debug, Error)]
pub enum RehearsalError {
    #[error("{context}: {error}")]
    Io {
        context: String,
        error: std::io::Error,
    },
    #[error("not all proxies joined a controller within {0} s; the logs are in {1}")]
    NotJoined(u64, PathBuf),
    #[error("a process ended unexpectedly or does not answer: {0}; its log is in {1}")]
    ProcessFailed(String, PathBuf),
    #[error("cannot start a proxy: {0}")]
    Proxy(#[from] pondarch_proxy::ProxyError),
    #[error(transparent)]
    Trace(#[from] crate::request_trace::TraceError),
    #[error("cannot render the report: {0}")]
    Report(#[from] minijinja::Error),
}

/// How proxies get their tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableSource {
    RuntimeApi,
    /// From DNS, by plain proxies with a cache.
    Dns,
    /// Half of the proxies of each controller each way.
    Mixed,
}

impl TableSource {
    /// Whether the proxy with this index uses DNS.
    fn uses_dns(self, n: usize, controllers: usize) -> bool {
        match self {
            TableSource::RuntimeApi => false,
            TableSource::Dns => true,
            TableSource::Mixed => (n / controllers) % 2 == 1,
        }
    }
}

/// Size and timing of a bad day. All durations are real time.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub hosts: usize,
    pub proxies: usize,
    pub controllers: usize,
    pub table_source: TableSource,
    /// Controllers write an event log and recover from it.
    pub event_log: bool,
    /// Requests per second, over all proxies.
    pub request_rate: f64,
    /// Time without faults before the first fault.
    pub initial_quiet_period: Duration,
    /// Time without faults between two faults.
    pub quiet_period: Duration,
    pub slow_host_duration: Duration,
    pub unresponsive_host_duration: Duration,
    /// Number of hosts replaced in each batch of the rolling deploy.
    pub deploy_batches: Vec<usize>,
    pub batch_interval: Duration,
    pub controller_downtime: Duration,
    pub wrong_list_duration: Duration,
    pub initial_capacity: f64,
    pub slow_start_window: Duration,
    pub limits: RuleLimits,
}

impl Plan {
    /// The full day: about 80 s, 20 hosts in 4 zones, 12 proxies, 2 controllers.
    pub fn full(seed: u64) -> Plan {
        Plan {
            seed,
            hosts: 20,
            proxies: 12,
            controllers: 2,
            table_source: TableSource::RuntimeApi,
            event_log: false,
            request_rate: 160.0,
            initial_quiet_period: Duration::from_secs(8),
            quiet_period: Duration::from_secs(5),
            slow_host_duration: Duration::from_secs(10),
            unresponsive_host_duration: Duration::from_secs(8),
            deploy_batches: vec![3, 2, 2],
            batch_interval: Duration::from_secs(3),
            controller_downtime: Duration::from_secs(2),
            wrong_list_duration: Duration::from_secs(4),
            initial_capacity: 0.17,
            slow_start_window: Duration::from_secs(6),
            limits: limits(),
        }
    }

    /// A shorter day for tests: the same faults on fewer hosts and for less time.
    pub fn short(seed: u64) -> Plan {
        Plan {
            hosts: 12,
            proxies: 6,
            request_rate: 80.0,
            initial_quiet_period: Duration::from_secs(3),
            quiet_period: Duration::from_millis(1_500),
            slow_host_duration: Duration::from_secs(5),
            unresponsive_host_duration: Duration::from_secs(4),
            deploy_batches: vec![2],
            controller_downtime: Duration::from_millis(500),
            wrong_list_duration: Duration::from_secs(3),
            slow_start_window: Duration::from_secs(4),
            ..Plan::full(seed)
        }
    }

    /// The same day with another table source. With DNS the drain grace period is longer, because the TTL of answers is
    /// counted in whole seconds.
    pub fn with_table_source(self, table_source: TableSource) -> Plan {
        let drain_grace_period = if table_source == TableSource::RuntimeApi {
            self.limits.drain_grace_period
        } else {
            Duration::from_secs(4)
        };
        Plan {
            table_source,
            limits: RuleLimits {
                drain_grace_period,
                ..self.limits
            },
            ..self
        }
    }
}

pub(crate) fn limits() -> RuleLimits {
    RuleLimits {
        max_unserved: Duration::from_secs(2),
        drain_grace_period: Duration::from_secs(2),
        max_overload_ratio: 2.5,
        overload_window: Duration::from_secs(2),
        message_cap: 12,
        message_window: Duration::from_secs(10),
        max_queued_lines: 4_000,
        single_execution_classes: ["release".to_string()].into(),
    }
}

/// Runs the day in this folder, with `program` as the controllers. Everything that it started has ended when it
/// returns.
///
/// # Errors
///
/// A component could not be started or stopped responding. Violated rules are part of the report instead.
pub async fn run(plan: Plan, program: &Path, folder: &Path) -> Result<Report, RehearsalError> {
    let observations = ObservationLog::default();
    let mut harness = Harness::start(&plan, program, folder, observations.clone()).await?;
    harness.wait_joined().await?;
    let duration = harness.script_duration(&plan);
    let clients = harness.client_load(&plan, Instant::now() + duration);
    let faults = {
        let script = script(&plan, &mut harness, &observations);
        tokio::pin!(clients, script);
        // Both run to their ends; an error of the script is returned after that.
        let ((), faults) = tokio::join!(&mut clients, &mut script);
        faults?
    };
    harness.shut_down().await;
    let observations = observations.take();
    let violations = rules::check(&observations, &plan.limits);
    Ok(report::report(
        &plan,
        &observations,
        faults,
        violations,
        &classes(),
    ))
}

/// A fault that the script injected.
pub(crate) struct InjectedFault {
    name: &'static str,
    began: Duration,
    ended: Duration,
    /// The host that traffic should move away from.
    host: Option<String>,
}

async fn script(
    plan: &Plan,
    harness: &mut Harness,
    observations: &ObservationLog,
) -> Result<Vec<InjectedFault>, RehearsalError> {
    let mut faults = Vec::new();
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    sleep(plan.initial_quiet_period).await;

    let slow = harness.random_host_in(&mut rng, "arnhem");
    let began = begin_fault(observations, "a host slows 6 times");
    harness.set_host_faults(&slow, |host| host.slowdown_permille.store(6_000, Relaxed));
    sleep(plan.slow_host_duration).await;
    harness.set_host_faults(&slow, |host| host.slowdown_permille.store(1_000, Relaxed));
    faults.push(end_fault(
        observations,
        "a host slows 6 times",
        began,
        Some(slow.clone()),
    ));
    sleep(plan.quiet_period).await;

    let unresponsive = harness.random_host_in(&mut rng, "utrecht");
    let began = begin_fault(observations, "a host goes silent");
    harness.set_host_faults(&unresponsive, |host| host.unresponsive.store(true, Relaxed));
    sleep(plan.unresponsive_host_duration).await;
    harness.set_host_faults(&unresponsive, |host| {
        host.unresponsive.store(false, Relaxed)
    });
    faults.push(end_fault(
        observations,
        "a host goes silent",
        began,
        Some(unresponsive.clone()),
    ));
    sleep(plan.quiet_period).await;

    let began = begin_fault(observations, "a rolling deploy");
    for &batch in &plan.deploy_batches {
        let old = harness.replaceable(batch, &[&slow, &unresponsive]);
        harness.replace_hosts(&old).await?;
        sleep(plan.limits.drain_grace_period + Duration::from_millis(200)).await;
        harness
            .list
            .update(|list| list.retain(|name, _| !old.contains(name)))
            .map_err(list_error)?;
        old.iter().for_each(|name| harness.kill_host(name));
        sleep(
            plan.batch_interval
                .saturating_sub(plan.limits.drain_grace_period),
        )
        .await;
    }
    sleep(plan.slow_start_window / 2).await;
    faults.push(end_fault(observations, "a rolling deploy", began, None));
    sleep(plan.quiet_period).await;

    let restarted = harness.random_host_in(&mut rng, "amersfoort");
    let began = begin_fault(observations, "a host starts anew under its name");
    harness.restart_host(&restarted).await?;
    sleep(plan.slow_start_window).await;
    faults.push(end_fault(
        observations,
        "a host starts anew under its name",
        began,
        None,
    ));
    sleep(plan.quiet_period).await;

    for (name, proxy) in [("a socket drops halfway", 0), ("a batch comes twice", 1)] {
        // Only proxies with a runtime socket receive updates.
        if harness.proxies.len() <= proxy {
            continue;
        }
        let began = begin_fault(observations, name);
        let socket_faults = harness.proxies[proxy].faults();
        let triggered_before = socket_faults.triggered.load(Relaxed);
        if proxy == 0 {
            socket_faults.disconnect_after.store(2, Relaxed);
        } else {
            socket_faults.duplicate_next.store(true, Relaxed);
        }
        // Weight changes by an operator change tables, and the resulting updates trigger the fault.
        harness
            .change_every_other_host(proxy % plan.controllers, "weight 2")
            .await?;
        let deadline = Instant::now() + Duration::from_secs(4);
        while harness.proxies[proxy].faults().triggered.load(Relaxed) == triggered_before
            && Instant::now() < deadline
        {
            sleep(Duration::from_millis(50)).await;
        }
        sleep(plan.quiet_period / 2).await;
        faults.push(end_fault(observations, name, began, None));
    }

    let began = begin_fault(observations, "a steward is killed");
    harness.kill_controller(0).await;
    sleep(plan.controller_downtime).await;
    harness.start_controller(0)?;
    harness.wait_joined().await?;
    faults.push(end_fault(observations, "a steward is killed", began, None));
    sleep(plan.quiet_period).await;

    let wrongly_removed = harness.random_host_in(&mut rng, "ede");
    let began = begin_fault(observations, "the list calls a serving host gone");
    harness
        .list
        .set_state(std::slice::from_ref(&wrongly_removed), ListedState::Gone)
        .map_err(list_error)?;
    sleep(plan.wrong_list_duration).await;
    harness
        .list
        .set_state(std::slice::from_ref(&wrongly_removed), ListedState::Ready)
        .map_err(list_error)?;
    faults.push(end_fault(
        observations,
        "the list calls a serving host gone",
        began,
        None,
    ));
    sleep(plan.quiet_period).await;
    Ok(faults)
}

fn list_error(error: std::io::Error) -> RehearsalError {
    RehearsalError::Io {
        context: "cannot write the endpoint list".into(),
        error,
    }
}

fn begin_fault(observations: &ObservationLog, name: &'static str) -> Duration {
    observations.record(Observation::Fault { name, active: true });
    observations.elapsed()
}

fn end_fault(
    observations: &ObservationLog,
    name: &'static str,
    began: Duration,
    host: Option<String>,
) -> InjectedFault {
    observations.record(Observation::Fault {
        name,
        active: false,
    });
    InjectedFault {
        name,
        began,
        ended: observations.elapsed(),
        host,
    }
}

/// Measures the service level before, during and after a fault, and how fast traffic moved off the affected host.
pub(crate) fn fault_report(
    plan: &Plan,
    observations: &[(Duration, Observation)],
    fault: &InjectedFault,
    classes: &[crate::client::RequestClass],
) -> FaultReport {
    let share = |from, to| measure(observations, classes, from, to).share();
    let (began, ended) = (fault.began, fault.ended);
    let shift = fault
        .host
        .as_ref()
        .map(|host| traffic_shift(observations, host, began, plan.quiet_period));
    let seconds = |duration: Option<Duration>| duration.map(|duration| duration.as_secs_f64());
    FaultReport {
        name: fault.name,
        start_s: began.as_secs_f64(),
        duration_s: (ended - began).as_secs_f64(),
        before: share(began.saturating_sub(plan.quiet_period), began),
        during: share(began, ended),
        after: share(ended, ended + plan.quiet_period),
        first_shift_s: shift.and_then(|(first, _)| seconds(first)),
        half_shifted_s: shift.and_then(|(_, half)| seconds(half)),
    }
}
