//! A replica that does nothing but send heartbeats.

use serde_json::json;

use crate::zones::Zone;

/// Backends that replicas are spread over.
const BACKENDS: usize = 230;

pub(crate) struct Replica {
    number: usize,
    zone: Zone,
    /// How often it was restarted.
    restarts: u64,
    calls: u64,
    pub(crate) draining: bool,
    /// It has departed, and sends nothing.
    pub(crate) departed: bool,
    /// The control node that its heartbeats go to.
    pub(crate) control: usize,
}

impl Replica {
    pub(crate) fn new(number: usize, zone: Zone, control: usize) -> Replica {
        Replica {
            number,
            zone,
            restarts: 0,
            calls: 0,
            draining: false,
            departed: false,
            control,
        }
    }

    pub(crate) fn ident(&self) -> String {
        format!("i-{:06}-{:04}", self.number, self.restarts)
    }

    /// Comes back under a new name, at its address.
    pub(crate) fn restart(&mut self) {
        self.restarts += 1;
        self.calls = 0;
        self.draining = false;
        self.departed = false;
    }

    /// The body of its next heartbeat.
    pub(crate) fn next_heartbeat(&mut self) -> Vec<u8> {
        self.calls += 1;
        let number = self.number;
        json!({
            "backend": format!("search-{:05}", number % BACKENDS),
            "address": format!("10.{}.{}.{}:9000", 1 + (number >> 16), (number >> 8) & 255, number & 255),
            "zone": self.zone.name(),
            "revision": "2026.11.4",
            "capacity": 64,
            "phase": if self.draining { "draining" } else { "available" },
            "warmup_ms": 0,
            "call_count": self.calls,
        })
        .to_string()
        .into_bytes()
    }
}

/// Bytes of a call with a body of this length, as our own client writes it.
pub(crate) fn request_bytes(path: &str, body: usize) -> usize {
    format!(
        "POST {path} HTTP/1.1\r\nHost: 10.0.0.1:8080\r\nContent-Type: application/json\r\n\
         Content-Length: {body}\r\n\r\n"
    )
    .len()
        + body
}

/// Bytes of the response that names an address for later heartbeats.
pub(crate) fn response_bytes(address: &str) -> usize {
    let body = json!({"report_to": address}).to_string();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .len()
}
