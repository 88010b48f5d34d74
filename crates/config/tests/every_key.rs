//! Files with every key of each kind of settings: each value is read, none is dropped, and unknown keys are refused
//! with all that are known.

use pondarch_config::{Length, ProxySite, Site, read_hosts, read_plan, read_proxy, read_site};
use pondarch_runtime_api::Level;
use std::path::{Path, PathBuf};

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

fn site() -> Site {
    read_site(&folder().join("site.jsonnet")).expect("settings of a site")
}

fn proxy() -> ProxySite {
    read_proxy(&folder().join("proxy.jsonnet")).expect("settings of a proxy")
}

fn in_folder(name: &str) -> String {
    folder().join(name).display().to_string()
}

fn text(length: Length) -> String {
    length.to_string()
}

#[test]
fn names_kinds_and_proxies_of_a_site() {
    let site = site();
    assert_eq!(
        (site.name.as_str(), site.zones.join(" ").as_str()),
        ("steward-1", "ede arnhem")
    );
    let kind = &site.kinds[0];
    assert_eq!(
        (kind.name.as_str(), kind.backend.as_deref()),
        ("proof", Some("proof-backend"))
    );
    assert_eq!(
        (text(kind.response_target), text(kind.client_timeout)),
        ("1500 ms".into(), "4 s".into())
    );
    assert_eq!((kind.benefit, kind.own_zone), (2.5, true));
    let lengths: Vec<String> = site
        .kinds
        .iter()
        .flat_map(|kind| [text(kind.response_target), text(kind.client_timeout)])
        .collect();
    assert_eq!(
        lengths,
        ["1500 ms", "4 s", "250 us", "60 s", "1 s", "3600 s"]
    );
    let same = |n: usize, m: usize| site.kinds[n].repeats == site.kinds[m].repeats;
    assert!(!same(0, 1) && !same(0, 2) && !same(1, 2));
    let proxy = &site.proxies[0];
    assert_eq!(
        (proxy.name.as_str(), proxy.zone.as_str(), proxy.usual_rate),
        ("front-1", "arnhem", 7.5)
    );
    let runtime = |n: usize| {
        site.proxies[n]
            .runtime
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default()
    };
    assert_eq!(runtime(0), format!("unix:{}", in_folder("front-1.sock")));
    assert_eq!(
        (runtime(1), runtime(2)),
        ("127.0.0.1:9102".into(), String::new())
    );
    let sources: Vec<String> = proxy.sources.iter().map(ToString::to_string).collect();
    assert_eq!(sources, ["10.1.0.0/16", "2001:db8::/32"]);
    assert_eq!(
        (site.proxies_of_site, site.ticket().proxy_count),
        (Some(9), 9)
    );
    assert_eq!(
        site.hosts_file.display().to_string(),
        in_folder("some-hosts.jsonnet")
    );
}

#[test]
fn figures_of_a_site() {
    let site = site();
    let channel = &site.channel;
    let figures = (
        channel.lines_per_second,
        channel.most_waiting,
        channel.lines_per_message,
    );
    assert_eq!(figures, (4_001.0, 4_002.0, 4.5));
    assert_eq!(
        (channel.message_cap, text(channel.message_window)),
        (13, "11 s".into())
    );
    let reports = &site.reports;
    assert_eq!(
        (text(reports.every), reports.lines_per_second),
        ("700 ms".into(), Some(5_003.0))
    );
    assert_eq!(
        reports.push.as_ref().expect("where to push").to_string(),
        "127.0.0.1:9300"
    );
    assert_eq!(
        (site.cold.start_share, text(site.cold.warm_within)),
        (0.17, "18 s".into())
    );
    let probes = site.probes.as_ref().expect("probes");
    assert_eq!(
        (probes.path.as_str(), text(probes.time_limit)),
        ("/health", "321 ms".into())
    );
    assert_eq!(probes.load_every.map(text), Some("2345 ms".into()));
    let links = &site.links;
    let lengths = [
        links.answer_limit,
        links.dial_limit,
        links.redial_least,
        links.redial_most,
    ]
    .map(text);
    assert_eq!(lengths, ["2100 ms", "1100 ms", "110 ms", "5100 ms"]);
    assert_eq!(
        (site.crossing_price, site.dropped_is_no_drain),
        (0.06, true)
    );
}

