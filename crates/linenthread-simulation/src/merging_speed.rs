//! Benchmark of merging rows, compared with a baseline in the same run: parse all rows, sort and truncate. It is a
//! violation if the two return different pages.

use std::hint::black_box;
use std::time::{Duration, Instant};

use linenthread_core::interface::Completeness;
use linenthread_merge::{
    Acceptance, Aggregation, CursorSigner, FieldType, MergeQuery, Merger, PageRequest, Plan,
    QueriedShard, RowPlan, SortField,
};
use linenthread_protocol::query::{ShardValue, encode_response};
use oorandom::Rand64;
use serde_json::{Value, json};

use crate::number;
use crate::run_summary::RunSummary;

/// The number of rows on a page.
const PAGE_SIZE: usize = 100;
/// The number of queries between two readings of the clock.
const QUERIES_PER_ROUND: u32 = 2_000;
/// Larger inputs are merged only once: ten million rows, each kept as a value, take several gigabytes.
const MAX_REPEATED_ROWS: usize = 1_000_000;

/// The rows of a page, and how many rows were retained to determine them.
type PageAndRetained = (Vec<Value>, usize);

/// Returns the response values of `shards` shards, each with `rows` sorted rows.
fn shard_values(shards: usize, rows: usize) -> Vec<String> {
    let mut rng = Rand64::new(11);
    let value = |shard: usize| {
        let mut amounts: Vec<(u64, usize)> =
            (0..rows).map(|n| (rng.rand_range(0..1 << 40), n)).collect();
        amounts.sort_unstable();
        let row = |(amount, n): &(u64, usize)| json!({"amount": amount, "id": format!("{shard}-{n}"), "note": "a donation"});
        json!({"rows": amounts.iter().map(row).collect::<Vec<_>>(), "more": false}).to_string()
    };
    (0..shards).map(value).collect()
}

/// The baseline: keeps every row, sorts all of them and takes the first page. It reads the same fields as the merger.
fn collect_sort_truncate(values: &[String]) -> PageAndRetained {
    let mut all: Vec<(u64, String, Value)> = Vec::new();
    for value in values {
        let mut value: Value = serde_json::from_str(value).unwrap_or_default();
        let rows = value["rows"].as_array_mut().map(std::mem::take);
        for row in rows.unwrap_or_default() {
            let id = row["id"].as_str().unwrap_or_default().to_owned();
            all.push((row["amount"].as_u64().unwrap_or_default(), id, row));
        }
    }
    all.sort_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
    let retained = all.len();
    let page = all.into_iter().take(PAGE_SIZE).map(|(_, _, row)| row);
    (page.collect(), retained)
}

fn merge(plan: &Plan, values: &[String]) -> PageAndRetained {
    let shards = equal_shards(values.len());
    let query = query(&shards);
    let Ok(mut merger) = Merger::new(plan, &query, &PageRequest::default(), None, 0) else {
        return Default::default();
    };
    let mut retained = 0;
    for (index, value) in values.iter().enumerate() {
        if merger.accept(index, 0, value) != Acceptance::Counted {
            return Default::default();
        }
        retained = retained.max(merger.retained_rows());
    }
    let response = merger.response(Completeness::Complete, None, 0);
    let response: Value = serde_json::from_slice(&response).unwrap_or_default();
    let rows = response["rows"].as_array().cloned().unwrap_or_default();
    (rows, retained)
}

fn equal_shards(count: usize) -> Vec<QueriedShard> {
    let weight = 1.0 / number::to_f64(count);
    (0..count)
        .map(|shard| QueriedShard { shard, weight })
        .collect()
}

fn query(shards: &[QueriedShard]) -> MergeQuery<'_> {
    MergeQuery {
        customer: None,
        key: None,
        text: "q",
        shards,
        shard_count: shards.len(),
    }
}

/// Returns a plan that sorts rows by ascending amount.
fn plan(page_size: usize, paginated: bool) -> Plan {
    let order = vec![SortField {
        field: "amount".into(),
        field_type: FieldType::Decimal(0),
        descending: false,
    }];
    Plan {
        index: "i".into(),
        aggregation: Aggregation::Rows(RowPlan {
            order,
            identity: "id".into(),
            distinct: None,
            page_size,
            max_page_size: page_size,
            paginated,
        }),
    }
}

