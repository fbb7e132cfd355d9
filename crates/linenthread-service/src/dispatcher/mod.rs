//! Runs the coordinator: collects its inputs, steps it, and passes each decision to the task of its query.

mod membership;
mod replica_indices;

use std::cell::RefCell;
use std::rc::Rc;

use linenthread_core::interface::{
    AttemptOutcome, AttemptResult, Completeness, Continuation, Inputs, MembershipEntry,
    MembershipUpdate, NewQuery, NewSubRequest, ProbeResult, QueryIndex, ReplicaIndex, SearchIndex,
    SubRequestIndex, TenthMillis,
};
use linenthread_core::{Coordinator, DecisionSink};
use linenthread_link::Member;
use linenthread_protocol::membership::MembershipList;
use linenthread_zones::{Report, RoutingTable, Topology};
use tokio::sync::{Notify, mpsc};
use tokio::time::sleep_until;
use tracing::warn;

use crate::clock::Clock;
use crate::config::Config;
use crate::transports::Transports;
use crate::transports::link::LinkEvent;
use crate::zone_routing::ZoneRouting;
use membership::Membership;

/// A decision on one query.
#[derive(Debug)]
pub(crate) enum Decision {
    /// Make the next attempt at a sub-request.
    Send {
        sub_request: usize,
        replica: usize,
        timeout: TenthMillis,
    },
    Cancel {
        sub_request: usize,
        attempt: usize,
    },
    /// Answer with what has arrived: `complete` where that is all.
    Respond {
        complete: bool,
    },
    Reject {
        retry_after: Option<TenthMillis>,
    },
    Fail,
}

/// A query to be submitted, checked against the deployment.
pub(crate) struct QuerySubmission {
    pub index: usize,
    pub customer: usize,
    pub key: Option<u64>,
    pub sequence_number: u64,
    /// The time to its hard deadline.
    pub expires_in: TenthMillis,
    /// Shards and weights.
    pub sub_requests: Vec<(usize, f64)>,
}

/// An open query.
struct OpenQuery {
    decisions: mpsc::UnboundedSender<Decision>,
    /// How many queries were submitted before it.
    submitted_before: u64,
}

struct State {
    coordinator: Coordinator,
    /// The inputs of the next step.
    inputs: Inputs,
    /// By the query's number; a query's task ends when its entry is dropped.
    queries: Vec<Option<OpenQuery>>,
    /// Numbers of queries that are free.
    free_queries: Vec<usize>,
    /// Queries submitted so far.
    submitted: u64,
    membership: Membership,
    wake_at: Option<TenthMillis>,
    /// Zones that the fleet decides on in common, if there are any.
    zones: Option<ZoneRouting>,
}

struct Inner {
    clock: Clock,
    state: RefCell<State>,
    /// There are inputs for a step.
    has_input: Notify,
    /// The coordinator wants the service discovery to be asked.
    membership_requested: Notify,
    /// The service discovery's list has changed.
    local_changed: Notify,
    transports: Transports,
}

/// The coordinator with its clock and its inputs, shared by all tasks.
#[derive(Clone)]
pub(crate) struct Dispatcher(Rc<Inner>);

/// Passes the decisions of one step on.
struct StepDecisions<'a> {
    dispatcher: &'a Dispatcher,
    queries: &'a mut Vec<Option<OpenQuery>>,
    free_queries: &'a mut Vec<usize>,
    membership: &'a mut Membership,
    wake_at: &'a mut Option<TenthMillis>,
}

impl StepDecisions<'_> {
    fn pass_on(&self, query: usize, decision: Decision) {
        if let Some(Some(open)) = self.queries.get(query) {
            open.decisions.send(decision).ok();
        }
    }
}

