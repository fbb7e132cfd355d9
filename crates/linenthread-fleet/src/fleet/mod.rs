//! One process of the fleet: combines membership, replicated state and connections.
//!
//! `connections` handles the connections and their bytes, `handshake` the frames of peers that are not authenticated
//! yet, and `replication` the frames of established connections, proposals and committed values.

mod action;
mod connection;
mod connections;
mod handshake;
mod replication;

use std::collections::BTreeMap;

use linenthread_core::interface::TenthMillis;
use linenthread_frames::Secrets;
use linenthread_store::Files;
use oorandom::Rand64;

use crate::config::{FleetConfig, MembersConfig, PeerAddress, VoterConfig};
use crate::dialer::{DialMode, Dialer};
use crate::error::OpenError;
use crate::event::FleetEvent;
use crate::identifiers::{ConnectionId, Term};
use crate::members::{Members, MembersAction};
use crate::node_identity::NodeIdentity;
use crate::state_table::StateTable;
use crate::voter::{Stage, Voter};
pub use action::FleetAction;
use connection::Connection;

/// The leader that a process knows of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leader<'f> {
    /// The leader's name.
    pub name: &'f str,
    /// The term in which it leads.
    pub term: Term,
}

/// One process of the fleet, a state machine without I/O or clock.
pub struct Fleet<F: Files> {
    /// This process's name.
    local: String,
    voters: Vec<PeerAddress>,
    secrets: Secrets,
    rng: Rand64,
    members: Members,
    voter: Option<Voter<F>>,
    /// Committed values as received from voters; used while this process is not an active voter.
    table: StateTable,
    dialer: Dialer,
    connections: BTreeMap<ConnectionId, Connection>,
    /// The established connection with each process.
    established: BTreeMap<String, ConnectionId>,
    last_connection: ConnectionId,
    /// Number of datagrams, frames and connections that were refused so far.
    refused: u64,
}

impl<F: Files> Fleet<F> {
    /// Joins the fleet. `files` is the disk of a voter; other processes do not use it.
    ///
    /// # Errors
    /// The configuration is invalid, or as [`Voter::new`].
    pub fn new(
        config: FleetConfig,
        files: Option<F>,
        now: TenthMillis,
        actions: &mut Vec<FleetAction>,
    ) -> Result<Fleet<F>, OpenError> {
        config.validate()?;
        let mut rng = Rand64::new(u128::from(config.seed));
        let local = config.local.name.clone();
        let members_config = MembersConfig {
            local: config.local,
            seeds: config.voters.clone(),
            expected_members: config.expected_members,
            probe_interval: config.probe_interval,
            secrets: config.secrets.clone(),
            random_seed: rng.rand_u64(),
        };
        let is_voter = config.voters.iter().any(|voter| voter.name == local);
        let mut fleet = Fleet {
            local,
            voters: config.voters,
            secrets: config.secrets,
            rng,
            members: Members::new(members_config, now),
            voter: None,
            table: StateTable::default(),
            dialer: Dialer::idle(now),
            connections: BTreeMap::new(),
            established: BTreeMap::new(),
            last_connection: ConnectionId(0),
            refused: 0,
        };
        match files {
            Some(files) if is_voter => fleet.open_voter(files, now, actions)?,
            _ => fleet.restart_dialer(now),
        }
        Ok(fleet)
    }

    /// Opens this process's voter: at the start, or again after its disk had failed.
    ///
    /// # Errors
    /// As [`Voter::new`].
    pub fn open_voter(
        &mut self,
        files: F,
        now: TenthMillis,
        actions: &mut Vec<FleetAction>,
    ) -> Result<(), OpenError> {
        let voters = self.voters.iter().map(|voter| voter.name.clone());
        let config = VoterConfig {
            name: self.local.clone(),
            voters: voters.collect(),
            seed: self.rng.rand_u64(),
        };
        let mut requested = Vec::new();
        let voter = Voter::new(config, files, now, &mut requested)?;
        if !matches!(voter.stage(), Stage::Stopped(_)) {
            actions.push(FleetAction::Log(FleetEvent::VoterOpened));
        }
        self.voter = Some(voter);
        self.perform(requested, actions);
        self.restart_dialer(now);
        Ok(())
    }

