//! Queries of merged indexes to the program on loopback sockets. Responses are checked against the full data of the
//! stub replicas.

mod cluster;
mod demo;
mod faults;
mod installation_file;
mod pages;

use std::time::Duration;

use linenthread_fakes::checker::{self, PagedRead, ShardWeight};
use linenthread_fakes::row_store::{INSTALLATION, RowStore};
use linenthread_fakes::{Behavior, MergedResponse, ScriptedBehavior, SubRequest};
use oorandom::Rand64;
use serde_json::{Value, json};

use cluster::Cluster;

const EXE: &str = env!("CARGO_BIN_EXE_linenthread");
const SHARDS: usize = 6;
/// The soft deadline of queries whose responses may lack shards.
const SOFT_DEADLINE: Duration = Duration::from_millis(400);
/// A soft deadline that is not reached even if the machine stalls.
const LONG_SOFT_DEADLINE: Duration = Duration::from_secs(15);
/// The minimum share of the weight that a response needs, at indexes whose responses may lack shards.
const FLOOR: f64 = 0.5;

/// Returns the equal weights that the queries give to the shards.
fn weights(shards: &[usize]) -> Vec<ShardWeight> {
    let weight = 1.0 / shards.len() as f64;
    shards
        .iter()
        .map(|&shard| ShardWeight { shard, weight })
        .collect()
}

fn respond_at_once(_: &SubRequest) -> ScriptedBehavior {
    ScriptedBehavior::immediate(Behavior::Respond)
}

#[test]
fn an_invalid_shard_response_is_listed_as_unreadable_and_affects_no_other_shard() {
    let unreadable = |sub_request: &SubRequest| {
        let behavior = if sub_request.shard == 2 {
            Behavior::UnreadableValue
        } else {
            Behavior::Respond
        };
        ScriptedBehavior::immediate(behavior)
    };
    let rows = RowStore::new(&mut Rand64::new(11), SHARDS, 9);
    let cluster = Cluster::start(rows, 50, unreadable);
    let shards = [0, 1, 2, 3];
    let MergedResponse {
        status,
        body: answer,
    } = cluster.query("pledges", "u1", &shards, "pledges", &Value::Null);
    assert_eq!(status, 200, "{answer}");
    assert_eq!(answer["slices"]["missing"], json!({"unreadable": [2]}));
    let rows = cluster.rows();
    checker::check_totals(&rows, &weights(&shards), FLOOR, &answer).unwrap();
    cluster
        .service
        .wait_for_log("value of a sub-request cannot be merged");
    // Below the minimum share, the query fails.
    let status = cluster
        .query("pledges", "u2", &[2], "pledges", &Value::Null)
        .status;
    assert_eq!(status, 503);
}

#[test]
fn a_non_idempotent_index_gets_no_follow_up_requests() {
    let received = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let recorded = received.clone();
    let record = move |sub_request: &SubRequest| {
        recorded.lock().unwrap().push(sub_request.id.clone());
        ScriptedBehavior::immediate(Behavior::Respond)
    };
    let rows = twelve_rows_on_two_shards();
    let installation = INSTALLATION.replace("index=\"history\"", "index=\"order\"");
    let cluster = Cluster::start_with(LONG_SOFT_DEADLINE, rows.clone(), 2, &installation, record);
    let weights = weights(&[0, 1]);
    let MergedResponse {
        status,
        body: answer,
    } = cluster.query("order", "o1", &[0, 1], "all", &json!({"rows": 5}));
    assert_eq!(status, 200, "{answer}");
    // The page ends where a shard's next row is unknown, and its field "cut" names the shards.
    assert!(
        !answer["cut"]["behind"].as_array().unwrap().is_empty(),
        "{answer}"
    );
    PagedRead::new(&weights)
        .check_page(&rows, &weights, 1.0, 5, &answer)
        .unwrap();
    assert_eq!(received.lock().unwrap().len(), 2);
}

/// Follow-up requests have ids of their own. The soft deadline is long, as responses that take half of it would leave
/// no time for follow-up requests, and the page would be cut.
#[test]
fn an_idempotent_index_gets_follow_up_requests_until_the_page_is_full() {
    let rows = twelve_rows_on_two_shards();
    let cluster = Cluster::start_with(
        LONG_SOFT_DEADLINE,
        rows.clone(),
        2,
        INSTALLATION,
        respond_at_once,
    );
    let weights = weights(&[0, 1]);
    let answer = cluster
        .query("history", "h1", &[0, 1], "all", &json!({"rows": 5}))
        .body;
    assert_eq!(
        (answer["rows"].as_array().unwrap().len(), &answer["cut"]),
        (5, &Value::Null),
        "{answer}"
    );
    PagedRead::new(&weights)
        .check_page(&rows, &weights, FLOOR, 5, &answer)
        .unwrap();
}

fn twelve_rows_on_two_shards() -> RowStore {
    let mut rows = RowStore::new(&mut Rand64::new(13), SHARDS, 0);
    let mut rng = Rand64::new(1);
    (0..12).for_each(|n| drop(rows.add_random_row(&mut rng, n % 2)));
    rows
}
