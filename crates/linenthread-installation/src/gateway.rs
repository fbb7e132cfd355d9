//! `<gateway>` and `<peers>`: links between sites, see `linenthread-link`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::InstallationError;
use crate::attributes::{parse_address, secret_files};
use crate::document::{GatewaySection, PeerSection, PeersSection};
use crate::xml::Element;

/// The configuration of this program as a gateway: coordinators in other sites reach its replicas over links.
#[derive(Clone, Debug, PartialEq)]
pub struct Gateway {
    /// The address on which it accepts links.
    pub listen: SocketAddr,
    /// The file of the secret in use, then that of the previous one, which is still accepted.
    pub secret_files: Vec<PathBuf>,
    /// The maximum number of calls of a session that are running or whose outcome is retained.
    pub window_calls: u64,
    /// The maximum total size of these calls, in bytes.
    pub window_bytes: u64,
    /// How long a session is retained without a connection.
    pub session_timeout: Duration,
    /// The maximum number of sessions.
    pub max_sessions: usize,
    /// The share of a replica's slow-start budget that each session may use, in thousandths.
    pub slow_start_share: u16,
}

/// A gateway in another site, through which its replicas are reached.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// The gateway's name.
    pub name: String,
    /// The address at which it accepts links.
    pub address: SocketAddr,
    /// The file of the secret in use, then that of the previous one, which is still accepted.
    pub secret_files: Vec<PathBuf>,
    /// The maximum number of pending calls.
    pub max_in_flight: usize,
    /// How long a session is retained after its connection is lost.
    pub session_timeout: Duration,
    /// The time between two pings.
    pub ping_interval: Duration,
    /// The longest time for which a call waits for credit or, after an interruption, for the connection.
    pub grace_period: Duration,
}

impl Gateway {
    pub(crate) fn check(
        section: GatewaySection,
        element: &Element,
    ) -> Result<Gateway, InstallationError> {
        let listen = parse_address(&section.listen, element)?;
        Ok(Gateway {
            listen,
            secret_files: secret_files(section.secret, section.previous_secret),
            window_calls: section.window_calls,
            window_bytes: section.window_bytes,
            session_timeout: Duration::from_millis(section.session_timeout_ms),
            max_sessions: section.max_sessions,
            slow_start_share: section.slow_start_share,
        })
    }
}

impl Peer {
    /// Checks all peers; no two may have the same name or address.
    pub(crate) fn check_all(
        section: PeersSection,
        element: &Element,
    ) -> Result<Vec<Peer>, InstallationError> {
        let mut peers: Vec<Peer> = Vec::new();
        for (section, element) in section.peers.into_iter().zip(element.children("peer")) {
            let peer = Peer::check(section, element)?;
            let is_same = |other: &Peer| other.name == peer.name || other.address == peer.address;
            if peers.iter().any(is_same) {
                let cause = format!("the peer {} or its address is listed twice", peer.name);
                return Err(element.error(cause));
            }
            peers.push(peer);
        }
        Ok(peers)
    }

    fn check(section: PeerSection, element: &Element) -> Result<Peer, InstallationError> {
        let address = parse_address(&section.address, element)?;
        Ok(Peer {
            name: section.name,
            address,
            secret_files: secret_files(section.secret, section.previous_secret),
            max_in_flight: section.max_in_flight,
            session_timeout: Duration::from_millis(section.session_timeout_ms),
            ping_interval: Duration::from_millis(section.ping_interval_ms),
            grace_period: Duration::from_millis(section.grace_period_ms),
        })
    }
}