#[test]
fn words_of_a_site() {
    use pondarch_config::site::{AdmissionBy, Repeats, Weights};
    let site = site();
    assert!(site.admission == AdmissionBy::Rate && site.weights == Weights::Solved);
    let repeats: Vec<Repeats> = site.kinds.iter().map(|kind| kind.repeats).collect();
    assert!(
        repeats
            == [
                Repeats::Replayable,
                Repeats::Uniqued,
                Repeats::NonReplayable
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
    let of = |listen: &str, admin: bool| (listen.to_string(), admin);
    let unix = format!("unix:{}", in_folder("api.sock"));
    assert_eq!(
        listeners,
        [
            of(&unix, true),
            of("127.0.0.1:9999", false),
            of("127.0.0.1:9998", false)
        ]
    );
    assert!(Level::from(site.runtime_api[1].level) == Level::User);
    assert!(Level::from(site.runtime_api[2].level) == Level::Operator);
}

#[test]
fn records_and_names_of_a_site() {
    let site = site();
    let records = site.records.as_ref().expect("records");
    assert_eq!(
        records.folder.display().to_string(),
        in_folder("some-records")
    );
    assert_eq!(
        (records.segment_bytes, records.all_bytes, records.kept_days),
        (70_000, 150_000, 2.5)
    );
    assert_eq!(
        [records.sure_within, records.snapshot_every].map(text),
        ["210 ms", "9 s"]
    );
    let dns = site.dns.as_ref().expect("names");
    assert_eq!(
        (dns.zone.as_str(), dns.listen.to_string()),
        ("pond.test", "127.0.0.1:5301".into())
    );
    let lengths = [dns.grace, dns.learns_within, dns.behind, dns.expires].map(text);
    assert_eq!(lengths, ["8 s", "600 ms", "1100 ms", "61 s"]);
    assert_eq!((dns.lifetime, dns.answers_per_second), (Some(4), 51.5));
    let secondary = &dns.secondaries[0];
    assert_eq!(
        (secondary.address.to_string(), secondary.key.as_str()),
        ("127.0.0.1:5302".into(), "copy-1")
    );
    assert_eq!(
        secondary.secret_file.display().to_string(),
        in_folder("copy-1.key")
    );
}

#[test]
fn kinds_and_places_of_a_proxy() {
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
        format!("unix:{}", in_folder("front-1.sock"))
    );
    assert!(Level::from(proxy.runtime_api[0].level) == Level::Admin);
    let kind = &proxy.kinds[0];
    let header = kind.header.as_ref().expect("a header");
    let known_by = (kind.path_prefix.as_deref(), kind.host.as_deref());
    assert_eq!(
        (kind.name.as_str(), known_by),
        ("proof", (Some("/proof"), Some("proof.test")))
    );
    assert_eq!(
        (header.name.as_str(), header.value.as_str()),
        ("x-kind", "proof")
    );
    assert_eq!(
        [kind.response_target, kind.client_timeout].map(text),
        ["1500 ms", "4 s"]
    );
    assert_eq!(
        (kind.benefit, kind.memory.map(text)),
        (2.5, Some("31 s".into()))
    );
    assert!(kind.repeats == pondarch_config::site::Repeats::Uniqued);
    assert_eq!(
        proxy.hosts_file.display().to_string(),
        in_folder("some-hosts.jsonnet")
    );
    let report_to: Vec<String> = proxy.report_to.iter().map(ToString::to_string).collect();
    assert_eq!(
        report_to,
        [
            format!("unix:{}", in_folder("push.sock")),
            "127.0.0.1:9300".into()
        ]
    );
    assert_eq!(
        (text(proxy.report_every), proxy.seed),
        ("900 ms".into(), Some(77))
    );
}

#[test]
fn figures_of_a_proxy() {
    let proxy = proxy();
    assert_eq!((proxy.standing_most, proxy.further_tries), (9, 0.3));
    assert!(matches!(proxy.pick, pondarch_config::proxy::Pick::Round));
    let avoid = &proxy.avoid;
    assert_eq!((avoid.after, avoid.part), (4, 0.25));
    assert_eq!(
        [avoid.least, avoid.most, avoid.remembered].map(text),
        ["2100 ms", "5100 ms", "61 s"]
    );
    let limits = &proxy.limits;
    assert_eq!(limits.response.map(text), Some("901 ms".into()));
    let counts = [
        limits.at_host,
        limits.waiting,
        limits.held_body,
        limits.head,
        limits.connections,
    ];
    assert_eq!(counts, [129, 513, 65_537, 16_385, 10_001]);
    let lengths = [
        limits.connect,
        limits.last_ready_for,
        limits.head_within,
        limits.idle_close,
        limits.drain_within,
    ];
    assert_eq!(
        lengths.map(text),
        ["251 ms", "3100 ms", "5100 ms", "15100 ms", "10100 ms"]
    );
}

#[test]
fn a_described_fleet() {
    let plan = read_plan(&folder().join("plan.jsonnet")).expect("a fleet");
    assert_eq!(
        (plan.zones.join(" "), plan.crossing_price),
        ("ede arnhem".into(), 0.07)
    );
    let kind = &plan.kinds[0];
    assert_eq!((kind.name.as_str(), kind.benefit), ("proof", 2.5));
    assert_eq!(
        [kind.work, kind.response_target].map(text),
        ["20 ms", "1500 ms"]
    );
    let hosts = &plan.hosts[0];
    assert_eq!(
        (hosts.name.as_str(), hosts.zone.as_str(), hosts.count),
        ("big", "arnhem", 3)
    );
    assert_eq!(
        (hosts.cores, hosts.speed, hosts.connections),
        (4.5, 1.25, Some(8.5))
    );
    assert_eq!(
        (hosts.warm, hosts.taken, text(hosts.taken_age)),
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
    let list = read_hosts(&folder().join("hosts.jsonnet"), &zones).expect("a list");
    assert_eq!(list.version, Some(7));
    // As it is recorded.
    let written = serde_json::to_value(&list.hosts).expect("JSON");
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
    assert_eq!(written, serde_json::json!([first, others[0], others[1]]));
}
