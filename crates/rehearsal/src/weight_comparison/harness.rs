//! The components of one run, which is one site under one load with one weight source: hosts, proxies, controllers and
//! clients.

use super::evaluation::{self, WeightHistory};
use super::{Evaluation, Plan, Row, Site, SiteHost, WeightSource, ZONES, classes};
use crate::bad_day::{RehearsalError, limits, runtime_command};
use crate::client::{self, RequestClass};
use crate::endpoint_list::{EndpointEntry, EndpointList, spawn_program, write_settings};
use crate::host::{Host, HostConfig};
use crate::intercepted_proxy::InterceptedProxy;
use crate::observations::{ListedState, ObservationLog};
use crate::rules;
use serde_json::json;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::process::Child;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep};

/// Time limit for all proxies to join.
const JOIN_LIMIT: Duration = Duration::from_secs(15);

pub(super) struct Harness {
    seed: u64,
    load: f64,
    weight_source: WeightSource,
    hosts: Vec<Host>,
    proxies: Vec<InterceptedProxy>,
    list: EndpointList,
    controllers: Vec<Child>,
    sockets: Vec<PathBuf>,
    observations: ObservationLog,
    clients: JoinSet<()>,
    weight_monitor: Option<JoinHandle<Vec<WeightHistory>>>,
    evaluated_from: Duration,
}

impl Harness {
    pub(super) async fn start(
        plan: &Plan,
        site: &Site,
        seed: u64,
        load: f64,
        weight_source: WeightSource,
        program: &Path,
        folder: &Path,
    ) -> Result<Harness, RehearsalError> {
        let io_error = |context: &'static str| {
            move |error| RehearsalError::Io {
                context: context.into(),
                error,
            }
        };
        let observations = ObservationLog::default();
        let mut list = EndpointList::new(folder.join("hosts.jsonnet"), observations.clone());
        let mut hosts = Vec::new();
        for host in &site.hosts {
            let config = host_config(plan, host, true);
            hosts.push(
                Host::start(config, None, observations.clone())
                    .await
                    .map_err(io_error("cannot start a host"))?,
            );
        }
        let entries = site.hosts.iter().zip(&hosts).map(|(site_host, host)| {
            (
                site_host.name.clone(),
                endpoint_entry(site_host, host, weight_source, None),
            )
        });
        list.update(|list| list.extend(entries.collect::<Vec<_>>()))
            .map_err(io_error("cannot write the endpoint list"))?;
        let mut proxies = Vec::new();
        for n in 0..plan.proxies {
            let zone = ZONES[n % ZONES.len()];
            let seed = seed.wrapping_mul(1_000) + n as u64;
            let name = format!("front-{n}");
            proxies.push(
                InterceptedProxy::start(
                    &name,
                    zone,
                    &ZONES,
                    &classes(),
                    list.file(),
                    seed,
                    observations.clone(),
                )
                .await?,
            );
        }
        let mut controllers = Vec::new();
        for c in 0..plan.controllers {
            let file = folder.join(format!("steward-{c}.jsonnet"));
            write_settings(
                &file,
                &controller_settings(plan, site, load, weight_source, c),
            )
            .map_err(io_error("cannot write a controller's settings"))?;
            let log = folder.join(format!("steward-{c}.log"));
            controllers.push(
                spawn_program(program, &["run"], &file, &log)
                    .map_err(io_error("cannot start a controller"))?,
            );
        }
        let sockets = (0..plan.controllers)
            .map(|c| folder.join(format!("steward-{c}.sock")))
            .collect();
        let harness = Harness {
            seed,
            load,
            weight_source,
            hosts,
            proxies,
            list,
            controllers,
            sockets,
            observations,
            clients: JoinSet::new(),
            weight_monitor: None,
            evaluated_from: Duration::ZERO,
        };
        harness.wait_joined(folder).await?;
        Ok(harness)
    }

    async fn wait_joined(&self, folder: &Path) -> Result<(), RehearsalError> {
        let began = Instant::now();
        while began.elapsed() < JOIN_LIMIT {
            let mut joined = 0;
            for socket in &self.sockets {
                let text = runtime_command(socket, "show info")
                    .await
                    .unwrap_or_default();
                let info = pondarch_runtime_api::info::Info::read(&text);
                joined += info.get_u64("ProxiesJoined").unwrap_or(0);
            }
            if joined as usize == self.proxies.len() {
                return Ok(());
            }
            sleep(Duration::from_millis(50)).await;
        }
        Err(RehearsalError::NotJoined(
            JOIN_LIMIT.as_secs(),
            folder.to_path_buf(),
        ))
    }

    /// Starts the clients, which send requests until the end of the evaluation.
    pub(super) fn start_clients(&mut self, plan: &Plan, site: &Site, began: Instant) {
        let classes = classes();
        let (until, next_id) = (
            began + plan.settling_time + plan.evaluation_time,
            Arc::new(AtomicU64::new(1)),
        );
        let (rate, total) = (
            site.request_rate(self.load, &classes),
            site.traffic_shares.iter().sum::<f64>(),
        );
        // The seed does not depend on the weight source, so that all of them get the same traffic.
        let mut rng = fastrand::Rng::with_seed(self.seed ^ 0x5eed);
        for (proxy, share) in self.proxies.iter().zip(&site.traffic_shares) {
            let target = client::LoadTarget::Proxy(client::Client::new(proxy.addr));
            let (seed, observations) = (rng.u64(..), self.observations.clone());
            self.clients.spawn(client::generate_load(
                target,
                classes.clone(),
                rate * share / total,
                until,
                next_id.clone(),
                seed,
                observations,
            ));
        }
        self.weight_monitor = Some(tokio::spawn(monitor_weights(self.sockets.clone(), until)));
    }

    /// Starts a cold host and adds it to the endpoint list. The evaluation starts here.
    pub(super) async fn start_new_host(
        &mut self,
        plan: &Plan,
        site: &Site,
    ) -> Result<(), RehearsalError> {
        let io_error = |context: &'static str| {
            move |error| RehearsalError::Io {
                context: context.into(),
                error,
            }
        };
        let started = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_secs_f64();
        let config = host_config(plan, &site.new_host, false);
        let host = Host::start(config, None, self.observations.clone())
            .await
            .map_err(io_error("cannot start a host"))?;
        let entry = endpoint_entry(&site.new_host, &host, self.weight_source, Some(started));
        self.hosts.push(host);
        self.evaluated_from = self.observations.elapsed();
        self.list
            .update(|list| drop(list.insert(site.new_host.name.clone(), entry)))
            .map_err(io_error("cannot write the endpoint list"))
    }

    /// Waits for the clients, stops the controllers and evaluates the run.
    pub(super) async fn finish(
        mut self,
        plan: &Plan,
        site: &Site,
        classes: &[RequestClass],
    ) -> Row {
        while self.clients.join_next().await.is_some() {}
        let weights = match self.weight_monitor.take() {
            Some(weight_monitor) => weight_monitor.await.unwrap_or_default(),
            None => Vec::new(),
        };
        for controller in &mut self.controllers {
            // An error means that it has already exited.
            controller.kill().await.ok();
        }
        let observations = self.observations.take();
        let violations = rules::check(&observations, &limits());
        let evaluation = Evaluation::new(
            &observations,
            plan,
            site,
            classes,
            self.evaluated_from,
            &weights,
        );
        let max_service_share =
            evaluation::max_service_share(&observations, plan, site, classes, self.evaluated_from);
        Row {
            seed: self.seed,
            load: self.load,
            weight_source: self.weight_source.name(),
            evaluation,
            max_service_share,
            violations,
        }
    }
}

