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

/// What was written completely when a connection broke, or violated the protocol, may have run; the rest never did.
#[test]
fn attempts_end_by_whether_their_last_byte_was_written() {
    // A response to what was never sent completely is a violation.
    let violation: &[u8] = b"\0\0\0\x10El.499 hit 1 -\nv";
    for (sent, written, unwritten) in [
        (violation, AttemptOutcome::Error, AttemptOutcome::NotSent),
        (
            b"",
            AttemptOutcome::ConnectionLost,
            AttemptOutcome::ConnectFailed,
        ),
    ] {
        actix_rt::System::new().block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let long = Duration::from_secs(20);
            let transports = Transports::new(ConnectionConfig {
                max_streams: 500,
                sends_cancellations: true,
                connect_timeout: long,
                probe_timeout: long,
                idle_timeout: long,
                max_connections: 1,
            });
            transports.set_route(REPLICA, listener.local_addr().ok().map(Route::Direct));
            let (finished, mut finished_attempts) = mpsc::unbounded_channel();
            // More than any socket's buffers hold.
            let text: Rc<str> = "x".repeat(60_000).into();
            let outgoing = |sub_request| OutgoingSubRequest {
                key: AttemptKey {
                    sub_request: SubRequestIndex(sub_request),
                    attempt: 0,
                },
                shard: sub_request,
                continuation: 0,
                text: text.clone(),
                priority: 0,
            };
            let send =
                |sub_request| transports.send(REPLICA, "l", &[outgoing(sub_request)], 9, &finished);
            let in_flight: Vec<_> = (0..500).map(send).collect();
            let (mut replica, _) = listener.accept().await.unwrap();
            replica.read_exact(&mut vec![0; 61_000]).await.unwrap();
            replica.write_all(sent).await.unwrap();
            let open = (!sent.is_empty()).then_some(replica);
            let mut outcomes = vec![None; 500];
            for _ in 0..500 {
                let FinishedAttempt { key, outcome, .. } = finished_attempts.recv().await.unwrap();
                let earlier = outcomes[key.sub_request.0].replace(outcome);
                assert_eq!(earlier, None, "each ends once");
            }
            assert_eq!(
                (outcomes[0], outcomes[499]),
                (Some(written), Some(unwritten))
            );
            let is_unwritten = |outcome: &Option<_>| *outcome == Some(unwritten);
            assert!(outcomes.is_sorted_by_key(is_unwritten), "{outcomes:?}");
            drop((in_flight, open));
        });
    }
}
