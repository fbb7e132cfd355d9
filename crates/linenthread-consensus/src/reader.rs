//! Linearizable reads: a majority of the voters confirms that no newer value is decided.

use std::collections::BTreeMap;

use linenthread_messages::{PeerMessage, ReadReply, ReadRequest};
use linenthread_time::Instant;

use crate::decided_state::DecidedState;
use crate::effects::Effect;
use crate::incarnation::Incarnation;
use crate::jobs::{JobId, Outcome, UnknownReason};
use crate::node_id::NodeId;
use crate::timing::{MAX_PENDING_JOBS, READ_RETRY_DELAY, RESEND_INTERVAL, ROUND_TIMEOUT};
use crate::value_number::ValueNumber;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingRead {
    job: JobId,
    /// The time at which the read is completed as [`Outcome::Unknown`].
    deadline: Instant,
}

/// Identifier of a read round. Each incarnation of a node counts from a different start, so that replies to an
/// earlier incarnation are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ReadId(u64);

impl ReadId {
    /// Returns the number that precedes the first round of an incarnation.
    fn before_first(incarnation: Incarnation) -> ReadId {
        ReadId(incarnation.get() >> 16 << 16)
    }

    fn next(self) -> ReadId {
        ReadId(self.0 + 1)
    }
}

/// One request to all voters, for the reads that were pending when it started.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ReadRound {
    id: ReadId,
    started_at: Instant,
    last_sent: Instant,
    reads: Vec<PendingRead>,
    /// The nodes that replied, and whether each has accepted a value that it does not know to be decided.
    replies: BTreeMap<NodeId, bool>,
}

impl ReadRound {
    /// Sends the request to the voters that have not replied yet.
    fn send(&self, decided: &DecidedState, effects: &mut Vec<Effect>) {
        let message = PeerMessage::ReadRequest(ReadRequest { read_id: self.id.0 });
        let missing = decided
            .voter_ids()
            .filter(|id| !self.replies.contains_key(id));
        effects.extend(missing.map(|to| Effect::Send {
            to,
            message: message.clone(),
        }));
    }
}

/// The result of handling a reply.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ReadProgress {
    /// More replies are needed, or this one does not belong to the current round.
    Incomplete,
    /// The voter knows a newer value than this node.
    Lagging,
    /// A voter has accepted a value that is not known to be decided and must be decided first.
    Undecided,
    /// The round's reads are completed.
    Completed,
}

/// Pending reads, and the round that confirms the newest value for some of them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Reader {
    pending: Vec<PendingRead>,
    round: Option<ReadRound>,
    last_read_id: ReadId,
    /// No round starts before this instant, to leave time for an undecided value to be decided.
    not_before: Instant,
}

impl Reader {
    pub(crate) fn new(incarnation: Incarnation) -> Reader {
        Reader {
            pending: Vec::new(),
            round: None,
            last_read_id: ReadId::before_first(incarnation),
            not_before: Instant::START,
        }
    }

    /// Submits a read; returns false if too many are pending.
    pub(crate) fn submit(&mut self, job: JobId, deadline: Instant) -> bool {
        let has_room = self.pending.len() < MAX_PENDING_JOBS;
        if has_room {
            self.pending.push(PendingRead { job, deadline });
        }
        has_room
    }

    pub(crate) fn is_busy(&self) -> bool {
        !self.pending.is_empty() || self.round.is_some()
    }

    /// Completes reads whose deadline has passed, and abandons a round that has timed out. Must be called before each
    /// message is handled, so that a reply that was queued while this process was suspended does not complete a read.
    pub(crate) fn expire(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        expire_reads(&mut self.pending, now, effects);
        let Some(round) = &mut self.round else {
            return;
        };
        expire_reads(&mut round.reads, now, effects);
        if round.reads.is_empty() || now >= round.started_at + ROUND_TIMEOUT {
            self.abandon_round();
        }
    }

    /// Starts a round, or resends its request.
    pub(crate) fn tick(&mut self, now: Instant, decided: &DecidedState, effects: &mut Vec<Effect>) {
        match &mut self.round {
            Some(round) if now >= round.last_sent + RESEND_INTERVAL => {
                round.last_sent = now;
                round.send(decided, effects);
            }
            None if !self.pending.is_empty() && now >= self.not_before => {
                self.start_round(now, decided, effects);
            }
            _ => {}
        }
    }

    fn start_round(&mut self, now: Instant, decided: &DecidedState, effects: &mut Vec<Effect>) {
        self.last_read_id = self.last_read_id.next();
        let round = ReadRound {
            id: self.last_read_id,
            started_at: now,
            last_sent: now,
            reads: std::mem::take(&mut self.pending),
            replies: BTreeMap::new(),
        };
        round.send(decided, effects);
        self.round = Some(round);
    }

    /// Returns the reads of the current round to the pending ones.
    fn abandon_round(&mut self) {
        if let Some(round) = self.round.take() {
            self.pending.extend(round.reads);
        }
    }

    /// Abandons the current round after a value was decided, since its replies refer to an older value. The next
    /// round may start immediately.
    pub(crate) fn on_decided(&mut self) {
        self.not_before = Instant::START;
        self.abandon_round();
    }

    /// Handles a reply. The round's reads, all submitted before its request was sent, are completed when a majority
    /// of the voters of the newest value neither know a newer value nor have accepted one (*reads-are-newest*).
    pub(crate) fn on_reply(
        &mut self,
        now: Instant,
        from: NodeId,
        reply: &ReadReply,
        decided: &DecidedState,
        effects: &mut Vec<Effect>,
    ) -> ReadProgress {
        let reported = ValueNumber::new(reply.decided_number);
        if reported > decided.number() {
            return ReadProgress::Lagging;
        }
        let Some(round) = self
            .round
            .as_mut()
            .filter(|round| round.id == ReadId(reply.read_id))
        else {
            return ReadProgress::Incomplete;
        };
        let has_undecided = reply.has_undecided_value && reported == decided.number();
        round.replies.insert(from, has_undecided);
        if !decided.is_majority(round.replies.keys().copied()) {
            return ReadProgress::Incomplete;
        }
        if round.replies.values().any(|has_undecided| *has_undecided) {
            self.abandon_round();
            self.not_before = now + READ_RETRY_DELAY;
            return ReadProgress::Undecided;
        }
        self.complete_round(decided, effects);
        ReadProgress::Completed
    }

    fn complete_round(&mut self, decided: &DecidedState, effects: &mut Vec<Effect>) {
        let (Some(round), Some(newest)) = (self.round.take(), decided.value()) else {
            return;
        };
        effects.extend(round.reads.into_iter().map(|read| Effect::Reply {
            job: read.job,
            outcome: Outcome::NewestValue(Box::new(newest.clone())),
        }));
    }
}

fn expire_reads(reads: &mut Vec<PendingRead>, now: Instant, effects: &mut Vec<Effect>) {
    for read in reads.extract_if(.., |read| read.deadline <= now) {
        effects.push(Effect::Reply {
            job: read.job,
            outcome: Outcome::Unknown(UnknownReason::TimedOut),
        });
    }
}