    /// Replaces the dialer according to this process's role. A voter connects to all voters with a later name, so that
    /// each pair of voters has one connection; any other process connects to one voter.
    fn restart_dialer(&mut self, now: TenthMillis) {
        let is_running = self.voter.is_some() && !self.is_stopped();
        let mode = if is_running {
            DialMode::All
        } else {
            DialMode::AnyOne
        };
        let local = &self.local;
        let is_target = |voter: &&PeerAddress| match mode {
            DialMode::All => voter.name > *local,
            DialMode::AnyOne => voter.name != *local,
        };
        let targets = self.voters.iter().filter(is_target);
        self.dialer = Dialer::new(targets.cloned(), mode, self.rng.rand_u64(), now);
    }

    /// Reports whether this process is a voter whose disk has failed; [`Fleet::open_voter`] opens it again.
    pub fn is_stopped(&self) -> bool {
        matches!(self.stage(), Some(Stage::Stopped(_)))
    }

    /// Returns the stage of this process's voter; `None` if it has none.
    pub fn stage(&self) -> Option<Stage> {
        self.voter.as_ref().map(Voter::stage)
    }

    /// Returns this process's voter, if it has one.
    pub fn voter(&self) -> Option<&Voter<F>> {
        self.voter.as_ref()
    }

    /// Reports whether this process is the leader, under a lease that excludes any other leader at `now`.
    pub fn is_leader(&self, now: TenthMillis) -> bool {
        self.voter
            .as_ref()
            .is_some_and(|voter| voter.is_leader(now))
    }

    /// Returns the leader, if this process is an active voter and knows one.
    pub fn leader(&self) -> Option<Leader<'_>> {
        let voter = self.voter.as_ref()?;
        let name = voter.leader()?;
        let term = voter.term();
        Some(Leader { name, term })
    }

    /// Returns all other members that are considered alive.
    pub fn alive_members(&self) -> impl Iterator<Item = &NodeIdentity> {
        self.members.alive_members()
    }

    /// Returns this process's copy of the replicated state, which may be out of date.
    pub fn table(&self) -> &StateTable {
        match &self.voter {
            Some(voter) if voter.stage() == Stage::Active => voter.table(),
            _ => &self.table,
        }
    }

    /// Returns the number of datagrams, frames and connections that were refused so far.
    pub fn refused_count(&self) -> u64 {
        self.refused
    }

    /// Returns the time by which [`Fleet::wake`] must be called.
    pub fn wake_at(&self) -> TenthMillis {
        let voter = self.voter.as_ref().map(Voter::wake_at);
        let connections = self.connections.values().map(Connection::wake_at);
        voter
            .into_iter()
            .chain(connections)
            .chain([self.dialer.wake_at(), self.members.wake_at()])
            .min()
            .unwrap_or(TenthMillis::MAX)
    }

    /// Performs everything that is due.
    pub fn wake(&mut self, now: TenthMillis, actions: &mut Vec<FleetAction>) {
        let mut requested = Vec::new();
        if let Some(voter) = &mut self.voter
            && now >= voter.wake_at()
        {
            voter.wake(now, &mut requested);
        }
        self.perform_and_check_disk(requested, now, actions);
        let mut requested = Vec::new();
        self.members.wake(now, &mut requested);
        actions.extend(requested.into_iter().map(member_action));
        self.start_connection_attempts(now, actions);
        self.check_connections(now, actions);
    }

    /// Handles a received datagram. One that is refused is counted and otherwise ignored.
    pub fn on_datagram(&mut self, now: TenthMillis, bytes: &[u8], actions: &mut Vec<FleetAction>) {
        let mut requested = Vec::new();
        let result = self.members.on_datagram(now, bytes, &mut requested);
        self.refused += u64::from(result.is_err());
        actions.extend(requested.into_iter().map(member_action));
    }

    /// Leaves the membership permanently, and notifies the other members.
    pub fn leave(&mut self, now: TenthMillis, actions: &mut Vec<FleetAction>) {
        let mut requested = Vec::new();
        self.members.leave(now, &mut requested);
        actions.extend(requested.into_iter().map(member_action));
    }
}

fn member_action(action: MembersAction) -> FleetAction {
    match action {
        MembersAction::Send { to, bytes } => FleetAction::SendDatagram { to, bytes },
        MembersAction::Up(member) => FleetAction::MemberUp(member),
        MembersAction::Down(member) => FleetAction::MemberDown(member),
        MembersAction::DownRefuted => FleetAction::Log(FleetEvent::DownRefuted),
    }
}
