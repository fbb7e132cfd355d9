//! The event loop of a member: passes inputs to the fleet's state machine and carries out the actions that it returns.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use linenthread_core::interface::TenthMillis;
use linenthread_fleet::{
    ConnectionId, Fleet, FleetAction, FleetConfig, NodeIdentity, PeerAddress, ProcessIncarnation,
};
use linenthread_installation as file;
use linenthread_store::Directory;
use linenthread_zones::{FailoverController, Report, Topology};
use snafu::{OptionExt, ResultExt};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};
use tracing::{info, warn};

use super::connection::Connection;
use super::error::{
    LogSnafu, NotConfiguredSnafu, NotVoterSnafu, OpenSnafu, SocketSnafu, VoterDirectoryError,
    VoterDirectorySnafu,
};
use super::{FleetRequest, FleetUpdate, LEAVE_GRACE, MemberConfig, Sockets, StartError};
use crate::clock::{Clock, to_tenths};
use crate::log::LogRateLimit;

/// SIGXFSZ, which the kernel sends when a write exceeds the file size limit.
const FILE_SIZE_SIGNAL: i32 = 25;
/// Time between two reports of a member's observations to the leader.
pub(super) const REPORT_INTERVAL: TenthMillis = 5_000;
/// Shortest sleep of the event loop.
const MIN_SLEEP: TenthMillis = 10;
/// Time between two attempts to reopen the directory of a voter whose disk has failed.
const VOTER_RETRY_INTERVAL: TenthMillis = 100_000;

/// The state of a member, shared by the tasks of its thread.
pub(super) struct Inner {
    pub(super) config: MemberConfig,
    pub(super) clock: Clock,
    pub(super) fleet: RefCell<Fleet<Directory>>,
    pub(super) udp: UdpSocket,
    pub(super) connections: RefCell<BTreeMap<ConnectionId, Rc<Connection>>>,
    pub(super) from_fleet: mpsc::UnboundedSender<FleetUpdate>,
    woken: Notify,
    pub(super) log_limit: LogRateLimit,
    pub(super) connection_log_limit: LogRateLimit,
    pub(super) observation_log_limit: LogRateLimit,
    /// Observations that were neither used for a decision nor reported to the leader yet.
    pub(super) observations: RefCell<Report>,
    pub(super) topology: RefCell<Option<Topology>>,
    /// Set while this member is the leader and zones are configured.
    pub(super) failover: RefCell<Option<FailoverController>>,
    /// Encoded orders that this member, as the leader, has not processed yet.
    pub(super) pending_orders: RefCell<Vec<Vec<u8>>>,
    pub(super) reported_at: Cell<TenthMillis>,
    pub(super) proposed_at: Cell<TenthMillis>,
    voter_retried_at: Cell<TenthMillis>,
}

/// A member of the fleet; clones share the same state.
#[derive(Clone)]
pub(super) struct Member(pub(super) Rc<Inner>);

