//! Which table is newer, and who may send one.
//!
//! A version names the steward, which start of it (microseconds since 1970), and a number that rises with each
//! batch: `name:start/number`. Stewards share nothing, so their numbers do not compare. Of one steward, a later
//! start wins, and within a start the higher number; the same number again is the same batch, or its next line, and
//! harmless, as orders only set. Of two stewards, the one whose connection is the newer wins while both stand; once
//! the holder's connection is gone, any other may send. A steward that only was silent and comes back on its old
//! connection is refused from then on, and may dial anew.

use std::cmp::Ordering;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    pub steward: String,
    pub start: u64,
    pub number: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum VersionError {
    #[error("'{0}' is no version: name:start/number")]
    Malformed(String),
    #[error("{sent} is older than {held}")]
    Older { sent: Version, held: Version },
    #[error("{sent} comes from a steward that {held} has taken over from")]
    Displaced { sent: Version, held: Version },
}

/// The version that is held, and the connection that it came by (they are numbered as they open).
#[derive(Clone, Debug, Default)]
pub struct Holder {
    held: Option<(Version, u64)>,
    open: bool,
}

impl Holder {
    pub fn version(&self) -> Option<&Version> {
        self.held.as_ref().map(|(version, _)| version)
    }

    /// Whether this connection is the holder's.
    pub fn is_by(&self, connection: u64) -> bool {
        self.open && self.held.as_ref().is_some_and(|(_, by)| *by == connection)
    }

    /// Whether the steward that the table came from is still connected.
    pub fn is_joined(&self) -> bool {
        self.open
    }

    /// A connection ended.
    pub fn closed(&mut self, connection: u64) {
        if self.held.as_ref().is_some_and(|(_, by)| *by == connection) {
            self.open = false;
        }
    }

    /// Takes a version that came by this connection, or says why not; then nothing has changed.
    pub fn take(&mut self, sent: Version, connection: u64) -> Result<(), VersionError> {
        if let Some((held, by)) = &self.held {
            let order = (sent.start, sent.number).cmp(&(held.start, held.number));
            if sent.steward == held.steward && order == Ordering::Less {
                return Err(VersionError::Older {
                    sent,
                    held: held.clone(),
                });
            }
            if sent.steward != held.steward && self.open && connection < *by {
                return Err(VersionError::Displaced {
                    sent,
                    held: held.clone(),
                });
            }
        }
        (self.held, self.open) = (Some((sent, connection)), true);
        Ok(())
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}/{}", self.steward, self.start, self.number)
    }
}

impl FromStr for Version {
    type Err = VersionError;

    fn from_str(text: &str) -> Result<Version, VersionError> {
        let malformed = || VersionError::Malformed(text.chars().take(80).collect());
        let (mark, number) = text.rsplit_once('/').ok_or_else(malformed)?;
        let (steward, start) = mark.rsplit_once(':').ok_or_else(malformed)?;
        let (start, number) = (
            start.parse().map_err(|_| malformed())?,
            number.parse().map_err(|_| malformed())?,
        );
        if steward.is_empty() {
            return Err(malformed());
        }
        Ok(Version {
            steward: steward.to_string(),
            start,
            number,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn version(steward: &str, start: u64, number: u64) -> Version {
        Version {
            steward: steward.into(),
            start,
            number,
        }
    }

    proptest! {
        /// Whatever comes in whatever order, one steward's versions never go back.
        #[test]
        fn never_back(sent in prop::collection::vec((0..2usize, 1..4u64, 1..9u64, 0..5u64), 1..60)) {
            let mut holder = Holder::default();
            let mut newest = [(0, 0); 2];
            let mut last: Option<usize> = None;
            for (steward, start, number, connection) in sent {
                let name = ["a", "b"][steward];
                if holder.take(version(name, start, number), connection).is_ok() {
                    // Taken over from another steward, a number may be any; of the same one it rises.
                    if last == Some(steward) {
                        prop_assert!((start, number) >= newest[steward]);
                    }
                    newest[steward] = (start, number);
                    last = Some(steward);
                }
            }
        }

        #[test]
        fn written_and_read(name in "[a-z][a-z0-9:._-]{0,9}", start: u64, number: u64) {
            let version = version(&name, start, number);
            prop_assert_eq!(version.to_string().parse(), Ok(version));
        }
    }

    #[test]
    fn two_stewards() {
        let mut holder = Holder::default();
        assert!(holder.take(version("a", 1, 7), 1).is_ok());
        assert!(
            holder.take(version("b", 1, 1), 2).is_ok(),
            "the newer connection wins"
        );
        assert!(matches!(
            holder.take(version("a", 1, 8), 1),
            Err(VersionError::Displaced { .. })
        ));
        assert!(
            holder.take(version("a", 1, 8), 3).is_ok(),
            "it has dialled anew"
        );
        holder.closed(3);
        assert!(!holder.is_joined());
        assert!(
            holder.take(version("b", 1, 2), 2).is_ok(),
            "the holder is gone"
        );
        assert!(matches!(
            holder.take(version("b", 0, 9), 2),
            Err(VersionError::Older { .. })
        ));
        assert!(
            holder.take(version("b", 1, 2), 2).is_ok(),
            "the same again is the same batch"
        );
    }
}
