//! Several controllers as processes, each with its relay, its registry and its collectors, before one fleet of hosts and
//! proxies under load.

use crate::channel_relay::{ChannelRelay, MESSAGE_OVERHEAD};
use crate::controller_process::ControllerProcess;
use crate::fake_registry::{FakeRegistry, HostAttributes, ListedHost};
use crate::loaded_host::HostProfile;
use crate::loaded_proxy::Rejoin;
use crate::loaded_reports::ControllerLink;
use crate::loaded_world::{CLASS_NAMES, DayParameters, World, ZONES};
use crate::scripted_peers::{bind_listener, resp_message};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// The message cap: messages that a proxy may be sent in 10 s.
pub(crate) const MESSAGE_CAP: usize = 12;
/// The channel's rate in lines per second, and the lines that may wait in it.
pub(crate) const CHANNEL_RATE: f64 = 8_500.0;
pub(crate) const LINE_LIMIT: f64 = 8_500.0;
const STEP: Duration = Duration::from_millis(20);

/// The settings that the controllers are told.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Settings {
    pub proxies: usize,
    pub controllers: usize,
    /// Share of its capacity that a host has at least at its start, and the time until it has all of it.
    pub initial_capacity: f64,
    pub warm_after_s: f64,
}

/// One controller and its upstreams.
pub(crate) struct Controller {
    pub process: ControllerProcess,
    pub registry: FakeRegistry,
    relay: Arc<ChannelRelay>,
    upstreams: (SocketAddr, SocketAddr),
    started_at: Instant,
    /// The list that it had when it was killed.
    last_list: Value,
}

/// The fleet. Dropping it ends its threads and processes.
pub(crate) struct LoadedFleet {
    pub controllers: Vec<Controller>,
    world: Arc<Mutex<World>>,
    settings: Settings,
    grace_s: f64,
    is_over: Arc<AtomicBool>,
}

impl Drop for LoadedFleet {
    fn drop(&mut self) {
        self.is_over.store(true, Relaxed);
    }
}

impl LoadedFleet {
    pub(crate) fn start(
        seed: u64,
        parameters: DayParameters,
        settings: Settings,
        hosts: &[(String, HostProfile)],
    ) -> LoadedFleet {
        let grace_s = parameters.grace_s;
        let world = Arc::new(Mutex::new(World::new(seed, parameters)));
        let is_over = Arc::new(AtomicBool::new(false));
        let attributes = listen_as_hosts(hosts, &world, &is_over);
        let mut fleet = LoadedFleet {
            controllers: Vec::new(),
            world,
            settings,
            grace_s,
            is_over,
        };
        for _ in 0..settings.controllers {
            fleet.add_controller(&attributes);
        }
        fleet.world().add_fleet(hosts, settings.proxies);
        let rate = fleet.world().proxies[0].rate;
        let stated = fleet.world().stated_rates();
        let transit = Duration::from_secs_f64(fleet.world().parameters.transit_s);
        for controller in &fleet.controllers {
            controller.relay.set_proxies(&ZONES, rate);
            controller.relay.set_stated_rates(stated.clone());
            controller.relay.set_transit(transit);
        }
        for index in 0..settings.controllers {
            fleet.wait_until_ready(index);
        }
        for proxy in 0..settings.proxies {
            fleet.world().proxies[proxy].rejoins = Some(Rejoin {
                at: 0.0,
                controller: proxy % settings.controllers,
                waits: false,
            });
        }
        fleet.spawn_world();
        fleet
    }

