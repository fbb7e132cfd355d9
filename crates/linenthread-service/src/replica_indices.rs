//! Assigns to each replica id the small index that identifies the replica in the coordinator, and reuses indices.

use std::collections::HashMap;

use linenthread_core::interface::ReplicaIndex;

/// A replica with an assigned index.
struct ReplicaSlot {
    id: String,
    /// The number of its probes that are in flight, or completed but not yet passed to the coordinator.
    probes: usize,
    /// The number of queries that had been submitted when the replica was removed; `None` while it is listed. The index
    /// may be reused once these queries are completed and the replica has no connection and no unfinished probe.
    removed_after: Option<u64>,
}

/// The assigned indices of replicas.
#[derive(Default)]
pub struct ReplicaIndices {
    by_id: HashMap<String, ReplicaIndex>,
    /// By index; `None` where the index is free.
    slots: Vec<Option<ReplicaSlot>>,
}

impl ReplicaIndices {
    /// Returns the index of a replica id, if one is assigned.
    pub fn get(&self, id: &str) -> Option<ReplicaIndex> {
        self.by_id.get(id).copied()
    }

    /// Returns the index of a replica id; assigns the lowest free index if the id has none.
    pub fn get_or_assign(&mut self, id: &str) -> ReplicaIndex {
        if let Some(known) = self.get(id) {
            return known;
        }
        let free = self
            .slots
            .iter()
            .position(Option::is_none)
            .unwrap_or(self.slots.len());
        self.slots
            .resize_with(self.slots.len().max(free + 1), || None);
        self.slots[free] = Some(ReplicaSlot {
            id: id.to_owned(),
            probes: 0,
            removed_after: None,
        });
        let replica = ReplicaIndex(free);
        self.by_id.insert(id.to_owned(), replica);
        replica
    }

    /// Returns the id of a replica, if the index is assigned.
    pub fn id(&self, replica: ReplicaIndex) -> Option<&str> {
        let slot = self.slots.get(replica.0)?.as_ref()?;
        Some(&slot.id)
    }

    /// Returns the maximum number of indices that were ever in use at once. All indices are lower than this number.
    pub fn count(&self) -> usize {
        self.slots.len()
    }

    /// Records that a probe was sent to a replica.
    pub fn start_probe(&mut self, replica: ReplicaIndex) {
        if let Some(slot) = self.slot(replica) {
            slot.probes += 1;
        }
    }

    /// Records that the outcome of a probe was passed to the coordinator.
    pub fn finish_probe(&mut self, replica: ReplicaIndex) {
        if let Some(slot) = self.slot(replica) {
            slot.probes -= 1;
        }
    }

    /// Marks a replica as listed, so that its index stays assigned.
    pub fn set_listed(&mut self, replica: ReplicaIndex) {
        if let Some(slot) = self.slot(replica) {
            slot.removed_after = None;
        }
    }

    /// Marks a replica as removed; `submitted` is the number of queries submitted so far.
    pub fn set_removed(&mut self, replica: ReplicaIndex, submitted: u64) {
        if let Some(slot) = self.slot(replica) {
            slot.removed_after = Some(submitted);
        }
    }

    /// Marks a replica as removed unless it is already marked; `submitted` is the number of queries submitted so far.
    pub fn ensure_removed(&mut self, replica: ReplicaIndex, submitted: u64) {
        if let Some(slot) = self.slot(replica) {
            slot.removed_after = slot.removed_after.or(Some(submitted));
        }
    }

    /// Frees the indices of removed replicas that are no longer in use; indices are freed nowhere else. All of the
    /// first `completed` submitted queries have ended; `is_vacant` reports whether a replica has neither a route nor a
    /// connection.
    pub fn release_unused(&mut self, completed: u64, is_vacant: impl Fn(ReplicaIndex) -> bool) {
        for (index, entry) in self.slots.iter_mut().enumerate() {
            let is_unused = |slot: &mut ReplicaSlot| {
                let are_queries_completed = slot
                    .removed_after
                    .is_some_and(|removed_after| removed_after <= completed);
                are_queries_completed && slot.probes == 0 && is_vacant(ReplicaIndex(index))
            };
            if let Some(slot) = entry.take_if(is_unused) {
                self.by_id.remove(&slot.id);
            }
        }
    }

    fn slot(&mut self, replica: ReplicaIndex) -> Option<&mut ReplicaSlot> {
        self.slots.get_mut(replica.0)?.as_mut()
    }
}
