//! The replicas known from service discovery: their pools by id and by backend.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use linenthread_messages::Replica;
use linenthread_time::Instant;

use crate::pool::{ReplicaPool, ReplicaStatus};
use crate::transport::Connector;

pub(crate) type Pools<C> = Vec<Rc<ReplicaPool<C>>>;

/// What an update of replicas implies for the replicas it does not list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// The update lists all registered replicas: any other replica has departed.
    Complete,
    /// The update lists only the replicas that changed.
    Changes,
}

/// All known replicas, including departed ones that are still retained.
pub(crate) struct ReplicaTable<C: Connector> {
    connector: C,
    by_id: BTreeMap<String, Rc<ReplicaPool<C>>>,
    by_backend: HashMap<Rc<str>, Pools<C>>,
}

impl<C: Connector> ReplicaTable<C> {
    pub(crate) fn new(connector: C) -> ReplicaTable<C> {
        ReplicaTable {
            connector,
            by_id: BTreeMap::new(),
            by_backend: HashMap::new(),
        }
    }

    /// Applies an update and returns the pools of the replicas whose status changed.
    pub(crate) fn update(&mut self, replicas: &[Replica], scope: UpdateScope) -> Pools<C> {
        let mut changed: Pools<C> = replicas
            .iter()
            .filter_map(|replica| self.update_one(replica))
            .collect();
        if scope == UpdateScope::Complete {
            let named: HashSet<&str> = replicas.iter().map(|r| r.id.as_str()).collect();
            changed.extend(self.mark_others_departed(&named));
        }
        changed
    }

    /// Updates one replica and returns its pool if its status changed.
    fn update_one(&mut self, replica: &Replica) -> Option<Rc<ReplicaPool<C>>> {
        let status = ReplicaStatus {
            draining: replica.draining,
            departed: replica.timed_out_or_ended || replica.ended,
        };
        let Some(pool) = self.by_id.get(&replica.id).cloned() else {
            return if status.departed {
                None
            } else {
                self.add(replica)
            };
        };
        if pool.is_older_than_end(replica) {
            return None;
        }
        if replica.ended {
            pool.set_ended(replica.call_count);
        }
        if let Ok(address) = replica.address.parse() {
            pool.set_address(address);
        }
        if pool.status() == status {
            return None;
        }
        if pool.status().departed && !status.departed {
            log::info!(id = replica.id, draining = status.draining; "event=replica_returned");
        }
        pool.set_status(status);
        Some(pool)
    }

    /// Adds a pool for a new replica, unless its address is invalid.
    fn add(&mut self, replica: &Replica) -> Option<Rc<ReplicaPool<C>>> {
        let address = replica.address.parse::<SocketAddr>().ok()?;
        let backend = match self.by_backend.get_key_value(replica.backend.as_str()) {
            Some((backend, _)) => backend.clone(),
            None => Rc::from(replica.backend.as_str()),
        };
        let connector = self.connector.clone();
        let pool = Rc::new(ReplicaPool::new(
            replica,
            backend.clone(),
            address,
            connector,
        ));
        self.by_backend
            .entry(backend)
            .or_default()
            .push(pool.clone());
        self.by_id.insert(replica.id.clone(), pool.clone());
        Some(pool)
    }

    /// Marks all replicas that are not `named` as departed, and returns those that had not departed before.
    fn mark_others_departed(&self, named: &HashSet<&str>) -> Pools<C> {
        let departed: Pools<C> = self
            .by_id
            .values()
            .filter(|pool| !pool.status().departed && !named.contains(pool.id()))
            .cloned()
            .collect();
        for pool in &departed {
            pool.set_status(ReplicaStatus {
                departed: true,
                ..pool.status()
            });
        }
        departed
    }

    /// Returns the number of replicas that have not departed.
    pub(crate) fn available_count(&self) -> usize {
        self.by_id
            .values()
            .filter(|pool| !pool.status().departed)
            .count()
    }

    /// Returns the pools of these backends, in the order of `backends`.
    pub(crate) fn pools_of(&self, backends: &[Rc<str>]) -> Pools<C> {
        backends
            .iter()
            .filter_map(|backend| self.by_backend.get(backend))
            .flatten()
            .cloned()
            .collect()
    }

    /// Sets the connection limit of each replica according to its backend.
    pub(crate) fn limit_connections(&self, max_connections: impl Fn(&str) -> usize) {
        for (backend, pools) in &self.by_backend {
            let max_connections = max_connections(backend);
            for pool in pools {
                pool.set_max_connections(max_connections);
            }
        }
    }

    /// Closes idle connections that their replicas are about to close, and removes replicas that departed long ago.
    pub(crate) fn maintain(&mut self, now: Instant) {
        for pool in self.by_id.values() {
            pool.close_expired();
        }
        let known = self.by_id.len();
        self.by_id.retain(|_, pool| !pool.is_past_retention(now));
        if self.by_id.len() < known {
            for pools in self.by_backend.values_mut() {
                pools.retain(|pool| !pool.is_past_retention(now));
            }
        }
    }
}
