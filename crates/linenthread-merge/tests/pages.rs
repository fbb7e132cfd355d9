//! Compares pages of random rows, orders, shards and page sizes with a plain sort of all rows. The seed is fixed, so
//! that every run tests the same cases.

use std::cmp::Ordering;
use std::time::Duration;

use linenthread_core::interface::Completeness;
use linenthread_merge::{
    Acceptance, Aggregation, CursorSigner, FieldType, MergeQuery, Merger, PageRequest, Plan,
    QueriedShard, RowPlan, SortField,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::{Map, Value, json};

/// The lifetime of cursors.
const LIFETIME: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct Row {
    sub_request: usize,
    text: Option<String>,
    units: Option<i64>,
    id: usize,
}

#[derive(Clone, Debug)]
struct Case {
    rows: Vec<Row>,
    shards: usize,
    /// The first sort field: 0 for the text, 1 for the number.
    first: usize,
    /// Whether the text and the number are sorted in descending order.
    descending: [bool; 2],
    page_size: usize,
    /// The maximum number of rows that a shard returns at once.
    max_rows: usize,
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
        // A row that lacks the field comes last.
        (a, b) => b.is_some().cmp(&a.is_some()),
    }
}

impl Case {
    fn plan(&self) -> Plan {
        let sort_field = |field: usize| SortField {
            field: ["t", "n"][field].into(),
            field_type: [FieldType::Text, FieldType::Decimal(2)][field],
            descending: self.descending[field],
        };
        let order = vec![sort_field(self.first), sort_field(1 - self.first)];
        let distinct = self.distinct.then(|| order[0].field.clone());
        let rows = RowPlan {
            order,
            identity: "id".into(),
            distinct,
            page_size: self.page_size,
            max_page_size: 100,
            paginated: true,
        };
        Plan {
            index: "i".into(),
            aggregation: Aggregation::Rows(rows),
        }
    }

    fn compare(&self, a: &Row, b: &Row) -> Ordering {
        let compare_field = |field: usize| match field {
            0 => compare(&a.text, &b.text, self.descending[0]),
            _ => compare(&a.units, &b.units, self.descending[1]),
        };
        compare_field(self.first)
            .then(compare_field(1 - self.first))
            .then(a.id.cmp(&b.id))
    }

    fn same_value(&self, a: &Row, b: &Row) -> bool {
        // Rows that lack the field are distinct.
        match self.first {
            0 => a.text.is_some() && a.text == b.text,
            _ => a.units.is_some() && a.units == b.units,
        }
    }

    /// Returns a shard's value for a request, from its rows among all `sorted` ones.
    fn value(&self, sub_request: usize, request: &str, sorted: &[Row]) -> String {
        let request: Value = serde_json::from_str(request).unwrap();
        let mut rows: Vec<&Row> = sorted
            .iter()
            .filter(|r| r.sub_request == sub_request)
            .collect();
        if let Some(after) = request["after"].as_array() {
            // The position is that of a row, which may be from another shard.
            let last = after.last().unwrap().as_str().unwrap();
            let position = sorted.iter().position(|r| r.json()["id"] == last).unwrap();
            rows.retain(|r| sorted.iter().position(|s| s.id == r.id).unwrap() > position);
        }
        let limit = usize::try_from(request["rows"].as_u64().unwrap()).unwrap();
        let count = self.max_rows.min(limit);
        let returned: Vec<Value> = rows.iter().take(count).map(|r| r.json()).collect();
        json!({"rows": returned, "more": rows.len() > count}).to_string()
    }
}

fn cases() -> impl Strategy<Value = Case> {
    let text = proptest::option::weighted(0.9, "[a-c\u{0}é]{0,2}");
    let units = proptest::option::weighted(0.9, -150_i64..150);
    let row = (0..6_usize, text, units).prop_map(|(sub_request, text, units)| Row {
        sub_request,
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
        |(mut rows, (shards, first, descending, page_size, max_rows, distinct))| {
            rows.iter_mut()
                .enumerate()
                .for_each(|(id, row)| (row.id, row.sub_request) = (id, row.sub_request % shards));
            Case {
                rows,
                shards,
                first,
                descending,
                page_size,
                max_rows,
                distinct,
            }
        },
    )
}

fn signer(byte: u8) -> CursorSigner {
    CursorSigner::new(vec![vec![byte; 32]], LIFETIME).unwrap()
}

fn queried(shard: usize, weight: f64) -> QueriedShard {
    QueriedShard { shard, weight }
}

fn query(shards: &[QueriedShard]) -> MergeQuery<'_> {
    MergeQuery {
        customer: None,
        key: None,
        text: "q",
        shards,
        shard_count: 9,
    }
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
fn successive_pages_contain_all_rows_in_order() {
    let signer = signer(7);
    let run = |case: Case| {
        let plan = case.plan();
        let mut sorted = case.rows.clone();
        sorted.sort_by(|a, b| case.compare(a, b));
        let mut expected: Vec<&Row> = Vec::new();
        for row in &sorted {
            if !case.distinct
                || expected
                    .last()
                    .is_none_or(|last| !case.same_value(last, row))
            {
                expected.push(row);
            }
        }
        let expected: Vec<Value> = expected.into_iter().map(Row::json).collect();
        let shards: Vec<_> = (0..case.shards)
            .map(|index| queried(case.shards - index, 1.0))
            .collect();
        let query = query(&shards);
        let (mut shown, mut cursor) = (Vec::new(), None);
        for page_number in 0.. {
            let page = PageRequest { rows: None, cursor };
            let mut merger = Merger::new(&plan, &query, &page, Some(&signer), 100).unwrap();
            let mut pending: Vec<usize> = (0..case.shards).collect();
            // Shards respond in another order on each page.
            pending.rotate_left(page_number % case.shards);
            while let Some(index) = pending.pop() {
                let value = case.value(index, &merger.request_text(index), &sorted);
                let continuation = merger.continuation(index);
                prop_assert_eq!(
                    merger.accept(index, continuation, &value),
                    Acceptance::Counted
                );
                prop_assert!(merger.retained_rows() <= case.page_size);
                pending.extend(merger.take_continuations());
            }
            let response = merger.response(Completeness::Complete, Some(&signer), 100);
            let response: Value = serde_json::from_slice(&response).unwrap();
            let rows = response["rows"].as_array().unwrap();
            prop_assert!(
                response["cut"].is_null() && response["finished"] == true,
                "{response}"
            );
            prop_assert!(
                rows.len() == case.page_size || response["next"].is_null() || case.distinct,
                "{response}"
            );
            shown.extend(rows.clone());
            match response["next"].as_str() {
                Some(next) => cursor = Some(next.to_owned()),
                None => break,
            }
            prop_assert!(page_number < 100, "the pages do not end");
        }
        prop_assert_eq!(shown, expected);
        Ok(())
    };
    runner(800).run(&cases(), run).unwrap();
}
