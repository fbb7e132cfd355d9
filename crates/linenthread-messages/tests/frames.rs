//! Encoding and decoding of frames: frames that arrive in two parts, and bytes that are not a valid frame.

use bytes::BytesMut;
use linenthread_messages::{
    Ballot, FrameError, Heartbeat, IngressUsage, MAX_FRAME_LENGTH, PeerMessage, Prepare,
    TenantCount, UsageUpdate, WindowCounts, decode, encode,
};

#[test]
fn messages_that_arrive_in_two_parts_are_decoded() {
    let messages = [
        PeerMessage::Prepare(Prepare {
            number: 7,
            ballot: Ballot {
                round: 2,
                proposer: 9,
            },
        }),
        PeerMessage::Heartbeat(Heartbeat {
            quota_request_or_value_number: 3,
            has_quorum: true,
            ..Heartbeat::default()
        }),
    ];
    let mut bytes = BytesMut::new();
    messages
        .iter()
        .for_each(|message| encode(message.clone(), &mut bytes));
    for split_index in 0..bytes.len() {
        let (mut buffer, mut decoded) = (BytesMut::from(&bytes[..split_index]), Vec::new());
        while let Some(message) = decode(&mut buffer).unwrap() {
            decoded.push(message);
        }
        buffer.extend_from_slice(&bytes[split_index..]);
        while let Some(message) = decode(&mut buffer).unwrap() {
            decoded.push(message);
        }
        assert_eq!(decoded, messages, "split at {split_index}");
    }
}

#[test]
fn usage_and_times_are_decoded_as_encoded() {
    let usage = UsageUpdate {
        ingress_nodes: vec![IngressUsage {
            name: "ingress-1".into(),
            incarnation: u64::MAX,
            windows: vec![WindowCounts {
                window: 353_445_120,
                tenants: vec![TenantCount {
                    tenant: "milo40".into(),
                    requests: 412,
                }],
            }],
        }],
    };
    let heartbeat = Heartbeat {
        wall_time_ms: Some(1_767_225_600_000),
        agreed_time_ms: Some(0),
        ..Heartbeat::default()
    };
    for message in [
        PeerMessage::UsageUpdate(usage),
        PeerMessage::Heartbeat(heartbeat),
        PeerMessage::Heartbeat(Heartbeat::default()),
    ] {
        let mut bytes = BytesMut::new();
        encode(message.clone(), &mut bytes);
        assert_eq!(decode(&mut bytes).unwrap(), Some(message));
        assert!(bytes.is_empty());
    }
}

#[test]
fn bytes_that_are_not_a_valid_frame_are_an_error() {
    let too_long = u32::try_from(MAX_FRAME_LENGTH + 1).expect("a frame's length has four bytes");
    let mut long = BytesMut::from(&too_long.to_be_bytes()[..]);
    assert!(matches!(decode(&mut long), Err(FrameError::TooLong { .. })));
    assert!(matches!(
        decode(&mut BytesMut::from(&[0, 0, 0, 0][..])),
        Err(FrameError::Empty)
    ));
    assert!(matches!(
        decode(&mut BytesMut::from(&[0, 0, 0, 2, 0xff, 0xff][..])),
        Err(FrameError::Malformed { .. })
    ));
    // The first bytes of an HTTP request, read as a length, are over the limit.
    assert!(decode(&mut BytesMut::from(&b"GET / HTTP/1.1\r\n"[..])).is_err());
}