/// Returns the system time in milliseconds since the Unix epoch.
pub(super) fn unix_ms() -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(unix.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

/// Opens the voter's directory; returns `None` if the member is not a voter.
fn open_voter_directory(config: &MemberConfig) -> Result<Option<Directory>, VoterDirectoryError> {
    let name = &config.name;
    if !config.fleet.voters.iter().any(|voter| voter.name == *name) {
        return Ok(None);
    }
    let path = config.fleet.folder.as_ref();
    let path = path.context(NotConfiguredSnafu { name })?;
    Directory::open(path).context(OpenSnafu).map(Some)
}

fn fleet_config(config: &MemberConfig) -> FleetConfig {
    let fleet = config.fleet.clone();
    let local = NodeIdentity {
        machine: fleet.machine,
        zone: fleet.zone,
        region: fleet.region,
        version: 1,
        weight: 1_000,
        incarnation: ProcessIncarnation(unix_ms()),
        ..NodeIdentity::unknown(&config.name, fleet.address)
    };
    let peer_address = |voter: file::Voter| PeerAddress {
        name: voter.name,
        address: voter.address,
    };
    FleetConfig {
        local,
        voters: fleet.voters.into_iter().map(peer_address).collect(),
        expected_members: fleet.expected_members,
        probe_interval: to_tenths(fleet.probe_interval),
        secrets: config.secrets.clone(),
        seed: config.seed,
    }
}

impl Member {
    /// Opens the voter's log, if the member is a voter, and starts to accept connections and datagrams.
    ///
    /// # Errors
    ///
    /// Returns an error if the voter's directory or log cannot be opened, or the sockets cannot be registered with the
    /// runtime.
    pub(super) fn new(
        config: MemberConfig,
        clock: Clock,
        from_fleet: mpsc::UnboundedSender<FleetUpdate>,
        sockets: Sockets,
    ) -> Result<Member, StartError> {
        let mut actions = Vec::new();
        let fleet_config = fleet_config(&config);
        let now = clock.now();
        let directory = open_voter_directory(&config).context(VoterDirectorySnafu)?;
        let fleet = Fleet::new(fleet_config, directory, now, &mut actions).context(LogSnafu)?;
        let udp = UdpSocket::from_std(sockets.udp).context(SocketSnafu)?;
        let tcp = TcpListener::from_std(sockets.tcp).context(SocketSnafu)?;
        let member = Member(Rc::new(Inner {
            config,
            clock,
            fleet: RefCell::new(fleet),
            udp,
            connections: RefCell::default(),
            from_fleet,
            woken: Notify::new(),
            log_limit: LogRateLimit::default(),
            connection_log_limit: LogRateLimit::default(),
            observation_log_limit: LogRateLimit::default(),
            observations: RefCell::default(),
            topology: RefCell::default(),
            failover: RefCell::default(),
            pending_orders: RefCell::default(),
            reported_at: Cell::new(now),
            proposed_at: Cell::new(now),
            voter_retried_at: Cell::new(now),
        }));
        member.execute(actions);
        // The default action of the signal ends the process. With a handler, the write fails with an error instead.
        if let Ok(mut file_size) = signal(SignalKind::from_raw(FILE_SIZE_SIGNAL)) {
            spawn_local(async move { while file_size.recv().await.is_some() {} });
        }
        spawn_local(member.clone().accept(tcp));
        spawn_local(member.clone().receive_datagrams());
        Ok(member)
    }

    /// Runs the event loop until a message to leave is received or the sender is dropped.
    pub(super) async fn run(self, mut received: mpsc::UnboundedReceiver<FleetRequest>) {
        info!(
            voter = self.0.fleet.borrow().stage().is_some(),
            "fleet member started"
        );
        loop {
            tokio::select! {
                () = sleep_until(self.0.clock.at(self.wake_at())) => {}
                () = self.0.woken.notified() => {}
                message = received.recv() => match message {
                    Some(FleetRequest::Report(report)) => {
                        self.0.observations.borrow_mut().add(&report.observations);
                        self.0.topology.replace(Some(report.topology));
                    }
                    Some(FleetRequest::Leave) | None => {
                        self.step(Fleet::leave);
                        sleep(LEAVE_GRACE).await;
                        return;
                    }
                },
            }
            let is_due = self.0.fleet.borrow().wake_at() <= self.0.clock.now();
            if is_due {
                self.step_without_wake(Fleet::wake);
            }
            self.reopen_voter();
            self.decide_on_zones();
        }
    }

    fn wake_at(&self) -> TenthMillis {
        let now = self.0.clock.now();
        let wake_at = self.0.fleet.borrow().wake_at();
        wake_at.min(now + REPORT_INTERVAL).max(now + MIN_SLEEP)
    }

    /// Passes an input to the state machine, carries out the resulting actions and wakes the event loop.
    pub(super) fn step(
        &self,
        input: impl FnOnce(&mut Fleet<Directory>, TenthMillis, &mut Vec<FleetAction>),
    ) {
        self.step_without_wake(input);
        self.0.woken.notify_one();
    }

    /// As [`Member::step`], but for calls from the event loop, which checks its timers next in any case.
    fn step_without_wake(
        &self,
        input: impl FnOnce(&mut Fleet<Directory>, TenthMillis, &mut Vec<FleetAction>),
    ) {
        let mut actions = Vec::new();
        let now = self.0.clock.now();
        input(&mut self.0.fleet.borrow_mut(), now, &mut actions);
        self.execute(actions);
    }

    /// Carries out actions of the state machine in order.
    pub(super) fn execute(&self, actions: Vec<FleetAction>) {
        for action in actions {
            self.execute_one(action);
        }
    }

    fn execute_one(&self, action: FleetAction) {
        match action {
            FleetAction::Dial {
                connection,
                address,
            } => {
                spawn_local(self.clone().dial(connection, address));
            }
            FleetAction::Write { connection, bytes } => {
                if let Some(connection) = self.0.connections.borrow().get(&connection) {
                    connection.write(bytes);
                }
            }
            FleetAction::Close { connection, reason } => {
                if let Some(connection) = self.0.connections.borrow().get(&connection) {
                    connection.close(reason);
                }
            }
            // A datagram that cannot be sent counts as lost in the network.
            FleetAction::SendDatagram { to, bytes } => drop(self.0.udp.try_send_to(&bytes, to)),
            FleetAction::Committed(value) => self.on_committed(value),
            FleetAction::MemberUp(node) => {
                info!(member = node.name, zone = node.zone, "fleet member up");
            }
            FleetAction::MemberDown(node) => {
                warn!(member = node.name, zone = node.zone, "fleet member down");
            }
            FleetAction::Report { from, bytes } => self.on_report(&from, bytes),
            FleetAction::LogConnection(line) => {
                if let Some(suppressed) = self.0.connection_log_limit.admit() {
                    info!(suppressed, "fleet: {line}");
                }
            }
            FleetAction::Log(line) => {
                if let Some(suppressed) = self.0.log_limit.admit() {
                    info!(suppressed, "fleet: {line}");
                }
            }
        }
    }

    /// Reopens the voter, whose disk had failed, at intervals until the disk works again.
    fn reopen_voter(&self) {
        let now = self.0.clock.now();
        let retry_at = self.0.voter_retried_at.get() + VOTER_RETRY_INTERVAL;
        if !self.0.fleet.borrow().is_stopped() || now < retry_at {
            return;
        }
        self.0.voter_retried_at.set(now);
        let directory = open_voter_directory(&self.0.config)
            .and_then(|directory| directory.context(NotVoterSnafu));
        match directory {
            Ok(directory) => self.step(|fleet, now, actions| {
                if let Err(error) = fleet.open_voter(directory, now, actions) {
                    warn!("cannot reopen the voter: {error}");
                }
            }),
            Err(error) => warn!("cannot reopen the voter: {error}"),
        }
    }
}
