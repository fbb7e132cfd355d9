//! Merges the sorted rows of many shards into one page, in memory bounded by the page rather than by the data.
//!
//! No more rows are retained than fit on the page. A row that ranks after all rows of a full page is dropped, and the
//! rest of its shard's value is skipped: none of them can be on this page. The last row known of a shard is its
//! *frontier*. While a shard says that it has more rows, those beyond its frontier are unknown, so rows that rank after
//! the frontier cannot be shown yet.

use std::collections::{BTreeMap, HashMap};

use crate::plan::RowPlan;
use crate::sort_key::SortKey;

/// A row that may be on the page.
struct RetainedRow {
    /// The sub-request in whose value it was received.
    sub_request: usize,
    json: Box<str>,
    /// The value of the distinct field.
    distinct: Option<Box<[u8]>>,
}

/// The rows that a shard has beyond its frontier.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Remaining {
    /// Not known, as the shard has not responded.
    NotReceived,
    /// No rows.
    Exhausted,
    /// Rows that have not been received.
    Unknown,
    /// Rows that rank after a full page or were dropped from it, and belong to a later page.
    AfterPage,
}

/// The progress in reading a shard.
struct ShardProgress {
    /// The position after which this query begins to read; `None` for the first row.
    start: Option<SortKey>,
    /// The last row known of the shard, shown or not.
    frontier: Option<SortKey>,
    remaining: Remaining,
}

/// A row of a shard's value.
pub(crate) struct Row {
    pub(crate) key: SortKey,
    /// The value of the distinct field.
    pub(crate) distinct: Option<Box<[u8]>>,
    pub(crate) json: Box<str>,
}

/// The rows of one value, checked to be sorted.
pub(crate) struct Batch {
    pub(crate) rows: Vec<Row>,
    /// Whether the shard has more rows after these, as it reports.
    pub(crate) has_more: bool,
    /// Rows were skipped because they rank after a full page or exceed its limit.
    pub(crate) trimmed: bool,
}

/// A page under construction.
pub(crate) struct PageBuilder<'p> {
    plan: &'p RowPlan,
    limit: usize,
    rows: BTreeMap<SortKey, RetainedRow>,
    /// The retained row of each value of the distinct field.
    by_distinct: HashMap<Box<[u8]>, SortKey>,
    /// By the index of the sub-request.
    progress: Vec<ShardProgress>,
}

/// The rows at the beginning of a page that can be shown.
#[derive(Default)]
struct ShownRows<'r> {
    /// The rows' JSON.
    rows: Vec<&'r str>,
    /// The position of the last one.
    last: Option<&'r SortKey>,
    /// Further rows were left out because of the limit in bytes.
    truncated: bool,
}

/// The part of a page that can be shown.
pub(crate) struct VisiblePage<'r> {
    /// The rows' JSON.
    pub(crate) rows: Vec<&'r str>,
    /// Sub-requests whose rows beyond their frontier are not known and may belong on this page.
    pub(crate) incomplete: Vec<usize>,
    /// Further rows were left out because of the page's limit in bytes.
    pub(crate) truncated: bool,
    /// The position after which each shard is to be read for the next page; `None` for its first row.
    pub(crate) next_positions: Vec<Option<SortKey>>,
    /// The shards that have responded have, or may have, rows after these.
    pub(crate) has_more: bool,
}

impl<'p> PageBuilder<'p> {
    /// Creates an empty page of at most `limit` rows, with the position after which each shard is read.
    pub(crate) fn new(plan: &'p RowPlan, limit: usize, start: Vec<Option<SortKey>>) -> Self {
        let progress = |start: Option<SortKey>| ShardProgress {
            frontier: start.clone(),
            start,
            remaining: Remaining::NotReceived,
        };
        PageBuilder {
            plan,
            limit: limit.max(1),
            rows: BTreeMap::new(),
            by_distinct: HashMap::new(),
            progress: start.into_iter().map(progress).collect(),
        }
    }

