//! Calls of operators and replicas that wait for their response.

use std::collections::BTreeMap;

use linenthread_control::{CallId, Order, Revision};

/// What a call asks for.
pub(super) enum Request {
    /// A new change of an operator, or one that it has had no clear response to.
    Replace {
        operator: usize,
        change: Order,
    },
    /// A change that was committed, sent again after so many later ones.
    Retry {
        change: Order,
        later: usize,
    },
    /// Another change under the revision of one that was committed.
    Rival {
        change: Order,
    },
    /// A read, when this revision had been acknowledged.
    Read {
        operator: usize,
        acknowledged: Revision,
    },
    /// A heartbeat of a replica that drains.
    Drain {
        replica_id: String,
    },
    Heartbeat,
}

/// A call that waits for its response.
struct Call {
    node: usize,
    request: Request,
}

#[derive(Default)]
pub(super) struct Calls {
    calls: BTreeMap<CallId, Call>,
    last_id: u64,
}

impl Calls {
    /// Notes a call at a node.
    pub(super) fn add(&mut self, node: usize, request: Request) -> CallId {
        self.last_id += 1;
        let id = CallId(self.last_id);
        self.calls.insert(id, Call { node, request });
        id
    }

    /// Takes the request of a call; none if nobody waits for its response any more.
    pub(super) fn remove(&mut self, id: CallId) -> Option<Request> {
        self.calls.remove(&id).map(|call| call.request)
    }

    /// The process of a node has ended: its calls get no response.
    pub(super) fn remove_all_of(&mut self, node: usize) {
        self.calls.retain(|_, call| call.node != node);
    }
}
