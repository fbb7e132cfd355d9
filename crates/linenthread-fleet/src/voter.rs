//! One voter of the record: how it is founded, how it takes part, and how a machine that lost its disk comes back.
//!
//! | stage | what it is | goes on when |
//! | --- | --- | --- |
//! | empty | no self on its disk | all others said that they are empty or founded: founded. One said that it holds: a new self is drawn, and it holds |
//! | founded | a founder's self, taken part in nothing | all others said founded, or one holds: it holds |
//! | holding | it takes part | |
//! | stopped | its disk failed | it is opened anew |
//!
//! So a fleet is founded only by all its voters together, and an empty disk beside a record that goes on is never
//! taken for a founder's: it gets a self that nobody has voted with. Who leads puts it in its former self's place,
//! one change of voters at a time.

use std::collections::{BTreeMap, VecDeque};

use linenthread_core::interface::TenthMillis;
use linenthread_frames::{Put, Take};
use linenthread_store::{Files, LogError};
use oorandom::Rand64;
use raft::eraftpb::{
    ConfChange, ConfChangeType, ConfState, Entry, EntryType, HardState, Message, MessageType,
    Snapshot,
};
use raft::{RawNode, StateRole, Storage};

use crate::board::{Board, Life, Write};
use crate::frame::{Frame, Standing};
use crate::keep::Keep;

/// The record's own time: this many tenths of a millisecond.
const TICK: TenthMillis = 500;
/// An election begins after so many ticks without a word from who leads, and up to as many more.
const ELECTION: usize = 20;
const HEARTBEAT: usize = 4;
/// How long a quorum's word is good for, from when it was asked: less than an election takes on clocks that run
/// apart by a tenth, whichever way.
const LEASE: TenthMillis = TICK * ELECTION as TenthMillis * 3 / 4;
/// So often a quorum is asked, and voters tell how far they have come while they don't all hold.
const ASK: TenthMillis = 1_000;
const TELL: TenthMillis = 2_500;
/// A voter's self is replaced no more often than this.
const REPLACE: TenthMillis = 50_000;
/// Proposals that wait to be agreed on, at the most.
const MOST_WAITING: u64 = 1024 * 1024;
const ADD: u8 = 1;
const REMOVE: u8 = 2;

#[derive(Clone, Debug)]
pub struct VoterTerms {
    pub own: String,
    /// All voters' names, this one's too.
    pub voters: Vec<String>,
}

/// A value that was agreed on.
#[derive(Clone, Debug, PartialEq)]
pub struct Agreed {
    pub topic: String,
    pub number: u64,
    pub value: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum VoterDo {
    Say {
        to: String,
        frame: Frame,
    },
    Agreed(Agreed),
    /// For the log.
    Line(String),
}

/// How far it has come.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    Empty,
    Founded,
    Holding,
    /// Its disk failed.
    Stopped(String),
}

enum State<F: Files> {
    Waits(Box<Keep<F>>),
    Runs(Box<RawNode<Keep<F>>>),
    Stopped(String),
}

pub struct Voter<F: Files> {
    terms: VoterTerms,
    state: State<F>,
    board: Board,
    conf: ConfState,
    applied: u64,
    chance: Rand64,
    /// Mixed into its election times.
    salt: u64,
    started: TenthMillis,
    ticked: TenthMillis,
    /// What the others said last, over the connections they have now.
    standings: BTreeMap<String, (Standing, u64)>,
    told_at: TenthMillis,
    /// Which name goes by which id, as far as its messages told.
    names: BTreeMap<u64, String>,
    /// Questions to the quorum that are out, oldest first, and until when its last word is good.
    asked: VecDeque<(u64, TenthMillis)>,
    asks: u64,
    asked_at: TenthMillis,
    lease: TenthMillis,
    replaced: BTreeMap<String, TenthMillis>,
    /// A new self came in: what it begins from must name it.
    came_in: bool,
    led: bool,
}

