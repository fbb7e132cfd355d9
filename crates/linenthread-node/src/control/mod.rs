//! The control role of this process: one control node with its sockets and its state on disk.
//!
//! [`start`] opens the state and the listeners. `task` owns the state machine and is reached through the handle in
//! `command`. `api` serves the calls of replicas and operators, `peer_sessions` manages the connections with other
//! nodes, `platform_client` calls the platform, and `state_writer` writes to the disk.

mod api;
mod api_response;
mod command;
mod peer_sessions;
mod platform_client;
mod state_writer;
mod task;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_config::{PlatformSettings, Settings};
use linenthread_consensus::{DurableState, NodeId, genesis_value};
use linenthread_control::{ControlNode, Incarnation, NodeConfig, UsageConfig};
use linenthread_dataplane::clock;
use linenthread_messages::{Record, Value};
use linenthread_time::WindowLength;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::error::{Error, io_context};
use crate::incarnation;
use crate::signals::SignalWatch;

use command::{Command, ControlHandle};
use state_writer::StateWriter;
use task::{ControlTask, Platform};

/// How long the task may take to report why the process may not exit yet.
const BLOCKER_QUERY_TIMEOUT: Duration = Duration::from_millis(100);

/// The control node of this process.
pub(crate) struct ControlServer {
    handle: ControlHandle,
}

impl ControlServer {
    /// Begins the graceful shutdown and keeps serving until other nodes store all state of this node and this node no
    /// longer holds the leader lease, or until the timeout.
    pub(crate) async fn shut_down(&self, timeout: Duration) {
        let started_at = Instant::now();
        let (notify_may_exit, may_exit) = oneshot::channel();
        if !self
            .handle
            .send(Command::BeginShutdown(notify_may_exit))
            .await
        {
            return;
        }
        let completed = tokio::time::timeout(timeout, may_exit).await.is_ok();
        if completed {
            log::info!(ms = elapsed_millis(started_at); "event=shutdown_complete");
            return;
        }
        let cause = self.shutdown_blocker().await;
        log::warn!(ms = elapsed_millis(started_at), waits_for = cause; "event=shutdown_incomplete");
    }

    async fn shutdown_blocker(&self) -> String {
        let (respond, response) = oneshot::channel();
        self.handle.send(Command::ShutdownBlocker(respond)).await;
        match tokio::time::timeout(BLOCKER_QUERY_TIMEOUT, response).await {
            Ok(Ok(Some(blocker))) => blocker.to_string(),
            Ok(Ok(None)) => "nothing".to_owned(),
            Ok(Err(_)) | Err(_) => "the control task did not answer in time".to_owned(),
        }
    }

    /// Closes all sessions, so that peers do not have to wait for a timeout.
    pub(crate) async fn stop(&self) {
        let (notify_stopped, stopped) = oneshot::channel();
        if self.handle.send(Command::Stop(notify_stopped)).await {
            let _ = stopped.await;
        }
    }
}

fn elapsed_millis(since: Instant) -> u64 {
    linenthread_time::whole_millis(since.elapsed())
}

/// Opens the state and the listeners, and starts the control node.
///
/// # Errors
///
/// If the state cannot be opened, or an address cannot be bound.
pub(crate) async fn start(
    settings: &Rc<Settings>,
    address: SocketAddr,
    signals: &SignalWatch,
) -> Result<ControlServer, Error> {
    let (synced, synced_actions) = mpsc::unbounded_channel();
    let state_dir = settings.state_dir.as_deref().unwrap_or_default();
    let (state_writer, durable_state) =
        StateWriter::start(state_dir, move |after_sync| drop(synced.send(after_sync)))?;
    let control = start_node(settings, address, durable_state, &state_writer);
    let call_listener = bind(address).await?;
    let peer_listener = bind(SocketAddr::new(address.ip(), settings.peers_port)).await?;
    log::info!(control_address = address.to_string(), peers_port = settings.peers_port; "event=control_listening");
    let (handle, commands) = ControlHandle::new();
    let platform = settings.platform.as_ref().map(|platform| Platform {
        address: platform.address,
        caller: settings.node_name.clone(),
    });
    let task = ControlTask::new(
        control,
        state_writer,
        handle.clone(),
        settings.peers_port,
        platform,
    );
    spawn_local(task.run(commands));
    spawn_local(forward_synced(synced_actions, handle.clone()));
    spawn_local(forward_reloaded_settings(
        signals.settings(),
        handle.clone(),
    ));
    spawn_local(api::accept_calls(call_listener, handle.clone()));
    spawn_local(peer_sessions::accept_peers(peer_listener, handle.clone()));
    Ok(ControlServer { handle })
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(io_context("binding", &address))
}

