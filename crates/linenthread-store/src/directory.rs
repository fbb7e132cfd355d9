//! [`Files`] in a directory of the file system.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use snafu::{ResultExt, Snafu};

use crate::Files;

/// The file that the process using a directory keeps locked.
const LOCK_FILE: &str = "lock";

/// The reason why a directory can't be used.
#[derive(Debug, Snafu)]
pub enum DirectoryError {
    /// The directory can't be created, locked or synced.
    #[snafu(display("{}: {step}: {source}", path.display()))]
    Io {
        /// The operation that failed.
        step: &'static str,
        /// The directory.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Another process has locked the directory.
    #[snafu(display("{}: another process uses this directory", path.display()))]
    Locked {
        /// The directory.
        path: PathBuf,
    },
}

#[derive(Debug)]
struct OpenFile {
    name: String,
    file: File,
}

/// A directory on the disk, locked so that one process at a time uses it.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
    /// Locked until this is dropped.
    _lock: File,
    /// The file that was last appended to or synced.
    open_file: Option<OpenFile>,
}

impl Directory {
    /// Locks a directory, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// The directory can't be created, locked or synced, or another process has locked it.
    pub fn open(path: &Path) -> Result<Directory, DirectoryError> {
        let failed = |step| IoSnafu { step, path };
        std::fs::create_dir_all(path).context(failed("creating it"))?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE))
            .context(failed("opening its lock"))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return LockedSnafu { path }.fail(),
            Err(TryLockError::Error(error)) => {
                return Err(error).context(failed("locking it"));
            }
        }
        // The directory's own entry in its parent has to be durable as well.
        let parent = path
            .parent()
            .filter(|parent| !parent.as_os_str().is_empty());
        if let Some(parent) = parent {
            File::open(parent)
                .and_then(|parent| parent.sync_all())
                .context(failed("syncing its name"))?;
        }
        Ok(Directory {
            path: path.to_owned(),
            _lock: lock,
            open_file: None,
        })
    }

    /// Returns a file that is open for appending; opens it, and creates it, if needed.
    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let is_open = self
            .open_file
            .as_ref()
            .is_some_and(|open| open.name == name);
        if !is_open {
            self.open_file = None;
        }
        let path = self.path.join(name);
        match &mut self.open_file {
            Some(open) => Ok(&mut open.file),
            slot @ None => {
                let file = OpenOptions::new().create(true).append(true).open(path)?;
                let name = name.to_owned();
                Ok(&mut slot.insert(OpenFile { name, file }).file)
            }
        }
    }
}

impl Files for Directory {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            names.extend((name != LOCK_FILE).then_some(name));
        }
        Ok(names)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        std::fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.open_file = None;
        let file = OpenOptions::new().write(true).open(self.path.join(name))?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_file = None;
        std::fs::remove_file(self.path.join(name))
    }
}
