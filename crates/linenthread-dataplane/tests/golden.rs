//! Checks the bytes sent to replicas and clients against those written by an earlier version.
//!
//! The file under `tests/golden/` was written by commit 464716d. It must never be regenerated to make a test pass:
//! clients and replicas depend on these bytes. One line differs from that version, which wrongly gave the response to
//! a `HEAD` a length of 0.

use std::cell::RefCell;
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_dataplane::{DataPlane, UpdateScope, serve};
use linenthread_dataplane_sim::deployment::data_plane;
use linenthread_dataplane_sim::network::{
    Accepted, Inbound, InboundEvent, Listener, Network, Peer,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::{LocalSet, spawn_local};

/// One exchange.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    /// The bytes that the client sends.
    request: &'static str,
    /// The bytes of each replica's response.
    answer: &'static str,
}

const CASES: [Case; 15] = [
    Case {
        name: "get",
        request: "GET /one/find?q=a%20b HTTP/1.1\r\nHost: index.example\r\nX-Attempt-Id: a1\r\nAccept: */*\r\n\
         X-Two:  two words \r\nConnection: keep-alive, X-Hop\r\nX-Hop: no\r\nX-Target-Replica: no\r\n\r\n",
        answer: "HTTP/1.1 200 Fine\r\nX-Attempt-Id: a1\r\nX-Replica-Seal: s.1\r\nKeep-Alive: timeout=5\r\n\
         Content-Type: text/plain\r\nContent-Length: 2\r\n\r\nok",
    },
    Case {
        name: "post_in_chunks",
        request: "POST /once/order HTTP/1.1\r\nHost: index.example:80\r\nX-Attempt-Id: a1\r\nX-Remaining-Ms: 250\r\n\
         Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        answer: "HTTP/1.1 201 Made\r\nX-Attempt-Id: a1\r\nX-Replica-Seal: s.1\r\nTransfer-Encoding: chunked\r\n\r\n\
         3\r\nabc\r\n0\r\n\r\n",
    },
    Case {
        name: "empty_post",
        request: "POST /once/order HTTP/1.1\r\nHost: index.example\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n",
        answer: "HTTP/1.1 204 None\r\nX-Attempt-Id: a1\r\nX-Replica-Seal: s.1\r\n\r\n",
    },
    Case {
        name: "head",
        request: "HEAD /one/find HTTP/1.1\r\nHost: index.example\r\nX-Attempt-Id: a1\r\n\r\n",
        answer: "HTTP/1.1 200 Fine\r\nX-Attempt-Id: a1\r\nX-Replica-Seal: s.1\r\nContent-Length: 9\r\n\r\n",
    },
    Case {
        name: "close",
        request: "GET /one/find HTTP/1.1\r\nHost: index.example\r\nX-Attempt-Id: a1\r\nConnection: close\r\n\r\n",
        answer: "HTTP/1.1 404 None\r\nX-Attempt-Id: a1\r\nX-Replica-Seal: s.1\r\nContent-Length: 0\r\n\r\n",
    },
    Case {
        name: "expect",
        request: "POST /once/order HTTP/1.1\r\nHost: index.example\r\nX-Attempt-Id: a1\r\nExpect: 100-continue\r\n\
         Content-Length: 2\r\n\r\nhi",
        answer: "HTTP/1.1 200 Fine\r\nX-Attempt-Id: a1\r\nX-Replica-Seal: s.1\r\nContent-Length: 2\r\n\r\nok",
    },
    Case {
        name: "merged",
        request: "GET /all/find HTTP/1.1\r\nHost: index.example\r\nX-Attempt-Id: a1\r\n\r\n",
        answer: "HTTP/1.1 200 Fine\r\nX-Attempt-Id: a1\r\nX-Replica-Seal: s.1\r\nContent-Length: 32\r\n\r\n\
         0123456789abcdefFEDCBA9876543210",
    },
    Case {
        name: "rejected",
        request: "POST /once/order HTTP/1.1\r\nHost: index.example\r\nX-Attempt-Id: a1\r\nContent-Length: 2\r\n\r\nhi",
        answer: "HTTP/1.1 503 Busy\r\nX-Attempt-Id: a1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    },
    Case {
        name: "failed",
        request: "POST /once/order HTTP/1.1\r\nHost: index.example\r\nX-Attempt-Id: a1\r\nContent-Length: 2\r\n\r\nhi",
        answer: "HTTP/1.1 500 Bad\r\nX-Attempt-Id: a1\r\nX-Replica-Seal: s.1\r\nContent-Length: 3\r\n\r\nbad",
    },
    Case {
        name: "unsealed",
        request: "POST /once/order HTTP/1.1\r\nHost: index.example\r\nX-Attempt-Id: a1\r\nContent-Length: 2\r\n\r\nhi",
        answer: "HTTP/1.1 200 Fine\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n",
    },
    Case {
        name: "no_route",
        request: "GET /none HTTP/1.1\r\nHost: index.example\r\nX-Attempt-Id: a1\r\n\r\n",
        answer: "",
    },
    Case {
        name: "no_id",
        request: "GET /one/find HTTP/1.1\r\nHost: index.example\r\n\r\n",
        answer: "",
    },
    Case {
        name: "malformed",
        request: "GET /one/find HTTP/1.1\r\nHost: index.example\r\nContent-Length: x\r\n\r\n",
        answer: "",
    },
    Case {
        name: "body_too_long",
        request: "POST /one/find HTTP/1.1\r\nHost: index.example\r\nContent-Length: 999999\r\n\r\n",
        answer: "",
    },
    Case {
        name: "head_too_long",
        request: "GET /one/find HTTP/1.1\r\nX-Long: ",
        answer: "",
    },
];

/// The retry quota of the ingress node: more than any case needs.
const RETRIES_PER_WINDOW: f64 = 100.0;
/// The number of bytes appended to a head to make it too long.
const LONG_HEADER_BYTES: usize = 20_000;

/// The bytes that each replica received, in the order of arrival.
type Received = Rc<RefCell<Vec<(u8, Vec<u8>)>>>;

#[derive(Clone)]
struct Replica {
    number: u8,
    answer: &'static str,
    received: Received,
}

impl Listener for Replica {
    fn accept(&self) -> Option<Accepted> {
        Some(Accepted::immediately(self.clone()))
    }
}

impl Peer for Replica {
    fn receive(&mut self, bytes: &[u8], inbound: &mut Inbound) {
        self.received
            .borrow_mut()
            .push((self.number, bytes.to_vec()));
        let answer = InboundEvent::Bytes(self.answer.into());
        inbound.push(Duration::from_millis(2), answer);
    }
}

/// Creates an ingress node with one replica of each backend.
fn ingress(answer: &'static str, received: &Received) -> Rc<DataPlane<Network>> {
    let network = Network::default();
    let plane = data_plane(1, network.clone(), RETRIES_PER_WINDOW);
    let registered = (1u8..=4).map(|number| {
        let address = SocketAddr::from(([10, 0, 0, number], 80));
        let replica = Replica {
            number,
            answer,
            received: received.clone(),
        };
        network.listen(address, Rc::new(replica));
        linenthread_messages::Replica {
            id: format!("i{number}"),
            backend: format!("s{number}"),
            address: address.to_string(),
            ..Default::default()
        }
    });
    plane.update_replicas(&registered.collect::<Vec<_>>(), UpdateScope::Complete);
    plane
}

/// Runs one case and returns one line per replica request and one for the response to the client.
async fn run_case(case: Case) -> String {
    let Case {
        name,
        request,
        answer,
    } = case;
    let received = Received::default();
    let plane = ingress(answer, &received);
    let (mut client, server) = tokio::io::duplex(1 << 16);
    spawn_local(serve(server, SocketAddr::from(([127, 0, 0, 1], 1)), plane));
    let mut bytes = request.as_bytes().to_vec();
    if name == "head_too_long" {
        bytes.extend_from_slice(&[b'x'; LONG_HEADER_BYTES]);
    }
    client
        .write_all(&bytes)
        .await
        .expect("a buffer large enough for the request");
    let mut response = Vec::new();
    let reading = client.read_to_end(&mut response);
    // The client waits for more bytes, then disconnects.
    let _ = tokio::time::timeout(Duration::from_secs(3), reading).await;
    let mut lines = String::new();
    for (number, bytes) in received.borrow().iter() {
        writeln!(lines, "{name} replica {number} {:?}", text(bytes)).expect("a string");
    }
    writeln!(lines, "{name} client {:?}", text(&response)).expect("a string");
    lines
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("text")
}

#[test]
fn replicas_and_clients_get_the_bytes_of_version_464716d_except_the_length_of_head() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O");
    let mut lines = String::new();
    for case in CASES {
        lines.push_str(&LocalSet::new().block_on(&runtime, run_case(case)));
    }
    assert_eq!(lines, include_str!("golden/wire.txt"));
}
