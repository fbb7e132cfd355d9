//! One process's part in the fleet: membership, replicated state and connections put together.

mod connection;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use linenthread_core::interface::TenthMillis;
use linenthread_frames::{Nonce, Secrets};
use linenthread_store::Files;
use oorandom::Rand64;
use snafu::OptionExt;

use crate::dialer::{DialMode, Dialer};
use crate::error::{NotVoterSnafu, OpenError, ProposeError};
use crate::event::{ConnectionEvent, FleetEvent};
use crate::frame::{Frame, MAX_REPORT_BYTES, VERSION};
use crate::members::{Members, MembersAction, MembersConfig};
use crate::node_identity::NodeIdentity;
use crate::state_table::StateTable;
use crate::voter::{CommittedValue, Stage, Voter, VoterAction, VoterConfig};
use connection::{Connection, Phase, write};

/// The most connections at once: as many as a fleet has members, and some whose handshake is under way.
const MAX_CONNECTIONS: usize = 1_280;

/// What a process is configured with.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// This process.
    pub local: NodeIdentity,
    /// Every voter's name, and the address for connections and for gossip.
    pub voters: Vec<(String, SocketAddr)>,
    /// About how many members there are.
    pub expected_members: u32,
    /// How often one random member is asked for a sign of life.
    pub probe_interval: TenthMillis,
}

