//! Calls of clients and operators: to one address, or to several until one gives a final response.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use linenthread_ctl::control_api::{
    MEMBERS_PATH, OK, READ_CONFIGURATION_PATH, REPLICAS_PATH, is_final,
};
use linenthread_ctl::{
    Connection, MembersStatus, ReplicaPhase, ReplicaStatus, Request, RequestError, Response,
};
use serde_json::json;

use crate::order::{Order, STEADY_KEY};

/// The time-out of one call to one address if several addresses are tried.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The number of redirects that are followed after one call.
const MAX_REDIRECTS: usize = 2;
/// The delay before all addresses are tried again after none gave a final response.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// How long after the deadline of a query its response is still awaited.
const QUERY_SLACK: Duration = Duration::from_secs(1);

/// The outcome of a call as its caller sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallOutcome {
    /// The HTTP status; `None` without a valid response.
    pub status: Option<u16>,
    /// The body of the response; empty without one.
    pub body: Vec<u8>,
    /// The address that a redirect names.
    pub location: Option<SocketAddr>,
    /// The time from the start of the call to its outcome.
    pub elapsed: Duration,
}

impl CallOutcome {
    /// Reports whether the call has a response with this status.
    pub fn has_status(&self, status: u16) -> bool {
        self.status == Some(status)
    }

    /// Reports whether the response is final. After no response, a redirect, 5xx, 408 or 429 the outcome of the call is
    /// unknown.
    pub fn is_final(&self) -> bool {
        self.status.is_some_and(is_final)
    }

    /// Reports whether the response has this status or isn't final.
    pub(crate) fn is_or_not_final(&self, status: u16) -> bool {
        self.has_status(status) || !self.is_final()
    }

    /// Returns the revision in the body, if it is a configuration.
    pub fn revision(&self) -> Option<u64> {
        serde_json::from_slice::<serde_json::Value>(&self.body).ok()?["revision"].as_u64()
    }
}

fn call(peer: SocketAddr, request: &Request<'_>, timeout: Duration) -> CallOutcome {
    let started_at = Instant::now();
    let response = request.send_to(peer, timeout);
    let elapsed = started_at.elapsed();
    match response {
        Ok(response) => CallOutcome {
            status: Some(response.status),
            location: response.redirect_target(),
            body: response.body,
            elapsed,
        },
        Err(_) => CallOutcome {
            elapsed,
            ..CallOutcome::default()
        },
    }
}

// --- operators, at one control node ---

/// Sends an order to a control node, without following redirects.
pub fn replace_at(peer: SocketAddr, order: &Order, timeout: Duration) -> CallOutcome {
    let headers = order.headers();
    call(peer, &order.request(&headers), timeout)
}

/// Reads the configuration at a control node, without following redirects.
pub fn read_at(peer: SocketAddr, timeout: Duration) -> CallOutcome {
    call(peer, &Request::get(READ_CONFIGURATION_PATH), timeout)
}

/// Reads the members at a control node; `None` without a valid response.
pub(crate) fn members_at(peer: SocketAddr) -> Option<MembersStatus> {
    let outcome = call(peer, &Request::get(MEMBERS_PATH), CALL_TIMEOUT);
    let members = serde_json::from_slice(&outcome.body).ok();
    members.filter(|_| outcome.has_status(OK))
}

/// Reports whether a control node lists a replica as draining.
pub(crate) fn is_draining_at(peer: SocketAddr, replica: &str) -> bool {
    let outcome = call(peer, &Request::get(REPLICAS_PATH), CALL_TIMEOUT);
    let replicas: Vec<ReplicaStatus> = serde_json::from_slice(&outcome.body).unwrap_or_default();
    replicas
        .iter()
        .any(|known| known.id == replica && known.phase == ReplicaPhase::Draining)
}

