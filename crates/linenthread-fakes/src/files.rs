//! Files of the programs under test.

use std::path::Path;

use tempfile::TempDir;

/// An empty folder, deleted with the value.
pub(crate) fn temporary_folder() -> TempDir {
    tempfile::tempdir().expect("a temporary folder can be made")
}

/// Writes a file, in place of an older one.
pub(crate) fn write_file(path: &Path, contents: &str) {
    std::fs::write(path, contents)
        .unwrap_or_else(|error| panic!("{} can be written: {error}", path.display()));
}
