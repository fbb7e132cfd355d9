//! The process of the simulated ingress node: its connections to clients, and its planned shutdown.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use linenthread_dataplane::{DataPlane, ShutdownSchedule, drain};
use tokio::task::{AbortHandle, spawn_local};

use crate::network::Network;
use crate::random::Random;

/// Share of simulations with a planned shutdown, per mille.
const SHUTDOWN_PER_MILLE: u64 = 500;
/// Grace periods of shutdowns, in milliseconds. One is shorter than the time that the process needs to exit.
const GRACE_MS: [u64; 4] = [100, 900, 1_500, 6_000];

/// The process of the ingress node.
#[derive(Default)]
pub(crate) struct IngressProcess {
    is_shutting_down: Cell<bool>,
    is_closing: Cell<bool>,
    /// The tasks that serve connections, which end with the process.
    connections: RefCell<Vec<AbortHandle>>,
}

impl IngressProcess {
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.get()
    }

    pub(crate) fn accepts_connections(&self) -> bool {
        !self.is_closing.get()
    }

    pub(crate) fn add_connection(&self, serving: AbortHandle) {
        self.connections.borrow_mut().push(serving);
    }

    /// Shuts the process down at a random time, in some simulations.
    pub(crate) async fn shut_down(self: Rc<Self>, plane: Rc<DataPlane<Network>>, random: Random) {
        if !random.per_mille(SHUTDOWN_PER_MILLE) {
            return;
        }
        tokio::time::sleep(random.millis(200, 4_000)).await;
        let grace = Duration::from_millis(random.choose(&GRACE_MS));
        self.is_shutting_down.set(true);
        let mut steps = plane.watch_shutdown();
        let process = self.clone();
        spawn_local(async move {
            steps.wait_for_closing().await;
            process.is_closing.set(true);
        });
        drain(&plane, &ShutdownSchedule::new(grace)).await;
        for serving in self.connections.borrow().iter() {
            serving.abort();
        }
    }
}
