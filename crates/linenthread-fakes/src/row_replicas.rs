//! Replicas that respond from a row store, with faults on cue.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::replicas::{FakeReplicas, SubRequest};
use crate::row_store::RowStore;
use crate::sync::lock;

/// A frame of an unknown type.
const MALFORMED_FRAME: &[u8] = b"\0\0\0\x02Zz";
/// A value that is none of any index.
const UNREADABLE_VALUE: &str = "{\"rows\":[7],\"totals\":[]}";

/// What a replica does with a sub-request.
#[derive(Clone, Debug, PartialEq)]
pub enum Behavior {
    /// It responds.
    Respond,
    /// It responds twice, the second time with another text.
    RespondTwice,
    /// It responds with a text that is no value of the index.
    UnreadableValue,
    /// It sends a malformed frame.
    MalformedFrame,
    /// It responds that it failed.
    Fault,
    /// It responds that it is overloaded.
    Overload,
    /// It closes the connection.
    Disconnect,
    /// It does not respond.
    NoResponse,
}

/// How a replica treats one sub-request.
#[derive(Clone, Debug, PartialEq)]
pub struct Treatment {
    /// After how long it does something.
    pub delay: Duration,
    /// What it does.
    pub behavior: Behavior,
}

impl Treatment {
    /// It behaves so without delay.
    pub fn at_once(behavior: Behavior) -> Treatment {
        Treatment {
            delay: Duration::ZERO,
            behavior,
        }
    }
}

/// Replicas over one row store.
pub struct RowReplicas {
    /// Where the replicas listen, by number.
    pub addresses: Vec<SocketAddr>,
    /// The rows, which may change while the replicas run.
    pub store: Arc<Mutex<RowStore>>,
}

impl RowReplicas {
    /// Starts so many replicas; `cue` decides how each sub-request is treated.
    ///
    /// # Panics
    ///
    /// If loopback has no free port.
    pub fn start(
        count: usize,
        store: RowStore,
        max_rows: usize,
        mut cue: impl FnMut(&SubRequest) -> Treatment + Send + 'static,
    ) -> RowReplicas {
        let replicas = FakeReplicas::start(count);
        let addresses = replicas.addresses.clone();
        let store = Arc::new(Mutex::new(store));
        let shared = store.clone();
        spawn(move || {
            while let Some(sub_request) = replicas.wait_for_sub_request() {
                let Treatment { delay, behavior } = cue(&sub_request);
                let store = shared.clone();
                spawn(move || {
                    sleep(delay);
                    let SubRequest { shard, text, .. } = &sub_request;
                    let value = lock(&store).respond(*shard, text, max_rows);
                    behave(&sub_request, &behavior, &value);
                });
            }
        });
        RowReplicas { addresses, store }
    }
}

/// Treats a sub-request. That the other side may have closed the connection by now is part of the tests.
fn behave(sub_request: &SubRequest, behavior: &Behavior, value: &str) {
    match behavior {
        Behavior::Respond => {
            sub_request.try_respond("hit", value);
        }
        Behavior::RespondTwice => {
            sub_request.try_respond("hit", value);
            sub_request.try_respond("hit", "something else");
        }
        Behavior::UnreadableValue => {
            sub_request.try_respond("hit", UNREADABLE_VALUE);
        }
        Behavior::MalformedFrame => {
            sub_request.send_bytes(MALFORMED_FRAME);
        }
        Behavior::Fault => {
            sub_request.try_respond("fault", "");
        }
        Behavior::Overload => {
            sub_request.try_respond("overload", "");
        }
        Behavior::Disconnect => sub_request.disconnect(),
        Behavior::NoResponse => {}
    }
}
