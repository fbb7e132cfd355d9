//! The order of rows, and the positions after which shards are asked for more.

mod common;

use common::{begin, equal_shards};
use linenthread_core::interface::Completeness;
use linenthread_merge::{Acceptance, Aggregation, FieldType, Plan, RowPlan, SortField};
use serde_json::{Value, json};

/// Texts in ascending order.
const TEXTS: [&str; 10] = [
    "",
    "\u{0}",
    "\u{0}\u{0}",
    "\u{0}a",
    "a",
    "a\u{0}",
    "aa",
    "b",
    "é",
    "\u{10ffff}",
];
/// Numbers in ascending order.
const NUMBERS: [&str; 8] = [
    "-100",
    "-2.5",
    "-0.01",
    "0",
    "0.01",
    "2",
    "10",
    "99999999999999999999",
];

fn plan(field_type: FieldType, descending: bool) -> Plan {
    let order = vec![SortField {
        field: "f".into(),
        field_type,
        descending,
    }];
    Plan {
        index: "i".into(),
        aggregation: Aggregation::Rows(RowPlan {
            order,
            identity: "id".into(),
            distinct: None,
            page_size: 100,
            max_page_size: 100,
            paginated: false,
        }),
    }
}

/// Returns a row with this value; all rows have the same identity.
fn row(value: Option<&str>) -> Value {
    match value {
        Some(value) => json!({"id": "x", "f": value, "more": [1, {"f": 2}]}),
        None => json!({"id": "x"}),
    }
}

/// Merges shards that have one row each, and returns the rows of the response.
fn merged(plan: &Plan, rows: &[Value]) -> Vec<Value> {
    let mut merger = begin(plan, &equal_shards(rows.len()));
    for (index, row) in rows.iter().enumerate() {
        let value = json!({"rows": [row], "more": false}).to_string();
        assert_eq!(merger.accept(index, 0, &value), Acceptance::Counted);
    }
    let response: Value =
        serde_json::from_slice(&merger.response(Completeness::Complete, None, 0)).unwrap();
    response["rows"].as_array().unwrap().clone()
}

/// Returns the values of the position after which a shard with this row is asked for more.
fn position_after(plan: &Plan, row: &Value) -> Vec<Value> {
    let mut merger = begin(plan, &equal_shards(1));
    let value = json!({"rows": [row], "more": true}).to_string();
    assert_eq!(merger.accept(0, 0, &value), Acceptance::Counted);
    let request: Value = serde_json::from_str(&merger.request_text(0)).unwrap();
    request["after"].as_array().unwrap().clone()
}

#[test]
fn rows_are_sorted_by_value_and_those_without_the_field_come_last() {
    for (field_type, values) in [
        (FieldType::Text, &TEXTS[..]),
        (FieldType::Decimal(2), &NUMBERS[..]),
    ] {
        for descending in [false, true] {
            let plan = plan(field_type, descending);
            let mut expected: Vec<Value> = values.iter().map(|v| row(Some(v))).collect();
            if descending {
                expected.reverse();
            }
            expected.push(row(None));
            let mut rows = expected.clone();
            for _ in 0..rows.len() {
                // All rows are distinct, and the order of the shards does not matter.
                rows.rotate_left(1);
                assert_eq!(merged(&plan, &rows), expected, "{field_type:?}");
            }
            rows.reverse();
            assert_eq!(merged(&plan, &rows), expected, "{field_type:?}");
        }
    }
}

#[test]
fn a_position_contains_the_values_of_its_row() {
    for descending in [false, true] {
        let texts = plan(FieldType::Text, descending);
        for text in TEXTS {
            let position = position_after(&texts, &row(Some(text)));
            assert_eq!(position, [json!(text), json!("x")]);
        }
        let numbers = plan(FieldType::Decimal(2), descending);
        for number in NUMBERS {
            let position = position_after(&numbers, &row(Some(number)));
            let formatted = position[0].as_str().unwrap();
            let (_, fraction) = formatted.split_once('.').unwrap();
            assert_eq!(fraction.len(), 2, "{formatted}");
            let same = position_after(&numbers, &row(Some(formatted)));
            assert_eq!(same, position);
            // Both notations are the same number, so the two rows are merged into one.
            let rows = [row(Some(number)), row(Some(formatted))];
            assert_eq!(merged(&numbers, &rows).len(), 1, "{number} {formatted}");
            assert_eq!(position[1], "x");
        }
        for plan in [texts, numbers] {
            let position = position_after(&plan, &row(None));
            assert_eq!(position, [Value::Null, json!("x")]);
        }
    }
}

#[test]
fn rows_without_valid_fields_are_invalid() {
    let plan = plan(FieldType::Text, false);
    let too_long = format!(r#"{{"id":"{}"}}"#, "x".repeat(300));
    for row in [
        r#"{"f":"a"}"#,
        r#"{"id":"a","f":3}"#,
        r#"{"id":"a","id":"b"}"#,
        r#"{"id":["a"]}"#,
        "[]",
        &too_long,
    ] {
        let mut merger = begin(&plan, &equal_shards(1));
        let value = format!(r#"{{"rows":[{row}],"more":false}}"#);
        assert!(
            matches!(merger.accept(0, 0, &value), Acceptance::Invalid(_)),
            "{row}"
        );
    }
    let mut merger = begin(&plan, &equal_shards(1));
    let valid = r#"{"rows":[{"id":"a","f":"b"}],"more":false}"#;
    assert_eq!(merger.accept(0, 0, valid), Acceptance::Counted);
}