/// A sum over the founders' names: fleets of other voters are no part of this one.
fn sum(voters: &[String]) -> u64 {
    let mut names = voters.to_vec();
    names.sort_unstable();
    Life {
        name: names.join("\n"),
        life: 0,
    }
    .id()
}

fn change(kind: u8, life: &Life) -> Vec<u8> {
    let mut put = Put(vec![kind]);
    life.put(&mut put);
    put.0
}

impl<F: Files> Voter<F> {
    /// Opens what is on its disk. A disk that fails makes it a voter that has stopped.
    ///
    /// # Errors
    ///
    /// What was kept is damaged, or another version's: it must not take part with less than it promised.
    pub fn new(
        terms: VoterTerms,
        files: F,
        seed: u64,
        now: TenthMillis,
        to: &mut Vec<VoterDo>,
    ) -> Result<Voter<F>, String> {
        let mut chance = Rand64::new(u128::from(seed));
        let state = match Keep::open(files) {
            Ok((keep, cut)) => {
                if let Some(cut) = cut {
                    let line = format!(
                        "a torn end of {} bytes was cut off {} at {}",
                        cut.bytes, cut.file, cut.offset
                    );
                    to.push(VoterDo::Line(line));
                }
                if let Some(own) = keep.own.as_ref().filter(|own| own.name != terms.own) {
                    return Err(format!(
                        "the folder belongs to the voter {}, not to {}",
                        own.name, terms.own
                    ));
                }
                State::Waits(Box::new(keep))
            }
            Err(error @ LogError::Disk { .. }) => State::Stopped(error.to_string()),
            Err(other) => return Err(other.to_string()),
        };
        let mut voter = Voter {
            terms,
            state,
            board: Board::default(),
            conf: ConfState::default(),
            applied: 0,
            salt: chance.rand_u64(),
            chance,
            started: now,
            ticked: now,
            standings: BTreeMap::new(),
            told_at: now - TELL,
            names: BTreeMap::new(),
            asked: VecDeque::new(),
            asks: 0,
            asked_at: 0,
            lease: 0,
            replaced: BTreeMap::new(),
            came_in: false,
            led: false,
        };
        if let State::Waits(keep) = &voter.state
            && keep.holding
        {
            voter.run(to);
        }
        Ok(voter)
    }

    pub fn stage(&self) -> Stage {
        match &self.state {
            State::Waits(keep) if keep.own.is_none() => Stage::Empty,
            State::Waits(_) => Stage::Founded,
            State::Runs(_) => Stage::Holding,
            State::Stopped(why) => Stage::Stopped(why.clone()),
        }
    }

    /// Whether it leads, and a quorum's word for that is still good: nobody else leads at this moment.
    pub fn leads(&self, now: TenthMillis) -> bool {
        matches!(&self.state, State::Runs(raw) if raw.raft.state == StateRole::Leader)
            && now < self.lease
    }

    /// Who leads, as far as it knows.
    pub fn leader(&self) -> Option<&str> {
        let State::Runs(raw) = &self.state else {
            return None;
        };
        if raw.raft.leader_id == raw.raft.id {
            return Some(&self.terms.own);
        }
        self.name(raw.raft.leader_id)
    }

    /// The record's term, 0 where it takes no part.
    pub fn term(&self) -> u64 {
        if let State::Runs(raw) = &self.state {
            raw.raft.term
        } else {
            0
        }
    }

    pub fn board(&self) -> &Board {
        &self.board
    }

    /// Which self it is: 0 a founder's; `None` without any.
    pub fn life(&self) -> Option<u64> {
        let keep = match &self.state {
            State::Waits(keep) => keep,
            State::Runs(raw) => raw.store(),
            State::Stopped(_) => return None,
        };
        keep.own.as_ref().map(|own| own.life)
    }

    /// Whether it is a voter by all that it knows.
    pub fn votes(&self) -> bool {
        matches!(&self.state, State::Runs(raw) if self.conf.voters.contains(&raw.raft.id))
    }

    pub fn wake_at(&self) -> TenthMillis {
        self.ticked + TICK
    }

