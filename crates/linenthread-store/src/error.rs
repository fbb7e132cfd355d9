//! Why a log can't be opened, or accepts nothing more.

use std::io;

use snafu::Snafu;

use crate::format::{MAX_RECORD_BYTES, VERSION};

/// Why a log can't be opened, or accepts nothing more.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LogError {
    /// What was synced once is not readable any more.
    #[snafu(display("{file} is damaged at byte {offset}: {reason}"))]
    Damaged {
        /// Name of the file.
        file: String,
        /// Offset in the file, in bytes, from which it is not readable.
        offset: u64,
        /// What is wrong there.
        reason: String,
    },
    /// Another version of the format was written.
    #[snafu(display("{file} is of version {version}, this program reads {VERSION}"))]
    UnsupportedVersion {
        /// Name of the file.
        file: String,
        /// The version in it.
        version: u8,
    },
    /// The disk failed or is full; what was being written may be there or not.
    #[snafu(display("the disk failed while {step} {file}: {source}"))]
    Disk {
        /// What was being done.
        step: &'static str,
        /// Name of the file.
        file: String,
        /// What the disk reported.
        source: io::Error,
    },
    /// The log failed before and accepts nothing until it is opened again.
    #[snafu(display("the log stopped after an earlier failure of the disk"))]
    Stopped,
    /// A record is too long.
    #[snafu(display("a record of {bytes} bytes is longer than {MAX_RECORD_BYTES}"))]
    RecordTooLong {
        /// The record's length.
        bytes: usize,
    },
}
