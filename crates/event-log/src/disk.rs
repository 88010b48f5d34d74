//! The folder that records stand in: locked by one program at a time; files that are appended to, and files that are
//! replaced whole.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;

const LOCK: &str = "lock";

/// What a log needs of a disk.
pub trait Disk {
    /// A new file, open for appending from now on.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// To the file that is open.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// What was appended outlives a stop of the machine.
    fn sync(&mut self) -> io::Result<()>;
    /// A file with this content, all of it or, after a stop, the one before.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// The start of a file.
    fn read_head(&self, name: &str, bytes: usize) -> io::Result<Vec<u8>>;
    /// Names, sizes and times of the last change, in microseconds since 1970; in order of names.
    fn list(&self) -> io::Result<Vec<(String, u64, u64)>>;
}

#[derive(Debug, Error)]
pub enum LockError {
    #[error("{0}: another program writes records there")]
    Held(PathBuf),
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
}

/// A folder on disk.
pub struct Folder {
    path: PathBuf,
    open: Option<File>,
    /// Held until dropped, by the system also if the program is killed.
    _lock: Option<File>,
}

impl Folder {
    /// For writing: made if it is not there, and locked.
    ///
    /// Errors: another program holds it, or it cannot be had.
    pub fn lock(path: &Path) -> Result<Folder, LockError> {
        let wrong = |wrong| LockError::Io(path.to_path_buf(), wrong);
        fs::create_dir_all(path).map_err(wrong)?;
        let lock = OpenOptions::new()
            .create(true)
            .append(true)
            .open(path.join(LOCK))
            .map_err(wrong)?;
        match lock.try_lock() {
            Ok(()) => Ok(Folder {
                path: path.to_path_buf(),
                open: None,
                _lock: Some(lock),
            }),
            Err(TryLockError::WouldBlock) => Err(LockError::Held(path.to_path_buf())),
            Err(TryLockError::Error(other)) => Err(wrong(other)),
        }
    }

    /// For reading alone, also while another program writes.
    pub fn look(path: &Path) -> Folder {
        Folder {
            path: path.to_path_buf(),
            open: None,
            _lock: None,
        }
    }
}

impl Disk for Folder {
    fn create(&mut self, name: &str) -> io::Result<()> {
        let file = OpenOptions::new()
            .create_new(true)
            .append(true)
            .open(self.path.join(name))?;
        self.open = Some(file);
        File::open(&self.path)?.sync_all()
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.open
            .as_mut()
            .ok_or(io::ErrorKind::NotFound)?
            .write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.open.as_ref().map_or(Ok(()), File::sync_data)
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let part = self.path.join(format!("{name}.part"));
        let mut file = File::create(&part)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&part, self.path.join(name))?;
        File::open(&self.path)?.sync_all()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn read_head(&self, name: &str, bytes: usize) -> io::Result<Vec<u8>> {
        let mut head = Vec::with_capacity(bytes);
        File::open(self.path.join(name))?
            .take(bytes as u64)
            .read_to_end(&mut head)?;
        Ok(head)
    }

    fn list(&self) -> io::Result<Vec<(String, u64, u64)>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            let (meta, name) = (entry.metadata()?, entry.file_name());
            let Some(name) = name.to_str().filter(|_| meta.is_file()) else {
                continue;
            };
            let changed = meta
                .modified()
                .unwrap_or(UNIX_EPOCH)
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            files.push((name.to_string(), meta.len(), changed.as_micros() as u64));
        }
        files.sort();
        Ok(files)
    }
}

/// A disk that misbehaves, over a real one: for rehearsals and measurements.
pub struct Trouble<D> {
    pub disk: D,
    /// How long each `sync` and `replace` takes more.
    pub slow: Duration,
    /// Bytes that still fit; none: no end.
    pub room: Option<u64>,
    pub read_only: bool,
}

impl<D: Disk> Trouble<D> {
    pub fn over(disk: D) -> Trouble<D> {
        Trouble {
            disk,
            slow: Duration::ZERO,
            room: None,
            read_only: false,
        }
    }

    fn takes(&mut self, bytes: u64) -> io::Result<()> {
        if self.read_only {
            return Err(io::ErrorKind::ReadOnlyFilesystem.into());
        }
        match &mut self.room {
            Some(room) if *room < bytes => Err(io::ErrorKind::StorageFull.into()),
            Some(room) => {
                *room -= bytes;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

impl<D: Disk> Disk for Trouble<D> {
    fn create(&mut self, name: &str) -> io::Result<()> {
        self.takes(0)?;
        self.disk.create(name)
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        // What still fits is written: a full disk tears a record.
        if let Some(room) = self.room.filter(|room| *room < bytes.len() as u64) {
            self.disk.append(&bytes[..room as usize])?;
            self.room = Some(0);
        }
        self.takes(bytes.len() as u64)?;
        self.disk.append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        std::thread::sleep(self.slow);
        self.takes(0)?;
        self.disk.sync()
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        std::thread::sleep(self.slow);
        self.takes(bytes.len() as u64)?;
        self.disk.replace(name, bytes)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.disk.remove(name)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.disk.read(name)
    }

    fn read_head(&self, name: &str, bytes: usize) -> io::Result<Vec<u8>> {
        self.disk.read_head(name, bytes)
    }

    fn list(&self) -> io::Result<Vec<(String, u64, u64)>> {
        self.disk.list()
    }
}

/// Now, as `list` gives times.
pub fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}
