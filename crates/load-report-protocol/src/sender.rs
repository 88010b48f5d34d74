//! The sender's side: a period ends, and there is credit or not. Without I/O.

use crate::message::{Body, Report, ToSender};

/// One connection of a sender; the numbers go on over connections.
#[derive(Clone, Debug, Default)]
pub struct Sender {
    credit: u32,
    number: u64,
    word: Option<(u64, u64)>,
    /// A period ended without credit: its report goes as soon as there is some.
    owes: bool,
}

impl Sender {
    /// A new connection: nothing may be sent before a word of the steward.
    pub fn connected(&mut self) {
        (self.credit, self.word, self.owes) = (0, None, false);
    }

    /// A word of the steward came, at this time of the sender's clock. Gives why, if it refuses.
    pub fn heard(&mut self, now_us: u64, word: ToSender) -> Option<String> {
        match word {
            ToSender::Credit { more, at_us } => {
                self.credit = self.credit.saturating_add(more);
                self.word = Some((at_us, now_us));
                None
            }
            ToSender::Refused { why } => Some(why),
        }
    }

    /// A period has ended.
    pub fn period(&mut self) {
        self.number += 1;
        self.owes = true;
    }

    /// What is to be sent now; `body` is asked for what is counted by now, and only then.
    pub fn next(&mut self, now_us: u64, body: impl FnOnce() -> Body) -> Option<Report> {
        if !self.owes || self.credit == 0 {
            return None;
        }
        (self.owes, self.credit) = (false, self.credit - 1);
        let (word_us, had_us) = self
            .word
            .map_or((0, 0), |(word, came)| (word, now_us.saturating_sub(came)));
        Some(Report {
            number: self.number,
            sent_us: now_us,
            word_us,
            had_us,
            body: body(),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn without_credit_nothing_is_sent_and_then_the_newest_alone() {
        let mut sender = Sender::default();
        sender.connected();
        sender.period();
        assert_eq!(sender.next(10, Body::default), None);
        sender.heard(
            20,
            ToSender::Credit {
                more: 2,
                at_us: 900,
            },
        );
        let first = sender.next(25, Body::default).expect("credit");
        assert_eq!((first.number, first.word_us, first.had_us), (1, 900, 5));
        assert_eq!(sender.next(26, Body::default), None, "once a period");
        (0..5).for_each(|_| sender.period());
        assert_eq!(
            sender.next(30, Body::default).map(|report| report.number),
            Some(6)
        );
        sender.period();
        assert_eq!(sender.next(31, Body::default), None, "no credit left");
        assert!(
            sender
                .heard(
                    40,
                    ToSender::Refused {
                        why: "unknown".into()
                    }
                )
                .is_some()
        );
    }
}
