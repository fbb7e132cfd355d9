//! A voter's inputs: connections, frames, the time and proposals.

use linenthread_core::interface::TenthMillis;
use linenthread_frames::Encoder;
use linenthread_store::Files;
use raft::SnapshotStatus;
use raft::eraftpb::Message;
use snafu::{ResultExt, ensure};

use super::stage::{PeerProgress, State};
use super::{Voter, VoterAction};
use crate::error::{NotLeaderSnafu, ProposeError, RefusedSnafu, TooLongSnafu};
use crate::event::FleetEvent;
use crate::frame::Frame;
use crate::state_table::ConditionalWrite;
use crate::voter_identity::{RaftId, founders_digest};

/// Interval at which a voter reports its progress until it is active and every other voter has reported.
pub(super) const PROGRESS_INTERVAL: TenthMillis = 2_500;
/// Maximum number of ids whose voters' names are kept.
const MAX_VOTER_NAMES: usize = 64;

impl<F: Files> Voter<F> {
    /// Handles an established connection to another voter. Progress that the voter reported earlier is discarded.
    pub fn on_connected(&mut self, peer: &str, actions: &mut Vec<VoterAction>) {
        self.on_disconnected(peer);
        if !matches!(self.state, State::Stopped(_)) {
            actions.push(VoterAction::Send {
                to: peer.to_owned(),
                frame: self.progress_frame(),
            });
        }
    }

    /// Handles the end of the connection to another voter. Frames in flight may have been lost.
    pub fn on_disconnected(&mut self, peer: &str) {
        self.peers.remove(peer);
        let State::Active(node) = &mut self.state else {
            return;
        };
        let names = self.voter_names.iter();
        for (id, _) in names.filter(|(_, name)| *name == peer) {
            node.report_unreachable(*id);
            // Otherwise Raft waits forever for the outcome of a snapshot that was lost with the connection.
            node.report_snapshot(*id, SnapshotStatus::Failure);
        }
    }

    /// Performs everything that is due. After a suspension, Raft's clock first catches up, so that a leader steps down:
    /// it has received nothing from its quorum meanwhile.
    pub fn wake(&mut self, now: TenthMillis, actions: &mut Vec<VoterAction>) {
        self.run_clock(now, actions);
        if !self.has_exchanged_progress() && now >= self.progress_sent_at + PROGRESS_INTERVAL {
            self.send_progress(now, actions);
        }
        self.advance_stage(now, actions);
        self.renew_lease(now);
        self.replace_voters(now, actions);
        self.drive(actions);
    }

    /// Reports whether it is active and every other voter has reported its progress, so that it need not repeat its
    /// own.
    fn has_exchanged_progress(&self) -> bool {
        let others = self.config.others().count();
        matches!(self.state, State::Active(_)) && self.peers.len() == others
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
            } if founders == founders_digest(&self.config.voters) => {
                let reported = PeerProgress {
                    progress,
                    incarnation,
                };
                self.on_progress(now, peer, reported, actions);
            }
            Frame::Progress { .. } => {
                let peer = peer.to_owned();
                actions.push(VoterAction::Log(FleetEvent::FoundersMismatch { peer }));
                return;
            }
            Frame::Raft(message) => self.on_raft_message(now, peer, *message, actions),
            _ => {}
        }
        self.set_election_timeout();
        self.drive(actions);
    }

    fn on_raft_message(
        &mut self,
        now: TenthMillis,
        peer: &str,
        message: Message,
        actions: &mut Vec<VoterAction>,
    ) {
        self.record_name(message.from, peer);
        if let Err(cause) = self.step(now, message) {
            let peer = peer.to_owned();
            actions.push(VoterAction::Log(FleetEvent::MessageRejected {
                peer,
                cause,
            }));
        }
    }

    fn record_name(&mut self, id: RaftId, name: &str) {
        self.voter_names.insert(id, name.to_owned());
        while self.voter_names.len() > MAX_VOTER_NAMES {
            self.voter_names.pop_first();
        }
    }

    /// Proposes a write. [`VoterAction::Committed`] reports that it was committed; it may be lost without notice if
    /// another write to the topic is committed first, or the leader changes.
    ///
    /// # Errors
    /// This process is not the leader, the topic or the value is too long, or too many bytes wait to be committed.
    pub fn propose(
        &mut self,
        now: TenthMillis,
        write: &ConditionalWrite,
        actions: &mut Vec<VoterAction>,
    ) -> Result<(), ProposeError> {
        ensure!(write.has_valid_lengths(), TooLongSnafu);
        // Raft's role alone is not enough: a partitioned leader keeps it for a while after another one was elected.
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
