//! A wrapper around a disk that injects faults, for tests, rehearsals and benchmarks.

use crate::disk::{Disk, FileEntry};
use std::io;
use std::time::Duration;

/// A disk that is slow, full or read-only on request.
#[derive(Debug)]
pub struct FaultyDisk<D> {
    /// The wrapped disk.
    pub disk: D,
    /// Added to the duration of each `sync` and `replace`.
    pub sync_delay: Duration,
    /// Free space in bytes; `None` means unlimited.
    pub remaining_bytes: Option<u64>,
    /// Whether every write fails as it does on a read-only file system.
    pub read_only: bool,
}

impl<D: Disk> FaultyDisk<D> {
    /// Wraps a disk without any fault.
    #[must_use]
    pub fn new(disk: D) -> FaultyDisk<D> {
        FaultyDisk {
            disk,
            sync_delay: Duration::ZERO,
            remaining_bytes: None,
            read_only: false,
        }
    }

    /// Subtracts the bytes from the free space, or fails as a full or read-only disk does.
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
        // Like a real disk, writes the part that still fits, which leaves a torn record.
        let is_too_small = |remaining: &u64| *remaining < bytes.len() as u64;
        if let Some(remaining) = self.remaining_bytes.filter(is_too_small) {
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
