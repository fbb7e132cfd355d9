//! Rows of many shards, each sorted, merged into one page: memory is bounded by the page, not by the data.
//!
//! No more than a page of rows is ever retained. A row that ranks after all of a full page is dropped, and so is
//! the rest of its shard's value, unread: neither can be on this page. What a shard has beyond the last row that
//! is known of it (its *frontier*) is unknown while it says that there is more, so rows that rank after that
//! frontier can't be shown yet.

use std::collections::{BTreeMap, HashMap};

use crate::plan::RowPlan;
use crate::sort_key::SortKey;

/// A row that may be on the page.
struct RetainedRow {
    /// Where it is from.
    sub_request: usize,
    json: Box<str>,
    /// Its value of the distinct field.
    distinct: Option<Box<[u8]>>,
}

/// What a shard has beyond its frontier.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Beyond {
    /// It has not responded.
    NotReceived,
    /// No rows.
    Nothing,
    /// Rows that are not known.
    Unknown,
    /// Rows that rank after a full page, or were dropped from it: they are for a later one.
    AfterPage,
}

/// How far a shard has been read.
struct ShardProgress {
    /// Where this query begins to read it; `None` for its first row.
    start: Option<SortKey>,
    /// The last row that is known of it, shown or not.
    frontier: Option<SortKey>,
    beyond: Beyond,
}

/// A row of a shard's value.
pub(crate) struct Row {
    pub(crate) key: SortKey,
    /// Its value of the distinct field.
    pub(crate) distinct: Option<Box<[u8]>>,
    pub(crate) json: Box<str>,
}

/// The rows of one value, read and found to be sorted.
pub(crate) struct Batch {
    pub(crate) rows: Vec<Row>,
    /// The shard says that rows follow these.
    pub(crate) has_more: bool,
    /// Rows were skipped, as they rank after a full page.
    pub(crate) trimmed: bool,
}

/// A page under construction.
pub(crate) struct PageBuilder<'p> {
    plan: &'p RowPlan,
    limit: usize,
    rows: BTreeMap<SortKey, RetainedRow>,
    /// The row that is retained for each value of the distinct field.
    by_distinct: HashMap<Box<[u8]>, SortKey>,
    /// By the index of the sub-request.
    progress: Vec<ShardProgress>,
}

/// The rows at the front of a page.
#[derive(Default)]
struct ShownRows<'r> {
    /// The rows' JSON.
    rows: Vec<&'r str>,
    /// The position of the last one.
    last: Option<&'r SortKey>,
    /// They were cut off for their length.
    truncated: bool,
}

/// A page as far as it can be shown.
pub(crate) struct VisiblePage<'r> {
    /// The rows' JSON.
    pub(crate) rows: Vec<&'r str>,
    /// Sub-requests that hold the page back: what follows their last row is not known.
    pub(crate) incomplete: Vec<usize>,
    /// The page was cut off for its length.
    pub(crate) truncated: bool,
    /// Where each shard is to be read from for the next page.
    pub(crate) next_positions: Vec<Option<SortKey>>,
    /// There are or may be rows after these in the shards that have responded.
    pub(crate) has_more: bool,
}

impl<'p> PageBuilder<'p> {
    /// A page of at most so many rows, with each shard read from a position on.
    pub(crate) fn new(plan: &'p RowPlan, limit: usize, start: Vec<Option<SortKey>>) -> Self {
        let progress = |start: Option<SortKey>| ShardProgress {
            frontier: start.clone(),
            start,
            beyond: Beyond::NotReceived,
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

    /// The last row that is known of a shard, from which it is to be read on.
    pub(crate) fn frontier(&self, sub_request: usize) -> Option<&SortKey> {
        self.progress[sub_request].frontier.as_ref()
    }

    /// How many rows are retained; never more than the page's limit.
    pub(crate) fn retained_rows(&self) -> usize {
        self.rows.len()
    }

    /// Whether the page is full of rows that rank before this one.
    pub(crate) fn is_beyond(&self, key: &SortKey) -> bool {
        let last = self.rows.last_key_value();
        self.rows.len() >= self.limit && last.is_some_and(|(last, _)| key > last)
    }

    /// Adds what was read of a shard's value.
    pub(crate) fn add(&mut self, sub_request: usize, batch: Batch) {
        let mut trimmed = batch.trimmed;
        for row in batch.rows {
            let key = &row.key;
            self.progress[sub_request].frontier = Some(key.clone());
            if self.rows.contains_key(key) || self.was_shown(sub_request, key) {
                continue;
            }
            if self.is_beyond(key) {
                trimmed = true;
                break;
            }
            self.insert(sub_request, row);
        }
        let progress = &mut self.progress[sub_request];
        if trimmed {
            progress.beyond = Beyond::AfterPage;
        } else if progress.beyond != Beyond::AfterPage {
            progress.beyond = if batch.has_more {
                Beyond::Unknown
            } else {
                Beyond::Nothing
            };
        }
    }

    /// Retains a row, unless one with the same value of the distinct field ranks before it; drops the last row
    /// of a page that has become too long.
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
            self.progress[last.sub_request].beyond = Beyond::AfterPage;
            if let Some(value) = last.distinct {
                self.by_distinct.remove(&value);
            }
        }
    }

    /// Whether the row's value of the distinct field was the last one on the page before.
    fn was_shown(&self, sub_request: usize, key: &SortKey) -> bool {
        if self.plan.distinct.is_none() {
            return false;
        }
        let start = self.progress[sub_request].start.as_ref();
        let shown = start.and_then(|start| self.plan.first_field(start));
        shown.is_some_and(|value| self.plan.first_field(key) == Some(value))
    }

    /// Sub-requests that hold the page back, as long as it is not full before their frontier.
    pub(crate) fn incomplete(&self) -> Vec<usize> {
        let holds_back = |progress: &ShardProgress| {
            let is_full_before = |frontier| self.rows.range(..=frontier).count() >= self.limit;
            progress.beyond == Beyond::Unknown
                && !progress.frontier.as_ref().is_some_and(is_full_before)
        };
        (0..self.progress.len())
            .filter(|&index| holds_back(&self.progress[index]))
            .collect()
    }

    /// The page as far as it is known, within so many bytes.
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
            // No shard holds back a page that is full of bytes.
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

    /// The rows up to a position, if there is one, within so many bytes; but at least one.
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
    /// Where it is to be read from for the next page, given the last row of this one.
    fn next_position(&self, last_shown: Option<&SortKey>) -> Option<SortKey> {
        match self.beyond {
            Beyond::NotReceived => self.start.clone(),
            Beyond::Nothing | Beyond::Unknown | Beyond::AfterPage => {
                self.start.as_ref().max(last_shown).cloned()
            }
        }
    }

    /// Whether it has responded, and there are or may be rows beyond its frontier.
    fn has_more(&self) -> bool {
        match self.beyond {
            Beyond::NotReceived | Beyond::Nothing => false,
            Beyond::Unknown | Beyond::AfterPage => true,
        }
    }
}
