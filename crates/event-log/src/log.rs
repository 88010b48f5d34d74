//! The log of a run: records go to segments `<number>.rec`, snapshots to `<number>.snap`, both numbered in one row over all
//! runs, so that what belongs together stands together.

use crate::disk::Disk;
use crate::frame;
use crate::keeping::{Held, Keep, Keeping, State};
use crate::segment::{self, Head};
use pondarch_controller::Time;
use std::io;
use thiserror::Error;

/// Snapshots that are kept: the newest, and one more in case that is broken.
const SNAPSHOTS: usize = 2;
const RECORDS: &str = ".rec";
const SNAPSHOT: &str = ".snap";

#[derive(Debug, Error)]
pub enum LogError {
    #[error("the folder of records: {0}")]
    Folder(#[from] io::Error),
}

/// A log that is written.
pub struct Log<D> {
    disk: D,
    keeping: Keeping,
    epoch: u64,
    /// Number of the file that comes next.
    next: u64,
    open: bool,
    /// Number of the last segment of this run.
    segment: u64,
    /// Segments from here on are needed by the newest snapshot, or by a run that has none yet.
    needed: u64,
}

impl<D: Disk> Log<D> {
    /// A log in this folder, for a run of this epoch; nothing is written yet.
    ///
    /// Errors: the folder cannot be read.
    pub fn new(disk: D, keep: Keep, epoch: u64) -> Result<Log<D>, LogError> {
        let numbers = disk
            .list()?
            .into_iter()
            .filter_map(|(name, ..)| number_of(&name).map(|(n, _)| n));
        let next = numbers.max().map_or(1, |last| last + 1);
        Ok(Log {
            disk,
            keeping: Keeping::new(keep),
            epoch,
            next,
            open: false,
            segment: next,
            needed: next,
        })
    }

    pub fn keeping(&self) -> &Keeping {
        &self.keeping
    }

    pub fn disk(&mut self) -> &mut D {
        &mut self.disk
    }

    /// Writes records that stand in one buffer of frames, of which the first is of the input of this number. Gives
    /// whether it was written: if not, the log is stopped and tries again when `keeping` says so.
    pub fn write(&mut self, now: Time, first: u64, frames: &[u8]) -> bool {
        if !self.keeping.may_write(now) {
            return false;
        }
        match self.append(now, first, frames) {
            Ok(()) => true,
            Err(wrong) => {
                self.stop(now, &wrong);
                false
            }
        }
    }

    fn append(&mut self, now: Time, first: u64, frames: &[u8]) -> io::Result<()> {
        if !self.open {
            // After a failure the last segment may be torn: never written to again.
            self.disk.create(&format!("{:08}{RECORDS}", self.next))?;
            self.segment = self.next;
            self.next += 1;
            self.open = true;
            self.keeping.opened();
            self.disk.append(&segment::write_head(&Head {
                epoch: self.epoch,
                first,
            }))?;
        }
        self.disk.append(frames)?;
        if self.keeping.wrote(now, frames.len() as u64) {
            self.sync()?;
            self.open = false;
            trim(&mut self.disk, &self.keeping, now, self.needed)?;
        }
        Ok(())
    }

    /// Makes sure of what was written, if that is due.
    pub fn make_sure(&mut self, now: Time) {
        if self.keeping.sure_at().is_some_and(|at| at <= now)
            && let Err(wrong) = self.sync()
        {
            self.stop(now, &wrong);
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        self.disk.sync()?;
        self.keeping.made_sure();
        Ok(())
    }

    fn stop(&mut self, now: Time, wrong: &io::Error) {
        self.open = false;
        self.keeping.failed(now, wrong.to_string());
    }

    /// A snapshot of what is known after all that was written. Gives whether it stands.
    pub fn snapshot(&mut self, now: Time, record: &[u8]) -> bool {
        if *self.keeping.state() != State::Writes {
            return false;
        }
        let mut bytes = Vec::new();
        frame::write(&mut bytes, record);
        let name = format!("{:08}{SNAPSHOT}", self.next);
        // What it stands for is made sure of before it is.
        let written = self.sync().and_then(|()| self.disk.replace(&name, &bytes));
        if let Err(wrong) = written {
            self.stop(now, &wrong);
            return false;
        }
        // The segment that is open goes on; what comes after the snapshot begins in it or in the next.
        self.needed = if self.open { self.segment } else { self.next };
        self.next += 1;
        // Dropping is no part of it: what could not be dropped is next time.
        self.drop_snapshots().ok();
        true
    }

    fn drop_snapshots(&mut self) -> io::Result<()> {
        let files = self.disk.list()?;
        let snapshots: Vec<String> = files
            .into_iter()
            .map(|(name, ..)| name)
            .filter(|name| name.ends_with(SNAPSHOT))
            .collect();
        for name in snapshots.iter().rev().skip(SNAPSHOTS) {
            self.disk.remove(name)?;
        }
        Ok(())
    }

    /// The end of a run: all that was written is made sure of.
    pub fn end(mut self, now: Time) {
        if self.open && self.sync().is_err() {
            self.keeping
                .failed(now, "the end could not be made sure of".into());
        }
    }
}

/// A file's number, and whether it is a snapshot; none: it is neither.
pub fn number_of(name: &str) -> Option<(u64, bool)> {
    let (number, is_snapshot) = match name.strip_suffix(SNAPSHOT) {
        Some(number) => (number, true),
        None => (name.strip_suffix(RECORDS)?, false),
    };
    number.parse().ok().map(|number| (number, is_snapshot))
}

/// Drops the segments that are over what is kept, but none from `needed` on; gives how many.
pub fn trim<D: Disk>(disk: &mut D, keeping: &Keeping, now: Time, needed: u64) -> io::Result<usize> {
    let drops = keeping.drops(now, &held(disk)?, needed);
    for number in &drops {
        disk.remove(&format!("{number:08}{RECORDS}"))?;
    }
    Ok(drops.len())
}

/// The segments of a folder, oldest first.
pub fn held<D: Disk>(disk: &D) -> io::Result<Vec<Held>> {
    let of = |(name, bytes, written): (String, u64, u64)| match number_of(&name) {
        Some((number, false)) => Some(Held {
            number,
            bytes,
            written: Time::from_micros(written),
        }),
        _ => None,
    };
    Ok(disk.list()?.into_iter().filter_map(of).collect())
}

/// Names of the segments and of the snapshots of a folder, oldest first.
pub fn files<D: Disk>(disk: &D) -> io::Result<(Vec<String>, Vec<String>)> {
    let names = disk
        .list()?
        .into_iter()
        .map(|(name, ..)| name)
        .filter(|name| number_of(name).is_some());
    Ok(names.partition(|name| name.ends_with(RECORDS)))
}
