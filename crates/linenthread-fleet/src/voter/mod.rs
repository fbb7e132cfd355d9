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
//!
//! Where to read what: `founding` goes through the stages, `startup` hands the disk to Raft, `clock` and `ready` drive
//! it, `message_check` stands before it, `lease` proves who leads, `reconfiguration` replaces identities, and `inputs`
//! is what the caller calls.

mod action;
mod clock;
mod founding;
mod inputs;
mod lease;
mod message_check;
mod ready;
mod reconfiguration;
mod stage;
mod startup;

use std::collections::BTreeMap;

use linenthread_core::interface::TenthMillis;
use linenthread_store::{Files, LogError};
use oorandom::Rand64;
use raft::StateRole;
use raft::eraftpb::ConfState;

use crate::config::VoterConfig;
use crate::error::{OpenError, StorageError};
use crate::event::FleetEvent;
use crate::identifiers::{Term, VoterIncarnation};
use crate::state_table::StateTable;
use crate::storage::{OpenedStorage, VoterStorage};
use crate::voter_identity::RaftId;
pub use action::VoterAction;
use inputs::PROGRESS_INTERVAL;
use lease::Lease;
pub use stage::Stage;
use stage::{PeerProgress, State};

/// One voter, a state machine without I/O or clock.
pub struct Voter<F: Files> {
    config: VoterConfig,
    state: State<F>,
    /// The replicated state.
    table: StateTable,
    /// Who votes, as of the last entry that was applied.
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
    /// What other voters have reported, by name.
    peers: BTreeMap<String, PeerProgress>,
    progress_sent_at: TenthMillis,
    /// The voters' names by their ids, as far as messages have shown.
    voter_names: BTreeMap<RaftId, String>,
    lease: Lease,
    /// When this leader last added a new identity of a voter.
    replaced_at: BTreeMap<String, TenthMillis>,
    /// A voter was added: the snapshot that it begins from must name it.
    voter_added: bool,
    /// Whether it led when that was last noted in the log.
    was_leader: bool,
}

impl<F: Files> Voter<F> {
    /// Opens what is on its disk. A disk that fails gives a voter that has stopped.
    ///
    /// # Errors
    /// The configuration is invalid, or what was written is damaged, of another version, or another voter's.
    pub fn new(
        config: VoterConfig,
        files: F,
        now: TenthMillis,
        actions: &mut Vec<VoterAction>,
    ) -> Result<Voter<F>, OpenError> {
        config.validate()?;
        let mut rng = Rand64::new(u128::from(config.seed));
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
        // It has promised something under this identity: it goes on without asking the others.
        let has_taken_part = voter.state.storage().is_some_and(VoterStorage::is_active);
        if has_taken_part {
            voter.start_raft(actions);
        }
        Ok(voter)
    }

    /// How far it has come.
    pub fn stage(&self) -> Stage {
        self.state.stage()
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

    /// Raft's term; [`Term::NONE`] where it takes no part.
    pub fn term(&self) -> Term {
        match &self.state {
            State::Active(node) => Term(node.raft.term),
            State::Empty(_) | State::Founded(_) | State::Stopped(_) => Term::NONE,
        }
    }

    /// The replicated state, as far as it is committed here.
    pub fn table(&self) -> &StateTable {
        &self.table
    }

    /// The incarnation of its identity; `None` without an identity.
    pub fn incarnation(&self) -> Option<VoterIncarnation> {
        let identity = self.state.storage()?.identity();
        identity.map(|identity| identity.incarnation)
    }

    /// Whether it is one of those that vote, by all that it knows.
    pub fn votes(&self) -> bool {
        matches!(&self.state, State::Active(node) if self.is_voter_id(node.raft.id))
    }

    fn is_voter_id(&self, id: RaftId) -> bool {
        self.conf_state.voters.contains(&id)
    }

    fn voter_name(&self, id: RaftId) -> Option<&str> {
        let identity = self.table.voter_identity(id);
        identity
            .map(|identity| &identity.name)
            .or(self.voter_names.get(&id))
            .map(String::as_str)
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
}

/// Opens the disk. A voter whose disk fails right now is stopped and may be opened again; one whose disk holds what no
/// voter of this name has written must not be opened at all.
fn open_storage<F: Files>(
    config: &VoterConfig,
    files: F,
    actions: &mut Vec<VoterAction>,
) -> Result<State<F>, OpenError> {
    let OpenedStorage { storage, torn_tail } = match VoterStorage::open(files) {
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
    Ok(State::opened(storage))
}
