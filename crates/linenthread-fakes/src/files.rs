//! Files of the programs under test.

use std::path::Path;

use tempfile::TempDir;

/// Creates an empty folder that is deleted when the returned value is dropped.
pub(crate) fn temporary_folder() -> TempDir {
    tempfile::tempdir().expect("a temporary folder can be created")
}

/// Writes a file, replacing an existing one.
pub(crate) fn write_file(path: &Path, contents: &str) {
    std::fs::write(path, contents)
        .unwrap_or_else(|error| panic!("cannot write {}: {error}", path.display()));
}
