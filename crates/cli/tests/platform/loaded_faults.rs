//! The faults of a seeded day: hosts, streams, controllers, reports and clients, within the ranges of the users' pages.

use crate::channel_relay::CallFault;
use crate::fake_registry::ListedHost;
use crate::loaded_proxy::Rejoin;
use crate::loaded_soak::{CONTROLLERS, Day, DayKind, HostStep, PROXIES, TICK, between};
use std::net::TcpStream;
use std::ops::RangeInclusive;
use std::thread;
use std::time::Duration;

/// Hosts that a wave of the release replaces, and hosts that crash or hang together.
const WAVE_HOSTS: RangeInclusive<usize> = 2..=6;
const CRASHED_HOSTS: RangeInclusive<usize> = 2..=6;
/// Seconds for which hosts are down after a crash, and for which they hang.
const CRASH_S: (f64, f64) = (0.5, 12.0);
const LONG_CRASH_S: (f64, f64) = (5.8, 25.0);
const HANG_S: (f64, f64) = (9.3, 16.0);
/// Requests in a burst, in terms of the usual ones.
const BURST: (f64, f64) = (1.3, 2.5);
/// Seconds for which a controller is down.
const DOWN_S: (f64, f64) = (1.0, 8.0);
/// The share of the proxies that reach no controller, and for how many seconds.
const CUT_OFF_SHARE: (f64, f64) = (0.29, 0.85);
const CUT_OFF_S: (f64, f64) = (7.4, 17.0);
/// Streams that break in a second, of all proxies together.
const STREAM_BREAKS_PER_S: f64 = 20.0;
/// Seconds until upstreams have closed the connections of a controller that was moved away; a series of signals is over then.
const RELOAD_S: f64 = 2.0;
/// Number of faults, some of which stand several times since they are frequent.
pub(crate) const FAULTS: u32 = 18;
/// Shortest time from SIGTERM to SIGKILL.
const TERM_TO_KILL: Duration = Duration::from_millis(700);

/// A proxy dials this controller, and others if it is down.
fn dial(at: f64, controller: usize) -> Rejoin {
    Rejoin {
        at,
        controller,
        waits: false,
    }
}

impl Day {
    /// Hosts that are up and that nothing is going to happen to.
    pub(crate) fn idle_hosts(&mut self, count: usize) -> Vec<String> {
        let world = self.fleet.world();
        let is_idle = |id: &String| !self.steps.iter().any(|(_, _, host)| host == id);
        let up = world.hosts.iter().filter(|(_, host)| host.is_up);
        let mut idle: Vec<String> = up.map(|(id, _)| id.clone()).filter(is_idle).collect();
        drop(world);
        self.random.shuffle(&mut idle);
        idle.truncate(count);
        idle
    }

    /// A wave of the release: hosts drain, end, and start again cold.
    pub(crate) fn replace_hosts(&mut self, now: f64) {
        let count = self.random.usize(WAVE_HOSTS);
        let hosts = self.idle_hosts(count);
        self.note(&format!("release of {hosts:?}"));
        let listed = |lifecycle| ListedHost {
            lifecycle,
            started_ms: 0,
        };
        let of_all = |lifecycle| -> Vec<(String, ListedHost)> {
            hosts
                .iter()
                .map(|host| (host.clone(), listed(lifecycle)))
                .collect()
        };
        let stops_at = now + between(&mut self.random, (3.8, 5.3));
        let starts_at = stops_at + between(&mut self.random, (1.5, 4.5));
        self.tell_all(now, &of_all("Terminating"));
        let gone_at = stops_at + between(&mut self.random, (0.8, 4.6));
        if gone_at < starts_at {
            self.tell_all(gone_at, &of_all("Gone"));
        }
        for host in hosts {
            self.steps.push((stops_at, HostStep::Stop, host.clone()));
            self.steps.push((starts_at, HostStep::Start, host));
        }
    }

