//! Messages between ingress nodes and control nodes: what they are for, and what the simulated network has to
//! know of them.

use bytes::BytesMut;
use linenthread_messages::{Heartbeat, Hello, PeerMessage, VERSION, decode};

use crate::cost::Work;

/// A position in the change log of one control node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ChangeLogPosition {
    pub(crate) log: u64,
    pub(crate) offset: u64,
}

/// Who sends or receives a message, beside a control node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Peer {
    Ingress,
    Control,
}

/// What a message is for.
pub(crate) fn work_of(message: &PeerMessage, peer: Peer) -> Work {
    let with_ingress = peer == Peer::Ingress;
    match message {
        PeerMessage::Hello(_) if with_ingress => Work::IngressJoins,
        PeerMessage::Hello(_) => Work::Sessions,
        PeerMessage::Heartbeat(_) if with_ingress => Work::IngressHeartbeats,
        PeerMessage::Heartbeat(_) => Work::PeerHeartbeats,
        PeerMessage::IngressUpdate(update) if update.complete => Work::IngressJoins,
        PeerMessage::IngressUpdate(update) if update.value.is_some() => Work::Configuration,
        PeerMessage::IngressUpdate(_) => Work::IngressUpdates,
        PeerMessage::ControlUpdate(update) if update.has_sessions => Work::PeerSessions,
        PeerMessage::ControlUpdate(_) | PeerMessage::UpdateAck(_) => Work::PeerReplicas,
        PeerMessage::LeaseRequest(_) | PeerMessage::LeaseReply(_) => Work::Lease,
        PeerMessage::QuotaGrants(_) => Work::RetryBudget,
        _ => Work::Configuration,
    }
}

/// What a message to an ingress node brings.
pub(crate) struct Summary {
    pub(crate) work: Work,
    /// The revision of the configuration in it.
    pub(crate) revision: Option<u64>,
    /// The position after it.
    pub(crate) position: Option<ChangeLogPosition>,
}

impl Summary {
    pub(crate) fn of(message: &PeerMessage) -> Summary {
        let work = work_of(message, Peer::Ingress);
        match message {
            PeerMessage::IngressUpdate(update) => Summary {
                work,
                revision: update.value.as_ref().map(|value| value.revision),
                position: Some(ChangeLogPosition {
                    log: update.change_log_id,
                    offset: update.change_log_offset,
                }),
            },
            _ => Summary {
                work,
                revision: None,
                position: None,
            },
        }
    }
}

/// An ingress node's first message: `position` is how far it has followed a control node's change log.
pub(crate) fn hello(
    name: &str,
    zone: &str,
    incarnation: u64,
    position: ChangeLogPosition,
    revision: u64,
) -> PeerMessage {
    PeerMessage::Hello(Hello {
        version: VERSION,
        name: name.to_owned(),
        zone: zone.to_owned(),
        incarnation,
        change_log_id: position.log,
        change_log_offset: position.offset,
        value_number_or_revision: revision,
        ..Hello::default()
    })
}

/// An ingress node's heartbeat.
pub(crate) fn heartbeat(quota_request: u64, revision: u64) -> PeerMessage {
    PeerMessage::Heartbeat(Heartbeat {
        quota_request_or_value_number: quota_request,
        revision,
        ..Heartbeat::default()
    })
}

/// The message of a complete frame.
pub(crate) fn read_frame(frame: &[u8]) -> Option<PeerMessage> {
    decode(&mut BytesMut::from(frame)).ok().flatten()
}
