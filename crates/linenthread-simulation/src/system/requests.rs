//! Calls of operators and replicas that await a response.

use std::collections::BTreeMap;

use linenthread_control::{CallId, Order, Revision};

/// Request of a call.
pub(super) enum Request {
    /// A new change of an operator, or a retry of one without a clear response.
    Replace {
        operator: usize,
        change: Order,
    },
    /// A committed change that is sent again after `later` further changes.
    Retry {
        change: Order,
        later: usize,
    },
    /// A different change under the revision of a committed one.
    Rival {
        change: Order,
    },
    /// A read; `acknowledged` is the newest revision acknowledged when it was sent.
    Read {
        operator: usize,
        acknowledged: Revision,
    },
    /// A heartbeat of a draining replica, or a departure.
    Drain {
        replica_id: String,
    },
    Heartbeat,
}

/// A call that awaits its response.
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
    /// Adds a call to a node and returns its id.
    pub(super) fn add(&mut self, node: usize, request: Request) -> CallId {
        self.last_id += 1;
        let id = CallId(self.last_id);
        self.calls.insert(id, Call { node, request });
        id
    }

    /// Removes a call and returns its request; `None` if nobody waits for its response any more.
    pub(super) fn remove(&mut self, id: CallId) -> Option<Request> {
        self.calls.remove(&id).map(|call| call.request)
    }

    /// Removes all calls to a node whose process has ended; they get no response.
    pub(super) fn remove_all_of(&mut self, node: usize) {
        self.calls.retain(|_, call| call.node != node);
    }
}
