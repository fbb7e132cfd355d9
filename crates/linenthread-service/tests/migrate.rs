//! `linenthread migrate`: its files, messages and exit codes, and queries to a program that uses the written file.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

use linenthread_fakes::{
    FakeReplicas, IndexSettings, Service, ServiceDiscovery, config_with_indexes, member, membership,
};
use serde_json::{Value, json};
use tempfile::TempDir;

const EXE: &str = env!("CARGO_BIN_EXE_linenthread");
const FIND: IndexSettings = IndexSettings {
    name: "find",
    non_idempotent: false,
    soft_deadline: Duration::from_secs(15),
    floor: 1.0,
};

/// The exit code and the output of a run of `linenthread migrate`.
struct Migration {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

/// Runs the command in a directory.
fn migrate(directory: &Path, arguments: &[&str]) -> Migration {
    let Output {
        status,
        stdout,
        stderr,
    } = Command::new(EXE)
        .arg("migrate")
        .args(arguments)
        .current_dir(directory)
        .output()
        .unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    Migration {
        code: status.code(),
        stdout: text(stdout),
        stderr: text(stderr),
    }
}

/// Returns a configuration with a ring of four replica groups, each with one replica, and six shards, each in two
/// consecutive groups.
fn old_configuration(replicas: &FakeReplicas) -> Value {
    let addresses = replicas.addresses.iter().enumerate();
    let members = addresses.map(|(replica, address)| member(replica, *address, "active"));
    let known = membership(1, true, members.collect());
    let mut config = config_with_indexes("127.0.0.1:9".parse().unwrap(), &known, &[FIND], 4, 6);
    let members = config["known"]["members"].as_array_mut().unwrap();
    for (group, member) in members.iter_mut().enumerate() {
        member["cell"] = json!(group);
    }
    config["settings"]["an-unknown-one"] = json!({"kept": [1, 2]});
    config
}

/// A directory with an old configuration as "old.json", and its running replicas.
struct OldInstallation {
    replicas: FakeReplicas,
    directory: TempDir,
    text: String,
}

impl OldInstallation {
    fn start() -> OldInstallation {
        let replicas = FakeReplicas::start(4);
        let directory = tempfile::tempdir().unwrap();
        let text = old_configuration(&replicas).to_string();
        fs::write(directory.path().join("old.json"), &text).unwrap();
        OldInstallation {
            replicas,
            directory,
            text,
        }
    }