    fn name(&self, id: u64) -> Option<&str> {
        self.board
            .lives
            .get(&id)
            .map(|life| &life.name)
            .or(self.names.get(&id))
            .map(String::as_str)
    }

    fn others(&self) -> impl Iterator<Item = &String> {
        self.terms
            .voters
            .iter()
            .filter(|name| **name != self.terms.own)
    }

    /// The disk has failed: it steps down by saying nothing more, and others lead.
    fn stop(&mut self, trouble: &LogError, to: &mut Vec<VoterDo>) {
        to.push(VoterDo::Line(format!("this voter steps down: {trouble}")));
        if std::mem::take(&mut self.led) {
            to.push(VoterDo::Line(format!(
                "does not lead any more, in term {}",
                self.term()
            )));
        }
        self.state = State::Stopped(trouble.to_string());
        self.lease = 0;
    }

    // --- founding ---

    /// What the others are told of this one.
    fn standing(&self) -> Frame {
        let (standing, life) = match &self.state {
            State::Waits(keep) => match &keep.own {
                None => (Standing::Empty, 0),
                Some(own) => (Standing::Founded, own.life),
            },
            State::Runs(raw) => (
                Standing::Holding,
                raw.store().own.as_ref().map_or(0, |own| own.life),
            ),
            // Not empty: what stands on a disk that fails may be all there is of what was agreed on.
            State::Stopped(_) => (Standing::Stopped, 0),
        };
        Frame::Standing {
            standing,
            life,
            founders: sum(&self.terms.voters),
        }
    }

    /// A voter's connection is there: nothing that was said before it counts any more.
    pub fn opened(&mut self, name: &str, to: &mut Vec<VoterDo>) {
        self.lost(name);
        if !matches!(self.state, State::Stopped(_)) {
            to.push(VoterDo::Say {
                to: name.to_owned(),
                frame: self.standing(),
            });
        }
    }

    /// What was on its way to that voter may not have come.
    pub fn lost(&mut self, name: &str) {
        self.standings.remove(name);
        if let State::Runs(raw) = &mut self.state {
            let ids: Vec<u64> = self
                .names
                .iter()
                .filter(|(_, n)| *n == name)
                .map(|(id, _)| *id)
                .collect();
            for id in ids {
                raw.report_unreachable(id);
                // Else it waits for ever for word of a snapshot that went down with the connection.
                raw.report_snapshot(id, raft::SnapshotStatus::Failure);
            }
        }
    }

    /// Goes on to the next stage where what all say allows it.
    fn found(&mut self, now: TenthMillis, to: &mut Vec<VoterDo>) {
        let others: Vec<Option<Standing>> = self
            .others()
            .map(|name| self.standings.get(name).map(|(standing, _)| *standing))
            .collect();
        let one_holds = others.contains(&Some(Standing::Holding));
        let all = |allowed: &[Standing]| {
            others
                .iter()
                .all(|s| s.is_some_and(|s| allowed.contains(&s)))
        };
        let State::Waits(keep) = &mut self.state else {
            return;
        };
        let name = self.terms.own.clone();
        let done = match keep.own {
            // *former-self*: beside a record that goes on an empty disk gets a self nobody has voted with.
            None if one_holds => {
                let life = self.chance.rand_u64() | 1 << 63;
                to.push(VoterDo::Line(format!(
                    "its disk is empty beside a record that goes on: new self {life:x}"
                )));
                let begun = keep.begin(
                    Life { name, life },
                    Snapshot::default(),
                    HardState::default(),
                );
                begun.and_then(|()| keep.hold()).map(|()| true)
            }
            None if all(&[Standing::Empty, Standing::Founded]) => {
                let founders = self.terms.voters.iter().map(|name| Life {
                    name: name.clone(),
                    life: 0,
                });
                let mut board = Board::default();
                founders.for_each(|life| board.admit(&life));
                let mut snapshot = Snapshot {
                    data: board.encode().into(),
                    ..Snapshot::default()
                };
                let about = snapshot.mut_metadata();
                // All founders begin as if they had agreed on one entry: who is a voter.
                (about.index, about.term) = (1, 1);
                about.mut_conf_state().voters = board.lives.keys().copied().collect();
                let hard = HardState {
                    term: 1,
                    commit: 1,
                    ..HardState::default()
                };
                to.push(VoterDo::Line("the record is founded here".into()));
                keep.begin(Life { name, life: 0 }, snapshot, hard)
                    .map(|()| false)
            }
            Some(_) if one_holds || all(&[Standing::Founded]) => keep.hold().map(|()| true),
            _ => return,
        };
        match done {
            Ok(true) => {
                // What it promised in a former life of this process it has on its disk; what a former self did it
                // does not, and nobody counts on it.
                self.started = now;
                self.run(to);
            }
            Ok(false) => {}
            Err(trouble) => return self.stop(&trouble, to),
        }
        self.tell(now, to);
    }

