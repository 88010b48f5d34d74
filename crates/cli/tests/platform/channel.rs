//! Tests with a channel to the proxies that is slower than the settings state, or that stops: no more lines may wait in
//! it than the settings allow, drains are still sent, and once the channel has recovered the delayed updates are sent
//! too.

use crate::channel_relay::{CallFault, ChannelRelay, MESSAGE_OVERHEAD};
use crate::controller_process::*;
use crate::scripted_peers::*;
use serde_json::{Value, json};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

const PROXIES: u16 = 200;
const HOSTS: usize = 160;
/// The channel's rate in lines per second, as the settings state it.
const STATED_RATE: f64 = 2_000.0;
/// Lines that may wait in the channel: twice those that all proxies need when they join.
const LINE_LIMIT: f64 = 4_000.0;
/// The host that drains late in the run.
const DRAINED: usize = 7;
const DRAIN_AFTER: Duration = Duration::from_secs(14);

fn config(listen: SocketAddr, registry: SocketAddr, relay: SocketAddr) -> String {
    json!({
        "name": "n0", "listen": listen, "discovery": registry, "seed": "1f",
        "limits": {"sockets": 128}, "hub": {"address": relay},
        "known": serde_json::from_str::<Value>(&endpoint_list(1, &ready_hosts())).expect("the list is not JSON"),
        "settings": {
            "classes": [{"name": "proof", "aim": 1_500_000, "worth": 1.0}], "localities": ["a"],
            "familyInfo": {"proxies": PROXIES, "channelRate": STATED_RATE, "mostWaiting": LINE_LIMIT,
                "perMessage": MESSAGE_OVERHEAD, "updateCap": 12, "updateWindow": 10_000_000,
                "reportEvery": 500_000, "admission": "share", "baseMode": 0},
            "obligations": {"cold": 18_000_000, "startCapacity": 0.2},
        },
    })
    .to_string()
}

fn ready_hosts() -> Vec<String> {
    (0..HOSTS).map(|n| host_entry(1, n, "Ready")).collect()
}

/// Starts a registry that lists all hosts as ready, and one of them as draining `DRAIN_AFTER` after `started_at`.
fn registry_with_a_drain(started_at: Instant) -> (SocketAddr, ReceivedLines) {
    start_scripted_registry(1, move |_, send_line| {
        send_line(&endpoint_list(2, &ready_hosts()))?;
        let drain_at = started_at + DRAIN_AFTER;
        loop {
            let remaining = drain_at.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                break;
            }
            thread::sleep(remaining.min(Duration::from_secs(1)));
            send_line("")?;
        }
        let change = endpoint_list(3, &[host_entry(1, DRAINED, "Terminating")]);
        send_line(&change.replace("\"reset\":true", "\"reset\":false"))?;
        loop {
            thread::sleep(Duration::from_secs(1));
            send_line("")?;
        }
    })
}

/// Reports, every 0.5 s, attempts at all hosts that are in proxies' tables, and the proxies' requests. A fifth of the
/// hosts fails all attempts and an eighth of the proxies has most of the requests; which ones changes every two seconds,
/// so that weights have to change all the time.
fn report_until(stop: &AtomicBool, controller: &ControllerProcess, relay: &ChannelRelay) {
    let mut stream = controller.connect();
    stream
        .write_all(&resp_message("collector site a"))
        .expect("cannot write");
    let mut round = 0;
    while !stop.load(Relaxed) {
        for n in 0..HOSTS {
            let id = format!("s-1-{n}");
            let fails = (n + round / 4).is_multiple_of(5);
            if relay.proxies_with(&id) > 0 {
                let (fail, mean) = if fails {
                    (6, 0)
                } else {
                    (0, 40 + 15 * (n % 3))
                };
                let report =
                    format!("heard site a target {id} count 6 fail {fail} mean {mean} over 500");
                stream
                    .write_all(&resp_message(&report))
                    .expect("cannot write");
            }
        }
        for n in 0..usize::from(PROXIES) {
            let count = if (n + round / 4).is_multiple_of(8) {
                20
            } else {
                1
            };
            let usage = format!("usage id {n} lane proof count {count} fail 0 over 500");
            stream
                .write_all(&resp_message(&usage))
                .expect("cannot write");
        }
        round += 1;
        thread::sleep(Duration::from_millis(500));
    }
}

/// The measurements of a run.
struct Outcome {
    most_waiting: f64,
    /// Tables that have a line for the drained host, 1.5 s after its drain was listed.
    tables_with_drained: usize,
    idle_for: Duration,
    log: String,
}

/// A fault, or the end of one. At the start of a run the channel sends at the stated rate.
#[derive(Clone, Copy)]
enum Fault {
    Rate(f64),
    LoseResponses(bool),
    BreakMembershipWatches,
    /// Suspends the controller (SIGSTOP), or resumes it (SIGCONT).
    Stop,
    Continue,
}

