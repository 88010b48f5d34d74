//! From rulings to the wire's lines.

use pondarch_controller::DurationExt;
use pondarch_controller::{Decision, RequestClassId};
use pondarch_deployment::retry_policy_number;
use std::fmt::Write;

pub(crate) fn ruling(ruling: &Decision, out: &mut String) {
    let written = match ruling {
        Decision::SetWeight {
            table,
            host,
            weight,
        } => {
            writeln!(
                out,
                "SET_LINE\t{}\t{}\t{}",
                table.0,
                host.0,
                weight.unwrap_or(0.0)
            )
        }
        Decision::BindProxy {
            proxy,
            table,
            classes: kinds,
        } => {
            writeln!(out, "HAND_TABLE\t{}\t{}\t{}", proxy.0, table.0, mask(kinds))
        }
        Decision::SetAdmissionRate {
            table,
            class: kind,
            quota,
            retry_policy: tries,
        } => {
            writeln!(
                out,
                "VALVE\t{}\t{}\t{}\t{}",
                1u64 << kind.0,
                retry_policy_number(*tries),
                quota,
                table.0
            )
        }
        Decision::RequestAck(mark) => writeln!(out, "SEAL\t{}\t0", mark.0),
        Decision::CheckHealth(host) => writeln!(out, "INSPECT\t{}", host.0),
        Decision::WatchEndpoints => writeln!(out, "TRACK\t1"),
        Decision::SetTimer(span) => writeln!(out, "WAKE_AT\t{}\tbeat", span.micros()),
    };
    written.expect("a string takes all that is written to it");
}

fn mask(kinds: &[RequestClassId]) -> u64 {
    kinds.iter().map(|kind| 1u64 << kind.0).sum()
}
