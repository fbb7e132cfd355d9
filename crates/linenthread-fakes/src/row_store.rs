//! The rows of each shard, and the values with which replicas respond to queries on merged indexes.
//!
//! The query `pledges` returns totals of `amount`, `charities` returns totals for each charity, and a query
//! `{"query":..,"rows":N,"after":..}` returns donations: the latest first, then the largest, then by id.
//! The expected contents of a complete response are computed from the full data with the simplest possible code.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use oorandom::Rand64;
use serde_json::{Value, json};

use crate::random::random_index;

/// The deploy file for these indexes. Cursors are signed with the key in `marks.key`.
pub const INSTALLATION: &str = r#"<installation version="1">
  <merging>
    <marks life="900" secret="marks.key"/>
    <rows index="history" page="5" most="100">
      <order field="date" direction="descending"/>
      <order field="amount" kind="decimal" scale="2" direction="descending"/>
      <identity field="id"/>
    </rows>
    <totals index="pledges">
      <measure field="amount" scale="2" negative="no" figures="sum count least most mean"/>
    </totals>
    <groups index="charities" most="3" first="largest">
      <measure field="amount" scale="2" negative="no" figures="sum count"/>
    </groups>
  </merging>
</installation>
"#;

/// A row of the data.
#[derive(Clone, Debug, PartialEq)]
pub struct Donation {
    /// Its unique id.
    pub id: String,
    /// Its date, as `YYYY-MM-DD`.
    pub date: String,
    /// Its amount in hundredths of the currency unit.
    pub cents: i64,
    /// The charity that receives it.
    pub charity: String,
}

/// The sort key of rows: the latest date first, then the largest amount, then the id in ascending order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SortKey {
    /// The date.
    pub date: Reverse<String>,
    /// The amount in hundredths.
    pub cents: Reverse<i64>,
    /// The id.
    pub id: String,
}

fn money(cents: i64) -> String {
    format!("{}.{:02}", cents / 100, cents % 100)
}

impl Donation {
    /// Returns the row as JSON, in the form used by replicas and merged responses.
    pub fn row(&self) -> Value {
        json!({"id": self.id, "date": self.date, "amount": money(self.cents), "charity": self.charity})
    }

    /// Returns the sort key; rows are in ascending order of it.
    pub fn sort_key(&self) -> SortKey {
        SortKey {
            date: Reverse(self.date.clone()),
            cents: Reverse(self.cents),
            id: self.id.clone(),
        }
    }
}

/// The rows of all shards.
#[derive(Clone, Debug, Default)]
pub struct RowStore {
    /// The rows of each shard, sorted by [`Donation::sort_key`].
    pub shards: Vec<Vec<Donation>>,
    last_id: u64,
}

/// The true sum and count of a set of rows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SumAndCount {
    /// The sum in hundredths.
    pub sum: i64,
    /// The number of rows.
    pub count: usize,
}

/// The true totals of a set of shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Totals {
    /// The sum and the count.
    pub sum_and_count: SumAndCount,
    /// The smallest amount in hundredths; `None` without rows.
    pub min: Option<i64>,
    /// The largest amount in hundredths; `None` without rows.
    pub max: Option<i64>,
}

/// Returns the totals of rows, in the form of a replica's response.
fn totals(rows: &[&Donation]) -> Value {
    let cents = || rows.iter().map(|row| row.cents);
    json!({"amount": {"count": rows.len(), "sum": money(cents().sum()),
                      "least": cents().min().map(money), "most": cents().max().map(money)}})
}

/// Parses the sort key after which a page starts, from the field `after` of a sub-request.
fn cursor_key(after: &[Value]) -> SortKey {
    let text = |at: usize| after[at].as_str().unwrap_or_default().to_owned();
    let cents: i64 = text(1).replace('.', "").parse().unwrap_or_default();
    SortKey {
        date: Reverse(text(0)),
        cents: Reverse(cents),
        id: text(2),
    }
}

