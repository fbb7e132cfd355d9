//! Newtypes for identifiers.

use std::fmt;

/// Identifies a session between one client process and one server, which can span several connections. The client
/// chooses it at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// Identifies a connection accepted by the server's driver, which assigns the number. It is not sent to the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Identifies a call between the client and its driver; not sent to the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A call's sequence number within its session: from 1, without gaps, in sending order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNumber(pub u64);

/// Identifies a health check of a replica behind the link; assigned by the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProbeId(pub u64);

impl CallNumber {
    /// Returns the number of the next call.
    pub(crate) fn next(self) -> CallNumber {
        CallNumber(self.0 + 1)
    }
}

impl fmt::Display for CallNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
