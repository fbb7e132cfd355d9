//! A session with another control node: the state that the peer reported, and what it was sent.

use std::collections::BTreeSet;
use std::time::Duration;

use linenthread_consensus::{NodeId, ValueNumber};
use linenthread_time::Instant;

use crate::address_book::AddressBookVersion;
use crate::peer_heartbeat::ControlNodeHeartbeat;
use crate::peer_hello::ControlNodeHello;
use crate::timing::CONTACT_TIMEOUT;

/// Minimum interval between two transfers of the whole registry to a peer whose registry differs.
const RESYNCHRONIZE_INTERVAL: Duration = Duration::from_millis(1_500);

/// The registry is sent only after this many heartbeats in a row with a different digest, since a change that is still
/// in transit also causes a difference.
const MIN_DIGEST_MISMATCHES: u32 = 2;

/// What this node must send to a peer after a heartbeat.
pub(crate) struct HeartbeatActions {
    /// A heartbeat is sent immediately, to acknowledge the peer's heartbeat.
    pub(crate) reply: bool,
    /// The whole registry is sent, since the peer's registry has differed for some time.
    pub(crate) synchronize: bool,
}

/// A session with another control node.
pub(crate) struct ControlPeer {
    hello: ControlNodeHello,
    last_received_at: Instant,
    /// Whether the peer reports contact with a majority of the voters.
    has_quorum: bool,
    /// Number of the newest value that the peer is known to have, in memory.
    value_number: ValueNumber,
    /// Number of the newest value up to which the peer's disk holds everything.
    durable_value_number: Option<ValueNumber>,
    is_shutting_down: bool,
    /// Whether the peer is the preferred leader and is about to change the voters, whether or not it holds the lease.
    is_reconfiguring: bool,
    /// When this node sent the newest of its heartbeats that the peer has acknowledged.
    acknowledged_sent_at: Option<Instant>,
    /// When the peer sent its newest heartbeat, in milliseconds of the peer's clock.
    last_sent_at: Option<u64>,
    /// Version of the addresses that the peer was sent.
    sent_addresses: AddressBookVersion,
    /// Replicas to send to the peer with the next update.
    queued_replicas: BTreeSet<String>,
    /// When the peer was last sent the whole registry.
    synchronized_at: Instant,
    digest_mismatches: u32,
}

impl ControlPeer {
    pub(crate) fn new(now: Instant, hello: ControlNodeHello) -> ControlPeer {
        ControlPeer {
            last_received_at: now,
            has_quorum: false,
            value_number: hello.value_number,
            durable_value_number: None,
            is_shutting_down: false,
            is_reconfiguring: false,
            acknowledged_sent_at: None,
            last_sent_at: None,
            sent_addresses: AddressBookVersion::NONE,
            queued_replicas: BTreeSet::new(),
            synchronized_at: Instant::START,
            digest_mismatches: 0,
            hello,
        }
    }

    // --- identity ---

    /// Returns the peer's hello message.
    pub(crate) fn hello(&self) -> &ControlNodeHello {
        &self.hello
    }

    pub(crate) fn node_id(&self) -> NodeId {
        self.hello.node_id
    }

    // --- contact ---

    /// Records that a message of the peer was received.
    pub(crate) fn on_received(&mut self, now: Instant) {
        self.last_received_at = now;
    }

    pub(crate) fn last_received_at(&self) -> Instant {
        self.last_received_at
    }

    /// Reports whether the peer has acknowledged a heartbeat that was sent within [`CONTACT_TIMEOUT`].
    pub(crate) fn in_contact(&self, now: Instant) -> bool {
        self.acknowledged_sent_at
            .is_some_and(|sent_at| now <= sent_at + CONTACT_TIMEOUT)
    }

    /// Reports whether the peer has acknowledged a heartbeat that was sent at or after this instant.
    pub(crate) fn has_acknowledged(&self, sent_at: Option<Instant>) -> bool {
        self.acknowledged_sent_at >= sent_at
    }

    /// Returns the time to echo in the next heartbeat to the peer: when the peer sent its newest heartbeat, in
    /// milliseconds of the peer's clock.
    pub(crate) fn sent_at_to_echo(&self) -> Option<u64> {
        self.last_sent_at
    }

    // --- state that the peer reports ---

