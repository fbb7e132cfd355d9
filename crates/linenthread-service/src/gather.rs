//! Where a lookup's values gather until it is answered: as they came, or merged as the operators' file says.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use linenthread_core::interface::AttemptOutcome;
use linenthread_merge::{
    Acceptance, CursorSigner, MergeQuery, Merger, PageRequest, Plan, QueriedShard,
};
use linenthread_protocol::query::{self as protocol, Page, Query};
use tracing::warn;

use crate::log::Sparing;

/// Which indexes are merged, and how.
#[derive(Default)]
pub(crate) struct Merging {
    /// By the settings' numbers of indexes.
    plans: Vec<Option<Plan>>,
    signer: Option<CursorSigner>,
}

/// Seconds since 1970, for the lifetime of cursors.
fn unix_now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}

impl Merging {
    /// Plans by the settings' numbers of indexes.
    pub(crate) fn new(plans: Vec<Option<Plan>>, signer: Option<CursorSigner>) -> Merging {
        Merging { plans, signer }
    }

    /// How many indexes are merged.
    pub(crate) fn count(&self) -> usize {
        self.plans.iter().flatten().count()
    }

    pub(crate) fn is_merged(&self, index: usize) -> bool {
        self.plan(index).is_some()
    }

    fn plan(&self, index: usize) -> Option<&Plan> {
        self.plans.get(index)?.as_ref()
    }
}

/// What was odd about slices' values, counted for the log.
#[derive(Default)]
pub(crate) struct Oddities {
    differ: Cell<u64>,
    unreadable: Cell<u64>,
    lines: Sparing,
}

/// What every lookup gathers by.
#[derive(Default)]
pub(crate) struct Gathering {
    pub merging: RefCell<Rc<Merging>>,
    pub oddities: Oddities,
}

/// The values of one lookup.
pub(crate) enum Gather<'a> {
    AsTheyCame(Vec<Option<String>>),
    Merged {
        merger: Merger<'a>,
        signer: Option<&'a CursorSigner>,
        oddities: &'a Oddities,
    },
}

impl<'a> Gather<'a> {
    /// Begins for a lookup.
    ///
    /// # Errors
    ///
    /// A page that can't be had, where its index is merged.
    pub(crate) fn begin(
        merging: &'a Merging,
        oddities: &'a Oddities,
        index: usize,
        shards: usize,
        asked: &Query,
        page: Page,
    ) -> Result<Self, String> {
        let Some(plan) = merging.plan(index) else {
            return Ok(Gather::AsTheyCame(vec![None; asked.sub_requests.len()]));
        };
        let Page { rows, cursor } = page;
        let queried: Vec<_> = asked
            .sub_requests
            .iter()
            .map(|p| QueriedShard {
                shard: p.shard,
                weight: p.weight,
            })
            .collect();
        let query = MergeQuery {
            customer: asked.customer.as_deref(),
            key: asked.key.as_deref(),
            text: &asked.body,
            shards: &queried,
            shard_count: shards,
        };
        let signer = merging.signer.as_ref();
        let merger = Merger::new(
            plan,
            &query,
            &PageRequest { rows, cursor },
            signer,
            unix_now(),
        )
        .map_err(|error| error.to_string())?;
        Ok(Gather::Merged {
            merger,
            signer,
            oddities,
        })
    }

    /// What a part's replica is to be asked now, and how many times it was asked on before.
    pub(crate) fn question(&self, part: usize, text: &Rc<str>) -> (u32, Rc<str>) {
        match self {
            Gather::AsTheyCame(_) => (0, text.clone()),
            Gather::Merged { merger, .. } => {
                (merger.continuation(part), merger.request_text(part).into())
            }
        }
    }

    /// Takes what a part call brought, and says how it truly ended: a value that is none has run and failed.
    pub(crate) fn take(
        &mut self,
        (part, round): (usize, u32),
        ending: AttemptOutcome,
        value: String,
        of: impl Fn() -> (String, usize),
    ) -> AttemptOutcome {
        let Gather::Merged {
            merger, oddities, ..
        } = self
        else {
            if let (Gather::AsTheyCame(values), AttemptOutcome::Success) = (self, ending) {
                values[part].get_or_insert(value);
            }
            return ending;
        };
        if ending != AttemptOutcome::Success {
            merger.fail(part);
            return ending;
        }
        let count = |of: &Cell<u64>| {
            of.set(of.get() + 1);
            of.get()
        };
        match merger.accept(part, round, &value) {
            Acceptance::Counted | Acceptance::Duplicate { differs: false } => ending,
            Acceptance::Duplicate { differs: true } => {
                let all = count(&oddities.differ);
                if let Some(left_out) = oddities.lines.line() {
                    let (replica, shard) = of();
                    warn!(
                        replica,
                        shard, all, left_out, "copies of a part differ, the first one counts"
                    );
                }
                ending
            }
            Acceptance::Invalid(error) => {
                let all = count(&oddities.unreadable);
                if let Some(left_out) = oddities.lines.line() {
                    let (replica, shard) = of();
                    let why: String = error.to_string().chars().take(160).collect();
                    warn!(
                        replica,
                        shard, all, left_out, "a part's value cannot be merged: {why}"
                    );
                }
                AttemptOutcome::Error
            }
        }
    }

    /// Parts that are to be asked on, each named once.
    pub(crate) fn onward(&mut self) -> Vec<usize> {
        match self {
            Gather::AsTheyCame(_) => Vec::new(),
            Gather::Merged { merger, .. } => merger.take_continuations(),
        }
    }

    /// The body of the answer from what is in.
    pub(crate) fn answer(&self, whole: bool, asked: &Query) -> Vec<u8> {
        match self {
            Gather::AsTheyCame(values) => {
                let shards = asked.sub_requests.iter().map(|p| p.shard);
                let found = shards
                    .zip(values)
                    .filter_map(|(s, v)| Some((s, v.as_deref()?)));
                protocol::encode_response(whole, found)
            }
            Gather::Merged { merger, signer, .. } => merger.response(whole, *signer, unix_now()),
        }
    }
}
