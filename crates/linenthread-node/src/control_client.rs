//! The ingress node as a client of the control nodes: it has a session with one of them at a time, through which it
//! gets configurations, replicas and its retry quota.
//!
//! When a session ends, or its control node is silent or without quorum, it continues elsewhere from its offset in
//! the change log.

mod quota_requests;
mod session;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_config::Settings;
use linenthread_control::{ChangeLogOffset, Incarnation};
use linenthread_dataplane::{DataPlane, clock};
use linenthread_time::Instant;
use oorandom::Rand64;
use tokio::sync::watch;

use self::quota_requests::QuotaRequests;
use self::session::Session;

/// The first pause between two sessions, in milliseconds.
const MIN_BACKOFF_MS: u64 = 50;
/// The longest pause between two sessions, in milliseconds.
const MAX_BACKOFF_MS: u64 = 800;
/// A session that lasted longer than this was a good one: the next pause is the shortest.
const STABLE_SESSION: Duration = Duration::from_secs(5);

/// How far this node has read the change log.
#[derive(Clone, Copy, Default)]
struct ChangeLogPosition {
    /// The incarnation of the control node whose change log it is.
    log_id: Incarnation,
    offset: ChangeLogOffset,
}

/// What outlasts a session.
struct ControlClient {
    plane: Rc<DataPlane>,
    incarnation: Incarnation,
    position: Cell<ChangeLogPosition>,
    /// The control nodes, as the last session named them, and those of the settings.
    control_nodes: RefCell<Vec<SocketAddr>>,
    /// The zones of the control nodes that it has had a session with.
    zones: RefCell<HashMap<SocketAddr, String>>,
    quota_requests: RefCell<QuotaRequests>,
}

/// Has one session after another, for as long as there are control nodes to have one with. `settings` has the
/// settings that were read since the start, if any.
pub(crate) async fn run(
    plane: Rc<DataPlane>,
    incarnation: Incarnation,
    mut settings: watch::Receiver<Option<Rc<Settings>>>,
) {
    let mut random = Rand64::new(u128::from(incarnation.get()));
    let client = ControlClient {
        control_nodes: RefCell::new(plane.settings().bootstrap_peers.clone()),
        plane,
        incarnation,
        position: Cell::default(),
        zones: RefCell::default(),
        quota_requests: RefCell::default(),
    };
    let mut failures: HashMap<SocketAddr, Instant> = HashMap::new();
    let mut backoff = Backoff::new();
    loop {
        if settings.has_changed().unwrap_or(false)
            && let Some(settings) = settings.borrow_and_update().clone()
        {
            client.add_control_nodes(&settings.bootstrap_peers);
        }
        let candidates = client.candidates(&failures, &mut random);
        let Some(control_node) = candidates.first().copied() else {
            return;
        };
        let started_at = clock::now();
        client.run_session(control_node).await;
        let now = clock::now();
        failures.insert(control_node, now);
        let was_stable = now > started_at + STABLE_SESSION;
        // While few control nodes have failed, the others are to be tried at once.
        let has_untried = failures.len() <= candidates.len() / 2;
        if was_stable || has_untried {
            backoff.reset();
        } else {
            backoff.increase();
        }
        tokio::time::sleep(backoff.pause(&mut random)).await;
    }
}

/// The pause between two sessions, which grows while sessions fail.
struct Backoff {
    pause_ms: u64,
}

impl Backoff {
    fn new() -> Backoff {
        Backoff {
            pause_ms: MIN_BACKOFF_MS,
        }
    }

    fn reset(&mut self) {
        self.pause_ms = MIN_BACKOFF_MS;
    }

    fn increase(&mut self) {
        self.pause_ms = (self.pause_ms * 2).min(MAX_BACKOFF_MS);
    }

    /// At least half of the pause, and at most all of it, so that the nodes that lost a session together do not all
    /// come back together.
    fn pause(&self, random: &mut Rand64) -> Duration {
        let half = self.pause_ms / 2;
        Duration::from_millis(half + random.rand_range(0..half + 1))
    }
}

impl ControlClient {
    /// Has one session with a control node, and logs how it ended.
    async fn run_session(&self, control_node: SocketAddr) {
        match Session::new(self, control_node).run().await {
            Ok(cause) => {
                log::info!(control_node = control_node.to_string(), cause = cause.to_string();
                    "event=session_closed");
            }
            Err(e) => log::info!(cause = e.to_string(); "event=session_failed"),
        }
    }

    /// Adds control nodes that the settings name, if they are new.
    fn add_control_nodes(&self, bootstrap_peers: &[SocketAddr]) {
        let mut control_nodes = self.control_nodes.borrow_mut();
        for peer in bootstrap_peers {
            if !control_nodes.contains(peer) {
                control_nodes.push(*peer);
            }
        }
    }

    /// The control nodes in the order to try them: that whose last session ended longest ago first; among equals
    /// those of the local zone, then at random.
    fn candidates(
        &self,
        failures: &HashMap<SocketAddr, Instant>,
        random: &mut Rand64,
    ) -> Vec<SocketAddr> {
        let mut candidates = self.control_nodes.borrow().clone();
        let zones = self.zones.borrow();
        let local_zone = &self.plane.settings().zone;
        candidates.sort_by_cached_key(|address| {
            let failed_at = failures.get(address).copied().unwrap_or(Instant::START);
            let is_remote = zones.get(address).is_none_or(|zone| zone != local_zone);
            (failed_at, is_remote, random.rand_u64())
        });
        candidates
    }
}
