//! A request that must take effect only once (`release`) is executed once, whichever hosts fail and however often the
//! update of the retry policy is delivered.

// Starting the components of a test takes many lines.
#![allow(clippy::too_many_lines)]

use pondarch_rehearsal::client::{Client, RequestClass};
use pondarch_rehearsal::endpoint_list::{EndpointEntry, EndpointList};
use pondarch_rehearsal::host::{Host, HostConfig};
use pondarch_rehearsal::intercepted_proxy::InterceptedProxy;
use pondarch_rehearsal::observations::{ListedState, Observation, ObservationLog, RequestOutcome};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;

async fn start_host(name: &str, observations: &ObservationLog) -> Host {
    let config = HostConfig {
        name: name.into(),
        zone: "ede".into(),
        rack: "rack".into(),
        cores: 4,
        speed: 1.0,
        initial_capacity: 1.0,
        slow_start_window: Duration::ZERO,
        warm: true,
    };
    Host::start(config, None, observations.clone())
        .await
        .expect("start a host")
}

async fn runtime_command(socket: &Path, line: &str) {
    let mut stream = UnixStream::connect(socket)
        .await
        .expect("connect to the proxy's runtime socket");
    stream
        .write_all(format!("{line}\n").as_bytes())
        .await
        .expect("write the command");
    stream.shutdown().await.expect("end the command");
    let mut reply = String::new();
    stream
        .read_to_string(&mut reply)
        .await
        .expect("read the reply");
}

/// Sends 200 requests through a proxy with this retry policy. Of its three hosts, one is stopped from the start, and
/// one is slow and stops while it executes requests. Returns how often each request was executed, and how many
/// requests failed.
async fn execution_counts(retry_policy: &str) -> (BTreeMap<u64, usize>, usize) {
    let observations = ObservationLog::default();
    let hosts = [
        start_host("good", &observations).await,
        start_host("late", &observations).await,
        start_host("dead", &observations).await,
    ];
    let folder = tempfile::tempdir().expect("create a temporary folder");
    let mut list = EndpointList::new(folder.path().join("hosts.jsonnet"), observations.clone());
    let entry = |host: &Host| EndpointEntry {
        addr: host.addr,
        zone: "ede".into(),
        rack: "rack".into(),
        weight: 1.0,
        cores: 1.0,
        started: None,
        state: ListedState::Ready,
    };
    list.update(|all| {
        all.extend(
            hosts
                .iter()
                .map(|host| (host.config.name.clone(), entry(host))),
        )
    })
    .expect("write the endpoint list");
    let [_healthy, slow, stopped] = hosts;
    let mut slow = Some(slow);
    slow.iter()
        .for_each(|slow| slow.faults.slowdown_permille.store(8_000, Relaxed));
    drop(stopped);
    let class = RequestClass {
        name: "release",
        share: 1.0,
        work: Duration::from_millis(10),
        latency_objective: Duration::from_millis(300),
        client_timeout: Duration::from_millis(400),
        priority_weight: 1.0,
        // A proxy retries a replayable class after any failure if the policy is `failure`; that is the control.
        replayable: retry_policy == "failure",
    };
    let proxy = InterceptedProxy::start(
        "front",
        "ede",
        &["ede"],
        &[class],
        list.file(),
        5,
        observations.clone(),
    )
    .await
    .expect("start a proxy");
    let socket = folder.path().join("front.sock");
    proxy.faults().duplicate_next.store(true, Relaxed);
    runtime_command(
        &socket,
        &format!("add map pond_tries release {retry_policy}"),
    )
    .await;
    assert_eq!(proxy.faults().triggered.load(Relaxed), 1);
    let mut in_flight = tokio::task::JoinSet::new();
    for id in 0..200 {
        let client = Client::new(proxy.addr);
        let (work, timeout) = (Duration::from_millis(10), Duration::from_millis(400));
        in_flight.spawn(async move { client.send("release", id, work, timeout).await });
        tokio::time::sleep(Duration::from_millis(4)).await;
        if id == 40 {
            drop(slow.take());
        }
    }
    let mut failed = 0;
    while let Some(outcome) = in_flight.join_next().await {
        failed += usize::from(outcome.expect("join a client task") == RequestOutcome::Failed);
    }
    // Hosts may still start requests whose clients have timed out.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let mut executions = BTreeMap::new();
    for (_, observation) in observations.take() {
        if let Observation::ExecutionStarted { request_id, .. } = observation {
            *executions.entry(request_id).or_insert(0) += 1;
        }
    }
    (executions, failed)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_unprocessed_requests_are_retried() {
    let (executions, failed) = execution_counts("unsent").await;
    assert!(
        executions.values().all(|count| *count == 1),
        "{executions:?}"
    );
    assert!(
        executions.len() > 100 && failed > 0,
        "{} executed, {failed} failed",
        executions.len()
    );
}

/// Control: with retries after any failure some requests are executed twice, and the observations show it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_executions_are_observed() {
    let (executions, _) = execution_counts("failure").await;
    assert!(
        executions.values().any(|count| *count > 1),
        "no request was executed twice"
    );
}
