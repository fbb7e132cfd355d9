use prost::{Message, Oneof};

/// Peers of another version are turned away. 2: a value carries its last orders by identity, not all of them.
pub const VERSION: u32 = 2;

/// A machine whose disk counts: its disk's name and where its control calls and peers' port are.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Voter {
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The address for control calls; peers are met on the same machine's peers' port.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// The first 128 bits of the SHA-256 of a document.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Message)]
pub struct DocumentDigest {
    #[prost(fixed64, tag = "1")]
    pub high: u64,
    #[prost(fixed64, tag = "2")]
    pub low: u64,
}

/// What makes an order the same one when it is sent again.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct OrderIdentity {
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The revision that it builds on: of an order that was taken, the revision of the one taken before it.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    #[prost(message, required, tag = "3")]
    pub digest: DocumentDigest,
}

/// What the counted disks agree on, one after another.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Value {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The configuration's revision, 0 while there is none.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The configuration as it was sent.
    #[prost(bytes = "bytes", tag = "3")]
    pub document: prost::bytes::Bytes,
    /// Whose disks decide the next value.
    #[prost(message, repeated, tag = "4")]
    pub voters: Vec<Voter>,
    /// The epoch under which the voters were last changed: whoever has this value supports none below it.
    #[prost(uint64, tag = "6")]
    pub epoch: u64,
    /// How many orders were ever taken.
    #[prost(uint64, tag = "7")]
    pub taken_count: u64,
    /// The last orders that were taken, oldest first; earlier ones are in each node's ledger.
    #[prost(message, repeated, tag = "8")]
    pub recent: Vec<OrderIdentity>,
    /// The number of the value that last changed the voters, 0 where they are the first ones.
    #[prost(uint64, tag = "12")]
    pub voters_since: u64,
}

/// Greater rounds win; the proposer tells equal ones apart.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Message)]
pub struct Ballot {
    #[prost(uint64, tag = "1")]
    pub round: u64,
    #[prost(fixed64, tag = "2")]
    pub proposer: u64,
}

#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Accepted {
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    #[prost(message, required, tag = "2")]
    pub value: Value,
}

/// One record on disk.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Record {
    /// The disk's name.
    #[prost(fixed64, optional, tag = "1")]
    pub id: Option<u64>,
    #[prost(message, optional, tag = "2")]
    pub decided: Option<Value>,
    /// The number that promise and acceptance are for.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    #[prost(message, optional, tag = "4")]
    pub promised: Option<Ballot>,
    #[prost(message, optional, tag = "5")]
    pub accepted: Option<Accepted>,
    /// The greatest epoch of the duty that was supported.
    #[prost(uint64, tag = "6")]
    pub epoch: u64,
    /// All replicas that were known, where this record tells them.
    #[prost(message, repeated, tag = "7")]
    pub replicas: Vec<Replica>,
    /// Orders that were taken, in any order: they join those of earlier records.
    #[prost(message, repeated, tag = "8")]
    pub ledger: Vec<OrderIdentity>,
}

#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Prepare {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
}

#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Promise {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    #[prost(message, optional, tag = "3")]
    pub accepted: Option<Accepted>,
}

#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Accept {
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    #[prost(message, required, tag = "2")]
    pub value: Value,
}

/// Accepted, synced.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct AcceptAck {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
}

/// A greater ballot was promised for this number.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Rejected {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(message, required, tag = "2")]
    pub promised: Ballot,
}

/// The speaker has decided values up to this one only.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct CatchUpRequest {
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// Which orders were taken, from this revision downwards and above that one?
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct LedgerRequest {
    #[prost(uint64, tag = "1")]
    pub newest: u64,
    #[prost(uint64, tag = "2")]
    pub above: u64,
}

/// Orders in a row, newest first, each the base of the one before it; none if the speaker lacks the newest.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct LedgerEntries {
    /// What was asked for.
    #[prost(uint64, tag = "1")]
    pub newest: u64,
    #[prost(message, repeated, tag = "2")]
    pub orders: Vec<OrderIdentity>,
}

/// What a node says to itself when a record of its own is synced; from another node it means nothing.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Synced {
    /// The decided value that the record holds; 0 if none.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Which record of the ledger it is, counted within this life; 0 if none.
    #[prost(uint64, tag = "2")]
    pub ledger_record: u64,
}

/// What have you decided and accepted? Only answers to this very question count.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ReadRequest {
    #[prost(uint64, tag = "1")]
    pub question: u64,
}

