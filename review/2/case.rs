//! See claim.txt.

#[path = "../standins/json.rs"]
mod json;
#[path = "../standins/world.rs"]
mod world;

use std::thread::sleep;
use std::time::{Duration, Instant};
use world::{Calls, Steward, World, ZONES, config};

/// From the settings: the grace of a drain.
const GRACE: Duration = Duration::from_millis(3_400);
/// PROTOCOL.md: the time limits on drains are 300 ms longer on sockets.
const SOCKETS: Duration = Duration::from_millis(300);
/// PROTOCOL.md: time limits wait 1.5 s if the relay falls silent. All lost calls are over before the proxies come back;
/// granted all the same.
const SILENT_RELAY: Duration = Duration::from_millis(1_500);

/// Within the site's notice_ms: how long after its break a stream is known to be broken.
const NOTICE: Duration = Duration::from_millis(1_200);

fn main() {
    let folder = std::env::var("WORK").unwrap_or_default();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let world = World::new(&folder, Duration::from_millis(250));
    for number in 0..20 {
        let (kind, weight) = [("single-fast", 1.0), ("dual-std", 1.5)][number % 2];
        world.add_host(&format!("s-{number:02}"), ZONES[number % 4], kind, (number % 4) as u32, weight);
    }
    // Four of the twelve proxies are dealt to this steward, the others to the second one.
    let mine = [0, 3, 6, 9];
    for id in mine {
        world.add_proxy(id, ZONES[id as usize % 4], 20.0);
    }
    let Some(mut steward) = Steward::start(&world, &config(&world, 12)) else {
        eprintln!("the steward did not start");
        std::process::exit(2);
    };
    for zone in ZONES {
        world.run_collector(zone);
    }
    for id in mine {
        world.state().join(id);
    }
    sleep(Duration::from_secs(6));
    let served = world.state().sent.len();

    world.note("the proxies go to the other steward");
    for id in mine {
        world.state().break_stream(id);
    }
    sleep(NOTICE);
    for id in mine {
        world.state().notice_break(id);
    }
    sleep(Duration::from_secs(34));

    let gone: Vec<String> = ["s-01", "s-06", "s-11", "s-16"].map(str::to_string).to_vec();
    world.note("four of 20 hosts are taken out of service: Terminating, 2 s later Gone");
    world.state().list(&gone, "Terminating");
    sleep(Duration::from_secs(1));
    if trouble {
        world.note("answers get lost for 5 s");
        world.state().calls = Calls::LoseUnapplied;
    }
    sleep(Duration::from_secs(1));
    world.state().list(&gone, "Gone");
    sleep(Duration::from_secs(4));
    world.state().calls = Calls::Serve;
    world.note("the relay answers as usual");
    sleep(Duration::from_secs(3));

    world.note("the proxies come back");
    let back = Instant::now();
    for id in mine {
        // What they hold comes from the other steward, which has taken these hosts out of it.
        let mut state = world.state();
        for table in state.proxies.get_mut(&id).unwrap().held.values_mut() {
            table.lines.retain(|host, _| !gone.contains(host));
        }
        state.join(id);
    }
    sleep(Duration::from_secs(20));

    let crashed = steward.ended();
    drop(steward);
    world.stop();
    let state = world.state();
    let limit = GRACE + SOCKETS + SILENT_RELAY;
    let mut wrong = 0;
    let mut after = 0;
    for sent in state.sent.iter().filter(|sent| sent.at > back) {
        after += 1;
        let Some(told) = state.hosts[&sent.host].told else { continue };
        let from = told.max(sent.joined.unwrap());
        if sent.at > from + limit {
            wrong += 1;
            world.note(&format!(
                "BROKEN proxy {} sent {} to {}, {:.1} s after it joined and {:.1} s after the steward was told",
                sent.proxy,
                sent.class,
                sent.host,
                (sent.at - sent.joined.unwrap()).as_secs_f64(),
                (sent.at - told).as_secs_f64()
            ));
        }
    }
    let result = format!(
        "requests before: {served}; after the proxies came back: {after}; of these to hosts told as gone, past the grace: {wrong}; calls lost: {}",
        state.lost_calls.len()
    );
    world.note(&result);
    println!("{result}");
    let ran = served > 100 && after > 100 && !crashed && (!trouble || !state.lost_calls.is_empty());
    std::process::exit(if wrong > 0 {
        1
    } else if ran || !trouble && served > 100 && after > 100 {
        0
    } else {
        2
    });
}
