//! A controller as a process, with a relay, a registry and a collector that reports the requests that proxies send by the
//! tables that they have applied.

use crate::channel_relay::{ChannelRelay, MESSAGE_OVERHEAD};
use crate::controller_process::ControllerProcess;
use crate::fake_registry::{FakeRegistry, ListedHost};
use crate::scripted_peers::resp_message;
use crate::warming_load::{WarmingLoad, WarmingRule, WorstLoad};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

pub(crate) const HOSTS: usize = 30;
/// The message cap: messages that a proxy may be sent in 10 s.
pub(crate) const MESSAGE_CAP: usize = 12;
/// The channel's rate in lines per second.
pub(crate) const CHANNEL_RATE: f64 = 8_000.0;
/// Lines that may wait in the channel.
pub(crate) const LINE_LIMIT: f64 = 8_000.0;
/// Requests per second to all proxies together.
const REQUEST_RATE: f64 = 120.0;
/// Share of the fleet's capacity that the requests use.
const UTILIZATION: f64 = 0.7;
const RULE: WarmingRule = WarmingRule {
    window: Duration::from_secs(18),
    initial_capacity: 0.2,
    grace: Duration::from_secs(2),
    capacity: REQUEST_RATE / UTILIZATION / HOSTS as f64,
};
/// Time from a controller's start until the rules apply to it.
const START_GRACE: Duration = Duration::from_secs(1);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// The present behaviour of clients and hosts.
#[derive(Clone, Default)]
pub(crate) struct Behaviour {
    /// The number of proxies of the deployment.
    proxies: u16,
    /// Hosts that fail all attempts.
    pub failing: BTreeSet<usize>,
    /// Proxies that get `BUSY_FACTOR` times the requests of the others.
    pub busy: BTreeSet<u16>,
}

impl Behaviour {
    /// Requests per second to a proxy.
    fn rate(&self, proxy: u16) -> f64 {
        /// Requests to a busy proxy for each request to another one.
        const BUSY_FACTOR: f64 = 6.0;
        let busy = self.busy.len() as f64;
        let shares = f64::from(self.proxies) - busy + busy * BUSY_FACTOR;
        let share = if self.busy.contains(&proxy) {
            BUSY_FACTOR
        } else {
            1.0
        };
        REQUEST_RATE * share / shares
    }
}

pub(crate) fn host_name(n: usize) -> String {
    format!("host-{n}")
}

/// A controller with its relay, registry and collector.
pub(crate) struct WarmingFleet {
    pub relay: Arc<ChannelRelay>,
    pub registry: FakeRegistry,
    pub controller: ControllerProcess,
    pub started_at: Instant,
    /// The last start of the controller.
    controller_started_at: Instant,
    proxies: u16,
    upstreams: Upstreams,
    behaviour: Arc<Mutex<Behaviour>>,
    load: Arc<Mutex<WarmingLoad>>,
}

/// The addresses of the controller's registry and relay.
#[derive(Clone, Copy)]
struct Upstreams {
    registry: SocketAddr,
    relay: SocketAddr,
}

fn config(listen: SocketAddr, proxies: u16, known: &Value, upstreams: Upstreams) -> String {
    let Upstreams { registry, relay } = upstreams;
    json!({
        "name": "n0", "listen": listen, "discovery": registry, "seed": "1f",
        "limits": {"sockets": 128}, "hub": {"address": relay}, "known": known,
        "settings": {
            "classes": [{"name": "proof", "aim": 1_500_000, "worth": 1.0}], "localities": ["a"],
            "familyInfo": {"proxies": proxies, "channelRate": CHANNEL_RATE, "mostWaiting": LINE_LIMIT,
                "perMessage": MESSAGE_OVERHEAD, "updateCap": MESSAGE_CAP, "updateWindow": 10_000_000,
                "reportEvery": 500_000, "admission": "share", "baseMode": 0},
            "obligations": {"cold": RULE.window.as_micros() as u64, "startCapacity": RULE.initial_capacity,
                "stopSendingWithin": RULE.grace.as_micros() as u64, "fall": 2_000_000, "fallMultiple": 2.5},
        },
    })
    .to_string()
}

impl WarmingFleet {
    /// Starts a fleet with this number of proxies.
    pub(crate) fn start(proxies: u16) -> WarmingFleet {
        let relay = Arc::new(ChannelRelay::start(CHANNEL_RATE, proxies));
        let registry = FakeRegistry::start(&(0..HOSTS).map(host_name).collect::<Vec<_>>());
        let upstreams = Upstreams {
            registry: registry.address,
            relay: relay.address,
        };
        let behaviour = Behaviour {
            proxies,
            ..Behaviour::default()
        };
        let known = registry.complete_list();
        let controller = ControllerProcess::start_configured(|listen| {
            config(listen, proxies, &known, upstreams)
        });
        let fleet = WarmingFleet {
            relay,
            registry,
            controller,
            started_at: Instant::now(),
            controller_started_at: Instant::now(),
            proxies,
            upstreams,
            behaviour: Arc::new(Mutex::new(behaviour)),
            load: Arc::new(Mutex::new(WarmingLoad::new(RULE))),
        };
        fleet.spawn_collector();
        fleet.spawn_sampler();
        fleet
    }

