//! A query that has not been released.

use std::collections::BTreeMap;

use linenthread_core::interface::TenthMillis;
use linenthread_merge::Merger;

/// A query that has not been released.
pub(super) struct OpenQuery<'p> {
    pub(super) merger: Merger<'p>,
    pub(super) client: usize,
    pub(super) page_size: usize,
    pub(super) hard_deadline: TenthMillis,
    pub(super) answered: bool,
    /// How many attempts were made of each sub-request.
    pub(super) attempts: BTreeMap<usize, usize>,
    /// What each attempt, by sub-request and number, has asked for.
    pub(super) requests: BTreeMap<(usize, usize), Request>,
}

#[derive(Clone, Default)]
pub(super) struct Request {
    pub(super) continuation: u32,
    pub(super) text: String,
}
