//! What happened in a simulation: every execution of a sub-request at a replica, and a digest of all events.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use linenthread_dataplane::clock;

use crate::content::hash_words;

/// One execution of a sub-request at a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Execution {
    pub(crate) attempt_id: String,
    pub(crate) path: String,
    pub(crate) backend: String,
    pub(crate) replica_id: String,
}

/// An event that enters the digest.
pub(crate) enum Event<'a> {
    /// A client sent a request.
    RequestSent { attempt_id: &'a str, path: &'a str },
    /// A client got a response.
    ResponseReceived {
        attempt_id: &'a str,
        status: u16,
        seal: &'a str,
    },
    /// A replica ran a sub-request.
    Executed(&'a Execution),
}

impl Event<'_> {
    /// Mixes the event into a digest. The words are those of the first version of this simulation, so that digests
    /// of all versions can be compared; they are names in no other sense.
    fn mix_into(&self, digest: u64) -> u64 {
        match self {
            Event::RequestSent { attempt_id, path } => {
                hash_words(&["asked", attempt_id, path], digest)
            }
            Event::ResponseReceived {
                attempt_id,
                status,
                seal,
            } => hash_words(&["answered", attempt_id, &status.to_string(), seal], digest),
            Event::Executed(execution) => hash_words(
                &[
                    "ran",
                    &execution.attempt_id,
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
    executions_by_attempt: BTreeMap<String, usize>,
    misused_connections: Vec<String>,
    digest: u64,
}

/// The log that all parts of a simulation share.
#[derive(Clone, Default)]
pub(crate) struct EventLog(Rc<RefCell<State>>);

impl EventLog {
    /// Adds an event to the digest, with its time.
    pub(crate) fn add(&self, event: &Event<'_>) {
        let mut state = self.0.borrow_mut();
        let now = clock::now_tenth_millis().cast_unsigned();
        state.digest = event.mix_into(state.digest.rotate_left(7) ^ now);
    }

    /// Adds an execution; its number, from 0.
    pub(crate) fn add_execution(&self, execution: Execution) -> usize {
        self.add(&Event::Executed(&execution));
        let mut state = self.0.borrow_mut();
        let attempt_id = execution.attempt_id.clone();
        *state.executions_by_attempt.entry(attempt_id).or_default() += 1;
        state.executions.push(execution);
        state.executions.len() - 1
    }

    /// Notes that a request was written on a connection that may not be used.
    pub(crate) fn add_misused_connection(&self, cause: String) {
        self.0.borrow_mut().misused_connections.push(cause);
    }

    /// Takes out the notes of [`EventLog::add_misused_connection`].
    pub(crate) fn take_misused_connections(&self) -> Vec<String> {
        std::mem::take(&mut self.0.borrow_mut().misused_connections)
    }

    /// The digest of all events.
    pub(crate) fn digest(&self) -> u64 {
        self.0.borrow().digest
    }

    /// How many sub-requests of a request were executed.
    pub(crate) fn executions_of(&self, attempt_id: &str) -> usize {
        let state = self.0.borrow();
        state
            .executions_by_attempt
            .get(attempt_id)
            .copied()
            .unwrap_or(0)
    }

    /// How many sub-requests were executed.
    pub(crate) fn execution_count(&self) -> usize {
        self.0.borrow().executions.len()
    }

    /// The execution whose seal this is: a seal ends with its number.
    pub(crate) fn sealed_by(&self, seal: &str) -> Option<Execution> {
        let number: usize = seal.rsplit('.').next()?.parse().ok()?;
        self.0.borrow().executions.get(number).cloned()
    }
}
