//! A host's own load report: `TEXT inflight=7, queue=2, util=0.61`, or pairs as collectors' reports carry them.

use pondarch_controller::HostLoad;
use pondarch_deployment::record_load_value;

/// No value of a load report is above this: loads are fractions, counts and milliseconds.
const MAX_VALUE: f64 = 1e7;
/// Values in one load report.
const MAX_VALUES: usize = 32;

/// Reads the body of a host's answer to a health check; none if it is no load report.
#[must_use]
pub fn parse_body(body: &[u8]) -> Option<HostLoad> {
    let text = std::str::from_utf8(body).ok()?.trim();
    parse_pairs(text.strip_prefix("TEXT")?, '=')
}

/// Reads pairs of name and value, separated by commas; none if any value is invalid.
pub(crate) fn parse_pairs(text: &str, separator: char) -> Option<HostLoad> {
    let mut load = HostLoad::default();
    for (position, pair) in text.split(',').enumerate() {
        let (name, value) = pair.trim().split_once(separator)?;
        let value = value
            .trim()
            .parse::<f64>()
            .ok()
            .filter(|value| (0.0..=MAX_VALUE).contains(value))?;
        if position >= MAX_VALUES || name.trim().is_empty() {
            return None;
        }
        record_load_value(&mut load, name.trim(), value);
    }
    Some(load)
}
