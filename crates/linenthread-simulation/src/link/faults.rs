//! Injects faults: disconnects, silent loss, and restarts of the server.

use linenthread_link::ConnectionId;

use super::ends::new_server;
use super::event::Event;
use super::fault::{FAULT_KINDS, Fault};
use super::world::World;
use super::{FAULT_DURATION, MILLISECOND, START};

impl World {
    /// Injects a random fault and schedules the next one. After [`FAULT_DURATION`], stops slow and duplicate frames
    /// instead.
    pub(super) fn inject_fault(&mut self) {
        if self.now > START + FAULT_DURATION {
            (self.slow_probability, self.duplicate_probability) = (0.0, 0.0);
            return;
        }
        let after = 20 * MILLISECOND + self.draw_below(700 * MILLISECOND);
        self.schedule(after, Event::Fault);
        let fault = Fault::from_draw(self.draw_below(FAULT_KINDS));
        let client_notified = self.draw_below(50 * MILLISECOND);
        let server_notified = self.draw_below(50 * MILLISECOND);
        match fault {
            Fault::Disconnect => {
                if let Some((id, connection)) = self.connections.current_mut() {
                    connection.disconnect();
                    self.schedule(client_notified, Event::ClientDisconnected(id));
                    self.schedule(server_notified, Event::ServerDisconnected(id));
                }
            }
            Fault::SilentLoss {
                to_server,
                to_client,
            } => {
                let now = self.now;
                if let Some((_, connection)) = self.connections.current_mut() {
                    connection.to_server &= !to_server;
                    connection.to_client &= !to_client;
                    connection.silent_since.get_or_insert(now);
                }
            }
            Fault::Restart => self.restart_server(),
            Fault::None => {}
        }
    }

    /// Restarts the server. Its state and all connections are lost.
    fn restart_server(&mut self) {
        self.server_seed = self.server_seed.wrapping_add(1);
        self.server = new_server(self.server_seed);
        self.server_incarnation += 1;
        let open: Vec<ConnectionId> = self.connections.all.keys().copied().collect();
        for id in open {
            if let Some(connection) = self.connections.all.get_mut(&id) {
                connection.disconnect();
            }
            let after = self.draw_below(30 * MILLISECOND);
            self.schedule(after, Event::ClientDisconnected(id));
        }
    }
}
