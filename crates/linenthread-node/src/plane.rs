//! The data plane's tables: the plan in force, the replicas, and a desk for each group of services.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use linenthread_config::{Configuration, Plan, Planned, Settings, Target};
use linenthread_core::interface::{Tenths, WayTo};
use tokio::sync::{oneshot, watch};

use crate::clock;
use crate::desk::{Desk, Reply};
use crate::pool::{Request, Slot};

/// Zones by number, in the order they were met; this machine's own is the first.
#[derive(Default)]
pub struct Sites(RefCell<Vec<String>>);

impl Sites {
    pub fn of(&self, zone: &str) -> usize {
        let mut zones = self.0.borrow_mut();
        zones.iter().position(|z| z == zone).unwrap_or_else(|| {
            zones.push(zone.to_owned());
            zones.len() - 1
        })
    }

    /// Near ones first.
    pub fn ways(&self) -> Vec<WayTo> {
        let way = |(i, zone): (usize, &String)| WayTo {
            id: linenthread_consensus::digest(zone.as_bytes()),
            distance: u8::from(i > 0),
            open: 1_000,
        };
        self.0.borrow().iter().enumerate().map(way).collect()
    }
}

/// What of the budget is this front's, and until when.
#[derive(Clone, Copy, Default, PartialEq)]
pub struct Share {
    pub free: f64,
    pub until: u64,
    pub own: usize,
    pub fronts: usize,
    pub epoch: u64,
}

type Key = (Vec<Rc<str>>, usize);

pub struct Plane {
    pub settings: Rc<Settings>,
    seed: u64,
    plan: RefCell<Option<Rc<Plan>>>,
    slots: RefCell<HashMap<String, Rc<Slot>>>,
    services: RefCell<HashMap<Rc<str>, Vec<Rc<Slot>>>>,
    desks: RefCell<HashMap<Key, Rc<Desk>>>,
    pub sites: Sites,
    share: Cell<Share>,
    /// The newest configuration was in hand at some moment of this life.
    pub confirmed: Cell<bool>,
    pub ending: Cell<bool>,
    /// Nothing new is read any more.
    pub closing: watch::Sender<bool>,
    /// Requests of which something was read and whose answers are not written yet.
    pub at_work: Cell<usize>,
    /// Clients' connections.
    pub clients: Cell<usize>,
}

/// One client's connection.
pub struct Client(Rc<Plane>);

impl Client {
    pub fn new(plane: &Rc<Plane>) -> Client {
        plane.clients.set(plane.clients.get() + 1);
        Client(plane.clone())
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.0.clients.set(self.0.clients.get() - 1);
    }
}

/// One request at work.
pub struct AtWork(Rc<Plane>);

impl AtWork {
    pub fn new(plane: &Rc<Plane>) -> AtWork {
        plane.at_work.set(plane.at_work.get() + 1);
        AtWork(plane.clone())
    }
}

impl Drop for AtWork {
    fn drop(&mut self) {
        self.0.at_work.set(self.0.at_work.get() - 1);
    }
}

impl Plane {
    pub fn new(settings: Rc<Settings>, seed: u64) -> Rc<Plane> {
        let sites = Sites::default();
        sites.of(&settings.zone);
        Rc::new(Plane {
            settings,
            seed,
            plan: RefCell::default(),
            slots: RefCell::default(),
            services: RefCell::default(),
            desks: RefCell::default(),
            sites,
            share: Cell::default(),
            confirmed: Cell::new(false),
            ending: Cell::new(false),
            closing: watch::Sender::new(false),
            at_work: Cell::new(0),
            clients: Cell::new(0),
        })
    }

    pub fn plan(&self) -> Option<Rc<Plan>> {
        self.plan.borrow().clone()
    }

    pub fn revision(&self) -> u64 {
        self.plan.borrow().as_ref().map_or(0, |p| p.revision)
    }

    pub fn is_ready(&self) -> bool {
        self.confirmed.get() && !self.ending.get() && self.plan.borrow().is_some()
    }

    /// A configuration that was agreed on. Never an older one.
    pub fn adopt(&self, document: &[u8]) {
        match Configuration::read(document) {
            Ok(read) if read.revision > self.revision() => {
                log::info!(revision = read.revision, routes = read.route_table.len(); "event=configuration");
                *self.plan.borrow_mut() = Some(Rc::new(Plan::new(read)));
                self.bound_connections();
            }
            Ok(_) => {}
            Err(e) => log::error!(cause = e.to_string(); "event=configuration_unread"),
        }
    }

