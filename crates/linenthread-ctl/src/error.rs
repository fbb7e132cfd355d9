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

#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    #[snafu(display("neither --control nor LINENTHREAD_CONTROL gives an address"))]
    NoControlAddress,
    #[snafu(display("{text} is not an address"))]
    InvalidAddress {
        text: String,
        source: AddrParseError,
    },
    #[snafu(display("{}: {source}", path.display()))]
    ReadFile { path: PathBuf, source: io::Error },
    #[snafu(display("{}: {source}", path.display()))]
    InvalidConfiguration {
        path: PathBuf,
        source: ConfigurationError,
    },
    #[snafu(display("the configuration in force: {source}"))]
    InvalidCurrentConfiguration { source: ConfigurationError },
    #[snafu(display("comparing configurations: {source}"))]
    Compare { source: serde_json::Error },
    #[snafu(display("encoding the output: {source}"))]
    Encode { source: serde_json::Error },
    #[snafu(display("printing the output: {source}"))]
    Print { source: io::Error },
    #[snafu(display("{source}"))]
    Request { source: RequestError },
    #[snafu(display("{path}: status {status}: {message}"))]
    UnexpectedStatus {
        path: &'static str,
        status: u16,
        message: String,
    },
    #[snafu(display("{path}: {source}"))]
    UnreadableResponse {
        path: &'static str,
        source: serde_json::Error,
    },
    #[snafu(display("{path}: status {status}"))]
    Unavailable { path: &'static str, status: u16 },
    #[snafu(display("there is no configuration yet"))]
    NoConfiguration,
    #[snafu(display("another revision is in force: {message}"))]
    RevisionConflict { message: String },
    #[snafu(display("rejected with status {status}: {message}"))]
    Rejected { status: u16, message: String },
    #[snafu(display("unknown whether the configuration is in force: {source}"))]
    NoResponseToReplace { source: RequestError },
    #[snafu(display("unknown whether the configuration is in force: status {status}: {message}"))]
    UnknownOutcome { status: u16, message: String },
}

impl Error {
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
