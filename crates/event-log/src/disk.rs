//! The folder that holds an event log: locked by one process at a time, with append-only files and files that are
//! replaced atomically.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use thiserror::Error;

const LOCK_FILE: &str = "lock";

/// A file in the folder. Ordered by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FileEntry {
    /// File name within the folder.
    pub name: String,
    /// Size in bytes.
    pub bytes: u64,
    /// Last modification, in microseconds since the Unix epoch.
    pub modified_us: u64,
}

/// The file operations that an event log needs. Every call fails with the error of the operating system.
pub trait Disk {
    /// Creates a file and makes it the target of `append` and `sync`.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Appends to the most recently created file.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Flushes the appended bytes to stable storage.
    fn sync(&mut self) -> io::Result<()>;
    /// Replaces the content of a file atomically: after a crash of the machine it has either the old or the new
    /// content.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Reads a whole file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Reads at most the first `bytes` bytes of a file.
    fn read_start(&self, name: &str, bytes: usize) -> io::Result<Vec<u8>>;
    /// Returns the files, ordered by name.
    fn list(&self) -> io::Result<Vec<FileEntry>>;
}

/// The reason why a folder cannot be locked.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum LockError {
    /// Another process holds the lock.
    #[error("{0}: another program writes records there")]
    Held(PathBuf),
    /// The folder cannot be created, or its lock file cannot be opened.
    #[error("{path}: {source}")]
    Io {
        /// Path of the folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// A folder on disk.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// The most recently created file.
    append_file: Option<File>,
    /// Held until dropped; the operating system also releases it if the process is killed.
    _lock: Option<File>,
}

impl Folder {
    /// Opens a folder for writing: creates it if it does not exist, and locks it.
    ///
    /// # Errors
    ///
    /// Another process holds the lock, or the folder cannot be created.
    pub fn lock(path: &Path) -> Result<Folder, LockError> {
        let io_error = |source| LockError::Io {
            path: path.to_path_buf(),
            source,
        };
        fs::create_dir_all(path).map_err(io_error)?;
        let lock = OpenOptions::new()
            .create(true)
            .append(true)
            .open(path.join(LOCK_FILE))
            .map_err(io_error)?;
        match lock.try_lock() {
            Ok(()) => Ok(Folder {
                path: path.to_path_buf(),
                append_file: None,
                _lock: Some(lock),
            }),
            Err(TryLockError::WouldBlock) => Err(LockError::Held(path.to_path_buf())),
            Err(TryLockError::Error(source)) => Err(io_error(source)),
        }
    }

    /// Opens a folder for reading only, which also works while another process writes to it.
    #[must_use]
    pub fn read_only(path: &Path) -> Folder {
        Folder {
            path: path.to_path_buf(),
            append_file: None,
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
        self.append_file = Some(file);
        File::open(&self.path)?.sync_all()
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.append_file
            .as_mut()
            .ok_or(io::ErrorKind::NotFound)?
            .write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.append_file.as_ref().map_or(Ok(()), File::sync_data)
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let temporary = self.path.join(format!("{name}.part"));
        let mut file = File::create(&temporary)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&temporary, self.path.join(name))?;
        File::open(&self.path)?.sync_all()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn read_start(&self, name: &str, bytes: usize) -> io::Result<Vec<u8>> {
        let mut start = Vec::with_capacity(bytes);
        File::open(self.path.join(name))?
            .take(bytes as u64)
            .read_to_end(&mut start)?;
        Ok(start)
    }

    fn list(&self) -> io::Result<Vec<FileEntry>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            let metadata = entry.metadata()?;
            let name = entry.file_name();
            let Some(name) = name.to_str().filter(|_| metadata.is_file()) else {
                continue;
            };
            let modified = metadata
                .modified()
                .unwrap_or(UNIX_EPOCH)
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            files.push(FileEntry {
                name: name.to_string(),
                bytes: metadata.len(),
                modified_us: modified.as_micros() as u64,
            });
        }
        files.sort();
        Ok(files)
    }
}

/// Returns the wall clock time in microseconds since the Unix epoch, the time base of [`Disk::list`].
#[must_use]
pub fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}
