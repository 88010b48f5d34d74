//! The same inputs once more, through the present build: each run from its start, with its own settings and seed. What it
//! decides is held against what was decided then.

use crate::record::{Decision, Record, Start};
use crate::runs::{self, Flaw, HistoryError, Numbers};
use pondarch_config::{Site, site_from_text};
use pondarch_controller::Time;
use pondarch_daemon_core::{Core, Input};
use pondarch_event_log::Disk;
use std::time::{Duration, Instant};

/// Which inputs of each run are held against what was decided; all are played, as later ones follow from earlier ones.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    pub from: u64,
    pub to: u64,
}

impl Default for Span {
    fn default() -> Span {
        Span {
            from: 0,
            to: u64::MAX,
        }
    }
}

/// The first decision that differs.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    pub n: u64,
    pub at_us: u64,
    pub input: Input,
    /// What was decided then and now, from the first that differs; none: nothing more.
    pub then: Option<Decision>,
    pub now: Option<Decision>,
}

/// One run played again.
#[derive(Clone, Debug)]
pub struct Replayed {
    pub epoch: u64,
    pub program: String,
    pub inputs: u64,
    pub decisions: u64,
    /// Time that the inputs span, and that the replay took.
    pub spans: Duration,
    pub took: Duration,
    pub differs: Option<Difference>,
    /// Why it could not be played to its end.
    pub stopped: Option<String>,
}

/// A run under way.
struct Playing {
    core: Core,
    epoch: u64,
    report: Replayed,
    began: Instant,
    first_us: u64,
    /// What was decided by the last input, not yet held against the record.
    last: Option<(u64, u64, Input, Vec<Decision>)>,
    numbers: Numbers,
}

/// Plays all runs of a folder whose start is on record.
///
/// Errors: the folder cannot be read, or a run's settings are none.
pub fn replay(disk: &impl Disk, span: Span) -> Result<(Vec<Replayed>, Vec<Flaw>), HistoryError> {
    let (places, mut flaws) = runs::places(disk)?;
    if places.is_empty() {
        return Err(HistoryError::Nothing);
    }
    let (mut done, mut playing): (Vec<Replayed>, Option<Playing>) = (Vec::new(), None);
    let mut wrong = None;
    let mut without = None;
    for place in &places {
        let epoch = place.head.incarnation;
        let torn_before = flaws.len();
        runs::read(disk, place, &mut flaws, |_, record| {
            if let Record::Start(start) = record {
                done.extend(playing.take().map(Playing::end));
                match Playing::start(&start) {
                    Ok(begun) => playing = Some(begun),
                    Err(other) => wrong = Some(other),
                }
                return wrong.is_none();
            }
            match playing.as_mut().filter(|playing| playing.epoch == epoch) {
                Some(playing) => playing.took(record, span),
                None => without = Some(epoch),
            }
            true
        })?;
        if let Some(wrong) = wrong {
            return Err(wrong);
        }
        if let Some(playing) = playing.as_mut().filter(|_| flaws.len() > torn_before) {
            playing
                .report
                .stopped
                .get_or_insert("its records are torn".into());
        }
        if let Some(epoch) = without.take() {
            let what =
                format!("the start of run {epoch} is not on record any more: it cannot be played");
            flaws.push(Flaw {
                name: place.name.clone(),
                what,
            });
        }
    }
    done.extend(playing.map(Playing::end));
    Ok((done, flaws))
}

impl Playing {
    fn start(start: &Start) -> Result<Playing, HistoryError> {
        let site: Site = site_from_text(&start.settings)
            .map_err(|wrong| HistoryError::Settings(wrong.to_string()))?;
        let at = Time::from_micros(start.at_us);
        Ok(Playing {
            core: Core::new(&site, start.seed, start.process, start.epoch, at),
            epoch: start.epoch,
            report: Replayed {
                epoch: start.epoch,
                program: start.program.clone(),
                inputs: 0,
                decisions: 0,
                spans: Duration::ZERO,
                took: Duration::ZERO,
                differs: None,
                stopped: None,
            },
            began: Instant::now(),
            first_us: start.at_us,
            last: None,
            numbers: Numbers::default(),
        })
    }

    fn took(&mut self, record: Record, span: Span) {
        if self.report.stopped.is_some() {
            return;
        }
        match record {
            Record::Start(_) => {}
            Record::Input { n, at_us, input } => {
                self.compare(Vec::new(), span);
                if self.report.inputs == 0 && n != 1 {
                    self.report.stopped = Some(format!("it begins with input {n}"));
                    return;
                }
                if let Some((first, last)) = self.numbers.missing(self.epoch, n) {
                    self.report.stopped = Some(format!("inputs {first} to {last} are missing"));
                    return;
                }
                self.report.inputs += 1;
                self.report.spans = Duration::from_micros(at_us.saturating_sub(self.first_us));
                self.core.handle(Time::from_micros(at_us), input.clone());
                let decided: Vec<Decision> = std::iter::from_fn(|| self.core.next_output())
                    .map(Decision::of)
                    .collect();
                self.report.decisions += decided.len() as u64;
                self.last = Some((n, at_us, input, decided));
            }
            Record::Decided { n, decisions } => {
                if self.last.as_ref().is_some_and(|(last, ..)| *last == n) {
                    self.compare(decisions, span);
                }
            }
            Record::Gap { first, last, why } => {
                self.report.stopped =
                    Some(format!("inputs {first} to {last} were not recorded: {why}"));
            }
        }
    }

    /// Holds what was decided by the last input against the record of it; an input without one decided nothing.
    fn compare(&mut self, then: Vec<Decision>, span: Span) {
        let Some((n, at_us, input, now)) = self.last.take() else {
            return;
        };
        if self.report.differs.is_some() || n < span.from || n > span.to || then == now {
            return;
        }
        let same = then
            .iter()
            .zip(&now)
            .take_while(|(then, now)| then == now)
            .count();
        let (then, now) = (then.get(same).cloned(), now.get(same).cloned());
        self.report.differs = Some(Difference {
            n,
            at_us,
            input,
            then,
            now,
        });
    }

    fn end(mut self) -> Replayed {
        // The record of the last input may be the one thing that was torn off.
        if self.report.stopped.is_none()
            && self
                .last
                .as_ref()
                .is_some_and(|(.., decided)| decided.is_empty())
        {
            self.compare(Vec::new(), Span::default());
        }
        self.report.took = self.began.elapsed();
        self.report
    }
}
