//! The proxy over real sockets, with failing hosts, malformed requests and conflicting controllers.

mod harness;

use harness::*;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn static_hosts_serve_until_a_controller_sends_a_table() {
    let (a, b) = (
        Host::start(HostBehavior::Responds).await,
        Host::start(HostBehavior::Responds).await,
    );
    let mut test_proxy = TestProxy::start(&[&a], SETTINGS).await;
    assert_eq!(test_proxy.get("/proof").await.0, 200);
    assert_eq!(test_proxy.get("/nothing").await.0, 404);
    assert_eq!(test_proxy.info_field("TableVersion").await, "standing");
    let mut commands = add_server_commands("proof", "b", &b, 10).to_vec();
    commands.push("set server proof/h0 state maint".into());
    test_proxy.send_updates(&commands).await;
    for _ in 0..5 {
        assert_eq!(test_proxy.get("/proof").await.0, 200);
    }
    assert_eq!((a.request_count(), b.request_count()), (1, 5));
    let request_head = b.request_heads.lock().expect("a lock")[0].clone();
    assert!(
        request_head.contains("x-pondarch-table: steward:1/1")
            && request_head.contains("x-pondarch-proxy: front"),
        "{request_head}"
    );
    assert!(
        request_head.contains("host: a") && !request_head.contains("connection: close"),
        "{request_head}"
    );
    assert_eq!(test_proxy.info_field("StewardConnected").await, "1");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn last_ready_hosts_serve_for_a_while_if_a_table_lists_no_ready_host() {
    let (a, b) = (
        Host::start(HostBehavior::Responds).await,
        Host::start(HostBehavior::Responds).await,
    );
    let mut test_proxy = TestProxy::start(&[&a, &b], SETTINGS).await;
    // One host is draining, the other is only taken out of the table: only the latter may still serve.
    test_proxy
        .send_updates(&[
            "set server proof/h0 state drain".into(),
            "set server proof/h1 state maint".into(),
        ])
        .await;
    for _ in 0..10 {
        assert_eq!(test_proxy.get("/proof").await.0, 200);
    }
    assert_eq!((a.request_count(), b.request_count()), (0, 10));
    assert!(
        test_proxy
            .info_field("Kinds")
            .await
            .contains("proof=last ready")
    );
    tokio::time::sleep(Duration::from_millis(650)).await;
    let (status, text) = test_proxy.get("/proof").await;
    assert!(status == 503 && text.contains("retry-after: 1"), "{text}");
    assert!(
        test_proxy
            .info_field("Kinds")
            .await
            .contains("proof=no host")
    );
    assert_eq!(test_proxy.get("/release").await.0, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn older_versions_and_displaced_controllers_are_rejected() {
    let (a, b) = (
        Host::start(HostBehavior::Responds).await,
        Host::start(HostBehavior::Responds).await,
    );
    let mut test_proxy = TestProxy::start(&[&a], SETTINGS).await;
    let table = |number: u64, host: &str, state: &str| {
        format!("add map pond_state table s:9/{number}; set server proof/{host} state {state}")
    };
    test_proxy
        .send_commands(&format!("add server proof/b {} weight 5", b.addr))
        .await;
    test_proxy.send_commands(&table(5, "b", "ready")).await;
    test_proxy.send_commands(&table(6, "h0", "maint")).await;
    // An older version arrives late, and the current one twice.
    assert!(
        test_proxy
            .send_commands(&table(4, "h0", "ready"))
            .await
            .contains("Refused")
    );
    test_proxy.send_commands(&table(6, "h0", "maint")).await;
    for _ in 0..5 {
        test_proxy.get("/proof").await;
    }
    assert_eq!((a.request_count(), b.request_count()), (0, 5));
    // Another controller on a newer connection takes over; the first one is rejected until the other disconnects.
    let mut other_controller = test_proxy.another_controller().await;
    exchange(
        &mut other_controller,
        "add map pond_state table t:1/1; set server proof/h0 state ready",
        2,
    )
    .await;
    assert!(
        test_proxy
            .send_commands(&table(7, "b", "maint"))
            .await
            .contains("taken over")
    );
    drop(other_controller);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let after = test_proxy.send_commands(&table(7, "b", "maint")).await;
    assert!(!after.contains("Refused"), "{after}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_tables_and_invalid_servers() {
    let a = Host::start(HostBehavior::Responds).await;
    let mut test_proxy = TestProxy::start(&[&a], SETTINGS).await;
    for start in (0..10_100).step_by(100) {
        let adds: Vec<String> = (start..start + 100)
            .map(|n| format!("add server proof/x{n} 127.9.0.1:9 weight 1"))
            .collect();
        test_proxy.send_updates(&adds).await;
    }
    assert!(
        test_proxy
            .send_commands("add server proof/more 127.9.0.1:9")
            .await
            .contains("full")
    );
    assert_eq!(test_proxy.get("/proof").await.0, 200);
    assert!(
        test_proxy
            .send_commands("add server nokind/x 127.9.0.1:9")
            .await
            .contains("No such backend")
    );
    assert!(
        test_proxy
            .send_commands("add server release/h0 127.9.0.1:9")
            .await
            .contains("Already exists")
    );
    test_proxy
        .send_updates(&["set server release/h0 weight 0".into()])
        .await;
    tokio::time::sleep(Duration::from_millis(650)).await;
    assert_eq!(test_proxy.get("/release").await.0, 503);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn non_idempotent_requests_are_retried_only_if_unprocessed() {
    let (good, bad) = (
        Host::start(HostBehavior::Responds).await,
        Host::start(HostBehavior::Closes).await,
    );
    let dead = Host::start(HostBehavior::Responds).await;
    // Ejection is disabled, so that requests keep going to the failing host.
    let mut test_proxy = TestProxy::start(
        &[&good, &bad],
        &SETTINGS.replace(
            "seed: 5,",
            "seed: 5, avoid: { after: 0 }, further_tries: 1,",
        ),
    )
    .await;
    let add_dead = add_server_commands("release", "dead", &dead, 100).to_vec();
    drop(dead);
    test_proxy
        .send_updates(&["add map pond_tries release failure-twice".into()])
        .await;
    // A host that reads the request and closes may have processed it: no retry, whatever the retry policy.
    let mut failed = 0;
    for _ in 0..20 {
        failed += usize::from(test_proxy.get("/release").await.0 == 502);
    }
    assert!(failed > 0);
    assert_eq!(good.request_count() + bad.request_count(), 20);
    // A host that cannot be reached, or states so, has not processed the request: it is retried.
    let mut commands = add_dead;
    commands.extend([
        "set server release/h1 state maint".into(),
        "set map pond_tries release unsent".into(),
    ]);
    test_proxy.send_updates(&commands).await;
    for _ in 0..20 {
        assert_eq!(test_proxy.get("/release").await.0, 200);
    }
    *bad.behavior.lock().expect("a lock") = HostBehavior::RejectsUnprocessed;
    test_proxy
        .send_updates(&[
            "set server release/h1 state ready".into(),
            "set server release/dead state maint".into(),
        ])
        .await;
    for _ in 0..20 {
        assert_eq!(test_proxy.get("/release").await.0, 200);
    }
    *bad.behavior.lock().expect("a lock") = HostBehavior::Rejects;
    let mut rejected = 0;
    for _ in 0..20 {
        rejected += usize::from(test_proxy.get("/release").await.0 == 503);
    }
    assert!(
        rejected > 0,
        "an error without proof that the request is unprocessed is returned to the client"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn missing_response_body_ends_at_the_deadline_and_counts_as_a_failure() {
    let a = Host::start(HostBehavior::SendsHeadOnly).await;
    let mut test_proxy = TestProxy::start(&[&a], SETTINGS).await;
    let started_at = Instant::now();
    let (status, text) = test_proxy.get("/proof").await;
    assert!(started_at.elapsed() < Duration::from_millis(1_200));
    assert!(
        status == 200 && !text.ends_with("ok"),
        "response not cut off: {text}"
    );
    assert_eq!(test_proxy.attempt_counts("proof").await["h0"], (0, 1));
    *a.behavior.lock().expect("a lock") = HostBehavior::Responds;
    assert_eq!(test_proxy.get("/proof").await.0, 200);
    assert_eq!(test_proxy.attempt_counts("proof").await["h0"], (1, 1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn client_disconnects_do_not_count_as_failures() {
    let a = Host::start(HostBehavior::RespondsAfter(400)).await;
    let mut test_proxy = TestProxy::start(&[&a], SETTINGS).await;
    for _ in 0..5 {
        let mut stream = TcpStream::connect(test_proxy.proxy.addr)
            .await
            .expect("a connection to the proxy");
        stream
            .write_all(b"GET /proof HTTP/1.1\r\nhost: a\r\n\r\n")
            .await
            .expect("the request is written");
        tokio::time::sleep(Duration::from_millis(60)).await;
        drop(stream);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(test_proxy.attempt_counts("proof").await["h0"], (0, 0));
    assert_eq!(test_proxy.info_field("KeptAwayFrom").await, "-");
    assert_eq!(test_proxy.get("/proof").await.0, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_requests_are_rejected() {
    let a = Host::start(HostBehavior::Responds).await;
    let test_proxy = TestProxy::start(&[&a], SETTINGS).await;
    let addr = test_proxy.proxy.addr;
    let head =
        |lines: &str, body: &str| format!("POST /proof HTTP/1.1\r\nhost: a\r\n{lines}\r\n{body}");
    for lines in [
        "content-length: 3\r\ncontent-length: 4\r\n",
        "content-length: 3\r\ncontent-length: 3\r\n",
        "content-length: 3\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 3\r\n",
        "transfer-encoding: chunked, identity\r\n",
    ] {
        let (status, text) = send_raw(addr, head(lines, "0\r\n\r\n").as_bytes()).await;
        assert_eq!(status, 400, "{lines}: {text}");
    }
    assert_eq!(a.request_count(), 0, "a malformed request reached a host");
    let (status, _) = send_raw(
        addr,
        head("transfer-encoding: chunked\r\n", "2\r\nab\r\n0\r\n\r\n").as_bytes(),
    )
    .await;
    assert_eq!((status, a.request_count()), (200, 1));
    let huge = format!("GET /proof HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(1 << 20));
    let (status, text) = send_raw(addr, huge.as_bytes()).await;
    assert!(status == 431 || text.is_empty(), "{text}");
    // A head that never ends: the connection is closed within the limit, and other clients are served meanwhile.
    let started_at = Instant::now();
    let slow = tokio::spawn(async move { send_raw(addr, b"GET /proof HTTP/1.1\r\nhost").await });
    assert_eq!(test_proxy.get("/proof").await.0, 200);
    slow.await.expect("a closed connection");
    assert!(started_at.elapsed() < Duration::from_secs(3));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_over_a_quota_or_a_full_queue_are_rejected_at_once() {
    let a = Host::start(HostBehavior::RespondsAfter(300)).await;
    let settings = SETTINGS.replace("limits: {", "limits: { at_host: 2, waiting: 2, ");
    let mut test_proxy = TestProxy::start(&[&a], &settings).await;
    test_proxy
        .send_updates(&[
            "add map pond_levels proof 0".into(),
            "add map pond_levels release 1/s".into(),
        ])
        .await;
    let (status, text) = test_proxy.get("/proof").await;
    assert!(status == 503 && text.contains("retry-after: 1"), "{text}");
    let mut statuses = Vec::new();
    for _ in 0..4 {
        statuses.push(test_proxy.get("/release").await.0);
    }
    assert!(
        statuses.starts_with(&[200]) && statuses.contains(&429),
        "{statuses:?}"
    );
    test_proxy
        .send_updates(&[
            "set map pond_levels proof 100".into(),
            "set map pond_levels release 100".into(),
        ])
        .await;
    // Two requests at the host, two in the queue, and one too many of the class with the lowest priority weight.
    let addr = test_proxy.proxy.addr;
    let send_request = |path: &'static str| {
        let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        tokio::spawn(async move { send_raw(addr, request.as_bytes()).await.0 })
    };
    let mut responses = Vec::new();
    for path in ["/proof", "/proof", "/proof", "/release", "/release"] {
        responses.push(send_request(path));
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    let mut statuses = Vec::new();
    for response in responses {
        statuses.push(response.await.expect("a response"));
    }
    assert_eq!(statuses, [200, 200, 503, 200, 200]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_and_reload_drop_no_requests() {
    let a = Host::start(HostBehavior::RespondsAfter(300)).await;
    let test_proxy = TestProxy::start(&[&a], SETTINGS).await;
    let addr = test_proxy.proxy.addr;
    let send_request = || {
        tokio::spawn(async move {
            send_raw(addr, b"GET /proof HTTP/1.1\r\nhost: a\r\n\r\n")
                .await
                .0
        })
    };
    let in_flight: Vec<_> = (0..8).map(|_| send_request()).collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut site = pondarch_config::read_proxy(&test_proxy.folder.path().join("site.jsonnet"))
        .expect("valid settings");
    site.limits.max_in_flight_per_host = 1;
    test_proxy.proxy.reload(&site);
    test_proxy.proxy.drain().await;
    for response in in_flight {
        assert_eq!(response.await.expect("a response"), 200);
    }
    assert!(
        TcpStream::connect(addr).await.is_err(),
        "the proxy still accepts connections"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn closed_connections_lose_and_repeat_no_request() {
    let a = Host::start(HostBehavior::Responds).await;
    let mut test_proxy = TestProxy::start(&[&a], SETTINGS).await;
    for round in 0..30 {
        // The host responds in even rounds, and closes the connection after reading the request in odd ones.
        *a.behavior.lock().expect("a lock") = if round % 2 == 0 {
            HostBehavior::Responds
        } else {
            HostBehavior::Closes
        };
        test_proxy.get("/release").await;
    }
    let (completed, failed) = test_proxy.attempt_counts("release").await["h0"];
    assert_eq!(completed + failed, 30);
    assert_eq!(a.request_count(), 30, "a request was lost or repeated");
}

/// Hosts change their behavior at any moment, die and come back at another address. Whatever the retry policy, no
/// request of `release` is processed by more than one host.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[expect(
    clippy::too_many_lines,
    reason = "one schedule: hosts, faults, requests and the check of their effects"
)]
async fn non_idempotent_requests_take_effect_once_at_most_over_fifty_seeds() {
    let mut schedules = tokio::task::JoinSet::new();
    for seed in 0..50u64 {
        schedules.spawn(async move {
            let mut random = fastrand::Rng::with_seed(seed);
            let random_behavior = |random: &mut fastrand::Rng| match random.u8(0..7) {
                0 => HostBehavior::Closes,
                1 => HostBehavior::Rejects,
                2 => HostBehavior::RejectsUnprocessed,
                3 => HostBehavior::SendsHeadOnly,
                4 => HostBehavior::RespondsAfter(random.u64(0..150)),
                _ => HostBehavior::Responds,
            };
            let mut hosts = Vec::new();
            for _ in 0..4 {
                hosts.push(Host::start(random_behavior(&mut random)).await);
            }
            let settings = SETTINGS
                .replace("client_timeout: '1 s'", "client_timeout: '100 ms'")
                .replace("'500 ms'", "'50 ms'");
            let static_hosts: Vec<&Host> = hosts.iter().collect();
            let mut test_proxy = TestProxy::start(
                &static_hosts,
                &settings.replace("seed: 5,", &format!("seed: {seed}, further_tries: 1,")),
            )
            .await;
            let modes = ["unsent", "failure", "failure-twice"];
            test_proxy
                .send_updates(&[format!(
                    "add map pond_tries release {}",
                    modes[seed as usize % 3]
                )])
                .await;
            let (addr, mut responses) = (test_proxy.proxy.addr, tokio::task::JoinSet::new());
            let mut effects: Vec<u64> = Vec::new();
            for id in 0..60u64 {
                if random.u8(0..4) == 0 {
                    *hosts[random.usize(0..4)].behavior.lock().expect("a lock") =
                        random_behavior(&mut random);
                }
                if random.u8(0..20) == 0 {
                    let n = random.usize(0..4);
                    effects.extend(hosts[n].possible_effects());
                    hosts[n] = Host::start(random_behavior(&mut random)).await;
                    let (ip, port) = (hosts[n].addr.ip(), hosts[n].addr.port());
                    test_proxy
                        .send_updates(&[format!("set server release/h{n} addr {ip} port {port}")])
                        .await;
                }
                let request = format!(
                    "GET /release HTTP/1.1\r\nhost: a\r\nx-req: {id}\r\nconnection: close\r\n\r\n"
                );
                responses.spawn(async move { send_raw(addr, request.as_bytes()).await.0 });
                tokio::time::sleep(Duration::from_millis(3)).await;
            }
            let mut completed = 0;
            while let Some(status) = responses.join_next().await {
                completed += usize::from(status.expect("a response") == 200);
            }
            effects.extend(hosts.iter().flat_map(Host::possible_effects));
            let total = effects.len();
            effects.sort_unstable();
            effects.dedup();
            assert_eq!(
                total,
                effects.len(),
                "seed {seed}: a request took effect at two hosts"
            );
            completed
        });
    }
    let mut completed = 0;
    while let Some(completed_by_seed) = schedules.join_next().await {
        completed += completed_by_seed.expect("a finished schedule");
    }
    println!("{completed} of 3000 requests succeeded");
    assert!(
        completed > 50 * 60 / 10,
        "{completed} of 3000 requests succeeded, too few for a meaningful test"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reported_load_is_shown_and_slow_responses_are_retried() {
    let (a, slow) = (
        Host::start(HostBehavior::RespondsWithLoad).await,
        Host::start(HostBehavior::RespondsAfter(600)).await,
    );
    let settings = SETTINGS
        .replace("limits: {", "limits: { response: '150 ms', ")
        .replace("seed: 5,", "seed: 5, avoid: { after: 0 },");
    let mut test_proxy = TestProxy::start(&[&a, &slow], &settings).await;
    test_proxy
        .send_updates(&["add map pond_tries proof failure".into()])
        .await;
    let started_at = Instant::now();
    for _ in 0..6 {
        assert_eq!(
            test_proxy.get("/proof").await.0,
            200,
            "no time was left for a retry"
        );
    }
    assert!(started_at.elapsed() < Duration::from_millis(6 * 300) && slow.request_count() > 0);
    let text = test_proxy.send_commands("show stat").await;
    let rows =
        pondarch_runtime_api::stat::read(text.trim_end()).expect("a valid reply to show stat");
    let row = rows
        .iter()
        .find(|row| row.server == "h0")
        .expect("a row of h0");
    assert_eq!(
        (row.cpu_utilization, row.queued_at_host),
        (Some(0.5), Some(4.0))
    );
}
