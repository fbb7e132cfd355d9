//! The link's wire format, compared with bytes written by an earlier version.
//!
//! The file under `tests/golden/` was written by commit 464716d. It must never be regenerated to make a test pass:
//! the peer may run an older version.

use linenthread_core::interface::{AttemptOutcome, Phase};
use linenthread_frames::{Nonce, Proof};
use linenthread_golden::named_bytes;
use linenthread_link::frame::{
    CallOutcome, CallRequest, Challenge, Credit, Hello, MembersUpdate, ProbeOutcome, Welcome,
};
use linenthread_link::{Call, CallNumber, Frame, Member, ProbeId, SessionId};

fn member(id: &str, phase: Phase, age_ms: Option<u32>) -> Member {
    Member {
        id: id.to_owned(),
        zone: "messina".to_owned(),
        replica_group: 0x0102_0304,
        phase,
        age_ms,
        slow_start_share: 750,
    }
}

/// Returns bytes that count up from `first`, so that each has a different value.
fn counting_bytes<const N: usize>(first: u8) -> [u8; N] {
    let mut bytes = first..;
    std::array::from_fn(|_| bytes.next().expect("fewer than 256 bytes"))
}

fn nonce() -> Nonce {
    counting_bytes(0x30)
}

fn proof() -> Proof {
    counting_bytes(0x80)
}

/// The frames that establish or refuse a connection.
fn handshake_frames() -> [(&'static str, Frame); 4] {
    let challenge = Challenge {
        min_version: 1,
        max_version: 3,
        nonce: nonce(),
        name: "gateway".to_owned(),
    };
    let hello = Hello {
        version: 2,
        name: "coordinator".to_owned(),
        nonce: nonce(),
        session: SessionId(0x3132_3334_3536_3738),
        attempt: 0x4142_4344_4546_4748,
        epoch: 0x5152_5354_5556_5758,
        proof: proof(),
    };
    let welcome = Welcome {
        epoch: 0x6162_6364_6566_6768,
        resumed: true,
        last_call: CallNumber(1_001),
        received_bytes: 1_002,
        proof: proof(),
    };
    let refuse = Frame::Refuse {
        reason: "not \u{e9}xpected".to_owned(),
    };
    [
        ("challenge", Frame::Challenge(challenge)),
        ("hello", Frame::Hello(hello)),
        ("welcome", Frame::Welcome(welcome)),
        ("refuse", refuse),
    ]
}

/// The frames for calls and flow control, except outcomes.
fn call_frames() -> [(&'static str, Frame); 4] {
    let call = Call {
        replica: "replica-1".to_owned(),
        query: "9b1f03aa5c7e2d41".to_owned(),
        shard: 0x1112_1314,
        continuation: 0x2122_2324,
        text: "a text with \u{e9} and\nlines".to_owned(),
    };
    let request = CallRequest {
        number: CallNumber(1_003),
        remaining_ms: 2_500,
        call,
    };
    let withdraw = Frame::Withdraw {
        number: CallNumber(1_004),
    };
    let ack = Frame::Ack {
        numbers: [1_005, 1_006, 1_007].map(CallNumber).to_vec(),
    };
    let credit = Credit {
        last_call: CallNumber(1_008),
        bytes: 1_009,
    };
    [
        ("call", Frame::Call(request)),
        ("withdraw", withdraw),
        ("ack", ack),
        ("credit", Frame::Credit(credit)),
    ]
}

/// The frames for pings, members, probes and draining.
fn other_frames() -> [(&'static str, Frame); 5] {
    let members = MembersUpdate {
        revision: 1_012,
        complete: true,
        members: vec![
            member("replica-1", Phase::Ready, None),
            member("replica-2", Phase::Draining, Some(1_234)),
            member("replica-3", Phase::Removed, Some(0)),
        ],
    };
    let probe = Frame::Probe {
        id: ProbeId(1_013),
        replica: "replica-1".to_owned(),
    };
    [
        ("ping", Frame::Ping { sequence: 1_010 }),
        ("pong", Frame::Pong { sequence: 1_011 }),
        ("members", Frame::Members(members)),
        ("probe", probe),
        ("goodbye", Frame::Goodbye),
    ]
}

/// Each outcome of a call and of a health check, named after its code.
fn outcome_frames() -> Vec<(String, Frame)> {
    let outcomes = [
        AttemptOutcome::Success,
        AttemptOutcome::Error,
        AttemptOutcome::Rejected,
        AttemptOutcome::TimedOut,
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::Cancelled,
        AttemptOutcome::NotSent,
    ];
    let mut frames = Vec::new();
    for (code, outcome) in outcomes.into_iter().enumerate() {
        let completed = Frame::Outcome(CallOutcome {
            number: CallNumber(1_014),
            outcome,
            queue_depth: Some(2.5),
            value: "a value".to_owned(),
        });
        frames.push((format!("outcome_{code}"), completed));
        let probed = Frame::Probed(ProbeOutcome {
            id: ProbeId(1_015),
            outcome,
            queue_depth: None,
        });
        frames.push((format!("probed_{code}"), probed));
    }
    frames
}

/// All frames, in the order of the golden file. Each field has a different value, so that swapped fields are detected.
fn frames() -> Vec<(String, Frame)> {
    handshake_frames()
        .into_iter()
        .chain(call_frames())
        .chain(other_frames())
        .map(|(name, frame)| (name.to_owned(), frame))
        .chain(outcome_frames())
        .collect()
}

#[test]
fn frames_have_the_bytes_of_version_464716d() {
    let golden = named_bytes(include_str!("golden/frames.hex")).collect::<Vec<_>>();
    let frames = frames();
    assert_eq!(golden.len(), frames.len());
    for ((name, frame), (golden_name, bytes)) in frames.into_iter().zip(golden) {
        assert_eq!(name, golden_name);
        assert_eq!(frame.encode(), bytes, "{name} encodes");
        let decoded = Frame::decode(&bytes).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(decoded, Some((frame, bytes.len())), "{name} decodes");
    }
}
