//! A session with an ingress node: the state that the node reported, and what it was sent.

use std::collections::BTreeSet;

use linenthread_consensus::{Incarnation, Revision};
use linenthread_messages::{IngressSession, IngressUpdate, Replica, Value};
use linenthread_time::Instant;

use crate::address_book::{AddressBook, AddressBookVersion};
use crate::change_log::ChangeLogOffset;
use crate::peer_heartbeat::IngressNodeHeartbeat;
use crate::peer_hello::IngressNodeHello;
use crate::{IngressIncarnation, QuotaRequestNumber, ReplicaRegistry};

/// Progress of the read barrier of a session. The barrier is a linearizable read that is started for the session; once
/// it has succeeded, this node's configuration is known to be the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Confirmation {
    /// No read was started, or the last one failed.
    Missing,
    /// The read is in flight.
    InFlight,
    /// The read succeeded.
    Confirmed,
}

/// The state that updates are built from.
pub(crate) struct UpdateSource<'a> {
    pub(crate) registry: &'a ReplicaRegistry,
    pub(crate) decided: Option<&'a Value>,
    pub(crate) address_book: &'a AddressBook,
}

/// A session with an ingress node.
pub(crate) struct IngressPeer {
    hello: IngressNodeHello,
    last_received_at: Instant,
    /// The newest revision that the ingress node was sent, or that it had at the start of the session.
    sent_revision: Revision,
    /// Offset in the change log up to which it was sent all changes; `None` if it needs the whole registry.
    sent_offset: Option<ChangeLogOffset>,
    /// Version of the addresses that it was sent.
    sent_addresses: AddressBookVersion,
    confirmation: Confirmation,
    /// Whether it was sent that the configuration is confirmed.
    sent_confirmed: bool,
    /// Number of its newest request for a quota.
    quota_request: QuotaRequestNumber,
    /// The revision of the configuration that the ingress node uses.
    revision: Revision,
}

impl IngressPeer {
    /// Creates the state of a new session. `change_log_id` identifies this node's change log. An ingress node that
    /// followed another log, or none, needs the whole registry.
    pub(crate) fn new(
        now: Instant,
        hello: IngressNodeHello,
        change_log_id: Incarnation,
    ) -> IngressPeer {
        let follows_this_log = hello.change_log_id == change_log_id;
        IngressPeer {
            last_received_at: now,
            sent_revision: hello.revision,
            sent_offset: follows_this_log.then_some(hello.change_log_offset),
            sent_addresses: AddressBookVersion::NONE,
            confirmation: Confirmation::Missing,
            sent_confirmed: false,
            quota_request: QuotaRequestNumber::NONE,
            revision: Revision::NONE,
            hello,
        }
    }

    /// Returns the ingress node's hello message.
    pub(crate) fn hello(&self) -> &IngressNodeHello {
        &self.hello
    }

    /// Reports whether the session is with this incarnation.
    pub(crate) fn is_with(&self, ingress: &IngressIncarnation) -> bool {
        self.hello.name == ingress.name && self.hello.incarnation == ingress.incarnation
    }

    /// Records that a message of the ingress node was received.
    pub(crate) fn on_received(&mut self, now: Instant) {
        self.last_received_at = now;
    }

    pub(crate) fn last_received_at(&self) -> Instant {
        self.last_received_at
    }

    /// Processes a heartbeat of the ingress node.
    pub(crate) fn on_heartbeat(&mut self, heartbeat: &IngressNodeHeartbeat) {
        self.quota_request = heartbeat.quota_request;
        self.revision = heartbeat.revision;
    }

    /// Returns the session in the form in which it is sent to the other control nodes.
    pub(crate) fn to_message(&self) -> IngressSession {
        IngressSession {
            name: self.hello.name.clone(),
            zone: self.hello.zone.clone(),
            incarnation: self.hello.incarnation.get(),
            quota_request: self.quota_request.get(),
            address: String::new(),
            revision: self.revision.get(),
        }
    }

    // --- read barrier ---

    fn is_confirmed(&self) -> bool {
        self.confirmation == Confirmation::Confirmed
    }

    /// Reports whether the read of the newest configuration must be started for this session.
    pub(crate) fn needs_confirmation(&self) -> bool {
        self.confirmation == Confirmation::Missing
    }

    /// Records that the read was started.
    pub(crate) fn start_confirmation(&mut self) {
        self.confirmation = Confirmation::InFlight;
    }

    /// Records whether the read succeeded.
    pub(crate) fn on_confirmation(&mut self, succeeded: bool) {
        self.confirmation = if succeeded {
            Confirmation::Confirmed
        } else {
            Confirmation::Missing
        };
    }

    // --- updates ---

    /// Makes the next update contain the whole registry.
    pub(crate) fn resend_registry(&mut self) {
        self.sent_offset = None;
    }

    /// Returns everything that the ingress node lacks, as one update; `None` if it lacks nothing.
    pub(crate) fn next_update(
        &mut self,
        now: Instant,
        change_log_id: Incarnation,
        source: &UpdateSource,
    ) -> Option<IngressUpdate> {
        let update = self.missing_state(now, change_log_id, source);
        let newly_confirmed = update.value_confirmed && !self.sent_confirmed;
        let is_needed = update.complete
            || !update.replicas.is_empty()
            || update.value.is_some()
            || newly_confirmed
            || !update.control_addresses.is_empty();
        if !is_needed {
            return None;
        }
        self.on_update_sent(&update, source);
        Some(update)
    }

    /// Builds the update with everything that the ingress node lacks.
    fn missing_state(
        &self,
        now: Instant,
        change_log_id: Incarnation,
        source: &UpdateSource,
    ) -> IngressUpdate {
        let change_log = source.registry.changes();
        let changed = self.sent_offset.and_then(|sent| change_log.since(sent));
        let new_addresses = self.sent_addresses != source.address_book.version();
        IngressUpdate {
            change_log_id: change_log_id.get(),
            change_log_offset: change_log.offset().get(),
            complete: changed.is_none(),
            replicas: match changed {
                Some(replica_ids) => snapshots(now, source.registry, &replica_ids),
                None => source.registry.snapshot(now),
            },
            value: self.missing_value(source).cloned(),
            control_addresses: if new_addresses {
                source.address_book.all_addresses()
            } else {
                Vec::new()
            },
            value_confirmed: self.is_confirmed(),
            registry_complete: source.registry.is_complete(),
        }
    }

    /// Returns the newest value if the ingress node has an older configuration, and only once the read for this session
    /// has succeeded. The ingress node therefore never starts to use a configuration that is older than the newest one.
    fn missing_value<'a>(&self, source: &UpdateSource<'a>) -> Option<&'a Value> {
        source
            .decided
            .filter(|value| self.is_confirmed() && Revision::of(value) > self.sent_revision)
    }

    fn on_update_sent(&mut self, update: &IngressUpdate, source: &UpdateSource) {
        if let Some(value) = &update.value {
            self.sent_revision = Revision::of(value);
        }
        self.sent_offset = Some(source.registry.changes().offset());
        self.sent_confirmed = update.value_confirmed;
        self.sent_addresses = source.address_book.version();
    }
}

fn snapshots(
    now: Instant,
    registry: &ReplicaRegistry,
    replica_ids: &BTreeSet<&str>,
) -> Vec<Replica> {
    replica_ids
        .iter()
        .filter_map(|replica_id| registry.get(replica_id))
        .map(|registered| registered.snapshot(now))
        .collect()
}
