//! One query, from its submission until none of its attempts is in flight: [`run`] submits it to the coordinator
//! driver, and its task performs the decisions that the driver sends.

mod pending_attempts;
mod task;

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

use linenthread_merge::QueryError;
use linenthread_protocol::query::{Page, Query};
use linenthread_terms::ClusterConfig;
use tokio::sync::{mpsc, oneshot};

use crate::coordinator_driver::{CoordinatorDriver, QuerySubmission, SubmittedQuery};
use crate::merge_responses::{ResponseCollector, ResponseMerging};
use crate::transports::Transports;
use pending_attempts::PendingAttempts;
use task::QueryTask;

/// The outcome of a query, as its client receives it.
#[derive(Debug)]
pub(crate) enum QueryOutcome {
    /// The body of the response.
    Success(Vec<u8>),
    /// The query was rejected and may be retried, after `retry_after_ms` if that is given.
    Rejected { retry_after_ms: Option<f64> },
    /// The query has failed.
    Failed,
    /// Another query with the same id is open.
    DuplicateId,
    /// The requested page cannot be served.
    Invalid(QueryError),
}

/// State that the tasks of all queries share.
pub(crate) struct QueryContext {
    pub driver: CoordinatorDriver,
    pub transports: Transports,
    pub cluster: ClusterConfig,
    /// Whether a query's attempts are cancelled when its client disconnects.
    pub sends_cancellations: bool,
    pub merging: ResponseMerging,
    /// The value of a query by its search index, in thousandths.
    pub priorities: Vec<u32>,
    /// The ids of open queries, each removed by its [`OpenId`].
    pub open_ids: RefCell<HashSet<String>>,
}

/// The id of an open query. Dropping it releases the id.
struct OpenId<'a> {
    context: &'a QueryContext,
    id: &'a str,
}

impl<'a> OpenId<'a> {
    /// Reserves the id; returns `None` if a query with this id is open, as the ids of sub-requests derive from it.
    fn reserve(context: &'a QueryContext, id: &'a str) -> Option<Self> {
        let is_new = context.open_ids.borrow_mut().insert(id.to_owned());
        is_new.then(|| OpenId { context, id })
    }
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        self.context.open_ids.borrow_mut().remove(self.id);
    }
}

/// A query that a frontend has decoded and checked against the deployment.
pub(crate) struct QueryRequest {
    pub query: Query,
    pub submission: QuerySubmission,
    /// The requested page, used if responses from the index are merged.
    pub page: Page,
}

/// Runs a query to its end. `client` receives its only outcome; dropping the receiver cancels the query.
pub(crate) async fn run(
    context: Rc<QueryContext>,
    request: QueryRequest,
    client: oneshot::Sender<QueryOutcome>,
) {
    let plans = context.merging.plans.borrow().clone();
    let QueryRequest {
        query,
        submission,
        page,
    } = request;
    let responses = ResponseCollector::new(
        &plans,
        &context.merging.anomalies,
        submission.index,
        context.cluster.shard_count,
        &query,
        &page,
    );
    let responses = match responses {
        Ok(responses) => responses,
        Err(error) => return drop(client.send(QueryOutcome::Invalid(error))),
    };
    let priority = context.priorities.get(submission.index).copied();
    let Some(_open_id) = OpenId::reserve(&context, &query.id) else {
        return drop(client.send(QueryOutcome::DuplicateId));
    };
    let SubmittedQuery {
        query: index,
        decisions,
    } = context.driver.submit(submission);
    let (outcomes, finished_attempts) = mpsc::unbounded_channel();
    let task = QueryTask {
        context: &context,
        index,
        text: query.body.as_str().into(),
        priority: priority.unwrap_or_default(),
        attempt_counts: vec![0; query.sub_requests.len()],
        query: &query,
        responses,
        pending: PendingAttempts::new(&context, index),
        outcomes,
        client: Some(client),
    };
    task.run(decisions, finished_attempts).await;
}
