//! The hard cases of a replica's connections, one by one, in simulated time.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_core::interface::AttemptOutcome;
use linenthread_dataplane::outcome::SendState;
use linenthread_dataplane::pool::{ReplicaPool, Request, SubRequestOutcome};
use linenthread_dataplane_sim::network::{Event, Inbound, Listener, Network, Peer, WriteFate};
use linenthread_dataplane_sim::replica::message;

const TIME: Duration = Duration::from_millis(200);

/// What comes back to one request, and when.
type Reply = Vec<(u64, Event)>;

/// What each connection does, in the order they are opened.
#[derive(Default)]
struct Script {
    connections: RefCell<VecDeque<Scripted>>,
    opened: Cell<usize>,
}

#[derive(Clone)]
struct Scripted {
    write: WriteFate,
    replies: VecDeque<Reply>,
}

impl Listener for Script {
    fn accept(&self) -> Option<(Duration, Box<dyn Peer>)> {
        self.opened.set(self.opened.get() + 1);
        let next = self.connections.borrow_mut().pop_front()?;
        Some((Duration::ZERO, Box::new(next)))
    }
}

impl Peer for Scripted {
    fn write_fate(&mut self, _: &[u8]) -> WriteFate {
        self.write
    }

    fn receive(&mut self, _: &[u8], inbound: &mut Inbound) {
        for (after, event) in self.replies.pop_front().unwrap_or_default() {
            inbound.push(Duration::from_millis(after), event);
        }
    }
}

struct Rig {
    script: Rc<Script>,
    pool: ReplicaPool<Network>,
}

/// A replica whose connections do this, each reply to one request.
fn rig(connections: Vec<Vec<Reply>>) -> Rig {
    rig_of(
        connections
            .into_iter()
            .map(|replies| (WriteFate::Taken, replies))
            .collect(),
    )
}

fn rig_of(connections: Vec<(WriteFate, Vec<Reply>)>) -> Rig {
    let script = Rc::new(Script::default());
    let scripted = connections.into_iter().map(|(write, replies)| Scripted {
        write,
        replies: replies.into(),
    });
    script.connections.borrow_mut().extend(scripted);
    let (network, address) = (Network::default(), SocketAddr::from(([10, 0, 0, 1], 80)));
    network.listen(address, script.clone());
    let replica = linenthread_messages::Replica {
        id: "i".into(),
        ..Default::default()
    };
    Rig {
        script,
        pool: ReplicaPool::new(&replica, "s".into(), address, network),
    }
}

fn request(attempt: &str) -> Request {
    let begin = format!("POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {attempt}\r\n").into_bytes();
    Request::new(
        begin,
        b"Content-Length: 2\r\n\r\nhi".to_vec(),
        attempt.into(),
        false,
        false,
    )
}

fn answer(id: &str, body: &str) -> Event {
    Event::Bytes(message(200, id, "seal", "", body.as_bytes()))
}

fn rejection(id: &str) -> Event {
    Event::Bytes(message(503, id, "", "X-Not-Executed: 1\r\n", b""))
}

impl Rig {
    async fn call(&self, attempt: &str) -> SubRequestOutcome {
        self.pool.call(&request(attempt), TIME).await
    }

    /// The body that the request gets.
    async fn body(&self, attempt: &str) -> Option<Vec<u8>> {
        self.call(attempt).await.answer.map(|answer| answer.body)
    }
}

fn may_have_run(outcome: &SubRequestOutcome, ending: AttemptOutcome) -> bool {
    outcome.ending == ending && outcome.sent == SendState::MayHaveRun && outcome.answer.is_none()
}

