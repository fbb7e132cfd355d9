//! A replica that does nothing but say that it is there.

use serde_json::json;

use crate::geography::zone_name;

pub(crate) struct Replica {
    number: usize,
    pub zone: usize,
    life: u64,
    calls: u64,
    pub draining: bool,
    /// Where its heartbeats go.
    pub node: usize,
}

impl Replica {
    pub(crate) fn new(number: usize, zone: usize, node: usize) -> Replica {
        Replica {
            number,
            zone,
            life: 0,
            calls: 0,
            draining: false,
            node,
        }
    }

    pub(crate) fn ident(&self) -> String {
        format!("i-{:06}-{:04}", self.number, self.life)
    }

    /// Ended and started anew at its address.
    pub(crate) fn restart(&mut self) {
        self.life += 1;
        (self.calls, self.draining) = (0, false);
    }

    /// The body of its next heartbeat.
    pub(crate) fn body(&mut self) -> Vec<u8> {
        self.calls += 1;
        let number = self.number;
        json!({
            "backend": format!("search-{:05}", number % 230),
            "address": format!("10.{}.{}.{}:9000", 1 + (number >> 16), (number >> 8) & 255, number & 255),
            "zone": zone_name(self.zone),
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

/// Bytes of a call with this body, as our own client writes it.
pub(crate) fn call_bytes(path: &str, body: usize) -> usize {
    format!(
        "POST {path} HTTP/1.1\r\nHost: 10.0.0.1:8080\r\nContent-Type: application/json\r\n\
         Content-Length: {body}\r\n\r\n"
    )
    .len()
        + body
}

/// Bytes of the acknowledgement that names an address for later heartbeats.
pub(crate) fn answer_bytes(address: &str) -> usize {
    let body = json!({"report_to": address}).to_string();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .len()
}
