//! Messages of the consensus protocol: the replicated value, the two phases of Paxos, reads, and the order log.

use prost::Message;

use crate::DecidedUsage;

/// A control node that votes in Paxos. Its vote belongs to its disk, not to its address.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Voter {
    /// The node's id, as stored on its disk.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The address for control calls. Peers connect to the peer port of the same machine.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// The first 128 bits of the SHA-256 of a document.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Message)]
pub struct DocumentDigest {
    /// The digest's first eight bytes.
    #[prost(fixed64, tag = "1")]
    pub high: u64,
    /// The digest's next eight bytes.
    #[prost(fixed64, tag = "2")]
    pub low: u64,
}

/// The identity of an order, which stays the same when the order is sent again.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct OrderIdentity {
    /// The revision of the configuration in the order.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The revision that the order is based on. For an accepted order: the revision of the order accepted before it.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// Digest of the configuration document.
    #[prost(message, required, tag = "3")]
    pub digest: DocumentDigest,
}

/// The replicated value. The voters decide values one after another, each in its own Paxos instance; the value's number
/// is the number of that instance.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Value {
    /// The Paxos instance that decided this value, counted from 0 without gaps.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The configuration's revision; 0 if there is none yet.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The configuration as it was submitted.
    #[prost(bytes = "bytes", tag = "3")]
    pub document: prost::bytes::Bytes,
    /// The nodes that decide the next value.
    #[prost(message, repeated, tag = "4")]
    pub voters: Vec<Voter>,
    /// The lease epoch in which the voters were last changed. A node that has this value does not grant the lease for a
    /// lower epoch.
    #[prost(uint64, tag = "6")]
    pub epoch: u64,
    /// The total number of orders accepted so far.
    #[prost(uint64, tag = "7")]
    pub order_count: u64,
    /// The most recently accepted orders, oldest first. Earlier ones are in each node's order log.
    #[prost(message, repeated, tag = "8")]
    pub recent_orders: Vec<OrderIdentity>,
    /// The number of the value that last changed the voters; 0 for the first voters.
    #[prost(uint64, tag = "12")]
    pub voters_since: u64,
    /// The decided usage reports; `None` before the first one.
    #[prost(message, optional, boxed, tag = "13")]
    pub usage: Option<Box<DecidedUsage>>,
}

/// A Paxos ballot (proposal number), ordered by round, then by proposer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Message)]
pub struct Ballot {
    /// Incremented for each attempt.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    /// The proposing node's incarnation.
    #[prost(fixed64, tag = "2")]
    pub proposer: u64,
}

/// A value that an acceptor has accepted, with its ballot.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Accepted {
    /// The ballot in which the value was accepted.
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// The accepted value, not necessarily decided.
    #[prost(message, required, tag = "2")]
    pub value: Value,
}

/// One record of a node's durable state. A field that is not set keeps the value from earlier records.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Record {
    /// The node's id, generated when the disk was first used.
    #[prost(fixed64, optional, tag = "1")]
    pub id: Option<u64>,
    /// The newest decided value that the node has learned.
    #[prost(message, optional, tag = "2")]
    pub decided: Option<Value>,
    /// The Paxos instance that `promised` and `accepted` belong to.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// The highest promised ballot.
    #[prost(message, optional, tag = "4")]
    pub promised: Option<Ballot>,
    /// The last accepted value.
    #[prost(message, optional, tag = "5")]
    pub accepted: Option<Accepted>,
    /// The greatest epoch for which the leader lease was granted.
    #[prost(uint64, tag = "6")]
    pub epoch: u64,
    /// All known replicas, if this record contains a snapshot of them.
    #[prost(message, repeated, tag = "7")]
    pub replicas: Vec<crate::Replica>,
    /// Accepted orders, in any sequence, in addition to those of earlier records.
    #[prost(message, repeated, tag = "8")]
    pub order_log: Vec<OrderIdentity>,
    /// No replica is known any more, and those of earlier records are discarded. An empty `replicas` cannot express
    /// this.
    #[prost(bool, tag = "9")]
    pub replicas_cleared: bool,
    /// Replicas that drain or have ended. Without a snapshot they are in addition to those of earlier records, with one
    /// they replace them.
    #[prost(message, repeated, tag = "10")]
    pub drains: Vec<crate::Replica>,
}

/// Phase 1a: asks an acceptor to promise not to accept anything with a lower ballot.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Prepare {
    /// The Paxos instance.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The ballot to promise.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
}

/// Phase 1b: the promise, with the value that the acceptor has accepted so far.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Promise {
    /// The Paxos instance.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The promised ballot.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    /// The last accepted value of this instance; `None` if the acceptor has accepted nothing.
    #[prost(message, optional, tag = "3")]
    pub accepted: Option<Accepted>,
}

/// Phase 2a: asks an acceptor to accept a value.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Accept {
    /// The ballot that a majority of acceptors has promised.
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// The proposed value.
    #[prost(message, required, tag = "2")]
    pub value: Value,
}

/// Phase 2b: the acceptor has accepted the value and synced it to disk.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct AcceptAck {
    /// The Paxos instance.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The ballot in which the value was accepted.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
}

/// The rejection of a [`Prepare`] or [`Accept`]: the acceptor has promised a greater ballot for this instance.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Rejected {
    /// The Paxos instance.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The promised ballot.
    #[prost(message, required, tag = "2")]
    pub promised: Ballot,
}

/// A request for the decided values that the sender lacks.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct CatchUpRequest {
    /// The number of the newest decided value that the sender has.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// A request for the accepted orders with revisions from `newest` down to, but not including, `above`.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct OrderLogRequest {
    /// The newest requested revision.
    #[prost(uint64, tag = "1")]
    pub newest: u64,
    /// Only orders with greater revisions are requested.
    #[prost(uint64, tag = "2")]
    pub above: u64,
}

/// Consecutive orders, newest first, each the base of the preceding one; empty if the sender lacks the newest.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct OrderLogEntries {
    /// The `newest` of the request.
    #[prost(uint64, tag = "1")]
    pub newest: u64,
    /// The orders.
    #[prost(message, repeated, tag = "2")]
    pub orders: Vec<OrderIdentity>,
}

/// Reserved: never sent, and ignored by receivers. Earlier versions used it within a node to report that one of its
/// records was synced.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Synced {
    /// The number of the decided value in the record; 0 if there is none.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The number of the order log record, counted within this incarnation; 0 if the record is not one.
    #[prost(uint64, tag = "2")]
    pub order_log_record: u64,
}

/// A request to a voter for its decided and accepted values, to confirm that a read returns the newest value.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ReadRequest {
    /// Identifies the read; replies with another id are ignored.
    #[prost(uint64, tag = "1")]
    pub read_id: u64,
}

/// The reply to a [`ReadRequest`].
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ReadReply {
    /// The `read_id` of the request.
    #[prost(uint64, tag = "1")]
    pub read_id: u64,
    /// The number of the newest decided value that the sender has.
    #[prost(uint64, tag = "2")]
    pub decided_number: u64,
    /// The sender has accepted a value in the next instance.
    #[prost(bool, tag = "3")]
    pub has_undecided_value: bool,
}
