//! Typed access to lists, so that each can be accessed only by its own kind of index.

use std::ops::{Index, IndexMut};

use super::{Query, Replica, SubRequest};
use crate::interface::{QueryIndex, ReplicaIndex, SubRequestIndex};

impl Index<ReplicaIndex> for Vec<Replica> {
    type Output = Replica;

    fn index(&self, ReplicaIndex(index): ReplicaIndex) -> &Replica {
        &self[index]
    }
}

impl IndexMut<ReplicaIndex> for Vec<Replica> {
    fn index_mut(&mut self, ReplicaIndex(index): ReplicaIndex) -> &mut Replica {
        &mut self[index]
    }
}

impl Index<QueryIndex> for Vec<Option<Query>> {
    type Output = Option<Query>;

    fn index(&self, QueryIndex(index): QueryIndex) -> &Option<Query> {
        &self[index]
    }
}

impl IndexMut<QueryIndex> for Vec<Option<Query>> {
    fn index_mut(&mut self, QueryIndex(index): QueryIndex) -> &mut Option<Query> {
        &mut self[index]
    }
}

impl Index<SubRequestIndex> for Vec<SubRequest> {
    type Output = SubRequest;

    fn index(&self, SubRequestIndex(index): SubRequestIndex) -> &SubRequest {
        &self[index]
    }
}

impl IndexMut<SubRequestIndex> for Vec<SubRequest> {
    fn index_mut(&mut self, SubRequestIndex(index): SubRequestIndex) -> &mut SubRequest {
        &mut self[index]
    }
}
