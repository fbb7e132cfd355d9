//! One connection of a stub replica: reads requests one after another and sends their responses, or injects a fault.

use std::io::{ErrorKind, Read, Result, Write};
use std::net::TcpStream;
use std::time::{Duration, SystemTime};

use bytes::BytesMut;
use linenthread_http::{BodyReader, Head, request_framing};

use super::faults::{Fault, FaultDraws};
use super::records::records;
use super::state::{ReceivedRequest, State};

const MAX_HEAD_BYTES: usize = 16_384;
const MAX_BODY_BYTES: usize = 1 << 20;
/// The size of one read from the connection.
const READ_BYTES: usize = 4_096;
/// The delay of [`Fault::DuplicateLate`] after the first response.
const DUPLICATE_DELAY: Duration = Duration::from_millis(15);
/// With [`Fault::NoResponse`], the time after which the replica closes the connection if the caller doesn't.
const NO_RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// The number of bytes of a truncated head that are sent.
const TRUNCATED_HEAD_BYTES: usize = 20;
/// The number of bytes of a truncated body that are not sent.
const MISSING_BODY_BYTES: usize = 5;
/// The response to a request whose target is another replica.
const MISDIRECTED: &[u8] = b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";

/// What the connection does after a response.
enum Next {
    ReadRequest,
    Close,
}

/// Serves one connection until it ends or the replica is down; `number` selects the fault draws.
pub(super) fn serve(stream: TcpStream, state: &State, number: u64) -> Result<()> {
    let mut connection = Connection {
        stream,
        state,
        draws: FaultDraws::new(state.faults, number),
        buffer: BytesMut::new(),
        duplicate: Vec::new(),
    };
    while let Some(head) = connection.read_request()? {
        if state.is_down() {
            return Ok(());
        }
        let target = head.header("x-target-replica");
        if target.is_some_and(|id| id != state.id) {
            connection.stream.write_all(MISDIRECTED)?;
            continue;
        }
        let request = received_request(&head);
        state.record(request.clone());
        if let Next::Close = connection.respond(&request)? {
            return Ok(());
        }
    }
    Ok(())
}

fn received_request(head: &Head) -> ReceivedRequest {
    ReceivedRequest {
        attempt: head.header("x-attempt-id").unwrap_or_default().to_owned(),
        path: head.target().to_owned(),
        received_at: SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default(),
        tenant: head.header("x-client-name").map(ToOwned::to_owned),
        has_key: head.header_values("authorization").next().is_some(),
    }
}

struct Connection<'a> {
    stream: TcpStream,
    state: &'a State,
    draws: FaultDraws,
    buffer: BytesMut,
    /// The duplicate that is sent before the next response, if any.
    duplicate: Vec<u8>,
}

impl Connection<'_> {
    /// Sends the response to a request, with a fault if one is drawn.
    fn respond(&mut self, request: &ReceivedRequest) -> Result<Next> {
        let fault = self.draws.draw();
        if let Some(fault) = fault {
            self.state.count_fault(fault);
        }
        let duplicate = std::mem::take(&mut self.duplicate);
        self.stream.write_all(&duplicate)?;
        let response = self.response(Some(&request.attempt), request);
        match fault {
            None => self.stream.write_all(&response)?,
            Some(Fault::DuplicateAtOnce) => self.stream.write_all(&response.repeat(2))?,
            Some(Fault::DuplicateLate) => {
                self.stream.write_all(&response)?;
                std::thread::sleep(DUPLICATE_DELAY);
                self.stream.write_all(&response)?;
            }
            Some(Fault::DuplicateBeforeNext) => {
                self.stream.write_all(&response)?;
                self.duplicate = response;
            }
            Some(Fault::DuplicateWithoutId) => {
                self.stream.write_all(&response)?;
                self.duplicate = self.response(None, request);
            }
            Some(Fault::OtherAttempt) => {
                let other = ReceivedRequest {
                    attempt: format!("other-{}", request.attempt),
                    path: "/another".to_owned(),
                    ..request.clone()
                };
                let response = self.response(Some(&other.attempt), &other);
                self.stream.write_all(&response)?;
            }
            Some(Fault::TruncatedHead) => {
                self.stream.write_all(&response[..TRUNCATED_HEAD_BYTES])?;
                return Ok(Next::Close);
            }
            Some(Fault::TruncatedBody) => {
                let length = response.len() - MISSING_BODY_BYTES;
                self.stream.write_all(&response[..length])?;
                return Ok(Next::Close);
            }
            Some(Fault::NoResponse) => {
                self.wait_for_close()?;
                return Ok(Next::Close);
            }
            Some(Fault::Closed) => return Ok(Next::Close),
        }
        Ok(Next::ReadRequest)
    }

    /// Builds the response to a request; `id` is the attempt in its header, if any.
    fn response(&self, id: Option<&str>, request: &ReceivedRequest) -> Vec<u8> {
        let records = records(&self.state.service, &request.path);
        let id = id
            .map(|id| format!("X-Attempt-Id: {id}\r\n"))
            .unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\n{id}X-Replica-Seal: {}.{}.{}\r\nContent-Length: {}\r\n\r\n",
            self.state.service,
            self.state.id,
            request.attempt,
            records.len()
        );
        [head.as_bytes(), &records].concat()
    }

    /// Reads the next complete request and returns its head; `None` when the connection has ended.
    fn read_request(&mut self) -> Result<Option<Head>> {
        let invalid = |_| ErrorKind::InvalidData;
        let head = loop {
            if let Some(head) =
                Head::parse_request(&mut self.buffer, MAX_HEAD_BYTES).map_err(invalid)?
            {
                break head;
            }
            if self.read_more()? == 0 {
                return Ok(None);
            }
        };
        let framing = request_framing(&head, MAX_BODY_BYTES).map_err(invalid)?;
        let mut body = BodyReader::new(framing, MAX_BODY_BYTES);
        while !body.read_from(&mut self.buffer).map_err(invalid)? {
            if self.read_more()? == 0 {
                return Ok(None);
            }
        }
        Ok(Some(head))
    }

    fn read_more(&mut self) -> Result<usize> {
        let mut bytes = [0; READ_BYTES];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Sends nothing until the caller closes the connection, or until the time-out.
    fn wait_for_close(&mut self) -> Result<()> {
        self.stream.set_read_timeout(Some(NO_RESPONSE_TIMEOUT))?;
        let mut bytes = [0; READ_BYTES];
        while self.stream.read(&mut bytes)? > 0 {}
        Ok(())
    }
}
