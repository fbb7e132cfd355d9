//! The invariants of each state, named as in `docs/control-orders.md`.

use linenthread_messages::OrderIdentity;

use crate::register::history::History;
use crate::register::state::SystemState;

struct Invariant {
    name: &'static str,
    is_violated: fn(&SystemState) -> bool,
}

const INVARIANTS: [Invariant; 7] = [
    Invariant {
        name: "one-value-per-number",
        is_violated: |state| state.history().has_conflicting_values(),
    },
    Invariant {
        name: "decided-by-voters",
        is_violated: |state| state.history().has_minority_decision(),
    },
    Invariant {
        name: "acknowledged-lasts",
        is_violated: |state| loses_acknowledged_order(state.history()),
    },
    Invariant {
        name: "one-order-per-base",
        is_violated: |state| has_two_orders_on_a_base(state.history()),
    },
    Invariant {
        name: "committed-is-never-rejected",
        is_violated: |state| rejects_accepted_order(state.history()),
    },
    Invariant {
        name: "orders-known-at-each-node",
        is_violated: has_node_without_accepted_order,
    },
    Invariant {
        name: "reads-are-newest",
        is_violated: |state| state.history().has_stale_read(),
    },
];

/// Returns the names of the invariants that a state violates.
pub(crate) fn violated_invariants(state: &SystemState) -> impl Iterator<Item = &'static str> {
    INVARIANTS
        .iter()
        .filter(|invariant| (invariant.is_violated)(state))
        .map(|invariant| invariant.name)
}

fn loses_acknowledged_order(history: &History) -> bool {
    let accepted = history.accepted_orders();
    history
        .acknowledged()
        .iter()
        .any(|order| !accepted.contains(order))
}

fn has_two_orders_on_a_base(history: &History) -> bool {
    has_shared_base(history.accepted_orders()) || has_shared_base(history.acknowledged())
}

fn has_shared_base(orders: &[OrderIdentity]) -> bool {
    orders.iter().enumerate().any(|(index, order)| {
        orders[..index]
            .iter()
            .any(|earlier| earlier.base == order.base)
    })
}

/// Also covers an order that is accepted only after it was rejected.
fn rejects_accepted_order(history: &History) -> bool {
    let accepted = history.accepted_orders();
    history
        .rejected()
        .iter()
        .any(|order| accepted.contains(order))
}

/// Reports whether some node lacks an accepted order whose revision is at most that of its newest value.
fn has_node_without_accepted_order(state: &SystemState) -> bool {
    let accepted = state.history().accepted_orders();
    state.nodes().any(|node| {
        let newest = node.register.decided().map_or(0, |value| value.revision);
        accepted
            .iter()
            .filter(|order| order.revision <= newest)
            .any(|order| !node.register.order_log().contains(order))
    })
}
