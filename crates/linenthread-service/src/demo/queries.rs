//! Queries of the demo's program: as commands to be typed, or asked here and shown.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use linenthread_fakes::{Client, MergedResponse};
use serde_json::{Value, json};

use super::{LATE_SHARD, REPLICA_GROUPS, SHARDS};

/// The status of a query that succeeded.
const OK: u16 = 200;
/// How often it is tried to reach a replica.
const MAX_REACH_ATTEMPTS: usize = 100;
/// The pause between two of these attempts.
const REACH_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A query that is asked and shown.
struct ShownQuery {
    title: &'static str,
    index: &'static str,
}

/// The queries of the printed commands.
const SHOWN_QUERIES: [ShownQuery; 4] = [
    ShownQuery {
        title: "page one of all donations, latest first",
        index: "history",
    },
    ShownQuery {
        title: "page two",
        index: "history",
    },
    ShownQuery {
        title: "the total of all pledges, without shard 5, whose response is too late",
        index: "pledges",
    },
    ShownQuery {
        title: "the three charities with the most, and the rest",
        index: "charities",
    },
];

/// All shards with equal weights, as a request names them.
fn buckets() -> Value {
    let part = |shard| json!({"bucket": shard, "part": 1.0 / SHARDS as f64});
    (0..SHARDS).map(part).collect::<Vec<_>>().into()
}

/// The commands to query the program by hand.
pub(super) fn commands(address: SocketAddr) -> String {
    let curl = |index: &str, page: &str| {
        format!(
            "curl -s http://{address}/{index} -H \"X-Trace-Id: try-$RANDOM$RANDOM\" -H 'X-Customer: acme' \
             -H 'X-Expires-In-Ms: 5000' \\\n    -d '{{\"buckets\":{},\"body\":\"{index}\"{page}}}'",
            buckets()
        )
    };
    let mark = "MARK=$(printf %s \"$PAGE\" | sed 's/.*\"next\":\"\\([^\"]*\\)\".*/\\1/')";
    format!(
        "The co-ordinator listens on {address}, with {REPLICA_GROUPS} replicas of {SHARDS} shards behind it. Query it:\n\n\
         # Page one of all donations, latest first, and page two.\n\
         PAGE=$({})\nprintf '%s\\n' \"$PAGE\"\n{mark}\n{}\n\n\
         # The total of all pledges. The response of shard {LATE_SHARD} is too late: the total says that it is missing.\n{}\n\n\
         # The three charities with the most, and the rest as one.\n{}\n\nCtrl-C stops it.",
        curl("history", ",\"page\":{\"rows\":5}"),
        curl("history", ",\"page\":{\"rows\":5,\"after\":\"'$MARK'\"}"),
        curl("pledges", ""),
        curl("charities", ""),
    )
}

/// Asks what the printed commands ask, and prints the answers; returns whether all were answered.
pub(super) fn show(address: SocketAddr) -> bool {
    let shards: Vec<usize> = (0..SHARDS).collect();
    let mut cursor = Value::Null;
    let mut all_answered = true;
    for (number, query) in SHOWN_QUERIES.iter().enumerate() {
        let index = query.index;
        let page = if index == "history" {
            json!({"rows": 5, "after": cursor})
        } else {
            Value::Null
        };
        let id = format!("try-{number}");
        let MergedResponse { status, body } =
            Client::connect(address).query_merged(index, &id, &shards, index, &page);
        cursor = body["next"].clone();
        all_answered &= status == OK;
        println!("# {}\n{status} {body:#}\n", query.title);
    }
    all_answered
}

/// Waits until there are replicas to query, as a link takes a moment to come up; returns whether there are.
pub(super) fn wait_until_reachable(address: SocketAddr) -> bool {
    for number in 0..MAX_REACH_ATTEMPTS {
        let id = format!("try-first-{number}");
        let response = Client::connect(address).query_merged(
            "charities",
            &id,
            &[0],
            "charities",
            &Value::Null,
        );
        if response.status == OK {
            return true;
        }
        thread::sleep(REACH_RETRY_INTERVAL);
    }
    false
}
