//! Messages of the sessions between processes: handshake, heartbeats, and the state that control nodes distribute.

use prost::Message;

use crate::Value;

/// The state of a replica, as known to the control node that sends it.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "fields of a message; each has its own tag and may be set beside any other"
)]
pub struct Replica {
    /// The replica's id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The backend that it serves.
    #[prost(string, tag = "2")]
    pub backend: String,
    /// The address at which it accepts requests.
    #[prost(string, tag = "3")]
    pub address: String,
    /// The zone that it runs in.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// The revision of its software.
    #[prost(string, tag = "5")]
    pub revision: String,
    /// The number of requests that it processes concurrently.
    #[prost(uint32, tag = "6")]
    pub capacity: u32,
    /// Increases with each heartbeat of the replica, so that a delayed heartbeat can be detected.
    #[prost(uint64, tag = "7")]
    pub call_count: u64,
    /// The replica shuts down gracefully and accepts no new requests. Stays set when it has timed out or ended.
    #[prost(bool, tag = "8")]
    pub draining: bool,
    /// The replica has sent no heartbeat for too long, or has ended. [`Replica::state`] combines the three flags.
    #[prost(bool, tag = "9")]
    pub timed_out_or_ended: bool,
    /// Milliseconds between its last heartbeat and the sending of this message.
    #[prost(uint32, tag = "10")]
    pub age_ms: u32,
    /// Milliseconds of warm-up that remained when this message was sent.
    #[prost(uint32, tag = "11")]
    pub warmup_ms: u32,
    /// The replica has departed, or another one has taken its address; it will not return.
    #[prost(bool, tag = "12")]
    pub ended: bool,
    /// The sender knows the replica only from its disk, or from before it lost contact with the other control nodes: since
    /// then neither it nor a control node that it has heard from has received a heartbeat of the replica.
    #[prost(bool, tag = "13")]
    pub unconfirmed: bool,
}

/// The availability of a replica, as known to the control node that sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// The replica accepts requests.
    Available,
    /// The replica shuts down gracefully and accepts no new requests.
    Draining,
    /// The replica has sent no heartbeat for too long; the next one makes it available again.
    TimedOut,
    /// The replica has departed, or another one has taken its address; it will not return.
    Ended,
}

impl Replica {
    /// Returns the state that the three flags describe.
    pub fn state(&self) -> ReplicaState {
        if self.ended {
            ReplicaState::Ended
        } else if self.timed_out_or_ended {
            ReplicaState::TimedOut
        } else if self.draining {
            ReplicaState::Draining
        } else {
            ReplicaState::Available
        }
    }
}

/// An ingress node's session with the sending control node.
#[derive(Clone, PartialEq, Message)]
pub struct IngressSession {
    /// The ingress node's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The zone that it runs in.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Its incarnation.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// The number of its newest retry quota request, counted within its incarnation.
    #[prost(uint64, tag = "4")]
    pub quota_request: u64,
    /// Not read, and empty in messages of this version. Formerly its address.
    #[prost(string, tag = "5")]
    pub address: String,
    /// The revision of the configuration in use.
    #[prost(uint64, tag = "6")]
    pub revision: u64,
}

/// The first message on a connection, which opens a session.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// The sender's [`crate::VERSION`].
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The sender's name.
    #[prost(string, tag = "2")]
    pub name: String,
    /// The zone that it runs in.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// The sender's incarnation, different after each start.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// The sender's address for control calls; peers connect to the same machine. Empty for a process that accepts
    /// neither.
    #[prost(string, tag = "5")]
    pub control_address: String,
    /// The control node's id, as stored on its disk; 0 if there is none.
    #[prost(fixed64, tag = "6")]
    pub node_id: u64,
    /// From a control node: its settings allow it to become a voter.
    #[prost(bool, tag = "7")]
    pub voter_eligible: bool,
    /// The id of the change log that the sender has followed.
    #[prost(fixed64, tag = "8")]
    pub change_log_id: u64,
    /// The offset that the sender has reached in that log.
    #[prost(uint64, tag = "9")]
    pub change_log_offset: u64,
    /// From a control node: the number of the newest value that it has. From an ingress node: the revision of the
    /// configuration in use.
    #[prost(uint64, tag = "10")]
    pub value_number_or_revision: u64,
}

/// A message sent periodically in both directions, which keeps the session alive and contains state that changes often.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// From an ingress node: the number of its newest retry quota request. From a control node: the number of its
    /// newest value.
    #[prost(uint64, tag = "1")]
    pub quota_request_or_value_number: u64,
    /// From a control node: whether it is in contact with a majority of the voters.
    #[prost(bool, tag = "2")]
    pub has_quorum: bool,
    /// From a control node: the digest of its replica registry.
    #[prost(fixed64, tag = "3")]
    pub registry_digest: u64,
    /// From an ingress node: the revision of the configuration in use.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
    /// From a control node: the number of the newest value synced to its disk, if there is one.
    #[prost(uint64, optional, tag = "5")]
    pub durable_value_number: Option<u64>,
    /// The sender's monotonic clock in milliseconds. The receiver only echoes it.
    #[prost(uint64, tag = "6")]
    pub sent_at: u64,
    /// The `sent_at` of the last heartbeat that the sender received in this session, which proves a round trip.
    #[prost(uint64, optional, tag = "7")]
    pub echoed_sent_at: Option<u64>,
    /// From a control node: whether it is shutting down gracefully.
    #[prost(bool, tag = "8")]
    pub shutting_down: bool,
    /// From the holder of the leader lease: whether the voters are about to change.
    #[prost(bool, tag = "9")]
    pub reconfiguring: bool,
    /// From a control node to another one: its own wall-clock time when it sent this, in milliseconds since 1970.
    #[prost(uint64, optional, tag = "10")]
    pub wall_time_ms: Option<u64>,
    /// From a control node to an ingress node: the wall-clock time that the control nodes agreed on, at the time of
    /// sending, in milliseconds since 1970.
    #[prost(uint64, optional, tag = "11")]
    pub agreed_time_ms: Option<u64>,
}

