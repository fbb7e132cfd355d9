use std::collections::{BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::time::Duration;

use linenthread_messages::{
    Accept, AcceptAck, Accepted, Ballot, PeerMessage, Prepare, Promise, Rejected, Value,
};
use linenthread_time::{Instant, whole_millis};
use oorandom::Rand64;

use crate::decided_state::{DecidedState, Verdict};
use crate::effects::{Effect, JobId, Outcome};
use crate::order::{Change, Wanted};
use crate::register::{RESEND_AFTER, ROUND_TIMEOUT, WAITING_JOBS, send_to_voters};

/// Two proposers that clash wait up to so long, more with each clash.
const BACKOFF: Duration = Duration::from_millis(25);
const MAX_DOUBLINGS: u32 = 6;
/// No rest is shorter: a round never begins again at the very instant of its rejection.
const SHORTEST_REST: Duration = Duration::from_millis(1);
/// No rest is longer.
const LONGEST_REST: Duration = BACKOFF.saturating_mul(1 << MAX_DOUBLINGS);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct WaitingChange {
    job: JobId,
    wanted: Wanted,
    until: Instant,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Preparing {
        promised_by: BTreeSet<u64>,
        newest_accepted: Option<Accepted>,
    },
    Accepting {
        value: Value,
        accepted_by: BTreeSet<u64>,
    },
}

/// One attempt to decide the next number.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Round {
    number: u64,
    ballot: Ballot,
    began: Instant,
    last_sent: Instant,
    phase: Phase,
}

impl Round {
    /// What it says to the voters now.
    fn request(&self) -> PeerMessage {
        match &self.phase {
            Phase::Preparing { .. } => PeerMessage::Prepare(Prepare {
                number: self.number,
                ballot: self.ballot,
            }),
            Phase::Accepting { value, .. } => PeerMessage::Accept(Accept {
                ballot: self.ballot,
                value: value.clone(),
            }),
        }
    }

    fn is_for(&self, number: u64, ballot: Ballot) -> bool {
        (self.number, self.ballot) == (number, ballot)
    }
}

/// Draws how long to back off. States that differ in it alone are alike to whoever hashes them.
#[derive(Clone, Debug)]
struct Backoff(Rand64);

impl Backoff {
    /// A random duration below `limit`, in whole milliseconds.
    fn up_to(&mut self, limit: Duration) -> Duration {
        Duration::from_millis(self.0.rand_range(0..whole_millis(limit)))
    }
}

impl PartialEq for Backoff {
    fn eq(&self, _: &Backoff) -> bool {
        true
    }
}

impl Eq for Backoff {}

impl Hash for Backoff {
    fn hash<H: Hasher>(&self, _: &mut H) {}
}

/// How this node came to know of a decided value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LearnedFrom {
    /// More than half of the voters acknowledged it to this node, just now.
    OwnRound,
    /// It was told, at some time and perhaps one way only.
    AnotherNode,
}

/// Changes that wait, and the round that decides one of them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Proposer {
    /// Tells this incarnation's ballots from those of all others, earlier ones of the same disk too.
    incarnation: u64,
    waiting: VecDeque<WaitingChange>,
    round: Option<Round>,
    /// No round before this.
    rest_until: Instant,
    clashes: u32,
    /// How long the voters took for the last half of a round: who rests for less clashes again.
    pace: Duration,
    highest_round: u64,
    /// Something was seen to be half done.
    completion_wanted: bool,
    backoff: Backoff,
}

impl Proposer {
    pub(crate) fn new(incarnation: u64) -> Proposer {
        Proposer {
            incarnation,
            waiting: VecDeque::new(),
            round: None,
            rest_until: Instant::START,
            clashes: 0,
            pace: Duration::ZERO,
            highest_round: 0,
            completion_wanted: false,
            backoff: Backoff(Rand64::new(u128::from(incarnation))),
        }
    }

    /// Takes a change; false if too many wait. Other voters come before all orders: each value that is decided
    /// first makes them void.
    pub(crate) fn add(&mut self, job: JobId, change: Change, until: Instant) -> bool {
        let goes_first = matches!(change, Change::Voters { .. });
        if self.waiting.len() >= WAITING_JOBS && !goes_first {
            return false;
        }
        let waiting = WaitingChange {
            job,
            wanted: change.into(),
            until,
        };
        if goes_first {
            self.waiting.push_front(waiting);
            // The rest of an order is none of its own.
            self.rest_until = Instant::START;
        } else {
            self.waiting.push_back(waiting);
        }
        true
    }

    /// Something half done is to be decided.
    pub(crate) fn complete(&mut self) {
        self.completion_wanted = true;
    }