    /// What is told of replicas; with `whole`, what is left out is gone.
    pub fn hear(&self, replicas: &[linenthread_messages::Replica], whole: bool) {
        let mut changed: Vec<Rc<Slot>> = Vec::new();
        let mut slots = self.slots.borrow_mut();
        for replica in replicas {
            let gone = replica.gone || replica.ended;
            let slot = match slots.get(&replica.ident) {
                Some(slot) => slot.clone(),
                None if gone => continue,
                None => {
                    let Ok(address) = replica.address.parse::<SocketAddr>() else { continue };
                    let mut services = self.services.borrow_mut();
                    let backend = services.keys().find(|s| ***s == *replica.backend).cloned();
                    let backend = backend.unwrap_or_else(|| Rc::from(replica.backend.as_str()));
                    let slot = Rc::new(Slot::new(replica, backend.clone(), address));
                    services.entry(backend).or_default().push(slot.clone());
                    slots.insert(replica.ident.clone(), slot.clone());
                    changed.push(slot);
                    continue;
                }
            };
            if slot.draining.get() != replica.draining || slot.gone.get() != gone {
                slot.draining.set(replica.draining);
                slot.set_gone(gone);
                changed.push(slot);
            }
        }
        if whole {
            let named: std::collections::HashSet<&str> = replicas.iter().map(|r| r.ident.as_str()).collect();
            for slot in slots.values().filter(|s| !s.gone.get() && !named.contains(s.ident.as_str())) {
                slot.set_gone(true);
                changed.push(slot.clone());
            }
        }
        drop(slots);
        for slot in changed.iter().filter(|s| s.draining.get() || s.gone.get()) {
            slot.close_idle();
        }
        if !changed.is_empty() {
            let here = self.slots.borrow().values().filter(|s| !s.gone.get()).count();
            log::info!(here = here, changed = changed.len(); "event=replicas");
            self.desks.borrow().values().for_each(|d| d.list(&changed, &self.sites));
            self.bound_connections();
        }
    }

    /// Each replica accepts so many connections of all fronts together.
    fn bound_connections(&self) {
        let fronts = self.share.get().fronts.max(1);
        let plan = self.plan.borrow();
        let Some(plan) = plan.as_ref() else { return };
        for (service, slots) in self.services.borrow().iter() {
            let most = plan.max_conns.get(service).map_or(usize::MAX, |m| (m / fronts).max(2));
            slots.iter().for_each(|s| s.most.set(most));
        }
    }

    pub fn allot(&self, share: Share) {
        if share != self.share.get() {
            self.share.set(share);
            self.allot_desks();
            self.bound_connections();
        }
    }

    pub fn share(&self) -> Share {
        self.share.get()
    }

    fn allot_desks(&self) {
        let (share, desks) = (self.share.get(), self.desks.borrow());
        let overlap = |d: &Rc<Desk>| {
            let with = |s: &Rc<str>| desks.values().filter(|o| o.services.contains(s)).count();
            d.services.iter().map(with).max().unwrap_or(1).max(1)
        };
        desks.values().for_each(|d| d.allot(share.free / overlap(d) as f64, share.own, share.fronts));
    }

    fn desk(&self, services: &[Rc<str>], tries: usize) -> Rc<Desk> {
        let mut names = services.to_vec();
        names.sort();
        let key = (names, tries);
        if let Some(desk) = self.desks.borrow().get(&key) {
            return desk.clone();
        }
        let seed = self.seed ^ linenthread_consensus::digest(format!("{key:?}").as_bytes());
        let desk = Desk::new(key.0.as_slice().into(), tries, &self.settings, seed);
        let slots = self.services.borrow();
        let here: Vec<Rc<Slot>> = key.0.iter().filter_map(|s| slots.get(s)).flatten().cloned().collect();
        desk.list(&here, &self.sites);
        self.desks.borrow_mut().insert(key, desk.clone());
        self.allot_desks();
        desk
    }

    /// Hands a request to its desk.
    pub fn take(
        &self,
        request: Rc<Request>,
        planned: &Rc<Planned>,
        key: u64,
        deadline: Tenths,
    ) -> (Rc<Desk>, usize, oneshot::Receiver<Reply>) {
        let tries = planned.route.tries;
        let desk = match &planned.target {
            Target::All(services) => self.desk(services, tries),
            one => {
                let drawn = linenthread_consensus::digest(request.attempt.as_bytes()) >> 11;
                let service = one.drawn(drawn as f64 / (1u64 << 53) as f64);
                self.desk(service.map_or(&[][..], std::slice::from_ref), tries)
            }
        };
        let (lookup, reply) = desk.take(request, planned, key, deadline);
        (desk, lookup, reply)
    }

    /// Lets go of connections that their replicas are about to end, and of replicas that have been gone for
    /// long.
    pub fn tidy(&self) {
        self.desks.borrow().values().for_each(|d| d.tidy());
        let mut slots = self.slots.borrow_mut();
        slots.values().for_each(|s| s.tidy());
        let now = clock::ms();
        let before = slots.len();
        slots.retain(|_, s| !s.is_past(now));
        if slots.len() < before {
            self.services.borrow_mut().values_mut().for_each(|all| all.retain(|s| !s.is_past(now)));
        }
    }
}
