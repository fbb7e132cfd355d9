//! The data plane: the configuration in force, the replicas, and a dispatcher for each set of backends.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use linenthread_config::{Configuration, Destination, ResolvedRoute, RoutingTable, Settings};
use linenthread_core::interface::{PendingQueries, TenthMillis};
use linenthread_hash::fnv1a_64;
use linenthread_messages::WindowCounts;
use linenthread_time::{Instant, WallTime, WindowLength};

use crate::clock;
use crate::counter::{Counter, CounterGuard};
use crate::dispatcher::{Dispatcher, PendingResponse, QueryParameters};
use crate::pool::ReplicaRequest;
use crate::replica_table::{ReplicaTable, UpdateScope};
use crate::retry_quota::RetryQuota;
use crate::shutdown::{Shutdown, ShutdownWatch};
use crate::transport::{Connector, TcpConnector};
use crate::usage_counter::UsageCounter;
use crate::zone_indices::ZoneIndices;

/// The minimum connection limit of this process per replica, however many ingress nodes share the configured limit.
const MIN_CONNECTIONS: usize = 2;
/// The length of a usage window when no reports are configured; the counts are not read in that case.
const DEFAULT_REPORT_WINDOW: Duration = Duration::from_secs(5);
/// The number of bits of an integer that `f64` represents exactly.
const F64_BITS: u32 = 53;

/// Identifies a dispatcher by the backends that are queried together, sorted by name, and the maximum number of
/// attempts per sub-request.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct DispatcherKey {
    backends: Vec<Rc<str>>,
    max_attempts: usize,
}

impl DispatcherKey {
    fn new(backends: &[Rc<str>], max_attempts: usize) -> DispatcherKey {
        let mut backends = backends.to_vec();
        backends.sort();
        DispatcherKey {
            backends,
            max_attempts,
        }
    }

    /// Returns the same hash for equal keys in every process. Simulations depend on the text that is hashed.
    fn hash(&self) -> u64 {
        fnv1a_64(format!("{:?}", (&self.backends, self.max_attempts)).as_bytes())
    }
}

/// The state of an ingress node's request path.
pub struct DataPlane<C: Connector = TcpConnector> {
    settings: Rc<Settings>,
    seed: u64,
    routing_table: RefCell<Option<Rc<RoutingTable>>>,
    replicas: RefCell<ReplicaTable<C>>,
    dispatchers: RefCell<BTreeMap<DispatcherKey, Rc<Dispatcher<C>>>>,
    zones: ZoneIndices,
    retry_quota: Cell<RetryQuota>,
    /// Shared with the dispatchers, which record into it.
    usage: Rc<RefCell<UsageCounter>>,
    /// Whether this incarnation had the newest configuration at some moment.
    is_confirmed: Cell<bool>,
    /// When a message last arrived from a control node that can reach a majority; `None` if never.
    last_control_contact: Cell<Option<Instant>>,
    shutdown: Shutdown,
    /// Requests of which at least one byte was read and whose responses are not yet written.
    requests: Counter,
    /// Client connections.
    clients: Counter,
}

impl<C: Connector> DataPlane<C> {
    /// Creates a data plane without configuration and replicas. All random choices derive from the seed.
    pub fn new(settings: Rc<Settings>, seed: u64, connector: C) -> Rc<DataPlane<C>> {
        let zones = ZoneIndices::new(&settings.zone);
        let report_window = settings
            .platform
            .as_ref()
            .map_or(DEFAULT_REPORT_WINDOW, |platform| platform.report_window);
        let usage = UsageCounter::new(WindowLength::new(report_window));
        Rc::new(DataPlane {
            settings,
            seed,
            routing_table: RefCell::default(),
            replicas: RefCell::new(ReplicaTable::new(connector)),
            dispatchers: RefCell::default(),
            zones,
            retry_quota: Cell::default(),
            usage: Rc::new(RefCell::new(usage)),
            is_confirmed: Cell::new(false),
            last_control_contact: Cell::default(),
            shutdown: Shutdown::new(),
            requests: Counter::default(),
            clients: Counter::default(),
        })
    }

    /// Returns the settings of this process.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the configuration in force, if there is one.
    pub fn routing_table(&self) -> Option<Rc<RoutingTable>> {
        self.routing_table.borrow().clone()
    }