impl DecisionSink for StepDecisions<'_> {
    fn send(
        &mut self,
        query: QueryIndex,
        sub_request: SubRequestIndex,
        replica: ReplicaIndex,
        timeout: TenthMillis,
    ) {
        let decision = Decision::Send {
            sub_request: sub_request.0,
            replica: replica.0,
            timeout,
        };
        self.pass_on(query.0, decision);
    }

    fn cancel(&mut self, query: QueryIndex, sub_request: SubRequestIndex, attempt: usize) {
        let decision = Decision::Cancel {
            sub_request: sub_request.0,
            attempt,
        };
        self.pass_on(query.0, decision);
    }

    fn respond(&mut self, query: QueryIndex, completeness: Completeness) {
        let complete = completeness == Completeness::Complete;
        self.pass_on(query.0, Decision::Respond { complete });
    }

    fn reject(&mut self, query: QueryIndex, retry_after: Option<TenthMillis>) {
        self.pass_on(query.0, Decision::Reject { retry_after });
    }

    fn fail(&mut self, query: QueryIndex) {
        self.pass_on(query.0, Decision::Fail);
    }

    fn release(&mut self, QueryIndex(query): QueryIndex) {
        let open = self.queries.get_mut(query).and_then(Option::take);
        if open.is_some() {
            self.free_queries.push(query);
        }
    }

    fn probe(&mut self, ReplicaIndex(replica): ReplicaIndex) {
        self.membership.replicas.start_probe(replica);
        actix_rt::spawn(self.dispatcher.clone().probe(replica));
    }

    fn close_idle(&mut self, ReplicaIndex(replica): ReplicaIndex) {
        self.dispatcher.0.transports.close_idle(replica);
    }

    fn watch_membership(&mut self) {
        self.dispatcher.0.membership_requested.notify_one();
    }

    fn wake_at(&mut self, at: TenthMillis) {
        *self.wake_at = Some(at);
    }
}

impl Dispatcher {
    /// `zones` makes the state of the fleet's zones from the zones' names in their order: those that the settings
    /// name, then the further `zone_names` of the operators' file.
    pub(crate) fn new(
        config: &Config,
        transports: Transports,
        zone_names: &[String],
        zones: impl FnOnce(&[String]) -> Option<ZoneRouting>,
    ) -> Self {
        let mut all_zone_names = config.cluster.zone_names.clone();
        let further: Vec<String> = zone_names
            .iter()
            .filter(|name| !all_zone_names.contains(name))
            .cloned()
            .collect();
        all_zone_names.extend(further);
        let zones = zones(&all_zone_names);
        let clock = Clock::new();
        let replica_groups = config.coordinator.layout.replica_groups;
        let membership = Membership::new(clock, transports.clone(), replica_groups, all_zone_names);
        let dispatcher = Dispatcher(Rc::new(Inner {
            clock,
            state: RefCell::new(State {
                coordinator: Coordinator::new(config.coordinator.clone(), config.seed),
                inputs: Inputs::default(),
                queries: Vec::new(),
                free_queries: Vec::new(),
                submitted: 0,
                membership,
                wake_at: None,
                zones,
            }),
            has_input: Notify::new(),
            membership_requested: Notify::new(),
            local_changed: Notify::new(),
            transports,
        }));
        let entries = dispatcher.apply_list(&config.cached_membership);
        dispatcher.update_membership(MembershipUpdate::Cached(entries));
        dispatcher.update_zone_routes();
        dispatcher
    }

    pub(crate) fn clock(&self) -> Clock {
        self.0.clock
    }

    /// Steps the coordinator for as long as the program runs.
    pub(crate) async fn run(self) {
        loop {
            let wake_at = self.0.state.borrow().wake_at;
            tokio::select! {
                () = self.0.has_input.notified() => {}
                () = sleep_until(self.0.clock.at(wake_at.unwrap_or(0))), if wake_at.is_some() => {
                    self.0.state.borrow_mut().wake_at = None;
                }
            }
            self.step();
        }
    }

    /// Passes all inputs so far to the coordinator.
    fn step(&self) {
        let mut state = self.0.state.borrow_mut();
        let State {
            coordinator,
            inputs,
            queries,
            free_queries,
            membership,
            wake_at,
            ..
        } = &mut *state;
        inputs.now = self.0.clock.now();
        let mut decisions = StepDecisions {
            dispatcher: self,
            queries,
            free_queries,
            membership,
            wake_at,
        };
        coordinator.step(inputs, &mut decisions);
        for ProbeResult { replica, .. } in &inputs.probes {
            membership.replicas.finish_probe(replica.0);
        }
        clear(inputs);
    }

