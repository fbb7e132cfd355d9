//! Rows merged a second, beside the obvious way in the same run: parse all, sort, cut.

use std::hint::black_box;
use std::time::Instant;

use linenthread_merge::{Asked, Form, Kind, Marks, Merge, Order, PageWish, Plan, Rows, Taken};
use linenthread_protocol::query::encode_response;
use oorandom::Rand64;
use serde_json::{Value, json};

const PAGE: usize = 100;

/// Values of so many slices with so many rows each, in order.
fn values(slices: usize, rows: usize) -> Vec<String> {
    let mut chance = Rand64::new(11);
    let value = |slice: usize| {
        let mut sums: Vec<(u64, usize)> = (0..rows)
            .map(|n| (chance.rand_range(0..1 << 40), n))
            .collect();
        sums.sort_unstable();
        let row = |(sum, n): &(u64, usize)| json!({"amount": sum, "id": format!("{slice}-{n}"), "note": "a donation"});
        json!({"rows": sums.iter().map(row).collect::<Vec<_>>(), "more": false}).to_string()
    };
    (0..slices).map(value).collect()
}

/// The obvious way, with the same fields read: every row kept, all sorted, the page cut off.
fn collect_sort_cut(values: &[String]) -> (Vec<Value>, usize) {
    let mut all: Vec<(u64, String, Value)> = Vec::new();
    for value in values {
        let mut value: Value = serde_json::from_str(value).unwrap_or_default();
        for row in value["rows"]
            .as_array_mut()
            .map(std::mem::take)
            .unwrap_or_default()
        {
            let id = row["id"].as_str().unwrap_or_default().to_owned();
            all.push((row["amount"].as_u64().unwrap_or_default(), id, row));
        }
    }
    all.sort_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
    let held = all.len();
    (
        all.into_iter().take(PAGE).map(|(_, _, row)| row).collect(),
        held,
    )
}

fn merged(plan: &Plan, values: &[String]) -> (Vec<Value>, usize) {
    let slices: Vec<_> = (0..values.len())
        .map(|s| (s, 1.0 / values.len() as f64))
        .collect();
    let asked = Asked {
        customer: None,
        key: None,
        query: "q",
        slices: &slices,
        shards: values.len(),
    };
    let Ok(mut merge) = Merge::begin(plan, &asked, &PageWish::default(), None, 0) else {
        return Default::default();
    };
    let mut held = 0;
    for (slice, value) in values.iter().enumerate() {
        if merge.take(slice, 0, value) != Taken::In {
            return Default::default();
        }
        held = held.max(merge.held());
    }
    let answer: Value = serde_json::from_slice(&merge.answer(true, None, 0)).unwrap_or_default();
    (answer["rows"].as_array().cloned().unwrap_or_default(), held)
}

fn middle(mut times: Vec<f64>) -> f64 {
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

/// What merging adds to one lookup, in microseconds: eight slices of 20 rows into a page of 20 with its mark,
/// beside writing the eight values into an answer as they came.
fn one_lookup(rounds: usize) -> (f64, f64) {
    let order = vec![Order {
        field: "amount".into(),
        kind: Kind::Decimal(0),
        descending: false,
    }];
    let rows = Rows {
        order,
        identity: "id".into(),
        distinct: None,
        page: 20,
        most: 20,
        pages: true,
    };
    let plan = Plan {
        index: "i".into(),
        form: Form::Rows(rows),
    };
    let Ok(marks) = Marks::new(vec![vec![7; 32]], 900) else {
        return (0.0, 0.0);
    };
    let values = values(8, 20);
    let slices: Vec<_> = (0..8).map(|s| (s, 0.125)).collect();
    let asked = Asked {
        customer: None,
        key: None,
        query: "q",
        slices: &slices,
        shards: 8,
    };
    let (mut merged, mut passed) = (Vec::new(), Vec::new());
    for _ in 0..rounds.max(1) {
        const TIMES: u32 = 2_000;
        let begin = Instant::now();
        for _ in 0..TIMES {
            let Ok(mut merge) = Merge::begin(&plan, &asked, &PageWish::default(), Some(&marks), 0)
            else {
                continue;
            };
            for (slice, value) in values.iter().enumerate() {
                black_box(merge.text(slice));
                black_box(merge.take(slice, 0, value));
                black_box(merge.onward());
            }
            black_box(merge.answer(true, Some(&marks), 0));
        }
        merged.push(begin.elapsed().as_secs_f64() * 1e6 / f64::from(TIMES));
        let begin = Instant::now();
        for _ in 0..TIMES {
            black_box(encode_response(
                true,
                values.iter().enumerate().map(|(s, v)| (s, v.as_str())),
            ));
        }
        passed.push(begin.elapsed().as_secs_f64() * 1e6 / f64::from(TIMES));
    }
    (middle(merged), middle(passed))
}

/// Prints a line a size; a page that differs is a breach.
pub(crate) fn run(rounds: usize) -> (usize, usize) {
    let order = vec![Order {
        field: "amount".into(),
        kind: Kind::Decimal(0),
        descending: false,
    }];
    let rows = Rows {
        order,
        identity: "id".into(),
        distinct: None,
        page: PAGE,
        most: PAGE,
        pages: false,
    };
    let plan = Plan {
        index: "i".into(),
        form: Form::Rows(rows),
    };
    let (mut checked, mut breaches) = (0, 0);
    println!(
        "a page of {PAGE}; rows a second in millions, rows held; medians of {rounds} runs in turn, of one for the largest"
    );
    for slices in [10, 100, 1_000] {
        for each in [100, 10_000] {
            // Ten million rows, each kept as a value, take some gigabytes: once is enough.
            let rounds = if slices * each > 1_000_000 {
                1
            } else {
                rounds.max(1)
            };
            let values = values(slices, each);
            let (mut ours, mut theirs, mut held) = (Vec::new(), Vec::new(), (0, 0));
            for _ in 0..rounds {
                let begin = Instant::now();
                let (page, most) = merged(&plan, &values);
                ours.push(begin.elapsed().as_secs_f64());
                let begin = Instant::now();
                let (other, all) = collect_sort_cut(&values);
                theirs.push(begin.elapsed().as_secs_f64());
                held = (most, all);
                checked += 1;
                breaches += usize::from(page != other || page.len() != PAGE);
            }
            let rate = |time: f64| (slices * each) as f64 / time / 1e6;
            let (ours, theirs) = (middle(ours), middle(theirs));
            println!(
                "{slices:5} slices of {each:5}: merged {:7.2} holding {:4}, collected and sorted {:6.2} holding {:7}; \
                 {:.1} times as fast",
                rate(ours),
                held.0,
                rate(theirs),
                held.1,
                theirs / ours
            );
        }
    }
    let (merged, passed) = one_lookup(rounds);
    println!(
        "one lookup of 8 slices, 20 rows each: merged in {merged:.1} us, passed on in {passed:.1} us"
    );
    (checked, breaches)
}
