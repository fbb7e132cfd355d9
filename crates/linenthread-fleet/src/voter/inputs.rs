//! What the caller tells a voter: connections, frames, the time, and values to be proposed.

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

/// How often voters tell each other their progress while they are not all active.
pub(super) const PROGRESS_INTERVAL: TenthMillis = 2_500;
/// Names of other voters that are remembered by id.
const MAX_VOTER_NAMES: usize = 64;

impl<F: Files> Voter<F> {
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
            node.report_snapshot(*id, SnapshotStatus::Failure);
        }
    }

    /// Does all that is due. One that was suspended first makes up for the missed time, so that a leader steps down:
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

    /// Whether it takes part and every other voter has reported: nothing changes that it would have to report.
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
                actions.push(VoterAction::Log(FleetEvent::OtherFounders { peer }));
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
        self.remember_name(message.from, peer);
        if let Err(cause) = self.step(now, message) {
            let peer = peer.to_owned();
            actions.push(VoterAction::Log(FleetEvent::MessageRejected {
                peer,
                cause,
            }));
        }
    }

    fn remember_name(&mut self, id: RaftId, name: &str) {
        self.voter_names.insert(id, name.to_owned());
        while self.voter_names.len() > MAX_VOTER_NAMES {
            self.voter_names.pop_first();
        }
    }

    /// Proposes a write. It is committed, or lost where another value was first or the leader has changed: what counts
    /// is [`VoterAction::Committed`].
    ///
    /// # Errors
    /// This process does not lead, the value is too long, or too much waits to be committed.
    pub fn propose(
        &mut self,
        now: TenthMillis,
        write: &ConditionalWrite,
        actions: &mut Vec<VoterAction>,
    ) -> Result<(), ProposeError> {
        ensure!(write.has_valid_lengths(), TooLongSnafu);
        // Raft's own role is not enough: one that is cut off learns only later that it does not lead any more.
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
