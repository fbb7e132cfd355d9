//! Merges the values that the shards return for one query.
//!
//! [`SubRequest`] has the state of each shard.

use serde_json::json;
use snafu::{OptionExt, ensure};

use crate::MAX_SHARDS;
use crate::cursor::{CursorScope, CursorSigner};
use crate::error::{
    CursorError, InvalidPageSizeSnafu, InvalidPositionSnafu, NoFurtherPagesSnafu, NoPagesSnafu,
    QueryError, TooManyShardsSnafu, ValueError,
};
use crate::groups::{GroupTotals, ShardGroups};
use crate::page::PageBuilder;
use crate::page_reader::read_batch;
use crate::plan::{Aggregation, GroupPlan, Measure, Plan, RowPlan};
use crate::query::{MergeQuery, PageRequest, QueriedShard, by_shard};
use crate::sort_key::SortKey;
use crate::sub_request::{MissingReason, SubRequest, ValueKind};
use crate::totals::Totals;

/// The result of [`Merger::accept`].
#[derive(Clone, Debug, PartialEq)]
pub enum Acceptance {
    /// The value was merged.
    Counted,
    /// The value was dropped, as its continuation is not waiting for one.
    Duplicate {
        /// It differs from the value that was merged for its continuation, as far as that is still known.
        differs: bool,
    },
    /// The value cannot be merged: the sub-request was executed, and counts as failed.
    Invalid(ValueError),
}

/// The values merged so far.
pub(crate) enum Merged<'p> {
    Totals {
        measures: &'p [Measure],
        totals: Totals,
    },
    Groups {
        plan: &'p GroupPlan,
        groups: GroupTotals,
    },
    Rows(PageBuilder<'p>),
}

/// The merge of the values of one query.
///
/// Its memory is bounded by the rows of a page, or the groups that may be retained, and a record for each shard.
pub struct Merger<'p> {
    text: String,
    pub(crate) scope: CursorScope,
    pub(crate) sub_requests: Vec<SubRequest>,
    pub(crate) merged: Merged<'p>,
}

impl<'p> Merger<'p> {
    /// Begins the merge of a query. A cursor is verified by `signer` at the time `unix_seconds`, in seconds since 1970.
    ///
    /// # Errors
    ///
    /// There are too many shards, the plan does not provide the page, or the cursor is not valid for this query.
    pub fn new(
        plan: &'p Plan,
        query: &MergeQuery,
        page: &PageRequest,
        signer: Option<&CursorSigner>,
        unix_seconds: u64,
    ) -> Result<Self, QueryError> {
        ensure!(query.shards.len() <= MAX_SHARDS, TooManyShardsSnafu);
        let index = &plan.index;
        let scope = query.cursor_scope(plan);
        let has_page = *page != PageRequest::default();
        let merged = match &plan.aggregation {
            Aggregation::Rows(rows) => {
                let limit = page_size(index, rows, page)?;
                let start = match &page.cursor {
                    None => vec![None; query.shards.len()],
                    Some(cursor) => {
                        let signer = signer
                            .filter(|_| rows.paginated)
                            .context(NoFurtherPagesSnafu { index })?;
                        let shards = query.shards.len();
                        let positions = signer.verify(cursor, &scope, shards, unix_seconds)?;
                        start_positions(positions, rows, query.shards)?
                    }
                };
                Merged::Rows(PageBuilder::new(rows, limit, start))
            }
            Aggregation::Totals(_) | Aggregation::Groups(_) if has_page => {
                return NoPagesSnafu { index }.fail();
            }
            Aggregation::Totals(measures) => Merged::Totals {
                measures,
                totals: Totals::zero(measures),
            },
            Aggregation::Groups(plan) => Merged::Groups {
                plan,
                groups: GroupTotals::new(plan),
            },
        };
        Ok(Merger {
            text: query.text.to_owned(),
            scope,
            sub_requests: query.shards.iter().copied().map(SubRequest::new).collect(),
            merged,
        })
    }

    /// Returns the number of times that a shard has been asked for more.
    ///
    /// # Panics
    ///
    /// If the query has no such sub-request, as with the other methods that take one.
    pub fn continuation(&self, sub_request: usize) -> u32 {
        self.sub_requests[sub_request].continuation()
    }

