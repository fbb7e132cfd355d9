//! One real state machine of a control node, and what reaches it.

use std::time::Duration;

use bytes::BytesMut;
use linenthread_config::Configuration;
use linenthread_consensus::{DurableState, NodeId, genesis_value};
use linenthread_control::{
    AfterSync, CallId, ControlNode, Effect, Incarnation, NodeConfig, Order, ReplicaHeartbeat,
    SessionId,
};
use linenthread_messages::{Record, decode};
use linenthread_time::Instant;

use crate::cost::Work;
use crate::messages::{Peer, work_of};

/// Retries that all ingress nodes together may use in a window.
const RETRY_ALLOWANCE: f64 = 50.0;
/// The window of [`RETRY_ALLOWANCE`].
const RETRY_WINDOW: Duration = Duration::from_millis(4_000);
/// The fewest voters.
const MIN_VOTERS: usize = 3;

/// What a control node is started with.
pub(crate) struct ControlSettings {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) address: String,
    pub(crate) incarnation: Incarnation,
    pub(crate) may_vote: bool,
    /// Addresses of the first voters.
    pub(crate) bootstrap: Vec<String>,
    pub(crate) heartbeat_interval: Duration,
}

impl ControlSettings {
    fn into_config(self) -> NodeConfig {
        NodeConfig {
            name: self.name,
            zone: self.zone,
            incarnation: self.incarnation,
            control_address: self.address,
            voter_eligible: self.may_vote,
            min_voters: MIN_VOTERS,
            heartbeat_interval: self.heartbeat_interval,
            bootstrap: self.bootstrap,
            is_genesis: true,
            retry_allowance: RETRY_ALLOWANCE,
            retry_window: RETRY_WINDOW,
        }
    }
}

/// What reaches a control node.
pub(crate) enum Input {
    Opened(SessionId),
    Closed(SessionId),
    /// A connection to this address could not be made.
    Unreachable(String),
    /// A frame of a message.
    Frame {
        session: SessionId,
        frame: BytesMut,
    },
    /// A replica's heartbeat, as the body of its call.
    ReplicaHeartbeat {
        call: CallId,
        ident: String,
        body: Vec<u8>,
    },
    ReplicaDeparture {
        call: CallId,
        ident: String,
    },
    /// An operator's change of the configuration.
    Replace {
        call: CallId,
        order: Order,
    },
    /// A record is synced, and what waited on it may be sent.
    Synced(Vec<AfterSync>),
    Tick,
}

impl Input {
    /// Bytes that others have allocated and that are freed where the input is handled.
    pub(crate) fn allocated(&self) -> usize {
        match self {
            Input::Frame { frame, .. } => frame.capacity(),
            Input::ReplicaHeartbeat { ident, body, .. } => ident.capacity() + body.capacity(),
            Input::ReplicaDeparture { ident, .. } => ident.capacity(),
            Input::Replace { order, .. } => order.document.capacity(),
            _ => 0,
        }
    }

    /// The session and length of the frame, if it is one.
    pub(crate) fn frame(&self) -> Option<(SessionId, usize)> {
        match self {
            Input::Frame { session, frame } => Some((*session, frame.len())),
            _ => None,
        }
    }
}

/// A running control node.
pub(crate) struct ControlProcess {
    control: ControlNode,
}

impl ControlProcess {
    /// A node with an empty disk on the very first start, and the record that its disk holds from then on.
    pub(crate) fn first_start(settings: ControlSettings, now: Instant) -> (ControlProcess, Record) {
        let id = if settings.bootstrap.contains(&settings.address) {
            NodeId::genesis(&settings.address)
        } else {
            NodeId(settings.incarnation.get())
        };
        let genesis = genesis_value(&settings.bootstrap);
        let record = Record {
            id: Some(id.0),
            decided: Some(genesis.clone()),
            ..Record::default()
        };
        let control = ControlNode::new(
            settings.into_config(),
            id,
            DurableState::default(),
            Some(genesis),
            now,
        );
        (ControlProcess { control }, record)
    }

    /// When its next timer is due.
    pub(crate) fn next_tick_at(&self, now: Instant) -> Instant {
        self.control.next_tick_at(now)
    }

    pub(crate) fn is_leader(&self, now: Instant) -> bool {
        self.control.lease_epoch(now).is_some()
    }

    /// How many disks vote, as far as it knows.
    pub(crate) fn voters(&self) -> usize {
        self.control.register().voters().len()
    }

    /// Works on one input; returns what kind of work it was. `peer` is at the other end of a frame's session.
    pub(crate) fn handle(
        &mut self,
        now: Instant,
        input: Input,
        peer: Peer,
        effects: &mut Vec<Effect>,
    ) -> Work {
        let control = &mut self.control;
        match input {
            Input::Opened(session) => {
                control.on_session_opened(session, effects);
                Work::Sessions
            }
            Input::Closed(session) => {
                control.on_session_closed(now, session, effects);
                Work::Sessions
            }
            Input::Unreachable(address) => {
                control.on_dial_failed(now, &address);
                Work::Sessions
            }
            Input::Frame { session, mut frame } => {
                let Ok(Some(message)) = decode(&mut frame) else {
                    return Work::Sessions;
                };
                let work = work_of(&message, peer);
                control.on_message(now, session, message, effects);
                work
            }
            Input::ReplicaHeartbeat { call, ident, body } => {
                if let Ok(heartbeat) = serde_json::from_slice::<ReplicaHeartbeat>(&body) {
                    control.on_replica_heartbeat(now, call, &ident, heartbeat, effects);
                }
                Work::ReplicaHeartbeats
            }
            Input::ReplicaDeparture { call, ident } => {
                control.on_replica_departure(now, call, &ident, effects);
                Work::ReplicaHeartbeats
            }
            Input::Replace { call, order } => {
                if Configuration::parse(&order.document).is_ok() {
                    control.replace_configuration(now, call, order, effects);
                }
                Work::Configuration
            }
            Input::Synced(after_sync) => {
                control.on_synced(now, after_sync, effects);
                Work::Configuration
            }
            Input::Tick => {
                control.tick(now, effects);
                Work::Timer
            }
        }
    }
}
