//! The stages of a voter.

use linenthread_store::Files;
use raft::RawNode;

use crate::frame::Progress;
use crate::identifiers::VoterIncarnation;
use crate::storage::VoterStorage;

/// Stage of a voter.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// Its disk is empty.
    Empty,
    /// It is a founder and does not participate in Raft yet.
    Founded,
    /// It participates in Raft.
    Active,
    /// Its disk has failed, with this cause.
    Stopped(String),
}

/// A voter's stage, with its storage.
pub(super) enum State<F: Files> {
    /// The disk holds no identity.
    Empty(Box<VoterStorage<F>>),
    /// The disk holds an identity that has not participated in Raft yet.
    Founded(Box<VoterStorage<F>>),
    /// Raft owns the storage.
    Active(Box<RawNode<VoterStorage<F>>>),
    /// The disk has failed, with this cause: nothing is sent any more.
    Stopped(String),
}

impl<F: Files> State<F> {
    /// Returns the state of a voter whose storage was just opened, before it participates in Raft.
    pub(super) fn opened(storage: VoterStorage<F>) -> State<F> {
        let storage = Box::new(storage);
        match storage.identity() {
            None => State::Empty(storage),
            Some(_) => State::Founded(storage),
        }
    }

    pub(super) fn stage(&self) -> Stage {
        match self {
            State::Empty(_) => Stage::Empty,
            State::Founded(_) => Stage::Founded,
            State::Active(_) => Stage::Active,
            State::Stopped(cause) => Stage::Stopped(cause.clone()),
        }
    }

    /// Takes the storage of a voter that does not participate in Raft yet, for its next state. Until that is set, the
    /// voter is in stage [`Stage::Stopped`].
    pub(super) fn take_inactive_storage(&mut self) -> Option<Box<VoterStorage<F>>> {
        match std::mem::replace(self, State::Stopped("it begins".into())) {
            State::Empty(storage) | State::Founded(storage) => Some(storage),
            other @ (State::Active(_) | State::Stopped(_)) => {
                *self = other;
                None
            }
        }
    }

    /// Returns the storage, unless the disk has failed.
    pub(super) fn storage(&self) -> Option<&VoterStorage<F>> {
        match self {
            State::Empty(storage) | State::Founded(storage) => Some(storage),
            State::Active(node) => Some(node.store()),
            State::Stopped(_) => None,
        }
    }
}

/// The progress that another voter has reported over its current connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PeerProgress {
    pub(super) progress: Progress,
    pub(super) incarnation: VoterIncarnation,
}
