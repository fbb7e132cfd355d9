use linenthread_messages::OrderIdentity;

use crate::world::{History, World};

/// An invariant by its name, and whether a state breaks it.
type Invariant = (&'static str, fn(&World) -> bool);

/// All that must hold in each state (`docs/control-orders.md`).
const INVARIANTS: [Invariant; 7] = [
    ("one-value-a-number", two_values),
    ("decided-by-those-who-count", too_few),
    ("acked-lasts", acknowledged_is_lost),
    ("one-a-base", two_on_a_base),
    ("never-refused-when-taken", refused_but_taken),
    ("known-at-each-node", unknown_to_a_node),
    ("reads-are-newest", stale_read),
];

/// The names of the invariants that a state breaks.
pub(crate) fn broken(world: &World) -> impl Iterator<Item = &'static str> {
    INVARIANTS
        .into_iter()
        .filter(|(_, is_broken)| is_broken(world))
        .map(|(name, _)| name)
}

fn two_values(world: &World) -> bool {
    world.history.inner.two_values
}

fn too_few(world: &World) -> bool {
    world.history.inner.too_few
}

fn stale_read(world: &World) -> bool {
    world.history.inner.stale_read
}

/// The orders of the newest value; no instance has so many that they leave it.
fn taken(history: &History) -> &[OrderIdentity] {
    history
        .decided
        .last_key_value()
        .map_or(&[], |(_, value)| &value.recent_orders)
}

fn acknowledged_is_lost(world: &World) -> bool {
    let taken = taken(&world.history.inner);
    world
        .history
        .inner
        .acknowledged
        .iter()
        .any(|order| !taken.contains(order))
}

fn two_on_a_base(world: &World) -> bool {
    let of = |orders: &[OrderIdentity]| {
        orders
            .iter()
            .enumerate()
            .any(|(at, order)| orders[..at].iter().any(|other| other.base == order.base))
    };
    of(taken(&world.history.inner)) || of(&world.history.inner.acknowledged)
}

/// Also an order that is taken after it was refused.
fn refused_but_taken(world: &World) -> bool {
    let taken = taken(&world.history.inner);
    world
        .history
        .inner
        .refused
        .iter()
        .any(|order| taken.contains(order))
}

/// A node that has got as far as an order knows it.
fn unknown_to_a_node(world: &World) -> bool {
    let taken = taken(&world.history.inner);
    world.nodes.iter().any(|node| {
        let revision = node
            .inner
            .register
            .decided()
            .map_or(0, |value| value.revision);
        let due = taken.iter().filter(|order| order.revision <= revision);
        due.into_iter()
            .any(|order| !node.inner.register.order_log().contains(order))
    })
}
