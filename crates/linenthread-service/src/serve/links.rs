//! Starts the links to the configured peers, and the gateway that accepts incoming links.

use std::time::Duration;

use linenthread_installation as file;
use linenthread_link::{ClientConfig, LinkServer, ServerConfig};
use snafu::ResultExt;
use tokio::sync::mpsc;
use tracing::info;

use super::error::{ListenForLinksSnafu, ServeError};
use crate::clock::to_tenths;
use crate::config::Config;
use crate::coordinator_driver::CoordinatorDriver;
use crate::frontends::link::Gateway;
use crate::frontends::listener;
use crate::installation::WithSecrets;
use crate::transports::{Transports, link};

/// Maximum bytes of calls that may be queued for one link.
const MAX_QUEUED_BYTES: u64 = 8 * 1024 * 1024;
/// Shortest backoff before a link reconnects.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff before a link reconnects.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Time limit of the handshake of an incoming link.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// A link's connection is closed if nothing is received on it for this long.
const IDLE_TIMEOUT: Duration = Duration::from_millis(10_000);

/// Returns the number of descriptors that links need: one for each peer, and for a gateway one for its listener and two
/// for each session.
pub(super) fn descriptors(peer_count: usize, gateway: Option<&file::Gateway>) -> usize {
    peer_count + gateway.map_or(0, |gateway| 2 * gateway.max_sessions + 1)
}

/// Starts the link to one peer. `seed` must differ between the links of a process.
pub(super) fn start_peer(
    config: &Config,
    driver: &CoordinatorDriver,
    transports: &Transports,
    peer: WithSecrets<file::Peer>,
    seed: u64,
) {
    let WithSecrets {
        section: peer,
        secrets,
    } = peer;
    let number = driver.add_peer();
    let (changes, mut events) = mpsc::unbounded_channel();
    let client = ClientConfig {
        name: config.name.clone(),
        max_in_flight: peer.max_in_flight,
        max_queued_bytes: MAX_QUEUED_BYTES,
        session_timeout: to_tenths(peer.session_timeout),
        ping_interval: to_tenths(peer.ping_interval),
        grace_period: to_tenths(peer.grace_period),
        min_backoff: to_tenths(MIN_BACKOFF),
        max_backoff: to_tenths(MAX_BACKOFF),
    };
    let link_config = link::LinkConfig {
        name: peer.name,
        address: peer.address,
        secrets,
        client,
        seed,
    };
    transports.add_peer(link::Peer::start(link_config, driver.clock(), changes));
    let driver = driver.clone();
    actix_rt::spawn(async move {
        while let Some(event) = events.recv().await {
            driver.on_link_event(number, event);
        }
    });
}

/// Starts the gateway, which accepts incoming links.
///
/// # Errors
///
/// Returns an error if the process cannot listen on the gateway's address.
pub(super) fn start_gateway(
    config: &Config,
    driver: &CoordinatorDriver,
    transports: &Transports,
    gateway: WithSecrets<file::Gateway>,
) -> Result<Gateway, ServeError> {
    let WithSecrets {
        section: gateway,
        secrets,
    } = gateway;
    let address = gateway.listen;
    let listener = listener::listen(address).context(ListenForLinksSnafu { address })?;
    let listen = listener.local_addr().unwrap_or(address);
    let server_config = ServerConfig {
        name: config.name.clone(),
        window_calls: gateway.window_calls,
        window_bytes: gateway.window_bytes,
        session_timeout: to_tenths(gateway.session_timeout),
        max_sessions: gateway.max_sessions,
        handshake_timeout: to_tenths(HANDSHAKE_TIMEOUT),
        idle_timeout: to_tenths(IDLE_TIMEOUT),
    };
    let server = LinkServer::new(server_config, secrets, config.seed);
    let gateway = Gateway::new(
        driver.clone(),
        transports.clone(),
        server,
        gateway.slow_start_share,
    );
    let accepting = gateway.clone();
    actix_rt::spawn(async move { accepting.run(&listener).await });
    info!(%listen, "gateway listening");
    Ok(gateway)
}
