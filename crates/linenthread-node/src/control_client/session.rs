//! One session of an ingress node with a control node.

use std::cell::Cell;
use std::fmt;
use std::future::pending;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::time::Duration;

use linenthread_control::{ChangeLogOffset, Incarnation, QuotaRequestNumber};
use linenthread_dataplane::{RetryQuota, UpdateScope, clock};
use linenthread_messages::{
    Heartbeat, Hello, IngressUpdate, IngressUsage, PeerMessage, QuotaGrant, QuotaGrants,
    UsageUpdate, VERSION, WindowCounts,
};
use linenthread_time::{Instant, WallTime};
use tokio::sync::mpsc;

use super::{ChangeLogPosition, ControlClient};
use crate::error::Error;
use crate::peer_connection::{self, AfterLastMessage};

/// The interval between heartbeats to the control node.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The session ends if nothing arrives from the control node, which also sends heartbeats, for this long.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(1_600);
/// The timeout for the first message of the control node, which sends its Hello at once. It is shorter than
/// [`RECEIVE_TIMEOUT`], so that a control node that is suspended, or can receive but not send, is abandoned sooner.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(700);
/// The timeout for connecting to the control node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// The session ends after this many consecutive heartbeats of a control node without quorum.
const MAX_HEARTBEATS_WITHOUT_QUORUM: u32 = 2;
/// How often a session checks during a shutdown whether the control node has accepted it.
const ACCEPTANCE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The reason why an established session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionEnd {
    /// The control node closed the connection, or uses another version.
    Closed,
    /// This node is shutting down. Either the control node has read all messages, shown by its closing of the
    /// connection after this node, or there was nothing to send.
    ShutDown,
    /// The queue of messages to the control node is full.
    SendQueueFull,
    /// No message arrived for too long.
    ReceiveTimeout,
    /// The control node has no contact with a majority of the voters.
    NoQuorum,
}

impl fmt::Display for SessionEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            SessionEnd::Closed => "the control node closed the connection",
            SessionEnd::ShutDown => "this node is shutting down",
            SessionEnd::SendQueueFull => "the send queue is full",
            SessionEnd::ReceiveTimeout => "no message from the control node in time",
            SessionEnd::NoQuorum => "the control node has no quorum",
        })
    }
}

/// A message was not queued because the queue of messages to the control node is full.
struct QueueFull;

/// A session, from connecting until it ends.
pub(super) struct Session<'a> {
    client: &'a ControlClient,
    control_node: SocketAddr,
    last_received_at: Cell<Instant>,
    /// A message was received in this session.
    has_received: Cell<bool>,
    heartbeats_without_quorum: Cell<u32>,
    /// The control node has sent a message other than its Hello, so it has read and accepted this node's Hello.
    is_accepted: Cell<bool>,
    /// The last message of this node was queued.
    has_queued_last_message: Cell<bool>,
}

