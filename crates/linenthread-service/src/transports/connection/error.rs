//! Errors of connections to replicas.

use std::io;

use linenthread_protocol::frame;
use snafu::Snafu;

/// The reason why a connection failed. The text is logged.
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
    /// The replica reports that it cannot use a frame, without saying which, and closes the connection. The protocol
    /// allows this, so it is a lost connection and not a violation: what was written may or may not have run.
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

/// The way in which a connection has ended, which determines the outcomes of what was in flight on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::transports) enum ConnectionEnd {
    /// The connection was closed or lost, or never established.
    Lost,
    /// The replica violated the protocol: it is running and has received what was sent, but the connection is unusable.
    ProtocolViolated,
}

impl ConnectionError {
    /// Reports whether the error is a violation of the protocol by the replica, or the loss of the connection.
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
