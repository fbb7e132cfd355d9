//! The events of a simulation: executions and arrivals at replicas, rule violations that replicas detect, and a digest.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use linenthread_dataplane::clock;
use tokio::time::Instant;

use crate::content::hash_words;

/// An execution of an attempt at a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Execution {
    pub(crate) request_id: String,
    pub(crate) path: String,
    pub(crate) backend: String,
    pub(crate) replica_id: String,
}

/// The arrival of a request at a replica, whether it is executed or not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Arrival {
    pub(crate) request_id: String,
    pub(crate) at: Instant,
    /// The tenants named in its headers.
    pub(crate) tenants: Vec<String>,
}

/// An event that is included in the digest.
pub(crate) enum Event<'a> {
    /// A client sent a request.
    RequestSent { request_id: &'a str, path: &'a str },
    /// A client got a response.
    ResponseReceived {
        request_id: &'a str,
        status: u16,
        seal: &'a str,
    },
    /// A replica executed an attempt.
    Executed(&'a Execution),
}

impl Event<'_> {
    /// Mixes the event into a digest. The strings that identify the kinds of events must not change, because digests
    /// are compared across versions of the simulation.
    fn mix_into(&self, digest: u64) -> u64 {
        match self {
            Event::RequestSent { request_id, path } => {
                hash_words(&["asked", request_id, path], digest)
            }
            Event::ResponseReceived {
                request_id,
                status,
                seal,
            } => hash_words(&["answered", request_id, &status.to_string(), seal], digest),
            Event::Executed(execution) => hash_words(
                &[
                    "ran",
                    &execution.request_id,
                    &execution.path,
                    &execution.replica_id,
                ],
                digest,
            ),
        }
    }
}

#[derive(Default)]
struct State {
    executions: Vec<Execution>,
    executions_by_request: BTreeMap<String, usize>,
    arrivals: Vec<Arrival>,
    /// Descriptions of received bytes that contained a client's key.
    leaked_keys: Vec<String>,
    /// Descriptions of requests written on connections that must not be used.
    misused_connections: Vec<String>,
    digest: u64,
}

/// The event log, shared by all parts of a simulation.
#[derive(Clone, Default)]
pub(crate) struct EventLog(Rc<RefCell<State>>);

impl EventLog {
    /// Adds an event and the current time to the digest.
    pub(crate) fn add(&self, event: &Event<'_>) {
        let mut state = self.0.borrow_mut();
        let now = clock::now_tenth_millis().cast_unsigned();
        state.digest = event.mix_into(state.digest.rotate_left(7) ^ now);
    }

    /// Adds an execution and returns its number, counted from 0.
    pub(crate) fn add_execution(&self, execution: Execution) -> usize {
        self.add(&Event::Executed(&execution));
        let mut state = self.0.borrow_mut();
        let request_id = execution.request_id.clone();
        *state.executions_by_request.entry(request_id).or_default() += 1;
        state.executions.push(execution);
        state.executions.len() - 1
    }

    pub(crate) fn add_arrival(&self, arrival: Arrival) {
        self.0.borrow_mut().arrivals.push(arrival);
    }

    /// Removes and returns all arrivals.
    pub(crate) fn take_arrivals(&self) -> Vec<Arrival> {
        std::mem::take(&mut self.0.borrow_mut().arrivals)
    }

    /// Records that a replica received a client's key.
    pub(crate) fn add_leaked_key(&self, cause: String) {
        self.0.borrow_mut().leaked_keys.push(cause);
    }

    /// Removes and returns the descriptions of all leaked keys.
    pub(crate) fn take_leaked_keys(&self) -> Vec<String> {
        std::mem::take(&mut self.0.borrow_mut().leaked_keys)
    }

    /// Records that a request was written on a connection that must not be used.
    pub(crate) fn add_misused_connection(&self, cause: String) {
        self.0.borrow_mut().misused_connections.push(cause);
    }

    /// Removes and returns the descriptions of all misused connections.
    pub(crate) fn take_misused_connections(&self) -> Vec<String> {
        std::mem::take(&mut self.0.borrow_mut().misused_connections)
    }

    pub(crate) fn digest(&self) -> u64 {
        self.0.borrow().digest
    }

    /// Returns the number of executed attempts of a request.
    pub(crate) fn executions_of(&self, request_id: &str) -> usize {
        let state = self.0.borrow();
        state
            .executions_by_request
            .get(request_id)
            .copied()
            .unwrap_or(0)
    }

    /// Returns the number of executed attempts of all requests.
    pub(crate) fn execution_count(&self) -> usize {
        self.0.borrow().executions.len()
    }

    /// Returns the execution with this seal. A seal ends with the number of its execution.
    pub(crate) fn execution_by_seal(&self, seal: &str) -> Option<Execution> {
        let number: usize = seal.rsplit('.').next()?.parse().ok()?;
        self.0.borrow().executions.get(number).cloned()
    }
}
