//! Which indexes are merged, and how.

use linenthread_merge::{CursorSigner, Plan};

/// Which indexes are merged, and how.
#[derive(Default)]
pub struct MergePlans {
    /// By the index's position in the settings; `None` where it is not merged.
    plans: Vec<Option<Plan>>,
    pub(super) signer: Option<CursorSigner>,
}

impl MergePlans {
    /// Plans by the index's position in the settings.
    pub(crate) fn new(plans: Vec<Option<Plan>>, signer: Option<CursorSigner>) -> MergePlans {
        MergePlans { plans, signer }
    }

    /// The number of indexes that are merged.
    pub fn count(&self) -> usize {
        self.plans.iter().flatten().count()
    }

    pub(crate) fn is_merged(&self, index: usize) -> bool {
        self.plan(index).is_some()
    }

    /// How an index is merged; `None` where it is not.
    pub(super) fn plan(&self, index: usize) -> Option<&Plan> {
        self.plans.get(index)?.as_ref()
    }
}
