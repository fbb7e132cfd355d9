//! The checker of merged responses rejects each kind of wrong response, and accepts correct ones.

use std::collections::BTreeMap;

use linenthread_fakes::checker::{
    CheckError, PagedRead, ShardWeight, check_groups, check_shards, check_totals,
};
use linenthread_fakes::row_store::{Donation, RowStore};
use serde_json::{Value, json};

/// The maximum number of rows on a page.
const LIMIT: usize = 2;
/// The maximum number of listed groups.
const MAX_GROUPS: usize = 1;
/// The minimum share of a partial response.
const FLOOR: f64 = 0.5;
/// The shards of the queries: all shards of the store.
const SHARDS: [ShardWeight; 2] = [
    ShardWeight {
        shard: 0,
        weight: 0.75,
    },
    ShardWeight {
        shard: 1,
        weight: 0.25,
    },
];

fn donation(id: &str, day: u32, cents: i64, charity: &str) -> Donation {
    Donation {
        id: id.to_owned(),
        date: format!("2026-11-{day:02}"),
        cents,
        charity: charity.to_owned(),
    }
}

/// Returns a store with the rows a, b, c, d in this order; shard 0 holds a and c, shard 1 holds b and d.
fn store() -> RowStore {
    let mut store = RowStore::default();
    store.shards = vec![
        vec![
            donation("a", 20, 500, "etna"),
            donation("c", 18, 250, "faro"),
        ],
        vec![
            donation("b", 19, 1_000, "etna"),
            donation("d", 17, 125, "ulivi"),
        ],
    ];
    store
}

/// Returns a complete response with these fields.
fn complete(fields: Value) -> Value {
    with_fields(
        json!({"finished": true, "slices": {"in": [0, 1], "missing": {}, "share": 1.0}}),
        fields,
    )
}

/// Returns a response that lacks shard 1, with these fields.
fn partial(fields: Value) -> Value {
    with_fields(
        json!({"finished": false, "slices": {"in": [0], "missing": {"failed": [1]}, "share": 0.75}}),
        fields,
    )
}

fn with_fields(mut response: Value, fields: Value) -> Value {
    let Value::Object(fields) = fields else {
        panic!("fields are an object")
    };
    response.as_object_mut().expect("an object").extend(fields);
    response
}

/// Returns the rows of the store with these ids, in the form of a response.
fn rows(ids: &[&str]) -> Vec<Value> {
    let store = store();
    let by_id: BTreeMap<&str, Value> = store
        .shards
        .iter()
        .flatten()
        .map(|row| (row.id.as_str(), row.row()))
        .collect();
    ids.iter().map(|id| by_id[id].clone()).collect()
}

/// Returns a page with these rows; `next` says whether another page follows.
fn page(ids: &[&str], next: bool) -> Value {
    let cursor = if next { json!("cursor") } else { Value::Null };
    complete(json!({"rows": rows(ids), "goes_on": next, "next": cursor, "cut": null}))
}

fn figure(value: impl Into<Value>, bound: &str) -> Value {
    json!({"value": value.into(), "is": bound})
}

/// Returns the correct totals over both shards.
fn totals() -> Value {
    complete(json!({"totals": {"amount": {
        "sum": figure("18.75", "exact"),
        "count": figure(4, "exact"),
        "least": figure("1.25", "exact"),
        "most": figure("10.00", "exact"),
        "mean": figure("4.69", "exact"),
    }}}))
}

/// Returns the correct totals of a response that lacks shard 1.
fn partial_totals() -> Value {
    partial(json!({"totals": {"amount": {
        "sum": figure("7.50", "at-least"),
        "count": figure(2, "at-least"),
        "least": figure("2.50", "at-most"),
        "most": figure("5.00", "at-least"),
        "mean": figure("3.75", "either-way"),
    }}}))
}

fn group_figures(sum: &str, count: usize) -> Value {
    json!({"amount": {"sum": figure(sum, "exact"), "count": figure(count, "exact")}})
}

/// Returns the correct groups: the largest is listed, the other two are combined in the rest.
fn groups() -> Value {
    complete(json!({
        "groups": [{"of": "etna", "totals": group_figures("15.00", 2)}],
        "rest": {"totals": group_figures("3.75", 2)},
    }))
}

/// Returns a copy with the value at a JSON pointer replaced.
fn with_value(original: &Value, pointer: &str, value: impl Into<Value>) -> Value {
    let mut changed = original.clone();
    *changed
        .pointer_mut(pointer)
        .expect("the pointer refers to a value") = value.into();
    changed
}

