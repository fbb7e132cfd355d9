//! Errors of the demo.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

use crate::config::ConfigFileError;
use crate::installation::InstallationError;
use crate::serve::ServeError;

/// The reason why the demo could not start or failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(super) enum DemoError {
    #[snafu(display("cannot create a directory: {source}"))]
    Directory { source: io::Error },
    #[snafu(display("{}: {source}", file.display()))]
    Write { file: PathBuf, source: io::Error },
    #[snafu(display("{source}"), context(false))]
    Config { source: ConfigFileError },
    #[snafu(display("{source}"), context(false))]
    Installation { source: InstallationError },
    #[snafu(display("{source}"))]
    FreePort { source: io::Error },
    #[snafu(display("{source}"), context(false))]
    Serve { source: ServeError },
    #[snafu(display("a query had no successful response"))]
    Unanswered,
}
