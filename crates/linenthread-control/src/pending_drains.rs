//! Pending calls of replicas that drain or depart. Each call is acknowledged once a majority of the voters have
//! recorded it on their disks, so that it outlasts a restart of all of them.

use std::collections::BTreeSet;

use linenthread_consensus::NodeId;
use linenthread_time::Instant;

use crate::timing::CALL_TIMEOUT;
use crate::{CallId, Response, UnavailableReason};

/// Id of an update that the control nodes acknowledge once it is on their disks, unique within this node's incarnation
/// and counted from 1.
/// Acknowledgements of other updates do not count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct UpdateId(u64);

impl UpdateId {
    /// Converts the number in an acknowledgement.
    pub(crate) fn new(number: u64) -> UpdateId {
        UpdateId(number)
    }

    /// Returns the number that is sent in messages, where 0 stands for an update that is not acknowledged.
    pub(crate) fn get(self) -> u64 {
        self.0
    }

    fn next(self) -> UpdateId {
        UpdateId(self.0 + 1)
    }
}

struct PendingDrain {
    call: CallId,
    replica_id: String,
    /// Id of the update that was sent to the other control nodes.
    update_id: UpdateId,
    deadline: Instant,
    /// Ids of the nodes, this one included, whose disks hold the update.
    acknowledged_by: BTreeSet<NodeId>,
}

/// A completed call, with its response.
pub(crate) struct CompletedCall {
    pub(crate) call: CallId,
    pub(crate) replica_id: String,
    pub(crate) response: Response,
}

/// The pending calls, and the replicas that a majority of the present voters know to be draining or departed.
#[derive(Default)]
pub(crate) struct PendingDrains {
    /// Oldest first.
    pending: Vec<PendingDrain>,
    known_by_majority: BTreeSet<String>,
    last_update_id: UpdateId,
}

impl PendingDrains {
    /// Reports whether no call is pending.
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    pub(crate) fn is_known_by_majority(&self, replica_id: &str) -> bool {
        self.known_by_majority.contains(replica_id)
    }

    /// Forgets that a majority knows of the replica's drain, so that its next drain is replicated again.
    pub(crate) fn forget(&mut self, replica_id: &str) {
        self.known_by_majority.remove(replica_id);
    }

    /// Clears the drains known to a majority, after a change of the voters: a majority of the new voters may not know
    /// them.
    pub(crate) fn on_voters_changed(&mut self) {
        self.known_by_majority.clear();
    }

    /// Forgets the drains of replicas for which `is_registered` is false.
    pub(crate) fn retain(&mut self, is_registered: impl Fn(&str) -> bool) {
        self.known_by_majority
            .retain(|replica_id| is_registered(replica_id));
    }

    /// Adds a pending call; returns the id of the update that all nodes, this one included, acknowledge once it is on
    /// their disks.
    pub(crate) fn begin(&mut self, now: Instant, call: CallId, replica_id: &str) -> UpdateId {
        self.last_update_id = self.last_update_id.next();
        self.pending.push(PendingDrain {
            call,
            replica_id: replica_id.to_owned(),
            update_id: self.last_update_id,
            deadline: now + CALL_TIMEOUT,
            acknowledged_by: BTreeSet::new(),
        });
        self.last_update_id
    }

    /// Records that a node acknowledged an update.
    pub(crate) fn on_ack(&mut self, node_id: NodeId, update_id: UpdateId) {
        let drain = self
            .pending
            .iter_mut()
            .find(|drain| drain.update_id == update_id);
        if let Some(drain) = drain {
            drain.acknowledged_by.insert(node_id);
        }
    }

    /// Discards the acknowledgements of a node whose session was closed: the node may have lost the updates.
    pub(crate) fn on_node_disconnected(&mut self, node_id: NodeId) {
        for drain in &mut self.pending {
            drain.acknowledged_by.remove(&node_id);
        }
    }

    /// Removes the calls that complete now, and returns them with their responses, oldest first.
    pub(crate) fn take_completed(
        &mut self,
        now: Instant,
        is_majority: impl Fn(&BTreeSet<NodeId>) -> bool,
    ) -> Vec<CompletedCall> {
        let known_by_majority = &mut self.known_by_majority;
        let mut completed = Vec::new();
        self.pending.retain(|drain| {
            // The deadline is checked first: after a pause of the process, acknowledgements that have arrived by now
            // are too late.
            let response = if now >= drain.deadline {
                Response::Unavailable(UnavailableReason::NotReplicated)
            } else if is_majority(&drain.acknowledged_by) {
                known_by_majority.insert(drain.replica_id.clone());
                Response::Acknowledged { report_to: None }
            } else {
                return true;
            };
            completed.push(CompletedCall {
                call: drain.call,
                replica_id: drain.replica_id.clone(),
                response,
            });
            false
        });
        completed
    }
}