    /// Adds to the inputs of the next step.
    fn add_input(&self, add: impl FnOnce(&mut Inputs)) {
        add(&mut self.0.state.borrow_mut().inputs);
        self.0.has_input.notify_one();
    }

    /// Submits a query; returns its number, and where the decisions on it arrive. These end when it is over and
    /// none of its attempts is in flight.
    pub(crate) fn submit(
        &self,
        submission: QuerySubmission,
    ) -> (usize, mpsc::UnboundedReceiver<Decision>) {
        let (sender, decisions) = mpsc::unbounded_channel();
        let mut state = self.0.state.borrow_mut();
        let query = state.open_query(sender);
        if let Some(zones) = &mut state.zones {
            zones.on_query(submission.sub_requests.len());
        }
        let hard_deadline = self.0.clock.now() + submission.expires_in;
        state.inputs.queries.push(NewQuery {
            query: QueryIndex(query),
            search_index: SearchIndex(submission.index),
            customer: submission.customer,
            key: submission.key,
            sequence_number: submission.sequence_number,
            hard_deadline,
        });
        let sub_requests =
            submission
                .sub_requests
                .into_iter()
                .map(|(shard, weight)| NewSubRequest {
                    query: QueryIndex(query),
                    shard,
                    weight,
                });
        state.inputs.sub_requests.extend(sub_requests);
        self.0.has_input.notify_one();
        (query, decisions)
    }

    /// An attempt has ended.
    pub(crate) fn report_attempt(&self, result: AttemptResult) {
        self.add_input(|inputs| inputs.results.push(result));
    }

    /// Answered sub-requests of a query need further attempts; called before the step that takes their results.
    pub(crate) fn continue_sub_requests(&self, query: usize, sub_requests: &[usize]) {
        self.add_input(|inputs| {
            let continuations = sub_requests.iter().map(|&sub_request| Continuation {
                query: QueryIndex(query),
                sub_request: SubRequestIndex(sub_request),
            });
            inputs.continuations.extend(continuations);
        });
    }

    /// A query's client has left.
    pub(crate) fn abandon(&self, query: usize) {
        self.add_input(|inputs| inputs.cancelled.push(QueryIndex(query)));
    }

    /// Probes a replica and reports the outcome.
    async fn probe(self, replica: usize) {
        let sent = self.0.clock.now();
        let report = self.0.transports.probe(replica).await;
        self.observe_outcome(replica, report.outcome, self.0.clock.now() - sent);
        self.add_input(|inputs| {
            inputs.probes.push(ProbeResult {
                replica: ReplicaIndex(replica),
                outcome: report.outcome,
                queue_depth: report.queue_depth,
            });
        });
    }

    /// A replica's id, for the log.
    pub(crate) fn replica_id(&self, replica: usize) -> String {
        let state = self.0.state.borrow();
        let id = state.membership.replicas.id(replica);
        id.unwrap_or_default().to_owned()
    }

    /// An update of the service discovery's list; `None` where it could not be had.
    pub(crate) fn on_membership(&self, list: Option<&MembershipList>) {
        self.update_membership(match list {
            None => MembershipUpdate::Unavailable,
            Some(list) if list.complete => MembershipUpdate::Snapshot(self.apply_list(list)),
            Some(list) => MembershipUpdate::Delta(self.apply_list(list)),
        });
    }

    fn apply_list(&self, list: &MembershipList) -> Vec<MembershipEntry> {
        let mut state = self.0.state.borrow_mut();
        let submitted = state.submitted;
        let completed = state.completed();
        let entries = state.membership.apply_list(list, submitted, completed);
        self.0.local_changed.notify_one();
        entries
    }

    fn update_membership(&self, update: MembershipUpdate) {
        if let Some(zones) = &mut self.0.state.borrow_mut().zones {
            zones.on_membership(&update);
        }
        self.add_input(|inputs| inputs.membership.push(update));
    }

