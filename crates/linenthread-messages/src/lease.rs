//! Messages of the leader lease.

use prost::Message;

/// A request to a voter to grant the leader lease for `lease_ms`, counted from when the voter receives the request.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct LeaseRequest {
    /// The epoch, which serves as the fencing token.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Numbers the sender's requests; the reply repeats it.
    #[prost(uint64, tag = "2")]
    pub request_id: u64,
    /// The lease's duration in milliseconds.
    #[prost(uint32, tag = "3")]
    pub lease_ms: u32,
    /// The sender's incarnation. An epoch is used by only one incarnation.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// The number of the newest value that the sender has. That value lists the voters whose grants count.
    #[prost(uint64, tag = "5")]
    pub value_number: u64,
}

/// The reply to a [`LeaseRequest`].
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct LeaseReply {
    /// The greatest epoch for which the sender has granted the lease, or that it knows to be in use.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The `request_id` of the request.
    #[prost(uint64, tag = "2")]
    pub request_id: u64,
    /// Whether the sender grants the lease.
    #[prost(bool, tag = "3")]
    pub granted: bool,
}

/// The release of the lease for this epoch and for every earlier epoch of the incarnation.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct LeaseRelease {
    /// The released epoch.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The sender's incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
}
