//! Cursors: their lifetime and scope, and compatibility with those that earlier versions issued.

use std::time::Duration;

use linenthread_core::interface::Completeness;
use linenthread_merge::{
    Acceptance, Aggregation, CursorError, CursorSigner, FieldType, MergeQuery, Merger, PageRequest,
    Plan, QueriedShard, QueryError, RowPlan, SecretError, SortField,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::{Value, json};

/// The lifetime of cursors.
const LIFETIME: Duration = Duration::from_secs(60);
/// The time at which the tests issue cursors, in seconds since 1970.
const ISSUED_AT: u64 = 100;

const SHARDS: [QueriedShard; 2] = [
    QueriedShard {
        shard: 0,
        weight: 0.5,
    },
    QueriedShard {
        shard: 1,
        weight: 0.5,
    },
];

fn sort_field(field: &str, field_type: FieldType, descending: bool) -> SortField {
    SortField {
        field: field.into(),
        field_type,
        descending,
    }
}

fn row_plan(order: Vec<SortField>) -> RowPlan {
    RowPlan {
        order,
        identity: "id".into(),
        distinct: None,
        page_size: 1,
        max_page_size: 100,
        paginated: true,
    }
}

fn plan(index: &str, rows: RowPlan) -> Plan {
    Plan {
        index: index.into(),
        aggregation: Aggregation::Rows(rows),
    }
}

fn text_and_number() -> Plan {
    let order = vec![
        sort_field("t", FieldType::Text, false),
        sort_field("n", FieldType::Decimal(2), false),
    ];
    plan("i", row_plan(order))
}

fn signer(secrets: &[u8]) -> CursorSigner {
    let secrets = secrets.iter().map(|byte| vec![*byte; 32]).collect();
    CursorSigner::new(secrets, LIFETIME).unwrap()
}

fn begin<'p>(
    plan: &'p Plan,
    signer: &CursorSigner,
    cursor: Option<String>,
    unix_seconds: u64,
) -> Result<Merger<'p>, QueryError> {
    let query = MergeQuery {
        customer: None,
        key: None,
        text: "q",
        shards: &SHARDS,
        shard_count: 9,
    };
    let page = PageRequest { rows: None, cursor };
    Merger::new(plan, &query, &page, Some(signer), unix_seconds)
}

fn response(merger: &Merger, signer: &CursorSigner, unix_seconds: u64) -> Value {
    serde_json::from_slice(&merger.response(Completeness::Complete, Some(signer), unix_seconds))
        .unwrap()
}

/// Issues a cursor after the first row of a query whose two shards have returned one row each.
fn issue(plan: &Plan, signer: &CursorSigner) -> String {
    let mut merger = begin(plan, signer, None, ISSUED_AT).unwrap();
    for index in 0..SHARDS.len() {
        let row = json!({"id": format!("r{index}"), "t": "a"});
        let value = json!({"rows": [row], "more": true}).to_string();
        assert_eq!(merger.accept(index, 0, &value), Acceptance::Counted);
    }
    let response = response(&merger, signer, ISSUED_AT);
    response["next"].as_str().unwrap().to_owned()
}

fn cursor_error(result: Result<Merger, QueryError>) -> CursorError {
    match result {
        Err(QueryError::Cursor { source }) => source,
        Err(other) => panic!("{other}"),
        Ok(_) => panic!("the cursor is valid"),
    }
}

#[test]
fn a_cursor_is_valid_for_its_lifetime_with_tolerance_for_clock_skew() {
    let (plan, signer) = (text_and_number(), signer(&[7]));
    let cursor = issue(&plan, &signer);
    assert!(begin(&plan, &signer, Some(cursor.clone()), 160).is_ok());
    assert!(
        begin(&plan, &signer, Some(cursor.clone()), 40).is_ok(),
        "clocks may differ by a minute"
    );
    for unix_seconds in [161, 39] {
        let error = cursor_error(begin(&plan, &signer, Some(cursor.clone()), unix_seconds));
        assert_eq!(error, CursorError::Expired);
        assert!(error.to_string().contains("the cursor has expired"));
    }
}

#[test]
fn a_cursor_is_valid_while_its_secret_is_accepted() {
    let plan = text_and_number();
    let cursor = issue(&plan, &signer(&[7]));
    assert!(begin(&plan, &signer(&[8, 7]), Some(cursor.clone()), ISSUED_AT).is_ok());
    assert!(begin(&plan, &signer(&[8]), Some(cursor), ISSUED_AT).is_err());
    assert_eq!(
        CursorSigner::new(vec![vec![1; 15]], LIFETIME),
        Err(SecretError::TooShort)
    );
}

#[test]
fn an_altered_or_shortened_cursor_is_rejected() {
    let (plan, signer) = (text_and_number(), signer(&[7]));
    let cursor = issue(&plan, &signer);
    for index in 0..cursor.len() {
        let mut altered = cursor.clone().into_bytes();
        altered[index] = if altered[index] == b'A' { b'B' } else { b'A' };
        let altered = String::from_utf8(altered).unwrap();
        assert!(
            begin(&plan, &signer, Some(altered), ISSUED_AT).is_err(),
            "character {index}"
        );
        let shortened = cursor[..index].to_owned();
        assert!(
            begin(&plan, &signer, Some(shortened), ISSUED_AT).is_err(),
            "length {index}"
        );
    }
}

