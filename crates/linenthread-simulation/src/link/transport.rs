//! Opens and closes connections between the two ends, and carries their frames.

use linenthread_link::{ClientCloseReason, ConnectionId, Frame, ServerAction};

use super::event::Event;
use super::network::{Connection, Direction};
use super::world::World;

impl World {
    /// Requests a connection for the client. One in ten fails to open.
    pub(super) fn connect(&mut self) {
        // The sequence number of the event that opens it, which makes the id unique.
        let connection = ConnectionId(self.events.last_number() + 1);
        let after = 1 + self.draw_latency();
        let open = self.rng.rand_range(0..10) > 0;
        self.schedule(after, Event::Connected { connection, open });
        self.connections.current = Some(connection);
    }

    /// Opens a connection and notifies both ends.
    pub(super) fn open_connection(
        &mut self,
        connection: ConnectionId,
        actions: &mut Vec<ServerAction>,
    ) {
        self.connections
            .all
            .insert(connection, Connection::new(self.now));
        self.client.on_connected(self.now);
        self.server.on_accepted(self.now, connection, actions);
    }

    /// Closes the client's connection; the server is notified later.
    pub(super) fn close_connection(&mut self, reason: &ClientCloseReason) {
        let Some(id) = self.connections.current.take() else {
            return;
        };
        let connection = self.connections.all.get(&id);
        match connection.and_then(|connection| connection.silent_since) {
            Some(since) => self.detection_times.push(self.now - since),
            None if *reason == ClientCloseReason::IdleTimeout => self.false_alarms += 1,
            None => {}
        }
        let after = self.draw_latency();
        self.schedule(after, Event::ServerDisconnected(id));
    }

    /// Schedules the writing of a frame. The connection may be lost before the frame is written.
    pub(super) fn schedule_write(&mut self, frame: Frame) {
        let Some(id) = self.connections.current else {
            return;
        };
        let written = self.now + self.draw_below(3);
        let written_in_order = match self.connections.all.get_mut(&id) {
            Some(connection) => {
                let last = connection.last_arrival(Direction::ToServer);
                *last = written.max(*last);
                *last
            }
            None => self.now,
        };
        let event = Event::Written {
            connection: id,
            frame,
        };
        self.schedule(written_in_order - self.now, event);
    }

    /// Sends a frame, which arrives after all earlier frames in the same direction, and sometimes twice.
    pub(super) fn transmit(&mut self, id: ConnectionId, direction: Direction, frame: &Frame) {
        let latency = self.draw_latency();
        let Some(connection) = self.connections.all.get_mut(&id) else {
            return;
        };
        let last_arrival = connection.last_arrival(direction);
        let arrival = (self.now + latency).max(*last_arrival + 1);
        *last_arrival = arrival;
        let is_duplicated = self.rng.rand_float() < self.duplicate_probability;
        for _ in 0..1 + usize::from(is_duplicated) {
            let (connection, frame) = (id, frame.clone());
            let event = match direction {
                Direction::ToServer => Event::ArrivesAtServer { connection, frame },
                Direction::ToClient => Event::ArrivesAtClient { connection, frame },
            };
            self.schedule(arrival - self.now, event);
        }
    }
}
