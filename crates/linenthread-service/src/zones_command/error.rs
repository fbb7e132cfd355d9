//! Errors of `linenthread zones`.

use std::path::PathBuf;

use linenthread_fleet::OpenError;
use linenthread_installation::ReadFileError;
use snafu::Snafu;

use crate::installation::InstallationError;

/// The reason why the command failed. Each message is one line.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ZonesError {
    /// The installation file cannot be used.
    #[snafu(display("{source}"), context(false))]
    File {
        /// The file, the line and the cause.
        source: ReadFileError,
    },
    /// The installation file names no fleet.
    #[snafu(display("{}: there is no <fleet>", file.display()))]
    NoFleet {
        /// The file.
        file: PathBuf,
    },
    /// The fleet's secrets cannot be used.
    #[snafu(display("{source}"), context(false))]
    Secrets {
        /// The file and the cause.
        source: InstallationError,
    },
    /// The fleet's state machine cannot be started.
    #[snafu(display("{source}"))]
    Follow {
        /// The reason.
        source: OpenError,
    },
    /// The leader rejected the order.
    #[snafu(display("rejected: {reason}"))]
    Rejected {
        /// The leader's reason.
        reason: String,
    },
    /// A voter was reached, but no leader processed the order in time.
    #[snafu(display("no leader has responded: no commit has been observed"))]
    NoLeader,
    /// No voter sent a committed value in time.
    #[snafu(display("no voter could be reached, or nothing is committed yet"))]
    NoVoter,
}
