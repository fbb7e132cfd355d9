//! The client side, in simulated time: one final answer to each request, and none to what has no id.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_dataplane::connection::HttpConnection;
use linenthread_dataplane::{DataPlane, clock, serve};
use linenthread_dataplane_sim::network::Network;
use linenthread_dataplane_sim::world::{HOST, configuration, settings};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;
use yare::parameterized;

/// The status that a front with no replicas answers a request with these headers with.
async fn status(headers: String) -> u16 {
    clock::restart();
    let plane = DataPlane::new(Rc::new(settings()), 1, Network::default());
    plane.adopt(configuration().as_bytes());
    let (near, far) = tokio::io::duplex(4_096);
    spawn_local(serve(far, SocketAddr::from(([127, 0, 0, 1], 1)), plane));
    let mut http = HttpConnection::new(near);
    let by = Instant::now() + Duration::from_secs(10);
    let request = format!("GET /one/x HTTP/1.1\r\nHost: {HOST}\r\n{headers}\r\n");
    http.write(request.as_bytes(), by).await.unwrap();
    http.answer(4_096, by).await.unwrap().status
}

#[parameterized(
    one_id = { "X-Attempt-Id: a\r\n", 503 },
    no_id = { "", 400 },
    empty_id = { "X-Attempt-Id: \r\n", 400 },
    two_ids = { "X-Attempt-Id: a\r\nX-Attempt-Id: b\r\n", 400 },
    time_that_is_none = { "X-Attempt-Id: a\r\nX-Remaining-Ms: soon\r\n", 400 },
)]
fn a_request_has_one_id(headers: &str, expected: u16) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    let got = LocalSet::new().block_on(&runtime, status(headers.to_owned()));
    assert_eq!(got, expected);
}
