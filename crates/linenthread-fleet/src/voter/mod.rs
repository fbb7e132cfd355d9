//! One voter of the replicated state: founding of the fleet, participation in Raft, and return with a new disk.
//!
//! | stage | meaning | next stage when |
//! | --- | --- | --- |
//! | empty | no identity on its disk | all others report empty or founded: founded; or one reports active: active, under a new identity |
//! | founded | a founder's identity, not yet used | all others report founded, or one reports active: active |
//! | active | participates in Raft | |
//! | stopped | its disk has failed | it is opened again |
//!
//! So a fleet is founded only by all its voters together. A voter with an empty disk in an existing fleet never becomes
//! a founder: it gets an identity that has never voted. The leader replaces the former identity with the new one, one
//! change of voters at a time.
//!
//! Modules: `inputs` has the entry points for the caller, `founding` the transitions between stages, `startup` the
//! start of Raft, `clock` its ticks and `ready` the handling of its output, `message_check` the validation of peers'
//! messages, `lease` the leader's lease, and `reconfiguration` the replacement of identities.

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
    /// The voters' ids as of the last applied entry.
    conf_state: ConfState,
    /// Index of the last entry applied to the table.
    applied: u64,
    rng: Rand64,
    /// Seed of its election timeouts.
    election_seed: u64,
    /// When it was opened, or when it became active if that was later.
    started_at: TenthMillis,
    /// The time up to which Raft's clock has advanced.
    ticked_until: TenthMillis,
    /// The progress that other voters have reported, by name.
    peers: BTreeMap<String, PeerProgress>,
    progress_sent_at: TenthMillis,
    /// Voters' names by id, as learned from their messages.
    voter_names: BTreeMap<RaftId, String>,
    lease: Lease,
    /// When this voter, as the leader, last proposed to add a new identity, by voter name.
    replaced_at: BTreeMap<String, TenthMillis>,
    /// A voter was added: the log must be compacted, so that the snapshot from which the new voter starts contains it.
    voter_added: bool,
    /// Whether it was the leader when leadership was last checked for the log.
    was_leader: bool,
}

impl<F: Files> Voter<F> {
    /// Opens a voter with this disk. If the disk fails, the voter is in stage [`Stage::Stopped`].
    ///
    /// # Errors
    /// The configuration is invalid, or the stored state is damaged, of another version, or another voter's.
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
        // A voter that has participated in Raft under this identity resumes without waiting for the others' reports.
        let has_participated = voter.state.storage().is_some_and(VoterStorage::is_active);
        if has_participated {
            voter.start_raft(actions);
        }
        Ok(voter)
    }

    /// Returns its stage.
    pub fn stage(&self) -> Stage {
        self.state.stage()
    }

    /// Reports whether it is the leader and its lease, which excludes any other leader, is valid at `now`.
    pub fn is_leader(&self, now: TenthMillis) -> bool {
        self.has_leader_role() && self.lease.is_valid(now)
    }

    fn has_leader_role(&self) -> bool {
        matches!(&self.state, State::Active(node) if node.raft.state == StateRole::Leader)
    }

    /// Returns the leader's name, if it is active and knows one.
    pub fn leader(&self) -> Option<&str> {
        let State::Active(node) = &self.state else {
            return None;
        };
        if node.raft.leader_id == node.raft.id {
            return Some(&self.config.name);
        }
        self.voter_name(node.raft.leader_id)
    }

    /// Returns Raft's term; [`Term::NONE`] if it is not active.
    pub fn term(&self) -> Term {
        match &self.state {
            State::Active(node) => Term(node.raft.term),
            State::Empty(_) | State::Founded(_) | State::Stopped(_) => Term::NONE,
        }
    }

    /// Returns the replicated state after the entries that it has applied.
    pub fn table(&self) -> &StateTable {
        &self.table
    }

    /// Returns the incarnation of its identity; `None` if it has no identity, or its disk has failed.
    pub fn incarnation(&self) -> Option<VoterIncarnation> {
        let identity = self.state.storage()?.identity();
        identity.map(|identity| identity.incarnation)
    }

    /// Reports whether its identity is among the voters, as far as it has applied the log.
    pub fn is_voting_member(&self) -> bool {
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

    /// Stops after a failure of the disk. It sends nothing more, so that another voter can become the leader.
    fn stop(&mut self, cause: StorageError, actions: &mut Vec<VoterAction>) {
        let stopped = State::Stopped(cause.to_string());
        actions.push(VoterAction::Log(FleetEvent::VoterStopped { cause }));
        if std::mem::take(&mut self.was_leader) {
            let term = self.term();
            actions.push(VoterAction::Log(FleetEvent::LeadershipLost { term }));
        }
        self.state = stopped;
        self.lease.revoke();
    }
}

/// Opens the storage. If the disk fails, the voter is stopped and may be opened again later. If the contents are
/// damaged or were written by another voter, it must not be opened at all.
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
        return Err(OpenError::ForeignDirectory {
            owner: owner.clone(),
            local: config.name.clone(),
        });
    }
    Ok(State::opened(storage))
}
