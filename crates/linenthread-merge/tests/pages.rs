//! Random rows, orders, slices and page sizes against a plain sort of all rows. The seed is told, so every
//! run tries the same.

use std::cmp::Ordering;

use linenthread_merge::{Asked, Form, Kind, Marks, Merge, Order, PageWish, Plan, Rows, Taken};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::{Map, Value, json};

#[derive(Clone, Debug)]
struct Row {
    slice: usize,
    text: Option<String>,
    units: Option<i64>,
    id: usize,
}

#[derive(Clone, Debug)]
struct Case {
    rows: Vec<Row>,
    slices: usize,
    /// The order: field 0 is the text, 1 the number; and whether each descends.
    first: usize,
    descending: [bool; 2],
    page: usize,
    most_rows: usize,
    distinct: bool,
}

impl Row {
    fn json(&self) -> Value {
        let mut row = Map::new();
        row.insert("id".into(), json!(format!("r{:03}", self.id)));
        if let Some(text) = &self.text {
            row.insert("t".into(), json!(text));
        }
        if let Some(units) = self.units {
            let sign = if units < 0 { "-" } else { "" };
            let number = format!("{sign}{}.{:02}", units.abs() / 100, units.abs() % 100);
            row.insert("n".into(), json!(number));
        }
        row.into()
    }
}

fn compare<T: Ord>(a: &Option<T>, b: &Option<T>, descending: bool) -> Ordering {
    match (a, b) {
        (Some(a), Some(b)) if descending => b.cmp(a),
        (Some(a), Some(b)) => a.cmp(b),
        // What lacks the field comes last.
        (a, b) => b.is_some().cmp(&a.is_some()),
    }
}

impl Case {
    fn plan(&self) -> Plan {
        let order = |field: usize| Order {
            field: ["t", "n"][field].into(),
            kind: [Kind::Text, Kind::Decimal(2)][field],
            descending: self.descending[field],
        };
        let order = vec![order(self.first), order(1 - self.first)];
        let distinct = self.distinct.then(|| order[0].field.clone());
        let rows = Rows {
            order,
            identity: "id".into(),
            distinct,
            page: self.page,
            most: 100,
            pages: true,
        };
        Plan {
            index: "i".into(),
            form: Form::Rows(rows),
        }
    }

    fn compare(&self, a: &Row, b: &Row) -> Ordering {
        let of = |field: usize| match field {
            0 => compare(&a.text, &b.text, self.descending[0]),
            _ => compare(&a.units, &b.units, self.descending[1]),
        };
        of(self.first)
            .then(of(1 - self.first))
            .then(a.id.cmp(&b.id))
    }

    fn same_value(&self, a: &Row, b: &Row) -> bool {
        // A field that is not there is no value to differ by.
        match self.first {
            0 => a.text.is_some() && a.text == b.text,
            _ => a.units.is_some() && a.units == b.units,
        }
    }

    /// What a slice says to a question, by its own rows in order.
    fn value(&self, slice: usize, question: &str, sorted: &[Row]) -> String {
        let question: Value = serde_json::from_str(question).unwrap();
        let mut rows: Vec<&Row> = sorted.iter().filter(|r| r.slice == slice).collect();
        if let Some(after) = question["after"].as_array() {
            // The place is one of a row that there is, in whichever slice.
            let last = after.last().unwrap().as_str().unwrap();
            let place = sorted.iter().position(|r| r.json()["id"] == last).unwrap();
            rows.retain(|r| sorted.iter().position(|s| s.id == r.id).unwrap() > place);
        }
        let n = self
            .most_rows
            .min(question["rows"].as_u64().unwrap() as usize);
        let told: Vec<Value> = rows.iter().take(n).map(|r| r.json()).collect();
        json!({"rows": told, "more": rows.len() > n}).to_string()
    }
}

fn cases() -> impl Strategy<Value = Case> {
    let text = proptest::option::weighted(0.9, "[a-c\u{0}é]{0,2}");
    let units = proptest::option::weighted(0.9, -150_i64..150);
    let row = (0..6_usize, text, units).prop_map(|(slice, text, units)| Row {
        slice,
        text,
        units,
        id: 0,
    });
    let shape = (
        1..6_usize,
        0..2_usize,
        any::<[bool; 2]>(),
        1..12_usize,
        1..6_usize,
        any::<bool>(),
    );
    (vec(row, 0..40), shape).prop_map(
        |(mut rows, (slices, first, descending, page, most_rows, distinct))| {
            rows.iter_mut()
                .enumerate()
                .for_each(|(id, row)| (row.id, row.slice) = (id, row.slice % slices));
            Case {
                rows,
                slices,
                first,
                descending,
                page,
                most_rows,
                distinct,
            }
        },
    )
}

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

