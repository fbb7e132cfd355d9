//! Runs the scenario files in this folder. A scenario is a list of statements, one per line or separated by `;`. Times
//! are in milliseconds.
//!
//! - `with soft 500 late 0.3 min 0.8 fetch 2 runs at-most-once ...` configures the co-ordinator and the last added
//!   search index; `index` adds one;
//! - `snapshot a:0 b:1/draining` and `cached a:0` are complete lists of replicas and their groups; `delta a:0 draining`
//!   and `delta a:0 ready 500 0.1` are changes (the latter with a start time and a share of the slow-start budget);
//!   `delta c=a:0 ready` lists c under the former index of a; `unavailable` is a failure of service discovery;
//! - `query L key 7 hard 4000 shards 0 1` starts a query, `sub-requests L 0 1` adds a fetch phase, and `abandoned L`
//!   means that the client has left;
//! - `shutdown 900` means that the process shuts down and that all queries must have ended by that time;
//! - `routes 0/1000 1/500 1/0` is a routing table: for each zone (of a, b, c) its distance and the number of keys per
//!   thousand for which the route is open; `routes` alone removes the table;
//! - `continue L.0` repeats a sub-request that has succeeded;
//! - `L.0 error` ends the oldest attempt in flight of a sub-request, `L.0#1 success` a specific one;
//! - `serve 100 a b` ends all attempts at these replicas with success after 100 ms, `serve error a` fails them, and
//!   `serve never a` makes the replica hang; `probed a success 3` ends a probe, with the number of queued sub-requests
//!   that the replica reports;
//! - `at 300` runs steps until that time; `stream 50 300 shards 0` also starts a query every 50 ms;
//! - `expect send L.0 $x` removes a matching decision from the log; `never`, `at-most 3` and `at-least 3` check the
//!   number of matching decisions; `*` matches any word, and `$x` the word that it matched first; `forget` clears the
//!   log.

mod decision_log;
mod runner;
mod setup;
mod values;

use std::fs;
use std::path::{Path, PathBuf};

use crate::runner::Runner;

/// The minimum number of scenarios, so that a missing one is noticed.
const MIN_SCENARIOS: usize = 59;

/// Runs a scenario; an error includes the failing statement.
fn run(name: &str, text: &str) -> Result<(), String> {
    let mut runner = Runner::new();
    for (number, line) in text.lines().enumerate() {
        // A comment starts with "# ", which distinguishes it from the `#` before an attempt's number.
        let statements = line.split("# ").next().unwrap_or("");
        for statement in statements.split(';') {
            let words: Vec<&str> = statement.split_whitespace().collect();
            if !words.is_empty() {
                runner
                    .run_statement(&words)
                    .map_err(|error| format!("{name}:{}: {statement}: {error}", number + 1))?;
            }
        }
    }
    Ok(())
}

/// Returns the scenarios in this folder, sorted by name. Any file that is neither a scenario nor a module is an error,
/// so that a scenario with a misspelt extension is not skipped.
fn scenario_files() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        match path.extension().and_then(|extension| extension.to_str()) {
            Some("txt") => files.push(path),
            Some("rs") => {}
            _ => panic!("{} is neither a scenario nor a module", path.display()),
        }
    }
    files.sort();
    files
}

#[test]
fn all_scenarios_pass() {
    let files = scenario_files();
    assert!(files.len() >= MIN_SCENARIOS, "{} scenarios", files.len());
    let failures: Vec<String> = files
        .iter()
        .filter_map(|file| {
            let name = file.file_name().unwrap().to_string_lossy();
            run(&name, &fs::read_to_string(file).unwrap()).err()
        })
        .collect();
    assert!(failures.is_empty(), "\n{}", failures.join("\n"));
}
