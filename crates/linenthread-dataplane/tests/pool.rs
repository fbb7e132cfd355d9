//! Tests of a replica's connection pool under faults, in simulated time.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_core::interface::AttemptOutcome;
use linenthread_dataplane::outcome::{Outcome, ResponseUse, SendState};
use linenthread_dataplane::pool::{CompletedAttempt, ReplicaPool, ReplicaRequest};
use linenthread_dataplane_sim::fault_plan::WriteFault;
use linenthread_dataplane_sim::network::{
    Accepted, Inbound, InboundEvent, Listener, Network, Peer,
};
use linenthread_dataplane_sim::replica::messages::{self, Message};

/// The timeout of each attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(200);

/// The events that follow a request, each with its delay in milliseconds.
type Reply = Vec<(u64, InboundEvent)>;

/// The behaviour of each connection, in the order they are opened.
#[derive(Default)]
struct Script {
    connections: RefCell<VecDeque<ScriptedConnection>>,
    opened: Cell<usize>,
}

#[derive(Clone)]
struct ScriptedConnection {
    write: WriteFault,
    replies: VecDeque<Reply>,
}

impl Listener for Script {
    fn accept(&self) -> Option<Accepted> {
        self.opened.set(self.opened.get() + 1);
        let next = self.connections.borrow_mut().pop_front()?;
        Some(Accepted::immediately(next))
    }
}

impl Peer for ScriptedConnection {
    fn write_fault(&mut self, _: &[u8]) -> WriteFault {
        self.write
    }

    fn receive(&mut self, _: &[u8], inbound: &mut Inbound) {
        for (after, event) in self.replies.pop_front().unwrap_or_default() {
            inbound.push(Duration::from_millis(after), event);
        }
    }
}

struct Fixture {
    script: Rc<Script>,
    pool: ReplicaPool<Network>,
}

/// Creates a replica whose connections send these replies, one per request.
fn fixture(connections: Vec<Vec<Reply>>) -> Fixture {
    let connections_without_faults = connections.into_iter().map(|replies| ScriptedConnection {
        write: WriteFault::None,
        replies: replies.into(),
    });
    fixture_with_connections(connections_without_faults.collect())
}

/// Returns a connection that fails while a request is written, and sends no reply.
fn failing(write: WriteFault) -> ScriptedConnection {
    ScriptedConnection {
        write,
        replies: VecDeque::new(),
    }
}

fn fixture_with_connections(connections: Vec<ScriptedConnection>) -> Fixture {
    let script = Rc::new(Script::default());
    script.connections.borrow_mut().extend(connections);
    let (network, address) = (Network::default(), SocketAddr::from(([10, 0, 0, 1], 80)));
    network.listen(address, script.clone());
    let replica = linenthread_messages::Replica {
        id: "i".into(),
        ..Default::default()
    };
    Fixture {
        script,
        pool: ReplicaPool::new(&replica, "s".into(), address, network),
    }
}

fn request(attempt: &str) -> ReplicaRequest {
    let head = format!("POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {attempt}\r\n").into_bytes();
    ReplicaRequest::new(
        head,
        b"Content-Length: 2\r\n\r\nhi".to_vec(),
        attempt.into(),
        ResponseUse::Forwarded,
    )
}

fn sealed(id: Option<&str>, body: &str) -> Vec<u8> {
    Message {
        request_id: id,
        seal: Some("seal"),
        body: body.as_bytes(),
        ..Message::default()
    }
    .to_bytes()
}

fn response(id: &str, body: &str) -> InboundEvent {
    InboundEvent::Bytes(sealed(Some(id), body))
}

fn response_without_id(body: &str) -> InboundEvent {
    InboundEvent::Bytes(sealed(None, body))
}

fn rejection(id: &str) -> InboundEvent {
    InboundEvent::Bytes(messages::rejection(Some(id)))
}

fn rejection_without_id() -> InboundEvent {
    InboundEvent::Bytes(messages::rejection(None))
}

impl Fixture {
    async fn call(&self, attempt: &str) -> CompletedAttempt {
        self.pool.call(&request(attempt), ATTEMPT_TIMEOUT).await
    }

    /// Returns the body of the response, if there is one.
    async fn body(&self, attempt: &str) -> Option<Vec<u8>> {
        self.call(attempt)
            .await
            .response
            .map(|response| response.body)
    }
}

fn may_have_run(ended: &CompletedAttempt, attempt_outcome: AttemptOutcome) -> bool {
    let send_state = SendState::MayHaveRun;
    ended.outcome
        == Outcome {
            attempt_outcome,
            send_state,
        }
        && ended.response.is_none()
}

