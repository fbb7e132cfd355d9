//! Checks the encoding of what version 3 of the messages added: usage updates, the times in heartbeats, and the
//! reports in a value.
//!
//! As in `golden.rs`, the bytes must never be changed to make a test pass: other nodes send them and disks contain
//! them.

use bytes::{Bytes, BytesMut};
use linenthread_messages::{
    DecidedUsage, Heartbeat, IngressUsage, PeerMessage, TenantCount, UsageReport, UsageUpdate,
    VERSION, Value, WindowCounts, encode,
};
use prost::Message;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn frame(message: PeerMessage) -> String {
    let mut buffer = BytesMut::new();
    encode(message, &mut buffer);
    hex(&buffer)
}

#[test]
fn the_version_is_3() {
    assert_eq!(VERSION, 3);
}

#[test]
fn a_usage_update_has_the_bytes_of_version_3() {
    let update = UsageUpdate {
        ingress_nodes: vec![IngressUsage {
            name: "ingress-a".to_owned(),
            incarnation: 0xe1e2_e3e4_e5e6_e7e8,
            windows: vec![WindowCounts {
                window: 353_445_120,
                tenants: vec![TenantCount {
                    tenant: "milo40".to_owned(),
                    requests: 412,
                }],
            }],
        }],
    };
    assert_eq!(
        frame(PeerMessage::UsageUpdate(update)),
        "0000002ec2012b0a290a09696e67726573732d6111e8e7e6e5e4e3e2e11a130880cac4a801120b0a066d696c6f3430109c03"
    );
}

#[test]
fn the_times_in_a_heartbeat_have_the_bytes_of_version_3() {
    let heartbeat = Heartbeat {
        wall_time_ms: Some(1_767_225_600_001),
        agreed_time_ms: Some(1_767_225_600_002),
        ..Heartbeat::default()
    };
    assert_eq!(
        frame(PeerMessage::Heartbeat(heartbeat)),
        "00000010120e5081d0eab6b7335882d0eab6b733"
    );
}

#[test]
fn the_reports_in_a_value_have_the_bytes_of_version_3() {
    let value = Value {
        number: 7,
        usage: Some(Box::new(DecidedUsage {
            newest_window: 353_445_120,
            reports: vec![UsageReport {
                window: 353_445_120,
                body: Bytes::from_static(b"{}"),
            }],
        })),
        ..Value::default()
    };
    assert_eq!(
        hex(&value.encode_to_vec()),
        "08076a120880cac4a801120a0880cac4a80112027b7d"
    );
}
