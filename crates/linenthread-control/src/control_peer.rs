//! A session with another control node: what this node knows of it, and what it was sent.

use std::collections::BTreeSet;
use std::time::Duration;

use linenthread_consensus::{NodeId, ValueNumber};
use linenthread_time::Instant;

use crate::address_book::AddressBookVersion;
use crate::peer_heartbeat::ControlNodeHeartbeat;
use crate::peer_hello::ControlNodeHello;
use crate::timing::CONTACT_TIMEOUT;

/// How often the whole registry is sent, at most, to a peer whose own differs.
const RESYNCHRONIZE_INTERVAL: Duration = Duration::from_millis(1_500);

/// So many heartbeats in a row must carry another digest first: a difference that is merely on its way is over by
/// then.
const MIN_DIGEST_MISMATCHES: u32 = 2;

/// What a heartbeat of a peer demands.
pub(crate) struct HeartbeatDemand {
    /// The peer is to learn at once that its heartbeat was received.
    pub(crate) reply: bool,
    /// The peer's registry has differed for some time: it is to be sent the whole one.
    pub(crate) synchronize: bool,
}

/// A session with another control node.
pub(crate) struct ControlPeer {
    hello: ControlNodeHello,
    last_received_at: Instant,
    /// The peer is itself in contact with a majority of the voters.
    has_quorum: bool,
    /// Number of the newest value that the peer is known to have, in memory.
    value_number: ValueNumber,
    /// Number of the newest value up to which the peer's disk holds everything.
    durable_value_number: Option<ValueNumber>,
    is_shutting_down: bool,
    /// The peer leads, and is about to change the voters.
    is_reconfiguring: bool,
    /// When the newest heartbeat was sent, by this node, that the peer is known to have received.
    acknowledged_sent_at: Option<Instant>,
    /// When the peer, in milliseconds of its own clock, sent its newest heartbeat.
    last_sent_at: Option<u64>,
    /// The addresses that the peer was sent.
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

    /// How the peer introduced itself.
    pub(crate) fn hello(&self) -> &ControlNodeHello {
        &self.hello
    }

    pub(crate) fn node_id(&self) -> NodeId {
        self.hello.node_id
    }

    // --- contact ---

    /// A message of the peer was received.
    pub(crate) fn on_received(&mut self, now: Instant) {
        self.last_received_at = now;
    }

    pub(crate) fn last_received_at(&self) -> Instant {
        self.last_received_at
    }

    /// A message went to the peer and back lately.
    pub(crate) fn in_contact(&self, now: Instant) -> bool {
        self.acknowledged_sent_at
            .is_some_and(|sent_at| now <= sent_at + CONTACT_TIMEOUT)
    }

    /// Whether the peer has acknowledged a heartbeat that was sent at this instant, or later.
    pub(crate) fn has_acknowledged(&self, sent_at: Option<Instant>) -> bool {
        self.acknowledged_sent_at >= sent_at
    }

    /// What the next heartbeat to the peer echoes: when the peer, in milliseconds of its own clock, sent its newest
    /// one.
    pub(crate) fn sent_at_to_echo(&self) -> Option<u64> {
        self.last_sent_at
    }

    // --- what the peer reports of itself ---

    /// Whether the peer is itself in contact with a majority of the voters.
    pub(crate) fn has_quorum(&self) -> bool {
        self.has_quorum
    }

    pub(crate) fn is_shutting_down(&self) -> bool {
        self.is_shutting_down
    }

    /// Whether the peer leads, and is about to change the voters.
    pub(crate) fn is_reconfiguring(&self) -> bool {
        self.is_reconfiguring
    }

    /// Whether calls may be redirected to the peer.
    pub(crate) fn accepts_calls(&self, now: Instant) -> bool {
        self.in_contact(now) && self.has_quorum && !self.is_shutting_down
    }

    /// Takes in a heartbeat of the peer; `digest` is that of this node's registry.
    pub(crate) fn on_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: &ControlNodeHeartbeat,
        digest: u64,
    ) -> HeartbeatDemand {
        let begins_shutdown = heartbeat.is_shutting_down && !self.is_shutting_down;
        self.has_quorum = heartbeat.has_quorum;
        self.value_number = heartbeat.value_number;
        self.observe_durable(heartbeat.durable_value_number);
        self.is_shutting_down = heartbeat.is_shutting_down;
        self.is_reconfiguring = heartbeat.is_reconfiguring;
        // A heartbeat that the peer received was sent before now, whatever the peer says.
        self.acknowledged_sent_at = self
            .acknowledged_sent_at
            .max(heartbeat.echoed_sent_at.map(|sent_at| sent_at.min(now)));
        let is_first = self.last_sent_at.replace(heartbeat.sent_at).is_none();
        self.digest_mismatches = if heartbeat.registry_digest == digest {
            0
        } else {
            self.digest_mismatches + 1
        };
        HeartbeatDemand {
            reply: is_first || begins_shutdown,
            synchronize: self.digest_mismatches >= MIN_DIGEST_MISMATCHES
                && now >= self.synchronized_at + RESYNCHRONIZE_INTERVAL,
        }
    }

    // --- values ---

    /// Number of the newest value that the peer is known to have, in memory.
    pub(crate) fn value_number(&self) -> ValueNumber {
        self.value_number
    }

    /// Whether the peer lacks the value of this number. That of the first value of all also stands for none.
    pub(crate) fn lacks(&self, value_number: ValueNumber) -> bool {
        let may_have_none =
            value_number == ValueNumber::FIRST && self.durable_value_number.is_none();
        self.value_number < value_number || may_have_none
    }

    /// The peer is sent the value of this number; its next heartbeat says what it has then.
    pub(crate) fn on_value_sent(&mut self, value_number: ValueNumber) {
        self.value_number = value_number;
    }

    /// The peer sent the value of this number.
    pub(crate) fn observe_value(&mut self, value_number: ValueNumber) {
        self.value_number = self.value_number.max(value_number);
    }

    /// Number of the newest value up to which the peer's disk holds everything.
    pub(crate) fn durable_value_number(&self) -> Option<ValueNumber> {
        self.durable_value_number
    }

    /// The peer's disk holds everything up to this value.
    pub(crate) fn observe_durable(&mut self, value_number: Option<ValueNumber>) {
        self.durable_value_number = self.durable_value_number.max(value_number);
    }

    // --- replicas and addresses ---

    /// The peer is to be sent these replicas with the next update.
    pub(crate) fn queue_replicas<'a>(&mut self, replica_ids: impl IntoIterator<Item = &'a str>) {
        self.queued_replicas
            .extend(replica_ids.into_iter().map(str::to_owned));
    }

    /// The replicas to send to the peer with this update.
    pub(crate) fn take_queued_replicas(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.queued_replicas)
    }

    /// The peer is sent the whole registry and all addresses.
    pub(crate) fn on_synchronized(&mut self, now: Instant, addresses: AddressBookVersion) {
        self.queued_replicas.clear();
        self.synchronized_at = now;
        self.sent_addresses = addresses;
    }

    /// The peer is to have the addresses of this version; returns whether it has to be sent them.
    pub(crate) fn update_addresses(&mut self, version: AddressBookVersion) -> bool {
        std::mem::replace(&mut self.sent_addresses, version) != version
    }
}