/// Sends the heartbeat of a draining replica to a control node.
pub fn drain_at(peer: SocketAddr, replica: &str, service: &str, timeout: Duration) -> CallOutcome {
    let heartbeat = json!({"backend": service, "address": "127.0.0.1:9", "zone": "zone-0", "revision": "v1",
        "capacity": 3, "phase": "draining", "warmup_ms": 0, "call_count": 1_000_000});
    let body = heartbeat.to_string();
    let request = Request {
        method: "POST",
        path: &format!("/Replicas.Heartbeat/{replica}"),
        headers: &[],
        body: body.as_bytes(),
    };
    call(peer, &request, timeout)
}

// --- operators, at any control node ---

/// Sends an order to one address after another until one gives a final response, or until the time-out.
pub fn replace_at_any(addresses: &[SocketAddr], order: &Order, timeout: Duration) -> CallOutcome {
    call_at_any(addresses, timeout, |peer, remaining| {
        replace_at(peer, order, remaining)
    })
}

/// Reads the configuration at one address after another until one gives a final response, or until the time-out.
pub(crate) fn read_at_any(addresses: &[SocketAddr], timeout: Duration) -> CallOutcome {
    call_at_any(addresses, timeout, read_at)
}

fn call_at_any(
    addresses: &[SocketAddr],
    timeout: Duration,
    call: impl Fn(SocketAddr, Duration) -> CallOutcome,
) -> CallOutcome {
    let started_at = Instant::now();
    let mut last = CallOutcome::default();
    loop {
        for peer in addresses {
            let remaining = timeout.saturating_sub(started_at.elapsed());
            if !remaining.is_zero() {
                last = follow_redirects(*peer, remaining.min(CALL_TIMEOUT), &call);
            }
            if remaining.is_zero() || last.is_final() {
                return CallOutcome {
                    elapsed: started_at.elapsed(),
                    ..last
                };
            }
        }
        std::thread::sleep(RETRY_DELAY);
    }
}

fn follow_redirects(
    peer: SocketAddr,
    timeout: Duration,
    call: &impl Fn(SocketAddr, Duration) -> CallOutcome,
) -> CallOutcome {
    let mut outcome = call(peer, timeout);
    for _ in 0..MAX_REDIRECTS {
        let Some(next) = outcome.location else {
            break;
        };
        outcome = call(next, timeout);
    }
    outcome
}

// --- clients ---

/// Sends a query with [`STEADY_KEY`] and a deadline to an ingress node.
///
/// # Errors
/// The ingress node could not be reached, or its response is invalid.
pub(crate) fn query_at(
    peer: SocketAddr,
    method: &str,
    path: &str,
    attempt: &str,
    deadline: Duration,
) -> Result<Response, RequestError> {
    let headers = query_headers(attempt, deadline, STEADY_KEY);
    Request {
        method,
        path,
        headers: &headers,
        body: &[],
    }
    .send_to(peer, deadline + QUERY_SLACK)
}

fn query_headers(attempt: &str, deadline: Duration, key: &str) -> [(&'static str, String); 4] {
    [
        ("Host", "index.example".to_owned()),
        ("X-Attempt-Id", attempt.to_owned()),
        ("X-Remaining-Ms", deadline.as_millis().to_string()),
        ("Authorization", format!("Bearer {key}")),
    ]
}

/// A tenant's client with a persistent connection to an ingress node.
pub(crate) struct TenantClient {
    connection: Connection,
    key: String,
}

impl TenantClient {
    /// Connects to an ingress node; all queries will carry this key.
    ///
    /// # Errors
    /// The ingress node could not be reached.
    pub(crate) fn connect(peer: SocketAddr, key: &str) -> Result<TenantClient, RequestError> {
        Ok(TenantClient {
            connection: Connection::open(peer, CALL_TIMEOUT)?,
            key: key.to_owned(),
        })
    }

    /// Sends a query with a deadline and waits for its response on the same connection.
    ///
    /// # Errors
    /// The connection ended, or the response is invalid.
    pub(crate) fn query(
        &mut self,
        path: &str,
        attempt: &str,
        deadline: Duration,
    ) -> Result<Response, RequestError> {
        let headers = query_headers(attempt, deadline, &self.key);
        let request = Request {
            headers: &headers,
            ..Request::get(path)
        };
        self.connection.send(&request, deadline + QUERY_SLACK)
    }
}