#[test]
fn random_values_and_cursors_cause_no_panic_and_no_cursor_is_accepted() {
    let (plan, signer) = (text_and_number(), signer(&[7]));
    let values = "(\\{\"(rows|more|totals|groups|rest)\":)?[\\[\\]{}\",:0-9a-z.\\-]{0,40}";
    let config = Config {
        cases: 3_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng)
        .run(&(values, "[A-Za-z0-9_-]{0,200}"), |(value, cursor)| {
            let mut merger = begin(&plan, &signer, None, ISSUED_AT).unwrap();
            merger.accept(0, 0, &value);
            prop_assert!(begin(&plan, &signer, Some(cursor), ISSUED_AT).is_err());
            Ok(())
        })
        .unwrap();
}

#[test]
fn unsorted_or_incomplete_rows_are_invalid() {
    let (plan, signer) = (text_and_number(), signer(&[7]));
    let invalid = [
        r#"{"rows":[{"id":"b","t":"a"},{"id":"a","t":"a"}],"more":false}"#,
        r#"{"rows":[{"id":"a","t":"a"},{"id":"a","t":"a"}],"more":false}"#,
        r#"{"rows":[],"more":true}"#,
        r#"{"rows":[]}"#,
        r#"{"more":false}"#,
        r#"{"rows":[],"rows":[],"more":false}"#,
        r#"{"rows":[],"more":false} {}"#,
    ];
    for value in invalid {
        let mut merger = begin(&plan, &signer, None, ISSUED_AT).unwrap();
        assert!(
            matches!(merger.accept(0, 0, value), Acceptance::Invalid(_)),
            "{value}"
        );
    }
    let cursor = issue(&plan, &signer);
    let mut second_page = begin(&plan, &signer, Some(cursor), ISSUED_AT).unwrap();
    let previous_row = json!({"rows": [{"id": "r0", "t": "a"}], "more": false}).to_string();
    assert!(
        matches!(
            second_page.accept(0, 0, &previous_row),
            Acceptance::Invalid(_)
        ),
        "a row of the previous page"
    );
}

/// A plan and a key, with the response and the position that version 464716d returned for them.
struct Golden {
    rows: RowPlan,
    key: Option<&'static str>,
    response: &'static str,
    after: Value,
}

fn golden() -> [Golden; 2] {
    let text = |descending| sort_field("t\"q", FieldType::Text, descending);
    let number = || sort_field("n", FieldType::Decimal(2), true);
    [
        Golden {
            rows: row_plan(vec![text(false), number()]),
            key: Some("k"),
            response: include_str!("golden/cursor-text-number.json"),
            after: json!(["x\u{0}y", "12.50", "a"]),
        },
        Golden {
            rows: RowPlan {
                distinct: Some("n".into()),
                ..row_plan(vec![number(), text(true)])
            },
            key: None,
            response: include_str!("golden/cursor-number-text-distinct.json"),
            after: json!(["12.50", "x\u{0}y", "a"]),
        },
    ]
}

/// Clients hold cursors of earlier versions: these must stay valid, and the same cursors must be issued.
#[test]
fn cursors_are_compatible_with_earlier_versions() {
    const NOW: u64 = 1_700_000_000;
    let secret = b"golden cursor secret".to_vec();
    let signer = CursorSigner::new(vec![secret], Duration::from_secs(600)).unwrap();
    for Golden {
        rows,
        key,
        response,
        after,
    } in golden()
    {
        let plan = plan("history", rows);
        let shards = [(7, 0.25), (3, 0.75)].map(|(shard, weight)| QueriedShard { shard, weight });
        let query = MergeQuery {
            customer: Some("c-1"),
            key,
            text: "what",
            shards: &shards,
            shard_count: 9,
        };
        let page = |cursor| PageRequest {
            rows: Some(2),
            cursor,
        };
        let mut merger = Merger::new(&plan, &query, &page(None), Some(&signer), NOW).unwrap();
        let rows = [
            json!({"id": "a", "t\"q": "x\u{0}y", "n": "12.50"}),
            json!({"id": "b", "t\"q": "z", "n": "-0.05"}),
        ];
        for (index, row) in rows.into_iter().enumerate() {
            let value = json!({"rows": [row], "more": true}).to_string();
            assert_eq!(merger.accept(index, 0, &value), Acceptance::Counted);
        }
        let body = merger.response(Completeness::Complete, Some(&signer), NOW);
        assert_eq!(String::from_utf8(body).unwrap(), response.trim_end());
        let response: Value = serde_json::from_str(response).unwrap();
        let cursor = response["next"].as_str().map(str::to_owned);
        let merger = Merger::new(&plan, &query, &page(cursor), Some(&signer), NOW + 1).unwrap();
        for index in 0..shards.len() {
            let request: Value = serde_json::from_str(&merger.request_text(index)).unwrap();
            assert_eq!(request["after"], after);
        }
    }
}