    /// Hosts die and start again before the list shows that they are gone.
    pub(crate) fn crash_hosts(&mut self, now: f64) {
        let count = self.random.usize(CRASHED_HOSTS);
        let hosts = self.idle_hosts(count);
        self.note(&format!("crash of {hosts:?}"));
        let down_s = match self.kind {
            DayKind::Churn => CRASH_S,
            DayKind::Outages | DayKind::FewFaults | DayKind::Reported => LONG_CRASH_S,
        };
        let starts_at = now + between(&mut self.random, down_s);
        for host in hosts {
            self.steps.push((now, HostStep::Stop, host.clone()));
            self.steps.push((starts_at, HostStep::Start, host));
        }
    }

    /// Streams break, and join the same or another controller later.
    pub(crate) fn break_streams(&mut self, now: f64) {
        let expected = STREAM_BREAKS_PER_S * TICK.as_secs_f64();
        let count = expected as usize + usize::from(self.random.f64() < expected.fract());
        for _ in 0..count {
            let proxy = self.random.usize(0..PROXIES);
            let rejoins_at = now + between(&mut self.random, (0.3, 3.5));
            let controller = self.random.usize(0..CONTROLLERS);
            let mut world = self.fleet.world();
            if world.proxies[proxy].controller.is_some() {
                world.break_stream(proxy, dial(rejoins_at, controller));
            }
        }
    }

    /// Returns whether a controller is down.
    pub(crate) fn is_down(&self, controller: usize) -> bool {
        self.restarts.iter().any(|(_, down)| *down == controller)
    }

    /// A controller is moved by SIGHUP, sometimes several times in a row.
    pub(crate) fn reload(&mut self) {
        let controller = self.random.usize(0..CONTROLLERS);
        self.reload_controller(controller);
    }

    /// One controller is moved by SIGHUP, sometimes several times in a row.
    pub(crate) fn reload_controller(&mut self, controller: usize) {
        let now = self.fleet.world().now();
        let is_reloading = now < self.reloaded_at[controller] + RELOAD_S;
        if self.is_down(controller) || is_reloading {
            return;
        }
        self.reloaded_at[controller] = now;
        self.fleet.world().grace_from = now + 4.0;
        for _ in 0..self.random.usize(1..=3) {
            self.note(&format!("SIGHUP to n{controller}"));
            self.fleet.move_upstreams(controller);
        }
    }

    pub(crate) fn inject(&mut self, now: f64) {
        let controller = self.random.usize(0..CONTROLLERS);
        let fault = self.random.u32(0..FAULTS);
        self.inject_fault(fault, controller, now);
    }

    /// Injects the fault of this number.
    pub(crate) fn inject_fault(&mut self, fault: u32, controller: usize, now: f64) {
        match fault {
            0..=2 => {
                let factor = between(&mut self.random, BURST);
                self.burst_until = now + between(&mut self.random, (3.3, 8.7));
                self.fleet.world().burst = factor;
                self.note(&format!(
                    "burst of {factor:.2} until {:.1} s",
                    self.burst_until
                ));
            }
            3 | 4 => {
                self.reports_late_until = now + between(&mut self.random, (8.0, 24.0));
                self.fleet.world().late_reports_s = between(&mut self.random, (1.0, 3.6));
                self.note("reports are late");
            }
            5..=7 => {
                for host in self.idle_hosts(2) {
                    let speed = between(&mut self.random, (0.15, 0.5));
                    self.note(&format!("{host} is slow: {speed:.2}"));
                    self.change_host(&host, |host| host.speed = speed);
                }
            }
            8 => self.lose_calls(controller),
            9 => {
                self.note(&format!("membership watch of n{controller} broken"));
                self.fleet.world().grace_from = now + 4.0;
                self.fleet.relay(controller).break_membership_watches();
            }
            10 => {
                self.note(&format!("registry watch of n{controller} broken"));
                self.fleet.controllers[controller].registry.break_watches();
            }
            11 | 12 => self.stop_controller(controller, now),
            13 => self.crowd(controller),
            14 | 15 => self.cut_off_proxies(now),
            16 => self.hang_hosts(now),
            _ => {
                self.note("a third of all streams break");
                for proxy in 0..PROXIES / 3 {
                    let rejoins_at = now + between(&mut self.random, (0.3, 2.3));
                    let mut world = self.fleet.world();
                    world.break_stream(proxy * 3, dial(rejoins_at, controller));
                }
            }
        }
    }

