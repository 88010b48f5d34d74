//! Encodes decisions as update calls and reports the calls' outcomes to the decision module.

use crate::controller::{CallOutcome, Output, PlatformController};
use pondarch_controller::{Decision, HostId, Time, UpdateResult};
use pondarch_platform_protocol::relay::{self, MAX_CALL_BYTES};

/// Approximate size of one update, in bytes.
const UPDATE_BYTES: usize = 150;
/// Number of updates by which the decision module may exceed its batch limit, for the updates of one table or binding.
const MAX_BATCH_OVERSHOOT: usize = 100;
/// Batch limit of the decision module, chosen so that each of its batches fits into one call.
pub(crate) const MAX_BATCH_SIZE: u64 = (MAX_CALL_BYTES / UPDATE_BYTES - MAX_BATCH_OVERSHOOT) as u64;

/// An update call that is in flight.
pub(crate) struct UpdateCall {
    call: u64,
    decisions: Vec<Decision>,
}

/// The updates of one call.
#[derive(Default)]
struct UpdateBatch {
    decisions: Vec<Decision>,
    texts: Vec<String>,
    bytes: usize,
}

impl UpdateBatch {
    /// Adds an update. Returns the decision as an error if the update does not fit into the call.
    fn push(&mut self, decision: Decision, text: String) -> Result<(), Decision> {
        if !relay::fits_in_call(self.bytes, &text) {
            return Err(decision);
        }
        self.bytes += text.len() + 1;
        self.texts.push(text);
        self.decisions.push(decision);
        Ok(())
    }
}

impl PlatformController {
    /// Takes one batch of decisions and sends it as one call. Decisions are taken only while a call can be sent, so
    /// that they are based on the latest state when they are sent.
    pub(crate) fn take_decisions(&mut self, now: Time) {
        if !self.relay_reachable || self.update_call.is_some() {
            return;
        }
        let mut batch = UpdateBatch::default();
        while let Some(decision) = self
            .deferred_decision
            .take()
            .or_else(|| self.controller.next_decision(now))
        {
            match decision {
                Decision::SetTimer(delay) => self.timer_at = Some(now + delay),
                // The program watches the registry without being asked to.
                Decision::WatchEndpoints => {}
                Decision::CheckHealth(host) => self.request_health_check(host),
                update => {
                    let Some(text) = relay::encode_update(&update, self.names.request_classes())
                    else {
                        continue;
                    };
                    if let Err(decision) = batch.push(update, text) {
                        self.deferred_decision = Some(decision);
                        break;
                    }
                }
            }
        }
        if !batch.decisions.is_empty() {
            self.send_batch(batch);
        }
    }

    fn request_health_check(&mut self, host: HostId) {
        if let Some(&address) = self.health_check_addresses.get(&host) {
            self.counters.health_checks += 1;
            self.outputs
                .push_back(Output::CheckHealth { host, address });
        }
    }

    fn send_batch(&mut self, batch: UpdateBatch) {
        self.last_call += 1;
        self.counters.calls += 1;
        self.counters.updates += batch.decisions.len() as u64;
        self.outputs.push_back(Output::Call {
            call: self.last_call,
            line: relay::encode_call(self.last_call, &batch.texts),
        });
        self.update_call = Some(UpdateCall {
            call: self.last_call,
            decisions: batch.decisions,
        });
    }

    pub(crate) fn on_call_ended(&mut self, now: Time, call: u64, outcome: CallOutcome) {
        let Some(ended) = self
            .update_call
            .take_if(|update_call| update_call.call == call)
        else {
            return;
        };
        let result = update_result(outcome, ended.decisions.len() as u64);
        match result {
            UpdateResult::Applied => {}
            UpdateResult::StoppedAt(_) => self.counters.calls_applied_in_part += 1,
            UpdateResult::Rejected => self.counters.calls_rejected += 1,
            UpdateResult::Unknown => self.counters.calls_in_doubt += 1,
        }
        self.controller
            .on_update_result(now, &ended.decisions, result);
    }
}

/// Converts the outcome of a call with `sent` updates to the result of these updates.
fn update_result(outcome: CallOutcome, sent: u64) -> UpdateResult {
    match outcome {
        CallOutcome::Applied { updates } if updates == sent => UpdateResult::Applied,
        CallOutcome::Applied { updates } if updates < sent => {
            UpdateResult::StoppedAt(updates as usize)
        }
        // An answer that counts more updates than were sent is malformed.
        CallOutcome::Applied { .. } | CallOutcome::InDoubt => UpdateResult::Unknown,
        CallOutcome::Rejected => UpdateResult::Rejected,
    }
}
