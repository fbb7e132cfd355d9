//! One attempt to decide the next number: the proposer's side of both phases of Paxos.

use std::collections::BTreeSet;
use std::time::Duration;

use linenthread_messages::{
    Accept, AcceptAck, Accepted, Ballot, PeerMessage, Prepare, Promise, Value,
};
use linenthread_time::Instant;

use crate::decided_state::DecidedState;
use crate::node_id::NodeId;
use crate::round_timeout::RoundTimeout;
use crate::timing::RESEND_INTERVAL;
use crate::value_number::ValueNumber;

/// The state of a round under one ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Round {
    number: ValueNumber,
    ballot: Ballot,
    /// Start of the current phase. The timeout applies to each phase separately; otherwise rounds would fail with
    /// disks that take a quarter of it for a sync.
    phase_started_at: Instant,
    last_sent: Instant,
    phase: Phase,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Prepare {
        promised_by: BTreeSet<NodeId>,
        /// The accepted value with the highest ballot among those that the promises report.
        highest_accepted: Option<Accepted>,
    },
    Accept {
        value: Value,
        accepted_by: BTreeSet<NodeId>,
    },
}

/// The result of the prepare phase, after a majority of the voters has promised.
pub(crate) struct Prepared {
    /// The value that must be proposed, since one of the voters has accepted it and it may be decided already. If
    /// `None`, no value is decided for this number, and none can be under a lower ballot.
    pub(crate) accepted: Option<Value>,
    /// Start of the prepare phase.
    pub(crate) started_at: Instant,
}

impl Round {
    /// Creates a round in its prepare phase.
    pub(crate) fn new(number: ValueNumber, ballot: Ballot, now: Instant) -> Round {
        Round {
            number,
            ballot,
            phase_started_at: now,
            last_sent: now,
            phase: Phase::Prepare {
                promised_by: BTreeSet::new(),
                highest_accepted: None,
            },
        }
    }

    pub(crate) fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Returns the current phase's request to the voters.
    pub(crate) fn request(&self) -> PeerMessage {
        match &self.phase {
            Phase::Prepare { .. } => PeerMessage::Prepare(Prepare {
                number: self.number.get(),
                ballot: self.ballot,
            }),
            Phase::Accept { value, .. } => PeerMessage::Accept(Accept {
                ballot: self.ballot,
                value: value.clone(),
            }),
        }
    }

    /// Returns the time since the start of the current phase.
    pub(crate) fn phase_latency(&self, now: Instant) -> Duration {
        now.since(self.phase_started_at)
    }

    pub(crate) fn is_timed_out(&self, now: Instant, timeout: RoundTimeout) -> bool {
        self.phase_latency(now) >= timeout.get()
    }

    pub(crate) fn is_resend_due(&self, now: Instant) -> bool {
        now >= self.last_sent + RESEND_INTERVAL
    }

    pub(crate) fn on_resent(&mut self, now: Instant) {
        self.last_sent = now;
    }

    /// Counts a promise. Returns the result of the prepare phase once a majority has promised.
    pub(crate) fn on_promise(
        &mut self,
        from: NodeId,
        promise: Promise,
        decided: &DecidedState,
    ) -> Option<Prepared> {
        if !self.is_for(promise.number, promise.ballot) {
            return None;
        }
        let Phase::Prepare {
            promised_by,
            highest_accepted,
        } = &mut self.phase
        else {
            return None;
        };
        promised_by.insert(from);
        if ballot_of(&promise.accepted) > ballot_of(highest_accepted) {
            *highest_accepted = promise.accepted;
        }
        let has_majority = decided.is_majority(promised_by.iter().copied());
        has_majority.then(|| Prepared {
            accepted: highest_accepted.take().map(|accepted| accepted.value),
            started_at: self.phase_started_at,
        })
    }

    /// Starts the accept phase with the value to propose.
    pub(crate) fn propose(&mut self, now: Instant, value: Value) {
        self.phase = Phase::Accept {
            value,
            accepted_by: BTreeSet::new(),
        };
        (self.phase_started_at, self.last_sent) = (now, now);
    }

    /// Counts an acceptance. Returns the value once a majority has accepted it, and it is thereby decided.
    pub(crate) fn on_accept_ack(
        &mut self,
        from: NodeId,
        ack: &AcceptAck,
        decided: &DecidedState,
    ) -> Option<Value> {
        if !self.is_for(ack.number, ack.ballot) {
            return None;
        }
        let Phase::Accept { value, accepted_by } = &mut self.phase else {
            return None;
        };
        accepted_by.insert(from);
        decided
            .is_majority(accepted_by.iter().copied())
            .then(|| value.clone())
    }

    /// Reports whether a reply with this number and ballot belongs to this round.
    fn is_for(&self, number: u64, ballot: Ballot) -> bool {
        (self.number, self.ballot) == (ValueNumber::new(number), ballot)
    }
}

fn ballot_of(accepted: &Option<Accepted>) -> Option<Ballot> {
    accepted.as_ref().map(|accepted| accepted.ballot)
}
