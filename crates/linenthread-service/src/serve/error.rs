//! Errors that prevent the process from serving.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

use crate::fleet;

/// The reason why the process could not start or had to stop. Each message is one line.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ServeError {
    /// The process cannot listen for clients.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("cannot handle signals"))]
    Signals {
        /// The operating system's error.
        source: io::Error,
    },
    /// The process cannot join the fleet.
    #[snafu(display("{source}"))]
    Fleet {
        /// The reason.
        source: fleet::StartError,
    },
    /// The gateway cannot listen for links.
    #[snafu(display("cannot listen for links on {address}: {source}"))]
    ListenForLinks {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The task that runs the decision module has ended unexpectedly.
    #[snafu(display("the decision module failed"))]
    Decisions,
    /// The task that watches service discovery has ended unexpectedly.
    #[snafu(display("the service discovery watch failed"))]
    ServiceDiscovery,
}