fn inject(fault: Fault, controller: &ControllerProcess, relay: &ChannelRelay) {
    match fault {
        Fault::Rate(rate) => relay.set_rate(rate),
        Fault::LoseResponses(true) => relay.set_fault(CallFault::ResponseLost),
        Fault::LoseResponses(false) => relay.set_fault(CallFault::None),
        Fault::BreakMembershipWatches => relay.break_membership_watches(),
        Fault::Stop => controller.signal("-STOP"),
        Fault::Continue => controller.signal("-CONT"),
    }
}

/// Runs a controller, with faults at so many seconds after the start.
fn run(faults: &[(u64, Fault)]) -> Outcome {
    let relay = ChannelRelay::start(STATED_RATE, PROXIES);
    let started_at = Instant::now();
    let (registry, _requests) = registry_with_a_drain(started_at);
    let controller =
        ControllerProcess::start_configured(|listen| config(listen, registry, relay.address));
    let wait_until = |at: Duration| thread::sleep(at.saturating_sub(started_at.elapsed()));
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| report_until(&stop, &controller, &relay));
        for (second, fault) in faults {
            wait_until(Duration::from_secs(*second));
            inject(*fault, &controller, &relay);
        }
        wait_until(DRAIN_AFTER + Duration::from_millis(1_500));
        let tables_with_drained = relay.tables_with(&format!("s-1-{DRAINED}"));
        wait_until(DRAIN_AFTER + Duration::from_secs(4));
        stop.store(true, Relaxed);
        assert_eq!(relay.bound_count(), usize::from(PROXIES));
        let idle_for = relay.idle_for().expect("no update call arrived");
        Outcome {
            most_waiting: relay.most_waiting(),
            tables_with_drained,
            idle_for,
            log: controller.log(),
        }
    })
}

fn assert_limits_kept(outcome: &Outcome) {
    let Outcome {
        most_waiting,
        tables_with_drained,
        log,
        ..
    } = outcome;
    let queue_log = log
        .lines()
        .filter(|line| line.contains(" update queue "))
        .collect::<Vec<_>>()
        .join("\n");
    println!("at most {most_waiting:.0} of {LINE_LIMIT} lines waited\n{queue_log}");
    assert!(
        *most_waiting <= LINE_LIMIT,
        "{most_waiting:.0} lines waited, the limit is {LINE_LIMIT}"
    );
    assert_eq!(
        *tables_with_drained, 0,
        "a drain was delayed by the update queue"
    );
}

#[test]
fn the_queue_stays_short_on_a_channel_with_the_stated_rate() {
    assert_limits_kept(&run(&[]));
}

/// Issue 28: the length of the queue was estimated by the stated rate alone, and grew past its limit on a slower channel.
#[test]
fn the_queue_stays_short_on_a_slow_channel() {
    let runs = [4.0, 8.0, 20.0]
        .map(|times| thread::spawn(move || run(&[(3, Fault::Rate(STATED_RATE / times))])));
    runs.into_iter()
        .for_each(|run| assert_limits_kept(&run.join().expect("a thread panicked")));
}

/// The channel stops for 6 s; updates continue once it sends again.
#[test]
fn the_queue_stays_short_on_a_channel_that_stops_for_a_while() {
    let outcome = run(&[(3, Fault::Rate(0.0)), (9, Fault::Rate(STATED_RATE))]);
    assert_limits_kept(&outcome);
    assert!(
        outcome.idle_for < Duration::from_secs(2),
        "no update call for {:?}",
        outcome.idle_for
    );
}

/// On a slow channel, update calls are carried out without a response, so that all their changes are sent again; and
/// each break of the membership watch causes all proxies to be bound again.
#[test]
fn the_queue_stays_short_when_updates_are_repeated_on_a_slow_channel() {
    assert_limits_kept(&run(&[
        (3, Fault::Rate(STATED_RATE / 8.0)),
        (4, Fault::LoseResponses(true)),
        (6, Fault::BreakMembershipWatches),
        (7, Fault::BreakMembershipWatches),
        (8, Fault::LoseResponses(false)),
        (9, Fault::BreakMembershipWatches),
        (10, Fault::Rate(STATED_RATE)),
    ]));
}

/// The controller is suspended while its channel is slow and then stopped; the reports and responses of that time arrive
/// all at once.
#[test]
fn the_queue_stays_short_when_the_controller_is_suspended_on_a_slow_channel() {
    assert_limits_kept(&run(&[
        (3, Fault::Rate(STATED_RATE / 8.0)),
        (5, Fault::Stop),
        (8, Fault::Continue),
        (9, Fault::Rate(0.0)),
        (10, Fault::Stop),
        (12, Fault::Continue),
        (12, Fault::Rate(STATED_RATE)),
    ]));
}
