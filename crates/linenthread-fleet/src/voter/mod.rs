//! One voter of the replicated state: how it is founded, how it takes part, and how one that lost its disk returns.
//!
//! | stage | meaning | next stage when |
//! | --- | --- | --- |
//! | empty | no identity on its disk | all others report empty or founded: founded. One reports active: it draws a new identity and is active |
//! | founded | a founder's identity, not yet used | all others report founded, or one is active: active |
//! | active | it takes part in Raft | |
//! | stopped | its disk has failed | it is opened anew |
//!
//! So a fleet is founded only by all its voters together, and an empty disk beside an existing fleet is never taken
//! for a founder's: it gets an identity that has never voted. The leader replaces the former identity by the new one,
//! one change of voters at a time.

mod driver;
mod founding;
mod lease;
mod message_check;
mod reconfiguration;

use std::collections::BTreeMap;

use linenthread_core::interface::TenthMillis;
use linenthread_frames::Encoder;
use linenthread_store::{Files, LogError};
use oorandom::Rand64;
use raft::eraftpb::ConfState;
use raft::{RawNode, StateRole};
use snafu::{ResultExt, ensure};

use crate::error::{
    NotLeaderSnafu, OpenError, ProposeError, RefusedSnafu, StorageError, TooLongSnafu,
};
use crate::event::FleetEvent;
use crate::frame::{Frame, Progress};
use crate::state_table::{ConditionalWrite, StateTable, VoterIdentity};
use crate::storage::VoterStorage;
use lease::Lease;

/// The interval of Raft's clock.
const TICK: TenthMillis = 500;
/// An election begins after so many ticks without a message of the leader, and up to as many more.
const ELECTION_TICKS: usize = 20;
/// [`ELECTION_TICKS`] as a time.
const ELECTION_TIMEOUT: TenthMillis = TICK * ELECTION_TICKS as TenthMillis;
const HEARTBEAT_TICKS: usize = 4;
/// How often voters tell each other their progress while they are not all active.
const PROGRESS_INTERVAL: TenthMillis = 2_500;
/// Names of other voters that are remembered by id.
const MAX_VOTER_NAMES: usize = 64;

/// Who a voter is.
#[derive(Clone, Debug)]
pub struct VoterConfig {
    /// Its name.
    pub name: String,
    /// All voters' names, its own included.
    pub voters: Vec<String>,
}

/// A value that was committed.
#[derive(Clone, Debug, PartialEq)]
pub struct CommittedValue {
    /// The value's topic.
    pub topic: String,
    /// The value's number within its topic, from 1.
    pub number: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// What the caller has to do, in order.
#[derive(Debug)]
pub enum VoterAction {
    /// Send a frame to another voter.
    Send {
        /// The voter's name.
        to: String,
        /// The frame.
        frame: Frame,
    },
    /// A value was committed.
    Committed(CommittedValue),
    /// Write to the log.
    Log(FleetEvent),
}

/// How far a voter has come.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// Its disk is empty.
    Empty,
    /// It is a founder and has not taken part yet.
    Founded,
    /// It takes part in Raft.
    Active,
    /// Its disk has failed, with this cause.
    Stopped(String),
}

enum State<F: Files> {
    /// Empty or founded.
    Waiting(Box<VoterStorage<F>>),
    Active(Box<RawNode<VoterStorage<F>>>),
    Stopped(String),
}

/// What another voter has reported over the connection that it has now.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PeerProgress {
    progress: Progress,
    incarnation: u64,
}

/// One voter, a state machine without I/O or clock.
pub struct Voter<F: Files> {
    config: VoterConfig,
    state: State<F>,
    /// The replicated state.
    table: StateTable,
    conf_state: ConfState,
    /// The index of the last entry that the table contains.
    applied: u64,
    rng: Rand64,
    /// Mixed into its election time-outs.
    election_seed: u64,
    /// When it began to take part, or was opened.
    started_at: TenthMillis,
    /// Up to when Raft's clock has run.
    ticked_until: TenthMillis,
    peers: BTreeMap<String, PeerProgress>,
    progress_sent_at: TenthMillis,
    /// The voters' names by their ids, as far as messages told.
    voter_names: BTreeMap<u64, String>,
    lease: Lease,
    /// When this leader last added a new identity of a voter.
    replaced_at: BTreeMap<String, TenthMillis>,
    /// A voter was added: the snapshot that it begins from must name it.
    voter_added: bool,
    was_leader: bool,
}

/// A digest of the founders' names: fleets of other voters are no part of this one.
fn founders_digest(voters: &[String]) -> u64 {
    let mut names = voters.to_vec();
    names.sort_unstable();
    VoterIdentity::founder(names.join("\n")).id()
}

