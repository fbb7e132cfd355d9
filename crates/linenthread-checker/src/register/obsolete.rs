//! Discards messages that can no longer have an effect.
//!
//! They are removed from the network so that states that differ only in such messages are merged.

use linenthread_consensus::{NodeId, ValueNumber};
use linenthread_messages::PeerMessage;

use crate::node_index::NodeIndex;
use crate::register::state::{InFlight, Node, SystemState};

/// Discards obsolete messages after an action of a node.
pub(crate) fn discard(state: &mut SystemState, acting_node: NodeIndex) {
    let mut network = std::mem::take(&mut state.network);
    let acting = state.node(acting_node);
    network.retain(|message| {
        let is_obsolete = is_about_decided_number(state, message)
            || message.to == acting.id && is_ignored_reply(acting, message);
        !is_obsolete
    });
    state.network = network;
}

/// Returns the number of the newest value of the node with this identity.
fn newest_number(state: &SystemState, id: NodeId) -> Option<ValueNumber> {
    let node = state.nodes().find(|node| node.id == id)?;
    node.register.decided().map(ValueNumber::of)
}

/// Reports whether the receiver has a decided value with the number of the message or a greater one. It would answer a
/// request with its newest value, so a request is obsolete only if its sender has a value at least as new.
fn is_about_decided_number(state: &SystemState, message: &InFlight) -> bool {
    let receiver = newest_number(state, message.to);
    let receiver_has = |number| receiver >= Some(ValueNumber::new(number));
    let sender_is_as_recent = || newest_number(state, message.from) >= receiver;
    match &message.message {
        PeerMessage::Prepare(request) => receiver_has(request.number) && sender_is_as_recent(),
        PeerMessage::Accept(request) => receiver_has(request.value.number) && sender_is_as_recent(),
        PeerMessage::Promise(promise) => receiver_has(promise.number),
        PeerMessage::AcceptAck(ack) => receiver_has(ack.number),
        PeerMessage::Rejected(rejected) => receiver_has(rejected.number),
        PeerMessage::Decided(value) => receiver_has(value.number),
        _ => false,
    }
}

/// Reports whether a message is a reply that the receiver would ignore, because it belongs to a round that has ended.
fn is_ignored_reply(receiver: &Node, message: &InFlight) -> bool {
    let is_reply = matches!(
        message.message,
        PeerMessage::Promise(_)
            | PeerMessage::AcceptAck(_)
            | PeerMessage::Rejected(_)
            | PeerMessage::ReadReply(_)
    );
    if !is_reply {
        return false;
    }
    let (mut register, mut effects) = (receiver.register.clone(), Vec::new());
    register.on_message(
        receiver.now,
        message.from,
        message.message.clone(),
        &mut effects,
    );
    effects.is_empty() && register == receiver.register
}
