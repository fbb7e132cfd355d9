//! The replicas behind the link: their membership and their health checks.

use linenthread_core::interface::{AttemptOutcome, TenthMillis};

use super::{ClientAction, ClientCloseReason, LinkClient, MembersReport};
use crate::frame::{Frame, MembersUpdate, ProbeOutcome};
use crate::id::ProbeId;

impl LinkClient {
    /// Starts a health check of a replica behind the link. [`ClientAction::ProbeCompleted`] follows when the server
    /// reports the outcome or the connection ends, or at once if the probe cannot be sent.
    pub fn probe(&mut self, replica: String, actions: &mut Vec<ClientAction>) -> ProbeId {
        let id = ProbeId(self.next_id());
        if self.is_ready() && self.probes.len() < self.config.max_in_flight {
            self.probes.insert(id);
            actions.push(ClientAction::Send(Frame::Probe { id, replica }));
        } else {
            actions.push(failed(id, AttemptOutcome::NotSent));
        }
        id
    }

    /// Reports the outcome of a probe, unless the probe has already completed.
    pub(super) fn on_probe_outcome(
        &mut self,
        outcome: &ProbeOutcome,
        actions: &mut Vec<ClientAction>,
    ) {
        if self.probes.remove(&outcome.id) {
            actions.push(ClientAction::ProbeCompleted {
                id: outcome.id,
                outcome: outcome.outcome,
                queue_depth: outcome.queue_depth,
            });
        }
    }

    /// Fails all pending probes when the connection has ended, because their outcomes can no longer arrive.
    pub(super) fn fail_probes(&mut self, actions: &mut Vec<ClientAction>) {
        let probes = std::mem::take(&mut self.probes);
        let lost = |id| failed(id, AttemptOutcome::ConnectionLost);
        actions.extend(probes.into_iter().map(lost));
    }

    /// Reports a complete list, or changes with the next revision. After a missed revision the connection is closed.
    pub(super) fn on_members(
        &mut self,
        now: TenthMillis,
        update: MembersUpdate,
        actions: &mut Vec<ClientAction>,
    ) {
        let MembersUpdate {
            revision,
            complete,
            members,
        } = update;
        let is_duplicate = !complete && revision <= self.members_revision;
        if is_duplicate {
            return;
        }
        let is_next = revision == self.members_revision + 1;
        if !complete && !is_next {
            return self.close(now, ClientCloseReason::MissedMembersUpdate, actions);
        }
        self.members_revision = revision;
        actions.push(ClientAction::Members(if complete {
            MembersReport::Complete(members)
        } else {
            MembersReport::Changes(members)
        }));
    }
}

/// Builds the completion of a health check that has no outcome from the server.
fn failed(id: ProbeId, outcome: AttemptOutcome) -> ClientAction {
    ClientAction::ProbeCompleted {
        id,
        outcome,
        queue_depth: None,
    }
}