    pub(crate) fn world(&self) -> MutexGuard<'_, World> {
        self.world.lock().expect("a thread panicked")
    }

    pub(crate) fn relay(&self, controller: usize) -> &ChannelRelay {
        &self.controllers[controller].relay
    }

    fn add_controller(&mut self, hosts: &BTreeMap<String, HostAttributes>) {
        let relay = Arc::new(ChannelRelay::start(CHANNEL_RATE, 0));
        let registry = FakeRegistry::start_with(hosts);
        let upstreams = (registry.address, relay.address);
        let known = registry.complete_list();
        let index = self.controllers.len();
        let process = ControllerProcess::start_configured(|listen| {
            self.config(index, listen, upstreams, &known)
        });
        let (sender, reports) = channel();
        let link = ControllerLink::new(relay.clone(), sender);
        self.world().controllers.push(link);
        let (listen, is_over) = (process.listen, self.is_over.clone());
        thread::spawn(move || run_collectors(listen, &reports, &is_over));
        self.controllers.push(Controller {
            process,
            registry,
            relay,
            upstreams,
            started_at: Instant::now(),
            last_list: known,
        });
    }

    fn config(
        &self,
        index: usize,
        listen: SocketAddr,
        upstreams: (SocketAddr, SocketAddr),
        known: &Value,
    ) -> String {
        let settings = self.settings;
        let micros = |seconds: f64| (seconds * 1e6) as u64;
        let class = |name: &str, objective_s: f64, priority: f64| json!({"name": name, "aim": micros(objective_s), "worth": priority});
        json!({
            "name": format!("n{index}"), "listen": listen, "discovery": upstreams.0, "seed": format!("1f{index}"),
            "limits": {"sockets": 384}, "hub": {"address": upstreams.1}, "known": known,
            "settings": {
                "classes": [class(CLASS_NAMES[0], 1.5, 1.0), class(CLASS_NAMES[1], 1.0, 5.0), class(CLASS_NAMES[2], 0.8, 3.0)],
                "localities": ZONES, "discovery": "pushed",
                "report": {"fields": ["busy", "q"], "source": "inline"},
                "limits": {"probes": true}, "prices": {"crossZone": 0.06},
                "familyInfo": {"proxies": settings.proxies, "channelRate": CHANNEL_RATE, "mostWaiting": LINE_LIMIT,
                    "perMessage": MESSAGE_OVERHEAD, "updateCap": MESSAGE_CAP, "updateWindow": 10_000_000,
                    "reportEvery": 1_000_000, "admission": "share", "baseMode": 0},
                "obligations": {"cold": micros(settings.warm_after_s), "startCapacity": settings.initial_capacity,
                    "stopSendingWithin": micros(self.grace_s), "fall": 2_000_000, "fallMultiple": 2.5},
            },
        })
        .to_string()
    }

    /// Waits for a controller's first answer; the rules apply to it soon after.
    fn wait_until_ready(&self, index: usize) {
        let mut stream = self.controllers[index].process.connect();
        stream
            .write_all(&resp_message("ping"))
            .expect("cannot write");
        let mut answer = [0; 14];
        stream.read_exact(&mut answer).expect("no answer to a ping");
        let mut world = self.world();
        let now = world.now();
        world.controllers[index].ready_at = Some(now);
        for host in world.hosts.values_mut() {
            host.told_at[index] = host.first_told_at[index].map(|_| now);
        }
    }

    /// Changes the list at one controller, which is told at once.
    pub(crate) fn tell(&self, index: usize, changes: &[(String, ListedHost)]) {
        let mut world = self.world();
        let now = world.now();
        for (host, listed) in changes {
            let host = world.hosts.get_mut(host).expect("a known host");
            // A list from before the last start does not tell of it.
            let is_current = listed.started_ms == 0 || now - host.started_at < 30.0;
            if listed.lifecycle == "Ready" && is_current {
                host.tell(index, now);
            }
        }
        drop(world);
        self.controllers[index].registry.change(changes);
    }

    /// Breaks the streams to a controller that is about to end. Its proxies join others, or wait until it is back.
    pub(crate) fn break_streams_of(&self, index: usize, waits: bool) {
        let mut world = self.world();
        world.controllers[index].ready_at = None;
        let now = world.now();
        for proxy in 0..world.proxies.len() {
            if world.proxies[proxy].controller == Some(index) {
                let at = now + 0.13 + 2.1 * world.random.f64();
                let next = (index + usize::from(!waits)) % self.settings.controllers;
                let rejoin = Rejoin {
                    at,
                    controller: next,
                    waits,
                };
                world.break_stream(proxy, rejoin);
            }
        }
    }

    /// Kills a controller. It keeps the list that it has for its next start.
    pub(crate) fn kill_controller(&mut self, index: usize) {
        self.controllers[index].process.kill();
        self.controllers[index].relay.forget_controller();
        self.controllers[index].last_list = self.controllers[index].registry.complete_list();
    }

    /// Starts a controller again that was killed.
    pub(crate) fn start_controller(&mut self, index: usize) {
        let controller = &self.controllers[index];
        let config = self.config(
            index,
            controller.process.listen,
            controller.upstreams,
            &controller.last_list,
        );
        self.controllers[index].process.restart(&config);
        self.controllers[index].started_at = Instant::now();
        self.wait_until_ready(index);
    }

    /// Moves a controller's registry and relay to other addresses and has it reload.
    pub(crate) fn move_upstreams(&mut self, index: usize) {
        let controller = &mut self.controllers[index];
        // The platform sends no SIGHUP in the first second.
        thread::sleep(Duration::from_secs(1).saturating_sub(controller.started_at.elapsed()));
        let registry = controller.registry.listen_elsewhere();
        let relay = controller.relay.listen_elsewhere();
        controller.upstreams = (registry, relay);
        let controller = &self.controllers[index];
        let known = controller.registry.complete_list();
        let config = self.config(
            index,
            controller.process.listen,
            controller.upstreams,
            &known,
        );
        controller.process.reconfigure(&config);
    }

    fn spawn_world(&self) {
        let (world, is_over) = (self.world.clone(), self.is_over.clone());
        thread::spawn(move || {
            while !is_over.load(Relaxed) {
                world.lock().expect("a thread panicked").step();
                thread::sleep(STEP);
            }
        });
    }
}

