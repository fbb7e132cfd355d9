//! Fetches orders that are missing in this node's order log from other voters.

use std::collections::BTreeSet;

use linenthread_messages::{OrderLogEntries, OrderLogRequest, PeerMessage};
use linenthread_time::Instant;

use crate::decided_state::DecidedState;
use crate::effects::Effect;
use crate::node_id::NodeId;
use crate::revision::Revision;
use crate::timing::{CATCH_UP_ABANDON_TIMEOUT, CATCH_UP_TIMEOUT};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct InFlight {
    request: OrderLogRequest,
    sent_at: Instant,
}

/// The gap in the order log that is currently being filled.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Gap {
    /// The newest missing revision.
    newest: Revision,
    since: Instant,
}

/// Client of the other voters' order logs, with one request in flight at a time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct OrderLogCatchUp {
    id: NodeId,
    in_flight: Option<InFlight>,
    /// Voters that replied without the newest missing revision.
    voters_without_newest: BTreeSet<NodeId>,
    gap: Option<Gap>,
    /// Round-robin counter that selects the voter to ask, modulo their number. Incremented when a voter does not
    /// reply.
    voter_index: usize,
}

impl OrderLogCatchUp {
    pub(crate) fn new(id: NodeId) -> OrderLogCatchUp {
        OrderLogCatchUp {
            id,
            in_flight: None,
            voters_without_newest: BTreeSet::new(),
            gap: None,
            voter_index: 0,
        }
    }

    /// Requests the newest missing orders, and skips those that no voter has.
    pub(crate) fn tick(
        &mut self,
        now: Instant,
        decided: &mut DecidedState,
        effects: &mut Vec<Effect>,
    ) {
        while let Some(request) = decided.order_log().request_for_gap() {
            let newest = Revision::new(request.newest);
            if self.gap.as_ref().is_none_or(|gap| gap.newest != newest) {
                self.gap = Some(Gap { newest, since: now });
                self.voters_without_newest.clear();
                self.in_flight = None;
            }
            if !self.is_unrecoverable(now, decided) {
                self.send(now, request, decided, effects);
                return;
            }
            decided.order_log_mut().skip_gap();
        }
        (self.in_flight, self.gap) = (None, None);
    }

    fn other_voters<'a>(&self, decided: &'a DecidedState) -> impl Iterator<Item = NodeId> + 'a {
        let local_id = self.id;
        decided.voter_ids().filter(move |id| *id != local_id)
    }

    /// Reports whether the missing orders are considered lost: all other voters lack them, or a majority of all
    /// voters does and the others have not replied within [`CATCH_UP_ABANDON_TIMEOUT`].
    fn is_unrecoverable(&self, now: Instant, decided: &DecidedState) -> bool {
        let timed_out = self
            .gap
            .as_ref()
            .is_some_and(|gap| now >= gap.since + CATCH_UP_ABANDON_TIMEOUT);
        let majority_lacks =
            decided.is_majority(self.voters_without_newest.iter().copied().chain([self.id]));
        let all_lack = self
            .other_voters(decided)
            .all(|id| self.voters_without_newest.contains(&id));
        all_lack || majority_lacks && timed_out
    }

    fn send(
        &mut self,
        now: Instant,
        request: OrderLogRequest,
        decided: &DecidedState,
        effects: &mut Vec<Effect>,
    ) {
        match &self.in_flight {
            Some(in_flight) if now < in_flight.sent_at + CATCH_UP_TIMEOUT => return,
            Some(_) => self.voter_index = self.voter_index.wrapping_add(1),
            // The voter that replied to the previous request is asked again.
            None => {}
        }
        let candidates: Vec<NodeId> = self
            .other_voters(decided)
            .filter(|id| !self.voters_without_newest.contains(id))
            .collect();
        if candidates.is_empty() {
            return;
        }
        let to = candidates[self.voter_index % candidates.len()];
        self.in_flight = Some(InFlight {
            request: request.clone(),
            sent_at: now,
        });
        effects.push(Effect::Send {
            to,
            message: PeerMessage::OrderLogRequest(request),
        });
    }

    /// Adds the orders of a reply to the log, and reports whether there were any. Late replies are used as well,
    /// since accepted orders stay accepted.
    pub(crate) fn on_entries(
        &mut self,
        from: NodeId,
        entries: &OrderLogEntries,
        decided: &mut DecidedState,
    ) -> bool {
        let awaited = self
            .in_flight
            .as_ref()
            .is_some_and(|in_flight| in_flight.request.newest == entries.newest);
        if awaited {
            self.in_flight = None;
        }
        if entries.orders.is_empty() {
            if awaited && decided.is_voter(from) {
                self.voters_without_newest.insert(from);
            }
            return false;
        }
        decided.order_log_mut().extend(&entries.orders);
        decided.order_log_mut().refresh_gap();
        true
    }
}