    fn lose_calls(&mut self, controller: usize) {
        let fault = [CallFault::ResponseLost, CallFault::Busy][self.random.usize(0..2)];
        self.note(&format!("calls of n{controller}: {fault:?}"));
        self.fleet.relay(controller).set_fault(fault);
        thread::sleep(Duration::from_millis(self.random.u64(100..700)));
        self.fleet.relay(controller).set_fault(CallFault::None);
        let now = self.fleet.world().now();
        self.fleet.world().grace_from = now + 1.5;
    }

    /// Ends a controller, with or without SIGTERM before SIGKILL, and starts it again later. Its clients keep using their
    /// connections until the kill, which comes as early as the platform may send it.
    fn stop_controller(&mut self, controller: usize, now: f64) {
        if self.is_down(controller) {
            return;
        }
        let is_planned = self.random.bool();
        let down_s = between(&mut self.random, DOWN_S);
        self.end_controller(controller, is_planned, now + down_s);
    }

    /// Ends a controller until this second, with SIGTERM first if that is planned.
    pub(crate) fn end_controller(&mut self, controller: usize, is_planned: bool, until: f64) {
        if self.is_down(controller) {
            return;
        }
        let waits = self.proxies_wait;
        self.fleet.break_streams_of(controller, waits);
        if is_planned {
            self.note(&format!("SIGTERM to n{controller}"));
            self.fleet.controllers[controller].process.signal("-TERM");
            thread::sleep(TERM_TO_KILL);
        }
        self.note(&format!(
            "SIGKILL to n{controller}, its proxies wait: {waits}"
        ));
        self.fleet.kill_controller(controller);
        self.restarts.push((until, controller));
    }

    /// A share of the proxies reaches no controller for a while. They keep their tables.
    fn cut_off_proxies(&mut self, now: f64) {
        let share = between(&mut self.random, CUT_OFF_SHARE);
        let until = now + between(&mut self.random, CUT_OFF_S);
        self.note(&format!(
            "{share:.2} of the proxies cut off until {until:.1} s"
        ));
        for proxy in 0..PROXIES {
            let is_cut_off = self.random.f64() < share;
            let mut world = self.fleet.world();
            if let Some(controller) = world.proxies[proxy].controller.filter(|_| is_cut_off) {
                world.break_stream(proxy, dial(until, controller));
            }
        }
    }

    /// Machines fall silent: they take requests and answer none. Later they start again, cold.
    fn hang_hosts(&mut self, now: f64) {
        let count = self.random.usize(CRASHED_HOSTS);
        let hosts = self.idle_hosts(count);
        let starts_at = now + between(&mut self.random, HANG_S);
        self.note(&format!("{hosts:?} hang until {starts_at:.1} s"));
        for host in hosts {
            self.steps.push((now, HostStep::Hang, host.clone()));
            self.steps.push((starts_at, HostStep::Stop, host.clone()));
            self.steps.push((starts_at, HostStep::Start, host));
        }
    }

    /// Hundreds of strangers connect and say nothing, until the next crowd.
    fn crowd(&mut self, controller: usize) {
        self.note(&format!("crowd at n{controller}"));
        let listen = self.fleet.controllers[controller].process.listen;
        let timeout = Duration::from_millis(50);
        self.crowd = (0..300)
            .filter_map(|_| TcpStream::connect_timeout(&listen, timeout).ok())
            .collect();
    }
}
