//! Opens and closes connections between processes, and carries their bytes and datagrams.

use linenthread_core::interface::TenthMillis;
use linenthread_fleet::ConnectionId;

use super::SECOND;
use super::event::{Event, LinkNumber, ProcessIndex, Side};
use super::network::{LinkEnd, Sides};
use super::world::World;

/// The time after which a connection attempt across a partition fails.
const CONNECT_TIMEOUT: TenthMillis = 10 * SECOND;
/// The time after which a refused connection attempt fails.
const REFUSE_LATENCY: TenthMillis = 10;

impl World {
    /// Handles a connection attempt, which is accepted, refused, or lost in a partition.
    pub(super) fn on_connect(
        &mut self,
        from: ProcessIndex,
        connection: ConnectionId,
        to: ProcessIndex,
    ) {
        let is_partitioned =
            self.network.is_partitioned(from, to) || self.network.is_partitioned(to, from);
        let both_run = self.processes[from].fleet.is_some() && self.processes[to].fleet.is_some();
        let connecting = LinkEnd {
            process: from,
            connection,
        };
        if both_run && !is_partitioned && self.accept(connecting, to) {
            return;
        }
        let wait = if is_partitioned {
            CONNECT_TIMEOUT
        } else {
            REFUSE_LATENCY
        };
        let link = self.events.next_number();
        let accepting = LinkEnd {
            process: to,
            connection: ConnectionId(0),
        };
        let ends = Sides {
            connecting,
            accepting,
        };
        self.network.add_refused(link, ends);
        let side = Side::Connecting;
        self.schedule(wait, Event::Closed { link, side });
    }

    /// Offers a connection to a process, and reports whether it was accepted.
    fn accept(&mut self, connecting: LinkEnd, to: ProcessIndex) -> bool {
        let link = self.events.next_number();
        let process = &mut self.processes[to];
        let now = process.local_time(self.now);
        let Some(fleet) = &mut process.fleet else {
            return false;
        };
        let mut actions = Vec::new();
        let Some(connection) = fleet.on_accepted(now, &mut actions) else {
            return false;
        };
        // The link must exist before the actions send anything over it.
        let accepting = LinkEnd {
            process: to,
            connection,
        };
        let ends = Sides {
            connecting,
            accepting,
        };
        self.network.add_link(link, ends);
        self.perform(to, actions);
        true
    }

    /// Delivers bytes to a side of a link.
    pub(super) fn on_bytes(&mut self, link: LinkNumber, side: Side, bytes: &[u8]) {
        if let Some(end) = self.network.current_end(link, side) {
            self.call_process(end.process, |fleet, now, actions| {
                fleet.on_received(now, end.connection, bytes, actions);
            });
        }
    }

    /// Notifies a side of a link that the connection is closed.
    pub(super) fn on_closed(&mut self, link: LinkNumber, side: Side) {
        if let Some(end) = self.network.current_end(link, side) {
            self.network.remove_end(end);
            self.call_process(end.process, |fleet, now, actions| {
                fleet.on_closed(now, end.connection, actions);
            });
        }
        self.network.remove_if_closed(link);
    }

    /// Closes a link for a process. The other side is notified, unless a partition prevents it.
    pub(super) fn close_link(&mut self, link: LinkNumber, process: ProcessIndex) {
        if let Some(side) = self.network.close(link, process) {
            let latency = self.latency();
            self.schedule(latency, Event::Closed { link, side });
        }
    }

    /// Sends bytes on a connection of a process.
    pub(super) fn send(&mut self, index: ProcessIndex, connection: ConnectionId, bytes: Vec<u8>) {
        let from = LinkEnd {
            process: index,
            connection,
        };
        let Some(link) = self.network.link_at(from) else {
            return;
        };
        let latency = self.latency();
        let sent = self.network.send(link, from, self.now, latency);
        if let Some((arrival, side)) = sent {
            self.schedule(arrival - self.now, Event::Bytes { link, side, bytes });
        }
    }

    /// Sends a datagram, which is lost in a partition or at random.
    pub(super) fn send_datagram(&mut self, from: ProcessIndex, to: ProcessIndex, bytes: Vec<u8>) {
        if !self.network.is_partitioned(from, to) && self.rng.rand_float() >= self.network.loss {
            let latency = self.latency();
            self.schedule(latency, Event::Datagram { to, bytes });
        }
    }
}