    /// Waits until the coordinator wants the service discovery to be asked.
    pub(crate) async fn membership_requested(&self) {
        self.0.membership_requested.notified().await;
    }

    /// Passes the routes between zones to the coordinator, where there are zones.
    fn update_zone_routes(&self) {
        let routes = self
            .0
            .state
            .borrow()
            .zones
            .as_ref()
            .map(ZoneRouting::routes);
        if let Some(routes) = routes {
            self.add_input(|inputs| inputs.zone_routes = Some(routes));
        }
    }

    /// Applies the fleet's routing table; returns whether it fits this program's zones.
    pub(crate) fn apply_routing_table(&self, table: RoutingTable) -> bool {
        let now = self.0.clock.now();
        let applied = self
            .0
            .state
            .borrow_mut()
            .zones
            .as_mut()
            .is_some_and(|zones| zones.accept_table(table, now));
        if applied {
            self.update_zone_routes();
        }
        applied
    }

    /// What was observed of the zones since the last report, and what there is; `None` where there are no zones.
    pub(crate) fn report_zones(&self) -> Option<(Report, Topology)> {
        let now = self.0.clock.now();
        if self.0.state.borrow_mut().zones.as_mut()?.expire_table(now) {
            warn!("no word of the table for its life: all ways are open again, the nearest first");
            self.update_zone_routes();
        }
        Some(self.0.state.borrow_mut().zones.as_mut()?.report())
    }

    /// Counts the outcome of an attempt or a probe for the zones' report.
    pub(crate) fn observe_outcome(
        &self,
        replica: usize,
        outcome: AttemptOutcome,
        elapsed: TenthMillis,
    ) {
        if let Some(zones) = &mut self.0.state.borrow_mut().zones {
            zones.on_outcome(replica, outcome, elapsed);
        }
    }

    /// Adds a peer; returns its number.
    pub(crate) fn add_peer(&self) -> usize {
        self.0.state.borrow_mut().membership.add_peer()
    }

    /// Handles what a peer's link reports.
    pub(crate) fn on_link_event(&self, peer: usize, event: LinkEvent) {
        let mut state = self.0.state.borrow_mut();
        let submitted = state.submitted;
        state.membership.on_link_event(peer, event);
        let entries = state.membership.update_remote(submitted);
        drop(state);
        if !entries.is_empty() {
            self.update_membership(MembershipUpdate::Delta(entries));
        }
    }

    /// Waits until the service discovery's list has changed.
    pub(crate) async fn local_changed(&self) {
        self.0.local_changed.notified().await;
    }

    /// What the service discovery lists, for those behind a link.
    pub(crate) fn local_members(&self) -> Vec<Member> {
        self.0.state.borrow().membership.local_members()
    }

    /// The index of a listed replica that is reached directly.
    pub(crate) fn direct_replica(&self, id: &str) -> Option<usize> {
        self.0.state.borrow().membership.direct_replica(id)
    }
}

impl State {
    /// Assigns a number to a new query.
    fn open_query(&mut self, decisions: mpsc::UnboundedSender<Decision>) -> usize {
        let submitted_before = self.submitted;
        self.submitted += 1;
        let query = self.free_queries.pop().unwrap_or_else(|| {
            self.queries.push(None);
            self.queries.len() - 1
        });
        self.queries[query] = Some(OpenQuery {
            decisions,
            submitted_before,
        });
        query
    }

    /// How many of the queries submitted first are over.
    fn completed(&self) -> u64 {
        self.queries
            .iter()
            .flatten()
            .map(|open| open.submitted_before)
            .min()
            .unwrap_or(self.submitted)
    }
}

/// Empties the inputs, and keeps their memory. Each field is named, so that a new one is not forgotten.
fn clear(inputs: &mut Inputs) {
    let Inputs {
        now: _,
        membership,
        zone_routes,
        queries,
        sub_requests,
        results,
        continuations,
        probes,
        cancelled,
    } = inputs;
    membership.clear();
    *zone_routes = None;
    queries.clear();
    sub_requests.clear();
    results.clear();
    continuations.clear();
    probes.clear();
    cancelled.clear();
}
