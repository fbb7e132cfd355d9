//! Checks that the keys of an order are applied, and that a revoked key is never served again: a client of each ingress
//! node sends queries during the whole scenario with a key that the second order revokes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use linenthread_ctl::control_api::OK;

use super::findings::Findings;
use super::scale::APPLY_TIMEOUT;
use super::setup::UNAUTHORIZED;
use crate::client::TenantClient;
use crate::cluster::Cluster;
use crate::order::{CHANGING_KEY_PREFIX, Order, STEADY_KEY, key_of_revision};

const QUERY_DEADLINE: Duration = Duration::from_millis(900);
/// The pause between two queries of a client.
const QUERY_INTERVAL: Duration = Duration::from_millis(20);

/// Running clients, one for each ingress node.
pub(super) struct KeyWatch {
    is_stopped: Arc<AtomicBool>,
    clients: Vec<JoinHandle<KeyHistory>>,
}

/// The outcomes of queries with one key at one ingress node.
#[derive(Clone, Copy, Debug, Default)]
struct KeyHistory {
    queries: usize,
    refused: usize,
    /// The number of queries that were served after one had been refused.
    served_again: usize,
}

impl KeyWatch {
    /// Starts the clients with the key that only this order has.
    pub(super) fn start(cluster: &Cluster, order: &Order) -> KeyWatch {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let clients = cluster
            .ingress_addresses()
            .into_iter()
            .map(|peer| {
                let (is_stopped, key) = (is_stopped.clone(), key_of_revision(order.revision));
                std::thread::spawn(move || send_queries(peer, &key, &is_stopped))
            })
            .collect();
        KeyWatch {
            is_stopped,
            clients,
        }
    }

    /// Stops the clients; checks that the key was refused and never served again after that, and that no process logged a
    /// key.
    pub(super) fn check(mut self, findings: &mut Findings, cluster: &mut Cluster) {
        self.is_stopped.store(true, Ordering::Relaxed);
        for client in std::mem::take(&mut self.clients) {
            let history = client.join().unwrap_or_default();
            findings.check(history.refused > 0, "a revoked key is refused", || {
                format!("{history:?}")
            });
            findings.check(
                history.served_again == 0,
                "a revoked key is never served again",
                || format!("{history:?}"),
            );
            findings.add_note(format!("queries with a revoked key: {history:?}"));
        }
        let lines = cluster.all_lines_with_any(&[STEADY_KEY, CHANGING_KEY_PREFIX]);
        findings.check(lines.is_empty(), "no log line contains a key", || {
            format!("{} lines", lines.len())
        });
    }
}

impl Drop for KeyWatch {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}

/// Sends queries until stopped; opens a new connection when one has failed.
fn send_queries(peer: SocketAddr, key: &str, is_stopped: &AtomicBool) -> KeyHistory {
    let mut history = KeyHistory::default();
    let mut connection = None;
    while !is_stopped.load(Ordering::Relaxed) {
        history.queries += 1;
        match query(&mut connection, peer, key, history.queries) {
            Some(UNAUTHORIZED) => history.refused += 1,
            Some(OK) if history.refused > 0 => history.served_again += 1,
            _ => {}
        }
        std::thread::sleep(QUERY_INTERVAL);
    }
    history
}

/// Sends a query and returns its status; keeps the connection for the next query. `None` if there is no connection or it
/// has failed.
fn query(
    connection: &mut Option<TenantClient>,
    peer: SocketAddr,
    key: &str,
    number: usize,
) -> Option<u16> {
    let mut client = match connection.take() {
        Some(client) => client,
        None => TenantClient::connect(peer, key).ok()?,
    };
    let attempt = format!("watch-{number}");
    let status = client
        .query("/all/watch", &attempt, QUERY_DEADLINE)
        .ok()?
        .status;
    *connection = Some(client);
    Some(status)
}

/// Checks that each ingress node applies the keys of the newest order in time: it serves the added key and refuses the
/// revoked one.
pub(super) fn check_keys(findings: &mut Findings, cluster: &Cluster, newest: &Order) {
    let apply_deadline = Instant::now() + APPLY_TIMEOUT;
    for peer in cluster.ingress_addresses() {
        let added = key_of_revision(newest.revision);
        let status = wait_for_status(peer, &added, OK, apply_deadline);
        findings.check(
            status == Some(OK),
            "the key that an order adds is served in time",
            || format!("revision {}: {status:?}", newest.revision),
        );
        let revoked = key_of_revision(newest.base_revision);
        let status = wait_for_status(peer, &revoked, UNAUTHORIZED, apply_deadline);
        findings.check(
            status == Some(UNAUTHORIZED),
            "the key that an order revokes is refused in time",
            || format!("revision {}: {status:?}", newest.base_revision),
        );
    }
}

/// Sends queries with a key until their status is the expected one, or until a deadline; returns the last status.
fn wait_for_status(peer: SocketAddr, key: &str, expected: u16, deadline: Instant) -> Option<u16> {
    let mut connection = None;
    for number in 0.. {
        let status = query(&mut connection, peer, key, number);
        if status == Some(expected) || Instant::now() >= deadline {
            return status;
        }
        std::thread::sleep(QUERY_INTERVAL);
    }
    None
}
