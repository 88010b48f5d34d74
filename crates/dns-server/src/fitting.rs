//! Limits an answer to its maximum size: the additional section is left out first, then the targets are sampled.

use hickory_proto::op::Message;
use pondarch_dns_core::{SrvTarget, sample};

/// The fewest targets in a sample; with fewer, a truncated answer and a retry over TCP are better.
const MIN_SAMPLE: usize = 4;
/// Tables of at most this many targets are always encoded to find out whether they fit.
const SMALL_TABLE: usize = 16;

/// Encodes the largest answer that fits in `max_size`. `build` makes a message of the given targets, with or without
/// the additional section. Returns `None` if not even the smallest sample fits; the client must then retry over TCP.
pub(crate) fn largest_that_fits(
    targets: &[SrvTarget],
    max_size: usize,
    rng: &mut fastrand::Rng,
    build: impl Fn(&[SrvTarget], bool) -> Message,
) -> Option<Vec<u8>> {
    let encode_whole = |with_additional: bool| {
        build(targets, with_additional)
            .to_vec()
            .ok()
            .filter(|bytes| bytes.len() <= max_size)
    };
    let max_targets = max_target_count(targets, max_size, &build)?;
    if targets.len() <= max_targets
        && let Some(bytes) = encode_whole(true).or_else(|| encode_whole(false))
    {
        return Some(bytes);
    }
    let mut count = max_targets.min(targets.len());
    while count >= MIN_SAMPLE.min(targets.len()).max(1) {
        let drawn = sample(targets, count, rng);
        let bytes = build(&drawn, false).to_vec().ok()?;
        if bytes.len() <= max_size {
            return Some(bytes);
        }
        // The excess size and the mean size of a target give the number of targets to leave out.
        let target_size = (bytes.len() / drawn.len().max(1)).max(1);
        count = count.saturating_sub(((bytes.len() - max_size) / target_size).max(1));
    }
    None
}

/// The upper bound of the number of targets that fit, from the size of the target with the shortest name. It rules out
/// large tables without encoding them.
fn max_target_count(
    targets: &[SrvTarget],
    max_size: usize,
    build: &impl Fn(&[SrvTarget], bool) -> Message,
) -> Option<usize> {
    let shortest = targets.iter().min_by_key(|target| target.host.0.len())?;
    if targets.len() <= SMALL_TABLE {
        return Some(targets.len());
    }
    let with_shortest = build(std::slice::from_ref(shortest), false)
        .to_vec()
        .ok()?
        .len();
    let empty = build(&[], false).to_vec().ok()?.len();
    Some(max_size.saturating_sub(empty) / with_shortest.saturating_sub(empty).max(1))
}
