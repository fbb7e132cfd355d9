//! Connections between processes, and the bytes and datagrams on their way.

use linenthread_core::interface::TenthMillis;

use linenthread_fleet::ConnectionId;

use super::SECOND;
use super::event::{Event, LinkNumber, ProcessIndex, Side};
use super::world::World;

/// How long a connection attempt into a partition takes.
const CONNECT_TIMEOUT: TenthMillis = 10 * SECOND;
/// How long a connection attempt takes that is refused.
const REFUSE_LATENCY: TenthMillis = 10;

impl World {
    /// A connection attempt arrives: it is accepted, refused, or lost in a partition.
    pub(super) fn on_connect(
        &mut self,
        from: ProcessIndex,
        connection: ConnectionId,
        to: ProcessIndex,
    ) {
        let is_partitioned =
            self.network.is_partitioned(from, to) || self.network.is_partitioned(to, from);
        let both_run = self.processes[from].fleet.is_some() && self.processes[to].fleet.is_some();
        if both_run && !is_partitioned && self.accept((from, connection), to) {
            return;
        }
        let wait = if is_partitioned {
            CONNECT_TIMEOUT
        } else {
            REFUSE_LATENCY
        };
        let link = self.next_number();
        self.network
            .add_refused(link, [(from, connection), (to, ConnectionId(0))]);
        self.schedule(wait, Event::Closed { link, side: 0 });
    }

    /// Whether a process accepts a connection.
    fn accept(&mut self, from: (ProcessIndex, ConnectionId), to: ProcessIndex) -> bool {
        let link = self.next_number();
        let process = &mut self.processes[to];
        let now = process.local_time(self.now);
        let Some(fleet) = &mut process.fleet else {
            return false;
        };
        let mut actions = Vec::new();
        let Some(connection) = fleet.on_accepted(now, &mut actions) else {
            return false;
        };
        // The link is there before anything is sent over it.
        self.network.add_link(link, [from, (to, connection)]);
        self.perform(to, actions);
        true
    }

    /// Bytes arrive at a side of a link.
    pub(super) fn on_bytes(&mut self, link: LinkNumber, side: Side, bytes: &[u8]) {
        if let Some((at, connection)) = self.network.current_end(link, side) {
            self.call(at, |fleet, now, actions| {
                fleet.on_received(now, connection, bytes, actions);
            });
        }
    }

    /// A side of a link learns that the other has closed it.
    pub(super) fn on_closed(&mut self, link: LinkNumber, side: Side) {
        if let Some((at, connection)) = self.network.current_end(link, side) {
            self.network.forget((at, connection));
            self.call(at, |fleet, now, actions| {
                fleet.on_closed(now, connection, actions);
            });
        }
        self.network.remove_if_over(link);
    }

    /// A process closes a link; the other side learns of it, if anything reaches it.
    pub(super) fn close_link(&mut self, link: LinkNumber, process: ProcessIndex) {
        if let Some(side) = self.network.close(link, process) {
            let latency = self.latency();
            self.schedule(latency, Event::Closed { link, side });
        }
    }

    /// A process sends bytes on a connection.
    pub(super) fn send(&mut self, at: ProcessIndex, connection: ConnectionId, bytes: Vec<u8>) {
        let Some(link) = self.network.link_at((at, connection)) else {
            return;
        };
        let latency = self.latency();
        let sent = self.network.send(link, (at, connection), self.now, latency);
        if let Some((arrival, side)) = sent {
            self.schedule(arrival - self.now, Event::Bytes { link, side, bytes });
        }
    }

    pub(super) fn send_datagram(&mut self, from: ProcessIndex, to: ProcessIndex, bytes: Vec<u8>) {
        if !self.network.is_partitioned(from, to) && self.rng.rand_float() >= self.network.loss {
            let latency = self.latency();
            self.schedule(latency, Event::Datagram { to, bytes });
        }
    }
}
