//! Performs the actions that the two ends request.

use linenthread_core::interface::TenthMillis;
use linenthread_link::{ClientAction, ServerAction};

use super::event::Event;
use super::network::Direction;
use super::world::World;

impl World {
    /// Performs the client's actions and sets its timer.
    pub(super) fn perform_client_actions(&mut self, actions: Vec<ClientAction>) {
        for action in actions {
            match action {
                ClientAction::Connect => self.connect(),
                ClientAction::Close(reason) => self.close_connection(&reason),
                ClientAction::Send(frame) => self.schedule_write(frame),
                ClientAction::CallCompleted {
                    id, outcome, value, ..
                } => self.on_completed(id, outcome, &value),
                ClientAction::ProbeCompleted { .. }
                | ClientAction::Members(_)
                | ClientAction::Availability(_) => {}
            }
        }
        let timeout = self.client.next_timeout();
        if timeout < TenthMillis::MAX {
            self.schedule((timeout - self.now).max(1), Event::ClientTimeout);
        }
    }

    /// Performs the server's actions and sets its timer.
    pub(super) fn perform_server_actions(&mut self, actions: Vec<ServerAction>) {
        for action in actions {
            match action {
                ServerAction::Send { connection, frame } => {
                    self.transmit(connection, Direction::ToClient, &frame);
                }
                ServerAction::Close { connection, .. } => {
                    let after = self.draw_latency();
                    self.schedule(after, Event::ClientDisconnected(connection));
                }
                ServerAction::StartCall {
                    session,
                    number,
                    call,
                    ..
                } => self.run_call(session, number, &call),
                ServerAction::CancelCall { .. } | ServerAction::Probe { .. } => {}
            }
        }
        let timeout = self.server.next_timeout();
        if timeout < TenthMillis::MAX {
            self.schedule((timeout - self.now).max(1), Event::ServerTimeout);
        }
    }
}