    pub(crate) fn behaviour(&self) -> MutexGuard<'_, Behaviour> {
        self.behaviour.lock().expect("a thread panicked")
    }

    fn load(&self) -> MutexGuard<'_, WarmingLoad> {
        self.load.lock().expect("a thread panicked")
    }

    /// The largest load of a warming host so far.
    pub(crate) fn worst(&self) -> WorstLoad {
        self.load().worst.clone()
    }

    /// Postpones the start of the rule's grace periods until this time from now at least.
    pub(crate) fn postpone_grace(&self, delay: Duration) {
        self.load().postpone_grace(delay);
    }

    pub(crate) fn wait_until(&self, seconds: f64) {
        let at = Duration::from_secs_f64(seconds);
        thread::sleep(at.saturating_sub(self.started_at.elapsed()));
    }

    /// Hosts restart under their names, and one change of the list says so.
    pub(crate) fn restart_hosts(&self, hosts: &[usize]) {
        let listed = ListedHost::just_started();
        let changes: Vec<_> = hosts.iter().map(|&n| (host_name(n), listed)).collect();
        {
            let mut load = self.load();
            hosts.iter().for_each(|&n| load.started(&host_name(n)));
        }
        self.registry.change(&changes);
    }

    pub(crate) fn drain_hosts(&self, hosts: &[usize]) {
        let draining = ListedHost {
            lifecycle: "Terminating",
            started_ms: 0,
        };
        let changes: Vec<_> = hosts.iter().map(|&n| (host_name(n), draining)).collect();
        self.registry.change(&changes);
    }

    /// Kills the controller and starts it again with `known` as the endpoint list of its configuration.
    pub(crate) fn restart_controller(&mut self, known: &Value) {
        self.load().informed_again(START_GRACE);
        let config = config(self.controller.listen, self.proxies, known, self.upstreams);
        self.controller.kill();
        self.relay.forget_controller();
        self.controller.restart(&config);
        self.controller_started_at = Instant::now();
        self.load().informed_again(START_GRACE);
    }

    /// Moves the registry and the relay to other addresses and has the controller reload.
    pub(crate) fn move_upstreams(&mut self) {
        // The platform sends no SIGHUP earlier than this after a start.
        thread::sleep(START_GRACE.saturating_sub(self.controller_started_at.elapsed()));
        self.upstreams = Upstreams {
            registry: self.registry.listen_elsewhere(),
            relay: self.relay.listen_elsewhere(),
        };
        let known = self.registry.complete_list();
        let config = config(self.controller.listen, self.proxies, &known, self.upstreams);
        self.controller.reconfigure(&config);
    }

    fn spawn_sampler(&self) {
        let (load, relay) = (Arc::downgrade(&self.load), self.relay.clone());
        let behaviour = self.behaviour.clone();
        thread::spawn(move || {
            while let Some(load) = load.upgrade() {
                let now = behaviour.lock().expect("a thread panicked").clone();
                load.lock()
                    .expect("a thread panicked")
                    .sample(&relay, |proxy| now.rate(proxy));
                drop(load);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
    }

    fn spawn_collector(&self) {
        let (load, relay) = (Arc::downgrade(&self.load), self.relay.clone());
        let (behaviour, listen) = (self.behaviour.clone(), self.controller.listen);
        thread::spawn(move || {
            let mut collector = Collector::default();
            while load.upgrade().is_some() {
                let now = behaviour.lock().expect("a thread panicked").clone();
                collector.report(listen, &relay, &now);
                thread::sleep(REPORT_INTERVAL);
            }
        });
    }
}

/// Reports to the controller the requests that proxies send.
#[derive(Default)]
struct Collector {
    stream: Option<TcpStream>,
    /// Fractions of requests that are not reported yet, by proxy and host.
    fractions: BTreeMap<String, f64>,
}

impl Collector {
    fn report(&mut self, listen: SocketAddr, relay: &ChannelRelay, behaviour: &Behaviour) {
        let mut messages = Vec::new();
        let interval_ms = REPORT_INTERVAL.as_millis();
        let mut attempts: BTreeMap<String, f64> = BTreeMap::new();
        for (proxy, table) in relay.applied_tables() {
            let requests = behaviour.rate(proxy) * REPORT_INTERVAL.as_secs_f64();
            let count = self.whole(&format!("proxy {proxy}"), requests);
            messages.extend(resp_message(&format!(
                "usage id {proxy} lane proof count {count} fail 0 over {interval_ms}"
            )));
            let total: f64 = table.weights.values().sum();
            for (host, weight) in &table.weights {
                *attempts.entry(host.clone()).or_default() += requests * weight / total;
            }
        }
        for (host, attempts) in attempts {
            let count = self.whole(&host, attempts);
            let is_failing = behaviour.failing.iter().any(|&n| host_name(n) == host);
            let (fail, mean) = if is_failing { (count, 0) } else { (0, 200) };
            if count > 0 {
                messages.extend(resp_message(&format!(
                    "heard site a target {host} count {count} fail {fail} mean {mean} over {interval_ms}"
                )));
            }
        }
        self.send(listen, &messages);
    }

    /// The whole number of requests to report; the fraction is carried over to the next report.
    fn whole(&mut self, key: &str, requests: f64) -> u64 {
        let fraction = self.fractions.entry(key.to_string()).or_default();
        *fraction += requests;
        let whole = fraction.floor();
        *fraction -= whole;
        whole as u64
    }

    /// Sends a report; if the controller is gone, the next report connects again.
    fn send(&mut self, listen: SocketAddr, messages: &[u8]) {
        if self.stream.is_none() {
            self.stream = TcpStream::connect(listen).ok();
            if let Some(stream) = &mut self.stream {
                stream.write_all(&resp_message("collector site a")).ok();
            }
        }
        if let Some(stream) = &mut self.stream
            && stream.write_all(messages).is_err()
        {
            self.stream = None;
        }
    }
}