/// Returns the next page of rows for a query, with at most `max_rows` rows.
fn page(rows: &[Donation], query: &Value, max_rows: usize) -> Value {
    let after = query["after"].as_array().map(|after| cursor_key(after));
    let remaining: Vec<_> = rows
        .iter()
        .filter(|row| after.as_ref().is_none_or(|after| row.sort_key() > *after))
        .collect();
    let requested = query["rows"].as_u64().unwrap_or(0);
    let limit = usize::try_from(requested).map_or(max_rows, |rows| rows.min(max_rows));
    let page: Vec<_> = remaining.iter().take(limit).map(|row| row.row()).collect();
    json!({"rows": page, "more": remaining.len() > limit})
}

/// Returns the totals of each charity.
fn groups(rows: &[Donation]) -> Value {
    let mut by_charity: BTreeMap<&str, Vec<&Donation>> = BTreeMap::new();
    for row in rows {
        by_charity.entry(&row.charity).or_default().push(row);
    }
    let groups: Vec<_> = by_charity
        .iter()
        .map(|(charity, rows)| json!({"of": charity, "totals": totals(rows)}))
        .collect();
    json!({"groups": groups})
}

impl RowStore {
    /// Creates this number of shards with at most `max_rows` random rows each. The ranges of dates and amounts are
    /// small, so that equal ones are common.
    pub fn new(rng: &mut Rand64, shards: usize, max_rows: u64) -> RowStore {
        let mut store = RowStore {
            shards: vec![Vec::new(); shards],
            last_id: 0,
        };
        for shard in 0..shards {
            for _ in 0..rng.rand_range(0..max_rows + 1) {
                store.add_random_row(rng, shard);
            }
        }
        store
    }

    /// Adds a random row to a shard.
    ///
    /// # Panics
    ///
    /// If there is no such shard.
    pub fn add_random_row(&mut self, rng: &mut Rand64, shard: usize) -> Donation {
        self.last_id += 1;
        let charities = ["mensa", "ulivi", "etna", "faro", "ponte", "sale"];
        let donation = Donation {
            id: format!("d{:05}", self.last_id),
            date: format!("2026-11-{:02}", rng.rand_range(1..29)),
            cents: 250 * i64::try_from(rng.rand_range(1..40)).expect("the draw is less than 40"),
            charity: charities[random_index(rng, charities.len())].into(),
        };
        let rows = &mut self.shards[shard];
        rows.push(donation.clone());
        rows.sort_by_key(Donation::sort_key);
        donation
    }

    /// Returns the value with which a replica responds to the text of a sub-request. A page has at most `max_rows`
    /// rows.
    pub fn respond(&self, shard: usize, text: &str, max_rows: usize) -> String {
        let rows = &self.shards[shard];
        let value = match serde_json::from_str::<Value>(text) {
            Ok(query) if query.is_object() => page(rows, &query, max_rows),
            _ if text == "charities" => groups(rows),
            _ => json!({"totals": totals(&rows.iter().collect::<Vec<_>>())}),
        };
        value.to_string()
    }

    fn rows<'s>(&'s self, shards: &'s [usize]) -> impl Iterator<Item = &'s Donation> {
        shards.iter().flat_map(|&shard| &self.shards[shard])
    }

    /// Returns the totals of some shards, computed from the full data.
    pub fn true_totals(&self, shards: &[usize]) -> Totals {
        let cents: Vec<i64> = self.rows(shards).map(|row| row.cents).collect();
        Totals {
            sum_and_count: SumAndCount {
                sum: cents.iter().sum(),
                count: cents.len(),
            },
            min: cents.iter().min().copied(),
            max: cents.iter().max().copied(),
        }
    }

    /// Returns the sum and count for each charity in some shards, computed from the full data.
    pub fn true_groups(&self, shards: &[usize]) -> BTreeMap<String, SumAndCount> {
        let mut groups: BTreeMap<String, SumAndCount> = BTreeMap::new();
        for row in self.rows(shards) {
            let group = groups.entry(row.charity.clone()).or_default();
            group.sum += row.cents;
            group.count += 1;
        }
        groups
    }
}