    fn file(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    fn migrate(&self, arguments: &[&str]) -> Migration {
        migrate(self.directory.path(), arguments)
    }

    /// Migrates "old.json" to "new.json" and returns the contents of "new.json".
    fn migrate_to_new(&self) -> Value {
        let migration = self.migrate(&["--output", "new.json", "old.json"]);
        assert_eq!(migration.code, Some(3));
        let text = fs::read_to_string(self.file("new.json")).unwrap();
        serde_json::from_str(&text).unwrap()
    }
}

/// Returns the lines that list the shards to move and the omitted settings.
fn listed_lines(output: &str) -> Vec<&str> {
    let is_listed = |line: &&str| line.starts_with("to move") || line.starts_with("left out");
    output.lines().filter(is_listed).collect()
}

#[test]
fn a_dry_run_prints_the_same_lists_and_writes_nothing() {
    let old = OldInstallation::start();
    let dry_run = old.migrate(&["--dry-run", "old.json"]);
    assert_eq!(
        (
            dry_run.code,
            old.file("new.json").exists(),
            fs::read_dir(&old.directory).unwrap().count()
        ),
        (Some(3), false, 1),
        "{}",
        dry_run.stdout
    );
    let migration = old.migrate(&["--output", "new.json", "old.json"]);
    assert_eq!(
        listed_lines(&migration.stdout),
        listed_lines(&dry_run.stdout)
    );
}

#[test]
fn migrating_an_old_configuration_lists_the_shards_to_move_and_the_omitted_settings() {
    let old = OldInstallation::start();
    let migration = old.migrate(&["--output", "new.json", "old.json"]);
    let old_text = fs::read_to_string(old.file("old.json")).unwrap();
    assert_eq!((migration.code, old_text), (Some(3), old.text.clone()));
    let output = &migration.stdout;
    assert_eq!(listed_lines(output).len(), 5, "{output}");
    assert!(
        output.contains("left out: settings: telemetry.names: \"queue\""),
        "{output}"
    );
    // The replica of group 1 held shards 0, 1, 4 and 5; its set 0 holds 0, 2 and 4.
    assert!(
        output.contains(": set 0; loads [2], may then drop [1 5]"),
        "{output}"
    );
    let text = fs::read_to_string(old.file("new.json")).unwrap();
    let new: Value = serde_json::from_str(&text).unwrap();
    let members = new["known"]["members"].as_array().unwrap();
    let sets: Vec<_> = members.iter().map(|member| &member["cell"]).collect();
    assert_eq!(
        (json!(sets), &new["settings"]["family-info"]["cells"]),
        (json!([0, 0, 1, 1]), &json!(2))
    );
    assert_eq!(
        new["settings"]["an-unknown-one"],
        json!({"kept": [1, 2]}),
        "unknown settings are kept"
    );
}

#[test]
fn a_new_configuration_passes_the_check_and_is_not_migrated_again() {
    let old = OldInstallation::start();
    old.migrate_to_new();
    let mut check = Command::new(EXE);
    check.arg("check").arg(old.file("new.json"));
    assert!(check.status().unwrap().success());
    let again = old.migrate(&["--output", "newer.json", "new.json"]);
    assert_eq!(
        (again.code, old.file("newer.json").exists()),
        (Some(0), false)
    );
    let output = &again.stdout;
    assert!(output.contains("already of the new shape"), "{output}");
}

#[test]
fn an_existing_file_is_never_overwritten() {
    let old = OldInstallation::start();
    old.migrate_to_new();
    for existing in ["new.json", "old.json"] {
        let before = fs::read(old.file(existing)).unwrap();
        let migration = old.migrate(&["--output", existing, "old.json"]);
        let message = &migration.stderr;
        assert_eq!(
            (migration.code, message.lines().count()),
            (Some(2), 1),
            "{message}"
        );
        assert_eq!(fs::read(old.file(existing)).unwrap(), before);
    }
}

#[test]
fn with_a_migrated_configuration_each_shard_is_queried_only_in_its_set() {
    let old = OldInstallation::start();
    let mut new = old.migrate_to_new();
    let discovery = ServiceDiscovery::start(new["known"].to_string());
    new["discovery"] = discovery.address.to_string().into();
    let service = Service::start(EXE, &new);
    let mut client = service.query("find", "m1", &[0, 1]);
    for _ in 0..2 {
        let sub_request = old.replicas.next_sub_request();
        assert_eq!(sub_request.replica / 2, sub_request.shard % 2);
        sub_request.respond("v");
    }
    assert_eq!(client.read_status(), 200);
}

#[test]
fn an_unusable_configuration_is_reported_in_one_line_with_exit_code_2() {
    let old = OldInstallation::start();
    let good: Value = serde_json::from_str(&old.text).unwrap();
    let with = |pointer: &str, value: Value| {
        let mut config = good.clone();
        *config.pointer_mut(pointer).unwrap() = value;
        config.to_string()
    };
    let bad = [
        ("parse", "{".to_owned()),
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
        fs::write(old.file("bad.json"), text).unwrap();
        let migration = old.migrate(&["--output", "new.json", "bad.json"]);
        let message = &migration.stderr;
        assert_eq!(
            (migration.code, message.lines().count()),
            (Some(2), 1),
            "{field}: {message}"
        );
        assert!(
            message.contains(field) && message.contains("bad.json"),
            "{field}: {message}"
        );
    }
    for arguments in [
        vec!["--output", "new.json", "none.json"],
        vec!["bad.json"],
        vec!["--output", "no/new.json", "old.json"],
    ] {
        let migration = old.migrate(&arguments);
        let message = &migration.stderr;
        assert_eq!(
            (migration.code, message.lines().count()),
            (Some(2), 1),
            "{arguments:?}: {message}"
        );
    }
    assert!(!old.file("new.json").exists());
}
