//! The handshake: challenge, hello, welcome.

use linenthread_core::interface::TenthMillis;

use super::availability::Availability;
use super::connection::Connection;
use super::{ClientAction, ClientCloseReason, LinkClient};
use crate::frame::{Challenge, Frame, Hello, VERSION, Welcome};
use crate::nonce;

impl LinkClient {
    /// Replies to the challenge with a hello, which proves that this client knows the secret.
    pub(super) fn on_challenge(
        &mut self,
        now: TenthMillis,
        challenge: &Challenge,
        actions: &mut Vec<ClientAction>,
    ) {
        let &Challenge {
            min_version,
            max_version,
            ..
        } = challenge;
        if !(min_version..=max_version).contains(&VERSION) {
            let reason = ClientCloseReason::UnsupportedVersion {
                min_version,
                max_version,
            };
            return self.close(now, reason, actions);
        }
        nonce::refresh(&mut self.nonce, &mut self.rng);
        self.hello_attempts += 1;
        let mut hello = Hello {
            version: VERSION,
            name: self.config.name.clone(),
            nonce: self.nonce,
            session: self.session.id,
            attempt: self.hello_attempts,
            epoch: self.session.epoch,
            proof: [0; 32],
        };
        hello.prove(&self.secrets, &challenge.nonce);
        actions.push(ClientAction::Send(Frame::Hello(hello)));
    }

    /// Handles the server's welcome: establishes the connection, which was opened at `connected_at`.
    pub(super) fn on_welcome(
        &mut self,
        now: TenthMillis,
        connected_at: TenthMillis,
        welcome: &Welcome,
        actions: &mut Vec<ClientAction>,
    ) {
        if !welcome.is_proven(&self.secrets, &self.nonce) {
            return self.close(now, ClientCloseReason::Unauthenticated, actions);
        }
        let is_resumed = self.is_resumed_by(welcome);
        if !is_resumed {
            // The server has restarted or dropped the session: whether written calls ran cannot be determined.
            self.end_session(actions);
        }
        self.session.on_welcome(welcome.epoch);
        self.connection = Connection::Established {
            since: now,
            server_draining: false,
        };
        self.heartbeat.on_established(now, now - connected_at);
        if is_resumed {
            self.resume_session(welcome, actions);
        }
        self.set_availability(Availability::Up, actions);
        self.send_queued(now, actions);
    }
}
