//! What a log needs of a disk, and the disk itself.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Files in one folder, each only ever added to at its end, cut shorter, or removed.
pub trait Files {
    /// The names in the folder.
    ///
    /// # Errors
    ///
    /// As the disk says; here and in all that follows.
    fn names(&mut self) -> io::Result<Vec<String>>;
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;
    /// Adds to the end of a file, which is made where there is none.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Returns once the file's bytes are on the disk for good.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Returns once the folder's names are.
    fn sync_names(&mut self) -> io::Result<()>;
    fn cut(&mut self, name: &str, length: u64) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A folder on the disk, held by one process at a time.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// Its lock goes with it.
    _lock: File,
    /// The file that was last added to, open.
    open: Option<(String, File)>,
}

const LOCK: &str = "lock";

impl Folder {
    /// Takes a folder, which is made where there is none.
    ///
    /// # Errors
    ///
    /// One line: the folder cannot be made, read or written, or another process has it.
    pub fn take(path: &Path) -> Result<Folder, String> {
        let said = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        std::fs::create_dir_all(path).map_err(|e| said(&e))?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK));
        let lock = lock.map_err(|e| said(&e))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(std::fs::TryLockError::WouldBlock) => {
                return Err(said(&"another process has this folder"));
            }
            Err(std::fs::TryLockError::Error(e)) => return Err(said(&e)),
        }
        // The folder's own name is to last as well.
        if let Some(above) = path.parent().filter(|above| !above.as_os_str().is_empty()) {
            File::open(above)
                .and_then(|above| above.sync_all())
                .map_err(|e| said(&e))?;
        }
        Ok(Folder {
            path: path.to_owned(),
            _lock: lock,
            open: None,
        })
    }

    fn opened(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|(open, _)| open != name) {
            let file = OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.path.join(name))?;
            self.open = Some((name.to_owned(), file));
        }
        match &mut self.open {
            Some((_, file)) => Ok(file),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }
}

impl Files for Folder {
    fn names(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            names.extend((name != LOCK).then_some(name));
        }
        Ok(names)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        std::fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.opened(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.opened(name)?.sync_data()
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.open = None;
        let file = OpenOptions::new().write(true).open(self.path.join(name))?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        std::fs::remove_file(self.path.join(name))
    }
}

/// One disk in several hands: a test breaks what a log uses.
impl<F: Files> Files for std::rc::Rc<std::cell::RefCell<F>> {
    fn names(&mut self) -> io::Result<Vec<String>> {
        self.borrow_mut().names()
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        self.borrow_mut().read(name)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.borrow_mut().append(name, bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.borrow_mut().sync(name)
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.borrow_mut().sync_names()
    }

    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.borrow_mut().cut(name, length)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.borrow_mut().remove(name)
    }
}
