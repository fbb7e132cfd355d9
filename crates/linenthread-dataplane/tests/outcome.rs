//! Tests of the complete tables: which request a response belongs to, how an attempt ended, and whether it may be
//! retried.

use bytes::BytesMut;
use linenthread_config::Mode;
use linenthread_core::interface::AttemptOutcome;
use linenthread_dataplane::outcome::SendState::{MayHaveRun, NotSent, Rejected};
use linenthread_dataplane::outcome::{
    ConnectionAge, Outcome, ResponseUse, SendState, WireEvent, classify_response, may_retry,
};
use linenthread_http::Head;
use yare::parameterized;

const EVENTS: [WireEvent; 15] = [
    WireEvent::PoolExhausted,
    WireEvent::ConnectFailed,
    WireEvent::NothingWritten,
    WireEvent::WriteTruncated,
    WireEvent::ClosedBeforeResponse,
    WireEvent::ResponseTruncated,
    WireEvent::TimedOut,
    WireEvent::Malformed,
    WireEvent::Unattributed,
    WireEvent::Misdirected,
    WireEvent::NotExecuted,
    WireEvent::Success,
    WireEvent::Unsealed,
    WireEvent::RequestRejected,
    WireEvent::ServerError,
];

#[parameterized(
    pool_exhausted = { WireEvent::PoolExhausted, AttemptOutcome::NotSent, AttemptOutcome::NotSent, NotSent },
    connect_failed = {
        WireEvent::ConnectFailed, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectFailed, NotSent
    },
    nothing_written = { WireEvent::NothingWritten, AttemptOutcome::ConnectFailed, AttemptOutcome::NotSent, NotSent },
    write_truncated = { WireEvent::WriteTruncated, AttemptOutcome::ConnectionLost, AttemptOutcome::Error, MayHaveRun },
    closed_before_response = {
        WireEvent::ClosedBeforeResponse, AttemptOutcome::ConnectionLost, AttemptOutcome::Error, MayHaveRun
    },
    response_truncated = { WireEvent::ResponseTruncated, AttemptOutcome::Error, AttemptOutcome::Error, MayHaveRun },
    timed_out = { WireEvent::TimedOut, AttemptOutcome::TimedOut, AttemptOutcome::TimedOut, MayHaveRun },
    malformed = { WireEvent::Malformed, AttemptOutcome::Error, AttemptOutcome::Error, MayHaveRun },
    unattributed = { WireEvent::Unattributed, AttemptOutcome::Error, AttemptOutcome::Error, MayHaveRun },
    misdirected = { WireEvent::Misdirected, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectFailed, Rejected },
    not_executed = { WireEvent::NotExecuted, AttemptOutcome::Rejected, AttemptOutcome::Rejected, Rejected },
    success = { WireEvent::Success, AttemptOutcome::Success, AttemptOutcome::Success, MayHaveRun },
    unsealed = { WireEvent::Unsealed, AttemptOutcome::Error, AttemptOutcome::Error, MayHaveRun },
    request_rejected = { WireEvent::RequestRejected, AttemptOutcome::Success, AttemptOutcome::Success, MayHaveRun },
    server_error = { WireEvent::ServerError, AttemptOutcome::Error, AttemptOutcome::Error, MayHaveRun },
)]
fn each_event_has_its_outcome(
    event: WireEvent,
    new: AttemptOutcome,
    reused: AttemptOutcome,
    send_state: SendState,
) {
    for (age, attempt_outcome) in [(ConnectionAge::New, new), (ConnectionAge::Reused, reused)] {
        let outcome = Outcome::from_wire_event(event, age, ResponseUse::Forwarded);
        assert_eq!(
            outcome,
            Outcome {
                attempt_outcome,
                send_state
            }
        );
    }
}

/// The decision module sees only the attempt outcome, which therefore must not claim more than is known.
#[test]
fn attempt_outcome_and_send_state_agree_on_whether_it_never_ran() {
    for event in EVENTS {
        for age in [ConnectionAge::New, ConnectionAge::Reused] {
            for response_use in [ResponseUse::Forwarded, ResponseUse::Merged] {
                let Outcome {
                    attempt_outcome,
                    send_state,
                } = Outcome::from_wire_event(event, age, response_use);
                assert_eq!(
                    attempt_outcome.never_ran(),
                    send_state != SendState::MayHaveRun,
                    "{event:?}"
                );
            }
        }
    }
}

