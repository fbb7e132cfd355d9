//! How voters come to take part: as founders together, or under a new identity beside an existing fleet.

use linenthread_core::interface::TenthMillis;
use linenthread_store::Files;
use raft::eraftpb::{HardState, Snapshot};

use super::{PeerProgress, State, Voter, VoterAction, founders_digest};
use crate::error::StorageError;
use crate::event::FleetEvent;
use crate::frame::{Frame, Progress};
use crate::state_table::{StateTable, VoterIdentity};

/// Set in each drawn incarnation, so that none is a founder's.
const DRAWN_INCARNATION: u64 = 1 << 63;
/// Founders begin as if they had committed one entry in this term: who votes.
const FOUNDING_TERM: u64 = 1;
const FOUNDING_INDEX: u64 = 1;

/// What a waiting voter does next.
enum Step {
    /// It draws a new identity and takes part.
    Join,
    /// It becomes a founder.
    Found,
    /// It takes part under the identity that it has.
    Activate,
}

impl<F: Files> Voter<F> {
    /// What the others are told of this voter.
    pub(super) fn progress_frame(&self) -> Frame {
        let (progress, incarnation) = match &self.state {
            State::Waiting(storage) if storage.identity().is_none() => (Progress::Empty, 0),
            State::Waiting(storage) => (Progress::Founded, storage.incarnation()),
            State::Active(node) => (Progress::Active, node.store().incarnation()),
            // Not empty: what is on a disk that fails may be all there is of what was committed.
            State::Stopped(_) => (Progress::Stopped, 0),
        };
        Frame::Progress {
            progress,
            incarnation,
            founders: founders_digest(&self.config.voters),
        }
    }

    pub(super) fn send_progress(&mut self, now: TenthMillis, actions: &mut Vec<VoterAction>) {
        self.progress_sent_at = now;
        if matches!(self.state, State::Stopped(_)) {
            return;
        }
        let frame = self.progress_frame();
        actions.extend(self.others().map(|name| VoterAction::Send {
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
        let Some(step) = self.next_step() else {
            return;
        };
        let result = match step {
            Step::Join => self.join(actions),
            Step::Found => self.found(actions),
            Step::Activate => self.activate(),
        };
        if let Err(cause) = result {
            return self.stop(cause, actions);
        }
        if !matches!(step, Step::Found) {
            // What it promised before a restart is on its disk. What a former identity promised is not, and does
            // not count.
            self.started_at = now;
            self.start_raft(actions);
        }
        self.send_progress(now, actions);
    }

    fn next_step(&self) -> Option<Step> {
        let State::Waiting(storage) = &self.state else {
            return None;
        };
        let progress = |name| self.peers.get(name).map(|peer| peer.progress);
        let another_is_active = self
            .others()
            .any(|name| progress(name) == Some(Progress::Active));
        let all_are = |allowed: &[Progress]| {
            let is_allowed = |progress: Progress| allowed.contains(&progress);
            self.others()
                .all(|name| progress(name).is_some_and(is_allowed))
        };
        if storage.identity().is_none() {
            if another_is_active {
                Some(Step::Join)
            } else {
                all_are(&[Progress::Empty, Progress::Founded]).then_some(Step::Found)
            }
        } else {
            let may_activate = another_is_active || all_are(&[Progress::Founded]);
            may_activate.then_some(Step::Activate)
        }
    }

    /// *former-self*: beside an existing fleet an empty disk gets an identity that has never voted.
    fn join(&mut self, actions: &mut Vec<VoterAction>) -> Result<(), StorageError> {
        let State::Waiting(storage) = &mut self.state else {
            return Ok(());
        };
        let incarnation = self.rng.rand_u64() | DRAWN_INCARNATION;
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

    /// Becomes a founder.
    fn found(&mut self, actions: &mut Vec<VoterAction>) -> Result<(), StorageError> {
        let State::Waiting(storage) = &mut self.state else {
            return Ok(());
        };
        let mut table = StateTable::default();
        for name in &self.config.voters {
            table.admit(&VoterIdentity::founder(name.clone()));
        }
        let mut snapshot = Snapshot {
            data: table.encode().into(),
            ..Snapshot::default()
        };
        let metadata = snapshot.mut_metadata();
        (metadata.index, metadata.term) = (FOUNDING_INDEX, FOUNDING_TERM);
        metadata.mut_conf_state().voters = table.voter_ids().collect();
        let hard_state = HardState {
            term: FOUNDING_TERM,
            commit: FOUNDING_INDEX,
            ..HardState::default()
        };
        actions.push(VoterAction::Log(FleetEvent::Founded));
        let identity = VoterIdentity::founder(self.config.name.clone());
        storage.initialize(identity, snapshot, hard_state)
    }

    fn activate(&mut self) -> Result<(), StorageError> {
        match &mut self.state {
            State::Waiting(storage) => storage.activate(),
            State::Active(_) | State::Stopped(_) => Ok(()),
        }
    }
}
