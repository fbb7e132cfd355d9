//! Messages between ingress nodes and control nodes: what they are for, and what the simulated network has to
//! know of them.

use bytes::BytesMut;
use linenthread_control::{ChangeLogOffset, Incarnation, QuotaRequestNumber, Revision};
use linenthread_messages::{Heartbeat, Hello, PeerMessage, VERSION, decode};

use crate::cost::Work;

/// A position in the change log of one control node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ChangeLogPosition {
    /// The control node's incarnation, which identifies its change log.
    pub(crate) log: Incarnation,
    pub(crate) offset: ChangeLogOffset,
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
    pub(crate) revision: Option<Revision>,
    /// The position after it.
    pub(crate) position: Option<ChangeLogPosition>,
}

impl Summary {
    pub(crate) fn of(message: &PeerMessage) -> Summary {
        let work = work_of(message, Peer::Ingress);
        match message {
            PeerMessage::IngressUpdate(update) => Summary {
                work,
                revision: update.value.as_ref().map(Revision::of),
                position: Some(ChangeLogPosition {
                    log: Incarnation::new(update.change_log_id),
                    offset: ChangeLogOffset::new(update.change_log_offset),
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
    incarnation: Incarnation,
    position: ChangeLogPosition,
    revision: Revision,
) -> PeerMessage {
    PeerMessage::Hello(Hello {
        version: VERSION,
        name: name.to_owned(),
        zone: zone.to_owned(),
        incarnation: incarnation.get(),
        change_log_id: position.log.get(),
        change_log_offset: position.offset.get(),
        value_number_or_revision: revision.get(),
        ..Hello::default()
    })
}

/// An ingress node's heartbeat.
pub(crate) fn heartbeat(quota_request: QuotaRequestNumber, revision: Revision) -> PeerMessage {
    PeerMessage::Heartbeat(Heartbeat::of_ingress_node(
        quota_request.get(),
        revision.get(),
    ))
}

/// The message of a complete frame.
pub(crate) fn read_frame(frame: &[u8]) -> Option<PeerMessage> {
    decode(&mut BytesMut::from(frame)).ok().flatten()
}