/// Checks a response as the first page of a read.
fn check_first_page(response: &Value) -> Result<(), CheckError> {
    PagedRead::new(&SHARDS).check_page(&store(), &SHARDS, FLOOR, LIMIT, response)
}

/// Fails unless the result is an error of this kind.
macro_rules! assert_rejected {
    ($result:expr, $kind:pat) => {
        match $result {
            Err($kind) => {}
            other => panic!("expected {}, got {other:?}", stringify!($kind)),
        }
    };
}

#[test]
fn correct_responses_are_accepted() {
    let store = store();
    check_totals(&store, &SHARDS, FLOOR, &totals()).unwrap();
    check_totals(&store, &SHARDS, FLOOR, &partial_totals()).unwrap();
    check_groups(&store, &SHARDS, FLOOR, MAX_GROUPS, &groups()).unwrap();
    let mut read = PagedRead::new(&SHARDS);
    for response in [page(&["a", "b"], true), page(&["c", "d"], false)] {
        read.check_page(&store, &SHARDS, FLOOR, LIMIT, &response)
            .unwrap();
    }
    read.check_end(&store, &[]).unwrap();
}

#[test]
fn wrong_shards_and_shares_are_rejected() {
    let correct = totals();
    let check = |response: &Value| check_shards(&SHARDS, FLOOR, response);
    for included in [json!([0]), json!([0, 1, 1]), json!([0, 2])] {
        let wrong = with_value(&correct, "/slices/in", included);
        assert_rejected!(check(&wrong), CheckError::Shards { .. });
    }
    let included_and_missing = with_value(&correct, "/slices/missing", json!({"failed": [1]}));
    assert_rejected!(check(&included_and_missing), CheckError::Shards { .. });
    for share in [json!(0.9), json!(1.01), Value::Null] {
        let wrong = with_value(&correct, "/slices/share", share);
        assert_rejected!(check(&wrong), CheckError::Share { .. });
    }
    assert_rejected!(
        check(&with_value(&correct, "/finished", false)),
        CheckError::Finished { .. }
    );
    assert_rejected!(
        check(&with_value(&partial_totals(), "/finished", true)),
        CheckError::Finished { .. }
    );
    assert_rejected!(
        check_shards(&SHARDS, 0.8, &partial_totals()),
        CheckError::UnderFloor { .. }
    );
}

#[test]
fn wrong_pages_are_rejected() {
    let first = page(&["a", "b"], true);
    let without_rows = with_value(&first, "/rows", Value::Null);
    assert_rejected!(
        check_first_page(&without_rows),
        CheckError::Absent { name: "rows" }
    );
    for ids in [["b", "a"], ["a", "c"], ["a", "a"], ["b", "c"]] {
        assert_rejected!(check_first_page(&page(&ids, true)), CheckError::Rows { .. });
    }
    let altered = with_value(&first, "/rows/1/amount", "10.01");
    assert_rejected!(check_first_page(&altered), CheckError::Rows { .. });
    assert_rejected!(
        check_first_page(&page(&["a"], true)),
        CheckError::ShortPage { .. }
    );
    let cut_without_cause = with_value(&page(&["a", "b"], true), "/cut", json!({"behind": [0, 5]}));
    assert_rejected!(
        check_first_page(&cut_without_cause),
        CheckError::NotBehind { shard: 5 }
    );
    assert_rejected!(
        check_first_page(&page(&["a", "b"], false)),
        CheckError::Continuation { .. }
    );
    let without_cursor = with_value(&first, "/next", Value::Null);
    assert_rejected!(
        check_first_page(&without_cursor),
        CheckError::Continuation { .. }
    );
}

#[test]
fn repeated_and_missing_rows_are_rejected() {
    let mut store = store();
    let mut read = PagedRead::new(&SHARDS);
    read.check_page(&store, &SHARDS, FLOOR, LIMIT, &page(&["a", "b"], true))
        .unwrap();
    let moved = donation("a", 1, 500, "etna");
    store.shards[0] = vec![moved.clone()];
    let repeated = with_value(&page(&["d", "d"], false), "/rows/1", moved.row());
    assert_rejected!(
        read.check_page(&store, &SHARDS, FLOOR, LIMIT, &repeated),
        CheckError::ShownAgain { .. }
    );
    let mut partial_read = PagedRead::new(&SHARDS);
    let store = self::store();
    partial_read
        .check_page(&store, &SHARDS, FLOOR, LIMIT, &page(&["a", "b"], true))
        .unwrap();
    assert_rejected!(
        partial_read.check_end(&store, &[]),
        CheckError::NeverShown { .. }
    );
    let added = [store.shards[0][1].clone(), store.shards[1][1].clone()];
    partial_read
        .check_end(&store, &added)
        .expect("rows that were added since the read began may be missing");
}

