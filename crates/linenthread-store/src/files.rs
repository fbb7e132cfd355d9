//! The file operations that a log needs.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

/// Files in one directory, each only ever appended to, truncated or removed.
pub trait Files {
    /// Returns the names of the files in the directory.
    ///
    /// # Errors
    ///
    /// The disk fails; this holds for all methods.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Returns all bytes of a file.
    ///
    /// # Errors
    ///
    /// As [`Files::list`]; also if there is no such file.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Appends to a file, and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// As [`Files::list`]; some of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes the file's bytes durable; returns once they are.
    ///
    /// # Errors
    ///
    /// As [`Files::list`]; which of the file's bytes are durable is unknown then.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Makes the names in the directory durable; returns once they are.
    ///
    /// # Errors
    ///
    /// As [`Files::list`].
    fn sync_directory(&mut self) -> io::Result<()>;

    /// Truncates a file to `length` bytes, durably.
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

/// A shared disk, so that a simulation can inject faults while a log uses it.
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
