//! Why a member of the fleet could not start.

use std::io;
use std::net::SocketAddr;

use linenthread_fleet::OpenError;
use linenthread_store::DirectoryError;
use snafu::Snafu;

/// Why a member of the fleet could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(crate) enum StartError {
    #[snafu(display("cannot listen for the fleet on {address}: {source}"))]
    Listen {
        address: SocketAddr,
        source: io::Error,
    },
    #[snafu(display("{source}"))]
    Runtime { source: io::Error },
    #[snafu(display("{source}"))]
    Spawn { source: io::Error },
    #[snafu(display("{source}"))]
    Socket { source: io::Error },
    #[snafu(display("{source}"))]
    VoterDirectory { source: VoterDirectoryError },
    #[snafu(display("the record: {source}"))]
    Log { source: OpenError },
    #[snafu(display("the fleet's thread ended"))]
    ThreadEnded,
}

/// Why a voter's directory could not be opened.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(crate) enum VoterDirectoryError {
    #[snafu(display("{name} is a voter, and <fleet> names no folder for its record"))]
    NotConfigured { name: String },
    #[snafu(display("there is none"))]
    NotVoter,
    #[snafu(display("{source}"))]
    Open { source: DirectoryError },
}
