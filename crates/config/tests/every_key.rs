//! Reads files that have every key of the settings, and checks that each value arrives in the field of its key.

use pondarch_config::{
    DurationSetting, ProxySettings, SiteSettings, read_hosts, read_plan, read_proxy, read_site,
};
use pondarch_runtime_api::Level;
use std::path::{Path, PathBuf};

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

fn site() -> SiteSettings {
    read_site(&fixtures().join("site.jsonnet")).expect("settings of a site")
}

fn proxy() -> ProxySettings {
    read_proxy(&fixtures().join("proxy.jsonnet")).expect("settings of a proxy")
}

/// A path relative to the fixtures, resolved.
fn resolved(name: &str) -> String {
    fixtures().join(name).display().to_string()
}

fn text(duration: DurationSetting) -> String {
    duration.to_string()
}

#[test]
fn names_request_classes_and_proxies_of_a_site() {
    let site = site();
    assert_eq!(
        (site.name.as_str(), site.zones.join(" ").as_str()),
        ("steward-1", "ede arnhem")
    );
    let class = &site.request_classes[0];
    assert_eq!(
        (class.name.as_str(), class.backend.as_deref()),
        ("proof", Some("proof-backend"))
    );
    assert_eq!(
        (text(class.latency_objective), text(class.client_timeout)),
        ("1500 ms".into(), "4 s".into())
    );
    assert_eq!((class.priority_weight, class.zone_local), (2.5, true));
    let durations: Vec<String> = site
        .request_classes
        .iter()
        .flat_map(|class| [text(class.latency_objective), text(class.client_timeout)])
        .collect();
    assert_eq!(
        durations,
        ["1500 ms", "4 s", "250 us", "60 s", "1 s", "3600 s"]
    );
    let idempotency = |n: usize| site.request_classes[n].idempotency;
    assert!(idempotency(0) != idempotency(1) && idempotency(0) != idempotency(2));
    assert!(idempotency(1) != idempotency(2));
    let proxy = &site.proxies[0];
    let request_rate = proxy.typical_request_rate;
    assert_eq!(
        (proxy.name.as_str(), proxy.zone.as_str(), request_rate),
        ("front-1", "arnhem", 7.5)
    );
    let runtime_api = |n: usize| {
        site.proxies[n]
            .runtime_api
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default()
    };
    assert_eq!(runtime_api(0), format!("unix:{}", resolved("front-1.sock")));
    assert_eq!(
        (runtime_api(1), runtime_api(2)),
        ("127.0.0.1:9102".into(), String::new())
    );
    let sources: Vec<String> = proxy
        .dns_source_networks
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(sources, ["10.1.0.0/16", "2001:db8::/32"]);
    assert_eq!(
        (site.site_proxy_count, site.deployment_config().proxy_count),
        (Some(9), 9)
    );
    assert_eq!(
        site.hosts_file.display().to_string(),
        resolved("some-hosts.jsonnet")
    );
}

#[test]
fn numbers_and_durations_of_a_site() {
    let site = site();
    let update_channel = &site.update_channel;
    let numbers = (
        update_channel.commands_per_second,
        update_channel.max_waiting_commands,
        update_channel.message_overhead_lines,
    );
    assert_eq!(numbers, (4_001.0, 4_002.0, 4.5));
    assert_eq!(
        (
            update_channel.max_messages_per_window,
            text(update_channel.message_window)
        ),
        (13, "11 s".into())
    );
    let load_reports = &site.load_reports;
    assert_eq!(
        (
            text(load_reports.interval),
            load_reports.max_lines_per_second
        ),
        ("700 ms".into(), Some(5_003.0))
    );
    assert_eq!(
        load_reports
            .push_endpoint
            .as_ref()
            .expect("a push endpoint")
            .to_string(),
        "127.0.0.1:9300"
    );
    assert_eq!(
        (
            site.slow_start.initial_capacity,
            text(site.slow_start.window)
        ),
        (0.17, "18 s".into())
    );
    let health_checks = site.health_checks.as_ref().expect("health checks");
    assert_eq!(
        (health_checks.path.as_str(), text(health_checks.timeout)),
        ("/health", "321 ms".into())
    );
    assert_eq!(
        health_checks.load_interval.map(text),
        Some("2345 ms".into())
    );
    let connections = &site.proxy_connections;
    let durations = [
        connections.reply_timeout,
        connections.connect_timeout,
        connections.min_reconnect_backoff,
        connections.max_reconnect_backoff,
    ]
    .map(text);
    assert_eq!(durations, ["2100 ms", "1100 ms", "110 ms", "5100 ms"]);
    assert_eq!(
        (site.cross_zone_cost, site.removal_is_advisory),
        (0.06, true)
    );
}

