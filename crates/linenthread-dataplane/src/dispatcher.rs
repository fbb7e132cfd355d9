//! The dispatcher of a set of backends that are queried together. It owns their decision module, passes it new inputs
//! and carries out its decisions.

mod decisions;
mod pass_through;
mod policy_inputs;
mod query;
mod replica_slots;
mod state;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use linenthread_config::{ResolvedRoute, Settings};
use linenthread_core::interface::{
    AttemptOutcome, AttemptResult, MembershipEntry, MembershipUpdate, NewQuery, NewSubRequest,
    PendingQueries, Phase, ReplicaIndex, TenthMillis,
};
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;

use self::decisions::{Decision, SendAttempt};
use self::query::{AttemptKey, OpenQuery, QueryId, SendSafety, SequenceNumber};
use self::state::State;
use crate::clock;
use crate::counter::Counter;
use crate::pool::{CompletedAttempt, ReplicaPool, ReplicaRequest, ReplicaStatus};
use crate::response::Response;
use crate::retry_quota::RetryQuota;
use crate::transport::Connector;
use crate::usage_counter::UsageCounter;
use crate::zone_indices::ZoneIndices;

/// The shortest timeout of an attempt, in tenths of a millisecond (1 ms).
const MIN_TIMEOUT: TenthMillis = 10;

/// Parameters of a query that do not follow from its route.
#[derive(Clone, Copy)]
pub struct QueryParameters {
    /// Determines which replicas are preferred, so that equal requests reach warm caches.
    pub affinity_key: u64,
    /// The deadline, on the clock of [`crate::clock::now_tenth_millis`].
    pub deadline: TenthMillis,
    /// Priority under load; 0 is the highest.
    pub priority: i64,
}

/// Passes requests to the decision module, and its decisions to the replicas' connection pools.
pub(crate) struct Dispatcher<C: Connector> {
    /// The names of the backends that are queried together; also the order of the sub-requests of each query.
    backends: Rc<[Rc<str>]>,
    state: RefCell<State<C>>,
    /// Signals new inputs for the decision module.
    input_arrived: Notify,
    open_queries: Counter,
    usage: Rc<RefCell<UsageCounter>>,
    /// The sequence number of the newest query.
    last_query: Cell<SequenceNumber>,
}

impl<C: Connector> Dispatcher<C> {
    /// Starts the task that runs the decision module; call it within a `LocalSet`. Each sub-request may be sent up to
    /// `max_attempts` times. Requests that replicas start are recorded in `usage`.
    pub(crate) fn new(
        backends: Rc<[Rc<str>]>,
        max_attempts: usize,
        settings: &Settings,
        seed: u64,
        usage: Rc<RefCell<UsageCounter>>,
    ) -> Rc<Dispatcher<C>> {
        let state = State::new(backends.len(), max_attempts, settings, seed);
        let dispatcher = Rc::new(Dispatcher {
            backends,
            state: RefCell::new(state),
            input_arrived: Notify::new(),
            open_queries: Counter::default(),
            usage,
            last_query: Cell::default(),
        });
        spawn_local(run(dispatcher.clone()));
        dispatcher
    }

    pub(crate) fn sends_to(&self, backend: &Rc<str>) -> bool {
        self.backends.contains(backend)
    }

    /// Sets the quota of this process, and how many retries of it this dispatcher may send per window. The ingress
    /// nodes are what the decision module counts as co-ordinators.
    pub(crate) fn set_retry_quota(&self, quota: &RetryQuota, retries_per_window: f64) {
        self.state.borrow_mut().coordinator.set_retry_quota(
            retries_per_window,
            quota.ingress_index,
            quota.ingress_count,
        );
    }

    /// Notifies the decision module that the process shuts down: all queries must have ended by `shutdown_at`.
    pub(crate) fn shut_down(&self, shutdown_at: TenthMillis) {
        self.state.borrow_mut().inputs.shutdown_at = Some(shutdown_at);
        self.input_arrived.notify_one();
    }

    /// Applies the status of replicas; replicas of other backends are ignored.
    pub(crate) fn update_replicas(&self, pools: &[Rc<ReplicaPool<C>>], zones: &ZoneIndices) {
        let mut state = self.state.borrow_mut();
        let entries: Vec<MembershipEntry> = pools
            .iter()
            .filter_map(|pool| {
                let backend = self
                    .backends
                    .iter()
                    .position(|name| name == pool.backend())?;
                let replica = state.replicas.update(pool, self.last_query.get())?;
                Some(membership_entry(pool, replica, backend, zones))
            })
            .collect();
        if entries.is_empty() {
            return;
        }
        state
            .inputs
            .membership
            .push(MembershipUpdate::Delta(entries));
        state.inputs.zone_routes = Some(zones.routes());
        self.input_arrived.notify_one();
    }

