//! Whether another try may follow one that ended, and the budget of such tries.

use pondarch_controller::Time;
use std::time::Duration;

/// Most tries of one req, the first one too.
const TRIES_MOST: usize = 3;
/// Tries that the budget holds at most: what a quiet proxy may spend at once when a host dies.
const BUDGET_MOST: f64 = 50.0;

/// When a proxy tries another host, as ordered for the kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    #[default]
    Never,
    /// On proof that no try so far has run.
    Unsent,
    Failure,
    FailureTwice,
}

/// What a second run of the same req does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    Replayable,
    /// Hosts of one group drop a repeat within this time of the first try.
    Uniqued(Duration),
    NonReplayable,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Done,
    /// Proof that it never ran: no connection, nothing sent, or the host's explicit word.
    NeverRan,
    MayHaveRun,
}

/// One req so far.
#[derive(Clone, Debug)]
pub struct Course {
    pub mode: Mode,
    pub repeats: Repeats,
    pub first_sent: Time,
    pub gives_up: Time,
    pub tries: usize,
    /// Whether any try before the last may have run.
    pub may_have_run: bool,
    /// The group of the first host that may have run it; none: not known.
    pub group: Option<String>,
    /// Whether all of its body is still there to be sent again.
    pub body_kept: bool,
}

/// What may follow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    Stop,
    Elsewhere,
    /// At another host of this group only.
    Within(String),
}

impl Mode {
    /// The words of the map `pond_tries`; unknown ones mean none, as the safe reading.
    pub fn from_word(word: &str) -> Mode {
        match word {
            "unsent" => Mode::Unsent,
            "failure" => Mode::Failure,
            "failure-twice" => Mode::FailureTwice,
            _ => Mode::Never,
        }
    }

    fn tries(self) -> usize {
        match self {
            Mode::Never => 1,
            Mode::Unsent | Mode::Failure => 2,
            Mode::FailureTwice => TRIES_MOST,
        }
    }
}

/// What may follow this try. No effect twice: a req that may have run is repeated only if that is safe for its kind,
/// whatever was ordered.
pub fn next(course: &Course, outcome: Outcome, now: Time) -> Next {
    let spent = course.tries >= course.mode.tries() || now >= course.gives_up || !course.body_kept;
    if outcome == Outcome::Done || spent {
        return Next::Stop;
    }
    if outcome == Outcome::NeverRan && !course.may_have_run {
        return Next::Elsewhere;
    }
    match (course.mode, course.repeats, &course.group) {
        (Mode::Never | Mode::Unsent, ..) | (_, Repeats::NonReplayable, _) => Next::Stop,
        (_, Repeats::Replayable, _) => Next::Elsewhere,
        (_, Repeats::Uniqued(memory), Some(group)) if now - course.first_sent < memory => {
            Next::Within(group.clone())
        }
        (_, Repeats::Uniqued(_), _) => Next::Stop,
    }
}

/// Further tries as a share of first ones: when everything fails, repeats would double the load that makes it fail.
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    held: f64,
}

impl Budget {
    pub fn new(share: f64) -> Budget {
        Budget {
            share,
            held: BUDGET_MOST * share.min(1.0),
        }
    }

    pub fn first(&mut self) {
        self.held = (self.held + self.share).min(BUDGET_MOST);
    }

    /// Takes one further try, if there is one.
    pub fn take(&mut self) -> bool {
        let there = self.held >= 1.0;
        self.held -= f64::from(u8::from(there));
        there
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn course(mode: Mode, repeats: Repeats, tries: usize, may_have_run: bool) -> Course {
        Course {
            mode,
            repeats,
            first_sent: Time::from_micros(1_000_000),
            gives_up: Time::from_micros(3_000_000),
            tries,
            may_have_run,
            group: Some("rack-1".into()),
            body_kept: true,
        }
    }

    proptest! {
        /// A non-replayable req that may have run is never sent again, and a uniqued one only where it is dropped.
        #[test]
        fn nothing_takes_effect_twice(mode in 0..4usize, kind in 0..3usize, tries in 1..5usize, ran: bool, proof: bool, after in 0..3_000_000u64) {
            let mode = [Mode::Never, Mode::Unsent, Mode::Failure, Mode::FailureTwice][mode];
            let memory = Duration::from_millis(750);
            let repeats = [Repeats::Replayable, Repeats::Uniqued(memory), Repeats::NonReplayable][kind];
            let outcome = if proof { Outcome::NeverRan } else { Outcome::MayHaveRun };
            let now = Time::from_micros(1_000_000 + after);
            let next = next(&course(mode, repeats, tries, ran), outcome, now);
            if ran || !proof {
                match repeats {
                    Repeats::NonReplayable => prop_assert_eq!(&next, &Next::Stop),
                    Repeats::Uniqued(_) => {
                        let dropped = next == Next::Within("rack-1".into()) && after < 750_000;
                        prop_assert!(next == Next::Stop || dropped);
                    }
                    Repeats::Replayable => {}
                }
            }
            prop_assert!(next == Next::Stop || (tries < 3 && mode != Mode::Never && after < 2_000_000));
        }
    }

    #[test]
    fn as_ordered_and_no_further() {
        let now = Time::from_micros(1_100_000);
        let of = |mode, tries, outcome| {
            next(
                &course(mode, Repeats::Replayable, tries, false),
                outcome,
                now,
            )
        };
        assert_eq!(of(Mode::Never, 1, Outcome::NeverRan), Next::Stop);
        assert_eq!(of(Mode::Unsent, 1, Outcome::NeverRan), Next::Elsewhere);
        assert_eq!(of(Mode::Unsent, 1, Outcome::MayHaveRun), Next::Stop);
        assert_eq!(of(Mode::Failure, 1, Outcome::MayHaveRun), Next::Elsewhere);
        assert_eq!(of(Mode::Failure, 2, Outcome::MayHaveRun), Next::Stop);
        assert_eq!(
            of(Mode::FailureTwice, 2, Outcome::MayHaveRun),
            Next::Elsewhere
        );
        assert_eq!(of(Mode::FailureTwice, 1, Outcome::Done), Next::Stop);
        let lost = Course {
            body_kept: false,
            ..course(Mode::Failure, Repeats::Replayable, 1, false)
        };
        assert_eq!(next(&lost, Outcome::NeverRan, now), Next::Stop);
    }

    #[test]
    fn the_budget_is_a_share() {
        let mut budget = Budget::new(0.2);
        let at_once = (0..100).filter(|_| budget.take()).count();
        assert_eq!(at_once, 10);
        let further = (0..1_000)
            .filter(|_| {
                budget.first();
                budget.take()
            })
            .count();
        assert!((195..=205).contains(&further), "{further}");
    }
}
