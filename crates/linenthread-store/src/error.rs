//! Errors of a log.

use std::io;

use snafu::Snafu;

use crate::format::{MAX_RECORD_BYTES, VERSION};

/// The reason why a log can't be opened, or rejects a record or a sync.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LogError {
    /// Bytes that had been synced are not readable any more.
    #[snafu(display("{file} is damaged at byte {offset}: {reason}"))]
    Damaged {
        /// Name of the file.
        file: String,
        /// Offset in the file, in bytes, from which on it is not readable.
        offset: u64,
        /// What is wrong at that offset.
        reason: String,
    },
    /// The file was written in another version of the format.
    #[snafu(display("{file} is of version {version}, this program reads {VERSION}"))]
    UnsupportedVersion {
        /// Name of the file.
        file: String,
        /// The version in the file's header.
        version: u8,
    },
    /// The disk failed or is full; the bytes that were being written may or may not be on it.
    #[snafu(display("the disk failed while {step} {file}: {source}"))]
    Disk {
        /// The operation that failed.
        step: &'static str,
        /// Name of the file.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// An earlier write or sync failed: the log accepts nothing until it is opened again.
    #[snafu(display("the log stopped after an earlier failure of the disk"))]
    Stopped,
    /// A record is longer than [`MAX_RECORD_BYTES`].
    #[snafu(display("a record of {bytes} bytes is longer than {MAX_RECORD_BYTES}"))]
    RecordTooLong {
        /// The record's length, in bytes.
        bytes: usize,
    },
}