    pub(crate) fn plan(&self) -> &'p RowPlan {
        self.plan
    }

    pub(crate) fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the position of the last row known of a shard, after which reading continues.
    pub(crate) fn frontier(&self, sub_request: usize) -> Option<&SortKey> {
        self.progress[sub_request].frontier.as_ref()
    }

    /// Returns the number of retained rows, at most the page's limit.
    pub(crate) fn retained_rows(&self) -> usize {
        self.rows.len()
    }

    /// Reports whether the page is full of rows that rank before this one.
    pub(crate) fn ranks_after_page(&self, key: &SortKey) -> bool {
        let last = self.rows.last_key_value();
        self.rows.len() >= self.limit && last.is_some_and(|(last, _)| key > last)
    }

    /// Adds the rows read from a shard's value.
    pub(crate) fn add(&mut self, sub_request: usize, batch: Batch) {
        let mut trimmed = batch.trimmed;
        for row in batch.rows {
            let key = &row.key;
            self.progress[sub_request].frontier = Some(key.clone());
            if self.rows.contains_key(key) || self.was_shown(sub_request, key) {
                continue;
            }
            if self.ranks_after_page(key) {
                trimmed = true;
                break;
            }
            self.insert(sub_request, row);
        }
        let progress = &mut self.progress[sub_request];
        if trimmed {
            progress.remaining = Remaining::AfterPage;
        } else if progress.remaining != Remaining::AfterPage {
            progress.remaining = if batch.has_more {
                Remaining::Unknown
            } else {
                Remaining::Exhausted
            };
        }
    }

    /// Retains a row unless one with the same value of the distinct field ranks before it, and drops the last row if
    /// the page then exceeds its limit.
    fn insert(&mut self, sub_request: usize, row: Row) {
        let Row {
            key,
            distinct,
            json,
        } = row;
        if let Some(value) = &distinct {
            match self.by_distinct.get(value) {
                Some(earlier) if *earlier < key => return,
                Some(later) => drop(self.rows.remove(later)),
                None => {}
            }
            self.by_distinct.insert(value.clone(), key.clone());
        }
        let retained = RetainedRow {
            sub_request,
            json,
            distinct,
        };
        self.rows.insert(key, retained);
        if self.rows.len() > self.limit
            && let Some((_, last)) = self.rows.pop_last()
        {
            self.progress[last.sub_request].remaining = Remaining::AfterPage;
            if let Some(value) = last.distinct {
                self.by_distinct.remove(&value);
            }
        }
    }

    /// Reports whether the last row of the previous page has the same value of the distinct field.
    fn was_shown(&self, sub_request: usize, key: &SortKey) -> bool {
        if self.plan.distinct.is_none() {
            return false;
        }
        let start = self.progress[sub_request].start.as_ref();
        let shown = start.and_then(|start| self.plan.first_field(start));
        shown.is_some_and(|value| self.plan.first_field(key) == Some(value))
    }

    /// Returns the sub-requests whose rows beyond their frontier are not known and may belong on this page: it is not
    /// full up to their frontier.
    pub(crate) fn incomplete(&self) -> Vec<usize> {
        let is_incomplete = |progress: &ShardProgress| {
            let is_full_up_to = |frontier| self.rows.range(..=frontier).count() >= self.limit;
            progress.remaining == Remaining::Unknown
                && !progress.frontier.as_ref().is_some_and(is_full_up_to)
        };
        (0..self.progress.len())
            .filter(|&index| is_incomplete(&self.progress[index]))
            .collect()
    }

    /// Returns the part of the page that is known, within `max_bytes`.
    pub(crate) fn visible(&self, max_bytes: usize) -> VisiblePage<'_> {
        let incomplete = self.incomplete();
        let bound = incomplete
            .iter()
            .filter_map(|&sub_request| self.frontier(sub_request))
            .min();
        let shown = self.rows_up_to(bound, max_bytes);
        let has_more =
            shown.rows.len() < self.rows.len() || self.progress.iter().any(ShardProgress::has_more);
        VisiblePage {
            // A page that has reached its limit in bytes waits for no shard.
            incomplete: if shown.truncated {
                Vec::new()
            } else {
                incomplete
            },
            truncated: shown.truncated,
            next_positions: self
                .progress
                .iter()
                .map(|shard| shard.next_position(shown.last))
                .collect(),
            has_more,
            rows: shown.rows,
        }
    }

    /// Returns the rows up to and including the position `bound`, if given, within `max_bytes`; the first row is
    /// returned even if it exceeds that.
    fn rows_up_to(&self, bound: Option<&SortKey>, max_bytes: usize) -> ShownRows<'_> {
        let known = self
            .rows
            .iter()
            .take_while(|(key, _)| bound.is_none_or(|bound| *key <= bound));
        let mut shown = ShownRows::default();
        let mut remaining_bytes = max_bytes;
        for (key, row) in known {
            // A comma follows each row.
            let bytes = row.json.len() + 1;
            if bytes > remaining_bytes && !shown.rows.is_empty() {
                shown.truncated = true;
                break;
            }
            remaining_bytes = remaining_bytes.saturating_sub(bytes);
            shown.rows.push(&row.json);
            shown.last = Some(key);
        }
        shown
    }
}

impl ShardProgress {
    /// Returns the position after which to read for the next page, given the last row of this one.
    fn next_position(&self, last_shown: Option<&SortKey>) -> Option<SortKey> {
        match self.remaining {
            Remaining::NotReceived => self.start.clone(),
            Remaining::Exhausted | Remaining::Unknown | Remaining::AfterPage => {
                self.start.as_ref().max(last_shown).cloned()
            }
        }
    }

    /// Reports whether the shard has responded and has, or may have, rows after this page.
    fn has_more(&self) -> bool {
        match self.remaining {
            Remaining::NotReceived | Remaining::Exhausted => false,
            Remaining::Unknown | Remaining::AfterPage => true,
        }
    }
}