#[parameterized(
    not_sent = { SendState::NotSent, true },
    rejected = { SendState::Rejected, true },
    may_have_run = { SendState::MayHaveRun, false },
)]
fn a_mutating_request_is_retried_only_if_it_never_ran(furthest: SendState, expected: bool) {
    assert_eq!(may_retry(Mode::Mutating, furthest), expected);
    assert!(may_retry(Mode::Idempotent, furthest));
}

fn head(text: &str) -> Head {
    let mut bytes =
        BytesMut::from(format!("HTTP/1.1 {text}\r\nContent-Length: 0\r\n\r\n").as_bytes());
    Head::parse_response(&mut bytes, 4_096).unwrap().unwrap()
}

#[parameterized(
    own_id = { "200 OK\r\nX-Attempt-Id: a\r\nX-Replica-Seal: s", WireEvent::Success, WireEvent::Success },
    without_id = { "200 OK\r\nX-Replica-Seal: s", WireEvent::Unattributed, WireEvent::Unattributed },
    of_another_request = {
        "200 OK\r\nX-Attempt-Id: b\r\nX-Replica-Seal: s",
        WireEvent::Unattributed, WireEvent::Unattributed
    },
    of_two_requests = { "200 OK\r\nX-Attempt-Id: a\r\nX-Attempt-Id: b\r\nX-Replica-Seal: s",
        WireEvent::Unattributed, WireEvent::Unattributed },
    unsealed = { "200 OK\r\nX-Attempt-Id: a", WireEvent::Unsealed, WireEvent::Unsealed },
    encoded = { "200 OK\r\nX-Attempt-Id: a\r\nX-Replica-Seal: s\r\nContent-Encoding: gzip",
        WireEvent::Unattributed, WireEvent::Unattributed },
    not_executed = { "503 Busy\r\nX-Attempt-Id: a\r\nX-Not-Executed: 1",
        WireEvent::NotExecuted, WireEvent::NotExecuted },
    not_executed_without_id = { "503 Busy\r\nX-Not-Executed: 1", WireEvent::NotExecuted, WireEvent::Unattributed },
    not_executed_of_another = { "503 Busy\r\nX-Attempt-Id: b\r\nX-Not-Executed: 1",
        WireEvent::Unattributed, WireEvent::Unattributed },
    not_executed_with_a_seal = { "503 Busy\r\nX-Attempt-Id: a\r\nX-Not-Executed: 1\r\nX-Replica-Seal: s",
        WireEvent::ServerError, WireEvent::ServerError },
    not_executed_and_a_success = { "200 OK\r\nX-Attempt-Id: a\r\nX-Not-Executed: 1",
        WireEvent::Unsealed, WireEvent::Unsealed },
    misdirected = { "421 Misdirected\r\nX-Replica-Id: other", WireEvent::Misdirected, WireEvent::Unattributed },
    misdirected_without_id = { "421 Misdirected", WireEvent::Unattributed, WireEvent::Unattributed },
    misdirected_naming_itself = { "421 Misdirected\r\nX-Attempt-Id: a\r\nX-Replica-Id: i",
        WireEvent::RequestRejected, WireEvent::RequestRejected },
    with_neither_id_nor_not_executed = { "408 Late", WireEvent::Unattributed, WireEvent::Unattributed },
    server_error = { "500 Failed\r\nX-Attempt-Id: a", WireEvent::ServerError, WireEvent::ServerError },
    request_rejected = { "404 None\r\nX-Attempt-Id: a", WireEvent::RequestRejected, WireEvent::RequestRejected },
)]
fn a_response_is_classified_by_id_seal_and_connection_age(
    text: &str,
    new: WireEvent,
    reused: WireEvent,
) {
    assert_eq!(
        classify_response(&head(text), "a", "i", ConnectionAge::New),
        new
    );
    assert_eq!(
        classify_response(&head(text), "a", "i", ConnectionAge::Reused),
        reused
    );
}
