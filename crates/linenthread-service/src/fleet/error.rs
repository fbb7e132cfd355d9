//! Why a member of the fleet could not start.

use std::io;
use std::net::SocketAddr;

use linenthread_fleet::OpenError;
use linenthread_store::DirectoryError;
use snafu::Snafu;

/// Why a member of the fleet could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StartError {
    /// It cannot listen for other members.
    #[snafu(display("cannot listen for the fleet on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The thread's runtime cannot be built.
    #[snafu(display("{source}"))]
    Runtime {
        /// The system's error.
        source: io::Error,
    },
    /// The thread cannot be started.
    #[snafu(display("{source}"))]
    Spawn {
        /// The system's error.
        source: io::Error,
    },
    /// The sockets cannot be registered with the runtime.
    #[snafu(display("{source}"))]
    Socket {
        /// The system's error.
        source: io::Error,
    },
    /// The directory of a voter's log cannot be used.
    #[snafu(display("{source}"))]
    VoterDirectory {
        /// Why not.
        source: VoterDirectoryError,
    },
    /// The voter's log cannot be opened.
    #[snafu(display("cannot open the voter's log: {source}"))]
    Log {
        /// Why not.
        source: OpenError,
    },
    /// The thread has ended before the member was started.
    #[snafu(display("the fleet thread ended"))]
    ThreadExited,
}

/// Why a voter's directory could not be opened.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum VoterDirectoryError {
    /// The installation file names none.
    #[snafu(display("{name} is a voter, but <fleet> has no folder"))]
    NotConfigured {
        /// The voter.
        name: String,
    },
    /// The member is no voter.
    #[snafu(display("this process is not a voter"))]
    NotVoter,
    /// It cannot be opened.
    #[snafu(display("{source}"))]
    Open {
        /// Why not.
        source: DirectoryError,
    },
}
