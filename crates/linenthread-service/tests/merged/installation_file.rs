//! The installation file: validated at startup and reloaded while the program runs.

use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

use linenthread_fakes::row_store::{INSTALLATION, RowStore};
use oorandom::Rand64;
use serde_json::Value;

use crate::cluster::Cluster;
use crate::{EXE, SHARDS, respond_at_once};

fn start() -> Cluster {
    let rows = RowStore::new(&mut Rand64::new(5), SHARDS, 9);
    Cluster::start(rows, 50, respond_at_once)
}

/// Returns the response to a query of an index that is merged in the initial installation file.
fn query_pledges(cluster: &Cluster) -> Value {
    static QUERIES: AtomicUsize = AtomicUsize::new(0);
    let id = format!("f{}", QUERIES.fetch_add(1, Ordering::Relaxed));
    cluster
        .query("pledges", &id, &[0, 1], "pledges", &Value::Null)
        .body
}

#[test]
fn a_reloaded_file_applies_to_the_next_query_if_it_is_valid() {
    let cluster = start();
    let service = &cluster.service;
    assert!(query_pledges(&cluster)["totals"].is_object());
    // An invalid file is rejected, and the previous settings stay in use.
    let file = service.file("installation.xml");
    let invalid = INSTALLATION.replace("index=\"pledges\"", "index=\"gifts\"");
    std::fs::write(&file, invalid).unwrap();
    service.signal("-HUP");
    let line = service.wait_for_log("installation rejected");
    assert!(
        line.contains("installation.xml:9: the settings have no index gifts"),
        "{line}"
    );
    assert!(query_pledges(&cluster)["totals"].is_object());
    // A valid file applies from the next query on.
    std::fs::write(&file, "<installation version=\"1\"/>").unwrap();
    service.signal("-HUP");
    service.wait_for_log("installation reloaded");
    let answer = query_pledges(&cluster);
    assert!(answer["found"].is_array(), "the index is no longer merged");
}

#[test]
fn an_invalid_file_at_startup_is_reported_in_one_line_with_exit_code_2() {
    let cluster = start();
    let file = cluster.service.file("installation.xml");
    let invalid = "<installation version=\"1\">\n<merge/></installation>";
    std::fs::write(&file, invalid).unwrap();
    let config = cluster.service.file("config.json");
    let mut check = command("check", &file);
    check.arg(&config);
    let mut serve = command("serve", &file);
    serve.env("EDGE_CONFIG", &config);
    for mut program in [check, serve] {
        let output = program.output().unwrap();
        let message = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{message}");
        assert!(
            message.contains("installation.xml:2: <merge>") && message.lines().count() == 1,
            "{message}"
        );
    }
}

fn command(name: &str, installation: &Path) -> Command {
    let mut program = Command::new(EXE);
    program.args([name, "--installation"]).arg(installation);
    program
}
