//! Why the process could not serve, or had to stop.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

use crate::fleet;

/// Why the process could not serve, or had to stop. Each message is one line.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(crate) enum ServeError {
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        address: SocketAddr,
        source: io::Error,
    },
    #[snafu(display("cannot watch signals"))]
    Signals { source: io::Error },
    #[snafu(display("{source}"))]
    Fleet { source: fleet::StartError },
    #[snafu(display("cannot listen for links on {address}: {source}"))]
    ListenForLinks {
        address: SocketAddr,
        source: io::Error,
    },
    #[snafu(display("the decision module failed"))]
    Decisions,
    #[snafu(display("the roster's watch failed"))]
    ServiceDiscovery,
}
