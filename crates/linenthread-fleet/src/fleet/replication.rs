//! The replicated state: frames of peers that have proven themselves, what the voter here requests, and proposals.

use linenthread_core::interface::TenthMillis;
use linenthread_store::Files;
use snafu::OptionExt;

use super::connection::Peer;
use super::connections::{UNEXPECTED_FRAME, write};
use super::{Fleet, FleetAction};
use crate::dialer::DialMode;
use crate::error::{NotVoterSnafu, ProposeError};
use crate::frame::{Frame, MAX_REPORT_BYTES, Role};
use crate::identifiers::ConnectionId;
use crate::state_table::{CommittedValue, ConditionalWrite};
use crate::voter::{Stage, VoterAction};

impl<F: Files> Fleet<F> {
    pub(super) fn on_established_frame(
        &mut self,
        now: TenthMillis,
        id: ConnectionId,
        peer: &Peer,
        frame: Frame,
        actions: &mut Vec<FleetAction>,
    ) {
        let is_voter = peer.role == Role::Voter;
        match frame {
            Frame::Ping { number } => write(id, &Frame::Pong { number }, actions),
            Frame::Pong { .. } => {}
            Frame::Progress { .. } | Frame::Raft(_) if is_voter => {
                let mut requested = Vec::new();
                if let Some(voter) = &mut self.voter {
                    voter.on_frame(now, &peer.name, frame, &mut requested);
                }
                self.perform_and_check_disk(requested, now, actions);
            }
            Frame::Committed(committed) if is_voter => {
                self.on_committed_elsewhere(committed, actions);
            }
            Frame::Report { bytes } => actions.push(FleetAction::Report {
                from: peer.name.clone(),
                bytes,
            }),
            _ => self.refuse(id, UNEXPECTED_FRAME, actions),
        }
    }

    /// A voter tells this process what is committed. Where it takes part as a voter itself, its own one reports that.
    fn on_committed_elsewhere(
        &mut self,
        committed: CommittedValue,
        actions: &mut Vec<FleetAction>,
    ) {
        let is_newer = self.table.learn(&committed);
        if is_newer && self.stage() != Some(Stage::Active) {
            actions.push(FleetAction::Committed(committed));
        }
    }

    /// A connection with another voter is established.
    pub(super) fn on_voter_connected(&mut self, peer: &str, actions: &mut Vec<FleetAction>) {
        if let Some(voter) = &mut self.voter {
            let mut requested = Vec::new();
            voter.on_connected(peer, &mut requested);
            self.perform(requested, actions);
        }
    }

    /// A follower gets all that is committed, and from then on what is new.
    pub(super) fn send_all_values(&self, id: ConnectionId, actions: &mut Vec<FleetAction>) {
        for committed in self.table().committed_values() {
            write(id, &Frame::Committed(committed), actions);
        }
    }

    /// Sends a report on its way to the leader; where that is this process, it comes back as
    /// [`FleetAction::Report`]. It may be lost: reports are sent again. One that is longer than
    /// [`MAX_REPORT_BYTES`] is dropped.
    pub fn report(&mut self, bytes: Vec<u8>, actions: &mut Vec<FleetAction>) {
        if bytes.len() > MAX_REPORT_BYTES {
            return;
        }
        let leader = self.leader().map(|leader| leader.name);
        let next_hop = match leader {
            Some(leader) if leader == self.local => {
                let from = self.local.clone();
                return actions.push(FleetAction::Report { from, bytes });
            }
            Some(leader) => self.established.get(leader),
            // A follower has one connection, to any voter, whose program passes the report on.
            None if self.voter.is_none() || self.is_stopped() => self.established.values().next(),
            None => None,
        };
        if let Some(id) = next_hop {
            write(*id, &Frame::Report { bytes }, actions);
        }
    }

    /// As [`Voter::propose`](crate::Voter::propose).
    ///
    /// # Errors
    /// As there, and [`ProposeError::NotVoter`] where there is no voter here.
    pub fn propose(
        &mut self,
        now: TenthMillis,
        write: &ConditionalWrite,
        actions: &mut Vec<FleetAction>,
    ) -> Result<(), ProposeError> {
        let voter = self.voter.as_mut().context(NotVoterSnafu)?;
        let mut requested = Vec::new();
        let result = voter.propose(now, write, &mut requested);
        self.perform_and_check_disk(requested, now, actions);
        result
    }

    /// Performs what the voter requests.
    pub(super) fn perform(&mut self, requested: Vec<VoterAction>, actions: &mut Vec<FleetAction>) {
        for action in requested {
            match action {
                VoterAction::Send { to, frame } => {
                    if let Some(&id) = self.established.get(&to) {
                        write(id, &frame, actions);
                    }
                }
                VoterAction::Committed(committed) => self.on_committed(committed, actions),
                VoterAction::Log(event) => actions.push(FleetAction::Log(event)),
            }
        }
    }

    /// Passes a committed value on to the followers and to the caller.
    fn on_committed(&mut self, committed: CommittedValue, actions: &mut Vec<FleetAction>) {
        // For the time after this voter's disk has failed: until then its own table counts.
        self.table.learn(&committed);
        let frame = Frame::Committed(committed.clone());
        for (&id, connection) in &self.connections {
            if connection.is_follower() {
                write(id, &frame, actions);
            }
        }
        actions.push(FleetAction::Committed(committed));
    }

    /// As [`Fleet::perform`]; and a voter whose disk has failed meanwhile becomes a follower.
    pub(super) fn perform_and_check_disk(
        &mut self,
        requested: Vec<VoterAction>,
        now: TenthMillis,
        actions: &mut Vec<FleetAction>,
    ) {
        if requested.is_empty() {
            return;
        }
        let steps_down = self.is_stopped() && self.dialer.mode() == DialMode::All;
        self.perform(requested, actions);
        if steps_down {
            // The others are to learn what it is now from new connections.
            let established: Vec<ConnectionId> = self.established.values().copied().collect();
            for id in established {
                self.close(id, "this voter's disk has failed", actions);
            }
            self.restart_dialer(now);
        }
    }
}
