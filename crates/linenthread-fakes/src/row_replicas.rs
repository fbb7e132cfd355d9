//! Replicas that respond from a row store, and inject faults on demand.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::replicas::{FakeReplicas, SubRequest};
use crate::row_store::RowStore;
use crate::sync::lock;

/// A frame of an unknown type.
const MALFORMED_FRAME: &[u8] = b"\0\0\0\x02Zz";
/// A value that is malformed for every index.
const UNREADABLE_VALUE: &str = "{\"rows\":[7],\"totals\":[]}";

/// What a replica does with a sub-request.
#[derive(Clone, Debug, PartialEq)]
pub enum Behavior {
    /// It responds correctly.
    Respond,
    /// It responds twice, the second time with a different value.
    RespondTwice,
    /// It responds with a value that is malformed for the index.
    UnreadableValue,
    /// It sends a malformed frame.
    MalformedFrame,
    /// It responds with the status `fault`.
    Fault,
    /// It responds with the status `overload`.
    Overload,
    /// It closes the connection.
    Disconnect,
    /// It does not respond.
    NoResponse,
}

/// How and when a replica handles one sub-request.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptedBehavior {
    /// The delay before it acts.
    pub delay: Duration,
    /// What it does.
    pub behavior: Behavior,
}

impl ScriptedBehavior {
    /// Returns a treatment with this behavior and no delay.
    pub fn immediate(behavior: Behavior) -> ScriptedBehavior {
        ScriptedBehavior {
            delay: Duration::ZERO,
            behavior,
        }
    }
}

/// Replicas that share one row store.
pub struct RowReplicas {
    /// The addresses of the replicas, by number.
    pub addresses: Vec<SocketAddr>,
    /// The rows, which may change while the replicas run.
    pub store: Arc<Mutex<RowStore>>,
}

impl RowReplicas {
    /// Starts this number of replicas. `treatment` decides how each sub-request is handled; a page has at most
    /// `max_rows` rows.
    ///
    /// # Panics
    ///
    /// If loopback has no free port.
    pub fn start(
        count: usize,
        store: RowStore,
        max_rows: usize,
        mut treatment: impl FnMut(&SubRequest) -> ScriptedBehavior + Send + 'static,
    ) -> RowReplicas {
        let replicas = FakeReplicas::start(count);
        let addresses = replicas.addresses.clone();
        let store = Arc::new(Mutex::new(store));
        let shared = store.clone();
        spawn(move || {
            while let Some(sub_request) = replicas.wait_for_sub_request() {
                let ScriptedBehavior { delay, behavior } = treatment(&sub_request);
                let store = shared.clone();
                spawn(move || {
                    sleep(delay);
                    let SubRequest { shard, text, .. } = &sub_request;
                    let value = lock(&store).respond(*shard, text, max_rows);
                    apply_behavior(&sub_request, &behavior, &value);
                });
            }
        });
        RowReplicas { addresses, store }
    }
}

/// Handles a sub-request. Failed writes are ignored, since in some tests the other side has closed the connection by
/// then.
fn apply_behavior(sub_request: &SubRequest, behavior: &Behavior, value: &str) {
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
