//! A controller as a process, with a relay, a registry and a collector that tells of what proxies send by the tables that
//! they hold.

use crate::channel_relay::{ChannelRelay, MESSAGE_OVERHEAD};
use crate::controller_process::ControllerProcess;
use crate::fake_registry::{FakeRegistry, ListedHost};
use crate::scripted_peers::resp_message;
use crate::warming_load::{WarmingLoad, WarmingRule, Worst};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

pub(crate) const HOSTS: usize = 30;
/// Messages that a proxy may be sent in 10 s.
pub(crate) const MESSAGE_CAP: usize = 12;
/// Lines a second of the channel, and how many may wait in it.
pub(crate) const CHANNEL_RATE: f64 = 8_000.0;
pub(crate) const LINE_LIMIT: f64 = 8_000.0;
/// Requests a second that reach all proxies.
const REQUEST_RATE: f64 = 120.0;
/// Part of what the fleet can do that is asked of it.
const UTILIZATION: f64 = 0.7;
const RULE: WarmingRule = WarmingRule {
    window: Duration::from_secs(18),
    initial_capacity: 0.2,
    grace: Duration::from_secs(2),
    capacity: REQUEST_RATE / UTILIZATION / HOSTS as f64,
};
/// A controller's duties begin so long after its start.
const START_GRACE: Duration = Duration::from_secs(1);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// What clients and hosts do now.
#[derive(Clone, Default)]
pub(crate) struct Behaviour {
    /// Proxies of the deployment.
    proxies: u16,
    /// Hosts that fail all attempts.
    pub failing: BTreeSet<usize>,
    /// Proxies that most requests reach.
    pub busy: BTreeSet<u16>,
}

impl Behaviour {
    /// Requests a second that reach a proxy.
    fn rate(&self, proxy: u16) -> f64 {
        /// What a busy proxy gets for each request of another one.
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

pub(crate) struct WarmingFleet {
    pub relay: Arc<ChannelRelay>,
    pub registry: FakeRegistry,
    pub controller: ControllerProcess,
    pub started_at: Instant,
    /// When the controller was started last.
    started: Instant,
    proxies: u16,
    upstreams: Upstreams,
    behaviour: Arc<Mutex<Behaviour>>,
    load: Arc<Mutex<WarmingLoad>>,
}

/// Where the controller finds its registry and its relay.
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
    /// A fleet with so many proxies.
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
            started: Instant::now(),
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
        self.behaviour.lock().expect("no panic")
    }

    fn load(&self) -> MutexGuard<'_, WarmingLoad> {
        self.load.lock().expect("no panic")
    }

    /// The largest load that a warming host was brought so far.
    pub(crate) fn worst(&self) -> Worst {
        self.load().worst.clone()
    }

    /// The time limit of the rule on overload waits for so long.
    pub(crate) fn pause_rules(&self, pause: Duration) {
        self.load().pause(pause);
    }

    pub(crate) fn wait_until(&self, seconds: f64) {
        let at = Duration::from_secs_f64(seconds);
        thread::sleep(at.saturating_sub(self.started_at.elapsed()));
    }

    /// Hosts start anew under their names, and the list says so in one change.
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

    /// Kills the controller and starts it again with the list as it was `known`.
    pub(crate) fn restart_controller(&mut self, known: &Value) {
        self.load().told_again(START_GRACE);
        let config = config(self.controller.listen, self.proxies, known, self.upstreams);
        self.controller.kill();
        self.relay.forget_controller();
        self.controller.restart(&config);
        self.started = Instant::now();
        self.load().told_again(START_GRACE);
    }

    /// FakeRegistry and relay move to other addresses.
    pub(crate) fn move_upstreams(&mut self) {
        // The platform sends no SIGHUP before.
        thread::sleep(START_GRACE.saturating_sub(self.started.elapsed()));
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
                let now = behaviour.lock().expect("no panic").clone();
                load.lock()
                    .expect("no panic")
                    .sample(&relay, |proxy| now.rate(proxy));
                drop(load);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
    }

    fn spawn_collector(&self) {
        let (alive, relay) = (Arc::downgrade(&self.load), self.relay.clone());
        let (behaviour, listen) = (self.behaviour.clone(), self.controller.listen);
        thread::spawn(move || {
            let mut collector = Collector::default();
            while alive.upgrade().is_some() {
                let now = behaviour.lock().expect("no panic").clone();
                collector.report(listen, &relay, &now);
                thread::sleep(REPORT_INTERVAL);
            }
        });
    }
}

/// Tells the controller of what proxies send.
#[derive(Default)]
struct Collector {
    stream: Option<TcpStream>,
    /// Requests that are not whole yet, by what they are counted for.
    rest: BTreeMap<String, f64>,
}

impl Collector {
    fn report(&mut self, listen: SocketAddr, relay: &ChannelRelay, behaviour: &Behaviour) {
        let mut text = Vec::new();
        let over = REPORT_INTERVAL.as_millis();
        let mut attempts: BTreeMap<String, f64> = BTreeMap::new();
        for (proxy, held) in relay.applied_tables() {
            let requests = behaviour.rate(proxy) * REPORT_INTERVAL.as_secs_f64();
            let count = self.whole(&format!("proxy {proxy}"), requests);
            text.extend(resp_message(&format!(
                "usage id {proxy} lane proof count {count} fail 0 over {over}"
            )));
            let all: f64 = held.weights.values().sum();
            for (host, weight) in held.weights {
                *attempts.entry(host).or_default() += requests * weight / all;
            }
        }
        for (host, attempts) in attempts {
            let count = self.whole(&host, attempts);
            let is_failing = behaviour.failing.iter().any(|&n| host_name(n) == host);
            let (fail, mean) = if is_failing { (count, 0) } else { (0, 200) };
            if count > 0 {
                text.extend(resp_message(&format!(
                    "heard site a target {host} count {count} fail {fail} mean {mean} over {over}"
                )));
            }
        }
        self.send(listen, &text);
    }

    /// The whole requests of so many; the rest counts next time.
    fn whole(&mut self, what: &str, requests: f64) -> u64 {
        let rest = self.rest.entry(what.to_string()).or_default();
        *rest += requests;
        let whole = rest.floor();
        *rest -= whole;
        whole as u64
    }

    /// The controller may be gone: then the next report dials anew.
    fn send(&mut self, listen: SocketAddr, text: &[u8]) {
        if self.stream.is_none() {
            self.stream = TcpStream::connect(listen).ok();
            if let Some(stream) = &mut self.stream {
                stream.write_all(&resp_message("collector site a")).ok();
            }
        }
        if let Some(stream) = &mut self.stream
            && stream.write_all(text).is_err()
        {
            self.stream = None;
        }
    }
}