#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct ReadReply {
    #[prost(uint64, tag = "1")]
    pub question: u64,
    #[prost(uint64, tag = "2")]
    pub decided: u64,
    /// Something was accepted for the next number.
    #[prost(bool, tag = "3")]
    pub pending: bool,
}

/// Support me for the duty for so long from when you hear this, under this epoch.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct LeaseRequest {
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(uint64, tag = "2")]
    pub asked: u64,
    #[prost(uint32, tag = "3")]
    pub lease_ms: u32,
    /// The asker's life: an epoch is one life's only.
    #[prost(fixed64, tag = "4")]
    pub life: u64,
    /// The newest value that the asker has: it names those whose support counts.
    #[prost(uint64, tag = "5")]
    pub on: u64,
}

#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct LeaseVote {
    /// The greatest epoch the speaker has supported.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(uint64, tag = "2")]
    pub asked: u64,
    #[prost(bool, tag = "3")]
    pub yes: bool,
}

/// The speaker holds the lease no more under this epoch, nor under any of its life before it.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct LeaseRelease {
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(fixed64, tag = "2")]
    pub life: u64,
}

/// A replica as one hub knows it.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Replica {
    #[prost(string, tag = "1")]
    pub ident: String,
    #[prost(string, tag = "2")]
    pub backend: String,
    #[prost(string, tag = "3")]
    pub address: String,
    #[prost(string, tag = "4")]
    pub zone: String,
    #[prost(string, tag = "5")]
    pub revision: String,
    #[prost(uint32, tag = "6")]
    pub capacity: u32,
    #[prost(uint64, tag = "7")]
    pub call_count: u64,
    #[prost(bool, tag = "8")]
    pub draining: bool,
    /// Departed, replaced at its address, or silent too long.
    #[prost(bool, tag = "9")]
    pub gone: bool,
    /// Since it was last heard, when this was said.
    #[prost(uint32, tag = "10")]
    pub age_ms: u32,
    /// For how much longer it is slow from its start, when this was said.
    #[prost(uint32, tag = "11")]
    pub warmup_ms: u32,
    /// It is final: departed, or replaced.
    #[prost(bool, tag = "12")]
    pub ended: bool,
}

/// A session that the speaker holds.
#[derive(Clone, PartialEq, Message)]
pub struct Session {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub zone: String,
    #[prost(fixed64, tag = "3")]
    pub life: u64,
    /// Its word that asks for a share of the budget, counted within its life.
    #[prost(uint64, tag = "4")]
    pub asked: u64,
    #[prost(string, tag = "5")]
    pub address: String,
    #[prost(uint64, tag = "6")]
    pub revision: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    #[prost(uint32, tag = "1")]
    pub version: u32,
    #[prost(string, tag = "2")]
    pub name: String,
    #[prost(string, tag = "3")]
    pub zone: String,
    #[prost(fixed64, tag = "4")]
    pub life: u64,
    /// Where control calls and peers are met; empty for one that serves none.
    #[prost(string, tag = "5")]
    pub control: String,
    /// The disk's name; 0 where there is none.
    #[prost(fixed64, tag = "6")]
    pub disk: u64,
    #[prost(bool, tag = "7")]
    pub counts: bool,
    /// The place in the log of changes that the speaker has got to.
    #[prost(fixed64, tag = "8")]
    pub log: u64,
    #[prost(uint64, tag = "9")]
    pub place: u64,
    /// Number of the newest value that the speaker has.
    #[prost(uint64, tag = "10")]
    pub value: u64,
}

/// A sign of life, both ways, and what a side wants told often.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// From a front: its word that asks for a share. Between hubs: the newest value's number.
    #[prost(uint64, tag = "1")]
    pub asked: u64,
    /// From a hub: it is in touch with more than half of the counted disks.
    #[prost(bool, tag = "2")]
    pub whole: bool,
    /// From a hub: what it holds of replicas, as one sum.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
    /// From a front: the revision it goes by.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
    /// From a control node: the newest value that its disk holds, synced; none while it holds none.
    #[prost(uint64, optional, tag = "5")]
    pub durable: Option<u64>,
    /// The speaker's steady clock when this was said.
    #[prost(uint64, tag = "6")]
    pub sent: u64,
    /// `sent` of the last heartbeat that the speaker heard on this session: proof of a round trip.
    #[prost(uint64, optional, tag = "7")]
    pub echo: Option<u64>,
    /// From a control node: it is about to end.
    #[prost(bool, tag = "8")]
    pub leaving: bool,
    /// From the holder of the leader lease: the voters are about to change.
    #[prost(bool, tag = "9")]
    pub reconfiguring: bool,
}

