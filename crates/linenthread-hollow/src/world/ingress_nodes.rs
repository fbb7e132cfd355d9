//! Ingress nodes: they join, and send heartbeats.

use std::time::Duration;

use linenthread_control::SessionId;

use super::state::{End, Event, JoinState, World};
use crate::control::Input;
use crate::ingress::Session;

/// How often an ingress node sends a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

impl World {
    /// An ingress node opens a session with its control node, instead of the one that it has.
    pub(super) fn join(&mut self, index: usize, state: JoinState) {
        if let Some(session) = self.ingress[index].session.take() {
            self.close_session(session.id, End::Ingress(index));
        }
        let control = self.control_of_ingress(index);
        if self.control[control].process.is_none() {
            return;
        }
        let session = self.open_session([End::Ingress(index), End::Control(control)]);
        let ingress = &mut self.ingress[index];
        ingress.session = Some(Session {
            id: session,
            control,
        });
        let frame = match state {
            JoinState::Nothing => ingress.hello(None, 0),
            JoinState::UpToDate => {
                ingress.revision = ingress.revision.max(1);
                ingress.hello(self.control[control].position, ingress.revision)
            }
        };
        let at = self.now + ingress.zone.latency_to(self.control[control].zone);
        self.push_input(at, control, Input::Opened(session));
        self.push_input(at, control, Input::Frame { session, frame });
        let heartbeat = Event::IngressHeartbeat {
            ingress: index,
            session,
        };
        self.events.push(self.now, heartbeat);
    }

    /// Sends a heartbeat over this session, and schedules the next one.
    pub(super) fn send_ingress_heartbeat(&mut self, index: usize, session: SessionId) {
        let ingress = &mut self.ingress[index];
        let Some(current) = ingress.session.filter(|current| current.id == session) else {
            return;
        };
        let control = current.control;
        let frame = ingress.heartbeat();
        let at = self.now + ingress.zone.latency_to(self.control[control].zone);
        self.push_input(at, control, Input::Frame { session, frame });
        let heartbeat = Event::IngressHeartbeat {
            ingress: index,
            session,
        };
        self.events.push(self.now + HEARTBEAT_INTERVAL, heartbeat);
    }
}
