//! The demo's queries: prints them as shell commands, or sends them and prints the responses.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use linenthread_fakes::{Client, MergedResponse};
use serde_json::{Value, json};

use super::{LATE_SHARD, REPLICA_GROUPS, SHARDS};

/// The status of a query that succeeded.
const OK: u16 = 200;
/// Maximum number of test queries that are sent until one succeeds.
const MAX_REACH_ATTEMPTS: usize = 100;
/// Pause between two test queries.
const REACH_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A query of the demo, with the title that is printed above its response.
struct DemoQuery {
    title: &'static str,
    index: &'static str,
}

/// The same queries as in the printed commands.
const DEMO_QUERIES: [DemoQuery; 4] = [
    DemoQuery {
        title: "page one of all donations, latest first",
        index: "history",
    },
    DemoQuery {
        title: "page two",
        index: "history",
    },
    DemoQuery {
        title: "the total of all pledges, without shard 5, whose response is too late",
        index: "pledges",
    },
    DemoQuery {
        title: "the three charities with the most, and the rest",
        index: "charities",
    },
];

/// Returns the "buckets" field of a request: all shards with equal weights.
fn buckets() -> Value {
    let part = |shard| json!({"bucket": shard, "part": 1.0 / SHARDS as f64});
    (0..SHARDS).map(part).collect::<Vec<_>>().into()
}

/// Returns the shell commands that query the program.
pub(super) fn commands(address: SocketAddr) -> String {
    let curl = |index: &str, page: &str| {
        format!(
            "curl -s http://{address}/{index} -H \"X-Trace-Id: try-$RANDOM$RANDOM\" -H 'X-Customer: acme' \
             -H 'X-Expires-In-Ms: 5000' \\\n    -d '{{\"buckets\":{},\"body\":\"{index}\"{page}}}'",
            buckets()
        )
    };
    let extract_cursor = "MARK=$(printf %s \"$PAGE\" | sed 's/.*\"next\":\"\\([^\"]*\\)\".*/\\1/')";
    format!(
        "The co-ordinator listens on {address}, with {REPLICA_GROUPS} replicas of {SHARDS} shards behind it. Query it:\n\n\
         # Page one of all donations, latest first, and page two.\n\
         PAGE=$({})\nprintf '%s\\n' \"$PAGE\"\n{extract_cursor}\n{}\n\n\
         # The total of all pledges. The response of shard {LATE_SHARD} is too late: the total says that it is missing.\n{}\n\n\
         # The three charities with the most, and the rest as one.\n{}\n\nCtrl-C stops it.",
        curl("history", ",\"page\":{\"rows\":5}"),
        curl("history", ",\"page\":{\"rows\":5,\"after\":\"'$MARK'\"}"),
        curl("pledges", ""),
        curl("charities", ""),
    )
}

/// Sends the queries of the printed commands and prints the responses; returns whether all queries succeeded.
pub(super) fn show(address: SocketAddr) -> bool {
    let shards: Vec<usize> = (0..SHARDS).collect();
    let mut cursor = Value::Null;
    let mut all_succeeded = true;
    for (number, query) in DEMO_QUERIES.iter().enumerate() {
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
        all_succeeded &= status == OK;
        println!("# {}\n{status} {body:#}\n", query.title);
    }
    all_succeeded
}

/// Waits until replicas can be queried, as a link takes some time to connect; returns `false` if they cannot be queried
/// after [`MAX_REACH_ATTEMPTS`] attempts.
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