impl<F: Files> Voter<F> {
    /// Opens what is on its disk. A disk that fails gives a voter that has stopped.
    ///
    /// # Errors
    /// What was written is damaged, of another version, or another voter's.
    pub fn new(
        config: VoterConfig,
        files: F,
        seed: u64,
        now: TenthMillis,
        actions: &mut Vec<VoterAction>,
    ) -> Result<Voter<F>, OpenError> {
        let mut rng = Rand64::new(u128::from(seed));
        let state = open_storage(&config, files, actions)?;
        let mut voter = Voter {
            config,
            state,
            table: StateTable::default(),
            conf_state: ConfState::default(),
            applied: 0,
            election_seed: rng.rand_u64(),
            rng,
            started_at: now,
            ticked_until: now,
            peers: BTreeMap::new(),
            progress_sent_at: now - PROGRESS_INTERVAL,
            voter_names: BTreeMap::new(),
            lease: Lease::default(),
            replaced_at: BTreeMap::new(),
            voter_added: false,
            was_leader: false,
        };
        if let State::Waiting(storage) = &voter.state
            && storage.is_active()
        {
            voter.start_raft(actions);
        }
        Ok(voter)
    }

    /// How far it has come.
    pub fn stage(&self) -> Stage {
        match &self.state {
            State::Waiting(storage) if storage.identity().is_none() => Stage::Empty,
            State::Waiting(_) => Stage::Founded,
            State::Active(_) => Stage::Active,
            State::Stopped(cause) => Stage::Stopped(cause.clone()),
        }
    }

    /// Whether it leads under a lease that is still valid: nobody else leads at this moment.
    pub fn is_leader(&self, now: TenthMillis) -> bool {
        self.has_leader_role() && self.lease.is_valid(now)
    }

    fn has_leader_role(&self) -> bool {
        matches!(&self.state, State::Active(node) if node.raft.state == StateRole::Leader)
    }

    /// The leader's name, as far as it knows.
    pub fn leader(&self) -> Option<&str> {
        let State::Active(node) = &self.state else {
            return None;
        };
        if node.raft.leader_id == node.raft.id {
            return Some(&self.config.name);
        }
        self.voter_name(node.raft.leader_id)
    }

    /// Raft's term; 0 where it takes no part.
    pub fn term(&self) -> u64 {
        match &self.state {
            State::Active(node) => node.raft.term,
            State::Waiting(_) | State::Stopped(_) => 0,
        }
    }

    /// The replicated state, as far as it is committed here.
    pub fn table(&self) -> &StateTable {
        &self.table
    }

    /// The incarnation of its identity, 0 for a founder's; `None` without an identity.
    pub fn incarnation(&self) -> Option<u64> {
        let identity = match &self.state {
            State::Waiting(storage) => storage.identity(),
            State::Active(node) => node.store().identity(),
            State::Stopped(_) => None,
        };
        identity.map(|identity| identity.incarnation)
    }

    /// Whether it is one of those that vote, by all that it knows.
    pub fn votes(&self) -> bool {
        matches!(&self.state, State::Active(node) if self.is_voter_id(node.raft.id))
    }

    fn is_voter_id(&self, id: u64) -> bool {
        self.conf_state.voters.contains(&id)
    }

    /// When [`Voter::wake`] is to be called at the latest.
    pub fn wake_at(&self) -> TenthMillis {
        self.ticked_until + TICK
    }

    fn voter_name(&self, id: u64) -> Option<&str> {
        let identity = self.table.voter_identity(id);
        identity
            .map(|identity| &identity.name)
            .or(self.voter_names.get(&id))
            .map(String::as_str)
    }

    fn others(&self) -> impl Iterator<Item = &String> {
        let voters = self.config.voters.iter();
        voters.filter(|name| **name != self.config.name)
    }

    /// The disk has failed: it steps down by sending nothing more, and others lead.
    fn stop(&mut self, cause: StorageError, actions: &mut Vec<VoterAction>) {
        let stopped = State::Stopped(cause.to_string());
        actions.push(VoterAction::Log(FleetEvent::SteppedDown { cause }));
        if std::mem::take(&mut self.was_leader) {
            let term = self.term();
            actions.push(VoterAction::Log(FleetEvent::LeadershipLost { term }));
        }
        self.state = stopped;
        self.lease.revoke();
    }

    /// The connection to another voter is established. What was reported before it does not count any more.
    pub fn on_connected(&mut self, peer: &str, actions: &mut Vec<VoterAction>) {
        self.on_disconnected(peer);
        if !matches!(self.state, State::Stopped(_)) {
            actions.push(VoterAction::Send {
                to: peer.to_owned(),
                frame: self.progress_frame(),
            });
        }
    }

