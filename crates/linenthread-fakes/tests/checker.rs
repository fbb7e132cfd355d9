//! The checker of merged responses finds a planted wrong answer of each kind, and accepts the right one.

use std::collections::BTreeMap;

use linenthread_fakes::checker::{
    CheckError, PagedRead, ShardWeight, check_groups, check_shards, check_totals,
};
use linenthread_fakes::row_store::{Donation, RowStore};
use serde_json::{Value, json};

/// Rows on a page.
const LIMIT: usize = 2;
/// Groups that are listed by themselves.
const MAX_GROUPS: usize = 1;
/// The least share of a partial response.
const FLOOR: f64 = 0.5;
/// The shards of the query: both are in every store of these tests.
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

/// The rows in order are a, b, c, d; shard 0 has a and c.
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

/// What a complete response says of the shards, with these further fields.
fn complete(fields: Value) -> Value {
    with_shards(
        json!({"finished": true, "slices": {"in": [0, 1], "missing": {}, "share": 1.0}}),
        fields,
    )
}

/// What a response without shard 1 says of the shards, with these further fields.
fn partial(fields: Value) -> Value {
    with_shards(
        json!({"finished": false, "slices": {"in": [0], "missing": {"failed": [1]}, "share": 0.75}}),
        fields,
    )
}

fn with_shards(mut response: Value, fields: Value) -> Value {
    let Value::Object(fields) = fields else {
        panic!("fields are an object")
    };
    response.as_object_mut().expect("an object").extend(fields);
    response
}

/// The rows of the store with these ids, as a response gives them.
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

/// A page with these rows; `next` says whether there is another.
fn page(ids: &[&str], next: bool) -> Value {
    let cursor = if next { json!("cursor") } else { Value::Null };
    complete(json!({"rows": rows(ids), "goes_on": next, "next": cursor, "cut": null}))
}

fn figure(value: impl Into<Value>, bound: &str) -> Value {
    json!({"value": value.into(), "is": bound})
}

/// The right totals over both shards.
fn totals() -> Value {
    complete(json!({"totals": {"amount": {
        "sum": figure("18.75", "exact"),
        "count": figure(4, "exact"),
        "least": figure("1.25", "exact"),
        "most": figure("10.00", "exact"),
        "mean": figure("4.69", "exact"),
    }}}))
}

/// The right totals over shard 0, while shard 1 is missing.
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

/// The right groups: the largest by itself, the two others as the rest.
fn groups() -> Value {
    complete(json!({
        "groups": [{"of": "etna", "totals": group_figures("15.00", 2)}],
        "rest": {"totals": group_figures("3.75", 2)},
    }))
}

/// A copy with the value at a JSON pointer replaced.
fn planted(right: &Value, pointer: &str, value: impl Into<Value>) -> Value {
    let mut wrong = right.clone();
    *wrong
        .pointer_mut(pointer)
        .expect("the pointer leads somewhere") = value.into();
    wrong
}

/// Checks the first page of a read.
fn check_first_page(response: &Value) -> Result<(), CheckError> {
    PagedRead::new(&SHARDS).check_page(&store(), &SHARDS, FLOOR, LIMIT, response)
}

/// Fails unless the result is an error of a kind.
macro_rules! assert_found {
    ($result:expr, $kind:pat) => {
        match $result {
            Err($kind) => {}
            other => panic!("{} was not found: {other:?}", stringify!($kind)),
        }
    };
}

