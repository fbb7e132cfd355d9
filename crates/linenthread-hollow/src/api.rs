//! All that is used of `linenthread-control`, `-consensus` and `-messages`: a rename there changes this file only.

use std::time::Duration;

use bytes::BytesMut;
use linenthread_config::Configuration;
use linenthread_consensus::{DurableState, genesis_id};
use linenthread_control::{ControlNode, NodeConfig, ReplicaHeartbeat};
use linenthread_messages::{Heartbeat, Hello, VERSION, Value, Voter, decode};
use linenthread_time::Instant;

pub(crate) use linenthread_control::{CallId, DeferredMessage, Effect, Response, SessionId};
pub(crate) use linenthread_messages::{IngressUpdate, PeerMessage, Record, Replica, encode};

use crate::cost::Work;

const RETRY_ALLOWANCE: f64 = 50.0;
const RETRY_WINDOW_MS: u64 = 4_000;

/// What a control node is started with.
pub struct NodeSettings {
    pub name: String,
    pub zone: String,
    pub address: String,
    pub life: u64,
    pub votes: bool,
    pub bootstrap: Vec<String>,
    pub heartbeat_ms: u64,
}

/// What happens to a control node.
pub enum Input {
    Opened(SessionId),
    Closed(SessionId),
    Unreached(String),
    Frame(SessionId, BytesMut),
    /// A replica's heartbeat, as the body of its call.
    Beat {
        token: CallId,
        ident: String,
        body: Vec<u8>,
    },
    Departure {
        token: CallId,
        ident: String,
    },
    Replace {
        token: CallId,
        base: u64,
        revision: u64,
        document: Vec<u8>,
    },
    Synced(Vec<DeferredMessage>),
    Tick,
}

/// One real control state machine.
pub struct Node {
    control: ControlNode,
}

impl Node {
    /// A node with an empty disk on the very first start, and the record that its disk holds from then on.
    pub fn first_start(settings: NodeSettings, now: u64) -> (Node, Record) {
        let bootstraps = settings.bootstrap.contains(&settings.address);
        let id = if bootstraps {
            genesis_id(&settings.address)
        } else {
            settings.life
        };
        let voter = |a: &String| Voter {
            id: genesis_id(a),
            address: a.clone(),
        };
        let genesis = Value {
            voters: settings.bootstrap.iter().map(voter).collect(),
            ..Value::default()
        };
        let record = Record {
            id: Some(id),
            decided: Some(genesis.clone()),
            ..Record::default()
        };
        let local = NodeConfig {
            name: settings.name,
            zone: settings.zone,
            incarnation: settings.life,
            control_address: settings.address,
            may_vote: settings.votes,
            min_voters: 3,
            heartbeat_interval: Duration::from_millis(settings.heartbeat_ms),
            bootstrap: settings.bootstrap,
            is_genesis: true,
            retry_allowance: RETRY_ALLOWANCE,
            retry_window: Duration::from_millis(RETRY_WINDOW_MS),
        };
        let control = ControlNode::new(
            local,
            id,
            DurableState::default(),
            Some(genesis),
            Instant::from_millis(now),
        );
        (Node { control }, record)
    }

    pub fn due(&self, now: u64) -> u64 {
        self.control
            .next_tick_at(Instant::from_millis(now))
            .as_millis()
    }

    pub fn is_leader(&self, now: u64) -> bool {
        self.control
            .lease_epoch(Instant::from_millis(now))
            .is_some()
    }

    pub fn voters(&self) -> usize {
        self.control.register().voters().len()
    }

    pub fn known_replicas(&self) -> usize {
        self.control.registry().len()
    }

