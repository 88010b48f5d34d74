//! Results of updates: batches that the relay rejects or never answers.

use crate::common::{SECOND, deployment_config, endpoint, host, ms};
use pondarch_controller::{
    AckId, Controller, Decision, DeploymentConfig, EndpointList, EndpointState, JoiningProxy,
    ProxyId, Time, UpdateResult, ZoneId,
};

const PROXIES: u16 = 200;
const HOSTS: usize = 160;
/// Time between two calls to the relay.
const STEP_MS: u64 = 250;

fn at(millis: u64) -> Time {
    Time::from_micros(100 * SECOND) + ms(millis)
}

/// Returns a controller with all proxies joined that has sent no updates yet.
fn controller_with_proxies(max_queued_lines: f64) -> Controller {
    let config = DeploymentConfig {
        update_rate: 2_000.0,
        max_queued_lines,
        ..deployment_config(PROXIES.into())
    };
    let mut controller = Controller::new(config, 7, at(0));
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

/// Returns the pending decisions except for timers.
fn updates_at(controller: &mut Controller, millis: u64) -> Vec<Decision> {
    let decisions = std::iter::from_fn(|| controller.next_decision(at(millis)));
    decisions
        .filter(|decision| !matches!(decision, Decision::SetTimer(_)))
        .collect()
}

/// Rejected updates are not queued anywhere and must not count as queued: once a busy relay accepts calls again, the
/// whole queue is available.
#[test]
fn rejected_updates_do_not_use_queue_capacity() {
    // Capacity for one batch: all updates and bindings are about 5,000 lines.
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
        "the last batch does not bind all proxies as the first one does"
    );
}

/// The relay neither answers nor carries out any call for 20 s. Once it answers again, a drain must not wait until the
/// controller has found out that none of those updates is queued.
#[test]
fn a_drain_is_sent_soon_after_unanswered_calls() {
    let mut controller = controller_with_proxies(4_800.0);
    let mut acks: Vec<(u64, AckId)> = Vec::new();
    let mut drained_at = Vec::new();
    for millis in (0..24_000).step_by(STEP_MS as usize) {
        controller.on_timer(at(millis));
        let relay_answers = millis >= 20_000;
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
        if relay_answers {
            acks.extend(requested_acks(&updates).map(|ack| (millis, ack)));
            drained_at.extend(
                updates
                    .iter()
                    .filter(|update| removes_host(update, 7))
                    .map(|_| millis),
            );
        }
        let result = if relay_answers {
            UpdateResult::Applied
        } else {
            UpdateResult::Unknown
        };
        controller.on_update_result(at(millis), &updates, result);
    }
    let last = drained_at.last().expect("the drain was not sent");
    assert!(*last <= 22_000, "sent at {drained_at:?} ms");
}

fn requested_acks(updates: &[Decision]) -> impl Iterator<Item = AckId> {
    updates.iter().filter_map(|update| match update {
        Decision::RequestAck(ack) => Some(*ack),
        _ => None,
    })
}

/// Returns whether an update removes a host from a table.
fn removes_host(update: &Decision, n: usize) -> bool {
    matches!(update, Decision::SetWeight { host: removed, weight: None, .. } if *removed == host(n))
}