/// What the speaker's disk holds, synced.
#[derive(Clone, PartialEq, Message)]
pub struct Durable {
    /// The newest value's number.
    #[prost(uint64, optional, tag = "1")]
    pub value: Option<u64>,
    /// The greatest epoch of a lease that it voted for.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
}

/// From hub to front: changes in a row, or all there is.
#[derive(Clone, PartialEq, Message)]
pub struct FrontUpdate {
    #[prost(fixed64, tag = "1")]
    pub log: u64,
    /// The place in the log after these.
    #[prost(uint64, tag = "2")]
    pub place: u64,
    /// All there is: what is left out is not there.
    #[prost(bool, tag = "3")]
    pub whole: bool,
    #[prost(message, repeated, tag = "4")]
    pub replicas: Vec<Replica>,
    #[prost(message, optional, tag = "5")]
    pub value: Option<Value>,
    /// Addresses for control calls of all hubs that are known.
    #[prost(string, repeated, tag = "6")]
    pub hubs: Vec<String>,
    /// The value was the newest at some moment since the session began.
    #[prost(bool, tag = "7")]
    pub confirmed: bool,
    /// The hub has listened for so long that what it does not name is not there.
    #[prost(bool, tag = "8")]
    pub settled: bool,
}

/// From hub to hub.
#[derive(Clone, PartialEq, Message)]
pub struct ControlUpdate {
    #[prost(message, repeated, tag = "1")]
    pub replicas: Vec<Replica>,
    /// All sessions of fronts that the speaker holds.
    #[prost(message, repeated, tag = "2")]
    pub sessions: Vec<Session>,
    #[prost(bool, tag = "3")]
    pub has_sessions: bool,
    #[prost(string, repeated, tag = "4")]
    pub hubs: Vec<String>,
    /// To be acknowledged by [`Heard`]; 0 if not.
    #[prost(uint64, tag = "5")]
    pub receipt: u64,
    /// All replicas that the speaker has.
    #[prost(bool, tag = "6")]
    pub whole: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct Heard {
    #[prost(uint64, tag = "1")]
    pub receipt: u64,
}

/// A share of the further tries, for so long from the word that asked for it.
#[derive(Clone, PartialEq, Message)]
pub struct Allotment {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(fixed64, tag = "2")]
    pub life: u64,
    #[prost(uint64, tag = "3")]
    pub asked: u64,
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
    #[prost(double, tag = "5")]
    pub share: f64,
    #[prost(uint32, tag = "6")]
    pub lease_ms: u32,
    /// How many co-ordinators carry traffic.
    #[prost(uint32, tag = "7")]
    pub fronts: u32,
    /// Which of them this one is, from 0.
    #[prost(uint32, tag = "8")]
    pub own: u32,
}

#[derive(Clone, PartialEq, Message)]
pub struct Allotments {
    #[prost(message, repeated, tag = "1")]
    pub grants: Vec<Allotment>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    #[prost(
        oneof = "PeerMessage",
        tags = "1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17,18,19,20,21,23"
    )]
    pub word: Option<PeerMessage>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum PeerMessage {
    #[prost(message, tag = "1")]
    Hello(Hello),
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    #[prost(message, tag = "3")]
    FrontUpdate(FrontUpdate),
    #[prost(message, tag = "4")]
    ControlUpdate(ControlUpdate),
    #[prost(message, tag = "5")]
    Heard(Heard),
    #[prost(message, tag = "6")]
    Prepare(Prepare),
    #[prost(message, tag = "7")]
    Promise(Promise),
    #[prost(message, tag = "8")]
    Accept(Accept),
    #[prost(message, tag = "9")]
    AcceptAck(AcceptAck),
    #[prost(message, tag = "10")]
    Rejected(Rejected),
    #[prost(message, tag = "11")]
    CatchUpRequest(CatchUpRequest),
    #[prost(message, tag = "12")]
    Decided(Value),
    #[prost(message, tag = "13")]
    ReadRequest(ReadRequest),
    #[prost(message, tag = "14")]
    ReadReply(ReadReply),
    #[prost(message, tag = "15")]
    LeaseRequest(LeaseRequest),
    #[prost(message, tag = "16")]
    LeaseVote(LeaseVote),
    #[prost(message, tag = "17")]
    Allotments(Allotments),
    #[prost(message, tag = "18")]
    LeaseRelease(LeaseRelease),
    #[prost(message, tag = "23")]
    Durable(Durable),
    #[prost(message, tag = "19")]
    LedgerRequest(LedgerRequest),
    #[prost(message, tag = "20")]
    LedgerEntries(LedgerEntries),
    #[prost(message, tag = "21")]
    Synced(Synced),
}
