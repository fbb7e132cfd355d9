//! The client through which an ingress node follows the control nodes. It has a session with one control node at a time
//! and receives configurations, replicas and its retry quota.
//!
//! When a session ends, or its control node stops sending or has no quorum, the client continues with another control
//! node from its offset in the change log.

mod quota_requests;
mod session;
mod session_schedule;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_config::Settings;
use linenthread_control::{ChangeLogOffset, Incarnation};
use linenthread_dataplane::{DataPlane, clock};
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

use self::quota_requests::QuotaRequests;
use self::session::{Session, SessionEnd};
use self::session_schedule::{EndedSession, SessionSchedule};

/// The position up to which this node has read a change log.
#[derive(Clone, Copy, Default)]
struct ChangeLogPosition {
    /// The incarnation of the control node that writes the change log.
    log_id: Incarnation,
    offset: ChangeLogOffset,
}

/// The state that is kept across sessions.
struct ControlClient {
    plane: Rc<DataPlane>,
    incarnation: Incarnation,
    position: Cell<ChangeLogPosition>,
    /// The control nodes listed in the last session, and those in the settings.
    control_nodes: RefCell<Vec<SocketAddr>>,
    /// The control nodes in the settings, as last loaded.
    bootstrap_peers: RefCell<Vec<SocketAddr>>,
    /// The zones of the control nodes, as far as known from earlier sessions.
    zones: RefCell<HashMap<SocketAddr, String>>,
    quota_requests: RefCell<QuotaRequests>,
    /// Whether a shutdown was requested.
    shutdown: watch::Receiver<bool>,
}

/// A handle to the task of the control client.
pub(crate) struct ControlClientHandle {
    shutdown: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl ControlClientHandle {
    /// Sends the usage counts that the control nodes may not have yet, and closes the session gracefully. Gives up at
    /// `deadline`.
    pub(crate) async fn shut_down(self, deadline: Instant) {
        let _ = self.shutdown.send(true);
        if tokio::time::timeout_at(deadline, self.task).await.is_err() {
            log::warn!("event=usage_not_reported");
        }
    }
}

/// Starts a task that runs one session after another, until a shutdown, or until no control node is known. `settings`
/// contains the settings if they were reloaded since the start.
pub(crate) fn start(
    plane: Rc<DataPlane>,
    incarnation: Incarnation,
    settings: watch::Receiver<Option<Rc<Settings>>>,
) -> ControlClientHandle {
    let (shutdown, shutdown_requested) = watch::channel(false);
    let client = ControlClient::new(plane, incarnation, shutdown_requested);
    ControlClientHandle {
        shutdown,
        task: spawn_local(run(client, settings)),
    }
}

async fn run(client: ControlClient, mut settings: watch::Receiver<Option<Rc<Settings>>>) {
    let mut schedule = SessionSchedule::new(client.incarnation.get());
    loop {
        client.apply_reloaded_settings(&mut settings);
        let candidates = client.candidates(&mut schedule);
        let Some(control_node) = candidates.first().copied() else {
            return;
        };
        let started_at = clock::now();
        let end = client.run_session(control_node).await;
        if end == Some(SessionEnd::ShutDown) || client.can_stop() {
            return;
        }
        let delay = schedule.on_session_ended(&EndedSession {
            control_node,
            started_at,
            ended_at: clock::now(),
            candidates: candidates.len(),
        });
        client.wait_before_next_session(delay).await;
        if client.can_stop() {
            return;
        }
    }
}

impl ControlClient {
    fn new(
        plane: Rc<DataPlane>,
        incarnation: Incarnation,
        shutdown: watch::Receiver<bool>,
    ) -> ControlClient {
        ControlClient {
            control_nodes: RefCell::new(plane.settings().bootstrap_peers.clone()),
            bootstrap_peers: RefCell::new(plane.settings().bootstrap_peers.clone()),
            plane,
            incarnation,
            position: Cell::default(),
            zones: RefCell::default(),
            quota_requests: RefCell::default(),
            shutdown,
        }
    }

    /// Waits until a shutdown is requested.
    async fn shutdown_requested(&self) {
        let _ = self.shutdown.clone().wait_for(|requested| *requested).await;
    }

    fn is_shutting_down(&self) -> bool {
        *self.shutdown.borrow()
    }

    /// Reports whether a shutdown was requested and there are no usage counts that would require another session.
    fn can_stop(&self) -> bool {
        self.is_shutting_down() && !self.plane.has_usage()
    }

    /// Sleeps between two sessions. A shutdown request ends the sleep; one that was made before does not.
    async fn wait_before_next_session(&self, delay: Duration) {
        let sleep = tokio::time::sleep(delay);
        if self.is_shutting_down() {
            sleep.await;
        } else {
            tokio::select! {
                () = sleep => {}
                () = self.shutdown_requested() => {}
            }
        }
    }

    /// Runs one session with a control node and logs how it ended. Returns `None` if it failed.
    async fn run_session(&self, control_node: SocketAddr) -> Option<SessionEnd> {
        match Session::new(self, control_node).run().await {
            Ok(cause) => {
                log::info!(control_node = control_node.to_string(), cause = cause.to_string();
                    "event=session_closed");
                Some(cause)
            }
            Err(error) => {
                log::info!(cause = error.to_string(); "event=session_failed");
                None
            }
        }
    }

    /// Applies the control nodes in the settings, if the settings were reloaded since the last call.
    fn apply_reloaded_settings(&self, settings: &mut watch::Receiver<Option<Rc<Settings>>>) {
        if settings.has_changed().unwrap_or(false)
            && let Some(settings) = settings.borrow_and_update().clone()
        {
            self.set_bootstrap_peers(&settings.bootstrap_peers);
        }
    }

    /// Replaces the control nodes of the settings. New ones are added to the control nodes to try.
    fn set_bootstrap_peers(&self, bootstrap_peers: &[SocketAddr]) {
        *self.bootstrap_peers.borrow_mut() = bootstrap_peers.to_vec();
        let mut control_nodes = self.control_nodes.borrow_mut();
        for peer in bootstrap_peers {
            if !control_nodes.contains(peer) {
                control_nodes.push(*peer);
            }
        }
    }

    /// Returns the control nodes in the order in which to try them.
    fn candidates(&self, schedule: &mut SessionSchedule) -> Vec<SocketAddr> {
        let mut candidates = self.control_nodes.borrow().clone();
        let zones = self.zones.borrow();
        let local_zone = &self.plane.settings().zone;
        let is_remote =
            |address: &SocketAddr| zones.get(address).is_none_or(|zone| zone != local_zone);
        schedule.sort_by_preference(&mut candidates, is_remote);
        candidates
    }
}
