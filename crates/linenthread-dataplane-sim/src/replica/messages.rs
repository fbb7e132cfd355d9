//! The messages of simulated replicas, as bytes.

/// A response; an id or a seal that is empty is left out. `more_headers` are whole lines.
pub fn response(
    status: u16,
    attempt_id: &str,
    seal: &str,
    more_headers: &str,
    body: &[u8],
) -> Vec<u8> {
    // Faults truncate responses in proportion to their length: the reason phrase is part of every execution.
    let mut bytes = format!("HTTP/1.1 {status} Stand-In\r\n").into_bytes();
    for (name, value) in [("X-Attempt-Id", attempt_id), ("X-Replica-Seal", seal)] {
        if !value.is_empty() {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
    }
    bytes.extend_from_slice(more_headers.as_bytes());
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// The message that a request was not executed.
pub fn rejection(attempt_id: &str) -> Vec<u8> {
    response(503, attempt_id, "", "X-Not-Executed: 1\r\n", b"")
}

/// The message that another replica has the address.
pub fn misdirection(replica_id: &str) -> Vec<u8> {
    let headers = format!("X-Replica-Id: {replica_id}\r\n");
    response(421, "", "", &headers, b"")
}
