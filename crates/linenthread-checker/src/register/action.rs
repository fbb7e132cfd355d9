//! The actions that are enabled in a state.

use linenthread_messages::PeerMessage;

use crate::node_index::NodeIndex;
use crate::register::scenario::Scenario;
use crate::register::state::SystemState;

/// One thing that may happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The message at this index of the network is delivered.
    Deliver(u16),
    /// The message at this index of the network is delivered, and will be once more.
    DeliverAndDuplicate(u16),
    /// The call of this index is made.
    MakeCall(u8),
    /// A node's clock moves past every time-out.
    Tick(NodeIndex),
    /// A node's oldest unsynced record is synced.
    Sync(NodeIndex),
    /// A node restarts from its disk.
    Crash(NodeIndex),
    /// A node restarts with an empty disk.
    LoseDisk(NodeIndex),
}

/// All enabled actions, in a fixed order.
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

/// A reply is counted once for its sender anyway, so only requests are duplicated.
fn is_duplicate_relevant(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::Prepare(_) | PeerMessage::Accept(_))
}

/// An action as a line of a trace.
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
