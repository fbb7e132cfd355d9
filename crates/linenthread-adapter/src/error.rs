//! Errors that terminate the adapter.

use std::io;

use linenthread_terms::SettingsError;
use snafu::Snafu;

/// The reason why the adapter terminates. Each message is a single line.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum AdapterError {
    #[snafu(display("cannot read standard input: {source}"))]
    Read { source: io::Error },
    #[snafu(display("cannot write standard output: {source}"))]
    Write { source: io::Error },
    #[snafu(display("truncated frame: input ends inside the length"))]
    TruncatedLength,
    #[snafu(display("frame length {length} is shorter than a header"))]
    ShortLength { length: u64 },
    #[snafu(display("truncated frame: {received} of {length} bytes"))]
    TruncatedFrame { received: usize, length: u64 },
    #[snafu(display("truncated frame: {field} needs {needed} bytes, {left} left"))]
    TruncatedField {
        field: &'static str,
        needed: usize,
        left: usize,
    },
    #[snafu(display("{field} is not a finite number"))]
    NotFinite { field: &'static str },
    #[snafu(display("unknown event code {code}"))]
    UnknownEvent { code: u8 },
    #[snafu(display("unknown instance {instance}"))]
    UnknownInstance { instance: u32 },
    #[snafu(display("unknown list {list}"))]
    UnknownList { list: u16 },
    #[snafu(display("unknown registry mode {mode}"))]
    UnknownMode { mode: u8 },
    #[snafu(display("unknown phase {phase}"))]
    UnknownPhase { phase: u8 },
    #[snafu(display("unknown outcome {code}"))]
    UnknownOutcome { code: u16 },
    #[snafu(display("unknown class {class}"))]
    UnknownClass { class: usize },
    #[snafu(transparent)]
    Settings { source: SettingsError },
}