    /// Returns the text to send to a shard now: the client's text or, for rows,
    /// `{"query":TEXT,"rows":N,"after":[VALUES,IDENTITY]}`, where `after` is null for the first row.
    pub fn request_text(&self, sub_request: usize) -> String {
        let Merged::Rows(page) = &self.merged else {
            return self.text.clone();
        };
        let frontier = page.frontier(sub_request);
        let after = frontier.and_then(|key| page.plan().position_values(key));
        json!({"query": self.text, "rows": page.limit(), "after": after}).to_string()
    }

    /// Merges a shard's value, if it answers the current continuation and is valid. `continuation` is the one in which
    /// the shard was asked.
    pub fn accept(&mut self, sub_request: usize, continuation: u32, value: &str) -> Acceptance {
        match self.sub_requests[sub_request].classify(continuation, value) {
            ValueKind::Duplicate { differs } => Acceptance::Duplicate { differs },
            ValueKind::Expected => match self.merge(sub_request, value) {
                Ok(()) => {
                    self.sub_requests[sub_request].on_received(value);
                    Acceptance::Counted
                }
                Err(error) => {
                    self.sub_requests[sub_request].on_failed(MissingReason::Unreadable);
                    Acceptance::Invalid(error)
                }
            },
        }
    }

    /// Adds a value; an invalid one changes nothing.
    fn merge(&mut self, sub_request: usize, value: &str) -> Result<(), ValueError> {
        match &mut self.merged {
            Merged::Totals { measures, totals } => totals.add(&Totals::parse(value, measures)?),
            Merged::Groups { plan, groups } => groups.add(ShardGroups::parse(value, plan)?, plan),
            Merged::Rows(page) => {
                let batch = read_batch(page, sub_request, value)?;
                page.add(sub_request, batch);
            }
        }
        Ok(())
    }

    /// Records that a sub-request has failed without a value.
    pub fn fail(&mut self, sub_request: usize) {
        self.sub_requests[sub_request].on_failed(MissingReason::Failed);
    }

    /// Returns the sub-requests whose shards must be asked for more to complete the page, and begins a continuation of
    /// each. Returns none while any sub-request is unanswered, since the values that are still missing may fill the
    /// page.
    pub fn take_continuations(&mut self) -> Vec<usize> {
        let Merged::Rows(page) = &self.merged else {
            return Vec::new();
        };
        if !self.sub_requests.iter().all(SubRequest::is_current) {
            return Vec::new();
        }
        let incomplete = page.incomplete();
        for &sub_request in &incomplete {
            self.sub_requests[sub_request].begin_continuation();
        }
        incomplete
    }

    /// Returns the number of rows that are retained now; 0 unless rows are merged.
    pub fn retained_rows(&self) -> usize {
        match &self.merged {
            Merged::Rows(page) => page.retained_rows(),
            Merged::Totals { .. } | Merged::Groups { .. } => 0,
        }
    }
}

/// Returns the maximum number of rows on the page, if the plan permits it.
fn page_size(index: &str, rows: &RowPlan, page: &PageRequest) -> Result<usize, QueryError> {
    let limit = page.rows.unwrap_or(rows.page_size);
    let max_rows = rows.max_page_size;
    if limit == 0 || limit > max_rows {
        return InvalidPageSizeSnafu { index, max_rows }.fail();
    }
    Ok(limit)
}

/// Reorders a cursor's positions, which are in the order of the shards, into the order of the sub-requests.
fn start_positions(
    positions: Vec<Option<SortKey>>,
    rows: &RowPlan,
    shards: &[QueriedShard],
) -> Result<Vec<Option<SortKey>>, CursorError> {
    let is_valid = |key: &SortKey| rows.position_values(key).is_some();
    ensure!(
        positions.iter().flatten().all(is_valid),
        InvalidPositionSnafu
    );
    let mut start = vec![None; shards.len()];
    let order = by_shard(shards, |queried| queried.shard);
    for (index, position) in order.into_iter().zip(positions) {
        start[index] = position;
    }
    Ok(start)
}
