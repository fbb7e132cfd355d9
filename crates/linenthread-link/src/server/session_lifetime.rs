//! The start of a session with a hello, and its end after the session time-out without a connection.

use linenthread_core::interface::TenthMillis;

use super::session::Session;
use super::{LinkServer, ServerAction, ServerCloseReason};
use crate::id::SessionId;

impl LinkServer {
    /// Begins a session; an older one with the same id is dropped.
    pub(super) fn begin_session(
        &mut self,
        now: TenthMillis,
        id: SessionId,
        actions: &mut Vec<ServerAction>,
    ) -> Result<(), ServerCloseReason> {
        self.drop_session(id, actions);
        if self.sessions.len() >= self.config.max_sessions {
            return Err(ServerCloseReason::TooManySessions);
        }
        // Clients send epoch 0 for a session that is not known to the server.
        let epoch = self.rng.rand_u64().max(1);
        self.sessions.insert(id, Session::new(epoch, now));
        Ok(())
    }

    /// Drops sessions that have had no connection for the session time-out.
    pub(super) fn drop_expired_sessions(
        &mut self,
        now: TenthMillis,
        actions: &mut Vec<ServerAction>,
    ) {
        let is_expired = |session: &Session| {
            let deadline = session.deadline(self.config.session_timeout);
            deadline.is_some_and(|deadline| now >= deadline)
        };
        let expired: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| is_expired(session))
            .map(|(id, _)| *id)
            .collect();
        for session in expired {
            self.drop_session(session, actions);
        }
    }

    /// Drops a session and its outcomes, cancels its running calls and closes its connection.
    fn drop_session(&mut self, id: SessionId, actions: &mut Vec<ServerAction>) {
        let Some(session) = self.sessions.remove(&id) else {
            return;
        };
        actions.extend(session.running().map(|number| ServerAction::CancelCall {
            session: id,
            number,
        }));
        if let Some(connection) = session.connection() {
            self.connections.remove(&connection);
            actions.push(ServerAction::Close {
                connection,
                reason: ServerCloseReason::SessionDropped,
            });
        }
    }
}
