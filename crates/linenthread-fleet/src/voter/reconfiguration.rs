//! Changes of the voters: the leader replaces a voter's former identity with its new one.

use linenthread_core::interface::TenthMillis;
use linenthread_frames::{DecodeError, Decoder, Encoder};
use linenthread_store::Files;
use raft::eraftpb::{ConfChange, ConfChangeType, Entry};

use super::stage::State;
use super::{Voter, VoterAction};
use crate::event::{FleetEvent, VoterChange, VoterChangeKind};
use crate::frame::Progress;
use crate::identifiers::VoterIncarnation;
use crate::voter_identity::VoterIdentity;

/// Minimum time between two replacements of a voter's identity.
const REPLACE_INTERVAL: TenthMillis = 50_000;

/// Codes of the kinds of changes in an entry's context.
const ADD: u8 = 1;
const REMOVE: u8 = 2;

/// A change of the voters, as encoded in an entry's context.
struct IdentityChange {
    kind: VoterChangeKind,
    identity: VoterIdentity,
}

impl IdentityChange {
    fn encode(&self) -> Vec<u8> {
        let mut encoder = Encoder::new();
        encoder.u8(match self.kind {
            VoterChangeKind::Add => ADD,
            VoterChangeKind::Remove => REMOVE,
        });
        self.identity.encode(&mut encoder);
        encoder.into_bytes()
    }

    fn decode(context: &[u8]) -> Result<IdentityChange, DecodeError> {
        let mut decoder = Decoder::new(context);
        let kind = match decoder.u8()? {
            ADD => VoterChangeKind::Add,
            _ => VoterChangeKind::Remove,
        };
        let identity = VoterIdentity::decode(&mut decoder)?;
        Ok(IdentityChange { kind, identity })
    }

    fn conf_change(&self) -> ConfChange {
        let change_type = match self.kind {
            VoterChangeKind::Add => ConfChangeType::AddNode,
            VoterChangeKind::Remove => ConfChangeType::RemoveNode,
        };
        ConfChange {
            change_type,
            node_id: self.identity.id(),
            ..ConfChange::default()
        }
    }

    /// Returns the change in the form in which it is logged.
    fn voter_change(&self) -> VoterChange {
        VoterChange {
            name: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            kind: self.kind,
        }
    }
}

impl<F: Files> Voter<F> {
    /// As the leader, proposes the next change if a voter is active under a new identity: first the removal of the
    /// former identity, which no longer responds, then the addition of the new one. Only one change is pending at a
    /// time.
    pub(super) fn replace_voters(&mut self, now: TenthMillis, actions: &mut Vec<VoterAction>) {
        if !self.is_leader(now) {
            return;
        }
        let Some(change) = self.next_change(now) else {
            return;
        };
        let State::Active(node) = &mut self.state else {
            return;
        };
        if node.raft.has_pending_conf() {
            return;
        }
        let proposed = node.propose_conf_change(change.encode(), change.conf_change());
        if proposed.is_err() {
            return;
        }
        if change.kind == VoterChangeKind::Add {
            let name = change.identity.name.clone();
            self.replaced_at.insert(name, now);
        }
        actions.push(VoterAction::Log(FleetEvent::VoterChangeProposed(
            change.voter_change(),
        )));
    }

    fn next_change(&self, now: TenthMillis) -> Option<IdentityChange> {
        let identity = self.new_identity(now)?;
        let mut known = self.table.voter_identities();
        let former =
            known.find(|known| known.name == identity.name && self.is_voter_id(known.id()));
        Some(match former {
            Some(former) => IdentityChange {
                kind: VoterChangeKind::Remove,
                identity: former.clone(),
            },
            None => IdentityChange {
                kind: VoterChangeKind::Add,
                identity,
            },
        })
    }

    /// Returns the new identity of the first voter, by name, that is active under an identity which does not vote yet.
    fn new_identity(&self, now: TenthMillis) -> Option<VoterIdentity> {
        let peers = self.peers.iter();
        let candidates = peers.filter(|(name, peer)| {
            peer.progress == Progress::Active
                && peer.incarnation != VoterIncarnation::FOUNDER
                && self.config.voters.contains(name)
                && !self.was_recently_replaced(name, now)
        });
        let mut identities = candidates.map(|(name, peer)| VoterIdentity {
            name: name.clone(),
            incarnation: peer.incarnation,
        });
        identities.find(|identity| !self.is_voter_id(identity.id()))
    }

    fn was_recently_replaced(&self, name: &str, now: TenthMillis) -> bool {
        let replaced_at = self.replaced_at.get(name);
        replaced_at.is_some_and(|at| now < at + REPLACE_INTERVAL)
    }

    /// Applies a committed change of the voters.
    pub(super) fn apply_change(&mut self, entry: &Entry, actions: &mut Vec<VoterAction>) {
        let Ok(change) = IdentityChange::decode(&entry.context) else {
            return;
        };
        if let State::Active(node) = &mut self.state
            && let Ok(conf_state) = node.apply_conf_change(&change.conf_change())
        {
            self.conf_state = conf_state;
        }
        if change.kind == VoterChangeKind::Add {
            self.table.add_voter_identity(&change.identity);
            self.voter_added = true;
        }
        actions.push(VoterAction::Log(FleetEvent::VoterChanged(
            change.voter_change(),
        )));
    }
}
