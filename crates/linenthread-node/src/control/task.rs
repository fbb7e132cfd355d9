//! The task that owns a control node. It passes commands and the time to the state machine, and executes its effects.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use linenthread_control::{
    AfterSync, CallId, ControlNode, Effect, PlatformCall, Response, SessionId,
};
use linenthread_dataplane::clock;
use linenthread_messages::{PeerMessage, Record};
use linenthread_time::Instant;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

use super::command::{Call, Command, ControlHandle};
use super::peer_sessions;
use super::platform_client;
use super::state_writer::{PersistError, StateWriter};
use crate::wall_clock;

/// How many commands are handled before their effects are executed.
const MAX_COMMANDS_PER_BATCH: usize = 64;

/// How long the connection tasks have to close their connections before the process exits.
const CONNECTION_CLOSE_DELAY: Duration = Duration::from_millis(5);

/// How to call the platform.
pub(super) struct Platform {
    /// The address of the platform's API.
    pub(super) address: SocketAddr,
    /// The name of this node, sent with each call.
    pub(super) caller: String,
}

/// A control node with its sessions and pending calls.
pub(super) struct ControlTask {
    control: ControlNode,
    state_writer: StateWriter,
    /// The queue of outgoing messages of each session.
    sessions: HashMap<SessionId, mpsc::Sender<PeerMessage>>,
    calls: HashMap<CallId, oneshot::Sender<Response>>,
    last_call: CallId,
    handle: ControlHandle,
    peers_port: u16,
    /// `None` if the settings contain no platform.
    platform: Option<Rc<Platform>>,
    /// Notified when the process may exit.
    shutdown_waiters: Vec<oneshot::Sender<()>>,
    /// The shutdown waiters were notified: no command is handled and nothing is sent any more.
    exit_permitted: bool,
    /// The end of the disk thread was logged.
    disk_stopped: bool,
}

impl ControlTask {
    pub(super) fn new(
        control: ControlNode,
        state_writer: StateWriter,
        handle: ControlHandle,
        peers_port: u16,
        platform: Option<Platform>,
    ) -> ControlTask {
        ControlTask {
            control,
            state_writer,
            sessions: HashMap::new(),
            calls: HashMap::new(),
            last_call: CallId(0),
            handle,
            peers_port,
            platform: platform.map(Rc::new),
            shutdown_waiters: Vec::new(),
            exit_permitted: false,
            disk_stopped: false,
        }
    }

    /// Runs until [`Command::Stop`].
    pub(super) async fn run(mut self, mut queue: mpsc::Receiver<Command>) {
        let (mut commands, mut effects) = (Vec::new(), Vec::new());
        loop {
            self.wait(&mut queue, &mut commands).await;
            let now = clock::now();
            self.control.observe_wall_clock(now, wall_clock::now());
            for command in commands.drain(..) {
                if let Command::Stop(notify_stopped) = command {
                    self.sessions.clear();
                    tokio::time::sleep(CONNECTION_CLOSE_DELAY).await;
                    let _ = notify_stopped.send(());
                    return;
                }
                if !self.exit_permitted {
                    self.handle(now, command, &mut effects);
                }
            }
            if self.exit_permitted {
                effects.clear();
                continue;
            }
            if now >= self.control.next_tick_at(now) {
                self.control.tick(now, &mut effects);
            }
            for effect in effects.drain(..) {
                self.execute(effect);
            }
            if !self.shutdown_waiters.is_empty() && self.control.may_exit(now) {
                self.permit_exit();
            }
        }
    }

    /// Waits for commands, but not longer than until the next tick.
    async fn wait(&self, queue: &mut mpsc::Receiver<Command>, commands: &mut Vec<Command>) {
        let receiving = queue.recv_many(commands, MAX_COMMANDS_PER_BATCH);
        if self.exit_permitted {
            receiving.await;
        } else {
            let tick_at = clock::to_std(self.control.next_tick_at(clock::now()));
            let _ = tokio::time::timeout_at(tick_at.into(), receiving).await;
        }
    }

    /// Notifies the waiters that the process may exit. Nothing may be sent from now on: another node may have been
    /// allowed to exit because this node had not exited yet.
    fn permit_exit(&mut self) {
        self.exit_permitted = true;
        self.sessions.clear();
        self.calls.clear();
        for waiter in self.shutdown_waiters.drain(..) {
            let _ = waiter.send(());
        }
    }

