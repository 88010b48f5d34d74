//! Results of updates: batches that the relay rejects or never answers.

use crate::common::{SECOND, deployment_config, endpoint, host, ms};
use pondarch_controller::{
    AckId, AttemptOutcomes, Controller, Decision, DeploymentConfig, EndpointList, EndpointState,
    JoiningProxy, ProxyId, Time, UpdateResult, ZoneId,
};

const PROXIES: u16 = 200;
const HOSTS: usize = 160;
/// Time between two calls to the relay.
const STEP_MS: u64 = 250;
/// Time after which a removed host without reports is no longer known.
const EXPIRY_MS: u64 = 31_000;

fn at(millis: u64) -> Time {
    Time::from_micros(100 * SECOND) + ms(millis)
}

/// Returns a controller with all proxies joined that has sent no updates yet.
fn controller_with_proxies(max_queued_lines: f64) -> Controller {
    let config = DeploymentConfig {
        update_rate: 2_000.0,
        max_queued_lines,
        removal_is_advisory: true,
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
    (0..PROXIES).for_each(|n| join(&mut controller, 0, n));
    controller
}

fn join(controller: &mut Controller, millis: u64, n: u16) {
    let joining = JoiningProxy {
        id: ProxyId(n),
        zone: ZoneId(n % 4),
        newly_started: true,
        usual_rate: 2.0,
    };
    controller.proxy_joined(at(millis), joining);
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

/// Hosts were forgotten before the result of their removal from unused tables was known, so that a removal that was not
/// applied was never sent again.
#[test]
fn a_removal_from_unused_tables_is_sent_again_unless_it_was_applied() {
    for (result, first_repeated) in [
        (UpdateResult::Unknown, Some(0)),
        (UpdateResult::Rejected, Some(0)),
        // The update that stopped the call cannot be applied and is not sent again.
        (UpdateResult::StoppedAt(2), Some(3)),
        (UpdateResult::Applied, None),
    ] {
        let mut controller = controller_with_removed_hosts();
        let removals = updates_of_timer(&mut controller, EXPIRY_MS);
        assert!(removals.len() > 3, "the hosts were in no table");
        controller.on_update_result(at(EXPIRY_MS), &removals, result);
        let sent_again = updates_of_timer(&mut controller, EXPIRY_MS + STEP_MS);
        let expected = first_repeated.map_or(&[][..], |first| &removals[first..]);
        assert_eq!(sent_again, expected, "{result:?}");
    }
}

/// A batch that is too large for one call is sent in several, between which there may be another round of decisions.
#[test]
fn a_removal_is_sent_again_although_its_result_comes_a_round_late() {
    let mut controller = controller_with_removed_hosts();
    let removals = updates_of_timer(&mut controller, EXPIRY_MS);
    let in_between = updates_of_timer(&mut controller, EXPIRY_MS + STEP_MS);
    assert_eq!(in_between, [], "nothing is known to be lost yet");
    controller.on_update_result(at(EXPIRY_MS + STEP_MS), &removals, UpdateResult::Unknown);
    let sent_again = updates_of_timer(&mut controller, EXPIRY_MS + 2 * STEP_MS);
    assert_eq!(sent_again, removals);
}

/// A host that is still in a table answers the proxies that use it. This must not bring it back into use.
#[test]
fn a_removed_host_stays_out_of_use_although_it_answers_after_a_lost_removal() {
    let mut controller = controller_with_removed_hosts();
    let removals = updates_of_timer(&mut controller, EXPIRY_MS);
    controller.on_update_result(at(EXPIRY_MS), &removals, UpdateResult::Unknown);
    let answered = AttemptOutcomes {
        attempts: 20.0,
        failures: 0.0,
        mean_latency: ms(200),
        period: ms(1_000),
        load: None,
    };
    (0..4).for_each(|n| controller.record_outcomes(at(EXPIRY_MS), &host(n), answered));
    (0..PROXIES).for_each(|n| join(&mut controller, EXPIRY_MS + STEP_MS, n));
    let updates = updates_of_timer(&mut controller, EXPIRY_MS + STEP_MS);
    for removal in &removals {
        assert!(updates.contains(removal), "{removal:?} is not sent again");
    }
    let is_added = |update: &&Decision| matches!(update, Decision::SetWeight { host: added, weight: Some(_), .. } if (0..4).any(|n| *added == host(n)));
    assert_eq!(updates.iter().find(is_added), None);
}

/// Returns a controller whose proxies have left and with some hosts that were removed since then. By [`EXPIRY_MS`] there
/// has been no report of these hosts for longer than removed hosts are known.
fn controller_with_removed_hosts() -> Controller {
    let mut controller = controller_with_proxies(6_000.0);
    let updates = updates_of_timer(&mut controller, 0);
    controller.on_update_result(at(0), &updates, UpdateResult::Applied);
    (0..PROXIES).for_each(|n| controller.proxy_left(at(STEP_MS), ProxyId(n)));
    assert_eq!(updates_of_timer(&mut controller, STEP_MS), []);
    let removed = (0..4).map(|n| endpoint(n, EndpointState::Removed, Time::default()));
    let list = EndpointList {
        generation: 2,
        complete: false,
        endpoints: removed.collect(),
    };
    controller.apply_endpoint_list(at(EXPIRY_MS), list);
    controller
}

/// Returns the updates of the round of decisions that a timer starts.
fn updates_of_timer(controller: &mut Controller, millis: u64) -> Vec<Decision> {
    controller.on_timer(at(millis));
    updates_at(controller, millis)
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
