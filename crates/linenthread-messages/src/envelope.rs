//! The envelope of each frame, and the list of all messages.

use prost::{Message, Oneof};

use crate::{
    Accept, AcceptAck, CatchUpRequest, ControlUpdate, DurableProgress, Heartbeat, Hello,
    IngressUpdate, LeaseRelease, LeaseReply, LeaseRequest, OrderLogEntries, OrderLogRequest,
    Prepare, Promise, QuotaGrants, ReadReply, ReadRequest, Rejected, Synced, UpdateAck,
    UsageUpdate, Value,
};

/// The content of a frame.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// The message. `None` if the bytes come from another program, or contain a message that this version does not
    /// know.
    #[prost(
        oneof = "PeerMessage",
        tags = "1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17,18,19,20,21,23,24"
    )]
    pub message: Option<PeerMessage>,
}

/// A message from one of the system's processes to another.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerMessage {
    /// Opens a session.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Keeps a session alive, and carries state that changes often.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// State sent to an ingress node.
    #[prost(message, tag = "3")]
    IngressUpdate(IngressUpdate),
    /// State sent to another control node.
    #[prost(message, tag = "4")]
    ControlUpdate(ControlUpdate),
    /// Acknowledges a [`ControlUpdate`].
    #[prost(message, tag = "5")]
    UpdateAck(UpdateAck),
    /// Paxos, phase 1a.
    #[prost(message, tag = "6")]
    Prepare(Prepare),
    /// Paxos, phase 1b.
    #[prost(message, tag = "7")]
    Promise(Promise),
    /// Paxos, phase 2a.
    #[prost(message, tag = "8")]
    Accept(Accept),
    /// Paxos, phase 2b.
    #[prost(message, tag = "9")]
    AcceptAck(AcceptAck),
    /// Rejects a [`Prepare`] or [`Accept`].
    #[prost(message, tag = "10")]
    Rejected(Rejected),
    /// Requests newer decided values.
    #[prost(message, tag = "11")]
    CatchUpRequest(CatchUpRequest),
    /// A decided value.
    #[prost(message, tag = "12")]
    Decided(Value),
    /// Confirms a read.
    #[prost(message, tag = "13")]
    ReadRequest(ReadRequest),
    /// The reply to a [`ReadRequest`].
    #[prost(message, tag = "14")]
    ReadReply(ReadReply),
    /// Asks a voter to grant the leader lease.
    #[prost(message, tag = "15")]
    LeaseRequest(LeaseRequest),
    /// Grants or denies the leader lease.
    #[prost(message, tag = "16")]
    LeaseReply(LeaseReply),
    /// Grants shares of the retry budget to ingress nodes.
    #[prost(message, tag = "17")]
    QuotaGrants(QuotaGrants),
    /// Releases the leader lease.
    #[prost(message, tag = "18")]
    LeaseRelease(LeaseRelease),
    /// Reports how much of the sender's state is synced to its disk.
    #[prost(message, tag = "23")]
    DurableProgress(DurableProgress),
    /// Requests accepted orders.
    #[prost(message, tag = "19")]
    OrderLogRequest(OrderLogRequest),
    /// The reply to an [`OrderLogRequest`].
    #[prost(message, tag = "20")]
    OrderLogEntries(OrderLogEntries),
    /// Reserved: never sent, and ignored by receivers.
    #[prost(message, tag = "21")]
    Synced(Synced),
    /// Request counts of ingress nodes, for usage reports.
    #[prost(message, tag = "24")]
    UsageUpdate(UsageUpdate),
}
