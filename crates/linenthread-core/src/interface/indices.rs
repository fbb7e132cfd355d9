//! The indices that the caller hands out.
//!
//! Each has a type of its own, since most decisions name two or three of them side by side.

/// A replica's index at this co-ordinator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaIndex(pub usize);

/// A query's index at this co-ordinator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryIndex(pub usize);

/// A sub-request's number within its query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubRequestIndex(pub usize);