#[test]
fn pages_in_a_row_are_the_sorted_rows() {
    let marks = Marks::new(vec![vec![7; 32]], 60).unwrap();
    let run = |case: Case| {
        let plan = case.plan();
        let mut sorted = case.rows.clone();
        sorted.sort_by(|a, b| case.compare(a, b));
        let mut want: Vec<&Row> = Vec::new();
        for row in &sorted {
            if !case.distinct || want.last().is_none_or(|last| !case.same_value(last, row)) {
                want.push(row);
            }
        }
        let want: Vec<Value> = want.into_iter().map(Row::json).collect();
        let slices: Vec<_> = (0..case.slices).map(|s| (case.slices - s, 1.0)).collect();
        let asked = Asked {
            customer: None,
            key: None,
            query: "q",
            slices: &slices,
            shards: 9,
        };
        let (mut shown, mut mark) = (Vec::new(), None);
        for turn in 0.. {
            let wish = PageWish { rows: None, mark };
            let mut merge = Merge::begin(&plan, &asked, &wish, Some(&marks), 100).unwrap();
            let mut ask: Vec<usize> = (0..case.slices).collect();
            // Slices answer in another order on each page.
            ask.rotate_left(turn % case.slices);
            while let Some(slice) = ask.pop() {
                let value = case.value(slice, &merge.text(slice), &sorted);
                prop_assert_eq!(merge.take(slice, merge.round(slice), &value), Taken::In);
                prop_assert!(merge.held() <= case.page);
                ask.extend(merge.onward());
            }
            let answer: Value =
                serde_json::from_slice(&merge.answer(true, Some(&marks), 100)).unwrap();
            let rows = answer["rows"].as_array().unwrap();
            prop_assert!(
                answer["cut"].is_null() && answer["finished"] == true,
                "{answer}"
            );
            prop_assert!(
                rows.len() == case.page || answer["next"].is_null() || case.distinct,
                "{answer}"
            );
            shown.extend(rows.clone());
            match answer["next"].as_str() {
                Some(next) => mark = Some(next.to_owned()),
                None => break,
            }
            prop_assert!(turn < 100, "it never ends");
        }
        prop_assert_eq!(shown, want);
        Ok(())
    };
    runner(800).run(&cases(), run).unwrap();
}

#[test]
fn marks_that_are_not_whole_and_values_that_are_none_do_no_harm() {
    let marks = Marks::new(vec![vec![7; 32]], 60).unwrap();
    let case = Case {
        rows: Vec::new(),
        slices: 2,
        first: 0,
        descending: [false; 2],
        page: 1,
        most_rows: 1,
        distinct: false,
    };
    let plan = case.plan();
    let slices = [(0, 0.5), (1, 0.5)];
    let asked = Asked {
        customer: None,
        key: None,
        query: "q",
        slices: &slices,
        shards: 9,
    };
    let begin = |marks: &Marks, mark: Option<String>, now| {
        Merge::begin(
            &plan,
            &asked,
            &PageWish { rows: None, mark },
            Some(marks),
            now,
        )
    };
    let mut merge = begin(&marks, None, 100).unwrap();
    for slice in 0..2 {
        let value =
            json!({"rows": [{"id": format!("r{slice}"), "t": "a"}], "more": true}).to_string();
        assert_eq!(merge.take(slice, 0, &value), Taken::In);
    }
    let answer: Value = serde_json::from_slice(&merge.answer(true, Some(&marks), 100)).unwrap();
    let mark = answer["next"].as_str().unwrap().to_owned();
    assert!(begin(&marks, Some(mark.clone()), 160).is_ok());
    assert!(
        begin(&marks, Some(mark.clone()), 40).is_ok(),
        "clocks may differ by a minute"
    );
    for (now, why) in [(161, "no longer good"), (39, "no longer good")] {
        assert!(
            begin(&marks, Some(mark.clone()), now)
                .err()
                .unwrap()
                .contains(why)
        );
    }
    // A new secret, with the one before still taken, and without.
    let rotated = Marks::new(vec![vec![8; 32], vec![7; 32]], 60).unwrap();
    assert!(begin(&rotated, Some(mark.clone()), 100).is_ok());
    let other = Marks::new(vec![vec![8; 32]], 60).unwrap();
    assert!(begin(&other, Some(mark.clone()), 100).is_err());
    assert!(Marks::new(vec![vec![1; 15]], 60).is_err());
    // Every letter changed, and every length.
    for at in 0..mark.len() {
        let mut bad = mark.clone().into_bytes();
        bad[at] = if bad[at] == b'A' { b'B' } else { b'A' };
        assert!(
            begin(&marks, Some(String::from_utf8(bad).unwrap()), 100).is_err(),
            "letter {at}"
        );
        assert!(
            begin(&marks, Some(mark[..at].to_owned()), 100).is_err(),
            "length {at}"
        );
    }
    let words = "(\\{\"(rows|more|totals|groups|rest)\":)?[\\[\\]{}\",:0-9a-z.\\-]{0,40}";
    runner(3_000)
        .run(&(words, "[A-Za-z0-9_-]{0,200}"), |(value, mark)| {
            let mut merge = begin(&marks, None, 100).unwrap();
            merge.take(0, 0, &value);
            prop_assert!(begin(&marks, Some(mark), 100).is_err());
            Ok(())
        })
        .unwrap();
    // In order, after what was asked for, and not without a row where more are to come.
    let bad = [
        r#"{"rows":[{"id":"b","t":"a"},{"id":"a","t":"a"}],"more":false}"#,
        r#"{"rows":[{"id":"a","t":"a"},{"id":"a","t":"a"}],"more":false}"#,
        r#"{"rows":[],"more":true}"#,
        r#"{"rows":[]}"#,
        r#"{"more":false}"#,
        r#"{"rows":[],"rows":[],"more":false}"#,
        r#"{"rows":[],"more":false} {}"#,
    ];
    for value in bad {
        let mut merge = begin(&marks, None, 100).unwrap();
        assert!(
            matches!(merge.take(0, 0, value), Taken::Unreadable(_)),
            "{value}"
        );
    }
    let mut second = begin(&marks, Some(mark), 100).unwrap();
    let again = json!({"rows": [{"id": "r0", "t": "a"}], "more": false}).to_string();
    assert!(
        matches!(second.take(0, 0, &again), Taken::Unreadable(_)),
        "a row of the page before"
    );
}