    fn tell(&mut self, now: TenthMillis, to: &mut Vec<VoterDo>) {
        self.told_at = now;
        if matches!(self.state, State::Stopped(_)) {
            return;
        }
        let frame = self.standing();
        to.extend(self.others().map(|name| VoterDo::Say {
            to: name.clone(),
            frame: frame.clone(),
        }));
    }

    // --- taking part ---

    /// Begins to take part with what is on the disk.
    fn run(&mut self, to: &mut Vec<VoterDo>) {
        let State::Waits(keep) =
            std::mem::replace(&mut self.state, State::Stopped("it begins".into()))
        else {
            return;
        };
        let Some(own) = keep.own.clone() else { return };
        let config = raft::Config {
            id: own.id(),
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            applied: keep.applied(),
            max_size_per_msg: 128 * 1024,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: MOST_WAITING,
            max_committed_size_per_ready: 512 * 1024,
            ..raft::Config::default()
        };
        let begun = keep.board().and_then(|board| {
            self.conf = keep.initial_state().map_err(|e| e.to_string())?.conf_state;
            self.applied = keep.applied();
            let raw = RawNode::new(
                &config,
                *keep,
                &slog::Logger::root(slog::Discard, slog::o!()),
            );
            Ok((board, raw.map_err(|e| e.to_string())?))
        });
        match begun {
            Ok((board, raw)) => {
                self.board = board;
                self.state = State::Runs(Box::new(raw));
                self.agreed_all(to);
                self.drive(to);
            }
            Err(why) => self.stop(
                &LogError::Damaged {
                    file: "the voter's log".into(),
                    offset: 0,
                    reason: why,
                },
                to,
            ),
        }
    }

    /// Tells all that the record says, as after a snapshot.
    fn agreed_all(&self, to: &mut Vec<VoterDo>) {
        to.extend(self.board.values().map(|(topic, number, value)| {
            VoterDo::Agreed(Agreed {
                topic: topic.to_owned(),
                number,
                value: value.to_vec(),
            })
        }));
    }

    /// Its election time, by chance of its own: by term and role, so that a seed always gives the same.
    fn set_election_time(&mut self) {
        if let State::Runs(raw) = &mut self.state {
            let mixed = self.salt
                ^ raw.raft.term.wrapping_mul(0x9e37_79b9_7f4a_7c15)
                ^ raw.raft.state as u64;
            let by_chance = Rand64::new(u128::from(mixed)).rand_range(0..ELECTION as u64) as usize;
            raw.raft
                .set_randomized_election_timeout(ELECTION + by_chance);
        }
    }

