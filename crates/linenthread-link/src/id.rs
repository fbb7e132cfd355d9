//! Identifiers, each of a type of its own.

use std::fmt;

/// A session between one client process and one server; chosen at random by the client. It outlives connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// A connection that the server's driver has accepted; numbered by the driver, and not sent to the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// A call as the client's driver knows it; not sent to the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A call's sequence number within its session: from 1, without gaps, in the order in which calls are sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNumber(pub u64);

/// A health check of a replica behind the link; numbered by the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProbeId(pub u64);

impl CallNumber {
    /// The number of the call sent next after this one.
    pub(crate) fn next(self) -> CallNumber {
        CallNumber(self.0 + 1)
    }
}

impl fmt::Display for CallNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