#[tokio::test(start_paused = true)]
async fn a_connection_carries_one_request_after_another() {
    let rig = rig(vec![vec![
        vec![(1, answer("a", "1"))],
        vec![(1, answer("b", "2"))],
    ]]);
    assert_eq!(rig.body("a").await.unwrap(), b"1");
    assert_eq!(rig.body("b").await.unwrap(), b"2");
    assert_eq!(rig.script.opened.get(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_late_second_answer_of_the_previous_request_is_not_taken() {
    let late = vec![(1, answer("a", "1")), (5, answer("b", "2"))];
    let rig = rig(vec![vec![vec![(1, answer("a", "1"))], late]]);
    rig.call("a").await;
    assert!(may_have_run(&rig.call("b").await, AttemptOutcome::Error));
    assert_eq!(rig.pool.idle(), 0);
}

#[tokio::test(start_paused = true)]
async fn an_answer_without_an_id_is_not_taken() {
    let rig = rig(vec![
        vec![vec![(1, answer("", "1"))]],
        vec![vec![(1, answer("a", "1"))], vec![(1, answer("", "2"))]],
    ]);
    assert!(may_have_run(
        &rig.call("fresh").await,
        AttemptOutcome::Error
    ));
    assert_eq!(rig.pool.idle(), 0);
    rig.call("a").await;
    assert!(may_have_run(&rig.call("b").await, AttemptOutcome::Error));
    assert_eq!(rig.pool.idle(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_connection_that_stayed_silent_is_not_used_again() {
    let rig = rig(vec![
        vec![vec![(300, answer("a", "late"))]],
        vec![vec![(1, answer("a", "2"))]],
    ]);
    let request = request("a");
    assert!(may_have_run(
        &rig.pool.call(&request, TIME).await,
        AttemptOutcome::TimedOut
    ));
    assert_eq!(rig.pool.idle(), 0);
    tokio::time::sleep(TIME).await;
    assert_eq!(
        rig.pool.call(&request, TIME).await.answer.unwrap().body,
        b"2"
    );
    assert_eq!(rig.script.opened.get(), 2);
}

#[tokio::test(start_paused = true)]
async fn bytes_behind_an_answer_end_the_connection() {
    let mut two = message(200, "a", "seal", "", b"1");
    two.extend(message(200, "b", "seal", "", b"2"));
    let rig = rig(vec![
        vec![vec![(1, Event::Bytes(two))]],
        vec![vec![(1, answer("b", "3"))]],
    ]);
    assert_eq!(rig.body("a").await.unwrap(), b"1");
    assert_eq!(rig.pool.idle(), 0);
    assert_eq!(rig.body("b").await.unwrap(), b"3");
}

#[tokio::test(start_paused = true)]
async fn bytes_that_wait_on_an_idle_connection_end_it() {
    let idle = vec![(1, answer("a", "1")), (20, answer("b", "2"))];
    let rig = rig(vec![vec![idle], vec![vec![(1, answer("b", "3"))]]]);
    rig.call("a").await;
    assert_eq!(rig.pool.idle(), 1);
    tokio::time::sleep(TIME).await;
    assert_eq!(rig.body("b").await.unwrap(), b"3");
    assert_eq!(rig.script.opened.get(), 2);
}

#[tokio::test(start_paused = true)]
async fn an_idle_connection_that_the_replica_closed_is_not_used() {
    let rig = rig(vec![
        vec![vec![(1, answer("a", "1")), (20, Event::Close)]],
        vec![vec![(1, answer("b", "2"))]],
    ]);
    rig.call("a").await;
    tokio::time::sleep(TIME).await;
    rig.pool.tidy();
    assert_eq!(rig.pool.idle(), 0);
    assert_eq!(rig.body("b").await.unwrap(), b"2");
}

#[tokio::test(start_paused = true)]
async fn what_went_out_on_a_forgotten_connection_may_have_run() {
    let rig = rig(vec![vec![
        vec![(1, answer("a", "1"))],
        vec![(1, Event::Reset)],
    ]]);
    rig.call("a").await;
    assert!(may_have_run(&rig.call("b").await, AttemptOutcome::Error));
}

#[tokio::test(start_paused = true)]
async fn what_a_reset_or_a_close_answers_may_have_run() {
    for end in [Event::Reset, Event::Close] {
        let rig = rig(vec![vec![vec![(1, end)]]]);
        assert!(may_have_run(
            &rig.call("a").await,
            AttemptOutcome::ConnectionLost
        ));
    }
}

#[tokio::test(start_paused = true)]
async fn half_an_answer_is_none() {
    let whole = message(200, "a", "seal", "", b"whole");
    for length in 1..whole.len() {
        for end in [Event::Reset, Event::Close] {
            let half = Event::Bytes(whole[..length].to_vec());
            let rig = rig(vec![vec![vec![(1, half), (2, end)]]]);
            assert!(
                may_have_run(&rig.call("a").await, AttemptOutcome::Error),
                "{length}"
            );
            assert_eq!(rig.pool.idle(), 0);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn an_answer_that_stops_midway_may_have_run() {
    let half = Event::Bytes(message(200, "a", "seal", "", b"whole")[..40].to_vec());
    let rig = rig(vec![vec![vec![(1, half)]]]);
    assert!(may_have_run(&rig.call("a").await, AttemptOutcome::TimedOut));
    assert_eq!(rig.pool.idle(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_write_that_fails_halfway_may_have_run() {
    let rig = rig_of(vec![
        (WriteFate::FailsAfter(30), vec![]),
        (WriteFate::StopsAfter(30), vec![]),
    ]);
    assert!(may_have_run(
        &rig.call("a").await,
        AttemptOutcome::ConnectionLost
    ));
    assert!(may_have_run(&rig.call("b").await, AttemptOutcome::TimedOut));
}

#[tokio::test(start_paused = true)]
async fn a_write_of_which_nothing_left_never_ran() {
    let rig = rig_of(vec![
        (WriteFate::FailsAfter(0), vec![]),
        (WriteFate::StopsAfter(0), vec![]),
    ]);
    for _ in 0..2 {
        let outcome = rig.call("a").await;
        assert_eq!(
            (outcome.ending, outcome.sent),
            (AttemptOutcome::ConnectFailed, SendState::NeverLeft)
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_rejection_is_believed_by_its_id_or_on_a_first_request() {
    let first = vec![
        vec![(1, rejection(""))],
        vec![(1, rejection("b"))],
        vec![(1, rejection(""))],
    ];
    let rig = rig(vec![first]);
    assert_eq!(rig.call("a").await.sent, SendState::Rejected);
    assert_eq!(rig.call("b").await.sent, SendState::Rejected);
    assert!(may_have_run(&rig.call("c").await, AttemptOutcome::Error));
    assert_eq!(rig.pool.idle(), 0);
}

/// The second word of a rejection has the same id as the answer to the next try: they never meet.
#[tokio::test(start_paused = true)]
async fn a_request_never_goes_twice_over_one_connection() {
    let rejected_twice = vec![vec![(1, rejection("a"))], vec![(1, rejection("a"))]];
    let rig = rig(vec![rejected_twice, vec![vec![(1, answer("a", "1"))]]]);
    let request = request("a");
    assert_eq!(
        rig.pool.call(&request, TIME).await.sent,
        SendState::Rejected
    );
    assert_eq!(rig.pool.idle(), 1);
    assert_eq!(
        rig.pool.call(&request, TIME).await.answer.unwrap().body,
        b"1"
    );
    assert_eq!(rig.script.opened.get(), 2);
}

#[tokio::test(start_paused = true)]
async fn another_replica_at_the_address_has_not_run_it() {
    let misdirected = Event::Bytes(message(421, "", "", "X-Replica-Id: j\r\n", b""));
    let rig = rig(vec![vec![vec![(1, misdirected)]]]);
    let outcome = rig.call("a").await;
    assert_eq!(
        (outcome.ending, outcome.sent),
        (AttemptOutcome::ConnectFailed, SendState::Rejected)
    );
    assert_eq!(rig.pool.idle(), 0);
}

#[tokio::test(start_paused = true)]
async fn no_more_connections_are_up_than_a_replica_accepts() {
    let rejected = || vec![vec![(1, rejection("a"))]];
    let rig = rig(vec![rejected(), rejected(), rejected()]);
    rig.pool.most.set(2);
    let request = request("a");
    for waiting in [1, 2, 2] {
        rig.pool.call(&request, TIME).await;
        assert_eq!(rig.pool.idle(), waiting);
    }
    assert_eq!(rig.script.opened.get(), 3);
}
