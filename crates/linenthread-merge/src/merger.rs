//! The merge of one query: what each shard is asked for, what has been received, and what is reported.
//!
//! A sub-request has a *continuation* number, 0 at first; asking the shard for more begins the next. Transitions:
//!
//! | sub-request | event | next |
//! | --- | --- | --- |
//! | waiting, continuation c | a valid value of continuation c | received |
//! | waiting, continuation c | an invalid one | as before: it has failed, and is reported so if nothing better arrives |
//! | received | a second value of its continuation | compared and dropped: the first one counts |
//! | received | the page lacks its further rows, and all others are received | waiting, continuation c + 1; what it has counts |
//! | any | a value of an earlier continuation | dropped; compared if it is the last one received |

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash as _, Hasher};

use serde_json::json;

use crate::MAX_SHARDS;
use crate::cursor::{self, CursorScope, CursorSigner};
use crate::error::{
    CursorError, InvalidPageSizeSnafu, InvalidPositionSnafu, NoFurtherPagesSnafu, NoPagesSnafu,
    QueryError, TooManyShardsSnafu, ValueError,
};
use crate::groups::{GroupTotals, ShardGroups};
use crate::page::PageBuilder;
use crate::page_reader::read_batch;
use crate::plan::{Aggregation, GroupPlan, Measure, Plan, RowPlan};
use crate::sort_key::SortKey;
use crate::totals::Totals;

/// A shard that is queried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueriedShard {
    /// Its number.
    pub shard: usize,
    /// Its share of the query's weight.
    pub weight: f64,
}

impl From<(usize, f64)> for QueriedShard {
    fn from((shard, weight): (usize, f64)) -> QueriedShard {
        QueriedShard { shard, weight }
    }
}

/// What a client has asked, as far as merging is concerned.
#[derive(Clone, Debug)]
pub struct MergeQuery<'a> {
    /// The customer, if the query names one.
    pub customer: Option<&'a str>,
    /// The key, if the query has one.
    pub key: Option<&'a str>,
    /// The client's text for every shard.
    pub text: &'a str,
    /// The queried shards, in the client's order: each is a sub-request, numbered from 0.
    pub shards: &'a [QueriedShard],
    /// How many shards there are in all.
    pub shard_count: usize,
}

/// Which page is asked for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PageRequest {
    /// Rows on the page; `None` for the plan's default.
    pub rows: Option<usize>,
    /// The cursor in the response before; `None` for the first page.
    pub cursor: Option<String>,
}

/// What became of a shard's value.
#[derive(Clone, Debug, PartialEq)]
pub enum Acceptance {
    /// It counts.
    Counted,
    /// A value of the sub-request was received before, and that one counts.
    Duplicate {
        /// This one is not the same.
        differs: bool,
    },
    /// It cannot be merged: the sub-request has run, and has failed.
    Invalid(ValueError),
}

/// Why a shard is missing from a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum MissingReason {
    /// It has not responded.
    #[default]
    Unanswered,
    /// It failed, or could not be asked.
    Failed,
    /// Its value is not valid.
    Unreadable,
}

/// The value last received of a sub-request.
#[derive(Clone, Copy)]
struct ReceivedValue {
    continuation: u32,
    hash: u64,
}

pub(crate) struct SubRequest {
    pub(crate) shard: usize,
    pub(crate) weight: f64,
    continuation: u32,
    received: Option<ReceivedValue>,
    pub(crate) missing_reason: MissingReason,
}

impl SubRequest {
    pub(crate) fn is_received(&self) -> bool {
        self.received.is_some()
    }

    /// Whether its present continuation has been answered.
    fn is_current(&self) -> bool {
        self.received
            .is_some_and(|received| received.continuation == self.continuation)
    }
}

/// What has been merged so far.
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

/// The merge of one query.
///
/// Its memory is bounded by a page's rows or the groups that may be retained, and a record for each shard.
pub struct Merger<'p> {
    text: String,
    pub(crate) scope: CursorScope,
    pub(crate) sub_requests: Vec<SubRequest>,
    pub(crate) merged: Merged<'p>,
}

