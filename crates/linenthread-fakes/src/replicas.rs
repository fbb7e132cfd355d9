//! Fake replicas that pass each sub-request to the caller, which decides on the response.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::spawn;

use crate::loopback::{self, duplicate};
use crate::{EVENT_TIMEOUT, wait};

/// The frame type of sub-requests.
const SUB_REQUESTS: u8 = b'A';
/// The frame type of the cancellation of a sub-request.
const CANCEL: u8 = b'B';
/// The frame type of health checks and their responses.
const HEALTH_CHECK: u8 = b'D';
/// The frame type of responses to sub-requests.
const RESPONSE: u8 = b'E';

/// The payload of the response to a health check.
const HEALTHY: &str = "queue=0";

/// Encodes a frame: the length of what follows, the type, and the payload.
fn encode_frame(frame_type: u8, payload: &str) -> Vec<u8> {
    let length = u32::try_from(payload.len() + 1).expect("a frame is short");
    [&length.to_be_bytes()[..], &[frame_type], payload.as_bytes()].concat()
}

/// A sub-request that arrived at a replica.
#[derive(Debug)]
pub struct SubRequest {
    /// The number of the replica.
    pub replica: usize,
    /// The number of the frame that contained it: frames with sub-requests are counted per connection, from 1.
    pub frame: usize,
    /// Its id: the trace id of the query with a suffix.
    pub id: String,
    /// The shard that is queried.
    pub shard: usize,
    /// The index that is queried.
    pub index: String,
    /// The text of the query.
    pub text: String,
    connection: TcpStream,
}

impl SubRequest {
    /// Sends a frame on the connection of the sub-request.
    ///
    /// # Panics
    ///
    /// If the frame cannot be written to the connection.
    pub fn send_frame(&self, frame_type: u8, payload: &str) {
        let is_sent = self.send_bytes(&encode_frame(frame_type, payload));
        assert!(
            is_sent,
            "the frame {payload} cannot be written to the connection"
        );
    }

    /// Sends raw bytes, and reports whether they could be written to the connection.
    pub fn send_bytes(&self, bytes: &[u8]) -> bool {
        (&self.connection).write_all(bytes).is_ok()
    }

    /// Sends a response with a status (`hit`, `fault`, `overload`), and reports whether it could be written to the
    /// connection.
    pub fn try_respond(&self, status: &str, value: &str) -> bool {
        let response = format!("{} {status} 17 queue=0\n{value}", self.id);
        self.send_bytes(&encode_frame(RESPONSE, &response))
    }

    /// Sends a successful response with a value.
    ///
    /// # Panics
    ///
    /// If the response cannot be written to the connection.
    pub fn respond(&self, value: &str) {
        let is_sent = self.try_respond("hit", value);
        assert!(
            is_sent,
            "the response {value} cannot be written to the connection"
        );
    }

    /// Returns the address of the other end of the connection.
    ///
    /// # Panics
    ///
    /// If the connection has ended.
    pub fn peer_address(&self) -> SocketAddr {
        self.connection.peer_addr().expect("the connection is open")
    }

    /// Waits for the other side to close the connection, and reports whether it did so in time and without sending
    /// more bytes.
    ///
    /// # Panics
    ///
    /// If the operating system rejects the time-out of the read.
    pub fn wait_until_closed(&self) -> bool {
        self.connection
            .set_read_timeout(Some(EVENT_TIMEOUT))
            .expect("the time-out is not zero");
        self.connection.peek(&mut [0]).is_ok_and(|bytes| bytes == 0)
    }

    /// Closes the connection.
    ///
    /// # Panics
    ///
    /// If the connection has ended.
    pub fn disconnect(&self) {
        self.connection
            .shutdown(Shutdown::Both)
            .expect("the connection is open");
    }
}

enum Event {
    Received(SubRequest),
    Cancelled(String),
}

/// Fake replicas that pass each sub-request to the caller. They answer health checks themselves.
pub struct FakeReplicas {
    /// The addresses of the replicas, by number.
    pub addresses: Vec<SocketAddr>,
    /// How many connections are still to be closed on reuse: a connection that has already carried sub-requests is
    /// closed when the next byte arrives on it.
    pub closing_on_reuse: Arc<AtomicUsize>,
    events: Receiver<Event>,
}

impl FakeReplicas {
    /// Starts this number of replicas.
    ///
    /// # Panics
    ///
    /// If loopback has no free port.
    pub fn start(count: usize) -> FakeReplicas {
        let (event_sender, events) = channel();
        let closing_on_reuse = Arc::new(AtomicUsize::new(0));
        let addresses = (0..count)
            .map(|replica| listen(replica, &event_sender, &closing_on_reuse))
            .collect();
        FakeReplicas {
            addresses,
            closing_on_reuse,
            events,
        }
    }

    /// Waits for the next sub-request.
    ///
    /// # Panics
    ///
    /// If none arrives in time, or a cancellation arrives instead.
    pub fn next_sub_request(&self) -> SubRequest {
        match wait(&self.events, "a sub-request") {
            Event::Received(sub_request) => sub_request,
            Event::Cancelled(id) => panic!("sub-request {id} was cancelled"),
        }
    }