#[test]
fn right_responses_are_accepted() {
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
fn wrong_statements_on_shards_are_found() {
    let right = totals();
    let check = |response: &Value| check_shards(&SHARDS, FLOOR, response);
    for included in [json!([0]), json!([0, 1, 1]), json!([0, 2])] {
        let wrong = planted(&right, "/slices/in", included);
        assert_found!(check(&wrong), CheckError::Shards { .. });
    }
    let included_and_missing = planted(&right, "/slices/missing", json!({"failed": [1]}));
    assert_found!(check(&included_and_missing), CheckError::Shards { .. });
    for share in [json!(0.9), json!(1.01), Value::Null] {
        let wrong = planted(&right, "/slices/share", share);
        assert_found!(check(&wrong), CheckError::Share { .. });
    }
    assert_found!(
        check(&planted(&right, "/finished", false)),
        CheckError::Finished { .. }
    );
    assert_found!(
        check(&planted(&partial_totals(), "/finished", true)),
        CheckError::Finished { .. }
    );
    assert_found!(
        check_shards(&SHARDS, 0.8, &partial_totals()),
        CheckError::UnderFloor { .. }
    );
}

#[test]
fn wrong_pages_are_found() {
    let first = page(&["a", "b"], true);
    let without_rows = planted(&first, "/rows", Value::Null);
    assert_found!(
        check_first_page(&without_rows),
        CheckError::Absent { name: "rows" }
    );
    for ids in [["b", "a"], ["a", "c"], ["a", "a"], ["b", "c"]] {
        assert_found!(check_first_page(&page(&ids, true)), CheckError::Rows { .. });
    }
    let altered = planted(&first, "/rows/1/amount", "10.01");
    assert_found!(check_first_page(&altered), CheckError::Rows { .. });
    assert_found!(
        check_first_page(&page(&["a"], true)),
        CheckError::ShortPage { .. }
    );
    let cut_without_cause = planted(&page(&["a", "b"], true), "/cut", json!({"behind": [0, 5]}));
    assert_found!(
        check_first_page(&cut_without_cause),
        CheckError::NotBehind { shard: 5 }
    );
    assert_found!(
        check_first_page(&page(&["a", "b"], false)),
        CheckError::Continuation { .. }
    );
    let without_cursor = planted(&first, "/next", Value::Null);
    assert_found!(
        check_first_page(&without_cursor),
        CheckError::Continuation { .. }
    );
}

#[test]
fn a_row_that_is_shown_again_or_never_is_found() {
    let mut store = store();
    let mut read = PagedRead::new(&SHARDS);
    read.check_page(&store, &SHARDS, FLOOR, LIMIT, &page(&["a", "b"], true))
        .unwrap();
    let later = donation("a", 1, 500, "etna");
    store.shards[0] = vec![later.clone()];
    let again = planted(&page(&["d", "d"], false), "/rows/1", later.row());
    assert_found!(
        read.check_page(&store, &SHARDS, FLOOR, LIMIT, &again),
        CheckError::ShownAgain { .. }
    );
    let mut half_read = PagedRead::new(&SHARDS);
    let store = self::store();
    half_read
        .check_page(&store, &SHARDS, FLOOR, LIMIT, &page(&["a", "b"], true))
        .unwrap();
    assert_found!(
        half_read.check_end(&store, &[]),
        CheckError::NeverShown { .. }
    );
    let added = [store.shards[0][1].clone(), store.shards[1][1].clone()];
    half_read
        .check_end(&store, &added)
        .expect("rows added since the read began need not be shown");
}

#[test]
fn wrong_totals_are_found() {
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
        let response = planted(&totals(), &amount(name, "value"), wrong);
        assert_found!(check(&response), CheckError::Figure { .. });
    }
    for (name, wrong) in [
        ("sum", "at-least"),
        ("count", "either-way"),
        ("least", "at-most"),
        ("most", "overflown"),
    ] {
        let response = planted(&totals(), &amount(name, "is"), wrong);
        assert_found!(check(&response), CheckError::Bound { .. });
    }
    for (name, wrong) in [
        ("sum", "exact"),
        ("count", "at-most"),
        ("least", "at-least"),
        ("most", "exact"),
    ] {
        let response = planted(&partial_totals(), &amount(name, "is"), wrong);
        assert_found!(check(&response), CheckError::Bound { .. });
    }
    for wrong in [json!("4.68"), json!("4.70"), Value::Null] {
        let response = planted(&totals(), &amount("mean", "value"), wrong);
        assert_found!(check(&response), CheckError::Mean { .. });
    }
    let exact_mean = planted(&partial_totals(), &amount("mean", "is"), "exact");
    assert_found!(check(&exact_mean), CheckError::Mean { .. });
}

#[test]
fn wrong_groups_are_found() {
    let check = |response: &Value| check_groups(&store(), &SHARDS, FLOOR, MAX_GROUPS, response);
    assert_found!(
        check(&planted(&groups(), "/groups", Value::Null)),
        CheckError::Absent { name: "groups" }
    );
    let smaller = planted(&groups(), "/groups/0/of", "faro");
    assert_found!(check(&smaller), CheckError::Groups { .. });
    let none = planted(&groups(), "/groups", json!([]));
    assert_found!(check(&none), CheckError::Groups { .. });
    let first = groups()["groups"][0].clone();
    let nameless = json!({"totals": group_figures("0.00", 0)});
    let one_more = planted(&groups(), "/groups", json!([first, nameless]));
    assert_found!(check(&one_more), CheckError::Groups { .. });
    let sum = "/groups/0/totals/amount/sum";
    let figure_of_group = planted(&groups(), &format!("{sum}/value"), "14.99");
    assert_found!(check(&figure_of_group), CheckError::Figure { .. });
    let bound_of_group = planted(&groups(), &format!("{sum}/is"), "at-least");
    assert_found!(check(&bound_of_group), CheckError::Bound { .. });
    let figure_of_rest = planted(&groups(), "/rest/totals/amount/count/value", 1);
    assert_found!(check(&figure_of_rest), CheckError::Figure { .. });
    let without_rest = planted(&groups(), "/rest", Value::Null);
    assert_found!(check(&without_rest), CheckError::Rest { .. });
    assert_found!(
        check_groups(&store(), &SHARDS, FLOOR, 3, &all_listed_and_a_rest()),
        CheckError::Rest { .. }
    );
}

/// All three groups by themselves, and a rest that nothing is in.
fn all_listed_and_a_rest() -> Value {
    complete(json!({
        "groups": [
            {"of": "etna", "totals": group_figures("15.00", 2)},
            {"of": "faro", "totals": group_figures("2.50", 1)},
            {"of": "ulivi", "totals": group_figures("1.25", 1)},
        ],
        "rest": {"totals": group_figures("0.00", 0)},
    }))
}