impl<'p> Merger<'p> {
    /// Begins a query's merge; cursors are verified by `signer` at this time in seconds since 1970.
    ///
    /// # Errors
    ///
    /// The plan does not provide the page, or the cursor is not valid for this query.
    pub fn new(
        plan: &'p Plan,
        query: &MergeQuery,
        page: &PageRequest,
        signer: Option<&CursorSigner>,
        unix_seconds: u64,
    ) -> Result<Self, QueryError> {
        if query.shards.len() > MAX_SHARDS {
            return TooManyShardsSnafu.fail();
        }
        let scope = cursor_scope(plan, query);
        let merged = match &plan.aggregation {
            Aggregation::Rows(rows) => {
                let limit = page_size(&plan.index, rows, page)?;
                let signer = signer.filter(|_| rows.paginated);
                let start = match (&page.cursor, signer) {
                    (None, _) => vec![None; query.shards.len()],
                    (Some(cursor), Some(signer)) => {
                        start_positions(cursor, signer, rows, query, &scope, unix_seconds)?
                    }
                    (Some(_), None) => {
                        let index = &plan.index;
                        return NoFurtherPagesSnafu { index }.fail();
                    }
                };
                Merged::Rows(PageBuilder::new(rows, limit, start))
            }
            _ if *page != PageRequest::default() => {
                let index = &plan.index;
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
        let sub_request = |queried: &QueriedShard| SubRequest {
            shard: queried.shard,
            weight: queried.weight,
            continuation: 0,
            received: None,
            missing_reason: MissingReason::default(),
        };
        Ok(Merger {
            text: query.text.to_owned(),
            scope,
            sub_requests: query.shards.iter().map(sub_request).collect(),
            merged,
        })
    }

    /// How many times a shard has been asked for more.
    pub fn continuation(&self, sub_request: usize) -> u32 {
        self.sub_requests[sub_request].continuation
    }

    /// What a shard is to be asked now: the client's text, for rows within
    /// `{"query":TEXT,"rows":N,"after":[VALUES,IDENTITY]}`, where `after` is null for the first row.
    pub fn request_text(&self, sub_request: usize) -> String {
        let Merged::Rows(page) = &self.merged else {
            return self.text.clone();
        };
        let frontier = page.frontier(sub_request);
        let after = frontier.and_then(|key| page.plan().position_values(key));
        json!({"query": self.text, "rows": page.limit(), "after": after}).to_string()
    }

    /// Takes in a shard's value, the response to what it was asked in a continuation.
    pub fn accept(&mut self, sub_request: usize, continuation: u32, value: &str) -> Acceptance {
        let state = &self.sub_requests[sub_request];
        if let Some(received) = state.received
            && continuation <= received.continuation
        {
            let differs = continuation == received.continuation && received.hash != hash_of(value);
            return Acceptance::Duplicate { differs };
        }
        if continuation != state.continuation {
            return Acceptance::Duplicate { differs: false };
        }
        match self.merge(sub_request, value) {
            Ok(()) => {
                self.sub_requests[sub_request].received = Some(ReceivedValue {
                    continuation,
                    hash: hash_of(value),
                });
                Acceptance::Counted
            }
            Err(error) => {
                self.sub_requests[sub_request].missing_reason = MissingReason::Unreadable;
                Acceptance::Invalid(error)
            }
        }
    }

    /// Adds a value; nothing of it counts if it is invalid.
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

    /// A sub-request has failed without a value.
    pub fn fail(&mut self, sub_request: usize) {
        self.sub_requests[sub_request].missing_reason = MissingReason::Failed;
    }

    /// Sub-requests whose shards must be asked for more before the page can be complete, each returned once for
    /// a continuation. There are none before all are received: what is still to come may fill the page.
    pub fn take_continuations(&mut self) -> Vec<usize> {
        let Merged::Rows(page) = &self.merged else {
            return Vec::new();
        };
        if !self.sub_requests.iter().all(SubRequest::is_current) {
            return Vec::new();
        }
        let incomplete = page.incomplete();
        for &sub_request in &incomplete {
            self.sub_requests[sub_request].continuation += 1;
        }
        incomplete
    }

    /// The rows that are retained at this moment.
    pub fn retained_rows(&self) -> usize {
        match &self.merged {
            Merged::Rows(page) => page.retained_rows(),
            Merged::Totals { .. } | Merged::Groups { .. } => 0,
        }
    }
}

/// What a cursor of this query is valid for.
fn cursor_scope(plan: &Plan, query: &MergeQuery) -> CursorScope {
    let optional =
        |text: Option<&str>| text.map_or_else(Vec::new, |text| [b"+", text.as_bytes()].concat());
    let shards: Vec<u8> = by_shard(query.shards, |queried| queried.shard)
        .into_iter()
        .flat_map(|index| (query.shards[index].shard as u64).to_be_bytes())
        .collect();
    CursorScope {
        query: cursor::hash(&[
            plan.index.as_bytes(),
            plan.order_fingerprint().as_bytes(),
            &optional(query.customer),
            &optional(query.key),
            query.text.as_bytes(),
        ]),
        shards: cursor::hash(&[&(query.shard_count as u64).to_be_bytes(), &shards]),
    }
}

/// The rows on the page, if the plan permits so many.
fn page_size(index: &str, rows: &RowPlan, page: &PageRequest) -> Result<usize, QueryError> {
    let limit = page.rows.unwrap_or(rows.page_size);
    let max_rows = rows.max_page_size;
    if limit == 0 || limit > max_rows {
        return InvalidPageSizeSnafu { index, max_rows }.fail();
    }
    Ok(limit)
}

/// Where each shard is to be read from, by the index of its sub-request.
fn start_positions(
    cursor: &str,
    signer: &CursorSigner,
    rows: &RowPlan,
    query: &MergeQuery,
    scope: &CursorScope,
    unix_seconds: u64,
) -> Result<Vec<Option<SortKey>>, CursorError> {
    let order = by_shard(query.shards, |queried| queried.shard);
    let positions = signer.verify(cursor, scope, order.len(), unix_seconds)?;
    let mut start = vec![None; order.len()];
    for (index, position) in order.into_iter().zip(positions) {
        start[index] = position;
    }
    let is_invalid = |key: &SortKey| rows.position_values(key).is_none();
    if start.iter().flatten().any(is_invalid) {
        return InvalidPositionSnafu.fail();
    }
    Ok(start)
}

/// The indices of sub-requests in the order of their shards, in which a cursor lists them.
pub(crate) fn by_shard<T>(sub_requests: &[T], shard: impl Fn(&T) -> usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..sub_requests.len()).collect();
    order.sort_by_key(|&index| shard(&sub_requests[index]));
    order
}

fn hash_of(value: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
