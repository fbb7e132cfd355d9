//! Pages and their cursors, which are valid at every process with the same secret, but only for the query that they
//! were issued for.

use linenthread_fakes::checker::PagedRead;
use linenthread_fakes::row_store::RowStore;
use linenthread_fakes::{MergedResponse, Service};
use oorandom::Rand64;
use serde_json::{Value, json};

use crate::cluster::Cluster;
use crate::{FLOOR, SHARDS, respond_at_once, weights};

const QUERIED_SHARDS: [usize; 4] = [0, 1, 2, 3];

fn start() -> Cluster {
    let rows = RowStore::new(&mut Rand64::new(3), SHARDS, 9);
    Cluster::start(rows, 50, respond_at_once)
}

/// Requests a page of three rows of the index "history"; without a cursor, the first page.
fn query_page(
    service: &Service,
    id: &str,
    shards: &[usize],
    text: &str,
    cursor: Option<&str>,
) -> MergedResponse {
    let page = match cursor {
        Some(cursor) => json!({"rows": 3, "after": cursor}),
        None => json!({"rows": 3}),
    };
    let mut client = service.connect();
    client.query_merged("history", id, shards, text, &page)
}

/// Requests the first page and checks that the query succeeds.
fn first_page(cluster: &Cluster) -> Value {
    let MergedResponse {
        status,
        body: first,
    } = query_page(&cluster.service, "p1", &QUERIED_SHARDS, "all", None);
    assert_eq!(status, 200);
    first
}

fn next_cursor(page: &Value) -> String {
    page["next"].as_str().unwrap().to_owned()
}

#[test]
fn a_cursor_is_valid_at_another_process_with_the_same_secret() {
    let cluster = start();
    let first = first_page(&cluster);
    let cursor = next_cursor(&first);
    let other = cluster.start_second_program();
    let MergedResponse {
        status,
        body: second,
    } = query_page(&other, "p2", &QUERIED_SHARDS, "all", Some(&cursor));
    assert_eq!(status, 200);
    let rows = cluster.rows();
    let weights = weights(&QUERIED_SHARDS);
    let mut read = PagedRead::new(&weights);
    for page in [first, second] {
        read.check_page(&rows, &weights, FLOOR, 3, &page).unwrap();
    }
}

/// A query with a cursor that is not valid for it, and the expected reason in the response.
struct InvalidCursor<'a> {
    shards: &'a [usize],
    text: &'a str,
    cursor: &'a str,
    reason: &'a str,
}

#[test]
fn a_cursor_that_was_not_issued_for_its_query_is_rejected() {
    let cluster = start();
    let cursor = next_cursor(&first_page(&cluster));
    let forged_end = if cursor.ends_with("AA") { "BB" } else { "AA" };
    let forged = format!("{}{forged_end}", &cursor[..cursor.len() - 2]);
    let unknown = |cursor| InvalidCursor {
        shards: &QUERIED_SHARDS,
        text: "all",
        cursor,
        reason: "incomplete, or was not issued here",
    };
    let cases = [
        unknown(&forged),
        unknown(&cursor[..40]),
        unknown(""),
        InvalidCursor {
            shards: &QUERIED_SHARDS,
            text: "some",
            cursor: &cursor,
            reason: "another query",
        },
        InvalidCursor {
            shards: &QUERIED_SHARDS[..3],
            text: "all",
            cursor: &cursor,
            reason: "another layout",
        },
    ];
    for (number, case) in cases.into_iter().enumerate() {
        let id = format!("bad{number}");
        let cursor = Some(case.cursor);
        let MergedResponse {
            status,
            body: message,
        } = query_page(&cluster.service, &id, case.shards, case.text, cursor);
        assert!(
            status == 400 && message.to_string().contains(case.reason),
            "{number}: {status} {message}"
        );
    }
}

#[test]
fn page_requests_that_an_index_does_not_support_are_rejected() {
    let cluster = start();
    let too_many_rows = json!({"rows": 101});
    let MergedResponse {
        status,
        body: message,
    } = cluster.query("history", "rows", &QUERIED_SHARDS, "all", &too_many_rows);
    assert!(
        status == 400 && message.to_string().contains("from 1 to 100"),
        "{message}"
    );
    let one_row = json!({"rows": 1});
    let MergedResponse {
        status,
        body: message,
    } = cluster.query("pledges", "t", &QUERIED_SHARDS, "pledges", &one_row);
    assert!(
        status == 400 && message.to_string().contains("no pages"),
        "{message}"
    );
}
