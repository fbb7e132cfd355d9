//! What a log needs of a disk.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

/// Files in one directory, each only ever appended to, truncated or removed.
pub trait Files {
    /// The names in the directory.
    ///
    /// # Errors
    ///
    /// As the disk reports; the same holds for the other methods.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// All bytes of a file.
    ///
    /// # Errors
    ///
    /// As [`Files::list`]; also if there is no such file.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Appends to a file, which is created if there is none.
    ///
    /// # Errors
    ///
    /// As [`Files::list`]; a part of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Returns once the file's bytes are durable.
    ///
    /// # Errors
    ///
    /// As [`Files::list`]; what of the file is durable is unknown then.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Returns once the directory's names are durable.
    ///
    /// # Errors
    ///
    /// As [`Files::list`].
    fn sync_directory(&mut self) -> io::Result<()>;

    /// Truncates a file to so many bytes, durably.
    ///
    /// # Errors
    ///
    /// As [`Files::list`].
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// As [`Files::list`].
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A disk with several owners: a simulation breaks what a log uses.
impl<F: Files> Files for Rc<RefCell<F>> {
    fn list(&mut self) -> io::Result<Vec<String>> {
        self.borrow_mut().list()
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

    fn sync_directory(&mut self) -> io::Result<()> {
        self.borrow_mut().sync_directory()
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.borrow_mut().truncate(name, length)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.borrow_mut().remove(name)
    }
}
