//! Whose answer it is, how a sub-request ended, and whether it may be sent again: the whole table.

use bytes::BytesMut;
use linenthread_config::Mode;
use linenthread_core::interface::AttemptOutcome;
use linenthread_dataplane::outcome::SendState::{MayHaveRun, NeverLeft, Rejected};
use linenthread_dataplane::outcome::{
    Connection, SendState, WireEvent, classify, judge, may_send_again,
};
use linenthread_http::Head;
use yare::parameterized;

const EVENTS: [WireEvent; 15] = [
    WireEvent::NoRoom,
    WireEvent::NotConnected,
    WireEvent::NothingWritten,
    WireEvent::WriteCut,
    WireEvent::ClosedUnanswered,
    WireEvent::AnswerCut,
    WireEvent::Silent,
    WireEvent::Malformed,
    WireEvent::NotOurs,
    WireEvent::Misdirected,
    WireEvent::NotExecuted,
    WireEvent::Success,
    WireEvent::Unsealed,
    WireEvent::Refused,
    WireEvent::Failed,
];

#[parameterized(
    no_room = { WireEvent::NoRoom, AttemptOutcome::NotSent, AttemptOutcome::NotSent, NeverLeft },
    not_connected = { WireEvent::NotConnected, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectFailed, NeverLeft },
    nothing_written = { WireEvent::NothingWritten, AttemptOutcome::ConnectFailed, AttemptOutcome::NotSent, NeverLeft },
    write_cut = { WireEvent::WriteCut, AttemptOutcome::ConnectionLost, AttemptOutcome::Error, MayHaveRun },
    closed_unanswered = { WireEvent::ClosedUnanswered, AttemptOutcome::ConnectionLost, AttemptOutcome::Error, MayHaveRun },
    answer_cut = { WireEvent::AnswerCut, AttemptOutcome::Error, AttemptOutcome::Error, MayHaveRun },
    silent = { WireEvent::Silent, AttemptOutcome::TimedOut, AttemptOutcome::TimedOut, MayHaveRun },
    malformed = { WireEvent::Malformed, AttemptOutcome::Error, AttemptOutcome::Error, MayHaveRun },
    not_ours = { WireEvent::NotOurs, AttemptOutcome::Error, AttemptOutcome::Error, MayHaveRun },
    misdirected = { WireEvent::Misdirected, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectFailed, Rejected },
    not_executed = { WireEvent::NotExecuted, AttemptOutcome::Rejected, AttemptOutcome::Rejected, Rejected },
    success = { WireEvent::Success, AttemptOutcome::Success, AttemptOutcome::Success, MayHaveRun },
    unsealed = { WireEvent::Unsealed, AttemptOutcome::Error, AttemptOutcome::Error, MayHaveRun },
    refused = { WireEvent::Refused, AttemptOutcome::Success, AttemptOutcome::Success, MayHaveRun },
    failed = { WireEvent::Failed, AttemptOutcome::Error, AttemptOutcome::Error, MayHaveRun },
)]
fn each_event_has_its_ending(
    event: WireEvent,
    fresh: AttemptOutcome,
    reused: AttemptOutcome,
    sent: SendState,
) {
    assert_eq!(judge(event, Connection::Fresh, false), (fresh, sent));
    assert_eq!(judge(event, Connection::Reused, false), (reused, sent));
}

/// The decision module judges by the ending alone: it must say no more than is known.
#[test]
fn no_ending_says_never_ran_of_what_may_have_run() {
    for event in EVENTS {
        for connection in [Connection::Fresh, Connection::Reused] {
            for gathers in [false, true] {
                let (ending, sent) = judge(event, connection, gathers);
                assert_eq!(
                    ending.never_ran(),
                    sent != SendState::MayHaveRun,
                    "{event:?}"
                );
            }
        }
    }
}

#[parameterized(
    never_left = { SendState::NeverLeft, true },
    rejected = { SendState::Rejected, true },
    may_have_run = { SendState::MayHaveRun, false },
)]
fn what_may_not_be_repeated_is_sent_again_only_where_it_never_ran(sent: SendState, again: bool) {
    assert_eq!(may_send_again(Mode::Mutating, sent), again);
    assert!(may_send_again(Mode::Idempotent, sent));
}

fn head(text: &str) -> Head {
    let mut bytes =
        BytesMut::from(format!("HTTP/1.1 {text}\r\nContent-Length: 0\r\n\r\n").as_bytes());
    Head::answer(&mut bytes, 4_096).unwrap().unwrap()
}

#[parameterized(
    own = { "200 OK\r\nX-Attempt-Id: a\r\nX-Replica-Seal: s", WireEvent::Success, WireEvent::Success },
    without_id = { "200 OK\r\nX-Replica-Seal: s", WireEvent::NotOurs, WireEvent::NotOurs },
    of_another = { "200 OK\r\nX-Attempt-Id: b\r\nX-Replica-Seal: s", WireEvent::NotOurs, WireEvent::NotOurs },
    of_two = { "200 OK\r\nX-Attempt-Id: a\r\nX-Attempt-Id: b\r\nX-Replica-Seal: s",
        WireEvent::NotOurs, WireEvent::NotOurs },
    unsealed = { "200 OK\r\nX-Attempt-Id: a", WireEvent::Unsealed, WireEvent::Unsealed },
    coded = { "200 OK\r\nX-Attempt-Id: a\r\nX-Replica-Seal: s\r\nContent-Encoding: gzip",
        WireEvent::NotOurs, WireEvent::NotOurs },
    not_executed = { "503 Busy\r\nX-Attempt-Id: a\r\nX-Not-Executed: 1",
        WireEvent::NotExecuted, WireEvent::NotExecuted },
    not_executed_without_id = { "503 Busy\r\nX-Not-Executed: 1", WireEvent::NotExecuted, WireEvent::NotOurs },
    not_executed_of_another = { "503 Busy\r\nX-Attempt-Id: b\r\nX-Not-Executed: 1",
        WireEvent::NotOurs, WireEvent::NotOurs },
    not_executed_with_a_seal = { "503 Busy\r\nX-Attempt-Id: a\r\nX-Not-Executed: 1\r\nX-Replica-Seal: s",
        WireEvent::Failed, WireEvent::Failed },
    not_executed_and_a_success = { "200 OK\r\nX-Attempt-Id: a\r\nX-Not-Executed: 1",
        WireEvent::Unsealed, WireEvent::Unsealed },
    misdirected = { "421 Misdirected\r\nX-Replica-Id: other", WireEvent::Misdirected, WireEvent::NotOurs },
    misdirected_by_nobody = { "421 Misdirected", WireEvent::NotOurs, WireEvent::NotOurs },
    misdirected_by_itself = { "421 Misdirected\r\nX-Attempt-Id: a\r\nX-Replica-Id: i",
        WireEvent::Refused, WireEvent::Refused },
    unread = { "408 Late", WireEvent::NotOurs, WireEvent::NotOurs },
    failed = { "500 Failed\r\nX-Attempt-Id: a", WireEvent::Failed, WireEvent::Failed },
    refused = { "404 None\r\nX-Attempt-Id: a", WireEvent::Refused, WireEvent::Refused },
)]
fn an_answer_belongs_to_a_request_by_its_id(text: &str, fresh: WireEvent, reused: WireEvent) {
    assert_eq!(classify(&head(text), "a", "i", Connection::Fresh), fresh);
    assert_eq!(classify(&head(text), "a", "i", Connection::Reused), reused);
}
