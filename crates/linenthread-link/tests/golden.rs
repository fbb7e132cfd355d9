//! The link's wire format, held fast by bytes that an earlier version wrote.
//!
//! The file under `tests/golden/` was written by commit 464716d. It must never be regenerated to make a test pass:
//! the other side of a link may run an older version.

use linenthread_core::interface::{AttemptOutcome, Phase};
use linenthread_link::{Call, Frame, Member};

/// The lines of a golden file: a name, a space, and bytes in hexadecimal.
fn golden(text: &str) -> Vec<(String, Vec<u8>)> {
    text.lines()
        .map(|line| {
            let (name, hex) = line.rsplit_once(' ').expect("a name and its bytes");
            let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("two digits");
            let bytes = (0..hex.len()).step_by(2).map(byte).collect();
            (name.to_owned(), bytes)
        })
        .collect()
}

fn member(id: &str, phase: Phase, age_ms: Option<u32>) -> Member {
    Member {
        id: id.to_owned(),
        site: "messina".to_owned(),
        cell: 0x0102_0304,
        phase,
        age_ms,
        share: 750,
    }
}

/// Every frame with each field set to a value of its own.
fn frames() -> Vec<(String, Frame)> {
    let nonce = std::array::from_fn(|i| 0x30 + i as u8);
    let proof = std::array::from_fn(|i| 0x80 + i as u8);
    let call = Call {
        replica: "replica-1".to_owned(),
        lookup: "9b1f03aa5c7e2d41".to_owned(),
        shard: 0x1112_1314,
        round: 0x2122_2324,
        text: "a text with \u{e9} and\nlines".to_owned(),
    };
    let mut frames = vec![
        (
            "challenge".to_owned(),
            Frame::Challenge {
                least: 1,
                most: 3,
                nonce,
                name: "gateway".to_owned(),
            },
        ),
        (
            "hello".to_owned(),
            Frame::Hello {
                version: 2,
                name: "coordinator".to_owned(),
                nonce,
                session: 0x3132_3334_3536_3738,
                attempt: 0x4142_4344_4546_4748,
                epoch: 0x5152_5354_5556_5758,
                proof,
            },
        ),
        (
            "welcome".to_owned(),
            Frame::Welcome {
                epoch: 0x6162_6364_6566_6768,
                resumed: true,
                received: 1_001,
                bytes: 1_002,
                proof,
            },
        ),
        (
            "refuse".to_owned(),
            Frame::Refuse {
                why: "not \u{e9}xpected".to_owned(),
            },
        ),
        (
            "call".to_owned(),
            Frame::Call {
                number: 1_003,
                remaining_ms: 2_500,
                call,
            },
        ),
        ("withdraw".to_owned(), Frame::Withdraw { number: 1_004 }),
        (
            "ack".to_owned(),
            Frame::Ack {
                numbers: vec![1_005, 1_006, 1_007],
            },
        ),
        (
            "credit".to_owned(),
            Frame::Credit {
                number: 1_008,
                bytes: 1_009,
            },
        ),
        ("ping".to_owned(), Frame::Ping { number: 1_010 }),
        ("pong".to_owned(), Frame::Pong { number: 1_011 }),
        (
            "members".to_owned(),
            Frame::Members {
                revision: 1_012,
                whole: true,
                members: vec![
                    member("replica-1", Phase::Ready, None),
                    member("replica-2", Phase::Draining, Some(1_234)),
                    member("replica-3", Phase::Removed, Some(0)),
                ],
            },
        ),
        (
            "probe".to_owned(),
            Frame::Probe {
                number: 1_013,
                replica: "replica-1".to_owned(),
            },
        ),
        ("goodbye".to_owned(), Frame::Goodbye),
    ];
    let endings = [
        AttemptOutcome::Success,
        AttemptOutcome::Error,
        AttemptOutcome::Rejected,
        AttemptOutcome::TimedOut,
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::Cancelled,
        AttemptOutcome::NotSent,
    ];
    for (at, ending) in endings.into_iter().enumerate() {
        let outcome = Frame::Outcome {
            number: 1_014,
            ending,
            queue: Some(2.5),
            value: "a value".to_owned(),
        };
        frames.push((format!("outcome_{at}"), outcome));
        let probed = Frame::Probed {
            number: 1_015,
            ending,
            queue: None,
        };
        frames.push((format!("probed_{at}"), probed));
    }
    frames
}

#[test]
fn frames_have_the_bytes_of_version_464716d() {
    let golden = golden(include_str!("golden/frames.hex"));
    let frames = frames();
    assert_eq!(golden.len(), frames.len());
    for ((name, frame), (golden_name, bytes)) in frames.into_iter().zip(golden) {
        assert_eq!(name, golden_name);
        assert_eq!(frame.encode(), bytes, "{name} encodes");
        let decoded = Frame::decode(&bytes).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(decoded, Some((frame, bytes.len())), "{name} decodes");
    }
}