#[tokio::test(start_paused = true)]
async fn a_connection_carries_one_request_after_another() {
    let fixture = fixture(vec![vec![
        vec![(1, response("a", "1"))],
        vec![(1, response("b", "2"))],
    ]]);
    assert_eq!(fixture.body("a").await.unwrap(), b"1");
    assert_eq!(fixture.body("b").await.unwrap(), b"2");
    assert_eq!(fixture.script.opened.get(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_late_second_response_to_the_previous_request_is_not_accepted() {
    let late = vec![(1, response("a", "1")), (5, response("b", "2"))];
    let fixture = fixture(vec![vec![vec![(1, response("a", "1"))], late]]);
    fixture.call("a").await;
    assert!(may_have_run(
        &fixture.call("b").await,
        AttemptOutcome::Error
    ));
    assert_eq!(fixture.pool.idle_count(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_response_without_an_id_is_not_accepted() {
    let fixture = fixture(vec![
        vec![vec![(1, response_without_id("1"))]],
        vec![
            vec![(1, response("a", "1"))],
            vec![(1, response_without_id("2"))],
        ],
    ]);
    assert!(may_have_run(
        &fixture.call("fresh").await,
        AttemptOutcome::Error
    ));
    assert_eq!(fixture.pool.idle_count(), 0);
    fixture.call("a").await;
    assert!(may_have_run(
        &fixture.call("b").await,
        AttemptOutcome::Error
    ));
    assert_eq!(fixture.pool.idle_count(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_connection_is_not_reused_after_a_time_out() {
    let fixture = fixture(vec![
        vec![vec![(300, response("a", "late"))]],
        vec![vec![(1, response("a", "2"))]],
    ]);
    let request = request("a");
    assert!(may_have_run(
        &fixture.pool.call(&request, ATTEMPT_TIMEOUT).await,
        AttemptOutcome::TimedOut
    ));
    assert_eq!(fixture.pool.idle_count(), 0);
    tokio::time::sleep(ATTEMPT_TIMEOUT).await;
    assert_eq!(
        fixture
            .pool
            .call(&request, ATTEMPT_TIMEOUT)
            .await
            .response
            .unwrap()
            .body,
        b"2"
    );
    assert_eq!(fixture.script.opened.get(), 2);
}

#[tokio::test(start_paused = true)]
async fn surplus_bytes_after_a_response_close_the_connection() {
    let mut two = sealed(Some("a"), "1");
    two.extend(sealed(Some("b"), "2"));
    let fixture = fixture(vec![
        vec![vec![(1, InboundEvent::Bytes(two))]],
        vec![vec![(1, response("b", "3"))]],
    ]);
    assert_eq!(fixture.body("a").await.unwrap(), b"1");
    assert_eq!(fixture.pool.idle_count(), 0);
    assert_eq!(fixture.body("b").await.unwrap(), b"3");
}

#[tokio::test(start_paused = true)]
async fn unread_bytes_on_an_idle_connection_close_it() {
    let idle = vec![(1, response("a", "1")), (20, response("b", "2"))];
    let fixture = fixture(vec![vec![idle], vec![vec![(1, response("b", "3"))]]]);
    fixture.call("a").await;
    assert_eq!(fixture.pool.idle_count(), 1);
    tokio::time::sleep(ATTEMPT_TIMEOUT).await;
    assert_eq!(fixture.body("b").await.unwrap(), b"3");
    assert_eq!(fixture.script.opened.get(), 2);
}

#[tokio::test(start_paused = true)]
async fn an_idle_connection_that_the_replica_closed_is_not_used() {
    let fixture = fixture(vec![
        vec![vec![(1, response("a", "1")), (20, InboundEvent::Close)]],
        vec![vec![(1, response("b", "2"))]],
    ]);
    fixture.call("a").await;
    tokio::time::sleep(ATTEMPT_TIMEOUT).await;
    fixture.pool.close_expired();
    assert_eq!(fixture.pool.idle_count(), 0);
    assert_eq!(fixture.body("b").await.unwrap(), b"2");
}

#[tokio::test(start_paused = true)]
async fn a_request_on_a_connection_that_the_replica_dropped_may_have_run() {
    let fixture = fixture(vec![vec![
        vec![(1, response("a", "1"))],
        vec![(1, InboundEvent::Reset)],
    ]]);
    fixture.call("a").await;
    assert!(may_have_run(
        &fixture.call("b").await,
        AttemptOutcome::Error
    ));
}

#[tokio::test(start_paused = true)]
async fn a_request_whose_connection_is_reset_or_closed_may_have_run() {
    for end in [InboundEvent::Reset, InboundEvent::Close] {
        let fixture = fixture(vec![vec![vec![(1, end)]]]);
        assert!(may_have_run(
            &fixture.call("a").await,
            AttemptOutcome::ConnectionLost
        ));
    }
}

#[tokio::test(start_paused = true)]
async fn a_truncated_response_is_not_accepted() {
    let complete = sealed(Some("a"), "whole");
    for length in 1..complete.len() {
        for end in [InboundEvent::Reset, InboundEvent::Close] {
            let half = InboundEvent::Bytes(complete[..length].to_vec());
            let fixture = fixture(vec![vec![vec![(1, half), (2, end)]]]);
            assert!(
                may_have_run(&fixture.call("a").await, AttemptOutcome::Error),
                "{length}"
            );
            assert_eq!(fixture.pool.idle_count(), 0);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_whose_response_stalls_may_have_run() {
    let half = InboundEvent::Bytes(sealed(Some("a"), "whole")[..40].to_vec());
    let fixture = fixture(vec![vec![vec![(1, half)]]]);
    assert!(may_have_run(
        &fixture.call("a").await,
        AttemptOutcome::TimedOut
    ));
    assert_eq!(fixture.pool.idle_count(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_request_whose_write_fails_halfway_may_have_run() {
    let fixture = fixture_with_connections(vec![
        failing(WriteFault::FailsAfter(30)),
        failing(WriteFault::StallsAfter(30)),
    ]);
    assert!(may_have_run(
        &fixture.call("a").await,
        AttemptOutcome::ConnectionLost
    ));
    assert!(may_have_run(
        &fixture.call("b").await,
        AttemptOutcome::TimedOut
    ));
}

#[tokio::test(start_paused = true)]
async fn a_request_of_which_no_byte_was_written_never_ran() {
    let fixture = fixture_with_connections(vec![
        failing(WriteFault::FailsAfter(0)),
        failing(WriteFault::StallsAfter(0)),
    ]);
    for _ in 0..2 {
        let ended = fixture.call("a").await;
        assert_eq!(
            ended.outcome,
            Outcome {
                attempt_outcome: AttemptOutcome::ConnectFailed,
                send_state: SendState::NotSent
            }
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_rejection_is_accepted_with_the_request_id_or_on_a_new_connection() {
    let first = vec![
        vec![(1, rejection_without_id())],
        vec![(1, rejection("b"))],
        vec![(1, rejection_without_id())],
    ];
    let fixture = fixture(vec![first]);
    assert_eq!(
        fixture.call("a").await.outcome.send_state,
        SendState::Rejected
    );
    assert_eq!(
        fixture.call("b").await.outcome.send_state,
        SendState::Rejected
    );
    assert!(may_have_run(
        &fixture.call("c").await,
        AttemptOutcome::Error
    ));
    assert_eq!(fixture.pool.idle_count(), 0);
}

/// A repeated rejection has the same id as the response to the next attempt, so the two attempts must not share a
/// connection.
#[tokio::test(start_paused = true)]
async fn a_request_is_never_sent_twice_over_one_connection() {
    let rejected_twice = vec![vec![(1, rejection("a"))], vec![(1, rejection("a"))]];
    let fixture = fixture(vec![rejected_twice, vec![vec![(1, response("a", "1"))]]]);
    let request = request("a");
    assert_eq!(
        fixture
            .pool
            .call(&request, ATTEMPT_TIMEOUT)
            .await
            .outcome
            .send_state,
        SendState::Rejected
    );
    assert_eq!(fixture.pool.idle_count(), 1);
    assert_eq!(
        fixture
            .pool
            .call(&request, ATTEMPT_TIMEOUT)
            .await
            .response
            .unwrap()
            .body,
        b"1"
    );
    assert_eq!(fixture.script.opened.get(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_misdirected_request_has_not_run() {
    let misdirected = InboundEvent::Bytes(messages::misdirection("j"));
    let fixture = fixture(vec![vec![vec![(1, misdirected)]]]);
    let ended = fixture.call("a").await;
    assert_eq!(
        ended.outcome,
        Outcome {
            attempt_outcome: AttemptOutcome::ConnectFailed,
            send_state: SendState::Rejected
        }
    );
    assert_eq!(fixture.pool.idle_count(), 0);
}

#[tokio::test(start_paused = true)]
async fn open_connections_stay_within_the_limit() {
    let rejected = || vec![vec![(1, rejection("a"))]];
    let fixture = fixture(vec![rejected(), rejected(), rejected()]);
    fixture.pool.set_max_connections(2);
    let request = request("a");
    for expected_idle in [1, 2, 2] {
        fixture.pool.call(&request, ATTEMPT_TIMEOUT).await;
        assert_eq!(fixture.pool.idle_count(), expected_idle);
    }
    assert_eq!(fixture.script.opened.get(), 3);
}
