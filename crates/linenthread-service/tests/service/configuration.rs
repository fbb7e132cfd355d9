//! Service discovery and the configuration file, at startup and while the program runs.

use std::net::TcpListener;
use std::process::Command;

use linenthread_fakes::{
    FakeReplicas, Service, ServiceDiscovery, config, member, membership, program,
};
use serde_json::Value;

use crate::EXE;
use crate::cluster::Cluster;

#[test]
fn a_drain_in_service_discovery_is_applied_and_invalid_updates_are_ignored() {
    let cluster = Cluster::start(2);
    cluster.discovery.answer_watch(&membership(
        2,
        false,
        vec![member(0, cluster.replicas.addresses[0], "leaving")],
    ));
    cluster.service.wait_for_log("revision=2");
    cluster.discovery.answer_watch("no list at all");
    cluster.service.wait_for_log("service discovery failed");
    cluster
        .discovery
        .answer_watch(&membership(3, false, vec![]));
    cluster.service.wait_for_log("revision=3");
    for id in 0..4 {
        let mut client = cluster.query("find", &format!("f{id}"), &[0, 1, 2, 3]);
        for _ in 0..4 {
            let sub_request = cluster.sub_request();
            assert_eq!(sub_request.replica, 1, "the draining replica gets none");
            sub_request.respond("v");
        }
        assert_eq!(client.read_status(), 200);
    }
}

#[test]
fn without_service_discovery_the_cached_membership_is_used() {
    let replicas = FakeReplicas::start(1);
    let known = membership(1, true, vec![member(0, replicas.addresses[0], "active")]);
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let service = Service::start(EXE, &config(silent.local_addr().unwrap(), &known));
    service.wait_for_log("service discovery failed");
    let mut client = service.query("find", "j1", &[0]);
    replicas.next_sub_request().respond("v");
    assert_eq!(client.read_status(), 200);
}

#[test]
fn a_reloaded_configuration_changes_the_discovery_address_only() {
    let replicas = FakeReplicas::start(2);
    let known = |revision, phase| {
        membership(
            revision,
            true,
            vec![
                member(0, replicas.addresses[0], phase),
                member(1, replicas.addresses[1], "active"),
            ],
        )
    };
    // The new service discovery starts with a lower revision.
    let (old, new) = (
        ServiceDiscovery::start(known(9, "active")),
        ServiceDiscovery::start(known(2, "leaving")),
    );
    let good = config(old.address, &known(9, "active"));
    let mut service = Service::start(EXE, &good);
    let mut waiting = service.query("order", "n1", &[0]);
    let sub_request = replicas.next_sub_request();
    service.wait_for_log("revision=9");
    for bad in ["{", &good.to_string().replace("limits", "limit")] {
        service.reload(bad);
        service.wait_for_log("WARN configuration rejected");
    }
    let mut moved = good.clone();
    moved["discovery"] = new.address.to_string().into();
    moved["limits"]["sockets"] = 512.into();
    service.reload(&moved.to_string());
    assert!(
        service
            .wait_for_log("configuration reloaded")
            .contains(r#"at_next_start="limits.sockets""#)
    );
    service.wait_for_log("revision=2");
    assert!(
        old.wait_until_watch_closed(),
        "the watch at the old address is closed"
    );
    for id in 0..4 {
        let mut client = service.query("find", &format!("n2{id}"), &[0, 1]);
        for _ in 0..2 {
            let sub_request = replicas.next_sub_request();
            assert_eq!(sub_request.replica, 1, "the new address's list is used");
            sub_request.respond("v");
        }
        assert_eq!(client.read_status(), 200);
    }
    sub_request.respond("v");
    assert_eq!(waiting.read_status(), 200);
    service.signal("-TERM");
    service.wait_for_log("shutting down");
    service.signal("-HUP");
    service.wait_for_log("shutdown complete");
    assert_eq!(service.child.wait().unwrap().code(), Some(0));
}

#[test]
fn an_invalid_configuration_is_reported_in_one_line() {
    let good = config("127.0.0.1:1".parse().unwrap(), &membership(1, true, vec![]));
    let with = |pointer: &str, value: Value| {
        let mut config = good.clone();
        *config.pointer_mut(pointer).unwrap() = value;
        config.to_string()
    };
    let bad = [
        ("listen", with("/listen", "here".into())),
        ("discovery", with("/discovery", Value::Null)),
        ("limits.sockets", with("/limits/sockets", 3.into())),
        ("seed", with("/seed", "xyz".into())),
        ("known", with("/known/revision", Value::Null)),
        (
            "allowed.max-attempts",
            with("/settings/allowed/max-attempts", "many".into()),
        ),
        (
            "fetch-parts",
            with("/settings/family-info/fetch-parts/0", 3.into()),
        ),
        ("parse", "{".into()),
    ];
    for (field, text) in bad {
        for command in ["check", "serve"] {
            let output = program(EXE, &[command], &text);
            let message = String::from_utf8(output.stderr).unwrap();
            assert_eq!(
                output.status.code(),
                Some(2),
                "{command} {field}: {message}"
            );
            assert!(
                message.contains(field) && message.lines().count() == 1,
                "{command} {field}: {message}"
            );
        }
    }
    let output = program(EXE, &["check"], &good.to_string());
    assert!(output.status.success());
}

#[test]
fn a_missing_configuration_is_reported_with_the_name_of_its_environment_variable() {
    let output = Command::new(EXE)
        .arg("serve")
        .env_remove("EDGE_CONFIG")
        .output();
    let output = output.unwrap();
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(message.contains("EDGE_CONFIG"));
}
