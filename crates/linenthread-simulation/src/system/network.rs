//! Simulated connections between nodes: ordered messages with delays, partitions in one or both directions, and hanging
//! connections.

use std::collections::BTreeMap;
use std::time::Duration;

use linenthread_control::SessionId;
use linenthread_messages::PeerMessage;
use linenthread_time::Instant;

use super::event::{Delivery, EventQueue, NodeIndex, Process};
use super::random::Random;

/// One message in this many is slow while faults are injected.
const SLOW_MESSAGE_ONE_IN: u64 = 50;
/// Delay until both ends are notified that a hanging connection was reset.
const RESET_DELAY: Duration = Duration::from_millis(1);

struct Connection {
    ends: [Process; 2],
    /// Arrival time of the last message from each end; later messages arrive no earlier, which keeps their order.
    last_arrival: [Instant; 2],
    /// Whether a message was lost. Nothing arrives any more then, and neither end is notified.
    hangs: bool,
}

impl Connection {
    /// Returns the index of this node's end.
    fn side_of(&self, node: NodeIndex) -> usize {
        usize::from(self.ends[0].node != node)
    }
}

pub(super) struct Network {
    connections: BTreeMap<SessionId, Connection>,
    last_session: u64,
    /// End of each partition; until then no message gets from the first node to the second.
    partitions: BTreeMap<(NodeIndex, NodeIndex), Instant>,
    /// Whether some messages are slow.
    has_slow_messages: bool,
}

impl Network {
    pub(super) fn new() -> Network {
        Network {
            connections: BTreeMap::new(),
            last_session: 0,
            partitions: BTreeMap::new(),
            has_slow_messages: true,
        }
    }

    // --- partitions ---

    /// Reports whether messages from `from` to `to` are lost now.
    fn is_partitioned_from(&self, from: NodeIndex, to: NodeIndex, now: Instant) -> bool {
        self.partitions
            .get(&(from, to))
            .is_some_and(|until| *until > now)
    }

    /// Reports whether any two nodes are partitioned now, in at least one direction.
    pub(super) fn has_partition(&self, now: Instant) -> bool {
        self.partitions.values().any(|until| *until > now)
    }

    /// Reports whether the two nodes are partitioned now, in at least one direction.
    pub(super) fn is_partitioned(&self, a: NodeIndex, b: NodeIndex, now: Instant) -> bool {
        self.is_partitioned_from(a, b, now) || self.is_partitioned_from(b, a, now)
    }

    pub(super) fn partition(&mut self, from: NodeIndex, to: NodeIndex, until: Instant) {
        let end = self.partitions.entry((from, to)).or_default();
        *end = until.max(*end);
    }

    /// Ends all partitions and slow messages, and resets hanging connections.
    pub(super) fn heal(&mut self, queue: &mut EventQueue) {
        self.has_slow_messages = false;
        self.partitions.clear();
        let hanging: Vec<SessionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.hangs)
            .map(|(session, _)| *session)
            .collect();
        for session in hanging {
            let Some(connection) = self.connections.remove(&session) else {
                continue;
            };
            for end in connection.ends {
                let at = queue.now() + RESET_DELAY;
                queue.deliver_at(at, end, Delivery::Closed { session });
            }
        }
    }

    // --- connections ---

    pub(super) fn is_open(&self, session: SessionId) -> bool {
        self.connections.contains_key(&session)
    }

    /// Returns the sessions of this node.
    pub(super) fn sessions_of(&self, node: NodeIndex) -> Vec<SessionId> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.ends.iter().any(|end| end.node == node))
            .map(|(session, _)| *session)
            .collect()
    }

    pub(super) fn open(&mut self, from: Process, to: Process, now: Instant) -> SessionId {
        self.last_session += 1;
        let session = SessionId(self.last_session);
        self.connections.insert(
            session,
            Connection {
                ends: [from, to],
                last_arrival: [now, now],
                hangs: false,
            },
        );
        session
    }

    /// Lets no message of this connection arrive before `at`.
    pub(super) fn delay_until(&mut self, session: SessionId, at: Instant) {
        if let Some(connection) = self.connections.get_mut(&session) {
            connection.last_arrival = [at, at];
        }
    }

    /// Closes a connection from one end. The other end is notified unless the connection hangs or is partitioned.
    pub(super) fn close(
        &mut self,
        queue: &mut EventQueue,
        random: &mut Random,
        session: SessionId,
        by: NodeIndex,
    ) {
        let Some(connection) = self.connections.remove(&session) else {
            return;
        };
        let other = connection.ends[1 - connection.side_of(by)];
        if !self.is_partitioned_from(by, other.node, queue.now()) && !connection.hangs {
            let at = queue.now() + self.delay(random);
            queue.deliver_at(at, other, Delivery::Closed { session });
        }
    }

    pub(super) fn send(
        &mut self,
        queue: &mut EventQueue,
        random: &mut Random,
        from: NodeIndex,
        session: SessionId,
        message: PeerMessage,
    ) {
        let delay = self.delay(random);
        let now = queue.now();
        let Some(connection) = self.connections.get(&session) else {
            return;
        };
        let side = connection.side_of(from);
        let to = connection.ends[1 - side];
        let is_lost = self.is_partitioned_from(from, to.node, now);
        let connection = self.connections.get_mut(&session).expect("just found");
        connection.hangs |= is_lost;
        if connection.hangs {
            return;
        }
        let at = connection.last_arrival[side].max(now + delay);
        connection.last_arrival[side] = at;
        let delivery = Delivery::Message {
            session,
            from,
            sent_at: now,
            message: Box::new(message),
        };
        queue.deliver_at(at, to, delivery);
    }

    /// Draws the delay of a message.
    pub(super) fn delay(&self, random: &mut Random) -> Duration {
        if random.one_in(SLOW_MESSAGE_ONE_IN) && self.has_slow_messages {
            Duration::from_millis(30) + random.millis_below(300)
        } else {
            Duration::from_millis(1) + random.millis_below(3)
        }
    }
}
