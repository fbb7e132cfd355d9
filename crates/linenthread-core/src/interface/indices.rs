//! Indices of replicas, queries, sub-requests and search indexes.
//!
//! Each has its own type, since most decisions refer to two or three of them side by side. "Index" always means a
//! position in a list; an index that clients search in is a *search index*.

/// The index of a replica at this co-ordinator: a slot that the caller assigns and may later assign to another replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaIndex(pub usize);

/// The index of a query at this co-ordinator: a slot that the caller assigns and may reuse after the query is released.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryIndex(pub usize);

/// A sub-request's number within its query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubRequestIndex(pub usize);

/// A search index, by its position in [`CoordinatorConfig::indexes`](super::CoordinatorConfig::indexes).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SearchIndex(pub usize);