    /// Does all that fell due. One that was stopped for a while first lives through what it missed: who led
    /// steps down, for its quorum has not been heard meanwhile.
    pub fn wake(&mut self, now: TenthMillis, to: &mut Vec<VoterDo>) {
        self.catch_up(now, to);
        let all_said =
            matches!(self.stage(), Stage::Holding) && self.standings.len() == self.others().count();
        if !all_said && now >= self.told_at + TELL {
            self.tell(now, to);
        }
        self.found(now, to);
        let State::Runs(raw) = &mut self.state else {
            return;
        };
        if raw.raft.state == StateRole::Leader && now >= self.asked_at + ASK {
            self.asked_at = now;
            self.asks += 1;
            self.asked.push_back((self.asks, now));
            if self.asked.len() > 64 {
                self.asked.pop_front();
            }
            raw.read_index(self.asks.to_be_bytes().to_vec());
        }
        self.admit(now, to);
        self.drive(to);
    }

    fn catch_up(&mut self, now: TenthMillis, to: &mut Vec<VoterDo>) {
        let State::Runs(raw) = &mut self.state else {
            self.ticked = now;
            return;
        };
        let missed = ((now - self.ticked) / TICK).max(0) as usize;
        self.ticked += missed as TenthMillis * TICK;
        let leads = raw.raft.state == StateRole::Leader;
        // Two checks of its quorum make who leads step down; the others need not hurry to an election.
        let ticks = missed.min(if leads { 2 * ELECTION + 2 } else { HEARTBEAT });
        for _ in 0..ticks {
            if let State::Runs(raw) = &mut self.state {
                raw.tick();
            }
            self.set_election_time();
            self.drive(to);
        }
    }

    /// Takes in what another voter says.
    pub fn received(&mut self, now: TenthMillis, from: &str, frame: Frame, to: &mut Vec<VoterDo>) {
        self.catch_up(now, to);
        match frame {
            Frame::Standing {
                standing,
                life,
                founders,
            } => {
                if founders != sum(&self.terms.voters) {
                    to.push(VoterDo::Line(format!(
                        "{from} names other voters than this one: it is not heard"
                    )));
                    return;
                }
                let before = self.standings.insert(from.to_owned(), (standing, life));
                self.names.retain(|_, name| name != from);
                self.names.insert(
                    Life {
                        name: from.to_owned(),
                        life,
                    }
                    .id(),
                    from.to_owned(),
                );
                if before != Some((standing, life)) {
                    to.push(VoterDo::Say {
                        to: from.to_owned(),
                        frame: self.standing(),
                    });
                }
                self.found(now, to);
                self.admit(now, to);
            }
            Frame::Record(message) => {
                self.names.insert(message.from, from.to_owned());
                while self.names.len() > 64 {
                    self.names.pop_first();
                }
                if let Err(why) = self.step(now, *message) {
                    to.push(VoterDo::Line(format!(
                        "a message of {from} is not taken: {why}"
                    )));
                }
            }
            _ => {}
        }
        self.set_election_time();
        self.drive(to);
    }

    fn step(&mut self, now: TenthMillis, message: Message) -> Result<(), String> {
        let State::Runs(raw) = &mut self.state else {
            return Ok(());
        };
        if message.to != raw.raft.id {
            // Said to a former self.
            return Ok(());
        }
        let asks_for_vote = matches!(
            message.msg_type,
            MessageType::MsgRequestVote | MessageType::MsgRequestPreVote
        );
        // It may have given its word to one that leads and not know it any more: for as long as that can be good
        // it gives no other.
        if asks_for_vote && now < self.started + TICK * ELECTION as TenthMillis + TICK {
            return Ok(());
        }
        let known = |id: u64| self.conf.voters.is_empty() || self.conf.voters.contains(&id);
        if asks_for_vote && !known(message.from) {
            return Ok(());
        }
        // What no sound voter says would end the process within the crate.
        let (last, committed) = (raw.raft.raft_log.last_index(), raw.raft.raft_log.committed);
        let mut index = message.index;
        for entry in &message.entries {
            index += 1;
            let other = entry.index <= committed
                && raw
                    .raft
                    .raft_log
                    .term(entry.index)
                    .is_ok_and(|term| term != 0 && term != entry.term);
            if entry.index != index || entry.term > message.term || other {
                return Err(format!(
                    "entry {} of term {} cannot stand there",
                    entry.index, entry.term
                ));
            }
        }
        match message.msg_type {
            MessageType::MsgHeartbeat if message.commit > last && message.term >= raw.raft.term => {
                return Err(format!(
                    "{} cannot be agreed on where {last} entries are",
                    message.commit
                ));
            }
            MessageType::MsgSnapshot => {
                Board::decode(&message.get_snapshot().data)?;
            }
            MessageType::MsgUnreachable => return Err("nobody says that of itself".into()),
            _ => {}
        }
        // Answers from one that is no voter any more are of no interest to the node.
        let _ = raw.step(message);
        Ok(())
    }

