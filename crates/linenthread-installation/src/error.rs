//! Why a file cannot be used.

use std::path::PathBuf;

use snafu::Snafu;

/// The steps in which a file is read; each begins where the one before has found no error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadStep {
    /// The text is parsed as XML.
    Parse,
    /// The XML is validated against the schema.
    Validate,
    /// The XML is decoded into the sections.
    Decode,
    /// What a schema can't express is checked.
    Check,
}

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("{line}: {cause}"))]
pub struct InstallationError {
    /// The step that has found it.
    pub step: ReadStep,
    /// The line, from 1.
    pub line: usize,
    /// What is wrong, for the operator.
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

/// Why a file cannot be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReadFileError {
    /// The file system has refused it.
    #[snafu(display("{}: {source}", file.display()))]
    Io {
        /// The file.
        file: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// Its text is not valid.
    #[snafu(display("{}:{source}", file.display()))]
    Invalid {
        /// The file.
        file: PathBuf,
        /// What is wrong, and in which line.
        source: InstallationError,
    },
}
