//! The outcomes of attempts on a connection that breaks.

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

/// The one replica.
const REPLICA: ReplicaIndex = ReplicaIndex(0);
/// Attempts at the replica, all on one connection.
const ATTEMPTS: usize = 500;
/// Bytes of each attempt: together more than any socket's buffers hold.
const TEXT_BYTES: usize = 60_000;

/// How a replica breaks the connection amid the attempts.
struct Break {
    /// What it sends; the connection is closed where it sends nothing.
    sent: &'static [u8],
    /// The outcome of attempts that were written completely.
    written: AttemptOutcome,
    /// The outcome of all others.
    unwritten: AttemptOutcome,
}

/// What was written completely when a connection broke, or violated the protocol, may have run; the rest never did.
#[test]
fn attempts_end_by_whether_their_last_byte_was_written() {
    let breaks = [
        // A response to what was never sent completely is a violation.
        Break {
            sent: b"\0\0\0\x10El.499 hit 1 -\nv",
            written: AttemptOutcome::Error,
            unwritten: AttemptOutcome::NotSent,
        },
        Break {
            sent: b"",
            written: AttemptOutcome::ConnectionLost,
            unwritten: AttemptOutcome::ConnectFailed,
        },
    ];
    for Break {
        sent,
        written,
        unwritten,
    } in breaks
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

/// The outcomes of the attempts, by sub-request, after the replica has read somewhat more than one and has broken the
/// connection.
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
    let open = (!sent.is_empty()).then_some(replica);
    let mut outcomes = vec![None; ATTEMPTS];
    for _ in 0..ATTEMPTS {
        let FinishedAttempt { key, outcome, .. } = finished_attempts.recv().await.unwrap();
        let earlier = outcomes[key.sub_request.0].replace(outcome);
        assert_eq!(earlier, None, "each ends once");
    }
    drop((in_flight, open));
    outcomes
}

/// One connection for all attempts, and time-outs that none of them meets.
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
