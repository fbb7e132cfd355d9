//! The first message of a session, by which a peer identifies itself as a control node or an ingress node.

use linenthread_consensus::{Incarnation, NodeId, Revision, ValueNumber};
use linenthread_messages::{Hello, Voter};

use crate::change_log::ChangeLogOffset;

/// A hello message, by the kind of its sender: both kinds send [`Hello`], but each sets its own fields.
pub(crate) enum PeerHello {
    ControlNode(ControlNodeHello),
    IngressNode(IngressNodeHello),
}

/// The hello message of another control node.
pub(crate) struct ControlNodeHello {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) incarnation: Incarnation,
    /// The address at which the node accepts calls, and by which its peers identify it.
    pub(crate) control_address: String,
    pub(crate) node_id: NodeId,
    /// Whether the node's settings allow it to become a voter.
    pub(crate) voter_eligible: bool,
    /// Number of the newest value that the node has.
    pub(crate) value_number: ValueNumber,
}

impl ControlNodeHello {
    /// Returns the entry for the node in a list of voters, whether or not it is a voter.
    pub(crate) fn voter(&self) -> Voter {
        Voter {
            id: self.node_id.0,
            address: self.control_address.clone(),
        }
    }
}

/// The hello message of an ingress node.
pub(crate) struct IngressNodeHello {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) incarnation: Incarnation,
    /// The change log that the ingress node followed last, identified by the incarnation of its control node.
    pub(crate) change_log_id: Incarnation,
    /// The offset in that log up to which the ingress node has all changes.
    pub(crate) change_log_offset: ChangeLogOffset,
    /// The revision of the configuration that the ingress node uses.
    pub(crate) revision: Revision,
}

impl From<Hello> for PeerHello {
    /// Only control nodes send a control address.
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
