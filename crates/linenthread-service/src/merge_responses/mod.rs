//! Collects the responses to a query's sub-requests and builds the body of the query's response: the values unchanged,
//! or merged according to the plan of the index.

mod anomalies;
mod plans;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use linenthread_core::interface::{AttemptOutcome, Completeness, SubRequestIndex};
use linenthread_merge::{
    Acceptance, CursorSigner, MergeQuery, Merger, PageRequest, QueriedShard, QueryError,
};
use linenthread_protocol::query::{self as protocol, Page, Query, ShardValue};

pub(crate) use anomalies::{Anomalies, ResponseSource};
pub use plans::MergePlans;

/// Returns the seconds since the Unix epoch, which bound the lifetime of cursors.
fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}

/// State of response merging that is shared between queries.
#[derive(Default)]
pub(crate) struct ResponseMerging {
    /// Replaced as a whole when the installation file is reloaded; a query in progress keeps the plans that were in use
    /// when it started.
    pub plans: RefCell<Rc<MergePlans>>,
    pub anomalies: Anomalies,
}

/// The request of one attempt at a sub-request.
pub(crate) struct AttemptRequest {
    /// The number of earlier continuations of the sub-request.
    pub continuation: u32,
    pub text: Rc<str>,
}

/// The response of one attempt.
pub(crate) struct AttemptResponse {
    pub sub_request: SubRequestIndex,
    /// The number of earlier continuations of the sub-request.
    pub continuation: u32,
    pub outcome: AttemptOutcome,
    /// Empty unless the attempt succeeded.
    pub value: String,
}

/// Collects the responses to the sub-requests of one query.
pub(crate) enum ResponseCollector<'a> {
    /// The first value of each sub-request, unchanged.
    Unmerged(Vec<Option<String>>),
    Merged {
        merger: Merger<'a>,
        signer: Option<&'a CursorSigner>,
        anomalies: &'a Anomalies,
    },
}

impl<'a> ResponseCollector<'a> {
    /// Creates a collector for a query of an index. `page` is used only if the index is merged.
    ///
    /// # Errors
    ///
    /// Returns an error if the page cannot be served.
    pub(crate) fn new(
        plans: &'a MergePlans,
        anomalies: &'a Anomalies,
        index: usize,
        shard_count: usize,
        query: &Query,
        page: &Page,
    ) -> Result<Self, QueryError> {
        let Some(plan) = plans.plan(index) else {
            return Ok(ResponseCollector::Unmerged(vec![
                None;
                query.sub_requests.len()
            ]));
        };
        let shards: Vec<_> = query
            .sub_requests
            .iter()
            .map(|sub_request| QueriedShard {
                shard: sub_request.shard,
                weight: sub_request.weight,
            })
            .collect();
        let merge_query = MergeQuery {
            customer: query.customer.as_deref(),
            key: query.key.as_deref(),
            text: &query.body,
            shards: &shards,
            shard_count,
        };
        let page = PageRequest {
            rows: page.rows,
            cursor: page.cursor.clone(),
        };
        let signer = plans.signer.as_ref();
        let merger = Merger::new(plan, &merge_query, &page, signer, unix_seconds())?;
        Ok(ResponseCollector::Merged {
            merger,
            signer,
            anomalies,
        })
    }

    /// Returns the request for the next attempt at a sub-request; `text` is the text of the query.
    pub(crate) fn next_request(
        &self,
        sub_request: SubRequestIndex,
        text: &Rc<str>,
    ) -> AttemptRequest {
        match self {
            ResponseCollector::Unmerged(_) => AttemptRequest {
                continuation: 0,
                text: text.clone(),
            },
            ResponseCollector::Merged { merger, .. } => AttemptRequest {
                continuation: merger.continuation(sub_request.0),
                text: merger.request_text(sub_request.0).into(),
            },
        }
    }

    /// Records a response and returns the attempt's outcome, which is an error if the value cannot be merged.
    pub(crate) fn record(
        &mut self,
        response: AttemptResponse,
        source: impl Fn() -> ResponseSource,
    ) -> AttemptOutcome {
        let AttemptResponse {
            sub_request,
            continuation,
            outcome,
            value,
        } = response;
        let (merger, anomalies) = match self {
            ResponseCollector::Unmerged(values) => {
                if outcome == AttemptOutcome::Success {
                    values[sub_request.0].get_or_insert(value);
                }
                return outcome;
            }
            ResponseCollector::Merged {
                merger, anomalies, ..
            } => (merger, anomalies),
        };
        if outcome != AttemptOutcome::Success {
            merger.fail(sub_request.0);
            return outcome;
        }
        match merger.accept(sub_request.0, continuation, &value) {
            Acceptance::Counted | Acceptance::Duplicate { differs: false } => outcome,
            Acceptance::Duplicate { differs: true } => {
                anomalies.on_differing(source);
                outcome
            }
            Acceptance::Invalid(error) => {
                anomalies.on_invalid(&error.to_string(), source);
                AttemptOutcome::Error
            }
        }
    }

    /// Returns the sub-requests that need a continuation; each continuation is returned only once.
    pub(crate) fn take_continuations(&mut self) -> Vec<SubRequestIndex> {
        match self {
            ResponseCollector::Unmerged(_) => Vec::new(),
            ResponseCollector::Merged { merger, .. } => {
                let continued = merger.take_continuations().into_iter();
                continued.map(SubRequestIndex).collect()
            }
        }
    }

    /// Builds the body of the query's response from the values received so far.
    pub(crate) fn response(&self, completeness: Completeness, query: &Query) -> Vec<u8> {
        match self {
            ResponseCollector::Unmerged(values) => {
                let sub_requests = query.sub_requests.iter();
                let found = sub_requests.zip(values).filter_map(|(sub_request, value)| {
                    Some(ShardValue {
                        shard: sub_request.shard,
                        value: value.as_deref()?,
                    })
                });
                protocol::encode_response(completeness, found)
            }
            ResponseCollector::Merged { merger, signer, .. } => {
                merger.response(completeness, *signer, unix_seconds())
            }
        }
    }
}
