//! Why `linenthread zones` has failed.

use std::path::PathBuf;

use linenthread_fleet::OpenError;
use linenthread_installation::ReadFileError;
use snafu::Snafu;

use crate::installation::InstallationError;

/// Why the command has failed. Each message is one line.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(crate) enum ZonesError {
    #[snafu(display("{source}"), context(false))]
    File { source: ReadFileError },
    #[snafu(display("{}: there is no <fleet>", file.display()))]
    NoFleet { file: PathBuf },
    #[snafu(display("{source}"), context(false))]
    Secrets { source: InstallationError },
    #[snafu(display("{source}"))]
    Follow { source: OpenError },
    #[snafu(display("refused: {reason}"))]
    Refused { reason: String },
    #[snafu(display(
        "nobody who leads has answered: nothing was agreed on, as far as is known here"
    ))]
    NoLeader,
    #[snafu(display("no voter could be reached, or nothing was agreed on yet"))]
    NoVoter,
}