fn host_config(plan: &Plan, host: &SiteHost, warm: bool) -> HostConfig {
    HostConfig {
        name: host.name.clone(),
        zone: ZONES[host.zone].into(),
        rack: format!("{}-rack", ZONES[host.zone]),
        cores: host.cores,
        speed: host.speed,
        initial_capacity: plan.initial_capacity,
        slow_start_window: plan.slow_start_window,
        warm,
    }
}

fn endpoint_entry(
    site_host: &SiteHost,
    host: &Host,
    weight_source: WeightSource,
    started: Option<f64>,
) -> EndpointEntry {
    EndpointEntry {
        addr: host.addr,
        zone: host.config.zone.clone(),
        rack: host.config.rack.clone(),
        weight: match weight_source {
            WeightSource::Solved | WeightSource::Listed => site_host.listed_weight,
            WeightSource::Equal => 1.0,
            WeightSource::TrueCapacity => site_host.capacity(),
        },
        cores: site_host.cores as f64,
        started,
        state: ListedState::Ready,
    }
}

/// Polls the weights that each controller shows, once per second.
async fn monitor_weights(sockets: Vec<PathBuf>, until: Instant) -> Vec<WeightHistory> {
    let mut histories: Vec<WeightHistory> = vec![Vec::new(); sockets.len()];
    while Instant::now() < until {
        for (socket, history) in sockets.iter().zip(&mut histories) {
            let text = runtime_command(socket, "show map weights")
                .await
                .unwrap_or_default();
            let host_weight = |line: &str| {
                let mut words = line.split_whitespace().skip(1);
                Some((words.next()?.to_string(), words.next()?.parse().ok()?))
            };
            history.push(text.lines().filter_map(host_weight).collect());
        }
        sleep(Duration::from_secs(1)).await;
    }
    histories
}

fn controller_settings(
    plan: &Plan,
    site: &Site,
    load: f64,
    weight_source: WeightSource,
    controller: usize,
) -> serde_json::Value {
    let ms = |duration: Duration| format!("{} ms", duration.as_millis());
    let classes = classes();
    let class = |class: &RequestClass| {
        let repeats = if class.replayable {
            "replayable"
        } else {
            "non-replayable"
        };
        json!({"name": class.name, "response_target": ms(class.latency_objective),
            "client_timeout": ms(class.client_timeout), "benefit": class.priority_weight, "repeats": repeats})
    };
    let (rate, total) = (
        site.request_rate(load, &classes),
        site.traffic_shares.iter().sum::<f64>(),
    );
    let own = (0..plan.proxies).filter(|n| n % plan.controllers == controller);
    let proxy = |n: usize| {
        json!({"name": format!("front-{n}"), "zone": ZONES[n % ZONES.len()],
            "runtime": format!("unix:front-{n}.sock"), "usual_rate": rate * site.traffic_shares[n] / total})
    };
    let limits = limits();
    json!({
        "name": format!("steward-{controller}"),
        "zones": ZONES,
        "kinds": classes.iter().map(class).collect::<Vec<_>>(),
        "proxies": own.map(proxy).collect::<Vec<_>>(),
        "proxies_of_site": plan.proxies,
        "hosts_file": "hosts.jsonnet",
        "channel": {"lines_per_second": 4000, "most_waiting": limits.max_queued_lines,
            "message_cap": limits.message_cap, "message_window": ms(limits.message_window)},
        "reports": {"every": "1 s"},
        "cold": {"start_share": plan.initial_capacity, "warm_within": ms(plan.slow_start_window)},
        "probes": {"path": "/health"},
        "crossing_price": 0.06,
        "weights": if weight_source == WeightSource::Solved { "solved" } else { "listed" },
        "runtime_api": [{"listen": format!("unix:steward-{controller}.sock"), "level": "admin"}],
    })
}
