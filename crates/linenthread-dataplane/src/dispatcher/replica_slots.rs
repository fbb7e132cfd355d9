//! Maps replicas to the indices that the decision module uses for them.

use std::collections::HashMap;
use std::rc::Rc;

use linenthread_core::interface::ReplicaIndex;

use super::query::SequenceNumber;
use crate::pool::ReplicaPool;
use crate::transport::Connector;

/// The index of a departed replica.
struct DepartedReplica {
    replica: ReplicaIndex,
    /// The newest query at the time of the departure.
    last_query: SequenceNumber,
}

/// Pools by replica index, and indices by replica id.
pub(super) struct ReplicaSlots<C: Connector> {
    pools: Vec<Rc<ReplicaPool<C>>>,
    indices: HashMap<String, ReplicaIndex>,
    departed: Vec<DepartedReplica>,
    free: Vec<ReplicaIndex>,
}

impl<C: Connector> ReplicaSlots<C> {
    pub(super) fn new() -> ReplicaSlots<C> {
        ReplicaSlots {
            pools: Vec::new(),
            indices: HashMap::new(),
            departed: Vec::new(),
            free: Vec::new(),
        }
    }

    pub(super) fn pool(&self, replica: ReplicaIndex) -> &Rc<ReplicaPool<C>> {
        &self.pools[replica.0]
    }

    /// Applies the status of a replica and returns its index; `None` if the replica is unknown and has already
    /// departed. `last_query` is the newest query.
    pub(super) fn update(
        &mut self,
        pool: &Rc<ReplicaPool<C>>,
        last_query: SequenceNumber,
    ) -> Option<ReplicaIndex> {
        let replica = self.index_of(pool)?;
        self.departed.retain(|departed| departed.replica != replica);
        if pool.status().departed {
            self.departed.push(DepartedReplica {
                replica,
                last_query,
            });
        }
        Some(replica)
    }

    /// Returns the index of a replica, and assigns one if the replica is new and has not departed.
    fn index_of(&mut self, pool: &Rc<ReplicaPool<C>>) -> Option<ReplicaIndex> {
        if let Some(known) = self.indices.get(pool.id()) {
            return Some(*known);
        }
        if pool.status().departed {
            return None;
        }
        let replica = if let Some(free) = self.free.pop() {
            self.pools[free.0] = pool.clone();
            free
        } else {
            self.pools.push(pool.clone());
            ReplicaIndex(self.pools.len() - 1)
        };
        self.indices.insert(pool.id().to_owned(), replica);
        Some(replica)
    }

    /// Reports whether indices of departed replicas are still to be freed.
    pub(super) fn has_departed(&self) -> bool {
        !self.departed.is_empty()
    }

    /// Frees the indices of replicas that departed before the oldest open query was opened, since no query can refer
    /// to them any more. If no query is open, frees those of all departed replicas.
    pub(super) fn free_departed(&mut self, oldest_open_query: Option<SequenceNumber>) {
        let (pools, indices, free) = (&self.pools, &mut self.indices, &mut self.free);
        self.departed.retain(|departed| {
            let is_unused = oldest_open_query.is_none_or(|oldest| departed.last_query < oldest);
            if is_unused {
                indices.remove(pools[departed.replica.0].id());
                free.push(departed.replica);
            }
            !is_unused
        });
    }
}
