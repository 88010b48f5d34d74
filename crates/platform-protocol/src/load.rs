//! The load report that a host sends about itself: `TEXT inflight=7, queue=2, util=0.61` in the answer to a health
//! check, or `inflight:7,queue:2,util:0.61` in a collector's report.

use pondarch_controller::HostLoad;
use pondarch_deployment::record_load_value;

/// Maximum value in a load report, whose values are fractions, counts and milliseconds.
const MAX_VALUE: f64 = 1e7;
/// Maximum number of values in one load report.
const MAX_VALUES: usize = 32;

/// Parses the body of a host's answer to a health check. Returns `None` if it is not a load report.
#[must_use]
pub fn parse_body(body: &[u8]) -> Option<HostLoad> {
    let text = std::str::from_utf8(body).ok()?.trim();
    parse_pairs(text.strip_prefix("TEXT")?, '=')
}

/// Parses pairs of name and value, separated by commas. Returns `None` if any pair is invalid.
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
