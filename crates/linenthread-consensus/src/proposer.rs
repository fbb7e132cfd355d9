//! Pending changes, and the round that decides one of them.

use std::collections::VecDeque;

use linenthread_messages::{AcceptAck, Ballot, PeerMessage, Promise, Rejected, Value};
use linenthread_time::Instant;

use crate::backoff::Backoff;
use crate::change::Change;
use crate::decided_state::DecidedState;
use crate::effects::{Effect, send_to_all};
use crate::incarnation::Incarnation;
use crate::jobs::{JobId, Outcome, UnknownReason};
use crate::node_id::NodeId;
use crate::proposal::{LearnedFrom, PendingChange};
use crate::round::Round;
use crate::round_timeout::RoundTimeout;
use crate::timing::MAX_PENDING_JOBS;
use crate::value_number::ValueNumber;

/// The Paxos proposer of one node, which runs at most one round at a time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Proposer {
    /// Used as proposer number in ballots. It makes them unique, since it differs for each run of each node.
    incarnation: Incarnation,
    pending: VecDeque<PendingChange>,
    round: Option<Round>,
    round_timeout: RoundTimeout,
    backoff: Backoff,
    /// The highest ballot round for the next number that this node has used or that a rejection reported.
    highest_ballot_round: u64,
    /// Whether an undecided value was seen, which must be recovered even if no change is pending.
    recovery_requested: bool,
}

impl Proposer {
    pub(crate) fn new(incarnation: Incarnation) -> Proposer {
        Proposer {
            incarnation,
            pending: VecDeque::new(),
            round: None,
            round_timeout: RoundTimeout::MIN,
            backoff: Backoff::new(incarnation.get()),
            highest_ballot_round: 0,
            recovery_requested: false,
        }
    }

    /// Submits a change; returns false if too many are pending. A voter change is always accepted, and queued before
    /// all other changes, since it becomes invalid if another value is decided first.
    pub(crate) fn submit(&mut self, job: JobId, change: Change, deadline: Instant) -> bool {
        let pending = PendingChange {
            job,
            proposal: change.into(),
            deadline,
        };
        if pending.proposal.is_voter_change() {
            self.pending.push_front(pending);
            self.backoff.skip_backoff();
            return true;
        }
        let has_room = self.pending.len() < MAX_PENDING_JOBS;
        if has_room {
            self.pending.push_back(pending);
        }
        has_room
    }

    /// Requests a round that recovers an undecided value: a value that some acceptor has accepted is proposed again
    /// under this node's ballot.
    pub(crate) fn request_recovery(&mut self) {
        self.recovery_requested = true;
    }

    pub(crate) fn is_busy(&self) -> bool {
        !self.pending.is_empty() || self.recovery_requested
    }

    /// Completes changes whose deadline has passed.
    pub(crate) fn expire(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.pending.retain(|change| {
            let in_time = change.deadline > now;
            if !in_time {
                effects.push(Effect::Reply {
                    job: change.job,
                    outcome: Outcome::Unknown(UnknownReason::TimedOut),
                });
            }
            in_time
        });
    }

    /// Starts a round, resends its request, or abandons it.
    pub(crate) fn tick(&mut self, now: Instant, decided: &DecidedState, effects: &mut Vec<Effect>) {
        if !self.is_busy() {
            self.round = None;
            return;
        }
        let timeout = self.round_timeout;
        let timed_out = self.round.take_if(|round| round.is_timed_out(now, timeout));
        if timed_out.is_some() {
            self.round_timeout.on_timed_out();
        }
        match &mut self.round {
            Some(round) if round.is_resend_due(now) => {
                round.on_resent(now);
                send_to_all(decided.voters(), &round.request(), effects);
            }
            None if self.backoff.allows_round(now) => self.start_round(now, decided, effects),
            _ => {}
        }
    }

    fn start_round(&mut self, now: Instant, decided: &DecidedState, effects: &mut Vec<Effect>) {
        let round = Round::new(decided.next_number(), self.next_ballot(), now);
        send_to_all(decided.voters(), &round.request(), effects);
        self.round = Some(round);
    }

