//! Runs the scenarios beside this file. A scenario is a list of statements, one a line or separated by `;`. Times
//! are in milliseconds.
//!
//! - `with soft 500 late 0.3 min 0.8 fetch 2 runs at-most-once ...` configures the co-ordinator and the index that
//!   was added last; `index` adds one;
//! - `snapshot a:0 b:1/draining`, `cached a:0` are complete lists of replicas and their groups; `delta a:0 draining`,
//!   `delta a:0 ready 500 0.1` are changes (started then, with that share of its slow-start budget); `unavailable`;
//!   `delta c=a:0 ready` lists c under the index that a had;
//! - `query L key 7 hard 4000 shards 0 1`, `sub-requests L 0 1` (a fetch phase), `abandoned L`;
//! - `routes 0/1000 1/500 1/0` is a table of routes: by zone (a's, b's, c's), its distance and for how many keys of a
//!   thousand it is open; `routes` alone ends it;
//! - `continue L.0` requests once more a sub-request that has succeeded;
//! - `L.0 error` ends the oldest attempt in flight of a sub-request, `L.0#1 success` a certain one;
//! - `serve 100 a b` ends all attempts at these with success after 100 ms, `serve error a` fails them, `serve never a`
//!   hangs, `probed a success 3` ends a probe, with the number of sub-requests it reports as queued;
//! - `at 300` runs steps up to that time, `stream 50 300 shards 0` also starts a query every 50 ms;
//! - `expect send L.0 $x` takes a decision off the log; `never`, `at-most 3`, `at-least 3` count what matches; `*`
//!   stands for any word, `$x` for the word that it first matched; `forget` empties the log.

mod decision_log;
mod player;
mod setup;
mod values;

use std::fs;
use std::path::{Path, PathBuf};

use crate::player::Player;

/// How many scenarios there are at least: a lost one does not go unnoticed.
const MIN_SCENARIOS: usize = 58;

/// Runs a scenario; an error names the statement.
fn run(name: &str, text: &str) -> Result<(), String> {
    let mut player = Player::new();
    for (number, line) in text.lines().enumerate() {
        // A comment starts with "# ", so that the # of an attempt's number does not.
        let statements = line.split("# ").next().unwrap_or("");
        for statement in statements.split(';') {
            let words: Vec<&str> = statement.split_whitespace().collect();
            if !words.is_empty() {
                player
                    .run_statement(&words)
                    .map_err(|error| format!("{name}:{}: {statement}: {error}", number + 1))?;
            }
        }
    }
    Ok(())
}

/// The scenarios of this folder, sorted by name. A file that is neither a scenario nor a module is an error: a scenario
/// with a misspelt name must not be passed over.
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
