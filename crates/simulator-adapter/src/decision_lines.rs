//! Formats decisions as lines of the simulator's protocol.

use pondarch_controller::{Decision, DurationExt, RequestClassId};
use pondarch_deployment::retry_policy_number;

/// Returns the line of a decision.
pub(crate) fn format_decision(decision: &Decision) -> String {
    match decision {
        Decision::SetWeight {
            table,
            host,
            weight,
        } => {
            let weight = weight.unwrap_or(0.0);
            format!("SET_LINE\t{}\t{}\t{weight}\n", table.0, host.0)
        }
        Decision::BindProxy {
            proxy,
            table,
            classes,
        } => {
            let classes = class_mask(classes);
            format!("HAND_TABLE\t{}\t{}\t{classes}\n", proxy.0, table.0)
        }
        Decision::SetAdmissionRate {
            table,
            class,
            quota,
            retry_policy,
        } => {
            let class = 1u64 << class.0;
            let retry_policy = retry_policy_number(*retry_policy);
            format!("VALVE\t{class}\t{retry_policy}\t{quota}\t{}\n", table.0)
        }
        Decision::RequestAck(ack) => format!("SEAL\t{}\t0\n", ack.0),
        Decision::CheckHealth(host) => format!("INSPECT\t{}\n", host.0),
        Decision::WatchEndpoints => "TRACK\t1\n".to_string(),
        Decision::SetTimer(delay) => format!("WAKE_AT\t{}\tbeat\n", delay.micros()),
    }
}

/// Returns a mask with one bit set for each request class.
fn class_mask(classes: &[RequestClassId]) -> u64 {
    classes.iter().map(|class| 1u64 << class.0).sum()
}