/// Forwards actions that waited for the disk from the disk thread to the task.
async fn forward_synced(
    mut synced: mpsc::UnboundedReceiver<Vec<linenthread_control::AfterSync>>,
    handle: ControlHandle,
) {
    while let Some(after_sync) = synced.recv().await {
        handle.send(Command::Synced(after_sync)).await;
    }
}

/// Notifies the task each time the settings are reloaded.
async fn forward_reloaded_settings(
    mut settings: watch::Receiver<Option<Rc<Settings>>>,
    handle: ControlHandle,
) {
    while settings.changed().await.is_ok() {
        let reloaded = settings.borrow_and_update().clone();
        if let Some(settings) = reloaded {
            let command = Command::SettingsReloaded(bootstrap_addresses(&settings));
            handle.send(command).await;
        }
    }
}

/// A node's identity, which belongs to its disk. The initial state depends on whether the disk was empty.
struct Identity {
    id: NodeId,
    disk_is_empty: bool,
    /// The id is derived from the address: the node is one of the first voters, in the first start of the system.
    is_genesis_voter: bool,
}

impl Identity {
    /// Returns the identity stored on the disk, or creates one if the disk is empty. A node with an empty disk is a new
    /// node, regardless of the previous node at its address. Only in the first start of the system is the identity
    /// derived from the address, so that all nodes derive the same first voters.
    fn new(
        settings: &Settings,
        control_address: SocketAddr,
        durable_id: Option<NodeId>,
        incarnation: Incarnation,
    ) -> Identity {
        let disk_is_empty = durable_id.is_none();
        let is_genesis_voter = disk_is_empty
            && settings.initial_boot
            && settings.bootstrap_peers.contains(&control_address);
        let new_id = || {
            if is_genesis_voter {
                NodeId::genesis(&control_address.to_string())
            } else {
                NodeId(incarnation.get())
            }
        };
        Identity {
            id: durable_id.unwrap_or_else(new_id),
            disk_is_empty,
            is_genesis_voter,
        }
    }
}

/// Returns the control addresses in the settings.
fn bootstrap_addresses(settings: &Settings) -> Vec<String> {
    let peers = settings.bootstrap_peers.iter();
    peers.map(SocketAddr::to_string).collect()
}

/// Converts the settings of the platform to the configuration of usage reports.
fn usage_config(platform: &PlatformSettings) -> UsageConfig {
    UsageConfig {
        window_length: WindowLength::new(platform.report_window),
        report_delay: platform.report_delay,
        lease: platform.lease,
        calls_per_second: platform.calls_per_second,
    }
}

/// Creates the control node from its settings and the durable state. If the disk is empty, writes the new identity to
/// it.
fn start_node(
    settings: &Settings,
    address: SocketAddr,
    durable_state: DurableState,
    state_writer: &StateWriter,
) -> ControlNode {
    let incarnation = Incarnation::new(incarnation::generate());
    let identity = Identity::new(settings, address, durable_state.id, incarnation);
    let bootstrap = bootstrap_addresses(settings);
    let genesis = settings.initial_boot.then(|| genesis_value(&bootstrap));
    let config = NodeConfig {
        name: settings.node_name.clone(),
        zone: settings.zone.clone(),
        incarnation,
        control_address: address.to_string(),
        voter_eligible: settings.quorum_member,
        min_voters: 2 * settings.machine_faults + 1,
        heartbeat_interval: settings.heartbeat_interval,
        bootstrap,
        is_genesis: settings.initial_boot && identity.disk_is_empty,
        retry_allowance: settings.retry_allowance,
        retry_window: settings.retry_window,
        usage: settings.platform.as_ref().map(usage_config),
    };
    log::info!(disk = identity.id.0, empty = identity.disk_is_empty, genesis = identity.is_genesis_voter,
        replicas = durable_state.replicas.len(); "event=control_started");
    if identity.disk_is_empty {
        persist_identity(identity.id, genesis.clone(), state_writer);
    }
    ControlNode::new(config, identity.id, durable_state, genesis, clock::now())
}

/// Writes the first record to an empty disk: the node's identity and, in the first start of the system, the first
/// value.
fn persist_identity(id: NodeId, genesis: Option<Value>, state_writer: &StateWriter) {
    let record = Record {
        id: Some(id.0),
        decided: genesis,
        ..Record::default()
    };
    if state_writer.persist(record, Vec::new()).is_err() {
        log::error!("event=disk_writer_stopped");
    }
}
