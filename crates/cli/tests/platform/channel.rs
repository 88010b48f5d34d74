//! The channel to the proxies is slower than the settings state, or stands still: no more lines may wait in it than the
//! settings allow, drains still go out, and once it is sound again all that was held back goes out too.

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
/// Lines a second that the settings state.
const STATED_RATE: f64 = 2_000.0;
/// Lines that may wait: twice what all proxies take at their start.
const LINE_LIMIT: f64 = 4_000.0;
/// The host that drains at the end.
const DRAINED: usize = 7;
const DRAIN_AFTER: Duration = Duration::from_secs(14);

fn config(listen: SocketAddr, registry: SocketAddr, relay: SocketAddr) -> String {
    json!({
        "name": "n0", "listen": listen, "discovery": registry, "seed": "1f",
        "limits": {"sockets": 128}, "hub": {"address": relay},
        "known": serde_json::from_str::<Value>(&endpoint_list(1, &ready_hosts())).expect("a list"),
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

/// Lists all hosts, and one of them as draining some time after `started_at`.
fn registry_with_a_drain(started_at: Instant) -> (SocketAddr, ReceivedLines) {
    start_scripted_registry(1, move |_, line| {
        line(&endpoint_list(2, &ready_hosts()))?;
        let drain_at = started_at + DRAIN_AFTER;
        loop {
            let left = drain_at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            thread::sleep(left.min(Duration::from_secs(1)));
            line("")?;
        }
        let drained = endpoint_list(3, &[host_entry(1, DRAINED, "Terminating")]);
        line(&drained.replace("\"reset\":true", "\"reset\":false"))?;
        loop {
            thread::sleep(Duration::from_secs(1));
            line("")?;
        }
    })
}

/// Tells of tries at all hosts that proxies hold, and of the proxies' requests, twice a second. A fifth of the hosts fails
/// all its tries and an eighth of the proxies has most of the requests, others every two seconds, so that weights have to
/// change all the time.
fn collect_until(over: &AtomicBool, controller: &ControllerProcess, relay: &ChannelRelay) {
    let mut stream = controller.connect();
    stream
        .write_all(&resp_message("collector site a"))
        .expect("written");
    let mut round = 0;
    while !over.load(Relaxed) {
        for n in 0..HOSTS {
            let id = format!("s-1-{n}");
            let fails = (n + round / 4).is_multiple_of(5);
            if relay.holders(&id) > 0 {
                let (fail, mean) = if fails {
                    (6, 0)
                } else {
                    (0, 40 + 15 * (n % 3))
                };
                let report =
                    format!("heard site a target {id} count 6 fail {fail} mean {mean} over 500");
                stream.write_all(&resp_message(&report)).expect("written");
            }
        }
        for n in 0..usize::from(PROXIES) {
            let count = if (n + round / 4).is_multiple_of(8) {
                20
            } else {
                1
            };
            let usage = format!("usage id {n} lane proof count {count} fail 0 over 500");
            stream.write_all(&resp_message(&usage)).expect("written");
        }
        round += 1;
        thread::sleep(Duration::from_millis(500));
    }
}

/// What a controller made of a channel whose rate changed.
struct Outcome {
    most_waiting: f64,
    /// Tables that hold the drained host, 1.5 s after its drain was listed.
    tables_with_drained: usize,
    idle_for: Duration,
    log: String,
}

/// What happens, so many seconds after the start. The channel is as stated at first.
#[derive(Clone, Copy)]
enum Fault {
    Rate(f64),
    LoseAnswers(bool),
    BreakNews,
    /// The controller stands still (SIGSTOP), or goes on (SIGCONT).
    Stop,
    Continue,
}

fn strike(fault: Fault, controller: &ControllerProcess, relay: &ChannelRelay) {
    match fault {
        Fault::Rate(rate) => relay.set_rate(rate),
        Fault::LoseAnswers(true) => relay.set_fault(CallFault::AnswerLost),
        Fault::LoseAnswers(false) => relay.set_fault(CallFault::None),
        Fault::BreakNews => relay.break_news(),
        Fault::Stop => controller.signal("-STOP"),
        Fault::Continue => controller.signal("-CONT"),
    }
}

fn play(faults: &[(u64, Fault)]) -> Outcome {
    let relay = ChannelRelay::start(STATED_RATE, PROXIES);
    let started_at = Instant::now();
    let (registry, _requests) = registry_with_a_drain(started_at);
    let controller =
        ControllerProcess::start_configured(|listen| config(listen, registry, relay.address));
    let wait_until = |at: Duration| thread::sleep(at.saturating_sub(started_at.elapsed()));
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| collect_until(&over, &controller, &relay));
        for (at, fault) in faults {
            wait_until(Duration::from_secs(*at));
            strike(*fault, &controller, &relay);
        }
        wait_until(DRAIN_AFTER + Duration::from_millis(1_500));
        let tables_with_drained = relay.tables_with(&format!("s-1-{DRAINED}"));
        wait_until(DRAIN_AFTER + Duration::from_secs(4));
        over.store(true, Relaxed);
        assert_eq!(relay.bound(), usize::from(PROXIES));
        let idle_for = relay.idle_for().expect("calls came");
        Outcome {
            most_waiting: relay.most_waiting(),
            tables_with_drained,
            idle_for,
            log: controller.log(),
        }
    })
}