    /// Reports whether the peer is in contact with a majority of the voters.
    pub(crate) fn has_quorum(&self) -> bool {
        self.has_quorum
    }

    pub(crate) fn is_shutting_down(&self) -> bool {
        self.is_shutting_down
    }

    /// Reports whether the peer is the preferred leader and is about to change the voters.
    pub(crate) fn is_reconfiguring(&self) -> bool {
        self.is_reconfiguring
    }

    /// Reports whether calls may be redirected to the peer.
    pub(crate) fn accepts_calls(&self, now: Instant) -> bool {
        self.in_contact(now) && self.has_quorum && !self.is_shutting_down
    }

    /// Processes a heartbeat of the peer; `digest` is the digest of this node's registry.
    pub(crate) fn on_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: &ControlNodeHeartbeat,
        digest: u64,
    ) -> HeartbeatActions {
        let begins_shutdown = heartbeat.is_shutting_down && !self.is_shutting_down;
        self.has_quorum = heartbeat.has_quorum;
        self.value_number = heartbeat.value_number;
        self.observe_durable(heartbeat.durable_value_number);
        self.is_shutting_down = heartbeat.is_shutting_down;
        self.is_reconfiguring = heartbeat.is_reconfiguring;
        // A heartbeat that the peer echoes was sent no later than now, whatever time the peer reports.
        self.acknowledged_sent_at = self
            .acknowledged_sent_at
            .max(heartbeat.echoed_sent_at.map(|sent_at| sent_at.min(now)));
        let is_first = self.last_sent_at.replace(heartbeat.sent_at).is_none();
        self.digest_mismatches = if heartbeat.registry_digest == digest {
            0
        } else {
            self.digest_mismatches + 1
        };
        HeartbeatActions {
            reply: is_first || begins_shutdown,
            synchronize: self.digest_mismatches >= MIN_DIGEST_MISMATCHES
                && now >= self.synchronized_at + RESYNCHRONIZE_INTERVAL,
        }
    }

    // --- values ---

    /// Returns the number of the newest value that the peer is known to have, in memory.
    pub(crate) fn value_number(&self) -> ValueNumber {
        self.value_number
    }

    /// Reports whether the peer lacks the value of this number. A peer that reports [`ValueNumber::FIRST`] may have no
    /// value at all.
    pub(crate) fn lacks(&self, value_number: ValueNumber) -> bool {
        let may_have_none =
            value_number == ValueNumber::FIRST && self.durable_value_number.is_none();
        self.value_number < value_number || may_have_none
    }

    /// Records that the peer was sent the value of this number. Its next heartbeat reports the value that it has.
    pub(crate) fn on_value_sent(&mut self, value_number: ValueNumber) {
        self.value_number = value_number;
    }

    /// Records that the peer has sent the value of this number.
    pub(crate) fn observe_value(&mut self, value_number: ValueNumber) {
        self.value_number = self.value_number.max(value_number);
    }

    /// Returns the number of the newest value up to which the peer's disk holds everything.
    pub(crate) fn durable_value_number(&self) -> Option<ValueNumber> {
        self.durable_value_number
    }

    /// Records that the peer's disk holds everything up to this value.
    pub(crate) fn observe_durable(&mut self, value_number: Option<ValueNumber>) {
        self.durable_value_number = self.durable_value_number.max(value_number);
    }

    // --- replicas and addresses ---

    /// Queues replicas for the next update to the peer.
    pub(crate) fn queue_replicas<'a>(&mut self, replica_ids: impl IntoIterator<Item = &'a str>) {
        self.queued_replicas
            .extend(replica_ids.into_iter().map(str::to_owned));
    }

    /// Removes and returns the replicas to send to the peer with this update.
    pub(crate) fn take_queued_replicas(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.queued_replicas)
    }

    /// Records that the peer was sent the whole registry and all addresses.
    pub(crate) fn on_synchronized(&mut self, now: Instant, addresses: AddressBookVersion) {
        self.queued_replicas.clear();
        self.synchronized_at = now;
        self.sent_addresses = addresses;
    }

    /// Records that the peer is sent the addresses of this version; returns whether it lacks them.
    pub(crate) fn update_addresses(&mut self, version: AddressBookVersion) -> bool {
        std::mem::replace(&mut self.sent_addresses, version) != version
    }
}