    /// Returns the revision of the configuration in force; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.routing_table
            .borrow()
            .as_ref()
            .map_or(0, |routing_table| routing_table.revision)
    }

    /// Reports whether this node is ready for client traffic: it has a configuration that was confirmed since the
    /// start, and is not draining.
    pub fn is_ready(&self) -> bool {
        self.is_confirmed.get()
            && !self.shutdown.is_draining()
            && self.routing_table.borrow().is_some()
    }

    /// Applies a committed configuration, unless one at least as new is in force. Logs one that cannot be decoded.
    pub fn apply_configuration(&self, document: &[u8]) {
        match Configuration::decode(document) {
            Ok(read) if read.revision > self.revision() => {
                log::info!(revision = read.revision, routes = read.routes.len(); "event=configuration_applied");
                *self.routing_table.borrow_mut() = Some(Rc::new(RoutingTable::new(read)));
                self.limit_connections();
            }
            Ok(_) => {}
            Err(e) => log::error!(cause = e.to_string(); "event=configuration_invalid"),
        }
    }

    /// Records that, at some moment since the start, no configuration newer than the one in force was committed.
    pub fn confirm_configuration(&self) {
        if !self.is_confirmed.replace(true) {
            log::info!(revision = self.revision(); "event=configuration_confirmed");
        }
    }

    /// Records contact with a control node that has quorum; its earlier messages have been applied.
    pub fn record_control_contact(&self) {
        self.last_control_contact.set(Some(clock::now()));
    }

    /// Reports whether this process may have missed a revocation of keys for longer than the settings allow. Always
    /// false if the settings set no limit.
    pub(crate) fn may_lack_revocations(&self) -> bool {
        let last_contact = self.last_control_contact.get();
        self.settings.revocation_limit.is_some_and(|limit| {
            last_contact.is_none_or(|contact| clock::now().since(contact) > limit)
        })
    }

    /// Applies an update of the replicas from service discovery.
    pub fn update_replicas(&self, replicas: &[linenthread_messages::Replica], scope: UpdateScope) {
        let changed = self.replicas.borrow_mut().update(replicas, scope);
        if changed.is_empty() {
            return;
        }
        for pool in &changed {
            if !pool.status().is_available() {
                pool.close_idle();
            }
        }
        let available = self.replicas.borrow().available_count();
        log::info!(present = available, changed = changed.len(); "event=replicas_updated");
        for dispatcher in self.dispatchers.borrow().values() {
            dispatcher.update_replicas(&changed, &self.zones);
        }
        self.limit_connections();
    }

    /// Limits the connections to each replica. A configured limit applies to all ingress nodes together, and this
    /// process gets an equal share.
    fn limit_connections(&self) {
        let ingress_count = self.retry_quota.get().ingress_count.max(1);
        let routing_table = self.routing_table.borrow();
        let Some(routing_table) = routing_table.as_ref() else {
            return;
        };
        self.replicas.borrow().limit_connections(|backend| {
            routing_table
                .max_connections
                .get(backend)
                .map_or(usize::MAX, |limit| {
                    (limit / ingress_count).max(MIN_CONNECTIONS)
                })
        });
    }

    /// Sets this process's share of the retry budget.
    pub fn set_retry_quota(&self, quota: RetryQuota) {
        if quota != self.retry_quota.get() {
            self.retry_quota.set(quota);
            self.divide_retry_quota();
            self.limit_connections();
        }
    }

    /// Returns the retry quota in force.
    pub fn retry_quota(&self) -> RetryQuota {
        self.retry_quota.get()
    }

    /// Divides the quota among the dispatchers. It applies per backend, so dispatchers that share a backend divide it;
    /// a dispatcher with several backends gets the smallest of its shares.
    fn divide_retry_quota(&self) {
        let (quota, dispatchers) = (self.retry_quota.get(), self.dispatchers.borrow());
        let dispatchers_of = |backend: &Rc<str>| {
            dispatchers
                .values()
                .filter(|dispatcher| dispatcher.sends_to(backend))
                .count()
        };
        for (key, dispatcher) in dispatchers.iter() {
            let sharers = key.backends.iter().map(dispatchers_of);
            let sharers = sharers.max().unwrap_or(1).max(1);
            dispatcher.set_retry_quota(&quota, quota.retries_per_window / sharers as f64);
        }
    }

    /// Returns the dispatcher of these backends, and starts it if there is none.
    fn dispatcher_of(&self, backends: &[Rc<str>], max_attempts: usize) -> Rc<Dispatcher<C>> {
        let key = DispatcherKey::new(backends, max_attempts);
        if let Some(dispatcher) = self.dispatchers.borrow().get(&key) {
            return dispatcher.clone();
        }
        let seed = self.seed ^ key.hash();
        let backends = key.backends.as_slice().into();
        let usage = self.usage.clone();
        let dispatcher = Dispatcher::new(backends, max_attempts, &self.settings, seed, usage);
        let pools = self.replicas.borrow().pools_of(&key.backends);
        dispatcher.update_replicas(&pools, &self.zones);
        if let Some(respond_until) = self.shutdown.respond_until() {
            dispatcher.shut_down(respond_until);
        }
        self.dispatchers
            .borrow_mut()
            .insert(key, dispatcher.clone());
        self.divide_retry_quota();
        dispatcher
    }

    /// Passes a request to the dispatcher of its route.
    pub fn dispatch(
        &self,
        request: Rc<ReplicaRequest>,
        resolved: &Rc<ResolvedRoute>,
        parameters: QueryParameters,
    ) -> PendingResponse<C> {
        let max_attempts = resolved.route.max_attempts;
        let dispatcher = match &resolved.destination {
            Destination::FanOut(backends) => self.dispatcher_of(backends, max_attempts),
            // The hash of the request's id replaces a random number, so that a request that is sent again with the
            // same id goes to the same backend.
            weighted @ Destination::Weighted(_) => {
                let backend = weighted.pick(unit_interval(fnv1a_64(request.request_id.as_bytes())));
                self.dispatcher_of(backend.map_or(&[], std::slice::from_ref), max_attempts)
            }
        };
        dispatcher.dispatch(request, resolved, parameters)
    }

    /// Ends the retry quota when its time is over. Call it several times a second, with or without a control node.
    pub fn expire_retry_quota(&self) {
        let quota = self.retry_quota.get();
        if quota.expires_at <= clock::now() && quota.retries_per_window > 0.0 {
            self.set_retry_quota(RetryQuota {
                retries_per_window: 0.0,
                ..quota
            });
        }
    }

    /// Closes connections that their replicas are about to close, removes replicas that departed long ago, and logs
    /// how many requests usage reports will lack. Call it about once a second.
    pub fn maintain(&self) {
        for dispatcher in self.dispatchers.borrow().values() {
            dispatcher.maintain();
        }
        self.replicas.borrow_mut().maintain(clock::now());
        let dropped = self.usage.borrow_mut().take_dropped();
        if dropped > 0 {
            log::warn!(requests = dropped; "event=usage_dropped");
        }
    }

    /// Records a message of a control node that arrived at `now` and was sent at time `agreed` of the control nodes.
    pub fn observe_agreed_time(&self, now: Instant, agreed: WallTime) {
        self.usage.borrow_mut().observe_agreed_time(now, agreed);
    }

    /// Reports whether any usage counts are kept.
    pub fn has_usage(&self) -> bool {
        !self.usage.borrow().is_empty()
    }

    /// Returns all usage counts and marks them as sent.
    pub fn take_all_usage(&self) -> Vec<WindowCounts> {
        self.usage.borrow_mut().take_all()
    }

    /// Returns the usage counts that have risen since they were last returned by this method or by
    /// [`DataPlane::take_all_usage`], and marks them as sent.
    pub fn take_changed_usage(&self) -> Vec<WindowCounts> {
        self.usage.borrow_mut().take_changed()
    }

    /// Begins the first step of a shutdown: the node is no longer ready, each connection closes after its next
    /// response, and the decision module ends all requests by `respond_until`.
    pub(crate) fn begin_drain(&self, respond_until: TenthMillis) {
        self.shutdown.begin_drain(respond_until);
        for dispatcher in self.dispatchers.borrow().values() {
            dispatcher.shut_down(respond_until);
        }
    }

    /// Begins the second step of a shutdown: no new connections are accepted, and connections without a request in
    /// flight close.
    pub(crate) fn close(&self) {
        self.shutdown.close();
    }

    /// Begins the last step of a shutdown: connections on which a request has been read only in part close, so that no
    /// further request is in flight.
    pub(crate) fn finish(&self) {
        self.shutdown.finish();
    }

    /// Returns a watch for the steps of the shutdown.
    pub fn watch_shutdown(&self) -> ShutdownWatch {
        self.shutdown.watch()
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.shutdown.is_draining()
    }

    /// Returns the number of requests in flight: at least one byte was read, and the response is not yet written.
    pub fn requests_in_flight(&self) -> usize {
        self.requests.get()
    }

    /// Returns how many requests have reached the decision module and have not ended, by what they wait for.
    pub fn pending_queries(&self) -> PendingQueries {
        let mut pending = PendingQueries::default();
        for dispatcher in self.dispatchers.borrow().values() {
            pending += dispatcher.pending_queries();
        }
        pending
    }

    /// Returns the number of client connections.
    pub fn client_connections(&self) -> usize {
        self.clients.get()
    }

    /// Counts a request until the guard is dropped.
    pub(crate) fn count_request(&self) -> CounterGuard {
        self.requests.increment()
    }

    /// Counts a client connection until the guard is dropped.
    pub(crate) fn count_client(&self) -> CounterGuard {
        self.clients.increment()
    }
}

/// Maps a hash to the half-open interval from 0 to 1.
fn unit_interval(hash: u64) -> f64 {
    let bits = hash >> (u64::BITS - F64_BITS);
    bits as f64 / (1u64 << F64_BITS) as f64
}