    pub(crate) fn is_busy(&self) -> bool {
        !self.waiting.is_empty() || self.completion_wanted
    }

    /// Ends changes whose time is over.
    pub(crate) fn expire(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.waiting.retain(|change| {
            let in_time = change.until > now;
            if !in_time {
                effects.push(Effect::Reply {
                    job: change.job,
                    outcome: Outcome::Unknown,
                });
            }
            in_time
        });
    }

    /// Begins or repeats a round, or gives it up.
    pub(crate) fn tick(&mut self, now: Instant, decided: &DecidedState, effects: &mut Vec<Effect>) {
        if !self.is_busy() {
            self.round = None;
            return;
        }
        self.round
            .take_if(|round| now >= round.began + ROUND_TIMEOUT);
        match &mut self.round {
            Some(round) if now >= round.last_sent + RESEND_AFTER => {
                round.last_sent = now;
                send_to_voters(decided, &round.request(), effects);
            }
            None if now >= self.rest_until => self.begin(now, decided, effects),
            _ => {}
        }
    }

    fn begin(&mut self, now: Instant, decided: &DecidedState, effects: &mut Vec<Effect>) {
        self.highest_round += 1;
        let round = Round {
            number: decided.next(),
            ballot: Ballot {
                round: self.highest_round,
                proposer: self.incarnation,
            },
            began: now,
            last_sent: now,
            phase: Phase::Preparing {
                promised_by: BTreeSet::new(),
                newest_accepted: None,
            },
        };
        send_to_voters(decided, &round.request(), effects);
        self.round = Some(round);
    }

    /// What the round on hand says, for a node that has caught up.
    pub(crate) fn request(&self) -> Option<PeerMessage> {
        self.round.as_ref().map(Round::request)
    }

    /// A promise. With those of more than half of the voters the newest accepted value is proposed; if there is
    /// none, nothing can be half done, and what waits is judged by the newest decided value.
    pub(crate) fn on_promise(
        &mut self,
        now: Instant,
        from: u64,
        promise: Promise,
        decided: &DecidedState,
        effects: &mut Vec<Effect>,
    ) {
        let Some(round) = self
            .round
            .as_mut()
            .filter(|round| round.is_for(promise.number, promise.ballot))
        else {
            return;
        };
        let Phase::Preparing {
            promised_by,
            newest_accepted,
        } = &mut round.phase
        else {
            return;
        };
        promised_by.insert(from);
        let ballot =
            |accepted: &Option<Accepted>| accepted.as_ref().map(|accepted| accepted.ballot);
        if ballot(&promise.accepted) > ballot(newest_accepted) {
            *newest_accepted = promise.accepted;
        }
        if !decided.is_majority(promised_by.iter().copied()) {
            return;
        }
        self.pace = now.since(round.began);
        let half_done = newest_accepted.take().map(|accepted| accepted.value);
        match half_done.or_else(|| self.next_value(decided, effects)) {
            Some(value) => self.propose(now, value, decided, effects),
            // Nothing is half done and nothing is wanted any more.
            None => (self.round, self.completion_wanted) = (None, false),
        }
    }

    fn propose(
        &mut self,
        now: Instant,
        value: Value,
        decided: &DecidedState,
        effects: &mut Vec<Effect>,
    ) {
        let Some(round) = &mut self.round else { return };
        round.phase = Phase::Accepting {
            value,
            accepted_by: BTreeSet::new(),
        };
        // Each half of a round has its time, or disks that take a quarter of it would end no round.
        (round.began, round.last_sent) = (now, now);
        send_to_voters(decided, &round.request(), effects);
    }

    /// The value that the first change makes of the newest one; changes that come to nothing are answered.
    fn next_value(&mut self, decided: &DecidedState, effects: &mut Vec<Effect>) -> Option<Value> {
        while let Some(change) = self.waiting.front() {
            match judge(&change.wanted, decided) {
                Ok(value) => return Some(value),
                Err(outcome) => effects.push(Effect::Reply {
                    job: change.job,
                    outcome,
                }),
            }
            self.waiting.pop_front();
        }
        None
    }

    /// An acknowledgement; the value, if more than half of the voters have accepted it now.
    pub(crate) fn on_accept_ack(
        &mut self,
        from: u64,
        acknowledgement: &AcceptAck,
        decided: &DecidedState,
    ) -> Option<Value> {
        let (number, ballot) = (acknowledgement.number, acknowledgement.ballot);
        let round = self
            .round
            .as_mut()
            .filter(|round| round.is_for(number, ballot))?;
        let Phase::Accepting { value, accepted_by } = &mut round.phase else {
            return None;
        };
        accepted_by.insert(from);
        if !decided.is_majority(accepted_by.iter().copied()) {
            return None;
        }
        self.clashes = 0;
        Some(value.clone())
    }

