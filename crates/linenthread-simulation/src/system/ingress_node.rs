//! Ingress node: it has a session with one control node, follows its change log, and requests shares of the retry
//! allowance.

use std::collections::BTreeMap;
use std::time::Duration;

use linenthread_control::{
    ChangeLogOffset, Epoch, Incarnation, QuotaRequestNumber, Revision, SessionId,
};
use linenthread_dataplane::UsageCounter;
use linenthread_messages::{Heartbeat, Hello, IngressUpdate, PeerMessage, QuotaGrant, VERSION};
use linenthread_time::{Instant, WallTime, WindowLength};

use super::event::{NodeIndex, Process};

/// Number of retries that all ingress nodes together may use in a window.
pub(super) const RETRY_ALLOWANCE: f64 = 50.0;
/// Length of the window of [`RETRY_ALLOWANCE`].
pub(super) const RETRY_WINDOW: Duration = Duration::from_millis(4_000);
/// Number of ingress nodes.
pub(super) const INGRESS_NODES: usize = 4;
/// Time without a message after which an ingress node closes its session.
const SESSION_TIMEOUT: Duration = Duration::from_millis(1_600);
/// The same for a session on which no message has arrived yet.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(700);
/// Number of consecutive heartbeats without a quorum after which an ingress node closes its session.
const MAX_HEARTBEATS_WITHOUT_QUORUM: u32 = 2;

/// A share of the allowance that may be used until its lease ends.
#[derive(Clone, Copy)]
pub(super) struct Grant {
    pub(super) share: f64,
    pub(super) until: Instant,
}

/// Returns the maximum that one incarnation may have used under its grants; each grant replaces the previous one.
fn max_share(grants: &[Grant]) -> f64 {
    grants.iter().map(|grant| grant.share).fold(0.0, f64::max)
}

fn drop_expired(grants: &mut Vec<Grant>, now: Instant) {
    grants.retain(|grant| grant.until + RETRY_WINDOW > now);
}

/// Error for an ingress node that received an older configuration than it has.
pub(super) struct OlderRevision {
    pub(super) revision: Revision,
}

pub(super) struct IngressNode {
    pub(super) incarnation: Incarnation,
    pub(super) session: Option<SessionId>,
    /// Control node of the current session, or of the last one.
    pub(super) control: usize,
    change_log_id: u64,
    change_log_offset: ChangeLogOffset,
    last_quota_request: QuotaRequestNumber,
    quota_requested_at: BTreeMap<QuotaRequestNumber, Instant>,
    /// Grants that may have been used within the window.
    grants: Vec<Grant>,
    /// Newest lease epoch under which it received a grant.
    epoch: Epoch,
    pub(super) revision: Revision,
    /// Whether its configuration was confirmed as the newest one.
    pub(super) confirmed: bool,
    last_received_at: Instant,
    /// Whether a message was received on the current session.
    has_received: bool,
    /// Number of consecutive heartbeats of a control node without a quorum.
    heartbeats_without_quorum: u32,
    /// Time of the last failure with each control node; the one with the oldest is tried first.
    failed_at: BTreeMap<usize, Instant>,
    /// Time since which it has had no session with a usable control node although there is one.
    pub(super) without_session_since: Option<Instant>,
    /// Counter of the requests that replicas began, as in the data plane.
    pub(super) counter: UsageCounter,
    /// Time up to which requests are counted.
    pub(super) counted_until: Instant,
}

impl IngressNode {
    pub(super) fn new(
        incarnation: Incarnation,
        window_length: WindowLength,
        now: Instant,
    ) -> IngressNode {
        IngressNode {
            incarnation,
            session: None,
            control: 0,
            change_log_id: 0,
            change_log_offset: ChangeLogOffset::START,
            last_quota_request: QuotaRequestNumber::NONE,
            quota_requested_at: BTreeMap::new(),
            grants: Vec::new(),
            epoch: Epoch::NONE,
            revision: Revision::NONE,
            confirmed: false,
            last_received_at: Instant::START,
            has_received: false,
            heartbeats_without_quorum: 0,
            failed_at: BTreeMap::new(),
            without_session_since: None,
            counter: UsageCounter::new(window_length),
            counted_until: now,
        }
    }

    /// Returns the current process; `index` is the index of this node.
    pub(super) fn process(&self, index: usize) -> Process {
        Process {
            node: NodeIndex::Ingress(index),
            incarnation: self.incarnation,
        }
    }

    // --- sessions ---

    /// Records that a session with a control node was opened.
    pub(super) fn on_opened(&mut self, session: SessionId, control: usize, now: Instant) {
        self.session = Some(session);
        self.control = control;
        self.last_received_at = now;
        self.has_received = false;
        self.heartbeats_without_quorum = 0;
    }

    /// Records that the session was closed by either end.
    pub(super) fn on_closed(&mut self, now: Instant) {
        self.on_failed(self.control, now);
        self.session = None;
    }