    pub(crate) fn dispatch(
        self: &Rc<Self>,
        request: Rc<ReplicaRequest>,
        resolved: &Rc<ResolvedRoute>,
        parameters: QueryParameters,
    ) -> PendingResponse<C> {
        let (client, response) = oneshot::channel();
        let mut state = self.state.borrow_mut();
        let sequence_number = self.last_query.get().next();
        self.last_query.set(sequence_number);
        let id = QueryId {
            index: state.free_query_index(),
            sequence_number,
        };
        let query = OpenQuery::new(
            sequence_number,
            request,
            resolved.clone(),
            self.backends.len(),
            client,
            self.open_queries.increment(),
        );
        state.open_query(id.index, query);
        self.submit(&mut state, id, resolved, parameters);
        PendingResponse {
            dispatcher: self.clone(),
            query: id,
            response,
        }
    }

    /// Passes a query to the decision module, with one sub-request for each backend. Customers and sub-request weights
    /// are not distinguished here.
    fn submit(
        &self,
        state: &mut State<C>,
        id: QueryId,
        resolved: &ResolvedRoute,
        parameters: QueryParameters,
    ) {
        let kind = policy_inputs::index_config(resolved, parameters.priority);
        let search_index = state.search_index_for(kind);
        state.inputs.queries.push(NewQuery {
            query: id.index,
            search_index,
            customer: 0,
            key: Some(parameters.affinity_key),
            sequence_number: id.sequence_number.0,
            hard_deadline: parameters.deadline,
        });
        let sub_requests = (0..self.backends.len()).map(|shard| NewSubRequest {
            query: id.index,
            shard,
            weight: 1.0,
        });
        state.inputs.sub_requests.extend(sub_requests);
        self.input_arrived.notify_one();
    }

    /// Returns how many queries have not ended, by what they wait for.
    pub(crate) fn pending_queries(&self) -> PendingQueries {
        self.state.borrow().coordinator.pending_queries()
    }

    /// Logs how many queries were abandoned, and frees the indices of departed replicas.
    pub(crate) fn maintain(&self) {
        let mut state = self.state.borrow_mut();
        let abandoned = std::mem::take(&mut state.decisions.abandoned);
        if !abandoned.is_empty() {
            let backend = self.backends.first().map_or("", |backend| backend);
            log::info!(backend = backend, backends = self.backends.len(),
                deadline_exceeded = abandoned.deadline_exceeded,
                shutting_down = abandoned.shutting_down, crash_suspected = abandoned.crash_suspected,
                unanswerable = abandoned.unanswerable, too_slow = abandoned.too_slow,
                saturated = abandoned.saturated; "event=request_abandoned");
        }
        state.free_departed_replicas();
    }

    /// Cancels a query whose client has disconnected.
    fn cancel(&self, query: QueryId) {
        let mut state = self.state.borrow_mut();
        if state.query(query).is_some() {
            state.inputs.cancelled.push(query.index);
            self.input_arrived.notify_one();
        }
    }

    /// Runs one step of the decision module and carries out its decisions. Returns the latest time for the next step.
    fn step(self: &Rc<Self>) -> Option<TenthMillis> {
        let mut state = self.state.borrow_mut();
        for decision in state.decide() {
            match decision {
                Decision::Send(attempt) => self.send(&mut state, &attempt),
                Decision::Respond { query } => state.with_query(query, OpenQuery::complete),
                // The status, 503 or 502, follows from what was sent: see `Response::abandoned`. A rejection only adds
                // the time to retry after.
                Decision::Reject { query, retry_after } => {
                    state.with_query(query, |query| query.abandon(retry_after));
                }
                Decision::Fail { query } => state.with_query(query, |query| query.abandon(None)),
                Decision::Release { query } => state.release_query(query),
                Decision::CloseIdle { replica } => state.replicas.pool(replica).close_idle(),
            }
        }
        state.decisions.wake_at
    }