impl Session<'_> {
    pub(super) fn new(client: &ControlClient, control_node: SocketAddr) -> Session<'_> {
        Session {
            client,
            control_node,
            last_received_at: Cell::new(clock::now()),
            has_received: Cell::new(false),
            heartbeats_without_quorum: Cell::new(0),
            is_accepted: Cell::new(false),
            has_queued_last_message: Cell::new(false),
        }
    }

    /// Connects and exchanges messages until the session ends.
    pub(super) async fn run(&self) -> Result<SessionEnd, Error> {
        let settings = self.client.plane.settings();
        let peer = SocketAddr::new(self.control_node.ip(), settings.peers_port);
        let stream = peer_connection::connect(peer, CONNECT_TIMEOUT).await?;
        let (outbox, outgoing) = mpsc::channel(peer_connection::MAX_QUEUED_MESSAGES);
        let _ = outbox.try_send(PeerMessage::Hello(self.hello()));
        let _ = self.send_usage(&outbox, self.client.plane.take_all_usage());
        self.last_received_at.set(clock::now());
        let name = peer.to_string();
        let receive = |message| {
            self.last_received_at.set(clock::now());
            self.has_received.set(true);
            self.on_message(message)
        };
        tokio::select! {
            closed = peer_connection::exchange(stream, &name, outgoing, AfterLastMessage::AwaitPeer, receive) => {
                closed.map(|()| self.end_on_close())
            }
            end = self.send_until_shutdown(outbox) => Ok(end),
        }
    }

    /// Creates the Hello of this node, with its position in the change log and its revision.
    fn hello(&self) -> Hello {
        let plane = &self.client.plane;
        let position = self.client.position.get();
        Hello {
            version: VERSION,
            name: plane.settings().node_name.clone(),
            zone: plane.settings().zone.clone(),
            incarnation: self.client.incarnation.get(),
            change_log_id: position.log_id.get(),
            change_log_offset: position.offset.get(),
            value_number_or_revision: plane.revision(),
            ..Hello::default()
        }
    }

    /// Returns the reason to report when the control node has closed the connection.
    fn end_on_close(&self) -> SessionEnd {
        if self.has_queued_last_message.get() {
            SessionEnd::ShutDown
        } else {
            SessionEnd::Closed
        }
    }

    /// Sends heartbeats and usage until the session fails or a shutdown is requested. In a shutdown, sends the
    /// remaining usage, closes this direction of the connection and waits for the control node to close the other one.
    async fn send_until_shutdown(&self, outbox: mpsc::Sender<PeerMessage>) -> SessionEnd {
        tokio::select! {
            end = self.send_heartbeats(&outbox) => return end,
            () = self.wait_until_ready_to_shut_down() => {}
        }
        if self.client.can_stop() {
            return SessionEnd::ShutDown;
        }
        if self.send_changed_usage(&outbox).is_err() {
            return SessionEnd::SendQueueFull;
        }
        self.has_queued_last_message.set(true);
        drop(outbox);
        pending().await
    }

    /// Waits until a shutdown is requested and the control node has accepted the session. Before that, it would drop
    /// this node's messages.
    async fn wait_until_ready_to_shut_down(&self) {
        self.client.shutdown_requested().await;
        while !self.is_accepted.get() {
            tokio::time::sleep(ACCEPTANCE_POLL_INTERVAL).await;
        }
    }

    /// Sends the usage counts that have increased since they were last sent.
    fn send_changed_usage(&self, outbox: &mpsc::Sender<PeerMessage>) -> Result<(), QueueFull> {
        self.send_usage(outbox, self.client.plane.take_changed_usage())
    }

    /// Sends usage counts, if there are any.
    fn send_usage(
        &self,
        outbox: &mpsc::Sender<PeerMessage>,
        windows: Vec<WindowCounts>,
    ) -> Result<(), QueueFull> {
        if windows.is_empty() {
            return Ok(());
        }
        let usage = IngressUsage {
            name: self.client.plane.settings().node_name.clone(),
            incarnation: self.client.incarnation.get(),
            windows,
        };
        let update = UsageUpdate {
            ingress_nodes: vec![usage],
        };
        outbox
            .try_send(PeerMessage::UsageUpdate(update))
            .map_err(|_| QueueFull)
    }

    /// Sends heartbeats, each of which also requests a retry quota, and the changed usage counts, until the session
    /// fails.
    async fn send_heartbeats(&self, outbox: &mpsc::Sender<PeerMessage>) -> SessionEnd {
        let plane = &self.client.plane;
        loop {
            let quota_request = self.client.quota_requests.borrow_mut().next(clock::now());
            let heartbeat = Heartbeat::of_ingress_node(quota_request.get(), plane.revision());
            let is_sent = outbox.try_send(PeerMessage::Heartbeat(heartbeat)).is_ok();
            if !is_sent || self.send_changed_usage(outbox).is_err() {
                return SessionEnd::SendQueueFull;
            }
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            let now = clock::now();
            if now > self.last_received_at.get() + self.receive_timeout() {
                return SessionEnd::ReceiveTimeout;
            }
            if self.heartbeats_without_quorum.get() >= MAX_HEARTBEATS_WITHOUT_QUORUM {
                return SessionEnd::NoQuorum;
            }
        }
    }

    fn receive_timeout(&self) -> Duration {
        if self.has_received.get() {
            RECEIVE_TIMEOUT
        } else {
            FIRST_MESSAGE_TIMEOUT
        }
    }

    /// Applies a message from the control node. Returns whether the session continues.
    fn on_message(&self, message: PeerMessage) -> ControlFlow<()> {
        if !matches!(message, PeerMessage::Hello(_)) {
            self.is_accepted.set(true);
        }
        match message {
            PeerMessage::Hello(hello) => {
                let mut zones = self.client.zones.borrow_mut();
                zones.insert(self.control_node, hello.zone);
                if hello.version != VERSION {
                    return ControlFlow::Break(());
                }
            }
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(&heartbeat),
            PeerMessage::IngressUpdate(update) => self.on_update(update),
            PeerMessage::QuotaGrants(grants) => self.on_quota_grants(&grants),
            _ => {}
        }
        ControlFlow::Continue(())
    }

    /// Records whether the control node has quorum, without which it may not know the newest configuration, and the
    /// wall-clock time that the control nodes agreed on.
    fn on_heartbeat(&self, heartbeat: &Heartbeat) {
        if heartbeat.has_quorum {
            self.heartbeats_without_quorum.set(0);
            self.client.plane.record_control_contact();
        } else {
            let count = self.heartbeats_without_quorum.get() + 1;
            self.heartbeats_without_quorum.set(count);
        }
        if let Some(agreed) = heartbeat.agreed_time_ms.map(WallTime::from_millis) {
            self.client.plane.observe_agreed_time(clock::now(), agreed);
        }
    }

    /// Applies an update of the control nodes, the replicas and the configuration.
    fn on_update(&self, update: IngressUpdate) {
        let ControlClient {
            plane, position, ..
        } = self.client;
        position.set(ChangeLogPosition {
            log_id: Incarnation::new(update.change_log_id),
            offset: ChangeLogOffset::new(update.change_log_offset),
        });
        if !update.control_addresses.is_empty() {
            self.set_control_nodes(&update.control_addresses);
        }
        // A control node that has just started may not know all replicas yet, so a replica that its update omits has
        // not necessarily departed.
        let scope = if update.complete && update.registry_complete {
            UpdateScope::Complete
        } else {
            UpdateScope::Changes
        };
        plane.update_replicas(&update.replicas, scope);
        if let Some(value) = update.value {
            plane.apply_configuration(&value.document);
        }
        if update.value_confirmed {
            plane.confirm_configuration();
        }
    }

    /// Sets the known control nodes to `addresses` and those in the settings.
    fn set_control_nodes(&self, addresses: &[String]) {
        let bootstrap_peers = self.client.bootstrap_peers.borrow();
        let not_listed = bootstrap_peers
            .iter()
            .filter(|peer| !addresses.contains(&peer.to_string()));
        let listed = addresses.iter().filter_map(|address| address.parse().ok());
        *self.client.control_nodes.borrow_mut() = listed.chain(not_listed.copied()).collect();
    }

    fn on_quota_grants(&self, grants: &QuotaGrants) {
        for grant in &grants.grants {
            self.on_quota_grant(grant);
        }
    }

    /// Applies a grant, if it is for this incarnation and its epoch is not lower than that of the quota in force.
    fn on_quota_grant(&self, grant: &QuotaGrant) {
        let ControlClient {
            plane, incarnation, ..
        } = self.client;
        let is_for_this_process = Incarnation::new(grant.incarnation) == *incarnation;
        if !is_for_this_process || grant.epoch < plane.retry_quota().epoch {
            return;
        }
        let requests = self.client.quota_requests.borrow();
        let Some(sent_at) = requests.sent_at(QuotaRequestNumber::new(grant.quota_request)) else {
            return;
        };
        plane.set_retry_quota(RetryQuota {
            retries_per_window: grant.share,
            expires_at: sent_at + Duration::from_millis(u64::from(grant.lease_ms)),
            ingress_index: to_usize(grant.ingress_index),
            ingress_count: to_usize(grant.ingress_count),
            epoch: grant.epoch,
        });
    }
}

fn to_usize(number: u32) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
