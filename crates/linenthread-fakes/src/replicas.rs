//! Fake replicas that leave each response to a test, or to whoever takes their sub-requests.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::spawn;

use crate::loopback::{self, duplicate};
use crate::{PATIENCE, wait};

/// The type of a frame with sub-requests.
const SUB_REQUESTS: u8 = b'A';
/// The type of a frame that cancels a sub-request.
const CANCEL: u8 = b'B';
/// The type of a health check's frame.
const HEALTH_CHECK: u8 = b'D';
/// The type of a response's frame.
const RESPONSE: u8 = b'E';

/// The response to a health check.
const HEALTHY: &str = "queue=0";

/// One frame: its length, its type, and the rest.
fn encode_frame(frame_type: u8, rest: &str) -> Vec<u8> {
    let length = u32::try_from(rest.len() + 1).expect("a frame is short");
    [&length.to_be_bytes()[..], &[frame_type], rest.as_bytes()].concat()
}

/// A sub-request that arrived at a replica.
#[derive(Debug)]
pub struct SubRequest {
    /// The number of the replica.
    pub replica: usize,
    /// The number of the frame on its connection that brought it, from 1 on.
    pub frame: usize,
    /// Its id: the trace id and a suffix.
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
    /// Sends a frame.
    ///
    /// # Panics
    ///
    /// If the connection does not take it.
    pub fn send_frame(&self, frame_type: u8, rest: &str) {
        let is_taken = self.send_bytes(&encode_frame(frame_type, rest));
        assert!(is_taken, "the connection takes the frame {rest}");
    }

    /// Sends any bytes; whether the connection took them.
    pub fn send_bytes(&self, bytes: &[u8]) -> bool {
        (&self.connection).write_all(bytes).is_ok()
    }

    /// Sends a response with a status (`hit`, `fault`, `overload`); whether the connection took it.
    pub fn try_respond(&self, status: &str, value: &str) -> bool {
        let response = format!("{} {status} 17 queue=0\n{value}", self.id);
        self.send_bytes(&encode_frame(RESPONSE, &response))
    }

    /// Sends a response with a value.
    ///
    /// # Panics
    ///
    /// If the connection does not take it.
    pub fn respond(&self, value: &str) {
        let is_taken = self.try_respond("hit", value);
        assert!(is_taken, "the connection takes the response {value}");
    }

    /// The other end of the connection.
    ///
    /// # Panics
    ///
    /// If the connection has ended.
    pub fn peer_address(&self) -> SocketAddr {
        self.connection.peer_addr().expect("the connection is open")
    }

    /// Waits for the other side to close the connection; whether it did so in time and without more bytes.
    ///
    /// # Panics
    ///
    /// If the operating system rejects the time-out of the read.
    pub fn is_closed(&self) -> bool {
        self.connection
            .set_read_timeout(Some(PATIENCE))
            .expect("the time-out is not zero");
        self.connection.peek(&mut [0]).is_ok_and(|bytes| bytes == 0)
    }

    /// Closes the connection.
    ///
    /// # Panics
    ///
    /// If it has ended.
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

/// Replicas that leave each response to the test; health checks are answered at once.
pub struct FakeReplicas {
    /// Where the replicas listen, by number.
    pub addresses: Vec<SocketAddr>,
    /// So many connections that have been used close at the next byte that arrives on them.
    pub closing_on_reuse: Arc<AtomicUsize>,
    events: Receiver<Event>,
}

impl FakeReplicas {
    /// Starts so many replicas.
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

    /// The next sub-request.
    ///
    /// # Panics
    ///
    /// If none arrives in time, or a cancellation does.
    pub fn sub_request(&self) -> SubRequest {
        match wait(&self.events, "a part") {
            Event::Received(sub_request) => sub_request,
            Event::Cancelled(id) => panic!("{id} is given up"),
        }
    }

