//! The merge plans of the indexes.

use linenthread_merge::{CursorSigner, Plan};

/// The merge plan of each index, and the signer of page cursors.
#[derive(Default)]
pub struct MergePlans {
    /// By the index's position in the settings; `None` for an index that is not merged.
    plans: Vec<Option<Plan>>,
    pub(super) signer: Option<CursorSigner>,
}

impl MergePlans {
    /// `plans` are ordered by the index's position in the settings.
    pub(crate) fn new(plans: Vec<Option<Plan>>, signer: Option<CursorSigner>) -> MergePlans {
        MergePlans { plans, signer }
    }

    /// Returns the number of merged indexes.
    pub fn count(&self) -> usize {
        self.plans.iter().flatten().count()
    }

    pub(crate) fn is_merged(&self, index: usize) -> bool {
        self.plan(index).is_some()
    }

    /// Returns the merge plan of an index, or `None` if it is not merged.
    pub(super) fn plan(&self, index: usize) -> Option<&Plan> {
        self.plans.get(index)?.as_ref()
    }
}
