//! Replication: frames on established connections, the actions of this process's voter, proposals and reports.

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

    /// Handles a committed value from a voter. It is not reported if this process's own voter is active, which reports
    /// it itself.
    fn on_committed_elsewhere(
        &mut self,
        committed: CommittedValue,
        actions: &mut Vec<FleetAction>,
    ) {
        let is_newer = self.table.update_if_newer(&committed);
        if is_newer && self.stage() != Some(Stage::Active) {
            actions.push(FleetAction::Committed(committed));
        }
    }

    /// Notifies this process's voter of an established connection with another voter.
    pub(super) fn on_voter_connected(&mut self, peer: &str, actions: &mut Vec<FleetAction>) {
        if let Some(voter) = &mut self.voter {
            let mut requested = Vec::new();
            voter.on_connected(peer, &mut requested);
            self.perform(requested, actions);
        }
    }

    /// Sends all committed values to a follower that has just connected; later ones follow as they are committed.
    pub(super) fn send_all_values(&self, id: ConnectionId, actions: &mut Vec<FleetAction>) {
        for committed in self.table().committed_values() {
            write(id, &Frame::Committed(committed), actions);
        }
    }

    /// Sends a report towards the leader; if this process is the leader, returns it as [`FleetAction::Report`]. A
    /// report may be lost, so the caller must repeat it. One that is longer than [`MAX_REPORT_BYTES`] is dropped.
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
            // A follower has one connection, to any voter, whose caller forwards the report to the leader.
            None if self.voter.is_none() || self.is_stopped() => self.established.values().next(),
            None => None,
        };
        if let Some(id) = next_hop {
            write(*id, &Frame::Report { bytes }, actions);
        }
    }

    /// Proposes a write: see [`Voter::propose`](crate::Voter::propose).
    ///
    /// # Errors
    /// As [`Voter::propose`](crate::Voter::propose), and [`ProposeError::NotVoter`] if this process has no voter.
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

    /// Performs the voter's actions.
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

    /// Forwards a committed value to the followers and to the caller.
    fn on_committed(&mut self, committed: CommittedValue, actions: &mut Vec<FleetAction>) {
        // Used once this voter's disk has failed; until then `Fleet::table` returns the voter's own table.
        self.table.update_if_newer(&committed);
        let frame = Frame::Committed(committed.clone());
        for (&id, connection) in &self.connections {
            if connection.is_follower() {
                write(id, &frame, actions);
            }
        }
        actions.push(FleetAction::Committed(committed));
    }

    /// Performs the voter's actions. If its disk has failed meanwhile, this process becomes a follower.
    pub(super) fn perform_and_check_disk(
        &mut self,
        requested: Vec<VoterAction>,
        now: TenthMillis,
        actions: &mut Vec<FleetAction>,
    ) {
        if requested.is_empty() {
            return;
        }
        let has_failed = self.is_stopped() && self.dialer.mode() == DialMode::All;
        self.perform(requested, actions);
        if has_failed {
            // The new connections announce its new role to the other processes.
            let established: Vec<ConnectionId> = self.established.values().copied().collect();
            for id in established {
                self.close(id, "this voter's disk has failed", actions);
            }
            self.restart_dialer(now);
        }
    }
}
