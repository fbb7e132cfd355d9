//! What replicas, queries, sub-requests and search indexes are called by.
//!
//! Each has a type of its own, since most decisions name two or three of them side by side. "Index" is a position in a
//! list throughout; what clients search in is a *search index*.

/// A replica's index at this co-ordinator: the caller's slot for it, which may later be another replica's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaIndex(pub usize);

/// A query's index at this co-ordinator: the caller's slot for it, which may be used again once the query is released.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryIndex(pub usize);

/// A sub-request's number within its query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubRequestIndex(pub usize);

/// A search index that queries name, by its position in
/// [`CoordinatorConfig::indexes`](super::CoordinatorConfig::indexes).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SearchIndex(pub usize);
