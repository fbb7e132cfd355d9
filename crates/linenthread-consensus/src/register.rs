use std::collections::{BTreeMap, BTreeSet, VecDeque};

use linenthread_messages::{
    Accept, AcceptAck, Accepted, Ballot, CatchUpRequest, PeerMessage, Prepare, Promise, ReadReply,
    ReadRequest, Record, Rejected, Replica, Taken, Value, Voter,
};
use oorandom::Rand64;

/// A word that got no answer is said again after so long.
const AGAIN: u64 = 150;
/// A round that comes to nothing is begun anew after so long.
const ROUND: u64 = 450;
/// A read that finds something half done asks again after so long, or when it is decided.
const HALF_DONE: u64 = 20;
/// Two that clash wait up to so long, more with each clash.
const BACK_OFF: u64 = 25;
/// Jobs that may wait.
const WAITING: usize = 64;
/// How many of what was taken a value remembers.
const REMEMBERED: usize = 64;

/// Names a job to whoever asked for it.
pub type Job = u64;

/// A sum of a document, to tell whether it is the same one (FNV-1a).
pub fn digest(document: &[u8]) -> u64 {
    document.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

/// The name of the disk at an address on the very first start of all.
pub fn genesis_id(address: &str) -> u64 {
    digest(format!("first {address}").as_bytes()) | 1
}

#[derive(Clone, Debug)]
pub enum Change {
    /// A configuration, on top of the revision it builds on.
    Document { base: u64, revision: u64, document: Vec<u8> },
    /// Other disks to count, on top of the value of this number.
    Voters { on: u64, voters: Vec<Voter>, epoch: u64 },
    /// Only what is half done.
    Completion,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It is decided, or was before.
    Taken(u64),
    /// Another revision is in place.
    Conflict(u64),
    /// The newest value, as of some moment since it was asked for.
    Newest(Value),
    /// No word of more than half of the counted disks in time, or too much waits: it may or may not come to
    /// be.
    Unclear,
}

#[derive(Debug)]
pub enum Effect {
    /// To the machine of this disk.
    Send {
        to: u64,
        word: PeerMessage,
    },
    /// To be synced before the words behind it go out.
    Keep {
        record: Record,
        then: Vec<(u64, PeerMessage)>,
    },
    /// The newest value now.
    Decided(Value),
    Reply {
        job: Job,
        outcome: Outcome,
    },
}

/// What a disk holds, record by record.
#[derive(Clone, Debug, Default)]
pub struct DurableState {
    pub id: Option<u64>,
    decided: Option<Value>,
    number: u64,
    promised: Option<Ballot>,
    accepted: Option<Accepted>,
    pub epoch: u64,
    /// Replicas as they were last written.
    pub replicas: Vec<Replica>,
}

impl DurableState {
    /// Takes the next record, oldest first.
    pub fn add(&mut self, record: Record) {
        self.id = record.id.or(self.id);
        self.epoch = self.epoch.max(record.epoch);
        if !record.replicas.is_empty() {
            self.replicas = record.replicas;
        }
        if record.decided.as_ref().is_some_and(|v| self.decided.as_ref().is_none_or(|d| d.number < v.number))
        {
            self.decided = record.decided;
        }
        if let Some(promised) = record.promised {
            if record.number > self.number {
                (self.number, self.promised, self.accepted) = (record.number, None, None);
            }
            if record.number == self.number {
                self.promised = self.promised.max(Some(promised));
                self.accepted = record.accepted.or(self.accepted.take());
            }
        }
    }

    /// The records that hold all of it.
    pub fn records(&self) -> Vec<Record> {
        vec![
            Record { id: self.id, decided: self.decided.clone(), epoch: self.epoch, ..Record::default() },
            Record {
                number: self.number,
                promised: self.promised,
                accepted: self.accepted.clone(),
                ..Record::default()
            },
        ]
    }
}

struct Waiting {
    job: Job,
    change: Change,
    until: u64,
}

struct Round {
    ballot: Ballot,
    began: u64,
    said: u64,
    promises: BTreeSet<u64>,
    best: Option<Accepted>,
    /// In the second half: what was proposed, and who took it.
    value: Option<Value>,
    took: BTreeSet<u64>,
}

struct Question {
    number: u64,
    asked: u64,
    jobs: Vec<(Job, u64)>,
    told: BTreeMap<u64, (u64, bool)>,
}

/// One machine's part in the agreement: acceptor, if its disk counts, and proposer.
pub struct Register {
    id: u64,
    /// Tells this life's ballots from those of all others, earlier ones of the same disk too.
    life: u64,
    decided: Option<Value>,
    promised: Option<Ballot>,
    accepted: Option<Accepted>,
    jobs: VecDeque<Waiting>,
    round: Option<Round>,
    /// No round before this.
    rest: u64,
    clashes: u32,
    highest: u64,
    /// Something was seen to be half done.
    pending: bool,
    question: Option<Question>,
    readers: Vec<(Job, u64)>,
    questions: u64,
    /// No question before this: what is half done takes a while.
    ask_from: u64,
    chance: Rand64,
}

impl Register {
    /// From what the disk holds; `genesis` is value 0 where all start for the first time.
    pub fn new(id: u64, kept: DurableState, genesis: Option<Value>, seed: u64) -> Register {
        let decided = kept.decided.or(genesis);
        let next = decided.as_ref().map_or(0, |d| d.number + 1);
        let current = kept.number == next && decided.is_some();
        Register {
            id,
            life: seed,
            promised: kept.promised.filter(|_| current),
            accepted: kept.accepted.filter(|_| current),
            decided,
            jobs: VecDeque::new(),
            round: None,
            rest: 0,
            clashes: 0,
            highest: 0,
            pending: false,
            question: None,
            readers: Vec::new(),
            questions: seed >> 16 << 16,
            ask_from: 0,
            chance: Rand64::new(u128::from(seed)),
        }
    }

    pub fn id(&self) -> u64 {
        self.id
    }

    pub fn decided(&self) -> Option<&Value> {
        self.decided.as_ref()
    }

    pub fn voters(&self) -> &[Voter] {
        self.decided.as_ref().map_or(&[], |d| &d.voters)
    }

    /// Whether these are more than half of the counted disks.
    pub fn is_most(&self, ids: impl IntoIterator<Item = u64>) -> bool {
        let known = ids.into_iter().filter(|id| self.voters().iter().any(|v| v.id == *id));
        known.collect::<BTreeSet<u64>>().len() * 2 > self.voters().len() && !self.voters().is_empty()
    }

    /// Its disk took part in a value that, as far as it knows, is not decided.
    pub fn in_doubt(&self) -> bool {
        self.accepted.is_some()
    }

    /// Sees to it that what is in doubt is decided.
    pub fn complete(&mut self) {
        self.pending |= self.accepted.is_some();
    }

    /// Something waits for words that may be lost.
    pub fn is_busy(&self) -> bool {
        !self.jobs.is_empty() || !self.readers.is_empty() || self.question.is_some() || self.pending
    }

    fn next(&self) -> u64 {
        self.decided.as_ref().map_or(0, |d| d.number + 1)
    }

    fn to_all(&self, word: &PeerMessage, out: &mut Vec<Effect>) {
        out.extend(self.voters().iter().map(|v| Effect::Send { to: v.id, word: word.clone() }));
    }

    /// Wants a change by then.
    pub fn propose(&mut self, now: u64, job: Job, change: Change, until: u64, out: &mut Vec<Effect>) {
        if self.jobs.len() >= WAITING || self.decided.is_none() {
            out.push(Effect::Reply { job, outcome: Outcome::Unclear });
            return;
        }
        self.jobs.push_back(Waiting { job, change, until });
        self.tick(now, out);
    }

    /// Wants the newest value by then.
    pub fn read(&mut self, now: u64, job: Job, until: u64, out: &mut Vec<Effect>) {
        if self.readers.len() >= WAITING || self.decided.is_none() {
            out.push(Effect::Reply { job, outcome: Outcome::Unclear });
            return;
        }
        self.readers.push((job, until));
        self.tick(now, out);
    }

    /// Ends what took too long, says again what got no answer, begins what waits.
    pub fn tick(&mut self, now: u64, out: &mut Vec<Effect>) {
        let mut unclear = |job| out.push(Effect::Reply { job, outcome: Outcome::Unclear });
        self.jobs.retain(|w| w.until > now || (unclear(w.job), false).1);
        self.readers.retain(|w| w.1 > now || (unclear(w.0), false).1);
        if let Some(question) = &mut self.question {
            question.jobs.retain(|w| w.1 > now || (unclear(w.0), false).1);
        }
        if self.question.as_ref().is_some_and(|q| q.jobs.is_empty() || now >= q.asked + AGAIN) {
            let old = self.question.take().expect("was there");
            self.readers.extend(old.jobs);
        }
        if self.question.is_none() && !self.readers.is_empty() && now >= self.ask_from {
            self.questions += 1;
            let question = Question {
                number: self.questions,
                asked: now,
                jobs: std::mem::take(&mut self.readers),
                told: BTreeMap::new(),
            };
            self.to_all(&PeerMessage::ReadRequest(ReadRequest { question: question.number }), out);
            self.question = Some(question);
        }
        if self.round.as_ref().is_some_and(|r| now >= r.began + ROUND) {
            self.round = None;
        }
        if self.jobs.is_empty() && !self.pending {
            self.round = None;
        } else if let Some(said) = self.round.as_ref().map(|r| r.said) {
            if now >= said + AGAIN {
                self.round.as_mut().expect("is on").said = now;
                let word = self.round_word().expect("is on");
                self.to_all(&word, out);
            }
        } else if now >= self.rest {
            self.begin(now, out);
        }
    }

    /// What the round on hand says to the counted disks.
    fn round_word(&self) -> Option<PeerMessage> {
        let round = self.round.as_ref()?;
        Some(match round.value.clone() {
            Some(value) => PeerMessage::Accept(Accept { ballot: round.ballot, value }),
            None => PeerMessage::Prepare(Prepare { number: self.next(), ballot: round.ballot }),
        })
    }

    fn begin(&mut self, now: u64, out: &mut Vec<Effect>) {
        self.highest += 1;
        let ballot = Ballot { round: self.highest, proposer: self.life };
        self.round = Some(Round {
            ballot,
            began: now,
            said: now,
            promises: BTreeSet::new(),
            best: None,
            value: None,
            took: BTreeSet::new(),
        });
        self.to_all(&PeerMessage::Prepare(Prepare { number: self.next(), ballot }), out);
    }

    /// A word from the machine of a disk; what is not for the register is passed over.
    pub fn on_message(&mut self, now: u64, from: u64, word: PeerMessage, out: &mut Vec<Effect>) {
        match word {
            PeerMessage::Prepare(w) => self.on_prepare(from, &w, out),
            PeerMessage::Accept(w) => self.on_accept(from, w, out),
            PeerMessage::Promise(w) => self.on_promise(now, from, w, out),
            PeerMessage::AcceptAck(w) => self.on_accept_ack(now, from, &w, out),
            PeerMessage::Rejected(w) => self.on_rejected(now, &w),
            PeerMessage::CatchUpRequest(w) => self.on_catch_up_request(from, &w, out),
            PeerMessage::Decided(value) => self.adopt(now, value, out),
            PeerMessage::ReadRequest(w) => {
                if let Some(decided) = &self.decided {
                    let told = ReadReply {
                        question: w.question,
                        decided: decided.number,
                        pending: self.accepted.is_some(),
                    };
                    out.push(Effect::Send { to: from, word: PeerMessage::ReadReply(told) });
                }
            }
            PeerMessage::ReadReply(w) => self.on_read_reply(now, from, &w, out),
            _ => {}
        }
    }

    // --- acceptor ---

    /// Whether this disk may say anything on a value; otherwise the other side is told what it lacks, or we
    /// do.
    fn takes_part(&self, from: u64, number: u64, out: &mut Vec<Effect>) -> bool {
        let Some(decided) = &self.decided else {
            out.push(Effect::Send { to: from, word: PeerMessage::CatchUpRequest(CatchUpRequest::default()) });
            return false;
        };
        if number <= decided.number {
            out.push(Effect::Send { to: from, word: PeerMessage::Decided(decided.clone()) });
            return false;
        }
        if number > decided.number + 1 {
            let lacking = CatchUpRequest { number: decided.number };
            out.push(Effect::Send { to: from, word: PeerMessage::CatchUpRequest(lacking) });
            return false;
        }
        decided.voters.iter().any(|v| v.id == self.id)
    }

    fn on_prepare(&mut self, from: u64, w: &Prepare, out: &mut Vec<Effect>) {
        if !self.takes_part(from, w.number, out) {
            return;
        }
        if let Some(promised) = self.promised.filter(|p| *p > w.ballot) {
            let refused = Rejected { number: w.number, promised };
            out.push(Effect::Send { to: from, word: PeerMessage::Rejected(refused) });
            return;
        }
        self.promised = Some(w.ballot);
        let promise = Promise { number: w.number, ballot: w.ballot, accepted: self.accepted.clone() };
        out.push(Effect::Keep {
            record: Record { number: w.number, promised: self.promised, ..Record::default() },
            then: vec![(from, PeerMessage::Promise(promise))],
        });
    }

    fn on_accept(&mut self, from: u64, w: Accept, out: &mut Vec<Effect>) {
        let number = w.value.number;
        if !self.takes_part(from, number, out) {
            return;
        }
        if let Some(promised) = self.promised.filter(|p| *p > w.ballot) {
            out.push(Effect::Send { to: from, word: PeerMessage::Rejected(Rejected { number, promised }) });
            return;
        }
        let took = AcceptAck { number, ballot: w.ballot };
        self.promised = Some(w.ballot);
        self.accepted = Some(Accepted { ballot: w.ballot, value: w.value });
        out.push(Effect::Keep {
            record: Record {
                number,
                promised: self.promised,
                accepted: self.accepted.clone(),
                ..Record::default()
            },
            then: vec![(from, PeerMessage::AcceptAck(took))],
        });
    }

    // --- proposer ---

    fn on_promise(&mut self, now: u64, from: u64, w: Promise, out: &mut Vec<Effect>) {
        let next = self.next();
        let Some(round) = self.round.as_mut().filter(|r| r.ballot == w.ballot && w.number == next) else {
            return;
        };
        round.promises.insert(from);
        if w.accepted.as_ref().map(|a| a.ballot) > round.best.as_ref().map(|a| a.ballot) {
            round.best = w.accepted;
        }
        if round.value.is_some()
            || !self.is_most(self.round.as_ref().expect("is on").promises.iter().copied())
        {
            return;
        }
        let round = self.round.as_ref().expect("is on");
        let (ballot, half_done) = (round.ballot, round.best.as_ref().map(|b| b.value.clone()));
        let Some(value) = half_done.or_else(|| self.wanted(out)) else {
            // Nothing is half done and nothing is wanted any more.
            (self.round, self.pending) = (None, false);
            self.tick(now, out);
            return;
        };
        let round = self.round.as_mut().expect("is on");
        (round.value, round.said) = (Some(value.clone()), now);
        self.to_all(&PeerMessage::Accept(Accept { ballot, value }), out);
    }

    /// The value that the first job makes of the newest one; jobs that come to nothing are answered.
    fn wanted(&mut self, out: &mut Vec<Effect>) -> Option<Value> {
        let decided = self.decided.as_ref()?;
        while let Some(waiting) = self.jobs.front() {
            let outcome = match &waiting.change {
                Change::Document { base, revision, document } => {
                    let taken = Taken { revision: *revision, digest: digest(document) };
                    if decided.taken.contains(&taken) {
                        Outcome::Taken(*revision)
                    } else if *base != decided.revision || *revision <= decided.revision {
                        Outcome::Conflict(decided.revision)
                    } else {
                        let mut value = Value {
                            number: decided.number + 1,
                            revision: *revision,
                            document: document.clone().into(),
                            ..decided.clone()
                        };
                        value.taken.push(taken);
                        if value.taken.len() > REMEMBERED {
                            value.taken.remove(0);
                        }
                        return Some(value);
                    }
                }
                Change::Voters { on, voters, epoch } if *on == decided.number && !voters.is_empty() => {
                    let number = decided.number + 1;
                    return Some(Value { number, voters: voters.clone(), epoch: *epoch, ..decided.clone() });
                }
                Change::Voters { .. } => Outcome::Conflict(decided.revision),
                Change::Completion => Outcome::Taken(decided.revision),
            };
            out.push(Effect::Reply { job: waiting.job, outcome });
            self.jobs.pop_front();
        }
        None
    }

    fn on_accept_ack(&mut self, now: u64, from: u64, w: &AcceptAck, out: &mut Vec<Effect>) {
        let next = self.next();
        let Some(round) = self.round.as_mut().filter(|r| r.ballot == w.ballot && w.number == next) else {
            return;
        };
        round.took.insert(from);
        if self.is_most(self.round.as_ref().expect("is on").took.iter().copied())
            && let Some(value) = self.round.as_mut().and_then(|r| r.value.take())
        {
            self.clashes = 0;
            self.adopt(now, value, out);
        }
    }

    fn on_rejected(&mut self, now: u64, w: &Rejected) {
        if w.number != self.next() {
            return;
        }
        self.highest = self.highest.max(w.promised.round);
        if self.round.as_ref().is_some_and(|r| r.ballot < w.promised) {
            self.round = None;
            self.clashes = (self.clashes + 1).min(6);
            let most = BACK_OFF << self.clashes;
            self.rest = now + 1 + self.chance.rand_range(0..most);
        }
    }

    /// Another machine has less than we: it gets what it lacks, and the word again.
    fn on_catch_up_request(&mut self, from: u64, w: &CatchUpRequest, out: &mut Vec<Effect>) {
        let Some(decided) = &self.decided else { return };
        if w.number >= decided.number && decided.number > 0 {
            return;
        }
        out.push(Effect::Send { to: from, word: PeerMessage::Decided(decided.clone()) });
        if let Some(word) = self.round_word() {
            out.push(Effect::Send { to: from, word });
        }
    }

    /// Learns a value that is decided.
    fn adopt(&mut self, now: u64, value: Value, out: &mut Vec<Effect>) {
        if self.decided.as_ref().is_some_and(|d| value.number <= d.number) {
            return;
        }
        self.decided = Some(value.clone());
        (self.promised, self.accepted, self.round) = (None, None, None);
        (self.pending, self.highest, self.rest, self.ask_from) = (false, 0, 0, 0);
        let record = Record { decided: Some(value.clone()), ..Record::default() };
        out.push(Effect::Keep { record, then: Vec::new() });
        out.push(Effect::Decided(value));
        // What was asked before this is asked anew, and jobs see whether they are done.
        if let Some(question) = self.question.take() {
            self.readers.extend(question.jobs);
        }
        self.answer_taken(out);
        self.tick(now, out);
    }

    /// A job whose document is decided now needs no round.
    fn answer_taken(&mut self, out: &mut Vec<Effect>) {
        let Some(decided) = &self.decided else { return };
        self.jobs.retain(|w| {
            let done = match &w.change {
                Change::Document { revision, document, .. } => {
                    decided.taken.contains(&Taken { revision: *revision, digest: digest(document) })
                }
                Change::Voters { on, .. } => *on < decided.number,
                Change::Completion => false,
            };
            if done {
                let outcome = match &w.change {
                    Change::Document { revision, .. } => Outcome::Taken(*revision),
                    _ => Outcome::Taken(decided.revision),
                };
                out.push(Effect::Reply { job: w.job, outcome });
            }
            !done
        });
    }

    fn on_read_reply(&mut self, now: u64, from: u64, w: &ReadReply, out: &mut Vec<Effect>) {
        let Some(own) = self.decided.as_ref().map(|d| d.number) else { return };
        if w.decided > own {
            out.push(Effect::Send {
                to: from,
                word: PeerMessage::CatchUpRequest(CatchUpRequest { number: own }),
            });
            return;
        }
        let Some(question) = self.question.as_mut().filter(|q| q.number == w.question) else { return };
        question.told.insert(from, (w.decided, w.pending && w.decided == own));
        if !self.is_most(self.question.as_ref().expect("asked").told.keys().copied()) {
            return;
        }
        let question = self.question.take().expect("asked");
        if question.told.values().any(|(_, pending)| *pending) {
            self.pending = true;
            self.readers.extend(question.jobs);
            self.ask_from = now + HALF_DONE;
            self.tick(now, out);
            return;
        }
        let newest = self.decided.clone().expect("checked");
        let reply = |(job, _)| Effect::Reply { job, outcome: Outcome::Newest(newest.clone()) };
        out.extend(question.jobs.into_iter().map(reply));
        self.tick(now, out);
    }
}
