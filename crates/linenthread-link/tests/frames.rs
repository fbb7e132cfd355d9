//! The encoding of frames.

use linenthread_core::interface::{AttemptOutcome, Phase};
use linenthread_link::frame::{
    CallOutcome, CallRequest, Challenge, Credit, Hello, MembersUpdate, ProbeOutcome, Welcome,
};
use linenthread_link::{Call, CallNumber, Frame, Member, ProbeId, SessionId};

fn call(text: &str) -> Call {
    Call {
        replica: "s-1".into(),
        query: "9b1f".into(),
        shard: 3,
        continuation: 0,
        text: text.into(),
    }
}

fn member(phase: Phase, age_ms: Option<u32>, slow_start_share: u16) -> Member {
    Member {
        id: "s-1".into(),
        zone: "messina".into(),
        replica_group: 4,
        phase,
        age_ms,
        slow_start_share,
    }
}

fn challenge(nonce: [u8; 16], name: &str) -> Frame {
    Frame::Challenge(Challenge {
        min_version: 1,
        max_version: 1,
        nonce,
        name: name.into(),
    })
}

fn call_frame(text: &str) -> Frame {
    Frame::Call(CallRequest {
        number: CallNumber(1),
        remaining_ms: 900,
        call: call(text),
    })
}

fn outcome_frame(outcome: AttemptOutcome) -> Frame {
    Frame::Outcome(CallOutcome {
        number: CallNumber(1),
        outcome,
        queue_depth: Some(2.0),
        value: "v".into(),
    })
}

fn members_frame(members: Vec<Member>) -> Frame {
    Frame::Members(MembersUpdate {
        revision: 1,
        complete: true,
        members,
    })
}

fn credit_frame(last_call: u64, bytes: u64) -> Frame {
    Frame::Credit(Credit {
        last_call: CallNumber(last_call),
        bytes,
    })
}

/// One frame of each kind.
fn frames_of_all_kinds() -> [Frame; 15] {
    [
        challenge([7; 16], "g"),
        Frame::Hello(Hello {
            version: 1,
            name: "n".into(),
            nonce: [1; 16],
            session: SessionId(2),
            attempt: 1,
            epoch: 3,
            proof: [4; 32],
        }),
        Frame::Welcome(Welcome {
            epoch: 1,
            resumed: true,
            last_call: CallNumber(9),
            received_bytes: 8,
            proof: [5; 32],
        }),
        Frame::Refuse {
            reason: "no".into(),
        },
        call_frame("what is asked"),
        Frame::Withdraw {
            number: CallNumber(1),
        },
        outcome_frame(AttemptOutcome::ConnectionLost),
        Frame::Ack {
            numbers: vec![CallNumber(1), CallNumber(2)],
        },
        credit_frame(5, 6),
        Frame::Ping { sequence: 1 },
        Frame::Pong { sequence: 1 },
        members_frame(vec![member(Phase::Draining, Some(7), 500)]),
        Frame::Probe {
            id: ProbeId(1),
            replica: "s-1".into(),
        },
        Frame::Probed(ProbeOutcome {
            id: ProbeId(1),
            outcome: AttemptOutcome::Rejected,
            queue_depth: None,
        }),
        Frame::Goodbye,
    ]
}

/// Sets the length field to the actual length.
fn set_length(frame: &mut [u8]) {
    let length = u32::try_from(frame.len() - 4).unwrap();
    frame[..4].copy_from_slice(&length.to_be_bytes());
}

#[test]
fn frames_round_trip_and_options_are_skipped() {
    for frame in frames_of_all_kinds() {
        let bytes = frame.encode();
        assert_eq!(
            Frame::decode(&bytes),
            Ok(Some((frame.clone(), bytes.len())))
        );
        for cut in 0..bytes.len() {
            assert_eq!(Frame::decode(&bytes[..cut]), Ok(None), "cut at {cut}");
            // With a matching length field, truncated bytes may decode to another frame. A frame of five bytes is not
            // truncated here, and must decode to itself.
            let mut short = bytes[..cut.max(5)].to_vec();
            set_length(&mut short);
            if let Ok(Some((other, _))) = Frame::decode(&short) {
                assert!(other == frame || short.len() < bytes.len());
            }
        }
        let mut with_option = bytes.clone();
        with_option.extend([200, 0, 2, 7, 7]);
        set_length(&mut with_option);
        assert_eq!(
            Frame::decode(&with_option),
            Ok(Some((frame, with_option.len())))
        );
    }
}

#[test]
fn invalid_frames_are_errors() {
    assert!(Frame::decode(&[0, 0, 0, 0]).is_err());
    assert!(Frame::decode(&[0, 0, 0, 1, 99]).is_err());
    assert!(Frame::decode(&[0x7f, 0, 0, 0]).is_err());
}

#[test]
fn a_withdraw_is_encoded_as_expected() {
    let withdraw = Frame::Withdraw {
        number: CallNumber(258),
    };
    assert_eq!(withdraw.encode(), [0, 0, 0, 9, 6, 0, 0, 0, 0, 0, 0, 1, 2]);
}

#[test]
fn members_with_invalid_names_or_replica_groups_are_not_valid() {
    let valid = member(Phase::Draining, Some(7), 500);
    assert!(valid.is_valid(5));
    let with_group = Member {
        replica_group: 4,
        ..valid.clone()
    };
    assert!(!with_group.is_valid(4));
    let without_id = Member {
        id: String::new(),
        ..valid.clone()
    };
    assert!(!without_id.is_valid(5));
    let long_zone = Member {
        zone: "x".repeat(129),
        ..valid
    };
    assert!(!long_zone.is_valid(5));
}

/// Checks that `docs/link.md` has the encoding of each worked example.
#[test]
fn worked_examples_in_the_documentation_match_the_encoding() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/link.md");
    let page = std::fs::read_to_string(file).unwrap();
    let page = page.replace(' ', "");
    let frames = [
        challenge([0x11; 16], "messina"),
        members_frame(vec![member(Phase::Ready, None, 250)]),
        credit_frame(512, 4_194_304),
        call_frame("c41e77d0"),
        outcome_frame(AttemptOutcome::Success),
        Frame::Ack {
            numbers: vec![CallNumber(1)],
        },
    ];
    for frame in frames {
        let hex: String = frame.encode().iter().map(|b| format!("{b:02x}")).collect();
        assert!(page.contains(&hex), "{frame:?}\n{hex}");
    }
}
