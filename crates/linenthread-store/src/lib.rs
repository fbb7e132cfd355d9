//! A durable append-only log of checksummed records that survives crashes, over a small trait for files.
//!
//! After any crash, [`Log`] returns all records that were appended before the last successful [`Log::sync`], in order,
//! followed by a prefix of the records appended after it. The contents of the records must not matter to this package.
//! The log accesses the disk through [`Files`] only: [`Directory`] implements it on the file system, and
//! [`SimulatedDisk`] in memory, with lost and torn writes, a full disk and failing syncs on demand.
//!
//! Start reading at [`Log::open`] (`log`). `generation` reads one file, and `format` encodes and decodes the bytes,
//! which are specified in `docs/store.md`.
//!
//! Invariants: *acknowledged-is-synced* (a synced record is present after any crash, and so is its file's name),
//! *torn-tail-only* (only bytes that were never synced are truncated; damage elsewhere is reported with file and
//! offset, never skipped), *failed-sync-is-final* (after a failed write or sync the log accepts nothing more: which
//! bytes are on the disk is unknown until the log is opened again).

mod directory;
mod error;
mod files;
mod format;
mod generation;
mod log;
mod simulated_disk;

pub use directory::{Directory, DirectoryError};
pub use error::LogError;
pub use files::Files;
pub use format::MAX_RECORD_BYTES;
pub use log::{Log, OpenedLog, TornTail};
pub use simulated_disk::SimulatedDisk;
