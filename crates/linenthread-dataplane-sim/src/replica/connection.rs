//! A replica's end of one connection, which handles the requests that arrive on it.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use linenthread_http::{BodyPresence, BodyReader, Head, request_framing};
use tokio::time::Instant;

use super::messages::{Message, misdirection, rejection, without_length};
use super::{Replica, TargetCheck};
use crate::content::response_body;
use crate::event_log::Arrival;
use crate::fault_plan::{RequestFault, SurplusResponse, SurplusTime, Truncation, WriteFault};
use crate::network::{Inbound, InboundEvent, Peer};
use crate::tenants::KEY_MARKER;

/// Maximum size of the head and of the body of a request, in bytes.
const MAX_REQUEST_BYTES: usize = 1 << 16;
/// Delay of resets, closes and surplus responses that follow immediately.
const SHORT_DELAY: Duration = Duration::from_millis(1);

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    /// The replica has dropped the connection, which the ingress node may not have noticed yet. Further bytes are
    /// answered with a reset.
    Dropped,
    /// Nothing is sent any more.
    Stalled,
}

/// A request that has been read completely.
struct Request {
    request_id: String,
    path: String,
    target_replica: String,
    response_body_presence: BodyPresence,
}

/// A replica's end of one connection.
pub(super) struct Connection {
    replica: Rc<Replica>,
    state: State,
    buffer: BytesMut,
    /// Surplus response to send before the response to the next request.
    surplus: Option<Vec<u8>>,
    /// Idle time after which the replica drops the connection without the ingress node noticing; `None` for no limit.
    idle_timeout: Option<Duration>,
    last_used_at: Instant,
    /// Earliest time at which the response to the last request can have arrived.
    response_arrives_at: Instant,
}

impl Connection {
    pub(super) fn new(replica: Rc<Replica>, idle_timeout: Option<Duration>) -> Connection {
        Connection {
            replica,
            state: State::Open,
            buffer: BytesMut::new(),
            surplus: None,
            idle_timeout,
            last_used_at: Instant::now(),
            response_arrives_at: Instant::now(),
        }
    }

    /// Records a request on a connection with an unanswered request or unread bytes as a misuse.
    fn check_connection_use(&self, inbound: &Inbound) {
        let is_unanswered =
            self.state == State::Stalled || self.response_arrives_at > Instant::now();
        let is_idle = inbound.is_idle();
        if is_unanswered || !is_idle {
            self.replica.log.add_misused_connection(format!(
                "{}: unanswered {is_unanswered}, idle {is_idle}",
                self.replica.id
            ));
        }
    }

    /// Records bytes that contain a client's key, or an `Authorization` header, as a leak.
    fn check_for_leaked_key(&self, bytes: &[u8]) {
        let text = String::from_utf8_lossy(bytes).to_ascii_lowercase();
        if text.contains(KEY_MARKER) || text.contains("authorization") {
            let cause = format!("{} received {text:?}", self.replica.id);
            self.replica.log.add_leaked_key(cause);
        }
    }

    /// Removes the next complete request from the buffer and logs its arrival.
    fn next_request(&mut self) -> Option<Request> {
        let mut rest = self.buffer.clone();
        let head = Head::parse_request(&mut rest, MAX_REQUEST_BYTES).ok()??;
        let framing = request_framing(&head, MAX_REQUEST_BYTES).ok()?;
        let mut body = BodyReader::new(framing, MAX_REQUEST_BYTES);
        if !body.read_from(&mut rest).ok()? {
            return None;
        }
        self.buffer = rest;
        let tenants = head.header_values("x-client-name");
        self.replica.log.add_arrival(Arrival {
            request_id: head.header("x-attempt-id").unwrap_or_default().to_owned(),
            at: Instant::now(),
            tenants: tenants
                .map(|name| String::from_utf8_lossy(name).into_owned())
                .collect(),
        });
        let header = |name| head.header(name).unwrap_or_default().to_owned();
        Some(Request {
            request_id: header("x-attempt-id"),
            path: head.target().to_owned(),
            target_replica: header("x-target-replica"),
            response_body_presence: head.response_body_presence(),
        })
    }

