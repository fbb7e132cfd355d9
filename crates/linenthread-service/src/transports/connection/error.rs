//! Why connections to replicas fail.

use std::io;

use linenthread_protocol::frame;
use snafu::Snafu;

/// Why a connection failed. The text goes to the log.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(in crate::transports) enum ConnectionError {
    #[snafu(display("cannot connect: {source}"))]
    Connect { source: io::Error },
    #[snafu(display("cannot connect in time"))]
    ConnectTimeout,
    #[snafu(display("closed by the replica"))]
    Closed,
    #[snafu(display("{source}"))]
    Io { source: io::Error },
    /// The replica keeps to the protocol, says that a frame was of no use to it, but not which one, and closes the
    /// connection. So this is a lost connection and no violation: what was written may have run or not.
    #[snafu(display("the replica rejected a frame: {message}"))]
    FrameRejected { message: String },
    #[snafu(display("{source}"))]
    Decode { source: frame::FrameError },
    #[snafu(display("a frame is not complete in time"))]
    IncompleteFrame,
    #[snafu(display("unsolicited data"))]
    UnsolicitedData,
    #[snafu(display("a response to a sub-request that is not sent yet"))]
    PrematureResponse,
    #[snafu(display("a response to an unknown sub-request"))]
    UnknownResponse,
}

/// How a connection has ended: what is in flight on it ends accordingly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::transports) enum ConnectionEnd {
    /// It was closed or lost, or never made.
    Lost,
    /// The replica broke the protocol: it runs, and has run what was sent, but the connection is of no more use.
    ProtocolViolated,
}

impl ConnectionError {
    /// What the error says of the replica.
    pub(in crate::transports) fn end(&self) -> ConnectionEnd {
        match self {
            ConnectionError::Connect { .. }
            | ConnectionError::ConnectTimeout
            | ConnectionError::Closed
            | ConnectionError::Io { .. }
            | ConnectionError::FrameRejected { .. } => ConnectionEnd::Lost,
            ConnectionError::Decode { .. }
            | ConnectionError::IncompleteFrame
            | ConnectionError::UnsolicitedData
            | ConnectionError::PrematureResponse
            | ConnectionError::UnknownResponse => ConnectionEnd::ProtocolViolated,
        }
    }
}
