//! What the holder of the leader lease allots to the fronts of the further tries.

use std::collections::BTreeMap;

use linenthread_messages::{Allotment, Session};

use crate::Budget;
use crate::budget::LEASE;

/// The allotments under the leases that this node held.
pub(crate) struct Allotter {
    budget: Budget,
    first_of_all: bool,
    /// The epoch under which this life last held the lease.
    last_epoch: Option<u64>,
    /// By name and life of a front: its heartbeat that was last answered.
    answered: BTreeMap<(String, u64), u64>,
}

impl Allotter {
    pub(crate) fn new(budget: Budget, first_of_all: bool) -> Allotter {
        Allotter {
            budget,
            first_of_all,
            last_epoch: None,
            answered: BTreeMap::new(),
        }
    }

    /// The lease is this node's from now on. Under the very next epoch nobody can have held it in between:
    /// what this node allotted is all there is.
    pub(crate) fn on_lease(&mut self, now: u64, epoch: u64) {
        if self.last_epoch != Some(epoch - 1) {
            self.budget.begin(now, self.first_of_all && epoch == 1);
        }
        self.last_epoch = Some(epoch);
        self.answered.clear();
    }

    /// For all fronts that have asked since they were last answered.
    pub(crate) fn allot(
        &mut self,
        now: u64,
        epoch: u64,
        fronts: &BTreeMap<String, Session>,
    ) -> Vec<Allotment> {
        let many = fronts.len();
        let mut allotments = Vec::new();
        for (own, session) in fronts.values().enumerate() {
            let key = (session.name.clone(), session.life);
            if session.asked == 0 || self.answered.get(&key) == Some(&session.asked) {
                continue;
            }
            let share = self.budget.give(now, &session.name, session.life, many);
            self.answered.insert(key, session.asked);
            allotments.push(Allotment {
                name: session.name.clone(),
                life: session.life,
                asked: session.asked,
                epoch,
                share,
                lease_ms: LEASE as u32,
                fronts: many as u32,
                own: own as u32,
            });
        }
        self.answered
            .retain(|(name, life), _| fronts.get(name).is_some_and(|s| s.life == *life));
        allotments
    }
}
