//! Totals: exact decimal numbers, and rejection of inconsistent values.

mod common;

use common::{begin, equal_shards};
use linenthread_core::interface::Completeness;
use linenthread_merge::{Acceptance, Aggregation, Measure, Plan, Statistic};
use serde_json::{Value, json};

fn plan(scale: u32, never_negative: bool) -> Plan {
    let statistics = vec![
        Statistic::Sum,
        Statistic::Count,
        Statistic::Min,
        Statistic::Max,
        Statistic::Mean,
    ];
    Plan {
        index: "i".into(),
        aggregation: Aggregation::Totals(vec![Measure {
            field: "a".into(),
            scale,
            never_negative,
            statistics,
        }]),
    }
}

/// Returns a shard's value.
fn value(count: u64, sum: &str, min: impl Into<Value>, max: impl Into<Value>) -> String {
    let (min, max): (Value, Value) = (min.into(), max.into());
    json!({"totals": {"a": {"count": count, "sum": sum, "least": min, "most": max}}}).to_string()
}

/// Returns the value of a shard that has a single number.
fn single(number: &str) -> String {
    value(1, number, json!(number), json!(number))
}

/// Merges one value per shard, and returns the totals of the field.
fn totals(plan: &Plan, values: &[String]) -> Value {
    let mut merger = begin(plan, &equal_shards(values.len()));
    for (index, value) in values.iter().enumerate() {
        assert_eq!(
            merger.accept(index, 0, value),
            Acceptance::Counted,
            "{value}"
        );
    }
    let response: Value =
        serde_json::from_slice(&merger.response(Completeness::Complete, None, 0)).unwrap();
    response["totals"]["a"].clone()
}

fn is_invalid(plan: &Plan, value: &str) -> bool {
    let mut merger = begin(plan, &equal_shards(1));
    matches!(merger.accept(0, 0, value), Acceptance::Invalid(_))
}

#[test]
fn numbers_are_exact_and_formatted_with_all_digits_of_their_scale() {
    for (text, scale, formatted) in [
        ("0.1", 2, "0.10"),
        ("-0.05", 2, "-0.05"),
        ("7", 0, "7"),
        ("1.500", 1, "1.5"),
        ("-0", 2, "0.00"),
        ("007.10", 2, "7.10"),
        ("0", 3, "0.000"),
    ] {
        let totals = totals(&plan(scale, false), &[single(text)]);
        for statistic in ["sum", "least", "most", "mean"] {
            assert_eq!(totals[statistic]["value"], formatted, "{text} {statistic}");
        }
    }
    let tenths: Vec<String> = (0..10).map(|_| single("0.1")).collect();
    assert_eq!(totals(&plan(1, false), &tenths)["sum"]["value"], "1.0");
}

#[test]
fn texts_that_are_not_decimal_numbers_of_the_scale_are_invalid() {
    let plan = plan(2, false);
    for text in [
        "",
        "-",
        ".5",
        "1.",
        "1e3",
        "+1",
        " 1",
        "1,5",
        "0x1",
        "1.005",
        &"9".repeat(29),
    ] {
        assert!(is_invalid(&plan, &single(text)), "{text}");
    }
    assert!(!is_invalid(&plan, &single(&"9".repeat(28))));
}

#[test]
fn means_are_rounded_to_the_scale_with_halves_to_the_even_digit() {
    for (count, sum, min, max, mean) in [
        (2, "5", "2", "3", "2"),
        (2, "7", "3", "4", "4"),
        (2, "-5", "-3", "-2", "-2"),
        (3, "10", "3", "4", "3"),
    ] {
        let value = value(count, sum, json!(min), json!(max));
        let totals = totals(&plan(0, false), &[value]);
        assert_eq!(totals["mean"]["value"], mean, "{sum} / {count}");
    }
    let none = value(0, "0", Value::Null, Value::Null);
    let totals = totals(&plan(0, false), &[none]);
    assert_eq!(totals["mean"]["value"], Value::Null);
}

#[test]
fn inconsistent_totals_are_invalid() {
    let plan = plan(2, true);
    let invalid = [
        value(2, "0.30", json!("0.20"), json!("0.20")),
        value(1, "0.30", json!("0.10"), json!("0.20")),
        value(2, "0.30", json!("0.20"), json!("0.10")),
        value(0, "0.30", json!(null), json!(null)),
        value(1, "0.30", json!(null), json!(null)),
        value(1, "-0.30", json!("-0.30"), json!("-0.30")),
        value(1, "0.305", json!("0.305"), json!("0.305")),
        value(1, "1e2", json!("1e2"), json!("1e2")),
        value(
            u64::MAX,
            &"9".repeat(28),
            json!(&"9".repeat(28)),
            json!(&"9".repeat(28)),
        ),
        r#"{"totals":{}}"#.to_owned(),
        r#"{"totals":{"a":{"count":-1,"sum":0,"least":null,"most":null}}}"#.to_owned(),
    ];
    for value in invalid {
        assert!(is_invalid(&plan, &value), "{value}");
    }
}

#[test]
fn sums_of_large_numbers_are_exact() {
    let large = "9999999999999999999999999999";
    let values = [
        value(1, large, json!(large), json!(large)),
        value(1, "0.10", json!(0.10), json!("0.1")),
    ];
    let totals = totals(&plan(2, true), &values);
    assert_eq!(
        totals["sum"],
        json!({"value": format!("{large}.10"), "is": "exact"})
    );
    assert_eq!(totals["mean"]["value"], "4999999999999999999999999999.55");
}
