//! Errors that end the program or a connection.

use std::io;
use std::path::Path;

use linenthread_config::{ConfigurationError, SettingsError};
use linenthread_control::StateLogError;
use linenthread_messages::FrameError;
use snafu::Snafu;

/// An error that ends the program or a connection, with the failed step, the peer or file, and the cause.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    #[snafu(display("neither --settings nor LINENTHREAD_BOOT names the settings file"))]
    NoSettings,
    #[snafu(display("{file}: {source}"))]
    Configuration {
        file: String,
        source: ConfigurationError,
    },
    #[snafu(display("{file}: {source}"))]
    Settings { file: String, source: SettingsError },
    /// `target` is the peer, address or file; empty if there is none.
    #[snafu(display("{step} {target}: {source}"))]
    Io {
        step: &'static str,
        target: String,
        source: io::Error,
    },
    #[snafu(display("reading a frame from {peer}: {source}"))]
    Frame { peer: String, source: FrameError },
    #[snafu(display("opening the state directory {directory}: {source}"))]
    State {
        directory: String,
        source: StateLogError,
    },
}

/// Adds the failed step and its target (peer, address or file) to an error of the operating system.
pub(crate) fn io_context<T: ToString + ?Sized>(
    step: &'static str,
    target: &T,
) -> impl FnOnce(io::Error) -> Error + use<T> {
    let target = target.to_string();
    move |source| Error::Io {
        step,
        target,
        source,
    }
}

/// Reads an entire file, with the path in errors.
pub(crate) fn read_file(path: &Path) -> Result<Vec<u8>, Error> {
    std::fs::read(path).map_err(io_context("reading", &path.display()))
}
