//! What becomes of updates that a relay refuses, or never answers.

use crate::common::{SECOND, deployment, endpoint, host, ms};
use pondarch_controller::{
    AckId, Controller, Decision, DeploymentConfig, EndpointList, EndpointState, JoiningProxy,
    ProxyId, Time, UpdateResult, ZoneId,
};

const PROXIES: u16 = 200;
const HOSTS: usize = 160;
/// Time between two calls of the relay.
const STEP_MS: u64 = 250;

fn at(millis: u64) -> Time {
    Time::from_micros(100 * SECOND) + ms(millis)
}

/// A controller that all proxies have joined, and that has sent nothing yet.
fn controller_with_proxies(max_queued_lines: f64) -> Controller {
    let deployment = DeploymentConfig {
        update_rate: 2_000.0,
        max_queued_lines,
        ..deployment(PROXIES.into())
    };
    let mut controller = Controller::new(deployment, 7, at(0));
    let endpoints = (0..HOSTS).map(|n| endpoint(n, EndpointState::Ready, Time::default()));
    let list = EndpointList {
        generation: 1,
        complete: true,
        endpoints: endpoints.collect(),
    };
    controller.apply_endpoint_list(at(0), list);
    for n in 0..PROXIES {
        let joining = JoiningProxy {
            id: ProxyId(n),
            zone: ZoneId(n % 4),
            newly_started: true,
            usual_rate: 2.0,
        };
        controller.proxy_joined(at(0), joining);
    }
    controller
}

/// What the controller decides at a timer, but for the next one.
fn updates_at(controller: &mut Controller, millis: u64) -> Vec<Decision> {
    let decisions = std::iter::from_fn(|| controller.next_decision(at(millis)));
    decisions
        .filter(|decision| !matches!(decision, Decision::SetTimer(_)))
        .collect()
}

/// Updates that were refused are queued nowhere: a relay that is busy for a while leaves the whole queue to what follows.
#[test]
fn refused_updates_take_no_room() {
    // Room for one batch: all updates and bindings come to some 5,000 lines.
    let mut controller = controller_with_proxies(6_000.0);
    let mut bound = 0;
    for millis in (0..30_000).step_by(STEP_MS as usize) {
        controller.on_timer(at(millis));
        let updates = updates_at(&mut controller, millis);
        let is_binding = |update: &&Decision| matches!(update, Decision::BindProxy { .. });
        bound = updates.iter().filter(is_binding).count();
        controller.on_update_result(at(millis), &updates, UpdateResult::Rejected);
    }
    assert_eq!(
        bound,
        usize::from(PROXIES),
        "all are bound in the last batch as in the first"
    );
}

/// For 20 s no call is answered, and none was carried out. Once calls are taken again, a drain must not wait until it is
/// clear that nothing of all that is queued.
#[test]
fn a_drain_goes_out_soon_after_calls_without_an_answer() {
    let mut controller = controller_with_proxies(4_800.0);
    let mut acks: Vec<(u64, AckId)> = Vec::new();
    let mut drained_at = Vec::new();
    for millis in (0..24_000).step_by(STEP_MS as usize) {
        controller.on_timer(at(millis));
        let answers = millis >= 20_000;
        if millis == 20_500 {
            let list = EndpointList {
                generation: 2,
                complete: false,
                endpoints: vec![endpoint(7, EndpointState::Draining, Time::default())],
            };
            controller.apply_endpoint_list(at(millis), list);
        }
        for (sent_at, ack) in &acks {
            if sent_at + STEP_MS == millis {
                controller.on_ack(at(millis), *ack);
            }
        }
        let updates = updates_at(&mut controller, millis);
        if answers {
            acks.extend(requested_acks(&updates).map(|ack| (millis, ack)));
            drained_at.extend(
                updates
                    .iter()
                    .filter(|update| withdraws(update, 7))
                    .map(|_| millis),
            );
        }
        let result = if answers {
            UpdateResult::Applied
        } else {
            UpdateResult::Unknown
        };
        controller.on_update_result(at(millis), &updates, result);
    }
    let last = drained_at.last().expect("the drain was sent");
    assert!(*last <= 22_000, "sent at {drained_at:?} ms");
}

fn requested_acks(updates: &[Decision]) -> impl Iterator<Item = AckId> {
    updates.iter().filter_map(|update| match update {
        Decision::RequestAck(ack) => Some(*ack),
        _ => None,
    })
}

fn withdraws(update: &Decision, n: usize) -> bool {
    matches!(update, Decision::SetWeight { host: withdrawn, weight: None, .. } if *withdrawn == host(n))
}
