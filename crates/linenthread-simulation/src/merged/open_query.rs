//! A query that the decision module has not released yet.

use std::collections::BTreeMap;

use linenthread_core::interface::{SubRequestIndex, TenthMillis};
use linenthread_merge::{Acceptance, Merger};

use super::decision::Attempt;
use super::invariant::{Invariant, Violation};

/// The value of a second response to a sub-request, which the merger must ignore.
const DUPLICATE_VALUE: &str = "{\"rows\":[],\"more\":false}";

/// A query that the decision module has not released yet.
pub(super) struct OpenQuery<'p> {
    pub(super) merger: Merger<'p>,
    pub(super) client: usize,
    pub(super) page_size: usize,
    pub(super) hard_deadline: TenthMillis,
    /// Whether it has been answered, rejected or failed.
    pub(super) is_completed: bool,
    /// The number of attempts of each sub-request.
    pub(super) attempts: BTreeMap<SubRequestIndex, usize>,
    /// The request of each attempt.
    pub(super) requests: BTreeMap<Attempt, Request>,
}

/// The request that an attempt sends to a replica.
#[derive(Clone, Default)]
pub(super) struct Request {
    /// How often the sub-request had been continued before.
    pub(super) continuation: u32,
    pub(super) text: String,
}

/// The result of passing a replica's value to the merger.
pub(super) struct AcceptedValue {
    /// Whether the merger counted the value or already had one for the sub-request.
    pub(super) is_accepted: bool,
    pub(super) violation: Option<Violation>,
}

impl OpenQuery<'_> {
    /// Passes a valid value to the merger.
    pub(super) fn accept_valid(
        &mut self,
        sub_request: SubRequestIndex,
        request: &Request,
        value: &str,
    ) -> AcceptedValue {
        match self.accept(sub_request, request, value) {
            Acceptance::Invalid(error) => AcceptedValue {
                is_accepted: false,
                violation: Some(Violation::new(
                    Invariant::ValidValuesCount,
                    format!("{error}: {value}"),
                )),
            },
            Acceptance::Counted | Acceptance::Duplicate { .. } => AcceptedValue {
                is_accepted: true,
                violation: None,
            },
        }
    }

    /// Passes a value that may be invalid to the merger, and reports whether it is accepted.
    pub(super) fn try_accept(
        &mut self,
        sub_request: SubRequestIndex,
        request: &Request,
        value: &str,
    ) -> bool {
        !matches!(
            self.accept(sub_request, request, value),
            Acceptance::Invalid(_)
        )
    }

    /// Passes a second value of a sub-request to the merger, and returns a violation if the value counts.
    pub(super) fn accept_duplicate(
        &mut self,
        sub_request: SubRequestIndex,
        request: &Request,
    ) -> Option<Violation> {
        match self.accept(sub_request, request, DUPLICATE_VALUE) {
            Acceptance::Duplicate { .. } => None,
            other => Some(Violation::new(
                Invariant::DuplicatesDoNotCount,
                format!("a duplicate response counts: {other:?}"),
            )),
        }
    }

    fn accept(
        &mut self,
        sub_request: SubRequestIndex,
        request: &Request,
        value: &str,
    ) -> Acceptance {
        self.merger
            .accept(sub_request.0, request.continuation, value)
    }
}
