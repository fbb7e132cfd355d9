//! The handshake: the first frame received on a connection, and the reply to it.

use linenthread_core::interface::TenthMillis;
use linenthread_frames::{Nonce, SecretIndex};

use super::connection::Connection;
use super::{LinkServer, ServerAction, ServerCloseReason};
use crate::frame::{Frame, Hello, VERSION, Welcome};
use crate::id::{ConnectionId, SessionId};

impl LinkServer {
    /// Handles the first frame received on a connection. `Err` has the reason for which the connection is to be
    /// refused.
    pub(super) fn establish(
        &mut self,
        now: TenthMillis,
        connection: ConnectionId,
        nonce: &Nonce,
        frame: Frame,
        actions: &mut Vec<ServerAction>,
    ) -> Result<(), ServerCloseReason> {
        let Frame::Hello(hello) = frame else {
            return Err(ServerCloseReason::HelloExpected);
        };
        let secret = self.verify(&hello, nonce)?;
        let is_resumed = self
            .sessions
            .get(&hello.session)
            .is_some_and(|session| session.epoch == hello.epoch);
        if !is_resumed {
            self.begin_session(now, hello.session, actions)?;
        }
        let Some(session) = self.sessions.get_mut(&hello.session) else {
            return Ok(());
        };
        let superseded = session.attach(connection, hello.attempt);
        let mut welcome = session.welcome(is_resumed);
        welcome.prove(&self.secrets, secret, &hello.nonce);
        if let Some(superseded) = superseded {
            self.close_superseded(superseded, actions);
        }
        let established = Connection::Established {
            session: hello.session,
            last_received: now,
        };
        self.connections.insert(connection, established);
        self.send_session_state(connection, hello.session, welcome, actions);
        Ok(())
    }

    /// Returns the secret that the hello is proven with, or the reason to refuse it.
    fn verify(&self, hello: &Hello, nonce: &Nonce) -> Result<SecretIndex, ServerCloseReason> {
        if hello.version != VERSION {
            return Err(ServerCloseReason::UnsupportedVersion);
        }
        let secret = hello
            .proven_by(&self.secrets, nonce)
            .ok_or(ServerCloseReason::Unauthenticated)?;
        // A delayed hello would take the session away from a newer connection.
        let is_stale = self
            .sessions
            .get(&hello.session)
            .is_some_and(|session| hello.attempt <= session.hello_attempt);
        if is_stale {
            return Err(ServerCloseReason::StaleHello);
        }
        Ok(secret)
    }

    /// Closes a session's older connection. Frames that still arrive on it are ignored, so that the session's state as
    /// stated in the welcome remains correct.
    fn close_superseded(&mut self, superseded: ConnectionId, actions: &mut Vec<ServerAction>) {
        self.connections.remove(&superseded);
        actions.push(ServerAction::Close {
            connection: superseded,
            reason: ServerCloseReason::Superseded,
        });
    }

    /// Sends the session's state on a new connection: the welcome, the members, unacknowledged outcomes and the credit.
    fn send_session_state(
        &mut self,
        connection: ConnectionId,
        id: SessionId,
        welcome: Welcome,
        actions: &mut Vec<ServerAction>,
    ) {
        let mut frames = vec![
            Frame::Welcome(welcome),
            Frame::Members(self.membership.complete_update()),
        ];
        if let Some(session) = self.sessions.get(&id) {
            frames.extend(session.unacknowledged().map(Frame::Outcome));
        }
        if self.draining {
            frames.push(Frame::Goodbye);
        }
        let sends = frames
            .into_iter()
            .map(|frame| ServerAction::Send { connection, frame });
        actions.extend(sends);
        self.send_credit(id, actions);
    }
}
