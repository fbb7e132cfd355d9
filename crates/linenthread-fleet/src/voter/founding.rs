//! Transitions to participation in Raft: all voters together as founders, or one voter under a new identity in an
//! existing fleet.

use linenthread_core::interface::TenthMillis;
use linenthread_store::Files;
use raft::eraftpb::{HardState, Snapshot};

use super::stage::{PeerProgress, State};
use super::{Voter, VoterAction};
use crate::error::StorageError;
use crate::event::FleetEvent;
use crate::frame::{Frame, Progress};
use crate::identifiers::VoterIncarnation;
use crate::state_table::StateTable;
use crate::storage::VoterStorage;
use crate::voter_identity::{VoterIdentity, founders_digest};

/// Bit that is set in each drawn incarnation, so that none equals a founder's.
const DRAWN_INCARNATION: u64 = 1 << 63;
/// Founders start as if they had committed one entry, the list of voters, in this term.
const FOUNDING_TERM: u64 = 1;
const FOUNDING_INDEX: u64 = 1;

/// Transition to a voter's next stage.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Transition {
    /// It draws a new identity and participates in Raft.
    Join,
    /// It becomes a founder.
    BecomeFounder,
    /// It participates in Raft under its identity.
    Activate,
}

impl<F: Files> Voter<F> {
    /// Builds the progress report for the other voters.
    pub(super) fn progress_frame(&self) -> Frame {
        let progress = match &self.state {
            State::Empty(_) => Progress::Empty,
            State::Founded(_) => Progress::Founded,
            State::Active(_) => Progress::Active,
            // Not reported as empty: a failed disk may hold the only copy of committed entries.
            State::Stopped(_) => Progress::Stopped,
        };
        let storage = self.state.storage();
        let incarnation = storage.map(VoterStorage::incarnation);
        Frame::Progress {
            progress,
            incarnation: incarnation.unwrap_or(VoterIncarnation::FOUNDER),
            founders: founders_digest(&self.config.voters),
        }
    }

    pub(super) fn send_progress(&mut self, now: TenthMillis, actions: &mut Vec<VoterAction>) {
        self.progress_sent_at = now;
        if matches!(self.state, State::Stopped(_)) {
            return;
        }
        let frame = self.progress_frame();
        actions.extend(self.config.others().map(|name| VoterAction::Send {
            to: name.clone(),
            frame: frame.clone(),
        }));
    }

    /// Handles another voter's progress report.
    pub(super) fn on_progress(
        &mut self,
        now: TenthMillis,
        peer: &str,
        reported: PeerProgress,
        actions: &mut Vec<VoterAction>,
    ) {
        let before = self.peers.insert(peer.to_owned(), reported);
        self.voter_names.retain(|_, name| name != peer);
        let identity = VoterIdentity {
            name: peer.to_owned(),
            incarnation: reported.incarnation,
        };
        self.voter_names.insert(identity.id(), identity.name);
        if before != Some(reported) {
            actions.push(VoterAction::Send {
                to: peer.to_owned(),
                frame: self.progress_frame(),
            });
        }
        self.advance_stage(now, actions);
        self.replace_voters(now, actions);
    }

    /// Advances to the next stage if the other voters' reports allow it.
    pub(super) fn advance_stage(&mut self, now: TenthMillis, actions: &mut Vec<VoterAction>) {
        let Some(transition) = self.next_transition() else {
            return;
        };
        let result = match transition {
            Transition::Join => self.join(actions),
            Transition::BecomeFounder => self.become_founder(actions),
            Transition::Activate => self.activate(),
        };
        if let Err(cause) = result {
            return self.stop(cause, actions);
        }
        if transition != Transition::BecomeFounder {
            // It may vote from now on: votes of this identity before a restart are on its disk, and those of a former
            // identity do not count.
            self.started_at = now;
            self.start_raft(actions);
        }
        self.send_progress(now, actions);
    }

    fn next_transition(&self) -> Option<Transition> {
        let another_is_active = self.another_reports(Progress::Active);
        match &self.state {
            State::Empty(_) if another_is_active => Some(Transition::Join),
            State::Empty(_) => self
                .all_others_report(&[Progress::Empty, Progress::Founded])
                .then_some(Transition::BecomeFounder),
            State::Founded(_) => (another_is_active
                || self.all_others_report(&[Progress::Founded]))
            .then_some(Transition::Activate),
            State::Active(_) | State::Stopped(_) => None,
        }
    }

    fn another_reports(&self, progress: Progress) -> bool {
        let mut others = self.config.others();
        others.any(|name| self.reported_progress(name) == Some(progress))
    }

    /// Reports whether every other voter has reported one of these values over its current connection.
    fn all_others_report(&self, allowed: &[Progress]) -> bool {
        let mut others = self.config.others();
        others.all(|name| {
            let progress = self.reported_progress(name);
            progress.is_some_and(|progress| allowed.contains(&progress))
        })
    }

    fn reported_progress(&self, voter: &str) -> Option<Progress> {
        self.peers.get(voter).map(|peer| peer.progress)
    }

    /// Joins an existing fleet with an empty disk, under an identity that has never voted (*new-disk-new-identity*).
    fn join(&mut self, actions: &mut Vec<VoterAction>) -> Result<(), StorageError> {
        let State::Empty(storage) = &mut self.state else {
            return Ok(());
        };
        let incarnation = VoterIncarnation(self.rng.rand_u64() | DRAWN_INCARNATION);
        actions.push(VoterAction::Log(FleetEvent::IdentityReplaced {
            incarnation,
        }));
        let identity = VoterIdentity {
            name: self.config.name.clone(),
            incarnation,
        };
        storage.initialize(identity, Snapshot::default(), HardState::default())?;
        storage.activate()
    }

    /// Becomes a founder. It participates in Raft only once all other voters are founders too, so that an empty disk
    /// while another voter is active always means a lost disk, never a voter that is yet to become a founder.
    fn become_founder(&mut self, actions: &mut Vec<VoterAction>) -> Result<(), StorageError> {
        let Some(mut storage) = self.state.take_inactive_storage() else {
            return Ok(());
        };
        actions.push(VoterAction::Log(FleetEvent::Founded));
        let identity = VoterIdentity::founder(self.config.name.clone());
        let hard_state = HardState {
            term: FOUNDING_TERM,
            commit: FOUNDING_INDEX,
            ..HardState::default()
        };
        storage.initialize(identity, founding_snapshot(&self.config.voters), hard_state)?;
        self.state = State::Founded(storage);
        Ok(())
    }

    fn activate(&mut self) -> Result<(), StorageError> {
        match &mut self.state {
            State::Founded(storage) => storage.activate(),
            State::Empty(_) | State::Active(_) | State::Stopped(_) => Ok(()),
        }
    }
}

/// Returns the snapshot from which all founders start, with the founders as the voters. Its bytes are the same at each
/// founder.
fn founding_snapshot(voters: &[String]) -> Snapshot {
    let mut table = StateTable::default();
    for name in voters {
        table.add_voter_identity(&VoterIdentity::founder(name.clone()));
    }
    let mut snapshot = Snapshot {
        data: table.encode().into(),
        ..Snapshot::default()
    };
    let metadata = snapshot.mut_metadata();
    (metadata.index, metadata.term) = (FOUNDING_INDEX, FOUNDING_TERM);
    metadata.mut_conf_state().voters = table.voter_ids().collect();
    snapshot
}
