//! The folder that holds a log: locked by one program at a time, with files that are appended to and files that are
//! replaced as a whole.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use thiserror::Error;

const LOCK_FILE: &str = "lock";

/// A file in a folder. In order of names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FileEntry {
    /// Its name in the folder.
    pub name: String,
    /// Its size.
    pub bytes: u64,
    /// When it was last changed, in microseconds since 1970.
    pub modified_us: u64,
}

/// What a log needs of a disk. Every call fails with the error of the system.
pub trait Disk {
    /// Creates a file, which `append` and `sync` are for from now on.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Appends to the file that was created last.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Ensures that what was appended outlives a stop of the machine.
    fn sync(&mut self) -> io::Result<()>;
    /// Gives a file this content: all of it or, after a stop of the machine, the content before.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Reads a whole file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Reads the start of a file, up to this length.
    fn read_start(&self, name: &str, bytes: usize) -> io::Result<Vec<u8>>;
    /// The files, in order of names.
    fn list(&self) -> io::Result<Vec<FileEntry>>;
}

/// Why a folder cannot be locked.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum LockError {
    /// Another program holds its lock.
    #[error("{0}: another program writes records there")]
    Held(PathBuf),
    /// It cannot be created, or its lock file cannot be opened.
    #[error("{path}: {source}")]
    Io {
        /// The folder.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
}

/// A folder on disk.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    appended: Option<File>,
    /// Held until dropped, and released by the system also if the program is killed.
    _lock: Option<File>,
}

impl Folder {
    /// For writing: created if it does not exist, and locked.
    ///
    /// # Errors
    ///
    /// Another program holds it, or it cannot be created.
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
                appended: None,
                _lock: Some(lock),
            }),
            Err(TryLockError::WouldBlock) => Err(LockError::Held(path.to_path_buf())),
            Err(TryLockError::Error(source)) => Err(io_error(source)),
        }
    }

    /// For reading alone, also while another program writes.
    #[must_use]
    pub fn read_only(path: &Path) -> Folder {
        Folder {
            path: path.to_path_buf(),
            appended: None,
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
        self.appended = Some(file);
        File::open(&self.path)?.sync_all()
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.appended
            .as_mut()
            .ok_or(io::ErrorKind::NotFound)?
            .write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.appended.as_ref().map_or(Ok(()), File::sync_data)
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

/// The wall clock in microseconds since 1970, as [`Disk::list`] gives times.
#[must_use]
pub fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}
