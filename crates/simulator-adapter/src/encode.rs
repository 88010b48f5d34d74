//! From rulings to the wire's lines.

use pondarch_controller::types::{KindId, Ruling};
use pondarch_deployment::number_of_tries;
use std::fmt::Write;

pub(crate) fn ruling(ruling: &Ruling, out: &mut String) {
    let written = match ruling {
        Ruling::Deal {
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
        Ruling::Bind {
            proxy,
            table,
            kinds,
        } => {
            writeln!(out, "HAND_TABLE\t{}\t{}\t{}", proxy.0, table.0, mask(kinds))
        }
        Ruling::Level {
            table,
            kind,
            quota,
            tries,
        } => {
            writeln!(
                out,
                "VALVE\t{}\t{}\t{}\t{}",
                1u64 << kind.0,
                number_of_tries(*tries),
                quota,
                table.0
            )
        }
        Ruling::Mark(mark) => writeln!(out, "SEAL\t{}\t0", mark.0),
        Ruling::Probe(host) => writeln!(out, "INSPECT\t{}", host.0),
        Ruling::FollowList => writeln!(out, "TRACK\t1"),
        Ruling::WakeIn(span) => writeln!(out, "WAKE_AT\t{}\tbeat", span.as_micros()),
    };
    written.expect("a string takes all that is written to it");
}

fn mask(kinds: &[KindId]) -> u64 {
    kinds.iter().map(|kind| 1u64 << kind.0).sum()
}