    /// Works on one input; says what kind of work it was. `from_front` tells whose link a frame came on.
    pub fn handle(
        &mut self,
        now: u64,
        input: Input,
        from_front: bool,
        out: &mut Vec<Effect>,
    ) -> Work {
        let now = Instant::from_millis(now);
        match input {
            Input::Opened(link) => {
                self.control.on_session_opened(link, out);
                Work::Sessions
            }
            Input::Closed(link) => {
                self.control.on_session_closed(now, link, out);
                Work::Sessions
            }
            Input::Unreached(address) => {
                self.control.on_dial_failed(now, &address);
                Work::Sessions
            }
            Input::Frame(link, mut frame) => match decode(&mut frame) {
                Ok(Some(word)) => {
                    let work = work_of(&word, from_front);
                    self.control.on_message(now, link, word, out);
                    work
                }
                _ => Work::Sessions,
            },
            Input::Beat { token, ident, body } => {
                if let Ok(beat) = serde_json::from_slice::<ReplicaHeartbeat>(&body) {
                    self.control
                        .on_replica_heartbeat(now, token, &ident, beat, out);
                }
                Work::ReplicaHeartbeats
            }
            Input::Departure { token, ident } => {
                self.control.on_replica_departure(now, token, &ident, out);
                Work::ReplicaHeartbeats
            }
            Input::Replace {
                token,
                base,
                revision,
                document,
            } => {
                if Configuration::parse(&document).is_ok() {
                    self.control
                        .replace_configuration(now, token, base, revision, document, out);
                }
                Work::Configuration
            }
            Input::Synced(then) => {
                self.control.on_synced(now, then, out);
                Work::Configuration
            }
            Input::Tick => {
                self.control.tick(now, out);
                Work::Timer
            }
        }
    }
}

/// What a message is about.
pub(crate) fn work_of(word: &PeerMessage, with_front: bool) -> Work {
    match word {
        PeerMessage::Hello(_) if with_front => Work::FrontJoins,
        PeerMessage::Hello(_) => Work::Sessions,
        PeerMessage::Heartbeat(_) if with_front => Work::FrontHeartbeats,
        PeerMessage::Heartbeat(_) => Work::PeerHeartbeats,
        PeerMessage::IngressUpdate(update) if update.complete => Work::FrontJoins,
        PeerMessage::IngressUpdate(update) if update.value.is_some() => Work::Configuration,
        PeerMessage::IngressUpdate(_) => Work::FrontUpdates,
        PeerMessage::ControlUpdate(update) if update.has_sessions => Work::PeerSessions,
        PeerMessage::ControlUpdate(_) => Work::PeerReplicas,
        PeerMessage::UpdateAck(_) => Work::PeerReplicas,
        PeerMessage::LeaseRequest(_) | PeerMessage::LeaseVote(_) => Work::Lease,
        PeerMessage::QuotaGrants(_) => Work::RetryBudget,
        _ => Work::Configuration,
    }
}

/// What a simulated network has to know of a message on its way to a front.
pub struct Notice {
    pub work: Work,
    /// The revision of the configuration in it.
    pub revision: Option<u64>,
    pub confirmed: bool,
    /// The log that it belongs to, and the place after it.
    pub place: Option<(u64, u64)>,
    /// A share of the retry budget, for this life.
    pub share: Option<(u64, f64)>,
}

pub(crate) fn notice(word: &PeerMessage) -> Notice {
    let work = work_of(word, true);
    let none = Notice {
        work,
        revision: None,
        confirmed: false,
        place: None,
        share: None,
    };
    match word {
        PeerMessage::IngressUpdate(update) => Notice {
            revision: update.value.as_ref().map(|value| value.revision),
            confirmed: update.confirmed,
            place: Some((update.change_log_id, update.change_log_offset)),
            ..none
        },
        PeerMessage::QuotaGrants(allotments) => {
            let share = allotments
                .grants
                .first()
                .map(|grant| (grant.incarnation, grant.share));
            Notice { share, ..none }
        }
        _ => none,
    }
}

/// A front's first word. `place` is how far it followed which node's log.
pub(crate) fn front_hello(
    name: &str,
    zone: &str,
    life: u64,
    place: Option<(u64, u64)>,
    revision: u64,
) -> PeerMessage {
    let (log, place) = place.unwrap_or((0, 0));
    PeerMessage::Hello(Hello {
        version: VERSION,
        name: name.to_owned(),
        zone: zone.to_owned(),
        incarnation: life,
        change_log_id: log,
        change_log_offset: place,
        value_number: revision,
        ..Hello::default()
    })
}

pub(crate) fn front_heartbeat(asked: u64, revision: u64) -> PeerMessage {
    PeerMessage::Heartbeat(Heartbeat {
        quota_request_or_value_number: asked,
        revision,
        ..Heartbeat::default()
    })
}

/// One whole frame back into a message.
pub(crate) fn read_frame(frame: &[u8]) -> Option<PeerMessage> {
    decode(&mut BytesMut::from(frame)).ok().flatten()
}