    /// Who leads puts a voter's new self in its former one's place: first out with the one, which answers no
    /// more, then in with the other; never two changes at once.
    fn admit(&mut self, now: TenthMillis, to: &mut Vec<VoterDo>) {
        if !self.leads(now) {
            return;
        }
        let State::Runs(raw) = &mut self.state else {
            return;
        };
        if raw.raft.has_pending_conf() {
            return;
        }
        for (name, (standing, life)) in &self.standings {
            let new = Life {
                name: name.clone(),
                life: *life,
            };
            if *standing != Standing::Holding || *life == 0 || !self.terms.voters.contains(name) {
                continue;
            }
            let is_in = |id: &u64| self.conf.voters.contains(id);
            if is_in(&new.id()) || self.replaced.get(name).is_some_and(|at| now < at + REPLACE) {
                continue;
            }
            let former = self
                .board
                .lives
                .values()
                .find(|l| l.name == *name && is_in(&l.id()));
            let (kind, life) = match former {
                Some(former) => (REMOVE, former.clone()),
                None => (ADD, new),
            };
            let kind_of = if kind == ADD {
                ConfChangeType::AddNode
            } else {
                ConfChangeType::RemoveNode
            };
            let asked = ConfChange {
                change_type: kind_of,
                node_id: life.id(),
                ..ConfChange::default()
            };
            if raw.propose_conf_change(change(kind, &life), asked).is_ok() {
                if kind == ADD {
                    self.replaced.insert(name.clone(), now);
                }
                let word = if kind == ADD { "in" } else { "out" };
                to.push(VoterDo::Line(format!(
                    "{name} with self {:x} is to be {word}",
                    life.life
                )));
            }
            return;
        }
    }

    /// Wants a value written under a topic whose number is still `based_on`. It is agreed on, or comes to nothing
    /// where another was first or who leads has changed: what counts is what [`VoterDo::Agreed`] tells.
    ///
    /// # Errors
    ///
    /// This process does not lead, the value is too long, or too much waits.
    pub fn propose(
        &mut self,
        now: TenthMillis,
        topic: &str,
        based_on: u64,
        value: Vec<u8>,
        to: &mut Vec<VoterDo>,
    ) -> Result<(), String> {
        let write = Write {
            topic: topic.to_owned(),
            based_on,
            value,
        };
        if !write.is_sound() {
            return Err("the value is too long".into());
        }
        if !self.leads(now) {
            return Err("this process does not lead".into());
        }
        let State::Runs(raw) = &mut self.state else {
            return Err("this process does not lead".into());
        };
        let mut put = Put(Vec::new());
        write.put(&mut put);
        raw.propose(Vec::new(), put.0).map_err(|e| e.to_string())?;
        self.drive(to);
        Ok(())
    }

