//! Membership of this process in the fleet: gossip, the voter's log and decisions on zones.
//!
//! The state machines of `linenthread-fleet` and `linenthread-zones` contain the logic; this module connects them to
//! sockets, files and clocks. It runs on a separate thread, so that a voter that waits for its disk does not delay
//! queries. [`start`] is the entry point; the rest of the process exchanges the messages [`FleetRequest`] and
//! [`FleetUpdate`] with the thread.

mod connection;
mod error;
mod member;
mod orders;
mod sockets;
mod zone_decisions;

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::mpsc as blocking;
use std::time::Duration;

use linenthread_frames::Secrets;
use linenthread_installation as file;
use linenthread_zones::{RoutingTable, Zone};
use snafu::ResultExt;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::clock::Clock;
use crate::zone_routing::ZoneReport;

pub(crate) use error::StartError;
use error::{ListenSnafu, RuntimeSnafu, SpawnSnafu};
use member::Member;
pub(crate) use orders::{Order, Orders, ZoneChange};

/// Topic of the routing table in the fleet's log.
pub(crate) const TABLE_TOPIC: &str = "zones.table";
/// Topic of the operators' orders in the fleet's log.
pub(crate) const ORDERS_TOPIC: &str = "zones.orders";

/// Time for the sockets to send the leave messages to the other members.
const LEAVE_GRACE: Duration = Duration::from_millis(150);

/// A message to the fleet's thread.
pub(crate) enum FleetRequest {
    /// This process's observations of the zones.
    Report(ZoneReport),
    /// Leave the fleet and end the thread.
    Leave,
}

/// A message from the fleet's thread.
pub(crate) enum FleetUpdate {
    /// A routing table was committed with this number in the fleet's log.
    Table { number: u64, table: RoutingTable },
}

/// The configuration with which a process joins the fleet.
#[derive(Clone)]
pub(crate) struct MemberConfig {
    /// The member's name, unique in the fleet.
    pub name: String,
    pub fleet: file::Fleet,
    /// If `None`, the member takes no part in decisions on zones.
    pub zones: Option<file::Zones>,
    pub secrets: Secrets,
    /// Seed of the random numbers of gossip and elections.
    pub seed: u64,
}

/// Handle to the fleet's thread.
pub(crate) struct FleetHandle {
    pub sender: mpsc::UnboundedSender<FleetRequest>,
    thread_exit: blocking::Receiver<()>,
}

impl FleetHandle {
    /// Leaves the fleet and waits until the thread has ended, for four times [`LEAVE_GRACE`] at most.
    pub(crate) fn leave(&self) {
        self.sender.send(FleetRequest::Leave).ok();
        self.thread_exit.recv_timeout(LEAVE_GRACE * 4).ok();
    }
}

/// Converts the zones of the installation file, in the file's order.
pub(crate) fn configured_zones(zones: &file::Zones) -> Vec<Zone> {
    let zone = |zone: &file::Zone| Zone {
        name: zone.name.clone(),
        region: zone.region.clone(),
        replica_capacity: zone.replica_capacity.map(f64::from),
    };
    zones.zones.iter().map(zone).collect()
}

/// Starts the fleet's thread and waits until the member has opened its sockets and its log.
///
/// # Errors
///
/// Returns an error if the thread cannot be started, the process cannot listen for other members, or the voter's
/// directory or log cannot be opened.
pub(crate) fn start(
    config: MemberConfig,
    clock: Clock,
    from_fleet: mpsc::UnboundedSender<FleetUpdate>,
) -> Result<FleetHandle, StartError> {
    let address = config.fleet.listen;
    let sockets = Sockets::bind(address).context(ListenSnafu { address })?;
    let (sender, received) = mpsc::unbounded_channel();
    let (ended_sender, ended) = blocking::channel();
    let (started_sender, started) = blocking::channel();
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context(RuntimeSnafu);
        let runtime = match runtime {
            Ok(runtime) => runtime,
            Err(error) => return drop(started_sender.send(Err(error))),
        };
        LocalSet::new().block_on(&runtime, async move {
            match Member::new(config, clock, from_fleet, sockets) {
                Ok(member) => {
                    started_sender.send(Ok(())).ok();
                    member.run(received).await;
                }
                Err(error) => drop(started_sender.send(Err(error))),
            }
        });
        ended_sender.send(()).ok();
    };
    std::thread::Builder::new()
        .name("fleet".into())
        .spawn(run)
        .context(SpawnSnafu)?;
    started.recv().map_err(|_| StartError::ThreadExited)??;
    Ok(FleetHandle {
        sender,
        thread_exit: ended,
    })
}

/// The sockets of a member, both bound to the same address.
struct Sockets {
    tcp: TcpListener,
    udp: UdpSocket,
}

impl Sockets {
    fn bind(address: SocketAddr) -> io::Result<Sockets> {
        let tcp = TcpListener::bind(address)?;
        let udp = UdpSocket::bind(address)?;
        tcp.set_nonblocking(true)?;
        udp.set_nonblocking(true)?;
        Ok(Sockets { tcp, udp })
    }
}