    /// Handles a request: rejects it if it is addressed to another replica and the target check is enforced, and
    /// otherwise responds with a randomly drawn fault.
    fn serve(&mut self, request: &Request, inbound: &mut Inbound) {
        let replica = self.replica.clone();
        let random = &replica.random;
        if let Some(surplus) = self.surplus.take() {
            inbound.push_bytes(SHORT_DELAY, surplus);
        }
        let mut delay = replica.remaining_freeze() + random.millis(2, 30);
        self.response_arrives_at = Instant::now() + delay;
        let is_misdirected = request.target_replica != replica.id;
        if replica.target_check == TargetCheck::Enforced && is_misdirected {
            let message = misdirection(&replica.id);
            return inbound.push_bytes(delay, message);
        }
        let fault = replica.faults.request(random);
        if fault == RequestFault::LateResponse {
            delay += random.millis(200, 2_500);
            self.response_arrives_at = Instant::now() + delay;
        }
        self.respond(request, fault, delay, inbound);
    }

    /// Responds to a request after a delay, with this fault.
    fn respond(
        &mut self,
        request: &Request,
        fault: RequestFault,
        delay: Duration,
        inbound: &mut Inbound,
    ) {
        let request_id = Some(request.request_id.as_str());
        match fault {
            RequestFault::None | RequestFault::LateResponse => {
                inbound.push_bytes(delay, self.execute(request, request_id));
            }
            RequestFault::SurplusResponse(kind, time) => {
                let response = self.execute(request, request_id);
                let surplus = self.surplus_response(request, kind, &response);
                self.respond_with_surplus(response, surplus, time, delay, inbound);
            }
            RequestFault::ResponseWithoutId => {
                inbound.push_bytes(delay, self.execute(request, None));
            }
            RequestFault::ResponseOfAnotherRequest => {
                let other_id = id_of_another_request(&request.request_id);
                inbound.push_bytes(delay, self.execute(request, Some(&other_id)));
            }
            RequestFault::ServerError { sealed } => {
                let failure = self.fail(request, sealed);
                inbound.push_bytes(delay, failure);
            }
            RequestFault::Rejected { with_id, closes } => {
                let named_id = request_id.filter(|_| with_id);
                inbound.push_bytes(delay, rejection(named_id));
                if closes {
                    inbound.push(Duration::ZERO, InboundEvent::Close);
                    self.state = State::Dropped;
                }
            }
            RequestFault::RejectedTwice => {
                inbound.push_bytes(delay, rejection(request_id));
                self.surplus = Some(rejection(request_id));
            }
            RequestFault::Stalled { executed } => {
                if executed {
                    self.execute(request, None);
                }
                self.state = State::Stalled;
            }
            RequestFault::Reset { executed } => {
                self.drop_without_response(request, executed);
                inbound.push(delay, InboundEvent::Reset);
            }
            RequestFault::Closed { executed } => {
                self.drop_without_response(request, executed);
                inbound.push(delay, InboundEvent::Close);
            }
            RequestFault::ResponseWithoutLength { is_reset } => {
                let response = self.execute(request, request_id);
                self.respond_without_length(&response, is_reset, delay, inbound);
            }
            RequestFault::Truncated { per_mille, end } => {
                let mut response = self.execute(request, request_id);
                response.truncate(fraction(response.len(), per_mille));
                inbound.push_bytes(delay, response);
                self.end_truncated(end, delay, inbound);
            }
        }
    }

    /// Sends a response without its `Content-Length`, and closes or resets the connection.
    fn respond_without_length(
        &mut self,
        response: &[u8],
        is_reset: bool,
        delay: Duration,
        inbound: &mut Inbound,
    ) {
        let (mut bytes, body) = without_length(response);
        if is_reset {
            let arrived = self.replica.random.index(body.len() + 1);
            bytes.extend_from_slice(&body[..arrived]);
            inbound.push_bytes(delay, bytes);
            inbound.push(SHORT_DELAY, InboundEvent::Reset);
        } else {
            bytes.extend_from_slice(body);
            inbound.push_bytes(delay, bytes);
            inbound.push(SHORT_DELAY, InboundEvent::Close);
        }
        self.state = State::Dropped;
    }

    /// Drops the connection without a response, after executing the request if `executed`.
    fn drop_without_response(&mut self, request: &Request, executed: bool) {
        if executed {
            self.execute(request, None);
        }
        self.state = State::Dropped;
    }