    /// The connection to another voter has ended. What was on its way there may be lost.
    pub fn on_disconnected(&mut self, peer: &str) {
        self.peers.remove(peer);
        let State::Active(node) = &mut self.state else {
            return;
        };
        let names = self.voter_names.iter();
        for (id, _) in names.filter(|(_, name)| *name == peer) {
            node.report_unreachable(*id);
            // Else Raft waits for ever for the outcome of a snapshot that was lost with the connection.
            node.report_snapshot(*id, raft::SnapshotStatus::Failure);
        }
    }

    /// Does all that is due. One that was suspended first makes up for the missed time, so that a leader steps down:
    /// it has not heard from its quorum meanwhile.
    pub fn wake(&mut self, now: TenthMillis, actions: &mut Vec<VoterAction>) {
        self.run_clock(now, actions);
        let is_settled = self.stage() == Stage::Active && self.peers.len() == self.others().count();
        if !is_settled && now >= self.progress_sent_at + PROGRESS_INTERVAL {
            self.send_progress(now, actions);
        }
        self.advance_stage(now, actions);
        self.renew_lease(now);
        self.replace_voters(now, actions);
        self.drive(actions);
    }

    /// Handles a frame of another voter.
    pub fn on_frame(
        &mut self,
        now: TenthMillis,
        peer: &str,
        frame: Frame,
        actions: &mut Vec<VoterAction>,
    ) {
        self.run_clock(now, actions);
        match frame {
            Frame::Progress {
                progress,
                incarnation,
                founders,
            } => {
                if founders != founders_digest(&self.config.voters) {
                    let peer = peer.to_owned();
                    actions.push(VoterAction::Log(FleetEvent::OtherFounders { peer }));
                    return;
                }
                let reported = PeerProgress {
                    progress,
                    incarnation,
                };
                self.on_progress(now, peer, reported, actions);
            }
            Frame::Raft(message) => {
                self.remember_name(message.from, peer);
                if let Err(cause) = self.step(now, *message) {
                    let peer = peer.to_owned();
                    actions.push(VoterAction::Log(FleetEvent::MessageRejected {
                        peer,
                        cause,
                    }));
                }
            }
            _ => {}
        }
        self.set_election_timeout();
        self.drive(actions);
    }

    fn remember_name(&mut self, id: u64, name: &str) {
        self.voter_names.insert(id, name.to_owned());
        while self.voter_names.len() > MAX_VOTER_NAMES {
            self.voter_names.pop_first();
        }
    }

    /// Proposes a value for a topic whose number is still `expected_number`. It is committed, or lost where another
    /// value was first or the leader has changed: what counts is [`VoterAction::Committed`].
    ///
    /// # Errors
    /// This process does not lead, the value is too long, or too much waits to be committed.
    pub fn propose(
        &mut self,
        now: TenthMillis,
        topic: &str,
        expected_number: u64,
        value: Vec<u8>,
        actions: &mut Vec<VoterAction>,
    ) -> Result<(), ProposeError> {
        let write = ConditionalWrite {
            topic: topic.to_owned(),
            expected_number,
            value,
        };
        ensure!(write.has_valid_lengths(), TooLongSnafu);
        ensure!(self.is_leader(now), NotLeaderSnafu);
        let State::Active(node) = &mut self.state else {
            return NotLeaderSnafu.fail();
        };
        let mut encoder = Encoder::new();
        write.encode(&mut encoder);
        node.propose(Vec::new(), encoder.into_bytes())
            .context(RefusedSnafu)?;
        self.drive(actions);
        Ok(())
    }
}

fn open_storage<F: Files>(
    config: &VoterConfig,
    files: F,
    actions: &mut Vec<VoterAction>,
) -> Result<State<F>, OpenError> {
    let (storage, torn_tail) = match VoterStorage::open(files) {
        Ok(opened) => opened,
        Err(StorageError::Log {
            source: cause @ LogError::Disk { .. },
        }) => return Ok(State::Stopped(cause.to_string())),
        Err(source) => return Err(OpenError::OpenStorage { source }),
    };
    let truncated = torn_tail.map(FleetEvent::TornTailTruncated);
    actions.extend(truncated.map(VoterAction::Log));
    let owner = storage.identity().map(|identity| &identity.name);
    if let Some(owner) = owner.filter(|owner| **owner != config.name) {
        return Err(OpenError::ForeignFolder {
            owner: owner.clone(),
            local: config.name.clone(),
        });
    }
    Ok(State::Waiting(Box::new(storage)))
}
