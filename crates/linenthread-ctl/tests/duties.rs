//! Merging and printing of control nodes' reports about duties.

use std::net::SocketAddr;

use linenthread_ctl::{
    ControlNodeStatus, DutiesStatus, DutyReport, MembersStatus, UnreachableNode,
    control_node_addresses,
};
use serde_json::{Value, json};
use yare::parameterized;

/// Returns a report as a control node sends it.
fn report(node: &str, fence: Option<u64>) -> Value {
    json!({
        "duty": "accounting",
        "node": node,
        "held_here": fence.is_some(),
        "fence": fence,
        "held_ms": fence.map(|_| 90_000),
        "refused": false,
        "last_fence_used": fence,
        "decided_window": 812,
        "delivered_window": 811,
        "undelivered": 1,
        "dropped_requests": 0,
        "value": 5,
    })
}

fn status(reports: &[Value], unreachable: Vec<UnreachableNode>) -> DutiesStatus {
    let reports: Vec<DutyReport> = reports
        .iter()
        .map(|report| serde_json::from_value(report.clone()).unwrap())
        .collect();
    DutiesStatus::new(&reports, unreachable)
}

fn unreachable() -> UnreachableNode {
    UnreachableNode {
        address: "10.2.0.4:8729".to_owned(),
        name: Some("c2".to_owned()),
        reason: "status 503: stopping".to_owned(),
    }
}

#[parameterized(
    held = {
        &[report("c1", None), report("c2", Some(7))],
        "held_by=c2 fence=7 held_ms=90000 refused=false"
    },
    not_held = { &[report("c1", None), report("c2", None)], "held_by=none" },
    moved_between_requests = {
        &[report("c1", Some(9)), report("c2", Some(7))],
        "held_by=c1 fence=9 held_ms=90000 refused=false"
    },
)]
fn each_duty_is_printed_with_its_holder(reports: &[Value], expected: &str) {
    let windows = "decided_window=812 delivered_window=811 undelivered=1";
    let expected = format!("duty=accounting {expected} {windows}");
    assert_eq!(status(reports, Vec::new()).to_string(), expected);
}

// Guards against printing that nobody holds a duty when an unreachable node may hold it.
#[test]
fn the_holder_is_unknown_if_a_node_is_unreachable() {
    assert_eq!(
        status(&[report("c1", None)], vec![unreachable()]).to_string(),
        "duty=accounting held_by=unknown decided_window=812 delivered_window=811 undelivered=1\n\
         unreachable name=c2 address=10.2.0.4:8729 reason=\"status 503: stopping\""
    );
}

#[test]
fn the_newest_known_windows_are_printed() {
    let mut behind = report("c1", None);
    behind["decided_window"] = json!(700);
    behind["delivered_window"] = Value::Null;
    behind["undelivered"] = json!(0);
    let mut unaware_of_deliveries = report("c2", None);
    unaware_of_deliveries["delivered_window"] = Value::Null;
    unaware_of_deliveries["undelivered"] = json!(32);
    let reports = [behind, unaware_of_deliveries, report("c3", Some(7))];
    let expected = "duty=accounting held_by=c3 fence=7 held_ms=90000 refused=false \
        decided_window=812 delivered_window=811 undelivered=1";
    assert_eq!(status(&reports, Vec::new()).to_string(), expected);
}

#[test]
fn windows_are_printed_as_none_before_the_first_report() {
    let mut first = report("c1", Some(1));
    first["decided_window"] = Value::Null;
    first["delivered_window"] = Value::Null;
    first["undelivered"] = json!(0);
    let text = status(&[first], Vec::new()).to_string();
    let expected = "decided_window=none delivered_window=none undelivered=0";
    assert!(text.ends_with(expected), "{text}");
}

#[test]
fn json_output_uses_the_same_terms_as_text_output() {
    let json = serde_json::to_value(status(&[report("c1", Some(7))], vec![unreachable()])).unwrap();
    let expected = json!({
        "duties": [{
            "duty": "accounting",
            "holder": {"node": "c1", "fence": 7, "held_ms": 90_000, "refused": false},
            "decided_window": 812,
            "delivered_window": 811,
            "undelivered": 1,
        }],
        "unreachable": [
            {"address": "10.2.0.4:8729", "name": "c2", "reason": "status 503: stopping"},
        ],
    });
    assert_eq!(json, expected);
}

#[test]
fn a_report_without_a_key_is_rejected() {
    let keys = [
        "duty",
        "node",
        "fence",
        "held_ms",
        "refused",
        "decided_window",
        "delivered_window",
        "undelivered",
    ];
    for key in keys {
        let mut report = report("c1", Some(7));
        report.as_object_mut().unwrap().remove(key);
        let decoded = serde_json::from_value::<DutyReport>(report);
        assert!(decoded.is_err(), "{key}");
    }
}

#[test]
fn each_control_node_address_is_listed_once() {
    let given: [SocketAddr; 2] = [
        "10.1.0.3:8729".parse().unwrap(),
        "10.9.0.9:8729".parse().unwrap(),
    ];
    let members = MembersStatus {
        voters: vec!["10.1.0.3:8729".into(), "10.3.0.5:8729".into()],
        control_nodes: vec![ControlNodeStatus {
            address: "10.2.0.4:8729".into(),
            ..ControlNodeStatus::default()
        }],
        ..MembersStatus::default()
    };
    let expected = [
        "10.1.0.3:8729",
        "10.9.0.9:8729",
        "10.2.0.4:8729",
        "10.3.0.5:8729",
    ];
    assert_eq!(control_node_addresses(&given, &members), expected);
}
