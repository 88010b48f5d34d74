//! A host's own word of its load: `TEXT inflight=7, queue=2, util=0.61`, or pairs as reports carry them.

use pondarch_controller::HostLoad;
use pondarch_deployment::note_load;

/// No value of a load report is above this: loads are shares, counts and milliseconds.
const VALUE_MOST: f64 = 1e7;
/// Values in one report, at most.
const VALUES_MOST: usize = 32;

/// The body of a host's answer; none if it is no load report.
pub fn read_body(body: &[u8]) -> Option<HostLoad> {
    let text = std::str::from_utf8(body).ok()?.trim();
    read_pairs(text.strip_prefix("TEXT")?, '=')
}

/// Pairs, set apart by commas; none if any value cannot be one.
pub(crate) fn read_pairs(text: &str, between: char) -> Option<HostLoad> {
    let mut load = HostLoad::default();
    for (place, pair) in text.split(',').enumerate() {
        let (name, value) = pair.trim().split_once(between)?;
        let value = value
            .trim()
            .parse::<f64>()
            .ok()
            .filter(|v| (0.0..=VALUE_MOST).contains(v))?;
        if place >= VALUES_MOST || name.trim().is_empty() {
            return None;
        }
        note_load(&mut load, name.trim(), value);
    }
    Some(load)
}
