//! Why a command failed, and the exit code that says so.

use std::io;
use std::net::AddrParseError;
use std::path::PathBuf;

use linenthread_config::ConfigurationError;
use linenthread_ctl::RequestError;
use snafu::Snafu;

/// The cluster rejects what it was asked for.
const REJECTED: u8 = 1;
/// The command line, or a file that it names, is invalid.
const INVALID: u8 = 2;
/// No control node responded, or it is unknown what became of the request.
const NO_RESPONSE: u8 = 3;

/// Why a command failed. Operators read the messages.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    /// It is not known which control nodes to call.
    #[snafu(display("neither --control nor LINENTHREAD_CONTROL gives an address"))]
    NoControlAddress,
    /// One of the control addresses is no `IP:PORT`; names are not looked up.
    #[snafu(display("{text} is not an address"))]
    InvalidAddress {
        text: String,
        source: AddrParseError,
    },
    /// The operator's file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    ReadFile { path: PathBuf, source: io::Error },
    /// The operator's file is no valid configuration; nothing was sent.
    #[snafu(display("{}: {source}", path.display()))]
    InvalidConfiguration {
        path: PathBuf,
        source: ConfigurationError,
    },
    /// The configuration in force can't be decoded, so its revision isn't known: versions of the programs differ.
    #[snafu(display("the configuration in force: {source}"))]
    InvalidCurrentConfiguration { source: ConfigurationError },
    /// One of the two configurations isn't JSON.
    #[snafu(display("comparing configurations: {source}"))]
    Compare { source: serde_json::Error },
    /// The output can't be encoded as JSON.
    #[snafu(display("encoding the output: {source}"))]
    Encode { source: serde_json::Error },
    /// Standard output fails, other than by a closed pipe.
    #[snafu(display("printing the output: {source}"))]
    Print { source: io::Error },
    /// A read has no response from any control node; this is what the last one failed at.
    #[snafu(display("{source}"))]
    Request { source: RequestError },
    /// A control node does not report its nodes or replicas.
    #[snafu(display("{path}: status {status}: {message}"))]
    UnexpectedStatus {
        path: &'static str,
        status: u16,
        message: String,
    },
    /// A control node's report can't be decoded: versions of the programs differ.
    #[snafu(display("{path}: {source}"))]
    UnreadableResponse {
        path: &'static str,
        source: serde_json::Error,
    },
    /// No control node can read the configuration in force, most often as none has contact with a majority.
    #[snafu(display("{path}: status {status}: {message}"))]
    Unavailable {
        path: &'static str,
        status: u16,
        message: String,
    },
    /// There is nothing to print: no configuration was ever taken.
    #[snafu(display("there is no configuration yet"))]
    NoConfiguration,
    /// Somebody else has replaced the configuration: read it and start from it.
    #[snafu(display("another revision is in force: {message}"))]
    RevisionConflict { message: String },
    /// The control node finds the file or the request invalid; nothing has changed.
    #[snafu(display("rejected with status {status}: {message}"))]
    Rejected { status: u16, message: String },
    /// No response from any control node. The same file may be sent again.
    #[snafu(display("unknown whether the configuration is in force: {source}"))]
    NoResponseToReplace { source: RequestError },
    /// A control node could not tell in time what became of it. The same file may be sent again.
    #[snafu(display("unknown whether the configuration is in force: status {status}: {message}"))]
    UnknownOutcome { status: u16, message: String },
}

impl Error {
    /// The exit code of the program.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Error::UnexpectedStatus { .. }
            | Error::NoConfiguration
            | Error::RevisionConflict { .. }
            | Error::Rejected { .. } => REJECTED,
            Error::NoControlAddress
            | Error::InvalidAddress { .. }
            | Error::ReadFile { .. }
            | Error::InvalidConfiguration { .. }
            | Error::InvalidCurrentConfiguration { .. }
            | Error::Compare { .. }
            | Error::Encode { .. }
            | Error::Print { .. } => INVALID,
            Error::Request { .. }
            | Error::UnreadableResponse { .. }
            | Error::Unavailable { .. }
            | Error::NoResponseToReplace { .. }
            | Error::UnknownOutcome { .. } => NO_RESPONSE,
        }
    }
}
