//! State shared by the threads of one stub replica.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use super::faults::{Fault, ReplicaFaults};

/// A request that a replica ran.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedRequest {
    /// The id of the attempt; empty if the request has none.
    pub attempt: String,
    /// The path, with the query.
    pub path: String,
    /// When it was received, as the time since the Unix epoch.
    pub received_at: Duration,
    /// The tenant on whose behalf it was sent, from `X-Client-Name`.
    pub tenant: Option<String>,
    /// Whether it had an `Authorization` header, in which clients send their key.
    pub has_key: bool,
}

pub(super) struct State {
    pub(super) service: String,
    pub(super) id: String,
    pub(super) faults: ReplicaFaults,
    received: Mutex<Vec<ReceivedRequest>>,
    fault_counts: Mutex<BTreeMap<&'static str, usize>>,
    is_down: AtomicBool,
}

impl State {
    pub(super) fn new(service: &str, id: &str, faults: ReplicaFaults) -> State {
        State {
            service: service.to_owned(),
            id: id.to_owned(),
            faults,
            received: Mutex::default(),
            fault_counts: Mutex::default(),
            is_down: AtomicBool::new(false),
        }
    }

    pub(super) fn is_down(&self) -> bool {
        self.is_down.load(Ordering::Relaxed)
    }

    pub(super) fn crash(&self) {
        self.is_down.store(true, Ordering::Relaxed);
    }

    pub(super) fn record(&self, request: ReceivedRequest) {
        if let Ok(mut received) = self.received.lock() {
            received.push(request);
        }
    }

    pub(super) fn received(&self) -> Vec<ReceivedRequest> {
        let received = self.received.lock();
        received.map(|all| all.clone()).unwrap_or_default()
    }

    pub(super) fn count_fault(&self, fault: Fault) {
        if let Ok(mut counts) = self.fault_counts.lock() {
            *counts.entry(fault.name()).or_default() += 1;
        }
    }

    pub(super) fn faults(&self) -> BTreeMap<&'static str, usize> {
        let counts = self.fault_counts.lock();
        counts.map(|all| all.clone()).unwrap_or_default()
    }
}
