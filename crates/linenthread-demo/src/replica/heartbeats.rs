//! Sends the heartbeats of a stub replica.

use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use linenthread_ctl::Request;
use serde_json::json;

use super::state::State;

const INTERVAL: Duration = Duration::from_millis(300);
/// The time without a response after which the next control node is tried.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Sends heartbeats until `stop` is closed: to the control node that acknowledged the last one, or to the next one if it
/// fails to acknowledge.
pub(super) fn send(
    state: &State,
    address: SocketAddr,
    zone: &str,
    control: &[SocketAddr],
    stop: &Receiver<()>,
) {
    let path = format!("/Replicas.Heartbeat/{}", state.id);
    let mut next = 0;
    for call_count in 1u64.. {
        let heartbeat = json!({"backend": state.service, "address": address.to_string(), "zone": zone,
            "revision": "v1", "capacity": 3, "phase": "available", "warmup_ms": 0,
            "call_count": call_count});
        let body = heartbeat.to_string();
        for _ in control {
            let response = Request {
                method: "POST",
                path: &path,
                headers: &[],
                body: body.as_bytes(),
            }
            .send_to(control[next], TIMEOUT);
            if response.is_ok_and(|response| (200..300).contains(&response.status)) {
                break;
            }
            next = (next + 1) % control.len();
        }
        if stop.recv_timeout(INTERVAL) != Err(RecvTimeoutError::Timeout) {
            return;
        }
    }
}
