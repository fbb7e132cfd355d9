//! A query that has not been released.

use std::collections::BTreeMap;

use linenthread_core::interface::{SubRequestIndex, TenthMillis};
use linenthread_merge::{Acceptance, Merger};

use super::decision::Attempt;
use super::invariant::{Invariant, Violation};

/// What a second response to a sub-request has as its value: it must not count.
const DUPLICATE_VALUE: &str = "{\"rows\":[],\"more\":false}";

/// A query that has not been released.
pub(super) struct OpenQuery<'p> {
    pub(super) merger: Merger<'p>,
    pub(super) client: usize,
    pub(super) page_size: usize,
    pub(super) hard_deadline: TenthMillis,
    /// It was responded to, rejected or failed.
    pub(super) is_completed: bool,
    /// How many attempts were made of each sub-request.
    pub(super) attempts: BTreeMap<SubRequestIndex, usize>,
    /// What each attempt has requested.
    pub(super) requests: BTreeMap<Attempt, Request>,
}

/// What an attempt requests of a replica.
#[derive(Clone, Default)]
pub(super) struct Request {
    /// How often the sub-request was continued before.
    pub(super) continuation: u32,
    pub(super) text: String,
}

/// How a value that a replica gave was taken.
pub(super) struct AcceptedValue {
    /// The merger counts it, or had one already.
    pub(super) is_accepted: bool,
    /// How an invariant was violated, if one was.
    pub(super) violation: Option<Violation>,
}

impl OpenQuery<'_> {
    /// Gives the merger a value that is valid.
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

    /// Gives the merger a value that need not be valid; whether it is accepted.
    pub(super) fn accepts(
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

    /// Gives the merger another value of a sub-request that has one; the violation if it counts.
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
