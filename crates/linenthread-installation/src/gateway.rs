//! `<gateway>` and `<peers>`: links between sites.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::InstallationError;
use crate::attributes::{parse_address, secret_files};
use crate::document::{GatewaySection, PeerSection, PeersSection};
use crate::xml::Element;

/// This program as a gateway: coordinators in other sites reach its replicas over links.
#[derive(Clone, Debug, PartialEq)]
pub struct Gateway {
    /// Where it accepts links.
    pub listen: SocketAddr,
    /// The file of the secret that is used, then that of the previous one, which is still accepted.
    pub secret_files: Vec<PathBuf>,
    /// The most calls of a session that run or whose outcome is retained.
    pub window_calls: u64,
    /// The most bytes of these calls.
    pub window_bytes: u64,
    /// How long a session without a connection is retained.
    pub session_timeout: Duration,
    /// The most sessions.
    pub max_sessions: usize,
    /// What each session may use of a replica's slow-start budget, in thousandths.
    pub slow_start_share: u16,
}

/// A gateway in another site, behind which there are further replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Where it accepts links.
    pub address: SocketAddr,
    /// The file of the secret that is used, then that of the previous one, which is still accepted.
    pub secret_files: Vec<PathBuf>,
    /// The most calls that have not completed.
    pub max_in_flight: usize,
    /// How long a session outlives its connection.
    pub session_timeout: Duration,
    /// The time between two pings.
    pub ping_interval: Duration,
    /// The longest wait of a call for credit or for a lost link.
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
    /// Checks all peers; no two have the same name or address.
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