    /// Returns a ballot above all known ones for the next number.
    fn next_ballot(&mut self) -> Ballot {
        self.highest_ballot_round += 1;
        Ballot {
            round: self.highest_ballot_round,
            proposer: self.incarnation.get(),
        }
    }

    /// Returns the request of the current round, to resend to a voter that has just caught up.
    pub(crate) fn current_request(&self) -> Option<PeerMessage> {
        self.round.as_ref().map(Round::request)
    }

    /// Handles a promise. Once a majority has promised, proposes the accepted value with the highest ballot. If there
    /// is none, no value newer than the newest known one is decided, and the pending changes are applied to that one.
    pub(crate) fn on_promise(
        &mut self,
        now: Instant,
        from: NodeId,
        promise: Promise,
        decided: &DecidedState,
        effects: &mut Vec<Effect>,
    ) {
        let prepared = self
            .round
            .as_mut()
            .and_then(|round| round.on_promise(from, promise, decided));
        let Some(prepared) = prepared else {
            return;
        };
        let latency = now.since(prepared.started_at);
        self.backoff.observe_phase_latency(latency);
        self.round_timeout.on_phase_completed(latency);
        let value = prepared
            .accepted
            .or_else(|| self.next_value(decided, effects));
        match (&mut self.round, value) {
            (Some(round), Some(value)) => {
                round.propose(now, value);
                send_to_all(decided.voters(), &round.request(), effects);
            }
            // There is neither an accepted value nor a pending change.
            _ => self.abandon_round(),
        }
    }

    fn abandon_round(&mut self) {
        (self.round, self.recovery_requested) = (None, false);
    }

    /// Returns the value that results from the first pending change that can be proposed, and completes the changes
    /// before it.
    fn next_value(&mut self, decided: &DecidedState, effects: &mut Vec<Effect>) -> Option<Value> {
        while let Some(change) = self.pending.front() {
            match change.proposal.next_value(decided) {
                Ok(value) => return Some(value),
                Err(outcome) => effects.push(Effect::Reply {
                    job: change.job,
                    outcome,
                }),
            }
            self.pending.pop_front();
        }
        None
    }

    /// Handles an acceptance. Returns the value if a majority has accepted it, and it is thereby decided.
    pub(crate) fn on_accept_ack(
        &mut self,
        from: NodeId,
        ack: &AcceptAck,
        decided: &DecidedState,
    ) -> Option<Value> {
        let value = self.round.as_mut()?.on_accept_ack(from, ack, decided)?;
        self.backoff.on_accepted();
        Some(value)
    }

    /// Abandons the round if a voter has promised a higher ballot; the next one starts after a backoff.
    pub(crate) fn on_rejected(
        &mut self,
        now: Instant,
        rejected: &Rejected,
        decided: &DecidedState,
    ) {
        if ValueNumber::new(rejected.number) != decided.next_number() {
            return;
        }
        self.highest_ballot_round = self.highest_ballot_round.max(rejected.promised.round);
        let superseded = self
            .round
            .take_if(|round| round.ballot() < rejected.promised);
        if superseded.is_some() {
            self.backoff.on_rejected(now, self.is_voter_change_next());
        }
    }

    /// Delays the next round after this node has promised to vote in a round of another node. Does nothing if this node
    /// runs a round itself, or if a voter change is next.
    pub(crate) fn on_competing_round(&mut self, now: Instant) {
        if self.round.is_none() && !self.is_voter_change_next() {
            self.backoff.yield_to_competing_round(now);
        }
    }

    fn is_voter_change_next(&self) -> bool {
        self.pending
            .front()
            .is_some_and(|change| change.proposal.is_voter_change())
    }

    /// Resets the round, ballots and backoff after a value was decided, and completes the changes that it resolves.
    pub(crate) fn on_decided(
        &mut self,
        decided: &DecidedState,
        learned: LearnedFrom,
        effects: &mut Vec<Effect>,
    ) {
        self.abandon_round();
        self.highest_ballot_round = 0;
        self.backoff.reset();
        self.pending.retain(|change| {
            let outcome = change.proposal.outcome_after(decided, learned);
            let resolved = outcome.is_some();
            effects.extend(outcome.map(|outcome| Effect::Reply {
                job: change.job,
                outcome,
            }));
            !resolved
        });
    }
}