    /// The id of the next cancelled sub-request.
    ///
    /// # Panics
    ///
    /// If none arrives in time, or a new sub-request does.
    pub fn cancelled(&self) -> String {
        match wait(&self.events, "a part given up") {
            Event::Cancelled(id) => id,
            Event::Received(sub_request) => panic!("{} is sent", sub_request.id),
        }
    }

    /// The next sub-request, however long it takes; cancellations are ignored.
    pub fn wait_for_sub_request(&self) -> Option<SubRequest> {
        self.events.iter().find_map(|event| match event {
            Event::Received(sub_request) => Some(sub_request),
            Event::Cancelled(_) => None,
        })
    }

    /// What else has arrived: ids of sub-requests, and of cancelled ones with ` given up` behind them.
    pub fn remaining(&self) -> Vec<String> {
        let describe = |event| match event {
            Event::Received(sub_request) => sub_request.id,
            Event::Cancelled(id) => format!("{id} given up"),
        };
        self.events.try_iter().map(describe).collect()
    }
}

/// Starts a replica; where it listens.
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

/// The sub-requests of one frame: id, shard, index and text of each.
fn split_sub_requests(mut rest: &str) -> Vec<[&str; 4]> {
    let mut sub_requests = Vec::new();
    while let Some((head, tail)) = rest.split_once('\n') {
        let [id, shard, index, length] = head.split(' ').collect::<Vec<_>>()[..] else {
            panic!("not the head of a sub-request: {head}")
        };
        let (text, next) = tail.split_at(length.parse().expect("a length is a number"));
        sub_requests.push([id, shard, index, text]);
        rest = next;
    }
    sub_requests
}

/// A connection to a replica.
struct Connection {
    replica: usize,
    stream: TcpStream,
    event_sender: Sender<Event>,
    /// Frames with sub-requests that have arrived.
    frames: usize,
}

impl Connection {
    /// Serves until either side closes the connection, or nobody takes events any more.
    fn serve(&mut self, closing_on_reuse: &AtomicUsize) {
        loop {
            if self.is_to_close(closing_on_reuse) {
                self.stream.shutdown(Shutdown::Both).ok();
                return;
            }
            let Some((frame_type, rest)) = self.read_frame() else {
                return;
            };
            let is_taken = match frame_type {
                SUB_REQUESTS => self.receive(&rest),
                CANCEL => self.event_sender.send(Event::Cancelled(rest)).is_ok(),
                HEALTH_CHECK => {
                    let response = encode_frame(HEALTH_CHECK, HEALTHY);
                    self.stream
                        .write_all(&response)
                        .expect("the connection takes the answer to a health check");
                    true
                }
                other => panic!("a frame with the letter {other}"),
            };
            if !is_taken {
                return;
            }
        }
    }

    /// Waits for a byte; whether the connection is one of those that close on reuse.
    fn is_to_close(&self, closing_on_reuse: &AtomicUsize) -> bool {
        let has_arrived = self.stream.peek(&mut [0]).is_ok_and(|bytes| bytes > 0);
        let take_one = |left: usize| left.checked_sub(1);
        has_arrived
            && self.frames > 0
            && closing_on_reuse
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take_one)
                .is_ok()
    }

    fn read_frame(&mut self) -> Option<(u8, String)> {
        let mut head = [0; 5];
        self.stream.read_exact(&mut head).ok()?;
        let [length @ .., frame_type] = head;
        let length = usize::try_from(u32::from_be_bytes(length)).ok()?;
        let mut rest = vec![0; length - 1];
        self.stream.read_exact(&mut rest).ok()?;
        Some((
            frame_type,
            String::from_utf8(rest).expect("a frame is a text"),
        ))
    }

    /// Passes the sub-requests of a frame on; whether somebody takes them.
    fn receive(&mut self, rest: &str) -> bool {
        self.frames += 1;
        split_sub_requests(rest).into_iter().all(|fields| {
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