    /// Waits for the next cancellation, and returns the id of the cancelled sub-request.
    ///
    /// # Panics
    ///
    /// If none arrives in time, or a new sub-request arrives instead.
    pub fn next_cancelled_id(&self) -> String {
        match wait(&self.events, "a cancellation") {
            Event::Cancelled(id) => id,
            Event::Received(sub_request) => panic!("sub-request {} was received", sub_request.id),
        }
    }

    /// Waits for the next sub-request without a time limit, and ignores cancellations. Returns `None` if no replica
    /// runs any more.
    pub fn wait_for_sub_request(&self) -> Option<SubRequest> {
        self.events.iter().find_map(|event| match event {
            Event::Received(sub_request) => Some(sub_request),
            Event::Cancelled(_) => None,
        })
    }

    /// Returns the ids of all sub-requests and cancellations received and not yet read, the latter with the suffix
    /// ` cancelled`.
    pub fn drain_events(&self) -> Vec<String> {
        let describe = |event| match event {
            Event::Received(sub_request) => sub_request.id,
            Event::Cancelled(id) => format!("{id} cancelled"),
        };
        self.events.try_iter().map(describe).collect()
    }
}

/// Starts a replica and returns its address.
fn listen(
    replica: usize,
    event_sender: &Sender<Event>,
    closing_on_reuse: &Arc<AtomicUsize>,
) -> SocketAddr {
    let listener = loopback::listen();
    let address = loopback::address_of(&listener);
    let (event_sender, closing_on_reuse) = (event_sender.clone(), closing_on_reuse.clone());
    spawn(move || {
        for connection in listener.incoming() {
            let mut connection = Connection {
                replica,
                stream: connection.expect("a connection can be accepted"),
                event_sender: event_sender.clone(),
                frames: 0,
            };
            let closing_on_reuse = closing_on_reuse.clone();
            spawn(move || connection.serve(&closing_on_reuse));
        }
    });
    address
}

/// Splits the payload of a frame into its sub-requests: the id, shard, index and text of each.
fn split_sub_requests(mut payload: &str) -> Vec<[&str; 4]> {
    let mut sub_requests = Vec::new();
    while let Some((head, tail)) = payload.split_once('\n') {
        let [id, shard, index, length] = head.split(' ').collect::<Vec<_>>()[..] else {
            panic!("malformed head of a sub-request: {head}")
        };
        let (text, next) = tail.split_at(length.parse().expect("a length is a number"));
        sub_requests.push([id, shard, index, text]);
        payload = next;
    }
    sub_requests
}

/// A connection to a replica.
struct Connection {
    replica: usize,
    stream: TcpStream,
    event_sender: Sender<Event>,
    /// How many frames with sub-requests have arrived.
    frames: usize,
}

impl Connection {
    /// Serves the connection until either side closes it, or the receiver of events has been dropped.
    fn serve(&mut self, closing_on_reuse: &AtomicUsize) {
        loop {
            if self.closes_on_reuse(closing_on_reuse) {
                self.stream.shutdown(Shutdown::Both).ok();
                return;
            }
            let Some((frame_type, payload)) = self.read_frame() else {
                return;
            };
            let has_receiver = match frame_type {
                SUB_REQUESTS => self.receive(&payload),
                CANCEL => self.event_sender.send(Event::Cancelled(payload)).is_ok(),
                HEALTH_CHECK => {
                    let response = encode_frame(HEALTH_CHECK, HEALTHY);
                    self.stream
                        .write_all(&response)
                        .expect("the response to a health check can be written to the connection");
                    true
                }
                other => panic!("unknown frame type {other}"),
            };
            if !has_receiver {
                return;
            }
        }
    }

    /// Waits for a byte, and reports whether the connection is to be closed on reuse.
    fn closes_on_reuse(&self, closing_on_reuse: &AtomicUsize) -> bool {
        let has_arrived = self.stream.peek(&mut [0]).is_ok_and(|bytes| bytes > 0);
        let decrement = |left: usize| left.checked_sub(1);
        has_arrived
            && self.frames > 0
            && closing_on_reuse
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
                .is_ok()
    }

    fn read_frame(&mut self) -> Option<(u8, String)> {
        let mut head = [0; 5];
        self.stream.read_exact(&mut head).ok()?;
        let [length @ .., frame_type] = head;
        let length = usize::try_from(u32::from_be_bytes(length)).ok()?;
        let mut payload = vec![0; length - 1];
        self.stream.read_exact(&mut payload).ok()?;
        Some((
            frame_type,
            String::from_utf8(payload).expect("a frame is UTF-8"),
        ))
    }

    /// Passes the sub-requests of a frame to the receiver of events, and reports whether it still exists.
    fn receive(&mut self, payload: &str) -> bool {
        self.frames += 1;
        split_sub_requests(payload).into_iter().all(|fields| {
            let [id, shard, index, text] = fields.map(str::to_owned);
            let sub_request = SubRequest {
                replica: self.replica,
                frame: self.frames,
                id,
                shard: shard.parse().expect("a shard is a number"),
                index,
                text,
                connection: duplicate(&self.stream),
            };
            self.event_sender.send(Event::Received(sub_request)).is_ok()
        })
    }
}
