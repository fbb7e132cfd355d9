//! A durable log: records, each with its checksum, that outlast crashes, over a narrow trait for files.
//!
//! [`Log`] accepts records and returns, after any crash, all that were there at a successful [`Log::sync`], in their
//! order, and of those after it a prefix. It must not know what the records mean. [`Files`] is all that it knows of a
//! disk: [`Directory`] is a real one, [`SimulatedDisk`] one in memory that loses, tears, fills up and fails on demand.
//!
//! Start reading at [`Log::open`] (`log`); `generation` reads one file, `format` has the bytes, which are specified in
//! `docs/store.md`.
//!
//! Named rules: *acknowledged-is-synced* (what was synced is there after any crash, its file's name too),
//! *torn-tail-only* (only what was never synced is truncated; damage elsewhere is reported with file and offset, never
//! skipped), *failed-sync-is-final* (after a failed write or sync the log accepts nothing more: what the disk holds of
//! it is unknown until it is opened again).

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
