//! How far a voter has come.

use linenthread_store::Files;
use raft::RawNode;

use crate::frame::Progress;
use crate::identifiers::VoterIncarnation;
use crate::storage::VoterStorage;

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

/// A voter's stage, with what belongs to it.
pub(super) enum State<F: Files> {
    /// There is no identity on the disk.
    Empty(Box<VoterStorage<F>>),
    /// There is an identity on the disk that has not taken part in Raft yet.
    Founded(Box<VoterStorage<F>>),
    /// Raft owns the disk.
    Active(Box<RawNode<VoterStorage<F>>>),
    /// The disk has failed: nothing is sent any more.
    Stopped(String),
}

impl<F: Files> State<F> {
    /// The state of a voter whose disk was opened, before it takes part.
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

    /// Takes the disk of a voter that does not take part in Raft yet, for its next state. Until that is set the voter
    /// counts as stopped.
    pub(super) fn take_waiting_storage(&mut self) -> Option<Box<VoterStorage<F>>> {
        match std::mem::replace(self, State::Stopped("it begins".into())) {
            State::Empty(storage) | State::Founded(storage) => Some(storage),
            other @ (State::Active(_) | State::Stopped(_)) => {
                *self = other;
                None
            }
        }
    }

    /// The disk, unless it has failed.
    pub(super) fn storage(&self) -> Option<&VoterStorage<F>> {
        match self {
            State::Empty(storage) | State::Founded(storage) => Some(storage),
            State::Active(node) => Some(node.store()),
            State::Stopped(_) => None,
        }
    }
}

/// What another voter has reported over the connection that it has now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PeerProgress {
    pub(super) progress: Progress,
    pub(super) incarnation: VoterIncarnation,
}