#[test]
fn enum_values_of_a_site() {
    use pondarch_config::site::{AdmissionSetting, Idempotency, WeightSource};
    let site = site();
    assert!(site.admission == AdmissionSetting::Rate && site.weight_source == WeightSource::Solved);
    let idempotency: Vec<Idempotency> = site
        .request_classes
        .iter()
        .map(|class| class.idempotency)
        .collect();
    assert!(
        idempotency
            == [
                Idempotency::Idempotent,
                Idempotency::ByKey,
                Idempotency::NotIdempotent
            ]
    );
    let listeners: Vec<(String, bool)> = site
        .runtime_api
        .iter()
        .map(|listener| {
            (
                listener.listen.to_string(),
                Level::from(listener.level) == Level::Admin,
            )
        })
        .collect();
    let listener = |listen: &str, is_admin: bool| (listen.to_string(), is_admin);
    let unix = format!("unix:{}", resolved("api.sock"));
    assert_eq!(
        listeners,
        [
            listener(&unix, true),
            listener("127.0.0.1:9999", false),
            listener("127.0.0.1:9998", false)
        ]
    );
    assert!(Level::from(site.runtime_api[1].level) == Level::User);
    assert!(Level::from(site.runtime_api[2].level) == Level::Operator);
}

#[test]
fn event_log_and_dns_of_a_site() {
    let site = site();
    let event_log = site.event_log.as_ref().expect("event log settings");
    assert_eq!(
        event_log.directory.display().to_string(),
        resolved("some-records")
    );
    assert_eq!(
        (
            event_log.segment_bytes,
            event_log.max_total_bytes,
            event_log.retention_days
        ),
        (70_000, 150_000, 2.5)
    );
    assert_eq!(
        [event_log.sync_within, event_log.snapshot_interval].map(text),
        ["210 ms", "9 s"]
    );
    let dns = site.dns.as_ref().expect("DNS settings");
    assert_eq!(
        (dns.zone.as_str(), dns.listen.to_string()),
        ("pond.test", "127.0.0.1:5301".into())
    );
    let durations = [
        dns.drain_grace_period,
        dns.max_list_delay,
        dns.max_secondary_lag,
        dns.secondary_expiry,
    ]
    .map(text);
    assert_eq!(durations, ["8 s", "600 ms", "1100 ms", "61 s"]);
    assert_eq!((dns.lifetime_s, dns.answers_per_second), (Some(4), 51.5));
    let secondary = &dns.secondaries[0];
    assert_eq!(
        (secondary.address.to_string(), secondary.key_name.as_str()),
        ("127.0.0.1:5302".into(), "copy-1")
    );
    assert_eq!(
        secondary.secret_file.display().to_string(),
        resolved("copy-1.key")
    );
}

#[test]
fn request_classes_and_endpoints_of_a_proxy() {
    let proxy = proxy();
    assert_eq!(
        (proxy.name.as_str(), proxy.zone.as_str()),
        ("front-1", "arnhem")
    );
    assert_eq!(
        (proxy.zones.join(" "), proxy.listen.to_string()),
        ("ede arnhem".into(), "127.0.0.1:8101".into())
    );
    assert_eq!(
        proxy.runtime_api[0].listen.to_string(),
        format!("unix:{}", resolved("front-1.sock"))
    );
    assert!(Level::from(proxy.runtime_api[0].level) == Level::Admin);
    let class = &proxy.request_classes[0];
    let header = class.header.as_ref().expect("a header");
    let conditions = (class.path_prefix.as_deref(), class.host.as_deref());
    assert_eq!(
        (class.name.as_str(), conditions),
        ("proof", (Some("/proof"), Some("proof.test")))
    );
    assert_eq!(
        (header.name.as_str(), header.value.as_str()),
        ("x-kind", "proof")
    );
    assert_eq!(
        [class.latency_objective, class.client_timeout].map(text),
        ["1500 ms", "4 s"]
    );
    assert_eq!(
        (class.priority_weight, class.deduplication_window.map(text)),
        (2.5, Some("31 s".into()))
    );
    assert!(class.idempotency == pondarch_config::site::Idempotency::ByKey);
    assert_eq!(
        proxy.hosts_file.display().to_string(),
        resolved("some-hosts.jsonnet")
    );
    let report_to: Vec<String> = proxy
        .report_endpoints
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        report_to,
        [
            format!("unix:{}", resolved("push.sock")),
            "127.0.0.1:9300".into()
        ]
    );
    assert_eq!(
        (text(proxy.report_interval), proxy.seed),
        ("900 ms".into(), Some(77))
    );
}

