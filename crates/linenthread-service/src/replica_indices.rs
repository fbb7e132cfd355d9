//! Assigns replica ids the small indices by which the coordinator knows them, and reuses indices.

use std::collections::HashMap;

use linenthread_core::interface::ReplicaIndex;

/// A replica that has an index.
struct ReplicaSlot {
    id: String,
    /// Probes of it that are in flight, or completed and not yet passed to the coordinator.
    probes: usize,
    /// How many queries had been submitted when it was removed. Once these are over, it has no connection and no
    /// probe of it is in flight, its index may be reused.
    removed_after: Option<u64>,
}

/// The indices of replicas.
#[derive(Default)]
pub struct ReplicaIndices {
    by_id: HashMap<String, ReplicaIndex>,
    /// By index; `None` where the index is free.
    slots: Vec<Option<ReplicaSlot>>,
}

impl ReplicaIndices {
    /// The index of an id, if it has one.
    pub fn get(&self, id: &str) -> Option<ReplicaIndex> {
        self.by_id.get(id).copied()
    }

    /// The index of an id; one that has none is assigned the lowest that is free.
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

    /// The id of a replica, if the index is assigned.
    pub fn id(&self, replica: ReplicaIndex) -> Option<&str> {
        let slot = self.slots.get(replica.0)?.as_ref()?;
        Some(&slot.id)
    }

    /// The number of indices ever in use at once: all are lower.
    pub fn count(&self) -> usize {
        self.slots.len()
    }

    /// A probe of a replica was sent.
    pub fn start_probe(&mut self, replica: ReplicaIndex) {
        if let Some(slot) = self.slot(replica) {
            slot.probes += 1;
        }
    }

    /// The coordinator has the outcome of a probe.
    pub fn finish_probe(&mut self, replica: ReplicaIndex) {
        if let Some(slot) = self.slot(replica) {
            slot.probes -= 1;
        }
    }

    /// Marks a replica as listed: its index stays assigned.
    pub fn set_listed(&mut self, replica: ReplicaIndex) {
        if let Some(slot) = self.slot(replica) {
            slot.removed_after = None;
        }
    }

    /// Marks a replica as removed after so many queries had been submitted.
    pub fn set_removed(&mut self, replica: ReplicaIndex, submitted: u64) {
        if let Some(slot) = self.slot(replica) {
            slot.removed_after = Some(submitted);
        }
    }

    /// Marks a replica as removed unless it already was.
    pub fn ensure_removed(&mut self, replica: ReplicaIndex, submitted: u64) {
        if let Some(slot) = self.slot(replica) {
            slot.removed_after = slot.removed_after.or(Some(submitted));
        }
    }

    /// The only place that frees indices: the first `completed` queries that were submitted are over.
    pub fn release_unused(&mut self, completed: u64, is_vacant: impl Fn(ReplicaIndex) -> bool) {
        for (index, entry) in self.slots.iter_mut().enumerate() {
            let is_unused = |slot: &mut ReplicaSlot| {
                let over = slot
                    .removed_after
                    .is_some_and(|removed_after| removed_after <= completed);
                over && slot.probes == 0 && is_vacant(ReplicaIndex(index))
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