    /// Sends a sub-request to a replica, unless it must not run twice and an earlier attempt may have run. The
    /// decision module has the same rule; this second guard relies on what was observed on the connections.
    fn send(self: &Rc<Self>, state: &mut State<C>, attempt: &SendAttempt) {
        let Some(query) = state.query_at(attempt.query) else {
            return;
        };
        let registered = query.register_attempt(attempt.sub_request);
        let id = AttemptKey {
            query: QueryId {
                index: attempt.query,
                sequence_number: query.sequence_number,
            },
            sub_request: attempt.sub_request,
            attempt: registered.number,
        };
        if registered.safety == SendSafety::MayRunTwice {
            log::error!(route = query.resolved.route.name; "event=retry_rejected");
            self.report(state, id, AttemptOutcome::NotSent, 0);
            return;
        }
        let request = query.request.clone();
        let pool = state.replicas.pool(attempt.replica).clone();
        let timeout = clock::tenth_millis_to_duration(attempt.timeout.max(MIN_TIMEOUT));
        let dispatcher = self.clone();
        spawn_local(async move {
            let started_at = clock::now_tenth_millis();
            let completed = pool.call(&request, timeout).await;
            dispatcher.on_completed(id, started_at, completed);
        });
    }

    /// Handles the completion of an attempt that was sent at `started_at`.
    fn on_completed(&self, id: AttemptKey, started_at: TenthMillis, completed: CompletedAttempt) {
        let elapsed = clock::now_tenth_millis() - started_at;
        let mut state = self.state.borrow_mut();
        let Some(query) = state.query(id.query) else {
            log::error!(query = id.query.sequence_number.0; "event=orphaned_outcome");
            return;
        };
        let attempt_outcome = completed.outcome.attempt_outcome;
        let started_requests = query.end_attempt(id.sub_request, completed);
        if let (1.., Some(tenant)) = (started_requests, &query.request.tenant) {
            let started_at_instant = clock::from_tenth_millis(started_at);
            self.usage
                .borrow_mut()
                .record(tenant, started_at_instant, started_requests);
        }
        self.report(&mut state, id, attempt_outcome, elapsed);
    }

    /// Reports the end of an attempt to the decision module.
    fn report(
        &self,
        state: &mut State<C>,
        id: AttemptKey,
        attempt_outcome: AttemptOutcome,
        elapsed: TenthMillis,
    ) {
        state.inputs.results.push(AttemptResult {
            query: id.query.index,
            sub_request: id.sub_request,
            attempt: id.attempt,
            outcome: attempt_outcome,
            elapsed,
            queue_depth: None,
        });
        self.input_arrived.notify_one();
    }
}

/// A query whose response is pending.
pub struct PendingResponse<C: Connector> {
    dispatcher: Rc<Dispatcher<C>>,
    query: QueryId,
    response: oneshot::Receiver<Response>,
}

impl<C: Connector> PendingResponse<C> {
    /// Waits for the response.
    pub(crate) async fn response(&mut self) -> Response {
        (&mut self.response)
            .await
            .unwrap_or_else(|_| Response::empty(502))
    }

    /// Cancels the query because the client has disconnected.
    pub(crate) fn cancel(self) {
        self.dispatcher.cancel(self.query);
    }
}

/// Converts the state of a replica to the decision module's form.
fn membership_entry<C: Connector>(
    pool: &ReplicaPool<C>,
    replica: ReplicaIndex,
    backend: usize,
    zones: &ZoneIndices,
) -> MembershipEntry {
    let phase = match pool.status() {
        ReplicaStatus { departed: true, .. } => Phase::Removed,
        ReplicaStatus { draining: true, .. } => Phase::Draining,
        ReplicaStatus { .. } => Phase::Ready,
    };
    MembershipEntry {
        replica,
        id: linenthread_hash::fnv1a_64(pool.id().as_bytes()),
        replica_group: backend,
        zone: zones.index_of(pool.zone()),
        phase,
        started_at: None,
        slow_start_share: None,
    }
}

/// Runs a step of the decision module whenever inputs arrive or the requested wake-up time is reached.
async fn run<C: Connector>(dispatcher: Rc<Dispatcher<C>>) {
    let mut wake_at: Option<TenthMillis> = None;
    loop {
        match wake_at.filter(|_| dispatcher.open_queries.get() > 0) {
            Some(at) => {
                let at = clock::tenth_millis_to_std(at).into();
                let _ = tokio::time::timeout_at(at, dispatcher.input_arrived.notified()).await;
            }
            None => dispatcher.input_arrived.notified().await,
        }
        // A step requests a new wake-up time only after the previous one has passed. Until then it requests none, and
        // the previous request remains valid.
        let next = dispatcher.step();
        wake_at = next.or(wake_at.filter(|at| *at > clock::now_tenth_millis()));
    }
}
