//! How voters come to take part: as founders together, or under a new identity beside an existing fleet.

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

/// Set in each drawn incarnation, so that none is a founder's.
const DRAWN_INCARNATION: u64 = 1 << 63;
/// Founders begin as if they had committed one entry in this term: who votes.
const FOUNDING_TERM: u64 = 1;
const FOUNDING_INDEX: u64 = 1;

/// How a voter gets to its next stage.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Transition {
    /// It draws a new identity and takes part.
    Join,
    /// It becomes a founder.
    Found,
    /// It takes part under the identity that it has.
    Activate,
}

impl<F: Files> Voter<F> {
    /// What this voter reports to the others.
    pub(super) fn progress_frame(&self) -> Frame {
        let progress = match &self.state {
            State::Empty(_) => Progress::Empty,
            State::Founded(_) => Progress::Founded,
            State::Active(_) => Progress::Active,
            // Not empty: what is on a disk that fails may be all there is of what was committed.
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

    /// Another voter has reported its progress.
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

    /// Goes on to the next stage where what all others report allows it.
    pub(super) fn advance_stage(&mut self, now: TenthMillis, actions: &mut Vec<VoterAction>) {
        let Some(transition) = self.next_transition() else {
            return;
        };
        let result = match transition {
            Transition::Join => self.join(actions),
            Transition::Found => self.found(actions),
            Transition::Activate => self.activate(),
        };
        if let Err(cause) = result {
            return self.stop(cause, actions);
        }
        if transition != Transition::Found {
            // What it promised before a restart is on its disk. What a former identity promised is not, and does
            // not count.
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
                .then_some(Transition::Found),
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

    /// Whether every other voter reports one of these, over a connection that it has now.
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

    /// *new-disk-new-identity*: beside an existing fleet an empty disk gets an identity that has never voted.
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

    /// Becomes a founder. It takes part in Raft only once all others are founders too: so an empty disk beside an
    /// active voter is always one that was lost, never one that is still to be founded.
    fn found(&mut self, actions: &mut Vec<VoterAction>) -> Result<(), StorageError> {
        let Some(mut storage) = self.state.take_waiting_storage() else {
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

/// What all founders begin with: they alone vote. It is the same at each of them, byte by byte.
fn founding_snapshot(voters: &[String]) -> Snapshot {
    let mut table = StateTable::default();
    for name in voters {
        table.admit(&VoterIdentity::founder(name.clone()));
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