#[test]
fn numbers_and_durations_of_a_proxy() {
    let proxy = proxy();
    assert_eq!((proxy.max_static_hosts, proxy.retry_ratio), (9, 0.3));
    assert!(matches!(
        proxy.pick,
        pondarch_config::proxy::PickStrategy::RoundRobin
    ));
    let ejection = &proxy.ejection;
    assert_eq!(
        (ejection.consecutive_failures, ejection.max_ejected_fraction),
        (4, 0.25)
    );
    assert_eq!(
        [
            ejection.min_duration,
            ejection.max_duration,
            ejection.forget_after
        ]
        .map(text),
        ["2100 ms", "5100 ms", "61 s"]
    );
    let limits = &proxy.limits;
    assert_eq!(limits.response_timeout.map(text), Some("901 ms".into()));
    let counts = [
        limits.max_in_flight_per_host,
        limits.max_waiting,
        limits.max_retained_body_bytes,
        limits.max_head_bytes,
        limits.max_connections,
    ];
    assert_eq!(counts, [129, 513, 65_537, 16_385, 10_001]);
    let durations = [
        limits.connect_timeout,
        limits.last_ready_for,
        limits.head_timeout,
        limits.idle_timeout,
        limits.drain_timeout,
    ];
    assert_eq!(
        durations.map(text),
        ["251 ms", "3100 ms", "5100 ms", "15100 ms", "10100 ms"]
    );
}

#[test]
fn settings_of_a_plan() {
    let plan = read_plan(&fixtures().join("plan.jsonnet")).expect("settings of a plan");
    assert_eq!(
        (plan.zones.join(" "), plan.cross_zone_cost),
        ("ede arnhem".into(), 0.07)
    );
    let class = &plan.request_classes[0];
    assert_eq!((class.name.as_str(), class.priority_weight), ("proof", 2.5));
    assert_eq!(
        [class.work_per_request, class.latency_objective].map(text),
        ["20 ms", "1500 ms"]
    );
    let hosts = &plan.hosts[0];
    assert_eq!(
        (hosts.name.as_str(), hosts.zone.as_str(), hosts.count),
        ("big", "arnhem", 3)
    );
    assert_eq!(
        (hosts.cores, hosts.speed, hosts.max_concurrent_requests),
        (4.5, 1.25, Some(8.5))
    );
    assert_eq!(
        (
            hosts.capacity_fraction,
            hosts.other_load,
            text(hosts.other_load_age)
        ),
        (0.75, 0.125, "12 s".into())
    );
    assert_eq!(plan.demand["ede"]["proof"], 17.5);
    let table = &plan.tables["first"];
    assert_eq!(
        (table.hosts.join(" "), table.demand["arnhem"]["proof"]),
        ("big".into(), 18.5)
    );
}

#[test]
fn a_list_of_hosts() {
    let zones = ["ede".to_string(), "arnhem".to_string()];
    let list = read_hosts(&fixtures().join("hosts.jsonnet"), &zones).expect("a list");
    assert_eq!(list.version, Some(7));
    // The event log stores the hosts in this form.
    let stored = serde_json::to_value(&list.hosts).expect("JSON");
    let host = |name: &str, address: &str, zone: &str, state: &str| {
        serde_json::json!({"name": name, "address": address, "zone": zone, "rack": "", "machine": "",
            "weight": 1.0, "started": null, "state": state})
    };
    let mut first = host("host-1", "127.0.0.1:8001", "arnhem", "drain");
    for (key, value) in [("rack", "rack-1"), ("machine", "machine-1")] {
        first[key] = value.into();
    }
    for (key, value) in [
        ("weight", 1.5),
        ("cores", 4.5),
        ("started", 1_800_000_000.25),
    ] {
        first[key] = value.into();
    }
    let others = [
        host("host-2", "[::1]:8002", "ede", "gone"),
        host("host-3", "127.0.0.1:8003", "ede", "ready"),
    ];
    assert_eq!(stored, serde_json::json!([first, others[0], others[1]]));
}
