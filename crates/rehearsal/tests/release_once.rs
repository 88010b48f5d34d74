//! A `release` runs once, whatever hosts do and however often the order of further tries is delivered.

use pondarch_rehearsal::facts::{Fact, Facts};
use pondarch_rehearsal::host::{Host, Make};
use pondarch_rehearsal::proxy::{Proxy, Req};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;

async fn host(name: &str, facts: &Facts) -> Host {
    let make = Make {
        name: name.into(),
        zone: "ede".into(),
        rack: "rack".into(),
        cores: 4,
        start_share: 1.0,
        warm_within: Duration::ZERO,
        warm: true,
    };
    Host::start(make, None, facts.clone()).await.expect("a host")
}

async fn tell(socket: &Path, line: &str) {
    let mut stream = UnixStream::connect(socket).await.expect("the proxy's socket");
    stream.write_all(format!("{line}\n").as_bytes()).await.expect("written");
    stream.shutdown().await.expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("answered");
}

/// Times that each of 200 reqs ran, with these further tries: one host is dead, one is slow and dies over its work.
async fn ran(tries: &str) -> (BTreeMap<u64, usize>, usize) {
    let facts = Facts::default();
    let hosts = [host("good", &facts).await, host("late", &facts).await, host("dead", &facts).await];
    let standing: Vec<_> = hosts.iter().map(|host| (host.make.name.clone(), host.addr)).collect();
    let [_good, late, dead] = hosts;
    let mut late = Some(late);
    late.iter().for_each(|late| late.trouble.slower.store(8_000, Relaxed));
    drop(dead);
    let socket = std::env::temp_dir().join(format!("pondarch-once-{}-{tries}.sock", std::process::id()));
    let proxy =
        Proxy::start("front", 1, socket.clone(), &["release"], &standing, 5, facts.clone()).expect("a proxy");
    proxy.faults().twice.store(true, Relaxed);
    tell(&socket, &format!("add map pond_tries release {tries}")).await;
    assert_eq!(proxy.faults().used.load(Relaxed), 1);
    let mut open = tokio::task::JoinSet::new();
    for id in 0..200 {
        let (proxy, work) = (proxy.handle(), Duration::from_millis(10));
        let req = Req { id, kind: "release".into(), work, client_timeout: Duration::from_millis(400) };
        open.spawn(async move { proxy.serve(req).await });
        tokio::time::sleep(Duration::from_millis(4)).await;
        if id == 40 {
            drop(late.take());
        }
    }
    let mut errored = 0;
    while let Some(how) = open.join_next().await {
        errored += usize::from(how.expect("served") == pondarch_rehearsal::facts::How::Errored);
    }
    // What was given up may still begin.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let mut ran = BTreeMap::new();
    for (_, fact) in facts.take() {
        if let Fact::Ran { req, .. } = fact {
            *ran.entry(req).or_insert(0) += 1;
        }
    }
    std::fs::remove_file(socket).ok();
    (ran, errored)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_proof_that_it_never_ran_leads_to_another_try() {
    let (ran, errored) = ran("unsent").await;
    assert!(ran.values().all(|times| *times == 1), "{ran:?}");
    assert!(ran.len() > 100 && errored > 0, "{} ran, {errored} errored", ran.len());
}

/// The ledger sees it where it happens: tries after any failure run some twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_ledger_sees_what_runs_twice() {
    let (ran, _) = ran("failure").await;
    assert!(ran.values().any(|times| *times > 1), "nothing ran twice");
}
