//! `linenthread zones`: shows the routing table that the fleet acts on, drains a zone or takes it back. The command
//! follows a voter for a moment, as every process of the fleet does that is no voter itself.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use linenthread_core::interface::TenthMillis;
use linenthread_fleet::{
    ConnectionId, Fleet, FleetAction, FleetConfig, NodeIdentity, OpenError, PeerAddress,
};
use linenthread_installation::{self as file, Installation, KnownIndex, ReadFileError};
use linenthread_store::Directory;
use linenthread_zones::RoutingTable;
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::fleet::{ORDERS_TOPIC, Orders, TABLE_TOPIC, encode_order};
use crate::installation::{self, InstallationError};

/// Time within which the command must succeed.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);
/// Once no further value came for so long, all committed ones are here.
const QUIET_PERIOD: Duration = Duration::from_millis(400);
/// Time until an order that was not carried out is sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(2);
/// Time for a connection to a voter.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for bytes before timers are looked at again.
const READ_TIMEOUT: Duration = Duration::from_millis(50);
/// Pause while there is no connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Size of the read buffer.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// The command's clock starts here: 0 stands for long ago.
const EPOCH: TenthMillis = 1_000_000;
/// Probe interval of a member that takes no part in gossip: longer than it lives.
const PROBE_INTERVAL: TenthMillis = 60_000;

/// Why the command has failed. Each message is one line.
#[derive(Debug, Snafu)]
pub(crate) enum ZonesError {
    #[snafu(display("{source}"), context(false))]
    File { source: ReadFileError },
    #[snafu(display("{}: there is no <fleet>", file.display()))]
    NoFleet { file: PathBuf },
    #[snafu(display("{source}"), context(false))]
    Secrets { source: InstallationError },
    #[snafu(display("{source}"))]
    Follow { source: OpenError },
    #[snafu(display("refused: {reason}"))]
    Refused { reason: String },
    #[snafu(display(
        "nobody who leads has answered: nothing was agreed on, as far as is known here"
    ))]
    NoLeader,
    #[snafu(display("no voter could be reached, or nothing was agreed on yet"))]
    NoVoter,
}

/// What an operator asks of the fleet.
#[derive(Clone, Debug)]
pub(crate) enum ZonesAction {
    /// Show the routing table in force.
    Show,
    /// Have all co-ordinators leave the zone.
    Drain(String),
    /// Have the zone taken back, step by step.
    Return(String),
}

/// A connection to a voter and its number in the state machine.
struct Connection {
    number: ConnectionId,
    stream: TcpStream,
}

/// Follows the fleet's log over one connection at a time.
struct Follower {
    fleet: Fleet<Directory>,
    connection: Option<Connection>,
    started: Instant,
    /// When the latest committed value was received.
    received_at: Option<Instant>,
}

impl Follower {
    /// Connects to a voter of the installation file's fleet.
    fn start(file: &Path, seed: u64) -> Result<Follower, ZonesError> {
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
        EPOCH + (self.started.elapsed().as_micros() / 100) as TenthMillis
    }

    /// Carries out actions and those that follow from them. Gossip is not for a process that lives for a moment.
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

    /// Runs timers and waits a moment for bytes.
    fn poll(&mut self) {
        let (now, mut actions) = (self.now(), Vec::new());
        self.fleet.wake(now, &mut actions);
        self.execute(actions);
        let Some(Connection { number, stream }) = &mut self.connection else {
            std::thread::sleep(RECONNECT_PAUSE);
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

    fn orders(&self) -> Orders {
        let committed = self.fleet.table().value(ORDERS_TOPIC);
        committed
            .and_then(|committed| Orders::decode(&committed.value).ok())
            .unwrap_or_default()
    }

    /// Whether values were received, and no more come.
    fn is_up_to_date(&self) -> bool {
        self.received_at
            .is_some_and(|received| received.elapsed() > QUIET_PERIOD)
    }

    fn is_timed_out(&self) -> bool {
        self.started.elapsed() >= COMMAND_TIMEOUT
    }

    fn timeout_error(&self) -> ZonesError {
        match self.received_at {
            Some(_) => ZonesError::NoLeader,
            None => ZonesError::NoVoter,
        }
    }
}

/// The committed routing table as text, one row for each zone.
fn show(follower: &Follower) -> String {
    let Some(committed) = follower.fleet.table().value(TABLE_TOPIC) else {
        return "no table was agreed on yet: all ways are open, the nearest first".into();
    };
    let number = committed.number;
    let Ok(table) = RoutingTable::decode(&committed.value) else {
        return "the table cannot be read by this version".into();
    };
    let mut text = format!("table {number}; keys of a thousand to which each way is open\n");
    let width = table
        .zones
        .iter()
        .map(String::len)
        .max()
        .unwrap_or(0)
        .max(8);
    text += &format!("{:width$}", "from");
    table
        .zones
        .iter()
        .for_each(|to| text += &format!("  {to:>width$}"));
    for (from, row) in table.zones.iter().zip(&table.rows) {
        text += &format!("\n{from:width$}");
        for route in &row.routes {
            let cell = format!("{} {}", route.share, route.reason);
            text += &format!("  {cell:>width$}");
        }
    }
    let drained: Vec<String> = follower.orders().drained.into_iter().collect();
    if !drained.is_empty() {
        text += &format!("\nleft by order: {}", drained.join(", "));
    }
    text
}

/// Has a zone drained or taken back, and waits until the leader has carried the order out.
fn order(
    follower: &mut Follower,
    number: u64,
    zone: &str,
    drain: bool,
) -> Result<String, ZonesError> {
    let mut sent_at: Option<Instant> = None;
    while !follower.is_timed_out() {
        follower.poll();
        let is_due = sent_at.is_none_or(|sent| sent.elapsed() > RESEND_INTERVAL);
        if follower.received_at.is_some() && is_due {
            sent_at = Some(Instant::now());
            let mut actions = Vec::new();
            let order = encode_order(number, zone, drain);
            follower.fleet.report(order, &mut actions);
            follower.execute(actions);
        }
        let Orders { last, refused, .. } = follower.orders();
        if last == number {
            ensure!(refused.is_empty(), RefusedSnafu { reason: refused });
            let outcome = if drain { "is left" } else { "returns in steps" };
            return Ok(format!("zone {zone} {outcome}: agreed on"));
        }
    }
    Err(follower.timeout_error())
}

/// Carries out an operator's action and says what became of it.
///
/// # Errors
///
/// The file is bad, no voter could be reached, or the order was refused.
pub(crate) fn run(file: &Path, action: &ZonesAction) -> Result<String, ZonesError> {
    let seed = handshake_seed();
    let mut follower = Follower::start(file, seed)?;
    let number = seed | 1;
    match action {
        ZonesAction::Show => {
            while !follower.is_timed_out() {
                follower.poll();
                if follower.is_up_to_date() {
                    return Ok(show(&follower));
                }
            }
            Err(follower.timeout_error())
        }
        ZonesAction::Drain(zone) => order(&mut follower, number, zone, true),
        ZonesAction::Return(zone) => order(&mut follower, number, zone, false),
    }
}

/// A new seed for each run: the random numbers of handshakes must not repeat.
fn handshake_seed() -> u64 {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    unix.as_nanos() as u64 ^ u64::from(std::process::id()) << 40
}