    fn end_truncated(&mut self, end: Truncation, delay: Duration, inbound: &mut Inbound) {
        match end {
            Truncation::Close => inbound.push(delay, InboundEvent::Close),
            Truncation::Reset => inbound.push(delay, InboundEvent::Reset),
            Truncation::Stall => {}
        }
        self.state = match end {
            Truncation::Close | Truncation::Reset => State::Dropped,
            Truncation::Stall => State::Stalled,
        };
    }

    /// Executes a request and returns the response, with this request id.
    fn execute(&self, request: &Request, request_id: Option<&str>) -> Vec<u8> {
        let seal = self.replica.execute(&request.request_id, &request.path);
        let body = match request.response_body_presence {
            BodyPresence::Present => self.body(request),
            BodyPresence::Absent => Vec::new(),
        };
        Message {
            request_id,
            seal: Some(&seal),
            body: &body,
            ..Message::default()
        }
        .to_bytes()
    }

    /// Executes a request that fails and returns the response, with a seal if `sealed`.
    fn fail(&self, request: &Request, sealed: bool) -> Vec<u8> {
        let seal = self.replica.execute(&request.request_id, &request.path);
        Message {
            status: 500,
            request_id: Some(&request.request_id),
            seal: sealed.then_some(seal.as_str()),
            body: b"failed",
            ..Message::default()
        }
        .to_bytes()
    }

    fn body(&self, request: &Request) -> Vec<u8> {
        response_body(&self.replica.backend, &request.path, &request.request_id)
    }

    fn surplus_response(&self, request: &Request, kind: SurplusResponse, first: &[u8]) -> Vec<u8> {
        let seal = format!("{}.again", self.replica.id);
        let id_of_another = id_of_another_request(&request.request_id);
        let sealed = |request_id: Option<&str>| {
            Message {
                request_id,
                seal: Some(&seal),
                body: &self.body(request),
                ..Message::default()
            }
            .to_bytes()
        };
        match kind {
            SurplusResponse::Repeated => first.to_vec(),
            SurplusResponse::WithoutId => sealed(None),
            SurplusResponse::OfAnotherRequest => sealed(Some(&id_of_another)),
            SurplusResponse::Rejection => rejection(Some(&request.request_id)),
            SurplusResponse::RejectionWithoutId => rejection(None),
            SurplusResponse::Misdirection => misdirection("another"),
        }
    }

    fn respond_with_surplus(
        &mut self,
        mut response: Vec<u8>,
        surplus: Vec<u8>,
        time: SurplusTime,
        delay: Duration,
        inbound: &mut Inbound,
    ) {
        match time {
            SurplusTime::AtOnce => response.extend_from_slice(&surplus),
            SurplusTime::WhileIdle => {
                let later = delay + self.replica.random.millis(1, 60);
                inbound.push_bytes(delay, response);
                return inbound.push_bytes(later, surplus);
            }
            SurplusTime::BeforeNextResponse => self.surplus = Some(surplus),
        }
        inbound.push_bytes(delay, response);
    }
}

impl Peer for Connection {
    fn write_fault(&mut self, bytes: &[u8]) -> WriteFault {
        self.replica.faults.write(&self.replica.random, bytes.len())
    }

    fn receive(&mut self, bytes: &[u8], inbound: &mut Inbound) {
        self.check_connection_use(inbound);
        self.check_for_leaked_key(bytes);
        let idle = Instant::now().saturating_duration_since(self.last_used_at);
        self.last_used_at = Instant::now();
        if self.idle_timeout.is_some_and(|timeout| idle > timeout) {
            self.state = State::Dropped;
        }
        match self.state {
            State::Stalled => return,
            State::Open if self.replica.is_alive() => {}
            State::Open | State::Dropped => return inbound.push(SHORT_DELAY, InboundEvent::Reset),
        }
        self.buffer.extend_from_slice(bytes);
        while let Some(request) = self.next_request() {
            self.serve(&request, inbound);
            if self.state != State::Open {
                return;
            }
        }
    }
}

/// Returns `per_mille` thousandths of a length, rounded down.
fn fraction(length: usize, per_mille: u64) -> usize {
    let fraction = length as u64 * per_mille / 1_000;
    usize::try_from(fraction).map_or(length, |fraction| fraction.min(length))
}

/// Returns the id of a request that another ingress node has in flight at the same replica. The id of a request of this
/// ingress node would be undetectable: id, connection and order would all be right.
fn id_of_another_request(request_id: &str) -> String {
    format!("{request_id}-elsewhere")
}