    /// A greater ballot is about: the round is given up, and the next one comes after a pause.
    pub(crate) fn on_rejected(
        &mut self,
        now: Instant,
        rejected: &Rejected,
        decided: &DecidedState,
    ) {
        if rejected.number != decided.next() {
            return;
        }
        self.highest_round = self.highest_round.max(rejected.promised.round);
        if self
            .round
            .as_ref()
            .is_some_and(|round| round.ballot < rejected.promised)
        {
            self.round = None;
            self.clashes = (self.clashes + 1).min(MAX_DOUBLINGS);
            self.rest_until = now + self.rest();
        }
    }

    /// Another node begins or goes on with a round, in which this one takes part as a voter: it is left the time of
    /// both halves before a round of this node is begun.
    pub(crate) fn on_round_of_another(&mut self, now: Instant) {
        if self.round.is_none() && !self.changes_voters() {
            let both_halves = 2 * self.pace.clamp(BACKOFF, LONGEST_REST);
            self.rest_until = self.rest_until.max(now + both_halves);
        }
    }

    /// What waits first is a change of the voters.
    fn changes_voters(&self) -> bool {
        self.waiting
            .front()
            .is_some_and(|change| matches!(change.wanted, Wanted::Voters { .. }))
    }

    /// How long to rest after a clash. Who overtook is left the time of one round at least; a change of the voters
    /// leaves none, since a second loss may come before the successor of the first one counts.
    fn rest(&mut self) -> Duration {
        if self.changes_voters() {
            return SHORTEST_REST + self.backoff.up_to(BACKOFF);
        }
        let most = self
            .pace
            .max(BACKOFF)
            .saturating_mul(1 << self.clashes)
            .min(LONGEST_REST);
        SHORTEST_REST + self.pace.min(LONGEST_REST) + self.backoff.up_to(most)
    }

    /// A value was decided: rounds begin anew, and changes that it settles are answered. An order that was taken by
    /// another node's round waits for a round of its own: what is acknowledged here rests on contact with more
    /// than half of the voters, *a-cut-off-node-confirms-nothing*.
    pub(crate) fn on_decided(
        &mut self,
        decided: &DecidedState,
        learned: LearnedFrom,
        effects: &mut Vec<Effect>,
    ) {
        (self.round, self.completion_wanted) = (None, false);
        // Those who clashed have one less to settle: who lost most often would else wait longest, each time anew.
        (self.highest_round, self.rest_until, self.clashes) = (0, Instant::START, 0);
        self.waiting.retain(|change| {
            let outcome = settled_by(&change.wanted, decided, learned);
            let settled = outcome.is_some();
            effects.extend(outcome.map(|outcome| Effect::Reply {
                job: change.job,
                outcome,
            }));
            !settled
        });
    }
}

/// The value that a change makes of the newest one, or how it ends.
fn judge(wanted: &Wanted, decided: &DecidedState) -> Result<Value, Outcome> {
    let revision = decided.value().map_or(0, |value| value.revision);
    match wanted {
        Wanted::Order { identity, document } => match decided.judge(identity) {
            Verdict::Proposable => decided
                .with_order(identity, document)
                .ok_or(Outcome::Unknown),
            Verdict::Committed => Err(Outcome::Committed(identity.revision)),
            Verdict::Conflict => Err(Outcome::Conflict(revision)),
            Verdict::Unknown => Err(Outcome::Unknown),
        },
        Wanted::Voters { on, voters, epoch } if *on == decided.number() && !voters.is_empty() => {
            decided.with_voters(voters, *epoch).ok_or(Outcome::Unknown)
        }
        Wanted::Voters { .. } => Err(Outcome::Conflict(revision)),
        Wanted::Completion => Err(Outcome::Committed(revision)),
    }
}

/// How a change ends by what was just decided, if that needs no round.
fn settled_by(wanted: &Wanted, decided: &DecidedState, learned: LearnedFrom) -> Option<Outcome> {
    match wanted {
        Wanted::Order { identity, .. } if learned == LearnedFrom::OwnRound => decided
            .order_log()
            .contains(identity)
            .then_some(Outcome::Committed(identity.revision)),
        Wanted::Voters { on, .. } if *on < decided.number() => Some(Outcome::Committed(
            decided.value().map_or(0, |value| value.revision),
        )),
        _ => None,
    }
}
