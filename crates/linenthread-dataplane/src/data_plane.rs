//! The data plane's tables: the plan in force, the replicas, and a dispatcher for each group of services.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use linenthread_config::{Configuration, Destination, ResolvedRoute, RoutingTable, Settings};
use linenthread_core::interface::TenthMillis;
use tokio::sync::{oneshot, watch};

use crate::clock;
use crate::dispatcher::{Dispatcher, LookupId};
use crate::pool::{ReplicaPool, Request};
use crate::reply::Reply;
use crate::transport::{Connector, TcpConnector};
use crate::zones::Zones;

/// What of the budget is this front's, and until when.
#[derive(Clone, Copy, Default, PartialEq)]
pub struct Share {
    /// Further tries in each window.
    pub free: f64,
    /// Milliseconds of the steady clock.
    pub until: u64,
    /// This front's number among them.
    pub own: usize,
    /// How many fronts there are.
    pub fronts: usize,
    /// Under which lease of the duty it was given.
    pub epoch: u64,
}

/// The services that are asked together, by name, and how many tries each part has.
type DispatcherKey = (Vec<Rc<str>>, usize);

type Pools<C> = Vec<Rc<ReplicaPool<C>>>;

/// What a front knows and where its traffic goes.
pub struct DataPlane<C: Connector = TcpConnector> {
    /// Of this process.
    pub settings: Rc<Settings>,
    seed: u64,
    plan: RefCell<Option<Rc<RoutingTable>>>,
    connector: C,
    pools: RefCell<BTreeMap<String, Rc<ReplicaPool<C>>>>,
    services: RefCell<HashMap<Rc<str>, Pools<C>>>,
    dispatchers: RefCell<BTreeMap<DispatcherKey, Rc<Dispatcher<C>>>>,
    /// By number.
    pub zones: Zones,
    share: Cell<Share>,
    /// The newest configuration was in hand at some moment of this life.
    pub confirmed: Cell<bool>,
    /// The end was asked for.
    pub ending: Cell<bool>,
    /// Nothing new is read any more.
    pub closing: watch::Sender<bool>,
    /// Requests of which something was read and whose answers are not written yet.
    pub at_work: Cell<usize>,
    /// Clients' connections.
    pub clients: Cell<usize>,
}

/// One client's connection.
pub(crate) struct Client<C: Connector>(Rc<DataPlane<C>>);

impl<C: Connector> Client<C> {
    pub(crate) fn new(plane: &Rc<DataPlane<C>>) -> Client<C> {
        plane.clients.set(plane.clients.get() + 1);
        Client(plane.clone())
    }
}

impl<C: Connector> Drop for Client<C> {
    fn drop(&mut self) {
        self.0.clients.set(self.0.clients.get() - 1);
    }
}

/// One request at work.
pub(crate) struct AtWork<C: Connector>(Rc<DataPlane<C>>);

impl<C: Connector> AtWork<C> {
    pub(crate) fn new(plane: &Rc<DataPlane<C>>) -> AtWork<C> {
        plane.at_work.set(plane.at_work.get() + 1);
        AtWork(plane.clone())
    }
}

impl<C: Connector> Drop for AtWork<C> {
    fn drop(&mut self) {
        self.0.at_work.set(self.0.at_work.get() - 1);
    }
}

impl<C: Connector> DataPlane<C> {
    /// A front that knows nothing yet.
    pub fn new(settings: Rc<Settings>, seed: u64, connector: C) -> Rc<DataPlane<C>> {
        let zones = Zones::default();
        zones.number_of(&settings.zone);
        Rc::new(DataPlane {
            settings,
            seed,
            plan: RefCell::default(),
            connector,
            pools: RefCell::default(),
            services: RefCell::default(),
            dispatchers: RefCell::default(),
            zones,
            share: Cell::default(),
            confirmed: Cell::new(false),
            ending: Cell::new(false),
            closing: watch::Sender::new(false),
            at_work: Cell::new(0),
            clients: Cell::new(0),
        })
    }

    /// The configuration in force, if there is one.
    pub fn plan(&self) -> Option<Rc<RoutingTable>> {
        self.plan.borrow().clone()
    }

    /// Its version; 0 for none.
    pub fn revision(&self) -> u64 {
        self.plan.borrow().as_ref().map_or(0, |p| p.revision)
    }

    /// Whether the platform may send traffic here.
    pub fn is_ready(&self) -> bool {
        self.confirmed.get() && !self.ending.get() && self.plan.borrow().is_some()
    }

    /// A configuration that was agreed on. Never an older one.
    pub fn adopt(&self, document: &[u8]) {
        match Configuration::decode(document) {
            Ok(read) if read.revision > self.revision() => {
                log::info!(revision = read.revision, routes = read.routes.len(); "event=configuration_applied");
                *self.plan.borrow_mut() = Some(Rc::new(RoutingTable::new(read)));
                self.bound_connections();
            }
            Ok(_) => {}
            Err(e) => log::error!(cause = e.to_string(); "event=configuration_invalid"),
        }
    }

    /// What is told of replicas; with `whole`, what is left out is gone.
    pub fn hear(&self, replicas: &[linenthread_messages::Replica], whole: bool) {
        let mut changed: Pools<C> = replicas
            .iter()
            .filter_map(|replica| self.hear_one(replica))
            .collect();
        if whole {
            let named: HashSet<&str> = replicas.iter().map(|r| r.id.as_str()).collect();
            changed.extend(self.lose_all_but(&named));
        }
        if changed.is_empty() {
            return;
        }
        changed
            .iter()
            .filter(|p| p.draining.get() || p.gone.get())
            .for_each(|p| p.close_idle());
        let available = self
            .pools
            .borrow()
            .values()
            .filter(|p| !p.gone.get())
            .count();
        log::info!(available = available, changed = changed.len(); "event=replicas_updated");
        self.dispatchers
            .borrow()
            .values()
            .for_each(|d| d.list(&changed, &self.zones));
        self.bound_connections();
    }

