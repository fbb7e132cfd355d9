//! What must outlast a crash: a log of records, each with its checksum, over a narrow trait for files.
//!
//! [`Log`] takes records and gives back, after any crash, all that were there at a [`Log::sync`] that returned
//! well, in their order, and of those after it a beginning. It decides nothing on what they mean. [`Files`] is
//! all it knows of a disk: [`Folder`] is one, [`Model`] one in memory that forgets, tears, fills up and fails on
//! cue. The format stands byte by byte in `docs/store.md`.
//!
//! Named rules: *acknowledged-is-synced* (what a sync took is there after any crash, its file's name too),
//! *torn-tail-only* (only what no sync had taken is ever cut off; damage elsewhere is named by file and offset
//! and never passed over), *failed-sync-is-final* (after a write or sync has failed the log takes nothing more:
//! what the disk holds of it is not known until it is opened anew).
#![expect(
    missing_docs,
    reason = "public items of this package are not all documented yet"
)]

mod files;
mod log;
mod model;

pub use files::{Files, Folder};
pub use log::{Cut, LONGEST, Log, Opened, Trouble};
pub use model::Model;
