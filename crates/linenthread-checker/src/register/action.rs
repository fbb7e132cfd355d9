//! The actions of the register model, and which of them are enabled in a state.

use linenthread_messages::PeerMessage;

use crate::node_index::NodeIndex;
use crate::register::scenario::Scenario;
use crate::register::state::SystemState;

/// A transition of the register model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Delivers the message at this index of the network.
    Deliver(u16),
    /// Delivers the message at this index of the network and keeps it in flight, so that it can be delivered again.
    DeliverAndDuplicate(u16),
    /// Makes the call at this index of the scenario.
    MakeCall(u8),
    /// Advances the clock of a node past every time-out.
    Tick(NodeIndex),
    /// Syncs the oldest unsynced record of a node.
    Sync(NodeIndex),
    /// Restarts a node from its disk.
    Crash(NodeIndex),
    /// Restarts a node with an empty disk.
    LoseDisk(NodeIndex),
}

/// Returns all enabled actions, in a fixed order.
pub(crate) fn enabled_actions(state: &SystemState, scenario: &Scenario) -> Vec<Action> {
    let mut actions = Vec::new();
    for (index, message) in (0..).zip(&state.network) {
        actions.push(Action::Deliver(index));
        if state.budget.duplicates > 0 && is_duplicate_relevant(&message.message) {
            actions.push(Action::DeliverAndDuplicate(index));
        }
    }
    let calls = (0..).zip(&scenario.calls);
    let pending = calls.filter(|(call, _)| state.is_call_pending(usize::from(*call)));
    actions.extend(pending.map(|(call, _)| Action::MakeCall(call)));
    for node in NodeIndex::ALL {
        actions.extend(enabled_at_node(state, node));
    }
    actions
}

fn enabled_at_node(state: &SystemState, node: NodeIndex) -> impl Iterator<Item = Action> {
    let ticks = state.budget.ticks > 0 && state.node(node).register.is_busy();
    let syncs = !state.node(node).unsynced.is_empty();
    let all = [
        (ticks, Action::Tick(node)),
        (syncs, Action::Sync(node)),
        (state.budget.crashes > 0, Action::Crash(node)),
        (state.budget.lost_disks > 0, Action::LoseDisk(node)),
    ];
    all.into_iter()
        .filter(|(is_enabled, _)| *is_enabled)
        .map(|(_, action)| action)
}

/// Reports whether a duplicate can have an effect. Replies are counted once per sender, so only requests are
/// duplicated.
fn is_duplicate_relevant(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::Prepare(_) | PeerMessage::Accept(_))
}

/// Formats an action as a line of a trace.
pub(crate) fn describe(state: &SystemState, scenario: &Scenario, action: Action) -> String {
    let delivery = |index: u16| {
        let message = &state.network[usize::from(index)];
        format!(
            "node {} receives from {}: {:?}",
            message.to, message.from, message.message
        )
    };
    match action {
        Action::Deliver(index) => delivery(index),
        Action::DeliverAndDuplicate(index) => format!("{} (stays in flight)", delivery(index)),
        Action::MakeCall(index) => format!("call {}", scenario.calls[usize::from(index)]),
        Action::Tick(node) => format!("node {node} ticks"),
        Action::Sync(node) => format!("node {node} syncs a record"),
        Action::Crash(node) => format!("node {node} restarts"),
        Action::LoseDisk(node) => format!("node {node} restarts with an empty disk"),
    }
}
