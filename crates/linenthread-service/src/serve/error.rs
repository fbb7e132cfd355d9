//! Why the process could not serve, or had to stop.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

use crate::fleet;

/// Why the process could not serve, or had to stop. Each message is one line.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ServeError {
    /// It cannot listen for clients.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// It cannot handle signals.
    #[snafu(display("cannot handle signals"))]
    Signals {
        /// The system's error.
        source: io::Error,
    },
    /// It cannot join the fleet.
    #[snafu(display("{source}"))]
    Fleet {
        /// Why not.
        source: fleet::StartError,
    },
    /// It cannot listen for links.
    #[snafu(display("cannot listen for links on {address}: {source}"))]
    ListenForLinks {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The task that steps the decision module has ended.
    #[snafu(display("the decision module failed"))]
    Decisions,
    /// The task that follows service discovery has ended.
    #[snafu(display("the service discovery watch failed"))]
    ServiceDiscovery,
}
