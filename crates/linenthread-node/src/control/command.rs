//! Commands to the task of a control node, and the handle that sends them.

use std::fmt;

use linenthread_control::graceful_shutdown::ShutdownBlocker;
use linenthread_control::{
    AfterSync, Order, PlatformCallId, PlatformOutcome, ReplicaHeartbeat, Response, SessionId,
};
use linenthread_messages::PeerMessage;
use tokio::sync::{mpsc, oneshot};

/// The capacity of the command queue. Calls are rejected while it is full.
const MAX_QUEUED_COMMANDS: usize = 4_096;

/// A call of a replica or an operator.
pub(super) enum Call {
    Heartbeat {
        replica_id: String,
        heartbeat: ReplicaHeartbeat,
    },
    Departure {
        replica_id: String,
    },
    ReplaceConfiguration(Order),
    ReadConfiguration,
}

/// A command to the task of a control node.
pub(super) enum Command {
    /// A connection with a peer was established; messages to the peer go into this queue.
    SessionOpened(SessionId, mpsc::Sender<PeerMessage>),
    /// A message from a peer arrived.
    MessageReceived(SessionId, PeerMessage),
    /// The connection with a peer has ended.
    SessionClosed(SessionId),
    /// Connecting to the control node at this control address failed.
    DialFailed(String),
    /// A call of a replica or an operator, and the sender for its response.
    Call(Call, oneshot::Sender<Response>),
    /// Reads the status of the cluster members, as this node knows it.
    MembersStatus(oneshot::Sender<serde_json::Value>),
    /// Reads the status of the duties at the platform, as this node knows it.
    DutiesStatus(oneshot::Sender<serde_json::Value>),
    /// Reads the status of the replicas, as this node knows it.
    ReplicasStatus(oneshot::Sender<serde_json::Value>),
    /// Records are durable; these actions waited for them.
    Synced(Vec<AfterSync>),
    /// A call to the platform has completed.
    PlatformCallCompleted(PlatformCallId, PlatformOutcome),
    /// The settings were reloaded and contain these control addresses.
    SettingsReloaded(Vec<String>),
    /// Begins a graceful shutdown; the sender is notified when the process may exit.
    BeginShutdown(oneshot::Sender<()>),
    /// Asks why the process may not exit yet.
    ShutdownBlocker(oneshot::Sender<Option<ShutdownBlocker>>),
    /// Closes all sessions and ends the task; the sender is notified when that is done.
    Stop(oneshot::Sender<()>),
}

/// The reason why the task did not answer a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallError {
    QueueFull,
    Stopping,
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            CallError::QueueFull => "too many calls are queued",
            CallError::Stopping => "the control node is stopping",
        })
    }
}

/// Sends commands to the task of a control node.
#[derive(Clone)]
pub(super) struct ControlHandle {
    commands: mpsc::Sender<Command>,
}

impl ControlHandle {
    /// Creates a handle, and the queue from which the task reads.
    pub(super) fn new() -> (ControlHandle, mpsc::Receiver<Command>) {
        let (commands, queue) = mpsc::channel(MAX_QUEUED_COMMANDS);
        (ControlHandle { commands }, queue)
    }

    /// Sends a command, waiting until the queue has room for it. Returns false if the task has ended.
    pub(super) async fn send(&self, command: Command) -> bool {
        self.commands.send(command).await.is_ok()
    }

    /// Sends a command if the queue has room for it now. Returns whether it was sent.
    pub(super) fn try_send(&self, command: Command) -> bool {
        self.commands.try_send(command).is_ok()
    }

    /// Sends a call and waits for its response.
    ///
    /// # Errors
    ///
    /// If the queue is full, or the task ends before it has responded.
    pub(super) async fn call(&self, call: Call) -> Result<Response, CallError> {
        self.query(|respond| Command::Call(call, respond)).await
    }

    /// Sends a command that contains a sender for its response, and waits for the response.
    ///
    /// # Errors
    ///
    /// See [`ControlHandle::call`].
    pub(super) async fn query<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<T>) -> Command,
    ) -> Result<T, CallError> {
        let (respond, response) = oneshot::channel();
        if !self.try_send(command(respond)) {
            return Err(CallError::QueueFull);
        }
        response.await.map_err(|_| CallError::Stopping)
    }
}
