//! Simulated replicas. Each logs its executions and responds according to the faults drawn.

mod connection;
pub mod messages;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use self::connection::Connection;
use crate::event_log::{EventLog, Execution};
use crate::fault_plan::FaultPlan;
use crate::network::{Accepted, Listener};
use crate::random::Random;

/// Whether a replica rejects requests that are addressed to another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetCheck {
    Enforced,
    Disabled,
}

/// State shared by the replicas of a simulation.
#[derive(Clone)]
pub(crate) struct Environment {
    pub(crate) faults: FaultPlan,
    pub(crate) random: Random,
    pub(crate) log: EventLog,
}

/// An incarnation of a replica.
pub(crate) struct Replica {
    pub(crate) id: String,
    pub(crate) backend: String,
    pub(crate) address: SocketAddr,
    target_check: TargetCheck,
    is_alive: Cell<bool>,
    frozen_until: Cell<Option<Instant>>,
    faults: FaultPlan,
    random: Random,
    log: EventLog,
}

impl Replica {
    pub(crate) fn new(
        id: String,
        backend: &str,
        address: SocketAddr,
        target_check: TargetCheck,
        environment: Environment,
    ) -> Replica {
        Replica {
            id,
            backend: backend.to_owned(),
            address,
            target_check,
            is_alive: Cell::new(true),
            frozen_until: Cell::new(None),
            faults: environment.faults,
            random: environment.random,
            log: environment.log,
        }
    }

    /// Crashes the replica: it executes and answers nothing any more.
    pub(crate) fn crash(&self) {
        self.is_alive.set(false);
    }

    fn is_alive(&self) -> bool {
        self.is_alive.get()
    }

    /// Delays the responses to requests until this time has passed.
    pub(crate) fn freeze(&self, time: Duration) {
        self.frozen_until.set(Some(Instant::now() + time));
    }

    fn remaining_freeze(&self) -> Duration {
        self.frozen_until.get().map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    /// Logs an execution and returns its seal.
    fn execute(&self, request_id: &str, path: &str) -> String {
        let number = self.log.add_execution(Execution {
            request_id: request_id.to_owned(),
            path: path.to_owned(),
            backend: self.backend.clone(),
            replica_id: self.id.clone(),
        });
        format!("{}.{number}", self.id)
    }
}

/// The listener of a replica.
pub(crate) struct ReplicaListener(pub(crate) Rc<Replica>);

impl Listener for ReplicaListener {
    fn accept(&self) -> Option<Accepted> {
        let ReplicaListener(replica) = self;
        let (random, faults) = (&replica.random, replica.faults);
        if !replica.is_alive() || random.per_mille(faults.connections) {
            return None;
        }
        let delay = if random.per_mille(faults.connections) {
            random.millis(50, 600)
        } else {
            Duration::ZERO
        };
        let idle_timeout = random
            .per_mille(faults.idle_connections)
            .then(|| random.millis(20, 400));
        let connection = Connection::new(replica.clone(), idle_timeout);
        Some(Accepted {
            after: delay,
            peer: Box::new(connection),
        })
    }
}
