//! Errors at the start of a fleet member.

use std::io;
use std::net::SocketAddr;

use linenthread_fleet::OpenError;
use linenthread_store::DirectoryError;
use snafu::Snafu;

/// The reason why a member of the fleet could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StartError {
    /// The process cannot listen for other members.
    #[snafu(display("cannot listen for the fleet on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The thread's runtime cannot be built.
    #[snafu(display("{source}"))]
    Runtime {
        /// The operating system's error.
        source: io::Error,
    },
    /// The thread cannot be started.
    #[snafu(display("{source}"))]
    Spawn {
        /// The operating system's error.
        source: io::Error,
    },
    /// The sockets cannot be registered with the runtime.
    #[snafu(display("{source}"))]
    Socket {
        /// The operating system's error.
        source: io::Error,
    },
    /// The directory of a voter's log cannot be used.
    #[snafu(display("{source}"))]
    VoterDirectory {
        /// The reason.
        source: VoterDirectoryError,
    },
    /// The voter's log cannot be opened.
    #[snafu(display("cannot open the voter's log: {source}"))]
    Log {
        /// The reason.
        source: OpenError,
    },
    /// The thread ended before the member had started.
    #[snafu(display("the fleet thread ended"))]
    ThreadExited,
}

/// The reason why a voter's directory could not be opened.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum VoterDirectoryError {
    /// The installation file names no directory.
    #[snafu(display("{name} is a voter, but <fleet> has no folder"))]
    NotConfigured {
        /// The voter's name.
        name: String,
    },
    /// The member is not a voter.
    #[snafu(display("this process is not a voter"))]
    NotVoter,
    /// The directory cannot be opened.
    #[snafu(display("{source}"))]
    Open {
        /// The reason.
        source: DirectoryError,
    },
}
