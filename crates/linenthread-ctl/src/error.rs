//! Errors of commands and their exit codes.

use std::io;
use std::net::AddrParseError;
use std::path::PathBuf;

use linenthread_config::ConfigurationError;
use linenthread_ctl::{DutiesStatus, NoFinalResponse};
use snafu::Snafu;

/// Exit code: the cluster rejected the request, or there is no configuration.
const REJECTED: u8 = 1;
/// Exit code: the command line or a file is invalid, or a local step failed.
const INVALID: u8 = 2;
/// Exit code: no control node gave a final or readable response, or the outcome of the request is unknown.
const NO_RESPONSE: u8 = 3;

/// The reason why a command failed. The messages are shown to operators.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    /// No addresses of control nodes are configured.
    #[snafu(display("neither --control nor LINENTHREAD_CONTROL gives an address"))]
    NoControlAddress,
    /// A control address is not of the form `IP:PORT`; host names are not resolved.
    #[snafu(display("{text} is not an address"))]
    InvalidAddress {
        text: String,
        source: AddrParseError,
    },
    /// The operator's file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    ReadFile { path: PathBuf, source: io::Error },
    /// The operator's file is not a valid configuration; no replacement was sent.
    #[snafu(display("{}: {source}", path.display()))]
    InvalidConfiguration {
        path: PathBuf,
        source: ConfigurationError,
    },
    /// The configuration in force can't be decoded, so its revision is unknown. The program versions differ.
    #[snafu(display("decoding the configuration in force: {source}"))]
    InvalidCurrentConfiguration { source: ConfigurationError },
    /// One of the two configurations is not JSON.
    #[snafu(display("comparing configurations: {source}"))]
    Compare { source: serde_json::Error },
    /// The output can't be encoded as JSON.
    #[snafu(display("encoding the output: {source}"))]
    Encode { source: serde_json::Error },
    /// Writing to standard output failed for a reason other than a closed pipe.
    #[snafu(display("printing the output: {source}"))]
    Print { source: io::Error },
    /// A control node's final response has an unexpected status.
    #[snafu(display("{path}: status {status}: {message}"))]
    UnexpectedStatus {
        path: &'static str,
        status: u16,
        message: String,
    },
    /// A control node's report can't be decoded. The program versions differ.
    #[snafu(display("{path}: {source}"))]
    UnreadableResponse {
        path: &'static str,
        source: serde_json::Error,
    },
    /// No control node responded to a read, or none could read the configuration in force, most often because none has
    /// contact with a majority of the voters.
    #[snafu(display("{path}: {source}"))]
    Unavailable {
        path: &'static str,
        source: NoFinalResponse,
    },
    /// Control nodes report their members, but none of them reports duties.
    #[snafu(display("no control node reports duties\n{status}"))]
    NoDuties { status: DutiesStatus },
    /// No configuration has been accepted yet.
    #[snafu(display("there is no configuration yet"))]
    NoConfiguration,
    /// The base is not the revision in force. Operators read the configuration in force and repeat their changes on it.
    #[snafu(display("another revision is in force: {message}"))]
    RevisionConflict { message: String },
    /// The configuration in force has the file's revision, but differs in its content or its base.
    #[snafu(display(
        "revision {revision} is in force with another content or base: compare with diff, and raise \"revision\""
    ))]
    RevisionNotRaised { revision: u64 },
    /// The control node considers the file or the request invalid; nothing has changed.
    #[snafu(display("rejected with status {status}: {message}"))]
    Rejected { status: u16, message: String },
    /// No control node accepted the replacement; nothing has changed. The same file may be sent again.
    #[snafu(display("nothing has changed, no control node accepted the configuration: {source}"))]
    NotAccepted { source: NoFinalResponse },
    /// The outcome of the replacement is unknown. The same file may be sent again.
    #[snafu(display("unknown whether the configuration is in force: {source}"))]
    UnknownOutcome { source: NoFinalResponse },
}

impl Error {
    /// Returns the error for a replacement without a final response.
    pub(crate) fn replacement_failed(source: NoFinalResponse) -> Error {
        if source.may_have_been_processed {
            Error::UnknownOutcome { source }
        } else {
            Error::NotAccepted { source }
        }
    }

    /// Returns the exit code of the program.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Error::UnexpectedStatus { .. }
            | Error::NoConfiguration
            | Error::RevisionConflict { .. }
            | Error::RevisionNotRaised { .. }
            | Error::Rejected { .. } => REJECTED,
            Error::NoControlAddress
            | Error::InvalidAddress { .. }
            | Error::ReadFile { .. }
            | Error::InvalidConfiguration { .. }
            | Error::InvalidCurrentConfiguration { .. }
            | Error::Compare { .. }
            | Error::Encode { .. }
            | Error::Print { .. } => INVALID,
            Error::UnreadableResponse { .. }
            | Error::NoDuties { .. }
            | Error::Unavailable { .. }
            | Error::NotAccepted { .. }
            | Error::UnknownOutcome { .. } => NO_RESPONSE,
        }
    }
}
