//! Runs the coordinator: collects its inputs, steps it, and passes each decision to the task of its query.

mod decision;
mod membership;
mod membership_updates;
mod peer_members;
mod query_decision;
mod query_table;
mod zones;

use std::cell::RefCell;
use std::rc::Rc;

use linenthread_core::Coordinator;
use linenthread_core::interface::{
    AttemptResult, Continuation, Inputs, MembershipUpdate, NewQuery, NewSubRequest, ProbeResult,
    QueryIndex, ReplicaIndex, SearchIndex, SubRequestIndex, TenthMillis,
};
use tokio::sync::{Notify, mpsc};
use tokio::time::sleep_until;

use crate::clock::Clock;
use crate::config::Config;
use crate::transports::Transports;
use crate::zone_routing::ZoneRouting;
use decision::StepDecisions;
use membership::Membership;
pub(crate) use query_decision::QueryDecision;
use query_table::QueryTable;

/// A query to be submitted, which has been checked against the deployment.
pub(crate) struct QuerySubmission {
    /// The search index's position in the settings.
    pub index: usize,
    /// The customer's position in the settings; 0 if they name no customers.
    pub customer: usize,
    /// The hash of the routing key, if the query has one.
    pub key: Option<u64>,
    /// The hash of the query's id.
    pub sequence_number: u64,
    /// The time until the query's hard deadline.
    pub expires_in: TenthMillis,
    pub sub_requests: Vec<SubRequestSubmission>,
}

/// A sub-request of a query to be submitted.
pub(crate) struct SubRequestSubmission {
    pub shard: usize,
    /// The sub-request's share of the query.
    pub weight: f64,
}

/// A query that was submitted.
pub(crate) struct SubmittedQuery {
    pub query: QueryIndex,
    /// The decisions on the query. The channel closes when the query is over and none of its attempts is in flight.
    pub decisions: mpsc::UnboundedReceiver<QueryDecision>,
}

struct State {
    coordinator: Coordinator,
    /// The inputs of the next step.
    inputs: Inputs,
    queries: QueryTable,
    membership: Membership,
    /// When to step the coordinator even if there are no inputs.
    wake_at: Option<TenthMillis>,
    /// The routing between zones, if a fleet decides on it.
    zones: Option<ZoneRouting>,
}

struct Inner {
    clock: Clock,
    state: RefCell<State>,
    /// Notified when there are inputs for a step.
    has_input: Notify,
    /// Notified when the coordinator requests service discovery's list.
    membership_requested: Notify,
    /// Notified when service discovery's list has changed.
    local_changed: Notify,
    transports: Transports,
}

/// Drives the coordinator, the decision module's state machine without I/O: collects its inputs, steps it with the
/// current time, and performs or dispatches its decisions. All tasks share it.
#[derive(Clone)]
pub(crate) struct CoordinatorDriver(Rc<Inner>);

impl CoordinatorDriver {
    /// `zone_names` are the zones in the order of their numbers; `zones` routes between them, if a fleet decides on
    /// that.
    pub(crate) fn new(
        config: &Config,
        transports: Transports,
        zone_names: Vec<String>,
        zones: Option<ZoneRouting>,
    ) -> Self {
        let clock = Clock::new();
        let replica_groups = config.coordinator.layout.replica_groups;
        let membership = Membership::new(clock, transports.clone(), replica_groups, zone_names);
        let driver = CoordinatorDriver(Rc::new(Inner {
            clock,
            state: RefCell::new(State {
                coordinator: Coordinator::new(config.coordinator.clone(), config.seed),
                inputs: Inputs::default(),
                queries: QueryTable::default(),
                membership,
                wake_at: None,
                zones,
            }),
            has_input: Notify::new(),
            membership_requested: Notify::new(),
            local_changed: Notify::new(),
            transports,
        }));
        let entries = driver.apply_list(&config.cached_membership);
        driver.update_membership(MembershipUpdate::Cached(entries));
        driver.update_zone_routes();
        driver
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

    /// Steps the coordinator with all inputs so far.
    fn step(&self) {
        let mut state = self.0.state.borrow_mut();
        let State {
            coordinator,
            inputs,
            queries,
            membership,
            wake_at,
            ..
        } = &mut *state;
        inputs.now = self.0.clock.now();
        let mut decisions = StepDecisions {
            transports: &self.0.transports,
            membership_requested: &self.0.membership_requested,
            queries,
            membership,
            wake_at,
            probes: Vec::new(),
        };
        coordinator.step(inputs, &mut decisions);
        for replica in decisions.probes {
            actix_rt::spawn(self.clone().probe(replica));
        }
        for ProbeResult { replica, .. } in &inputs.probes {
            membership.replicas.finish_probe(*replica);
        }
        clear(inputs);
    }

    /// Adds to the inputs of the next step.
    fn add_input(&self, add: impl FnOnce(&mut Inputs)) {
        add(&mut self.0.state.borrow_mut().inputs);
        self.0.has_input.notify_one();
    }

    /// Submits a query, which the next step processes.
    pub(crate) fn submit(&self, submission: QuerySubmission) -> SubmittedQuery {
        let (sender, decisions) = mpsc::unbounded_channel();
        let mut state = self.0.state.borrow_mut();
        let query = state.queries.open(sender);
        if let Some(zones) = &mut state.zones {
            zones.on_query(submission.sub_requests.len());
        }
        let hard_deadline = self.0.clock.now() + submission.expires_in;
        state.inputs.queries.push(NewQuery {
            query,
            search_index: SearchIndex(submission.index),
            customer: submission.customer,
            key: submission.key,
            sequence_number: submission.sequence_number,
            hard_deadline,
        });
        let sub_requests = submission.sub_requests.into_iter();
        let sub_requests = sub_requests.map(|sub_request| NewSubRequest {
            query,
            shard: sub_request.shard,
            weight: sub_request.weight,
        });
        state.inputs.sub_requests.extend(sub_requests);
        self.0.has_input.notify_one();
        SubmittedQuery { query, decisions }
    }

    /// Reports the end of an attempt.
    pub(crate) fn report_attempt(&self, result: AttemptResult) {
        self.add_input(|inputs| inputs.results.push(result));
    }

    /// Requests further attempts at answered sub-requests of a query. Must be called before the step that processes the
    /// results of their last attempts.
    pub(crate) fn continue_sub_requests(
        &self,
        query: QueryIndex,
        sub_requests: &[SubRequestIndex],
    ) {
        self.add_input(|inputs| {
            let continuations = sub_requests
                .iter()
                .map(|&sub_request| Continuation { query, sub_request });
            inputs.continuations.extend(continuations);
        });
    }

    /// Cancels a query whose client has disconnected.
    pub(crate) fn cancel_query(&self, query: QueryIndex) {
        self.add_input(|inputs| inputs.cancelled.push(query));
    }

    /// Probes a replica and reports the outcome.
    async fn probe(self, replica: ReplicaIndex) {
        let sent = self.0.clock.now();
        let report = self.0.transports.probe(replica).await;
        self.observe_outcome(replica, report.outcome, self.0.clock.now() - sent);
        self.add_input(|inputs| {
            inputs.probes.push(ProbeResult {
                replica,
                outcome: report.outcome,
                queue_depth: report.queue_depth,
            });
        });
    }
}

/// Empties the inputs, and keeps their allocations. All fields are named, so that the compiler reports a new one that
/// is missing here.
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
        shutdown_at,
    } = inputs;
    membership.clear();
    *zone_routes = None;
    queries.clear();
    sub_requests.clear();
    results.clear();
    continuations.clear();
    probes.clear();
    cancelled.clear();
    *shutdown_at = None;
}
