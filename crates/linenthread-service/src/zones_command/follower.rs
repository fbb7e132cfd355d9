//! Reads the committed values of the fleet's log in the same way as a member that is not a voter: over one connection
//! at a time. Uses blocking sockets.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

use linenthread_core::interface::TenthMillis;
use linenthread_fleet::{
    ConnectionId, Fleet, FleetAction, FleetConfig, NodeIdentity, NumberedValue, PeerAddress,
};
use linenthread_installation::{self as file, Installation, KnownIndex};
use linenthread_store::Directory;
use snafu::{OptionExt, ResultExt};

use super::error::{FollowSnafu, NoFleetSnafu, ZonesError};
use crate::clock;
use crate::fleet::{ORDERS_TOPIC, Orders};
use crate::installation;

/// If no further value is received for this long, all committed values are assumed to be known.
const IDLE_PERIOD: Duration = Duration::from_millis(400);
/// Time limit for connecting to a voter.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for bytes before timers are checked again.
const READ_TIMEOUT: Duration = Duration::from_millis(50);
/// Pause while there is no connection.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(20);
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Reading of the command's clock at its start, so that 0 is in the past.
const EPOCH: TenthMillis = 1_000_000;
/// Gossip probe interval. It is long because the command takes no part in gossip.
const PROBE_INTERVAL: TenthMillis = 60_000;

/// A connection to a voter, and its number in the state machine.
struct Connection {
    number: ConnectionId,
    stream: TcpStream,
}

/// A temporary member of the fleet that receives committed values and can send reports.
pub(super) struct Follower {
    fleet: Fleet<Directory>,
    connection: Option<Connection>,
    started: Instant,
    /// When the latest committed value was received.
    received_at: Option<Instant>,
}

impl Follower {
    /// Starts to connect to a voter of the fleet that the installation file names.
    ///
    /// # Errors
    ///
    /// Returns an error if the installation file or its secrets cannot be used, or the file has no fleet.
    pub(super) fn start(file: &Path, seed: u64) -> Result<Follower, ZonesError> {
        let known = |_: &str| Some(KnownIndex { min_share: 0.0 });
        let fleet = Installation::read_file(file, &known)?.fleet;
        let fleet = fleet.context(NoFleetSnafu { file })?;
        let secrets = installation::link_secrets(&fleet.secret_files)?;
        let name = format!("operator-{}", std::process::id());
        let peer_address = |voter: file::Voter| PeerAddress {
            name: voter.name,
            address: voter.address,
        };
        let config = FleetConfig {
            local: NodeIdentity::unknown(&name, fleet.address),
            voters: fleet.voters.into_iter().map(peer_address).collect(),
            expected_members: fleet.expected_members,
            probe_interval: PROBE_INTERVAL,
            secrets,
            seed,
        };
        let started = Instant::now();
        let mut actions = Vec::new();
        let fleet = Fleet::new(config, None, EPOCH, &mut actions).context(FollowSnafu)?;
        let mut follower = Follower {
            fleet,
            connection: None,
            started,
            received_at: None,
        };
        follower.execute(actions);
        Ok(follower)
    }

    fn now(&self) -> TenthMillis {
        EPOCH + clock::to_tenths(self.started.elapsed())
    }

    /// Carries out actions and those that result from them. Datagrams are not sent, as the process takes no part in
    /// gossip.
    fn execute(&mut self, actions: Vec<FleetAction>) {
        let mut pending = actions;
        while !pending.is_empty() {
            let mut next = Vec::new();
            for action in pending {
                match action {
                    FleetAction::Dial {
                        connection,
                        address,
                    } => self.dial(connection, address, &mut next),
                    FleetAction::Write { connection, bytes } => {
                        self.write(connection, &bytes, &mut next);
                    }
                    FleetAction::Close { connection, .. } => self.close(connection, &mut next),
                    FleetAction::Committed(_) => self.received_at = Some(Instant::now()),
                    _ => {}
                }
            }
            pending = next;
        }
    }

    fn dial(&mut self, number: ConnectionId, address: SocketAddr, next: &mut Vec<FleetAction>) {
        match TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
            Ok(stream) => self.connection = Some(Connection { number, stream }),
            Err(_) => self.fleet.on_closed(self.now(), number, next),
        }
    }

    fn write(&mut self, number: ConnectionId, bytes: &[u8], next: &mut Vec<FleetAction>) {
        let connection = self.connection.as_mut();
        let connection = connection.filter(|connection| connection.number == number);
        if connection.is_some_and(|connection| connection.stream.write_all(bytes).is_err()) {
            self.close(number, next);
        }
    }

    fn close(&mut self, number: ConnectionId, next: &mut Vec<FleetAction>) {
        self.connection = None;
        self.fleet.on_closed(self.now(), number, next);
    }

    /// Runs timers and waits for bytes, for [`READ_TIMEOUT`] at most.
    pub(super) fn poll(&mut self) {
        let (now, mut actions) = (self.now(), Vec::new());
        self.fleet.wake(now, &mut actions);
        self.execute(actions);
        let Some(Connection { number, stream }) = &mut self.connection else {
            std::thread::sleep(RECONNECT_BACKOFF);
            return;
        };
        let number = *number;
        let mut buffer = [0; READ_BUFFER_BYTES];
        stream.set_read_timeout(Some(READ_TIMEOUT)).ok();
        let read = stream.read(&mut buffer);
        let (now, mut actions) = (self.now(), Vec::new());
        match read {
            Ok(count) if count > 0 => {
                let bytes = &buffer[..count];
                self.fleet.on_received(now, number, bytes, &mut actions);
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            _ => self.close(number, &mut actions),
        }
        self.execute(actions);
    }

    /// Returns the committed orders, or the default if none are committed or they cannot be decoded.
    pub(super) fn orders(&self) -> Orders {
        let committed = self.value(ORDERS_TOPIC);
        committed
            .and_then(|committed| Orders::decode(&committed.value).ok())
            .unwrap_or_default()
    }

    /// Reports whether committed values were received and none followed for [`IDLE_PERIOD`].
    pub(super) fn is_up_to_date(&self) -> bool {
        self.received_at
            .is_some_and(|received| received.elapsed() > IDLE_PERIOD)
    }

    /// Returns the time since the follower was started.
    pub(super) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Reports whether any committed value was received.
    pub(super) fn has_received(&self) -> bool {
        self.received_at.is_some()
    }

    /// Returns the committed value of a topic and its number in the log.
    pub(super) fn value(&self, topic: &str) -> Option<&NumberedValue> {
        self.fleet.table().value(topic)
    }

    /// Sends a report to the leader.
    pub(super) fn report(&mut self, report: Vec<u8>) {
        let mut actions = Vec::new();
        self.fleet.report(report, &mut actions);
        self.execute(actions);
    }
}
