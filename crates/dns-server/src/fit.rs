//! An answer within the size that there is room for: the additional section goes first, then lines are sampled.

use hickory_proto::op::Message;
use pondarch_dns_core::{SrvTarget, sample};

/// Lines that a sample must hold at least to be worth more than the word to come by TCP.
const SAMPLE_LEAST: usize = 4;
/// Tables of so many lines are simply written out to see whether they fit.
const SMALL: usize = 16;

/// The largest of some answers that fits: `build` makes a message of so many lines, with the additional section or
/// without. None: not even a small sample fits; the asker must come by TCP.
pub(crate) fn fitted(
    lines: &[SrvTarget],
    room: usize,
    chance: &mut fastrand::Rng,
    build: impl Fn(&[SrvTarget], bool) -> Message,
) -> Option<Vec<u8>> {
    let encoded = |lines: &[SrvTarget], additional: bool| {
        build(lines, additional)
            .to_vec()
            .ok()
            .filter(|bytes| bytes.len() <= room)
    };
    // By the size of the line with the shortest name it is known which large tables cannot fit, without writing them out.
    let shortest = lines.iter().min_by_key(|line| line.host.0.len())?;
    let size = || {
        let one = build(std::slice::from_ref(shortest), false)
            .to_vec()
            .ok()?
            .len();
        let none = build(&[], false).to_vec().ok()?.len();
        Some(room.saturating_sub(none) / one.saturating_sub(none).max(1))
    };
    let most = if lines.len() <= SMALL {
        lines.len()
    } else {
        size()?
    };
    if lines.len() <= most
        && let Some(bytes) = encoded(lines, true).or_else(|| encoded(lines, false))
    {
        return Some(bytes);
    }
    let mut places = most.min(lines.len());
    while places >= SAMPLE_LEAST.min(lines.len()).max(1) {
        let drawn = sample(lines, places, chance);
        let message = build(&drawn, false).to_vec().ok()?;
        if message.len() <= room {
            return Some(message);
        }
        // By how much it was too large tells how many lines to leave out.
        let line = (message.len() / drawn.len().max(1)).max(1);
        places = places.saturating_sub(((message.len() - room) / line).max(1));
    }
    None
}