#[test]
fn totals_that_cannot_be_true_are_refused_and_sums_are_exact() {
    use linenthread_merge::{Figure, Measure};
    let figures = vec![
        Figure::Sum,
        Figure::Count,
        Figure::Least,
        Figure::Most,
        Figure::Mean,
    ];
    let measure = Measure {
        field: "a".into(),
        scale: 2,
        never_negative: true,
        figures,
    };
    let plan = Plan {
        index: "i".into(),
        form: Form::Totals(vec![measure]),
    };
    let slices = [(0, 0.5), (1, 0.5)];
    let asked = Asked {
        customer: None,
        key: None,
        query: "q",
        slices: &slices,
        shards: 2,
    };
    let begin = || Merge::begin(&plan, &asked, &PageWish::default(), None, 0).unwrap();
    let said = |count: u64, sum: &str, least: Value, most: Value| {
        json!({"totals": {"a": {"count": count, "sum": sum, "least": least, "most": most}}})
            .to_string()
    };
    let bad = [
        said(2, "0.30", json!("0.20"), json!("0.20")),
        said(1, "0.30", json!("0.10"), json!("0.20")),
        said(2, "0.30", json!("0.20"), json!("0.10")),
        said(0, "0.30", json!(null), json!(null)),
        said(1, "0.30", json!(null), json!(null)),
        said(1, "-0.30", json!("-0.30"), json!("-0.30")),
        said(1, "0.305", json!("0.305"), json!("0.305")),
        said(1, "1e2", json!("1e2"), json!("1e2")),
        said(
            u64::MAX,
            &"9".repeat(28),
            json!(&"9".repeat(28)),
            json!(&"9".repeat(28)),
        ),
        r#"{"totals":{}}"#.to_owned(),
        r#"{"totals":{"a":{"count":-1,"sum":0,"least":null,"most":null}}}"#.to_owned(),
    ];
    for value in bad {
        assert!(
            matches!(begin().take(0, 0, &value), Taken::Unreadable(_)),
            "{value}"
        );
    }
    let mut merge = begin();
    let big = "9999999999999999999999999999";
    assert_eq!(
        merge.take(0, 0, &said(1, big, json!(big), json!(big))),
        Taken::In
    );
    assert_eq!(
        merge.take(1, 0, &said(1, "0.10", json!(0.10), json!("0.1"))),
        Taken::In
    );
    let answer: Value = serde_json::from_slice(&merge.answer(true, None, 0)).unwrap();
    assert_eq!(
        answer["totals"]["a"]["sum"],
        json!({"value": format!("{big}.10"), "is": "exact"})
    );
    assert_eq!(
        answer["totals"]["a"]["mean"]["value"],
        "4999999999999999999999999999.55"
    );
}