#[test]
fn wrong_totals_are_rejected() {
    let check = |response: &Value| check_totals(&store(), &SHARDS, FLOOR, response);
    let amount = |name: &str, field: &str| format!("/totals/amount/{name}/{field}");
    for (name, wrong) in [
        ("sum", json!("18.74")),
        ("sum", json!(18.75)),
        ("count", json!(3)),
        ("count", json!("4")),
        ("least", json!("1.26")),
        ("most", Value::Null),
    ] {
        let response = with_value(&totals(), &amount(name, "value"), wrong);
        assert_rejected!(check(&response), CheckError::Figure { .. });
    }
    for (name, wrong) in [
        ("sum", "at-least"),
        ("count", "either-way"),
        ("least", "at-most"),
        ("most", "overflown"),
    ] {
        let response = with_value(&totals(), &amount(name, "is"), wrong);
        assert_rejected!(check(&response), CheckError::Bound { .. });
    }
    for (name, wrong) in [
        ("sum", "exact"),
        ("count", "at-most"),
        ("least", "at-least"),
        ("most", "exact"),
    ] {
        let response = with_value(&partial_totals(), &amount(name, "is"), wrong);
        assert_rejected!(check(&response), CheckError::Bound { .. });
    }
    for wrong in [json!("4.68"), json!("4.70"), Value::Null] {
        let response = with_value(&totals(), &amount("mean", "value"), wrong);
        assert_rejected!(check(&response), CheckError::Mean { .. });
    }
    let exact_mean = with_value(&partial_totals(), &amount("mean", "is"), "exact");
    assert_rejected!(check(&exact_mean), CheckError::Mean { .. });
}

#[test]
fn wrong_groups_are_rejected() {
    let check = |response: &Value| check_groups(&store(), &SHARDS, FLOOR, MAX_GROUPS, response);
    assert_rejected!(
        check(&with_value(&groups(), "/groups", Value::Null)),
        CheckError::Absent { name: "groups" }
    );
    let smaller = with_value(&groups(), "/groups/0/of", "faro");
    assert_rejected!(check(&smaller), CheckError::Groups { .. });
    let none = with_value(&groups(), "/groups", json!([]));
    assert_rejected!(check(&none), CheckError::Groups { .. });
    let first = groups()["groups"][0].clone();
    let unnamed = json!({"totals": group_figures("0.00", 0)});
    let extra_group = with_value(&groups(), "/groups", json!([first, unnamed]));
    assert_rejected!(check(&extra_group), CheckError::Groups { .. });
    let sum = "/groups/0/totals/amount/sum";
    let figure_of_group = with_value(&groups(), &format!("{sum}/value"), "14.99");
    assert_rejected!(check(&figure_of_group), CheckError::Figure { .. });
    let bound_of_group = with_value(&groups(), &format!("{sum}/is"), "at-least");
    assert_rejected!(check(&bound_of_group), CheckError::Bound { .. });
    let figure_of_rest = with_value(&groups(), "/rest/totals/amount/count/value", 1);
    assert_rejected!(check(&figure_of_rest), CheckError::Figure { .. });
    let without_rest = with_value(&groups(), "/rest", Value::Null);
    assert_rejected!(check(&without_rest), CheckError::Rest { .. });
    assert_rejected!(
        check_groups(&store(), &SHARDS, FLOOR, 3, &all_listed_with_rest()),
        CheckError::Rest { .. }
    );
}

/// Returns groups of which all three are listed, with an empty rest that must be absent.
fn all_listed_with_rest() -> Value {
    complete(json!({
        "groups": [
            {"of": "etna", "totals": group_figures("15.00", 2)},
            {"of": "faro", "totals": group_figures("2.50", 1)},
            {"of": "ulivi", "totals": group_figures("1.25", 1)},
        ],
        "rest": {"totals": group_figures("0.00", 0)},
    }))
}
