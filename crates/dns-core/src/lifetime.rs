//! How long an answer may be held. Nothing can be taken back from a cache: a host that drains is out of it when the
//! last answer that named it has run out. The last one may leave just before the drain is known here.
//!
//! So: time to learn of a drain, plus the lifetime, plus what a cache adds by counting whole seconds, is within the
//! grace. Lifetimes are whole seconds (RFC 1035, section 3.2.1; the top bit is never set, RFC 2181, section 8).

use pondarch_controller::DurationExt;
use std::time::Duration;
use thiserror::Error;

/// A cache may count a part of a second as none: an answer of 1 s is held for up to 2.
const COUNTED: Duration = Duration::from_millis(1_000);
/// Longest lifetime that is ever given, in seconds: a mistake in a table must not last.
const LONGEST_S: u32 = 300;

/// Lifetimes in whole seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifetime {
    /// Of answers that name hosts.
    pub hosts_s: u32,
    /// Of names that do not exist or have nothing of the type asked for (RFC 2308): a host may come at any time, and a
    /// kind that has none open now must not be known as empty for longer.
    pub negative_s: u32,
}

#[derive(Clone, Debug, PartialEq, Error)]
pub enum LifetimeError {
    #[error(
        "a grace of {grace_ms} ms leaves no whole second for answers: {learn_ms} ms to learn of a drain and \
         1000 ms for how caches count go off it; with {least_ms} ms it would"
    )]
    TooShort {
        grace_ms: u64,
        learn_ms: u64,
        least_ms: u64,
    },
    #[error("a lifetime of {wanted_s} s does not fit in the grace: {most_s} s at most")]
    TooLong { wanted_s: u32, most_s: u32 },
}

impl Lifetime {
    /// The longest that the grace allows, or the one wanted. `learn`: the longest from the list's word on a drain to the
    /// first answer without the host.
    ///
    /// Errors: no whole second is left, or less than is wanted.
    pub fn of(
        grace: Duration,
        learn: Duration,
        wanted_s: Option<u32>,
    ) -> Result<Lifetime, LifetimeError> {
        let off = learn + COUNTED;
        let left_us = grace.micros().saturating_sub(off.micros());
        let most_s = u32::try_from(left_us / 1_000_000)
            .unwrap_or(LONGEST_S)
            .min(LONGEST_S);
        if most_s == 0 {
            let ms = |span: Duration| span.micros() / 1_000;
            let least = off + Duration::from_millis(1_000);
            return Err(LifetimeError::TooShort {
                grace_ms: ms(grace),
                learn_ms: ms(learn),
                least_ms: ms(least),
            });
        }
        match wanted_s {
            Some(wanted_s) if wanted_s > most_s => Err(LifetimeError::TooLong { wanted_s, most_s }),
            wanted => {
                let hosts_s = wanted.unwrap_or(most_s).max(1);
                Ok(Lifetime {
                    hosts_s,
                    negative_s: hosts_s,
                })
            }
        }
    }

    /// How long after its hosts were told away a table's last answer may still be given with a lifetime of 1 s, when
    /// the table has nothing else: it has run out before the grace ends. None: no time at all.
    pub fn last_answer_for(grace: Duration) -> Option<Duration> {
        let left = grace
            .micros()
            .checked_sub((Duration::from_millis(1_000) + COUNTED).micros())?;
        Some(Duration::from_micros(left)).filter(|left| *left > Duration::ZERO)
    }

    /// How long a cache may hold an answer at most.
    pub fn held(&self) -> Duration {
        Duration::from_millis(u64::from(self.hosts_s) * 1_000) + COUNTED
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: fn(u64) -> Duration = |s| Duration::from_millis(s * 1_000);

    #[test]
    fn a_lifetime_fits_in_the_grace_or_is_refused() {
        for grace_ms in (0..20_000).step_by(130) {
            for learn_ms in [0, 100, 350, 2_000] {
                let (grace, learn) = (
                    Duration::from_millis(grace_ms),
                    Duration::from_millis(learn_ms),
                );
                match Lifetime::of(grace, learn, None) {
                    Ok(life) => assert!(
                        learn + life.held() <= grace,
                        "{grace_ms} and {learn_ms}: {life:?}"
                    ),
                    Err(LifetimeError::TooShort { least_ms, .. }) => {
                        assert!(least_ms > grace_ms);
                        assert!(Lifetime::of(Duration::from_millis(least_ms), learn, None).is_ok());
                    }
                    Err(other) => panic!("{other}"),
                }
            }
        }
    }

    #[test]
    fn what_is_wanted_is_given_if_it_fits() {
        assert_eq!(
            Lifetime::of(S(10), S(1), Some(3)).map(|life| life.hosts_s),
            Ok(3)
        );
        assert_eq!(
            Lifetime::of(S(10), S(1), Some(9)),
            Err(LifetimeError::TooLong {
                wanted_s: 9,
                most_s: 8
            })
        );
        assert_eq!(
            Lifetime::of(S(86_400), S(1), None).map(|life| life.hosts_s),
            Ok(LONGEST_S)
        );
        assert_eq!(Lifetime::last_answer_for(S(6)), Some(S(4)));
        assert_eq!(Lifetime::last_answer_for(S(2)), None);
        let text =
            Lifetime::of(S(2), Duration::from_millis(350), None).map_err(|wrong| wrong.to_string());
        assert!(text.is_err_and(|text| text.contains("with 2350 ms it would")));
    }
}
