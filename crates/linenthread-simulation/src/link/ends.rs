//! The configuration of the two ends of the link.

use linenthread_link::{ClientConfig, LinkClient, LinkServer, Secrets, ServerConfig};

use super::MILLISECOND;

/// The client's limit on calls in flight.
pub(super) const MAX_IN_FLIGHT: usize = 64;
/// The client's limit on queued bytes.
pub(super) const MAX_QUEUED_BYTES: u64 = 1_000;
/// The server's limit on calls per session.
pub(super) const WINDOW_CALLS: u64 = 16;
/// The server's limit on sessions.
pub(super) const MAX_SESSIONS: usize = 4;

fn secrets() -> Secrets {
    Secrets::new(vec![b"a secret of the drill".to_vec()]).expect("the secret is long enough")
}

pub(super) fn new_server(seed: u64) -> LinkServer {
    let config = ServerConfig {
        name: "far".into(),
        window_calls: WINDOW_CALLS,
        window_bytes: 4_096,
        session_timeout: 2_000 * MILLISECOND,
        max_sessions: MAX_SESSIONS,
        handshake_timeout: 500 * MILLISECOND,
        idle_timeout: 900 * MILLISECOND,
    };
    LinkServer::new(config, secrets(), seed)
}

pub(super) fn new_client(seed: u64, resume: bool) -> LinkClient {
    let config = ClientConfig {
        name: "near".into(),
        max_in_flight: MAX_IN_FLIGHT,
        max_queued_bytes: MAX_QUEUED_BYTES,
        session_timeout: if resume { 1_500 * MILLISECOND } else { 0 },
        ping_interval: 100 * MILLISECOND,
        grace_period: 300 * MILLISECOND,
        min_backoff: 20 * MILLISECOND,
        max_backoff: 400 * MILLISECOND,
    };
    LinkClient::new(config, secrets(), seed)
}
