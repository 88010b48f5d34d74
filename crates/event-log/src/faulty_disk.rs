//! A disk with injected faults, over a real one: for tests, rehearsals and measurements.

use crate::disk::{Disk, FileEntry};
use std::io;
use std::time::Duration;

/// A disk that is slow, full or read-only on request.
#[derive(Debug)]
pub struct FaultyDisk<D> {
    /// The disk behind it.
    pub disk: D,
    /// By how much each `sync` and `replace` takes longer.
    pub sync_delay: Duration,
    /// Bytes that still fit; none: no limit.
    pub remaining_bytes: Option<u64>,
    /// Whether every write fails as on a read-only file system.
    pub read_only: bool,
}

impl<D: Disk> FaultyDisk<D> {
    /// Without a fault so far.
    #[must_use]
    pub fn new(disk: D) -> FaultyDisk<D> {
        FaultyDisk {
            disk,
            sync_delay: Duration::ZERO,
            remaining_bytes: None,
            read_only: false,
        }
    }

    /// Takes the bytes off what still fits, or fails as the disk would.
    fn reserve(&mut self, bytes: u64) -> io::Result<()> {
        if self.read_only {
            return Err(io::ErrorKind::ReadOnlyFilesystem.into());
        }
        match &mut self.remaining_bytes {
            Some(remaining) if *remaining < bytes => Err(io::ErrorKind::StorageFull.into()),
            Some(remaining) => {
                *remaining -= bytes;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

impl<D: Disk> Disk for FaultyDisk<D> {
    fn create(&mut self, name: &str) -> io::Result<()> {
        self.reserve(0)?;
        self.disk.create(name)
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        // What still fits is written: a full disk tears a record.
        let too_small = |remaining: &u64| *remaining < bytes.len() as u64;
        if let Some(remaining) = self.remaining_bytes.filter(too_small) {
            self.disk.append(&bytes[..remaining as usize])?;
            self.remaining_bytes = Some(0);
        }
        self.reserve(bytes.len() as u64)?;
        self.disk.append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        std::thread::sleep(self.sync_delay);
        self.reserve(0)?;
        self.disk.sync()
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        std::thread::sleep(self.sync_delay);
        self.reserve(bytes.len() as u64)?;
        self.disk.replace(name, bytes)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.disk.remove(name)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.disk.read(name)
    }

    fn read_start(&self, name: &str, bytes: usize) -> io::Result<Vec<u8>> {
        self.disk.read_start(name, bytes)
    }

    fn list(&self) -> io::Result<Vec<FileEntry>> {
        self.disk.list()
    }
}