    /// Does what the node wants: keeps, and says nothing that relies on it before it is synced.
    fn drive(&mut self, to: &mut Vec<VoterDo>) {
        loop {
            let State::Runs(raw) = &mut self.state else {
                return;
            };
            if !raw.has_ready() {
                break;
            }
            let mut ready = raw.ready();
            let first = ready.take_messages();
            let snapshot = (!ready.snapshot().is_empty()).then(|| ready.snapshot().clone());
            let kept = (|| {
                let keep = raw.mut_store();
                if let Some(snapshot) = &snapshot {
                    keep.install(snapshot.clone())?;
                }
                keep.append(ready.entries())?;
                if let Some(hard) = ready.hs() {
                    keep.set_hard(hard)?;
                }
                if ready.must_sync() {
                    keep.sync()
                } else {
                    Ok(())
                }
            })();
            if let Err(trouble) = kept {
                return self.stop(&trouble, to);
            }
            let reads = ready.take_read_states();
            let after = ready.take_persisted_messages();
            let mut agreed = ready.take_committed_entries();
            let mut light = raw.advance(ready);
            if let Some(commit) = light.commit_index() {
                raw.mut_store().committed(commit);
            }
            agreed.extend(light.take_committed_entries());
            let last = light.take_messages();
            for message in first.into_iter().chain(after).chain(last) {
                self.say(message, to);
            }
            for read in reads {
                let number = read
                    .request_ctx
                    .as_slice()
                    .try_into()
                    .map_or(0, u64::from_be_bytes);
                while let Some((asked, at)) =
                    self.asked.front().copied().filter(|(n, _)| *n <= number)
                {
                    self.asked.pop_front();
                    if asked == number {
                        self.lease = self.lease.max(at + LEASE);
                    }
                }
            }
            if let Some(snapshot) = snapshot {
                let about = snapshot.get_metadata();
                self.conf = about.get_conf_state().clone();
                self.applied = about.index;
                self.board = Board::decode(&snapshot.data).unwrap_or_default();
                self.agreed_all(to);
            }
            for entry in agreed {
                self.apply(&entry, to);
            }
            if let State::Runs(raw) = &mut self.state {
                raw.advance_apply_to(self.applied);
                if std::mem::take(&mut self.came_in) || raw.store().is_long(self.applied) {
                    let done = raw
                        .mut_store()
                        .compact(self.applied, &self.conf, &self.board);
                    if let Err(trouble) = done {
                        return self.stop(&trouble, to);
                    }
                }
            }
            self.set_election_time();
        }
        let leads = matches!(&self.state, State::Runs(raw) if raw.raft.state == StateRole::Leader);
        if leads != self.led {
            self.led = leads;
            self.asked.clear();
            self.lease = 0;
            let line = if leads {
                "leads from now on"
            } else {
                "does not lead any more"
            };
            to.push(VoterDo::Line(format!("{line}, in term {}", self.term())));
        }
    }

    fn say(&self, message: Message, to: &mut Vec<VoterDo>) {
        if let Some(name) = self.name(message.to) {
            to.push(VoterDo::Say {
                to: name.to_owned(),
                frame: Frame::Record(Box::new(message)),
            });
        }
    }

    /// Takes over one entry that was agreed on.
    fn apply(&mut self, entry: &Entry, to: &mut Vec<VoterDo>) {
        self.applied = entry.index;
        if entry.entry_type == EntryType::EntryConfChange {
            let mut take = Take(&entry.context);
            let Ok((kind, life)) = take
                .u8()
                .and_then(|kind| Ok((kind, Life::take(&mut take)?)))
            else {
                return;
            };
            let kind_of = if kind == ADD {
                ConfChangeType::AddNode
            } else {
                ConfChangeType::RemoveNode
            };
            let change = ConfChange {
                change_type: kind_of,
                node_id: life.id(),
                ..ConfChange::default()
            };
            if let State::Runs(raw) = &mut self.state
                && let Ok(conf) = raw.apply_conf_change(&change)
            {
                self.conf = conf;
            }
            if kind == ADD {
                self.board.admit(&life);
                self.came_in = true;
            }
            let word = if kind == ADD { "is in" } else { "is out" };
            to.push(VoterDo::Line(format!(
                "{} with self {:x} {word}",
                life.name, life.life
            )));
        } else if !entry.data.is_empty()
            && let Ok(write) = Write::take(&mut Take(&entry.data))
        {
            let Write { topic, value, .. } = write.clone();
            if let Some(number) = self.board.write(write) {
                to.push(VoterDo::Agreed(Agreed {
                    topic,
                    number,
                    value,
                }));
            }
        }
    }
}
