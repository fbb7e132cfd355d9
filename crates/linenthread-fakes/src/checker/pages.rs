//! Checks the pages of sorted rows that one client reads.

use std::collections::BTreeMap;

use serde_json::Value;
use snafu::{OptionExt, ensure};

use super::error::{
    AbsentSnafu, CheckError, ContinuationSnafu, NeverShownSnafu, NotBehindSnafu, RowsSnafu,
    ShortPageSnafu, ShownAgainSnafu,
};
use super::shards::{ShardWeight, check_shards, indexes, shard_numbers};
use crate::row_store::{Donation, RowStore, SortKey};

/// A row that a client has not read yet.
struct UnreadRow<'s> {
    shard: usize,
    row: &'s Donation,
}

/// A client that reads a merged index page by page.
#[derive(Clone, Debug)]
pub struct PagedRead {
    shards: Vec<usize>,
    /// The sort key up to which each shard has been read.
    position: BTreeMap<usize, SortKey>,
    /// The ids of the rows shown so far.
    shown: Vec<String>,
}

impl PagedRead {
    /// Returns a client that has read no rows of the query's shards yet.
    pub fn new(shards: &[ShardWeight]) -> Self {
        PagedRead {
            shards: shard_numbers(shards),
            position: BTreeMap::new(),
            shown: Vec::new(),
        }
    }

    /// Returns the unread rows of some shards, in order.
    fn unread<'s>(&self, store: &'s RowStore, shards: &[usize]) -> Vec<UnreadRow<'s>> {
        let rows = |shard: usize| {
            let rows = store.shards[shard].iter();
            rows.map(move |row| UnreadRow { shard, row })
        };
        let mut unread: Vec<_> = shards.iter().flat_map(|&shard| rows(shard)).collect();
        unread.retain(|unread| {
            let position = self.position.get(&unread.shard);
            position.is_none_or(|position| unread.row.sort_key() > *position)
        });
        unread.sort_by_key(|unread| unread.row.sort_key());
        unread
    }

    /// Checks one page with at most `limit` rows, and marks its rows as read.
    ///
    /// # Errors
    ///
    /// If rows are missing or wrong, or the statements on shards, cuts or the next page are wrong.
    ///
    /// # Panics
    ///
    /// If the store does not have one of the query's shards.
    pub fn check_page(
        &mut self,
        store: &RowStore,
        shards: &[ShardWeight],
        floor: f64,
        limit: usize,
        response: &Value,
    ) -> Result<(), CheckError> {
        let included = check_shards(shards, floor, response)?;
        let unread = self.unread(store, &included);
        let rows = response["rows"]
            .as_array()
            .context(AbsentSnafu { name: "rows" })?;
        check_rows(rows, &unread, limit, response)?;
        if let Some(last) = unread.get(..rows.len()).and_then(<[_]>::last) {
            self.advance(&included, &last.row.sort_key());
        }
        self.check_behind(store, &included, response)?;
        self.show(rows)?;
        let goes_on = unread.len() > rows.len() || included.len() < self.shards.len();
        check_continuation(goes_on, response)
    }

    /// Marks all rows of some shards up to a sort key as read.
    fn advance(&mut self, shards: &[usize], last: &SortKey) {
        for &shard in shards {
            let position = self.position.entry(shard).or_insert_with(|| last.clone());
            if *position < *last {
                position.clone_from(last);
            }
        }
    }

    /// Checks that the shards listed as the cause of a cut have more rows.
    fn check_behind(
        &self,
        store: &RowStore,
        included: &[usize],
        response: &Value,
    ) -> Result<(), CheckError> {
        let unread = self.unread(store, included);
        for shard in indexes(&response["cut"]["behind"]) {
            ensure!(
                unread.iter().any(|unread| unread.shard == shard),
                NotBehindSnafu { shard }
            );
        }
        Ok(())
    }

    /// Marks rows as shown; fails if one was shown before.
    fn show(&mut self, rows: &[Value]) -> Result<(), CheckError> {
        for row in rows {
            let id = row["id"].as_str().unwrap_or_default().to_owned();
            ensure!(!self.shown.contains(&id), ShownAgainSnafu { id });
            self.shown.push(id);
        }
        Ok(())
    }

    /// Checks a read that has no next page: every row must have been shown, except those that were added since the read
    /// began.
    ///
    /// # Errors
    ///
    /// If a row was never shown.
    ///
    /// # Panics
    ///
    /// If the store does not have one of the query's shards.
    pub fn check_end(&self, store: &RowStore, added: &[Donation]) -> Result<(), CheckError> {
        let rows = self.shards.iter().flat_map(|&shard| &store.shards[shard]);
        for row in rows.filter(|row| !added.contains(row)) {
            ensure!(
                self.shown.contains(&row.id),
                NeverShownSnafu { id: &row.id }
            );
        }
        Ok(())
    }
}

/// Checks that a page contains the next unread rows, and as many as fit unless it was cut.
fn check_rows(
    rows: &[Value],
    unread: &[UnreadRow],
    limit: usize,
    response: &Value,
) -> Result<(), CheckError> {
    let next = unread.iter().take(rows.len());
    let expected: Vec<Value> = next.map(|unread| unread.row.row()).collect();
    ensure!(
        rows == expected,
        RowsSnafu {
            actual: rows,
            expected
        }
    );
    ensure!(
        !response["cut"].is_null() || rows.len() == limit.min(unread.len()),
        ShortPageSnafu {
            actual: rows.len(),
            available: unread.len()
        }
    );
    Ok(())
}

/// Checks what a page states about the next page.
fn check_continuation(expected: bool, response: &Value) -> Result<(), CheckError> {
    let (goes_on, next) = (&response["goes_on"], &response["next"]);
    ensure!(
        goes_on.as_bool() == Some(expected) && next.is_string() == expected,
        ContinuationSnafu {
            goes_on: goes_on.to_string(),
            next: next.to_string(),
            expected
        }
    );
    Ok(())
}
