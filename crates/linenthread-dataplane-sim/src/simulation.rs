//! Simulation of one ingress node with its replicas and clients, driven by a seed.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use linenthread_dataplane::DataPlane;
use tokio::task::{JoinHandle, LocalSet, spawn_local};

use crate::checker::{Checker, Counts, Rule, Violation};
use crate::client::{Shared, run_session};
use crate::deployment::{RETRY_ALLOWANCE, configuration, data_plane};
use crate::event_log::EventLog;
use crate::fault_plan::FaultPlan;
use crate::network::Network;
use crate::random::Random;
use crate::replica::Environment;
use crate::replica_set::ReplicaSet;
use crate::tenants::KeyHistory;

/// Number of sessions in one simulation. They share its replicas and the connections to them.
pub const SESSIONS: usize = 20;
/// Time in milliseconds within which the sessions start.
const START_SPREAD_MS: u64 = 3_000;
/// Interval of [`DataPlane::maintain`].
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);
/// Revision of the first configuration with tenants.
const FIRST_REVISION_WITH_TENANTS: u64 = 2;
/// Retry budgets per window; with the smaller ones requests wait until their deadline.
const RETRY_ALLOWANCES: [f64; 4] = [RETRY_ALLOWANCE, RETRY_ALLOWANCE, 10.0, 0.0];
/// Share of simulations in which the ingress node is frozen at times, per mille.
const FREEZING_PER_MILLE: u64 = 300;

/// The result of one simulation.
pub struct Outcome {
    /// The violations that were found.
    pub violations: Vec<Violation>,
    /// Number of requests by outcome.
    pub counts: Counts,
    /// Number of attempts that replicas executed.
    pub executions: usize,
    /// Digest of all events.
    pub digest: u64,
}

/// Runs a simulation with this number of sessions. The same seed and number give the same outcome.
///
/// # Panics
/// Panics if the runtime of the simulation cannot be created.
pub fn run(seed: u64, sessions: usize) -> Outcome {
    in_simulated_time(simulate(seed, sessions))
}

/// Runs a future, and the tasks that it spawns, on a paused clock that advances to the next timer whenever all tasks
/// are idle.
///
/// # Panics
/// Panics if the runtime of the simulation cannot be created.
pub fn in_simulated_time<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O can be created");
    LocalSet::new().block_on(&runtime, future)
}

async fn simulate(seed: u64, sessions: usize) -> Outcome {
    let random = Random::new(seed);
    let (log, network) = (EventLog::default(), Network::default());
    let retry_allowance = random.choose(&RETRY_ALLOWANCES);
    let plane = data_plane(seed, network.clone(), retry_allowance);
    let environment = Environment {
        faults: FaultPlan::draw(&random),
        random: random.clone(),
        log: log.clone(),
    };
    let replicas = ReplicaSet::start(&plane, network, environment);
    let keys = KeyHistory::new();
    apply_keys(&plane, &keys, FIRST_REVISION_WITH_TENANTS);
    let shared = Shared {
        plane,
        checker: Rc::new(RefCell::new(Checker::new(log.clone(), keys.clone()))),
        log,
        random,
        frozen: Rc::new(Cell::new(Duration::ZERO)),
        process: Rc::default(),
    };
    let background = [
        spawn_local(replicas.run_faults(shared.plane.clone())),
        spawn_local(freeze_ingress(shared.clone())),
        spawn_local(change_keys(shared.clone(), keys)),
        spawn_local(maintain(shared.plane.clone())),
        spawn_local(
            shared
                .process
                .clone()
                .shut_down(shared.plane.clone(), shared.random.clone()),
        ),
    ];
    let sessions: Vec<_> = (0..sessions)
        .map(|number| spawn_local(delayed_session(shared.clone(), format!("a{seed}-{number}"))))
        .collect();
    for session in sessions {
        if let Err(e) = session.await {
            let cause = format!("a session panicked: {e}");
            let mut checker = shared.checker.borrow_mut();
            checker.add_violation(Rule::CompleteOrDeclared, cause);
        }
    }
    background.iter().for_each(JoinHandle::abort);
    let mut checker = shared.checker.borrow_mut();
    Outcome {
        violations: checker.finish(),
        counts: checker.counts(),
        executions: shared.log.execution_count(),
        digest: shared.log.digest(),
    }
}

async fn delayed_session(shared: Shared, name: String) {
    let delay = shared.random.millis(0, START_SPREAD_MS);
    tokio::time::sleep(delay).await;
    run_session(shared, name).await;
}

/// Freezes the ingress process at random times: its clock advances while none of its tasks run.
async fn freeze_ingress(shared: Shared) {
    if !shared.random.per_mille(FREEZING_PER_MILLE) {
        return;
    }
    loop {
        tokio::time::sleep(shared.random.millis(300, 3_000)).await;
        let time = shared.random.millis(20, 1_500);
        shared.frozen.set(shared.frozen.get() + time);
        tokio::time::advance(time).await;
    }
}

/// Applies a configuration with the tenants' current keys to the data plane.
fn apply_keys(plane: &DataPlane<Network>, keys: &KeyHistory, revision: u64) {
    plane.apply_configuration(configuration(revision, Some(&keys.clients())).as_bytes());
}

/// Removes keys and assigns them to tenants at random times.
async fn change_keys(shared: Shared, keys: KeyHistory) {
    for revision in FIRST_REVISION_WITH_TENANTS + 1.. {
        tokio::time::sleep(shared.random.millis(100, 1_500)).await;
        keys.change(&shared.random);
        apply_keys(&shared.plane, &keys, revision);
    }
}

async fn maintain(plane: Rc<DataPlane<Network>>) {
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        plane.maintain();
    }
}
