//! Encodes the responses of simulated replicas.

/// The end of the head of an HTTP message.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// An HTTP response of a replica.
#[derive(Clone, Copy)]
pub struct Message<'a> {
    /// HTTP status code.
    pub status: u16,
    /// Request id in the `X-Attempt-Id` header; no such header if `None`.
    pub request_id: Option<&'a str>,
    /// Seal of the execution in the `X-Replica-Seal` header; no such header if `None`.
    pub seal: Option<&'a str>,
    /// Additional header lines, each ended by CRLF.
    pub more_headers: &'a str,
    /// Body of the response.
    pub body: &'a [u8],
}

/// A response with status 200, without request id, seal or body.
impl Default for Message<'_> {
    fn default() -> Self {
        Message {
            status: 200,
            request_id: None,
            seal: None,
            more_headers: "",
            body: b"",
        }
    }
}

impl Message<'_> {
    /// Encodes the response, with a `Content-Length` header.
    pub fn to_bytes(&self) -> Vec<u8> {
        // The reason phrase must keep its length: faults truncate responses in proportion to their length, so a change
        // would alter the executions of all seeds.
        let mut text = format!("HTTP/1.1 {} Stand-In\r\n", self.status);
        let headers = [
            ("X-Attempt-Id", self.request_id),
            ("X-Replica-Seal", self.seal),
        ];
        for (name, value) in headers {
            if let Some(value) = value {
                text.push_str(&format!("{name}: {value}\r\n"));
            }
        }
        text.push_str(self.more_headers);
        text.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(self.body);
        bytes
    }
}

/// Returns a 503 response which states that the request was not executed.
pub fn rejection(request_id: Option<&str>) -> Vec<u8> {
    Message {
        status: 503,
        request_id,
        more_headers: "X-Not-Executed: 1\r\n",
        ..Message::default()
    }
    .to_bytes()
}

/// Returns a 421 response which states that the replica at this address is `replica_id`, not the requested one.
pub fn misdirection(replica_id: &str) -> Vec<u8> {
    Message {
        status: 421,
        more_headers: &format!("X-Replica-Id: {replica_id}\r\n"),
        ..Message::default()
    }
    .to_bytes()
}

/// Splits a response into its head, from which the `Content-Length` header is removed, and its body.
pub(super) fn without_length(response: &[u8]) -> (Vec<u8>, &[u8]) {
    let head_end = response
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END)
        .map_or(response.len(), |at| at + HEAD_END.len());
    let (head, body) = response.split_at(head_end);
    let lines = String::from_utf8_lossy(head);
    let kept = lines
        .split_inclusive('\n')
        .filter(|line| !line.starts_with("Content-Length:"));
    (kept.collect::<String>().into_bytes(), body)
}