fn assert_kept(outcome: &Outcome) {
    let Outcome {
        most_waiting,
        tables_with_drained,
        log,
        ..
    } = outcome;
    let seen = log
        .lines()
        .filter(|line| line.contains(" update queue "))
        .collect::<Vec<_>>()
        .join("\n");
    println!("{most_waiting:.0} of {LINE_LIMIT} lines waited at most\n{seen}");
    assert!(
        *most_waiting <= LINE_LIMIT,
        "{most_waiting:.0} lines waited, {LINE_LIMIT} may"
    );
    assert_eq!(*tables_with_drained, 0, "a drain waited behind the queue");
}

#[test]
fn a_channel_as_stated_keeps_its_queue_short() {
    assert_kept(&play(&[]));
}

/// Issue 28: the queue was counted by the stated rate alone, and grew past its limit.
#[test]
fn a_slow_channel_keeps_its_queue_short() {
    let slow = [4.0, 8.0, 20.0]
        .map(|times| thread::spawn(move || play(&[(3, Fault::Rate(STATED_RATE / times))])));
    slow.into_iter()
        .for_each(|played| assert_kept(&played.join().expect("no panic")));
}

/// The same, and updates go on once the channel does.
#[test]
fn a_channel_that_stands_still_for_a_while_keeps_its_queue_short() {
    let outcome = play(&[(3, Fault::Rate(0.0)), (9, Fault::Rate(STATED_RATE))]);
    assert_kept(&outcome);
    assert!(
        outcome.idle_for < Duration::from_secs(2),
        "no call for {:?}",
        outcome.idle_for
    );
}

/// On a slow channel, calls that were carried out are not answered, so that all is ordered again; and each break of the
/// news has all proxies bound again.
#[test]
fn repeats_on_a_slow_channel_keep_its_queue_short() {
    assert_kept(&play(&[
        (3, Fault::Rate(STATED_RATE / 8.0)),
        (4, Fault::LoseAnswers(true)),
        (6, Fault::BreakNews),
        (7, Fault::BreakNews),
        (8, Fault::LoseAnswers(false)),
        (9, Fault::BreakNews),
        (10, Fault::Rate(STATED_RATE)),
    ]));
}

/// The controller stands still while its channel does; reports and answers of that time come all at once.
#[test]
fn a_controller_that_stood_still_keeps_the_queue_of_a_slow_channel_short() {
    assert_kept(&play(&[
        (3, Fault::Rate(STATED_RATE / 8.0)),
        (5, Fault::Stop),
        (8, Fault::Continue),
        (9, Fault::Rate(0.0)),
        (10, Fault::Stop),
        (12, Fault::Continue),
        (12, Fault::Rate(STATED_RATE)),
    ]));
}
