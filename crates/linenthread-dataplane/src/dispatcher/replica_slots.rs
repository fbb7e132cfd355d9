//! The indices under which the decision module knows replicas.

use std::collections::HashMap;
use std::rc::Rc;

use linenthread_core::interface::ReplicaIndex;

use crate::pool::ReplicaPool;
use crate::transport::Connector;

/// The index of a replica that has departed.
struct DepartedSlot {
    slot: ReplicaIndex,
    /// The sequence number of the last query that was opened before.
    last_query: u64,
}

/// The pools of the replicas by index, and the indices by the replicas' ids.
pub(super) struct ReplicaSlots<C: Connector> {
    pools: Vec<Rc<ReplicaPool<C>>>,
    slots: HashMap<String, ReplicaIndex>,
    departed: Vec<DepartedSlot>,
    free: Vec<ReplicaIndex>,
}

impl<C: Connector> ReplicaSlots<C> {
    pub(super) fn new() -> ReplicaSlots<C> {
        ReplicaSlots {
            pools: Vec::new(),
            slots: HashMap::new(),
            departed: Vec::new(),
            free: Vec::new(),
        }
    }

    pub(super) fn pool(&self, slot: ReplicaIndex) -> &Rc<ReplicaPool<C>> {
        &self.pools[slot.0]
    }

    /// Takes in the status of a replica; its index, unless it is unknown and has departed already. `last_query`
    /// is the sequence number of the last query that was opened.
    pub(super) fn update(
        &mut self,
        pool: &Rc<ReplicaPool<C>>,
        last_query: u64,
    ) -> Option<ReplicaIndex> {
        let slot = self.slot_of(pool)?;
        self.departed.retain(|departed| departed.slot != slot);
        if pool.status().departed {
            self.departed.push(DepartedSlot { slot, last_query });
        }
        Some(slot)
    }

    /// The index of a replica, which gets one if it is new and there.
    fn slot_of(&mut self, pool: &Rc<ReplicaPool<C>>) -> Option<ReplicaIndex> {
        if let Some(known) = self.slots.get(pool.id()) {
            return Some(*known);
        }
        if pool.status().departed {
            return None;
        }
        let slot = match self.free.pop() {
            Some(slot) => {
                self.pools[slot.0] = pool.clone();
                slot
            }
            None => {
                self.pools.push(pool.clone());
                ReplicaIndex(self.pools.len() - 1)
            }
        };
        self.slots.insert(pool.id().to_owned(), slot);
        Some(slot)
    }

    /// Whether an index waits to be free again.
    pub(super) fn has_departed(&self) -> bool {
        !self.departed.is_empty()
    }

    /// Frees the indices of replicas that departed before the oldest open query was opened, since no query can
    /// name them any more.
    pub(super) fn free_departed(&mut self, oldest_open_query: u64) {
        let (pools, slots, free) = (&self.pools, &mut self.slots, &mut self.free);
        self.departed.retain(|departed| {
            let is_unused = departed.last_query < oldest_open_query;
            if is_unused {
                slots.remove(pools[departed.slot.0].id());
                free.push(departed.slot);
            }
            !is_unused
        });
    }
}