/// What the caller has to do, in order.
#[derive(Debug)]
pub enum FleetAction {
    /// Open a connection.
    Dial {
        /// The connection's number from now on.
        connection: u64,
        /// Where to.
        address: SocketAddr,
    },
    /// Write to a connection.
    Write {
        /// The connection.
        connection: u64,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Close a connection once everything before is written.
    Close {
        /// The connection.
        connection: u64,
        /// Why, for the log.
        reason: String,
    },
    /// Send a datagram.
    Datagram {
        /// Where to.
        to: SocketAddr,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// A value was committed.
    Committed(CommittedValue),
    /// A member is alive, or is back.
    MemberUp(NodeIdentity),
    /// A member is down, or has left.
    MemberDown(NodeIdentity),
    /// A report was received from another process, or is this one's own and for the leader here.
    Report {
        /// The process that reports.
        from: String,
        /// The report.
        bytes: Vec<u8>,
    },
    /// Write to the log what has become of a connection.
    LogConnection(ConnectionEvent),
    /// Write to the log.
    Log(FleetEvent),
}

/// One process's part in the fleet, a state machine without I/O or clock.
pub struct Fleet<F: Files> {
    /// This process's name.
    local: String,
    voters: Vec<(String, SocketAddr)>,
    secrets: Secrets,
    rng: Rand64,
    members: Members,
    voter: Option<Voter<F>>,
    /// Committed values as voters tell them, while this process takes no part as a voter itself.
    table: StateTable,
    dialer: Dialer,
    connections: BTreeMap<u64, Connection>,
    /// The established connection with each process.
    established: BTreeMap<String, u64>,
    last_connection: u64,
    refused: u64,
}

impl<F: Files> Fleet<F> {
    /// Joins. `files` is a voter's disk; a process that is no voter does not use it.
    ///
    /// # Errors
    /// As [`Voter::new`].
    pub fn new(
        config: FleetConfig,
        files: Option<F>,
        secrets: Secrets,
        seed: u64,
        now: TenthMillis,
        actions: &mut Vec<FleetAction>,
    ) -> Result<Fleet<F>, OpenError> {
        let mut rng = Rand64::new(u128::from(seed));
        let local = config.local.name.clone();
        let members_config = MembersConfig {
            local: config.local,
            seeds: config.voters.clone(),
            expected_members: config.expected_members,
            probe_interval: config.probe_interval,
        };
        let members = Members::new(members_config, secrets.clone(), rng.rand_u64(), now);
        let is_voter = config.voters.iter().any(|(name, _)| *name == local);
        let mut fleet = Fleet {
            local,
            voters: config.voters,
            secrets,
            rng,
            members,
            voter: None,
            table: StateTable::default(),
            dialer: Dialer::idle(now),
            connections: BTreeMap::new(),
            established: BTreeMap::new(),
            last_connection: 0,
            refused: 0,
        };
        match files {
            Some(files) if is_voter => fleet.open_voter(files, now, actions)?,
            _ => fleet.restart_dialer(now),
        }
        Ok(fleet)
    }

    /// Takes part as a voter from now on: at the start, or once its disk works again.
    ///
    /// # Errors
    /// As [`Voter::new`].
    pub fn open_voter(
        &mut self,
        files: F,
        now: TenthMillis,
        actions: &mut Vec<FleetAction>,
    ) -> Result<(), OpenError> {
        let voters = self.voters.iter().map(|(name, _)| name.clone());
        let config = VoterConfig {
            name: self.local.clone(),
            voters: voters.collect(),
        };
        let mut requested = Vec::new();
        let voter = Voter::new(config, files, self.rng.rand_u64(), now, &mut requested)?;
        if !matches!(voter.stage(), Stage::Stopped(_)) {
            actions.push(FleetAction::Log(FleetEvent::VoterOpened));
        }
        self.voter = Some(voter);
        self.perform(requested, actions);
        self.restart_dialer(now);
        Ok(())
    }

    /// Chooses anew whom this process connects to. A voter connects to those after it by name, so that each pair of
    /// voters has one connection; any other process to any one voter.
    fn restart_dialer(&mut self, now: TenthMillis) {
        let takes_part = self.voter.is_some() && !self.is_stopped();
        let mode = if takes_part {
            DialMode::All
        } else {
            DialMode::AnyOne
        };
        let local = &self.local;
        let voters = self.voters.iter();
        let targets = voters.filter(|(name, _)| {
            if takes_part {
                name > local
            } else {
                name != local
            }
        });
        self.dialer = Dialer::new(targets.cloned(), mode, self.rng.rand_u64(), now);
    }

    /// It is a voter whose disk has failed: see [`Fleet::open_voter`].
    pub fn is_stopped(&self) -> bool {
        matches!(self.stage(), Some(Stage::Stopped(_)))
    }

    /// How far the voter here has come; `None` where there is none.
    pub fn stage(&self) -> Option<Stage> {
        self.voter.as_ref().map(Voter::stage)
    }

    /// The voter here, where there is one.
    pub fn voter(&self) -> Option<&Voter<F>> {
        self.voter.as_ref()
    }

    /// Whether this process leads, and nobody else does at this moment.
    pub fn is_leader(&self, now: TenthMillis) -> bool {
        self.voter
            .as_ref()
            .is_some_and(|voter| voter.is_leader(now))
    }

    /// The leader's name and term, as far as it is known here.
    pub fn leader(&self) -> Option<(&str, u64)> {
        let voter = self.voter.as_ref()?;
        Some((voter.leader()?, voter.term()))
    }

    /// All others that are believed to be alive.
    pub fn alive(&self) -> impl Iterator<Item = &NodeIdentity> {
        self.members.alive()
    }

    /// The replicated state as it is known here.
    pub fn table(&self) -> &StateTable {
        match &self.voter {
            Some(voter) if voter.stage() == Stage::Active => voter.table(),
            _ => &self.table,
        }
    }

    /// Datagrams, frames and connections that were refused so far.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// When [`Fleet::wake`] is to be called at the latest.
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

    /// Does all that is due.
    pub fn wake(&mut self, now: TenthMillis, actions: &mut Vec<FleetAction>) {
        let mut requested = Vec::new();
        if let Some(voter) = &mut self.voter
            && now >= voter.wake_at()
        {
            voter.wake(now, &mut requested);
        }
        self.follow_voter(requested, now, actions);
        let mut requested = Vec::new();
        self.members.wake(now, &mut requested);
        actions.extend(requested.into_iter().map(member_action));
        self.dial_due(now, actions);
        self.check_connections(now, actions);
    }

    fn dial_due(&mut self, now: TenthMillis, actions: &mut Vec<FleetAction>) {
        let last_connection = &mut self.last_connection;
        let due = self.dialer.due(now, || {
            *last_connection += 1;
            *last_connection
        });
        for dial in due {
            let phase = Phase::AwaitingChallenge { peer: dial.name };
            let connection = Connection::new(phase, now);
            self.connections.insert(dial.connection, connection);
            actions.push(FleetAction::Dial {
                connection: dial.connection,
                address: dial.address,
            });
        }
    }

    fn draw_nonce(&mut self) -> Nonce {
        let mut nonce = Nonce::default();
        let (first, second) = nonce.split_at_mut(size_of::<u64>());
        first.copy_from_slice(&self.rng.rand_u64().to_be_bytes());
        second.copy_from_slice(&self.rng.rand_u64().to_be_bytes());
        nonce
    }

    /// A connection was accepted: its number, or `None` where there are too many.
    pub fn on_accepted(&mut self, now: TenthMillis, actions: &mut Vec<FleetAction>) -> Option<u64> {
        if self.connections.len() >= MAX_CONNECTIONS {
            return None;
        }
        self.last_connection += 1;
        let number = self.last_connection;
        let nonce = self.draw_nonce();
        let phase = Phase::AwaitingHello { nonce };
        self.connections.insert(number, Connection::new(phase, now));
        let challenge = Frame::Challenge {
            min_version: VERSION,
            max_version: VERSION,
            nonce,
            name: self.local.clone(),
        };
        write(number, &challenge, actions);
        Some(number)
    }

    /// A datagram was received. One that is refused changes nothing, and is counted.
    pub fn on_datagram(&mut self, now: TenthMillis, bytes: &[u8], actions: &mut Vec<FleetAction>) {
        let mut requested = Vec::new();
        let result = self.members.on_datagram(now, bytes, &mut requested);
        self.refused += u64::from(result.is_err());
        actions.extend(requested.into_iter().map(member_action));
    }

    /// Sends a report on its way to the leader; where that is this process, it comes back as
    /// [`FleetAction::Report`]. It may be lost: reports are sent again. One that is longer than
    /// [`MAX_REPORT_BYTES`] is dropped.
    pub fn report(&mut self, bytes: Vec<u8>, actions: &mut Vec<FleetAction>) {
        if bytes.len() > MAX_REPORT_BYTES {
            return;
        }
        let leader = self.leader().map(|(name, _)| name);
        let next_hop = match leader {
            Some(leader) if leader == self.local => {
                let from = self.local.clone();
                return actions.push(FleetAction::Report { from, bytes });
            }
            Some(leader) => self.established.get(leader),
            None if self.voter.is_none() || self.is_stopped() => self.established.values().next(),
            None => None,
        };
        if let Some(number) = next_hop {
            write(*number, &Frame::Report { bytes }, actions);
        }
    }

    /// As [`Voter::propose`].
    ///
    /// # Errors
    /// As [`Voter::propose`], and [`ProposeError::NotVoter`] where there is no voter here.
    pub fn propose(
        &mut self,
        now: TenthMillis,
        topic: &str,
        expected_number: u64,
        value: Vec<u8>,
        actions: &mut Vec<FleetAction>,
    ) -> Result<(), ProposeError> {
        let voter = self.voter.as_mut().context(NotVoterSnafu)?;
        let mut requested = Vec::new();
        let result = voter.propose(now, topic, expected_number, value, &mut requested);
        self.follow_voter(requested, now, actions);
        result
    }

    /// Leaves for good.
    pub fn leave(&mut self, now: TenthMillis, actions: &mut Vec<FleetAction>) {
        let mut requested = Vec::new();
        self.members.leave(now, &mut requested);
        actions.extend(requested.into_iter().map(member_action));
    }

    /// Performs what the voter requests.
    fn perform(&mut self, requested: Vec<VoterAction>, actions: &mut Vec<FleetAction>) {
        for action in requested {
            match action {
                VoterAction::Send { to, frame } => {
                    if let Some(&number) = self.established.get(&to) {
                        write(number, &frame, actions);
                    }
                }
                VoterAction::Committed(committed) => self.on_committed(committed, actions),
                VoterAction::Log(event) => actions.push(FleetAction::Log(event)),
            }
        }
    }

    /// Passes a committed value on to the followers and to the caller.
    fn on_committed(&mut self, committed: CommittedValue, actions: &mut Vec<FleetAction>) {
        let CommittedValue {
            topic,
            number,
            value,
        } = committed.clone();
        self.table.learn(&topic, number, &value);
        let frame = Frame::Committed {
            topic,
            number,
            value,
        };
        for (&number, connection) in &self.connections {
            if connection.is_follower() {
                write(number, &frame, actions);
            }
        }
        actions.push(FleetAction::Committed(committed));
    }

    /// As [`Fleet::perform`]; and a voter whose disk has failed meanwhile follows from now on.
    fn follow_voter(
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
            let established: Vec<u64> = self.established.values().copied().collect();
            for number in established {
                self.close(number, "this voter's disk has failed", actions);
            }
            self.restart_dialer(now);
        }
    }
}

fn member_action(action: MembersAction) -> FleetAction {
    match action {
        MembersAction::Send { to, bytes } => FleetAction::Datagram { to, bytes },
        MembersAction::Up(member) => FleetAction::MemberUp(member),
        MembersAction::Down(member) => FleetAction::MemberDown(member),
        MembersAction::Refuted => FleetAction::Log(FleetEvent::DownRefuted),
    }
}