    fn handle(&mut self, now: Instant, command: Command, effects: &mut Vec<Effect>) {
        match command {
            Command::SessionOpened(session, outbox) => {
                self.sessions.insert(session, outbox);
                self.control.on_session_opened(session, effects);
            }
            Command::MessageReceived(session, message) => {
                self.control.on_message(now, session, message, effects);
            }
            Command::SessionClosed(session) => {
                self.sessions.remove(&session);
                self.control.on_session_closed(now, session, effects);
            }
            Command::DialFailed(address) => self.control.on_dial_failed(now, &address),
            Command::Call(call, respond) => self.handle_call(now, call, respond, effects),
            Command::MembersStatus(respond) => {
                let _ = respond.send(self.control.members_status(now));
            }
            Command::DutiesStatus(respond) => {
                let _ = respond.send(self.control.duties_status(now));
            }
            Command::ReplicasStatus(respond) => {
                let _ = respond.send(self.control.replicas_status(now));
            }
            Command::Synced(after_sync) => self.control.on_synced(now, after_sync, effects),
            Command::PlatformCallCompleted(call, outcome) => {
                self.control
                    .on_platform_outcome(now, call, outcome, effects);
            }
            Command::SettingsReloaded(bootstrap) => self.control.set_bootstrap(now, &bootstrap),
            Command::BeginShutdown(waiter) => {
                self.control.begin_shutdown(now, effects);
                self.shutdown_waiters.push(waiter);
            }
            Command::ShutdownBlocker(respond) => {
                let _ = respond.send(self.control.shutdown_blocker(now));
            }
            // Handled in `run`.
            Command::Stop(_) => {}
        }
    }

    fn handle_call(
        &mut self,
        now: Instant,
        call: Call,
        respond: oneshot::Sender<Response>,
        effects: &mut Vec<Effect>,
    ) {
        self.last_call.0 += 1;
        let id = self.last_call;
        self.calls.insert(id, respond);
        let control = &mut self.control;
        match call {
            Call::Heartbeat {
                replica_id,
                heartbeat,
            } => control.on_replica_heartbeat(now, id, &replica_id, heartbeat, effects),
            Call::Departure { replica_id } => {
                control.on_replica_departure(now, id, &replica_id, effects);
            }
            Call::ReplaceConfiguration(order) => {
                control.replace_configuration(now, id, order, effects);
            }
            Call::ReadConfiguration => control.read_configuration(now, id, effects),
        }
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Send { session, message } => self.send(session, message),
            Effect::Persist { record, after_sync } => {
                self.persist(record, after_sync);
            }
            Effect::Respond { call, response } => {
                if let Some(respond) = self.calls.remove(&call) {
                    let _ = respond.send(response);
                }
            }
            Effect::Dial(control_address) => {
                let (handle, port) = (self.handle.clone(), self.peers_port);
                spawn_local(peer_sessions::dial(control_address, port, handle));
            }
            Effect::Close(session) => drop(self.sessions.remove(&session)),
            Effect::CallPlatform(call) => self.call_platform(call),
            Effect::Log(event) => log::info!("{event}"),
        }
    }

    /// Starts a call to the platform; its outcome arrives as a command.
    fn call_platform(&self, call: PlatformCall) {
        let Some(platform) = self.platform.clone() else {
            return;
        };
        let handle = self.handle.clone();
        spawn_local(async move {
            let outcome = platform_client::call(platform.address, &platform.caller, &call).await;
            handle
                .send(Command::PlatformCallCompleted(call.id, outcome))
                .await;
        });
    }

    /// Queues a record for the disk. After the disk thread has ended nothing becomes durable any more, so this node
    /// neither confirms nor votes; the end is logged once.
    fn persist(&mut self, record: Record, after_sync: Vec<AfterSync>) {
        match self.state_writer.persist(record, after_sync) {
            Ok(()) => {}
            Err(PersistError::Backlogged) => log::warn!("event=disk_backlogged"),
            Err(PersistError::Stopped) if self.disk_stopped => {}
            Err(PersistError::Stopped) => {
                self.disk_stopped = true;
                log::error!("event=disk_writer_stopped");
            }
        }
    }

    /// Queues a message for a session, and closes the session if its queue is full.
    fn send(&mut self, session: SessionId, message: PeerMessage) {
        let is_full = self
            .sessions
            .get(&session)
            .is_some_and(|outbox| outbox.try_send(message).is_err());
        if is_full {
            self.sessions.remove(&session);
        }
    }
}
