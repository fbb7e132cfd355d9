//! Reports of control nodes: decoded from the keys of the control API, printed in the client's terms.

use linenthread_ctl::{MembersStatus, ReplicaStatus, Summary};

const MEMBERS: &str = r#"{"name":"c1","zone":"a","whole":true,"leaving":false,"duty_epoch":7,"value":3,"revision":9,
    "counted":["10.1.0.3:8729","10.2.0.4:8729","10.3.0.5:8729"],
    "hubs":[{"name":"c2","zone":"b","control":"10.2.0.4:8729","whole":true,"value":3,"leaving":false,"heard_ms":40}],
    "fronts":[{"name":"f1","zone":"b","revision":9}]}"#;
const REPLICAS: &str = r#"[
    {"ident":"r1","backend":"s1","address":"10.1.0.9:80","zone":"a","phase":"available","heard_ms":12},
    {"ident":"r2","backend":"s1","address":"10.1.0.10:80","zone":"a","phase":"silent","heard_ms":9000},
    {"ident":"r3","backend":"s2","address":"10.1.0.11:80","zone":"b","phase":"some new one","heard_ms":1}]"#;

fn members() -> MembersStatus {
    serde_json::from_str(MEMBERS).unwrap()
}

fn replicas() -> Vec<ReplicaStatus> {
    serde_json::from_str(REPLICAS).unwrap()
}

#[test]
fn a_summary_counts_nodes_and_replicas() {
    assert_eq!(
        Summary::new(&members(), &replicas()).to_string(),
        "control_nodes=2 voters=3 ingress_nodes=1 quorum=true revision=9 available=1 draining=0 timed_out=1"
    );
}

#[test]
fn each_member_is_printed_as_a_line() {
    assert_eq!(
        members().to_string(),
        "reported_by=c1 zone=a\n\
         control_node name=c2 zone=b address=10.2.0.4:8729 quorum=true value=3 leaving=false last_message_ms=40\n\
         ingress_node name=f1 zone=b revision=9"
    );
}

#[test]
fn each_replica_is_printed_as_a_line() {
    let lines: Vec<String> = replicas().iter().map(ToString::to_string).collect();
    assert_eq!(
        lines[1],
        "id=r2 backend=s1 address=10.1.0.10:80 zone=a phase=timed_out last_heartbeat_ms=9000"
    );
    assert!(lines[2].contains("phase=unknown"));
}

#[test]
fn json_output_uses_the_same_terms_as_text_output() {
    let json = serde_json::to_value(members()).unwrap();
    assert_eq!(json["quorum"], true);
    assert_eq!(json["lease_epoch"], 7);
    assert_eq!(
        (&json["value"], &json["leaving"]),
        (&3.into(), &false.into())
    );
    assert_eq!(json["control_nodes"][0]["last_message_ms"], 40);
    assert_eq!(json["voters"].as_array().unwrap().len(), 3);
}

#[test]
fn a_report_without_a_key_is_rejected() {
    for key in ["whole", "counted", "hubs", "fronts", "revision"] {
        let mut report: serde_json::Value = serde_json::from_str(MEMBERS).unwrap();
        report.as_object_mut().unwrap().remove(key);
        assert!(
            serde_json::from_value::<MembersStatus>(report).is_err(),
            "{key}"
        );
    }
    for key in ["ident", "phase", "heard_ms"] {
        let mut report: serde_json::Value = serde_json::from_str(REPLICAS).unwrap();
        report[0].as_object_mut().unwrap().remove(key);
        assert!(
            serde_json::from_value::<Vec<ReplicaStatus>>(report).is_err(),
            "{key}"
        );
    }
}
