//! Fetches the orders that this node's order log lacks from other voters.

use std::collections::BTreeSet;

use linenthread_messages::{OrderLogEntries, OrderLogRequest, PeerMessage};
use linenthread_time::Instant;

use crate::decided_state::DecidedState;
use crate::effects::Effect;
use crate::node_id::NodeId;
use crate::revision::Revision;
use crate::timing::{CATCH_UP_GIVE_UP, CATCH_UP_TIMEOUT};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct InFlight {
    request: OrderLogRequest,
    sent_at: Instant,
}

/// The gap in the order log that is being filled.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Gap {
    /// Its newest revision.
    newest: Revision,
    since: Instant,
}

/// Requests missing orders, one request at a time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct OrderLogCatchUp {
    id: NodeId,
    in_flight: Option<InFlight>,
    /// Voters that replied that they lack the newest revision of the gap.
    lacking: BTreeSet<NodeId>,
    gap: Option<Gap>,
    /// Selects the voter to ask, modulo their number; counted up when one does not reply.
    turn: usize,
}

impl OrderLogCatchUp {
    pub(crate) fn new(id: NodeId) -> OrderLogCatchUp {
        OrderLogCatchUp {
            id,
            in_flight: None,
            lacking: BTreeSet::new(),
            gap: None,
            turn: 0,
        }
    }

    /// Requests the newest missing orders; gives them up if no voter has them.
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
                self.lacking.clear();
                self.in_flight = None;
            }
            if !self.is_lost(now, decided) {
                self.send(now, request, decided, effects);
                return;
            }
            decided.order_log_mut().skip_gap();
        }
        (self.in_flight, self.gap) = (None, None);
    }

    fn other_voters<'a>(&self, decided: &'a DecidedState) -> impl Iterator<Item = NodeId> + 'a {
        let local = self.id;
        decided.voter_ids().filter(move |id| *id != local)
    }

    /// Whether no voter has the missing orders: all others lack them, or a majority does and the rest has not replied
    /// for long enough.
    fn is_lost(&self, now: Instant, decided: &DecidedState) -> bool {
        let waited = self
            .gap
            .as_ref()
            .is_some_and(|gap| now >= gap.since + CATCH_UP_GIVE_UP);
        let majority_lacks = decided.is_majority(self.lacking.iter().copied().chain([self.id]));
        let all_lack = self
            .other_voters(decided)
            .all(|id| self.lacking.contains(&id));
        all_lack || majority_lacks && waited
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
            Some(_) => self.turn = self.turn.wrapping_add(1),
            // The voter that replied last is asked again.
            None => {}
        }
        let candidates: Vec<NodeId> = self
            .other_voters(decided)
            .filter(|id| !self.lacking.contains(id))
            .collect();
        if candidates.is_empty() {
            return;
        }
        let to = candidates[self.turn % candidates.len()];
        self.in_flight = Some(InFlight {
            request: request.clone(),
            sent_at: now,
        });
        effects.push(Effect::Send {
            to,
            message: PeerMessage::OrderLogRequest(request),
        });
    }

    /// A reply, however late: accepted orders stay accepted. Returns whether orders were added to the log.
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
                self.lacking.insert(from);
            }
            return false;
        }
        decided.order_log_mut().extend(&entries.orders);
        decided.order_log_mut().refresh_gap();
        true
    }
}