impl Heartbeat {
    /// Creates the heartbeat of an ingress node, which also requests a retry quota.
    pub fn of_ingress_node(quota_request: u64, revision: u64) -> Heartbeat {
        Heartbeat {
            quota_request_or_value_number: quota_request,
            revision,
            ..Heartbeat::default()
        }
    }
}

/// The part of the sender's state that is synced to its disk.
#[derive(Clone, PartialEq, Message)]
pub struct DurableProgress {
    /// The number of the newest synced value, if there is one.
    #[prost(uint64, optional, tag = "1")]
    pub value_number: Option<u64>,
    /// Not read, and 0 in messages of this version. Formerly the greatest epoch for which the sender granted a lease.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
}

/// From a control node to an ingress node: consecutive changes, or the complete state.
#[derive(Clone, PartialEq, Message)]
pub struct IngressUpdate {
    /// The id of the change log that `change_log_offset` belongs to.
    #[prost(fixed64, tag = "1")]
    pub change_log_id: u64,
    /// The offset in the change log after this update.
    #[prost(uint64, tag = "2")]
    pub change_log_offset: u64,
    /// The update lists all replicas that the sender knows. If `registry_complete` is set, an omitted replica does not
    /// run.
    #[prost(bool, tag = "3")]
    pub complete: bool,
    /// The replicas that changed, or all of them.
    #[prost(message, repeated, tag = "4")]
    pub replicas: Vec<Replica>,
    /// The newest decided value; `None` if the update does not contain it.
    #[prost(message, optional, tag = "5")]
    pub value: Option<Value>,
    /// The addresses for control calls of all known control nodes; empty if the update does not contain them.
    #[prost(string, repeated, tag = "6")]
    pub control_addresses: Vec<String>,
    /// The value was confirmed to be the newest at some time since the session began.
    #[prost(bool, tag = "7")]
    pub value_confirmed: bool,
    /// The control node has been in contact with a majority for longer than the timeout of replicas. Each running
    /// replica has sent a heartbeat since, so one that a complete update omits does not run. If not set, heartbeats of
    /// some replicas may not have reached this node yet, and a complete update removes no replica.
    #[prost(bool, tag = "8")]
    pub registry_complete: bool,
}

/// From a control node to another one: the state of replicas, and the sender's sessions with ingress nodes.
#[derive(Clone, PartialEq, Message)]
pub struct ControlUpdate {
    /// The replicas that changed, or all of them.
    #[prost(message, repeated, tag = "1")]
    pub replicas: Vec<Replica>,
    /// All sessions of ingress nodes with the sender.
    #[prost(message, repeated, tag = "2")]
    pub sessions: Vec<IngressSession>,
    /// Whether the update contains `sessions`, which may be empty.
    #[prost(bool, tag = "3")]
    pub has_sessions: bool,
    /// The addresses for control calls of all known control nodes; empty if the update does not contain them.
    #[prost(string, repeated, tag = "4")]
    pub control_addresses: Vec<String>,
    /// The id that an [`UpdateAck`] has to repeat; 0 if no acknowledgement is needed.
    #[prost(uint64, tag = "5")]
    pub update_id: u64,
    /// Not read. Whether the update lists all replicas that the sender has.
    #[prost(bool, tag = "6")]
    pub complete: bool,
}

/// The acknowledgement of a [`ControlUpdate`].
#[derive(Clone, PartialEq, Message)]
pub struct UpdateAck {
    /// The `update_id` of the update.
    #[prost(uint64, tag = "1")]
    pub update_id: u64,
}

/// A share of the retry budget, granted by the leader for a limited time that starts with the request.
#[derive(Clone, PartialEq, Message)]
pub struct QuotaGrant {
    /// The ingress node's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The number of the request that this grant answers.
    #[prost(uint64, tag = "3")]
    pub quota_request: u64,
    /// The leader's epoch.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
    /// The number of retries allowed in any window of the retry budget.
    #[prost(double, tag = "5")]
    pub share: f64,
    /// How long the share may be used, in milliseconds since the request was sent.
    #[prost(uint32, tag = "6")]
    pub lease_ms: u32,
    /// The number of ingress nodes that carry traffic.
    #[prost(uint32, tag = "7")]
    pub ingress_count: u32,
    /// The index of this ingress node among them, from 0.
    #[prost(uint32, tag = "8")]
    pub ingress_index: u32,
}

/// Quota grants for several ingress nodes.
#[derive(Clone, PartialEq, Message)]
pub struct QuotaGrants {
    /// One for each ingress node that requested a quota.
    #[prost(message, repeated, tag = "1")]
    pub grants: Vec<QuotaGrant>,
}
