//! How a peer introduced itself: which of the two kinds of node it is, and the fields that its kind sends.

use linenthread_consensus::{Incarnation, NodeId, Revision, ValueNumber};
use linenthread_messages::{Hello, Voter};

use crate::change_log::ChangeLogOffset;

/// The first message of a session, by the kind of its sender: both send [`Hello`], each with its own fields.
pub(crate) enum PeerHello {
    ControlNode(ControlNodeHello),
    IngressNode(IngressNodeHello),
}

/// How another control node introduced itself.
pub(crate) struct ControlNodeHello {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) incarnation: Incarnation,
    /// Where it takes calls; its peers know it by this address.
    pub(crate) control_address: String,
    pub(crate) node_id: NodeId,
    /// Its settings allow it to be made a voter.
    pub(crate) voter_eligible: bool,
    /// Number of the newest value that it has.
    pub(crate) value_number: ValueNumber,
}

impl ControlNodeHello {
    /// The node as a voter, which it may be or become.
    pub(crate) fn voter(&self) -> Voter {
        Voter {
            id: self.node_id.0,
            address: self.control_address.clone(),
        }
    }
}

/// How an ingress node introduced itself.
pub(crate) struct IngressNodeHello {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) incarnation: Incarnation,
    /// The change log that it followed last: that of the control node of this incarnation.
    pub(crate) change_log_id: Incarnation,
    /// The offset in that log up to which it has everything.
    pub(crate) change_log_offset: ChangeLogOffset,
    /// The revision of the configuration that it uses.
    pub(crate) revision: Revision,
}

impl From<Hello> for PeerHello {
    /// Only control nodes have a control address.
    fn from(hello: Hello) -> PeerHello {
        let incarnation = Incarnation::new(hello.incarnation);
        if hello.control_address.is_empty() {
            PeerHello::IngressNode(IngressNodeHello {
                name: hello.name,
                zone: hello.zone,
                incarnation,
                change_log_id: Incarnation::new(hello.change_log_id),
                change_log_offset: ChangeLogOffset::new(hello.change_log_offset),
                revision: Revision::new(hello.value_number_or_revision),
            })
        } else {
            PeerHello::ControlNode(ControlNodeHello {
                name: hello.name,
                zone: hello.zone,
                incarnation,
                control_address: hello.control_address,
                node_id: NodeId(hello.node_id),
                voter_eligible: hello.voter_eligible,
                value_number: ValueNumber::new(hello.value_number_or_revision),
            })
        }
    }
}
