use std::collections::BTreeSet;
use std::time::Duration;

use linenthread_messages::{OrderLogEntries, OrderLogRequest, PeerMessage};
use linenthread_time::Instant;

use crate::decided_state::DecidedState;
use crate::effects::Effect;

/// A request without an answer goes to another voter after so long.
const AGAIN: Duration = Duration::from_millis(450);
/// More than half of the voters have nothing, the others do not answer for so long: what is missing is given up.
const GIVE_UP: Duration = Duration::from_secs(10);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Asked {
    request: OrderLogRequest,
    at: Instant,
}

/// Asks other voters for the orders that the ledger lacks, one request at a time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct OrderLogCatchUp {
    id: u64,
    asked: Option<Asked>,
    /// Who answered that it has nothing of what is missing, and since when it is asked for.
    without: BTreeSet<u64>,
    missing_since: Option<(u64, Instant)>,
    turn: usize,
}

impl OrderLogCatchUp {
    pub(crate) fn new(id: u64) -> OrderLogCatchUp {
        OrderLogCatchUp {
            id,
            asked: None,
            without: BTreeSet::new(),
            missing_since: None,
            turn: 0,
        }
    }

    /// Asks for what is missing, or gives it up.
    pub(crate) fn tick(
        &mut self,
        now: Instant,
        decided: &mut DecidedState,
        effects: &mut Vec<Effect>,
    ) {
        while let Some(request) = decided.order_log().request() {
            if self
                .missing_since
                .is_none_or(|(missing, _)| missing != request.newest)
            {
                self.missing_since = Some((request.newest, now));
                self.without.clear();
                self.asked = None;
            }
            if !self.is_hopeless(now, decided) {
                self.ask(now, request, decided, effects);
                return;
            }
            decided.ledger_mut().give_up_missing();
        }
        (self.asked, self.missing_since) = (None, None);
    }

    fn others<'a>(&self, decided: &'a DecidedState) -> impl Iterator<Item = u64> + 'a {
        let own = self.id;
        decided
            .voters()
            .iter()
            .map(|voter| voter.id)
            .filter(move |id| *id != own)
    }

    fn is_hopeless(&self, now: Instant, decided: &DecidedState) -> bool {
        let waited = self
            .missing_since
            .is_some_and(|(_, since)| now >= since + GIVE_UP);
        let most = decided.is_majority(self.without.iter().copied().chain([self.id]));
        self.others(decided).all(|id| self.without.contains(&id)) || most && waited
    }

    fn ask(
        &mut self,
        now: Instant,
        request: OrderLogRequest,
        decided: &DecidedState,
        effects: &mut Vec<Effect>,
    ) {
        match &self.asked {
            Some(asked) if now < asked.at + AGAIN => return,
            Some(_) => self.turn = self.turn.wrapping_add(1),
            // Whoever answered is asked on.
            None => {}
        }
        let left: Vec<u64> = self
            .others(decided)
            .filter(|id| !self.without.contains(id))
            .collect();
        if left.is_empty() {
            return;
        }
        let to = left[self.turn % left.len()];
        self.asked = Some(Asked {
            request: request.clone(),
            at: now,
        });
        effects.push(Effect::Send {
            to,
            message: PeerMessage::OrderLogRequest(request),
        });
    }

    /// An answer, late ones too: orders that were taken stay taken. Returns whether the ledger has grown.
    pub(crate) fn on_entries(
        &mut self,
        from: u64,
        entries: &OrderLogEntries,
        decided: &mut DecidedState,
    ) -> bool {
        let awaited = self
            .asked
            .as_ref()
            .is_some_and(|asked| asked.request.newest == entries.newest);
        if awaited {
            self.asked = None;
        }
        if entries.orders.is_empty() {
            if awaited && decided.counts(from) {
                self.without.insert(from);
            }
            return false;
        }
        entries
            .orders
            .iter()
            .for_each(|order| decided.ledger_mut().insert(order));
        decided.ledger_mut().relink();
        true
    }
}
