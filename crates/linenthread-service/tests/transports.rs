//! The outcomes of attempts on a connection that is closed or receives invalid data.

use std::rc::Rc;
use std::time::Duration;

use linenthread_core::interface::{AttemptOutcome, ReplicaIndex, SubRequestIndex};
use linenthread_service::transports::attempt::{
    AttemptKey, ConnectionConfig, FinishedAttempt, OutgoingSubRequest,
};
use linenthread_service::transports::{Route, Transports};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const REPLICA: ReplicaIndex = ReplicaIndex(0);
/// The number of attempts, all on one connection to the replica.
const ATTEMPTS: usize = 500;
/// The length of each attempt's text: together, the attempts exceed any socket buffer.
const TEXT_BYTES: usize = 60_000;

/// A fault of the connection while attempts are being written, and the expected outcomes.
struct ConnectionFault {
    /// Invalid data that the replica sends. If empty, the replica closes the connection.
    sent: &'static [u8],
    /// The expected outcome of attempts that were written completely.
    written: AttemptOutcome,
    /// The expected outcome of all other attempts.
    unwritten: AttemptOutcome,
}

/// When a connection is closed or violates the protocol, attempts that were written completely may have run on the
/// replica; all others have not.
#[test]
fn the_outcome_of_an_attempt_depends_on_whether_its_last_byte_was_written() {
    let faults = [
        // A response to an attempt that was not sent completely violates the protocol.
        ConnectionFault {
            sent: b"\0\0\0\x10El.499 hit 1 -\nv",
            written: AttemptOutcome::Error,
            unwritten: AttemptOutcome::NotSent,
        },
        ConnectionFault {
            sent: b"",
            written: AttemptOutcome::ConnectionLost,
            unwritten: AttemptOutcome::ConnectFailed,
        },
    ];
    for ConnectionFault {
        sent,
        written,
        unwritten,
    } in faults
    {
        let outcomes = actix_rt::System::new().block_on(outcomes_after(sent));
        assert_eq!(
            (outcomes[0], outcomes[ATTEMPTS - 1]),
            (Some(written), Some(unwritten))
        );
        let is_unwritten = |outcome: &Option<_>| *outcome == Some(unwritten);
        assert!(outcomes.is_sorted_by_key(is_unwritten), "{outcomes:?}");
    }
}

/// Returns the outcomes of the attempts, by sub-request. The replica reads somewhat more than one attempt, then sends
/// `sent` or, if that is empty, closes the connection.
async fn outcomes_after(sent: &[u8]) -> Vec<Option<AttemptOutcome>> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let transports = Transports::new(one_connection());
    transports.set_route(REPLICA, listener.local_addr().ok().map(Route::Direct));
    let (finished, mut finished_attempts) = mpsc::unbounded_channel();
    let text: Rc<str> = "x".repeat(TEXT_BYTES).into();
    let in_flight: Vec<_> = (0..ATTEMPTS)
        .map(|sub_request| {
            let outgoing = outgoing(sub_request, text.clone());
            transports.send(REPLICA, "l", &[outgoing], 9, &finished)
        })
        .collect();
    let (mut replica, _) = listener.accept().await.unwrap();
    let read_bytes = TEXT_BYTES + 1_000;
    replica.read_exact(&mut vec![0; read_bytes]).await.unwrap();
    replica.write_all(sent).await.unwrap();
    let open_connection = (!sent.is_empty()).then_some(replica);
    let mut outcomes = vec![None; ATTEMPTS];
    for _ in 0..ATTEMPTS {
        let FinishedAttempt { key, outcome, .. } = finished_attempts.recv().await.unwrap();
        let earlier = outcomes[key.sub_request.0].replace(outcome);
        assert_eq!(earlier, None, "each attempt ends once");
    }
    drop((in_flight, open_connection));
    outcomes
}

/// Returns a configuration with a single connection for all attempts, and time-outs that are not reached.
fn one_connection() -> ConnectionConfig {
    let long = Duration::from_secs(20);
    ConnectionConfig {
        max_streams: ATTEMPTS,
        sends_cancellations: true,
        connect_timeout: long,
        probe_timeout: long,
        idle_timeout: long,
        max_connections: 1,
    }
}

fn outgoing(sub_request: usize, text: Rc<str>) -> OutgoingSubRequest {
    OutgoingSubRequest {
        key: AttemptKey {
            sub_request: SubRequestIndex(sub_request),
            attempt: 0,
        },
        shard: sub_request,
        continuation: 0,
        text,
        priority: 0,
    }
}
