use std::collections::BTreeMap;
use std::time::Duration;

use linenthread_messages::{PeerMessage, ReadReply, ReadRequest};
use linenthread_time::Instant;

use crate::decided_state::DecidedState;
use crate::effects::{Effect, JobId, Outcome};
use crate::register::{RESEND_AFTER, ROUND_TIMEOUT, WAITING_JOBS};

/// A read that finds something half done asks again after so long, or when it is decided.
const HALF_DONE: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct WaitingRead {
    job: JobId,
    until: Instant,
}

/// One question to all voters; it answers just the reads that were there when it began.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Question {
    number: u64,
    began: Instant,
    last_sent: Instant,
    reads: Vec<WaitingRead>,
    /// Whether who answered has accepted something that is not decided.
    pending_at: BTreeMap<u64, bool>,
}

/// What an answer to a question led to.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ReadStep {
    /// More answers are needed, or it was none that is waited for.
    Nothing,
    /// The other node knows of a newer value.
    Behind,
    /// Something is half done: it is to be completed first.
    HalfDone,
    /// Reads were answered.
    Answered,
}

/// Reads that wait, and the question that confirms the newest value for some of them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Reader {
    waiting: Vec<WaitingRead>,
    question: Option<Question>,
    /// Number of the last question; other lives begin elsewhere.
    question_count: u64,
    /// No question before this: what is half done takes a while.
    ask_from: Instant,
}

impl Reader {
    pub(crate) fn new(incarnation: u64) -> Reader {
        Reader {
            waiting: Vec::new(),
            question: None,
            question_count: incarnation >> 16 << 16,
            ask_from: Instant::START,
        }
    }

    /// Takes a read; false if too many wait.
    pub(crate) fn add(&mut self, job: JobId, until: Instant) -> bool {
        let room = self.waiting.len() < WAITING_JOBS;
        if room {
            self.waiting.push(WaitingRead { job, until });
        }
        room
    }

    pub(crate) fn is_busy(&self) -> bool {
        !self.waiting.is_empty() || self.question.is_some()
    }

    /// Ends what took too long. It comes before each message: an answer that waited while this node was frozen is
    /// no answer to a read whose time is over, and none to a question that is too old.
    pub(crate) fn expire(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        expire_reads(&mut self.waiting, now, effects);
        let Some(question) = &mut self.question else {
            return;
        };
        expire_reads(&mut question.reads, now, effects);
        if question.reads.is_empty() || now >= question.began + ROUND_TIMEOUT {
            self.ask_anew();
        }
    }

    /// Begins or repeats the question.
    pub(crate) fn tick(&mut self, now: Instant, decided: &DecidedState, effects: &mut Vec<Effect>) {
        match &mut self.question {
            Some(question) if now >= question.last_sent + RESEND_AFTER => {
                question.last_sent = now;
                question.send(decided, effects);
            }
            None if !self.waiting.is_empty() && now >= self.ask_from => {
                self.begin(now, decided, effects);
            }
            _ => {}
        }
    }

    fn begin(&mut self, now: Instant, decided: &DecidedState, effects: &mut Vec<Effect>) {
        self.question_count += 1;
        let question = Question {
            number: self.question_count,
            began: now,
            last_sent: now,
            reads: std::mem::take(&mut self.waiting),
            pending_at: BTreeMap::new(),
        };
        question.send(decided, effects);
        self.question = Some(question);
    }

    /// What was asked on an older value is asked anew.
    pub(crate) fn ask_anew(&mut self) {
        if let Some(question) = self.question.take() {
            self.waiting.extend(question.reads);
        }
    }

    /// A value was decided: there is nothing to wait for.
    pub(crate) fn on_decided(&mut self) {
        self.ask_from = Instant::START;
        self.ask_anew();
    }

    /// An answer. Reads are answered when more than half of the voters of the newest value, asked after the reads
    /// came, know of nothing newer and of nothing half done.
    pub(crate) fn on_reply(
        &mut self,
        now: Instant,
        from: u64,
        reply: &ReadReply,
        decided: &DecidedState,
        effects: &mut Vec<Effect>,
    ) -> ReadStep {
        if reply.decided > decided.number() {
            return ReadStep::Behind;
        }
        let Some(question) = self
            .question
            .as_mut()
            .filter(|question| question.number == reply.read_id)
        else {
            return ReadStep::Nothing;
        };
        let pending = reply.pending && reply.decided == decided.number();
        question.pending_at.insert(from, pending);
        if !decided.is_majority(question.pending_at.keys().copied()) {
            return ReadStep::Nothing;
        }
        if question.pending_at.values().any(|pending| *pending) {
            self.ask_anew();
            self.ask_from = now + HALF_DONE;
            return ReadStep::HalfDone;
        }
        self.answer(decided, effects);
        ReadStep::Answered
    }

    fn answer(&mut self, decided: &DecidedState, effects: &mut Vec<Effect>) {
        let (Some(question), Some(newest)) = (self.question.take(), decided.value()) else {
            return;
        };
        let reply = |read: WaitingRead| Effect::Reply {
            job: read.job,
            outcome: Outcome::Newest(newest.clone()),
        };
        effects.extend(question.reads.into_iter().map(reply));
    }
}

impl Question {
    /// To the voters that have not answered yet.
    fn send(&self, decided: &DecidedState, effects: &mut Vec<Effect>) {
        let message = PeerMessage::ReadRequest(ReadRequest {
            read_id: self.number,
        });
        let left = decided
            .voters()
            .iter()
            .filter(|voter| !self.pending_at.contains_key(&voter.id));
        effects.extend(left.map(|voter| Effect::Send {
            to: voter.id,
            message: message.clone(),
        }));
    }
}

fn expire_reads(reads: &mut Vec<WaitingRead>, now: Instant, effects: &mut Vec<Effect>) {
    for read in reads.extract_if(.., |read| read.until <= now) {
        effects.push(Effect::Reply {
            job: read.job,
            outcome: Outcome::Unknown,
        });
    }
}
