//! Errors in reading an installation file.

use std::path::PathBuf;

use snafu::Snafu;

/// The steps in which a file is read; each is taken only if the one before found no error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadStep {
    /// The text is parsed as XML.
    Parse,
    /// The XML is validated against the schema.
    Validate,
    /// The XML is decoded into the sections.
    Decode,
    /// Constraints that a schema cannot express are checked.
    Check,
}

/// An error in a file's text, with its line.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("{line}: {cause}"))]
pub struct InstallationError {
    /// The step that found the error.
    pub step: ReadStep,
    /// The line of the error, from 1.
    pub line: usize,
    /// The description of the error, for the operator.
    pub cause: String,
}

impl InstallationError {
    pub(crate) fn new(step: ReadStep, line: usize, cause: impl Into<String>) -> Self {
        InstallationError {
            step,
            line,
            cause: cause.into(),
        }
    }
}

/// An error in reading a file.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReadFileError {
    /// The file cannot be read from the file system.
    #[snafu(display("{}: {source}", file.display()))]
    Io {
        /// The file.
        file: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The file's text is not valid.
    #[snafu(display("{}:{source}", file.display()))]
    Invalid {
        /// The file.
        file: PathBuf,
        /// The error in the text, with its line.
        source: InstallationError,
    },
}
