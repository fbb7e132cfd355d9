//! A schedule from start to end, event by event.

use linenthread_link::Frame;

use super::event::Event;
use super::invariant::Violation;
use super::network::Direction;
use super::statistics::Statistics;
use super::world::World;
use super::{CALL_PERIOD, MILLISECOND, SCHEDULE_DURATION, START};

impl World {
    /// Runs the schedule to its end or its first violation, which is returned.
    pub(super) fn run(mut self, statistics: &mut Statistics) -> Option<Violation> {
        self.schedule(0, Event::ClientTimeout);
        self.schedule(0, Event::ServerTimeout);
        self.schedule(0, Event::MakeCall);
        self.schedule(200 * MILLISECOND, Event::Fault);
        while self.violation.is_none()
            && let Some((at, event)) = self.events.pop_by(START + SCHEDULE_DURATION)
        {
            self.now = at;
            self.handle(event);
        }
        statistics.false_alarms += self.false_alarms;
        statistics.detection_times.append(&mut self.detection_times);
        self.check_calls(statistics);
        self.violation
    }

    /// Handles an event, performs the resulting actions of the two ends, and checks the limits.
    fn handle(&mut self, event: Event) {
        let now = self.now;
        let (mut client_actions, mut server_actions) = (Vec::new(), Vec::new());
        match event {
            Event::ClientTimeout if self.client.next_timeout() > now => return,
            Event::ServerTimeout if self.server.next_timeout() > now => return,
            Event::ClientTimeout => self.client.on_timeout(now, &mut client_actions),
            Event::ServerTimeout => self.server.on_timeout(now, &mut server_actions),
            Event::Connected { connection, open } if self.connections.is_current(connection) => {
                if open {
                    self.open_connection(connection, &mut server_actions);
                } else {
                    self.connections.current = None;
                    self.client.on_disconnected(now, &mut client_actions);
                }
            }
            // Frames that have not been written when the client loses its connection are never written.
            Event::Written { connection, frame } if self.connections.is_current(connection) => {
                if let Frame::Call(request) = &frame {
                    self.client.on_call_written(request.number);
                }
                self.transmit(connection, Direction::ToServer, &frame);
            }
            Event::ArrivesAtServer { connection, frame }
                if self.connections.reaches_server(connection) =>
            {
                self.server
                    .on_frame(now, connection, frame, &mut server_actions);
            }
            Event::ArrivesAtClient { connection, frame }
                if self.connections.is_current(connection)
                    && self.connections.reaches_client(connection) =>
            {
                self.client.on_frame(now, frame, &mut client_actions);
            }
            Event::ClientDisconnected(connection) if self.connections.is_current(connection) => {
                self.connections.current = None;
                self.client.on_disconnected(now, &mut client_actions);
            }
            // Frames that were sent before the connection was closed arrive before the server is notified.
            Event::ServerDisconnected(connection) => self.server.on_disconnected(now, connection),
            Event::CallRan {
                incarnation,
                session,
                outcome,
            } if incarnation == self.server_incarnation => {
                self.server
                    .on_call_completed(session, outcome, &mut server_actions);
            }
            Event::MakeCall if now < START + CALL_PERIOD => self.make_call(&mut client_actions),
            Event::Deadline(id) => self.withdraw_call(id, &mut client_actions),
            Event::Fault => self.inject_fault(),
            _ => {}
        }
        self.perform_client_actions(client_actions);
        self.perform_server_actions(server_actions);
        self.check_limits();
    }
}