fn median(mut times: Vec<f64>) -> f64 {
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

/// The time of one query, in microseconds.
#[derive(Default)]
struct QueryTimes {
    /// Merging eight shards of 20 rows each into a page of 20 rows with a cursor.
    merged: f64,
    /// Writing the eight values into a response unchanged.
    forwarded: f64,
}

/// Measures a query with merging and with forwarding.
fn measure_query(rounds: usize) -> QueryTimes {
    let plan = plan(20, true);
    let Ok(signer) = CursorSigner::new(vec![vec![7; 32]], Duration::from_secs(900)) else {
        return QueryTimes::default();
    };
    let values = shard_values(8, 20);
    let shards = equal_shards(values.len());
    let query = query(&shards);
    let (mut merge_times, mut forward_times) = (Vec::new(), Vec::new());
    for _ in 0..rounds.max(1) {
        merge_times.push(microseconds_per_call(|| {
            let page = PageRequest::default();
            let Ok(mut merger) = Merger::new(&plan, &query, &page, Some(&signer), 0) else {
                return;
            };
            for (index, value) in values.iter().enumerate() {
                black_box(merger.request_text(index));
                black_box(merger.accept(index, 0, value));
                black_box(merger.take_continuations());
            }
            black_box(merger.response(Completeness::Complete, Some(&signer), 0));
        }));
        forward_times.push(microseconds_per_call(|| {
            let values = values.iter().enumerate();
            let values = values.map(|(shard, value)| ShardValue { shard, value });
            black_box(encode_response(Completeness::Complete, values));
        }));
    }
    QueryTimes {
        merged: median(merge_times),
        forwarded: median(forward_times),
    }
}

fn microseconds_per_call(mut action: impl FnMut()) -> f64 {
    let start = Instant::now();
    for _ in 0..QUERIES_PER_ROUND {
        action();
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(QUERIES_PER_ROUND)
}

/// Measures all sizes and prints a line for each. Each page that differs from the baseline's is a violation.
pub(crate) fn run(rounds: usize) -> RunSummary {
    let (mut checked, mut violations) = (0, 0);
    println!(
        "a page of {PAGE_SIZE}; rows a second in millions, rows retained; medians of {rounds} runs in turn, of one for the largest"
    );
    for shards in [10, 100, 1_000] {
        for rows_per_shard in [100, 10_000] {
            let is_repeated = shards * rows_per_shard <= MAX_REPEATED_ROWS;
            let rounds = if is_repeated { rounds.max(1) } else { 1 };
            checked += rounds;
            violations += compare(shards, rows_per_shard, rounds);
        }
    }
    let QueryTimes { merged, forwarded } = measure_query(rounds);
    println!(
        "one query of 8 shards, 20 rows each: merged in {merged:.1} us, forwarded in {forwarded:.1} us"
    );
    RunSummary {
        checked,
        violations,
    }
}

/// Merges inputs of one size in both ways, prints a line, and returns how many pages differ.
fn compare(shards: usize, rows_per_shard: usize, rounds: usize) -> usize {
    let plan = plan(PAGE_SIZE, false);
    let values = shard_values(shards, rows_per_shard);
    let mut violations = 0;
    let (mut merge_times, mut sort_times) = (Vec::new(), Vec::new());
    let (mut merge_retained, mut sort_retained) = (0, 0);
    for _ in 0..rounds {
        let start = Instant::now();
        let (page, retained) = merge(&plan, &values);
        merge_times.push(start.elapsed().as_secs_f64());
        merge_retained = retained;
        let start = Instant::now();
        let (expected, retained) = collect_sort_truncate(&values);
        sort_times.push(start.elapsed().as_secs_f64());
        sort_retained = retained;
        violations += usize::from(page != expected || page.len() != PAGE_SIZE);
    }
    let million_rows_per_second = |time: f64| number::to_f64(shards * rows_per_shard) / time / 1e6;
    let (merge_time, sort_time) = (median(merge_times), median(sort_times));
    println!(
        "{shards:5} shards of {rows_per_shard:5}: merged {:7.2} retaining {merge_retained:4}, collected and sorted {:6.2} retaining {sort_retained:7}; \
         {:.1} times as fast",
        million_rows_per_second(merge_time),
        million_rows_per_second(sort_time),
        sort_time / merge_time
    );
    violations
}