    /// Records a failure to reach a control node, or the end of a session with it.
    pub(super) fn on_failed(&mut self, control: usize, now: Instant) {
        self.failed_at.insert(control, now);
    }

    pub(super) fn failed_at(&self, control: usize) -> Instant {
        self.failed_at.get(&control).copied().unwrap_or_default()
    }

    /// Reports whether the session should be closed, because the control node is silent or has no quorum.
    pub(super) fn should_leave(&self, now: Instant) -> bool {
        let timeout = if self.has_received {
            SESSION_TIMEOUT
        } else {
            FIRST_MESSAGE_TIMEOUT
        };
        now > self.last_received_at + timeout
            || self.heartbeats_without_quorum >= MAX_HEARTBEATS_WITHOUT_QUORUM
    }

    // --- messages ---

    pub(super) fn hello(&self, name: String) -> Hello {
        Hello {
            version: VERSION,
            name,
            zone: "z0".into(),
            incarnation: self.incarnation.get(),
            change_log_id: self.change_log_id,
            change_log_offset: self.change_log_offset.get(),
            value_number_or_revision: self.revision.get(),
            ..Hello::default()
        }
    }

    /// Builds the next heartbeat, which requests a share of the allowance.
    pub(super) fn heartbeat(&mut self, now: Instant) -> Heartbeat {
        self.last_quota_request = self.last_quota_request.next();
        self.quota_requested_at.insert(self.last_quota_request, now);
        Heartbeat::of_ingress_node(self.last_quota_request.get(), self.revision.get())
    }

    /// Handles a message of the control node.
    pub(super) fn on_message(
        &mut self,
        message: PeerMessage,
        now: Instant,
    ) -> Result<(), OlderRevision> {
        self.last_received_at = now;
        self.has_received = true;
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(&heartbeat, now),
            PeerMessage::IngressUpdate(update) => return self.on_update(update),
            PeerMessage::QuotaGrants(grants) => {
                for grant in grants.grants {
                    self.on_grant(&grant, now);
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) {
        self.heartbeats_without_quorum = if heartbeat.has_quorum {
            0
        } else {
            self.heartbeats_without_quorum + 1
        };
        if let Some(agreed) = heartbeat.agreed_time_ms {
            let agreed = WallTime::from_millis(agreed);
            self.counter.observe_agreed_time(now, agreed);
        }
    }

    fn on_update(&mut self, update: IngressUpdate) -> Result<(), OlderRevision> {
        self.change_log_id = update.change_log_id;
        self.change_log_offset = ChangeLogOffset::new(update.change_log_offset);
        self.confirmed |= update.value_confirmed;
        let Some(value) = update.value else {
            return Ok(());
        };
        let revision = Revision::of(&value);
        let is_older = revision < self.revision;
        self.revision = revision;
        if is_older {
            Err(OlderRevision { revision })
        } else {
            Ok(())
        }
    }

    fn on_grant(&mut self, grant: &QuotaGrant, now: Instant) {
        let epoch = Epoch::new(grant.epoch);
        if Incarnation::new(grant.incarnation) != self.incarnation || epoch < self.epoch {
            return;
        }
        let request = QuotaRequestNumber::new(grant.quota_request);
        let Some(requested_at) = self.quota_requested_at.get(&request) else {
            return;
        };
        let until = *requested_at + Duration::from_millis(grant.lease_ms.into());
        self.epoch = epoch;
        if until > now {
            let share = grant.share;
            self.grants.push(Grant { share, until });
        }
    }
}

/// All ingress nodes, and the grants of their earlier incarnations.
pub(super) struct IngressNodes {
    pub(super) nodes: Vec<IngressNode>,
    /// Grants of incarnations that have ended.
    retired: Vec<Vec<Grant>>,
}

impl IngressNodes {
    pub(super) fn new() -> IngressNodes {
        IngressNodes {
            nodes: Vec::new(),
            retired: Vec::new(),
        }
    }

    /// Replaces a node by a new incarnation, and returns the session of the old one.
    pub(super) fn restart(
        &mut self,
        index: usize,
        next: IngressNode,
        now: Instant,
    ) -> Option<SessionId> {
        let old = std::mem::replace(&mut self.nodes[index], next);
        let ended = |grant: &Grant| Grant {
            until: grant.until.min(now),
            ..*grant
        };
        self.retired.push(old.grants.iter().map(ended).collect());
        old.session
    }

    /// Returns the maximum that all incarnations together may have used within the window that ends now.
    pub(super) fn max_usage(&mut self, now: Instant) -> f64 {
        let mut sum = 0.0;
        for node in &mut self.nodes {
            drop_expired(&mut node.grants, now);
            sum += max_share(&node.grants);
        }
        for grants in &mut self.retired {
            drop_expired(grants, now);
        }
        self.retired.retain(|grants| !grants.is_empty());
        sum += self
            .retired
            .iter()
            .map(|grants| max_share(grants))
            .sum::<f64>();
        sum
    }
}