/// Answers the health checks of hosts that are up, and closes the connections to others.
fn run_hosts(listeners: &[(String, TcpListener)], world: &Mutex<World>, is_over: &AtomicBool) {
    while !is_over.load(Relaxed) {
        for (id, listener) in listeners {
            let Ok((stream, _)) = listener.accept() else {
                continue;
            };
            let held = world.lock().expect("a thread panicked").check_host(id);
            if let Some(held) = held {
                answer_health_check(stream, held);
            }
        }
        thread::sleep(STEP);
    }
}

/// Listens as each host. Returns what the endpoint list says of them.
fn listen_as_hosts(
    hosts: &[(String, HostProfile)],
    world: &Arc<Mutex<World>>,
    is_over: &Arc<AtomicBool>,
) -> BTreeMap<String, HostAttributes> {
    let mut listeners = Vec::new();
    let mut listed = BTreeMap::new();
    for (id, profile) in hosts {
        let (listener, address) = bind_listener();
        listener
            .set_nonblocking(true)
            .expect("cannot make the listener non-blocking");
        listeners.push((id.clone(), listener));
        let attributes = HostAttributes {
            address,
            zone: profile.zone,
            weight: profile.weight,
        };
        listed.insert(id.clone(), attributes);
    }
    let (world, is_over) = (world.clone(), is_over.clone());
    thread::spawn(move || run_hosts(&listeners, &world, &is_over));
    listed
}

fn answer_health_check(mut stream: TcpStream, held: usize) -> Option<()> {
    stream.set_nonblocking(false).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_millis(500)))
        .ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        reader.read_line(&mut head).ok().filter(|read| *read > 0)?;
    }
    let queue = held.saturating_sub(1);
    let body = format!("TEXT queue={queue}, util={:.2}", held.min(1) as f64);
    let length = body.len();
    let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    stream.write_all(response.as_bytes()).ok()
}

/// Sends reports to a controller, each through the collector of its zone. A connection that breaks is opened again with
/// the next report.
fn run_collectors(
    listen: SocketAddr,
    reports: &Receiver<(&'static str, Vec<u8>)>,
    is_over: &AtomicBool,
) {
    let mut streams: BTreeMap<&'static str, TcpStream> = BTreeMap::new();
    while let Ok((zone, message)) = reports.recv() {
        if is_over.load(Relaxed) {
            return;
        }
        if !streams.contains_key(zone)
            && let Ok(mut stream) = TcpStream::connect(listen)
        {
            let identification = resp_message(&format!("collector site {zone}"));
            if stream.write_all(&identification).is_ok() {
                streams.insert(zone, stream);
            }
        }
        let stream = streams.get_mut(zone);
        if stream.is_some_and(|stream| stream.write_all(&message).is_err()) {
            streams.remove(zone);
        }
    }
}
