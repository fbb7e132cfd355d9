//! `linenthread migrate`: its files, messages and exit codes, and the program with the file that it wrote.

use std::fs;
use std::path::Path;
use std::process::{Command, Output};
use std::time::Duration;

use linenthread_fakes::{
    Class, FakeReplicas, Service, ServiceDiscovery, config_of, member, membership,
};
use serde_json::{Value, json};

const EXE: &str = env!("CARGO_BIN_EXE_linenthread");
const FIND: Class = Class {
    name: "find",
    non_idempotent: false,
    soft_deadline: Duration::from_secs(15),
    floor: 1.0,
};

fn migrate(folder: &Path, words: &[&str]) -> (Option<i32>, String, String) {
    let Output {
        status,
        stdout,
        stderr,
    } = Command::new(EXE)
        .arg("migrate")
        .args(words)
        .current_dir(folder)
        .output()
        .unwrap();
    let said = |bytes| String::from_utf8(bytes).unwrap();
    (status.code(), said(stdout), said(stderr))
}

/// A ring of four replica groups of one replica each; each of six shards is in two consecutive groups.
fn old(fleet: &FakeReplicas) -> Value {
    let entries = fleet
        .addresses
        .iter()
        .enumerate()
        .map(|(i, address)| member(i, *address, "active"));
    let known = membership(1, true, entries.collect());
    let mut config = config_of("127.0.0.1:9".parse().unwrap(), &known, &[FIND], 4, 6);
    for (i, member) in config["known"]["members"]
        .as_array_mut()
        .unwrap()
        .iter_mut()
        .enumerate()
    {
        member["cell"] = json!(i);
    }
    config["settings"]["an-unknown-one"] = json!({"kept": [1, 2]});
    config
}

#[test]
fn an_old_configuration_is_migrated_and_can_be_served() {
    let fleet = FakeReplicas::start(4);
    let folder = tempfile::tempdir().unwrap();
    let (from, to) = (
        folder.path().join("old.json"),
        folder.path().join("new.json"),
    );
    let text = old(&fleet).to_string();
    fs::write(&from, &text).unwrap();
    // A dry run prints the same and writes nothing.
    let (code, dry, _) = migrate(folder.path(), &["--dry-run", "old.json"]);
    assert_eq!(
        (code, to.exists(), fs::read_dir(&folder).unwrap().count()),
        (Some(3), false, 1),
        "{dry}"
    );
    let (code, said, _) = migrate(folder.path(), &["--output", "new.json", "old.json"]);
    assert_eq!((code, fs::read_to_string(&from).unwrap()), (Some(3), text));
    let lists = |said: &str| {
        let list = said
            .lines()
            .filter(|line| line.starts_with("to move") || line.starts_with("left out"));
        list.map(str::to_owned).collect::<Vec<_>>()
    };
    assert_eq!(lists(&said).len(), 5, "{said}");
    assert_eq!(lists(&said), lists(&dry));
    assert!(
        said.contains("left out: settings: telemetry.names: \"queue\""),
        "{said}"
    );
    // The replica of group 1 held shards 0, 1, 4 and 5; its set 0 holds 0, 2 and 4.
    assert!(
        said.contains(": set 0; loads [2], may then drop [1 5]"),
        "{said}"
    );
    let mut new: Value = serde_json::from_str(&fs::read_to_string(&to).unwrap()).unwrap();
    let cells: Vec<_> = new["known"]["members"]
        .as_array()
        .unwrap()
        .iter()
        .map(|m| m["cell"].clone())
        .collect();
    assert_eq!(
        (json!(cells), &new["settings"]["family-info"]["cells"]),
        (json!([0, 0, 1, 1]), &json!(2))
    );
    assert_eq!(
        new["settings"]["an-unknown-one"],
        json!({"kept": [1, 2]}),
        "what is not read is kept"
    );
    // It passes the check, has the new form, and is never overwritten.
    assert!(
        Command::new(EXE)
            .arg("check")
            .arg(&to)
            .status()
            .unwrap()
            .success()
    );
    let (code, said, _) = migrate(folder.path(), &["--output", "newer.json", "new.json"]);
    assert_eq!(
        (code, folder.path().join("newer.json").exists()),
        (Some(0), false)
    );
    assert!(said.contains("already of the new shape"), "{said}");
    for taken in ["new.json", "old.json"] {
        let before = fs::read(folder.path().join(taken)).unwrap();
        let (code, _, said) = migrate(folder.path(), &["--output", taken, "old.json"]);
        assert_eq!((code, said.lines().count()), (Some(2), 1), "{said}");
        assert_eq!(fs::read(folder.path().join(taken)).unwrap(), before);
    }
    // The program sends sub-requests to the replicas of the sets alone.
    let roster = ServiceDiscovery::start(new["known"].to_string());
    new["discovery"] = roster.address.to_string().into();
    let service = Service::start(EXE, &new);
    let mut client = service.query("find", "m1", &[0, 1]);
    for _ in 0..2 {
        let part = fleet.sub_request();
        assert_eq!(part.replica / 2, part.shard % 2);
        part.respond("v");
    }
    assert_eq!(client.status(), 200);
}

#[test]
fn an_unusable_configuration_is_one_line_and_exit_code_2() {
    let fleet = FakeReplicas::start(4);
    let folder = tempfile::tempdir().unwrap();
    let good = old(&fleet);
    let with = |pointer: &str, value: Value| {
        let mut config = good.clone();
        *config.pointer_mut(pointer).unwrap() = value;
        config.to_string()
    };
    let bad = [
        ("parse", "{".to_string()),
        ("seed", with("/seed", Value::Null)),
        (
            "family-info.cells",
            with("/settings/family-info/in-a-row", json!(3)),
        ),
        (
            "telemetry.source",
            with("/settings/telemetry/source", json!("guessed")),
        ),
        (
            "telemetry.names",
            with("/settings/telemetry/names", json!("queue")),
        ),
    ];
    for (field, text) in bad {
        fs::write(folder.path().join("bad.json"), text).unwrap();
        let (code, _, said) = migrate(folder.path(), &["--output", "new.json", "bad.json"]);
        assert_eq!(
            (code, said.lines().count()),
            (Some(2), 1),
            "{field}: {said}"
        );
        assert!(
            said.contains(field) && said.contains("bad.json"),
            "{field}: {said}"
        );
    }
    fs::write(folder.path().join("old.json"), good.to_string()).unwrap();
    for words in [
        vec!["--output", "new.json", "none.json"],
        vec!["bad.json"],
        vec!["--output", "no/new.json", "old.json"],
    ] {
        let (code, _, said) = migrate(folder.path(), &words);
        assert_eq!(
            (code, said.lines().count()),
            (Some(2), 1),
            "{words:?}: {said}"
        );
    }
    assert!(!folder.path().join("new.json").exists());
}
