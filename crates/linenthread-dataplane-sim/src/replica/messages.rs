//! The messages of simulated replicas, as bytes.

/// What ends a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A response of a replica.
#[derive(Clone, Copy)]
pub struct Message<'a> {
    /// Its status.
    pub status: u16,
    /// The id of the request that it names, if it names one.
    pub request_id: Option<&'a str>,
    /// The seal of the execution, if there was one.
    pub seal: Option<&'a str>,
    /// More header lines, whole ones.
    pub more_headers: &'a str,
    /// Its body.
    pub body: &'a [u8],
}

/// A success that names no request, with neither seal nor body.
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
    /// The bytes of the response.
    pub fn to_bytes(&self) -> Vec<u8> {
        // Faults truncate responses in proportion to their length: the reason phrase is part of every execution.
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

/// The message that a request was not executed.
pub fn rejection(request_id: Option<&str>) -> Vec<u8> {
    Message {
        status: 503,
        request_id,
        more_headers: "X-Not-Executed: 1\r\n",
        ..Message::default()
    }
    .to_bytes()
}

/// The message that another replica has the address.
pub fn misdirection(replica_id: &str) -> Vec<u8> {
    Message {
        status: 421,
        more_headers: &format!("X-Replica-Id: {replica_id}\r\n"),
        ..Message::default()
    }
    .to_bytes()
}

/// The head of a response without its length, and its body.
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