    /// What is told of one replica; its pool, if that is news.
    fn hear_one(&self, replica: &linenthread_messages::Replica) -> Option<Rc<ReplicaPool<C>>> {
        let gone = replica.removed || replica.removed_for_good;
        let known = self.pools.borrow().get(&replica.id).cloned();
        let Some(pool) = known else {
            return if gone { None } else { self.add(replica) };
        };
        if pool.draining.get() == replica.draining && pool.gone.get() == gone {
            return None;
        }
        pool.draining.set(replica.draining);
        pool.set_gone(gone);
        Some(pool)
    }

    /// A pool for a replica that is new, if its address can be read.
    fn add(&self, replica: &linenthread_messages::Replica) -> Option<Rc<ReplicaPool<C>>> {
        let address = replica.address.parse::<SocketAddr>().ok()?;
        let mut services = self.services.borrow_mut();
        let backend = services.keys().find(|s| ***s == *replica.backend).cloned();
        let backend = backend.unwrap_or_else(|| Rc::from(replica.backend.as_str()));
        let pool = Rc::new(ReplicaPool::new(
            replica,
            backend.clone(),
            address,
            self.connector.clone(),
        ));
        services.entry(backend).or_default().push(pool.clone());
        self.pools
            .borrow_mut()
            .insert(replica.id.clone(), pool.clone());
        Some(pool)
    }

    /// All replicas that are not named are gone; those that were not before.
    fn lose_all_but(&self, named: &HashSet<&str>) -> Pools<C> {
        let pools = self.pools.borrow();
        let lost = pools
            .values()
            .filter(|p| !p.gone.get() && !named.contains(p.ident.as_str()));
        lost.inspect(|pool| pool.set_gone(true)).cloned().collect()
    }

    /// Each replica accepts so many connections of all fronts together.
    fn bound_connections(&self) {
        let fronts = self.share.get().fronts.max(1);
        let plan = self.plan.borrow();
        let Some(plan) = plan.as_ref() else { return };
        for (service, pools) in self.services.borrow().iter() {
            let most = plan
                .max_connections
                .get(service)
                .map_or(usize::MAX, |m| (m / fronts).max(2));
            pools.iter().for_each(|s| s.most.set(most));
        }
    }

    /// This front's share of the budget from now on.
    pub fn allot(&self, share: Share) {
        if share != self.share.get() {
            self.share.set(share);
            self.allot_dispatchers();
            self.bound_connections();
        }
    }

    /// The share in force.
    pub fn share(&self) -> Share {
        self.share.get()
    }

    fn allot_dispatchers(&self) {
        let (share, dispatchers) = (self.share.get(), self.dispatchers.borrow());
        let overlap = |d: &Rc<Dispatcher<C>>| {
            let with = |s: &Rc<str>| {
                dispatchers
                    .values()
                    .filter(|o| o.services.contains(s))
                    .count()
            };
            d.services.iter().map(with).max().unwrap_or(1).max(1)
        };
        dispatchers
            .values()
            .for_each(|d| d.allot(share.free / overlap(d) as f64, share.own, share.fronts));
    }

    fn dispatcher(&self, services: &[Rc<str>], tries: usize) -> Rc<Dispatcher<C>> {
        let mut names = services.to_vec();
        names.sort();
        let key = (names, tries);
        if let Some(dispatcher) = self.dispatchers.borrow().get(&key) {
            return dispatcher.clone();
        }
        let seed = self.seed ^ linenthread_consensus::fnv1a_64(format!("{key:?}").as_bytes());
        let dispatcher = Dispatcher::new(key.0.as_slice().into(), tries, &self.settings, seed);
        let pools = self.services.borrow();
        let here: Pools<C> = key
            .0
            .iter()
            .filter_map(|s| pools.get(s))
            .flatten()
            .cloned()
            .collect();
        dispatcher.list(&here, &self.zones);
        self.dispatchers
            .borrow_mut()
            .insert(key, dispatcher.clone());
        self.allot_dispatchers();
        dispatcher
    }

    /// Hands a request to its dispatcher.
    pub fn take(
        &self,
        request: Rc<Request>,
        planned: &Rc<ResolvedRoute>,
        key: u64,
        deadline: TenthMillis,
    ) -> (Rc<Dispatcher<C>>, LookupId, oneshot::Receiver<Reply>) {
        let tries = planned.route.max_attempts;
        let dispatcher = match &planned.destination {
            Destination::FanOut(services) => self.dispatcher(services, tries),
            one => {
                let drawn = linenthread_consensus::fnv1a_64(request.attempt.as_bytes()) >> 11;
                let service = one.pick(drawn as f64 / (1u64 << 53) as f64);
                self.dispatcher(service.map_or(&[][..], std::slice::from_ref), tries)
            }
        };
        let (lookup, reply) = dispatcher.take(request, planned, key, deadline);
        (dispatcher, lookup, reply)
    }

    /// Lets go of connections that their replicas are about to end, and of replicas that have been gone for
    /// long.
    pub fn tidy(&self) {
        self.dispatchers.borrow().values().for_each(|d| d.tidy());
        let mut pools = self.pools.borrow_mut();
        pools.values().for_each(|s| s.tidy());
        let now = clock::ms();
        let before = pools.len();
        pools.retain(|_, s| !s.is_past(now));
        if pools.len() < before {
            self.services
                .borrow_mut()
                .values_mut()
                .for_each(|all| all.retain(|s| !s.is_past(now)));
        }
    }
}
