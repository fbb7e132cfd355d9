//! The handshake. Before any other frame is accepted, each side proves that it knows the shared secret; each proof
//! covers a nonce of the other side.
//!
//! | connecting side | accepting side |
//! | --- | --- |
//! | | challenge: its versions, its name, a nonce |
//! | hello: its version, name and role, a nonce, and its proof | |
//! | | welcome: its proof |

use linenthread_frames::{Nonce, Proof};
use linenthread_store::Files;

use super::connection::{Peer, Phase};
use super::connections::{UNEXPECTED_FRAME, write};
use super::{Fleet, FleetAction};
use crate::event::ConnectionEvent;
use crate::frame::{Frame, Hello, Role, VERSION};
use crate::identifiers::ConnectionId;
use crate::node_identity::MAX_NAME_BYTES;
use crate::voter::{Stage, Voter};

// Reasons that are sent to the peer in [`Frame::Refuse`]; they are part of the wire format.
const UNAUTHENTICATED: &str = "it does not prove the secret";
const INVALID_NAME: &str = "it cannot have that name here";

/// The fields of [`Frame::Challenge`].
struct Challenge {
    min_version: u8,
    max_version: u8,
    nonce: Nonce,
    name: String,
}

impl Challenge {
    /// Returns the reason to refuse the peer, if its version is not supported or its name is not the expected one.
    fn refusal_reason(&self, expected_name: &str) -> Option<String> {
        let Challenge {
            min_version,
            max_version,
            name,
            ..
        } = self;
        if !(*min_version..=*max_version).contains(&VERSION) {
            return Some(format!(
                "it speaks versions {min_version} to {max_version}, this process {VERSION}"
            ));
        }
        (name != expected_name)
            .then(|| format!("{name} answers where {expected_name} was expected"))
    }
}

impl<F: Files> Fleet<F> {
    /// Handles a frame of a peer that is not authenticated yet.
    pub(super) fn on_handshake_frame(
        &mut self,
        id: ConnectionId,
        frame: Frame,
        actions: &mut Vec<FleetAction>,
    ) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        match (&connection.phase, frame) {
            (
                Phase::AwaitingChallenge { peer },
                Frame::Challenge {
                    min_version,
                    max_version,
                    nonce,
                    name,
                },
            ) => {
                let expected_name = peer.clone();
                let challenge = Challenge {
                    min_version,
                    max_version,
                    nonce,
                    name,
                };
                self.on_challenge(id, &expected_name, challenge, actions);
            }
            (Phase::AwaitingHello { nonce }, Frame::Hello(hello)) => {
                let nonce = *nonce;
                self.on_hello(id, &nonce, hello, actions);
            }
            (Phase::AwaitingWelcome { peer, nonce }, Frame::Welcome { proof }) => {
                let (peer, nonce) = (peer.clone(), *nonce);
                self.on_welcome(id, peer, &nonce, &proof, actions);
            }
            _ => self.refuse(id, UNEXPECTED_FRAME, actions),
        }
    }

    fn on_challenge(
        &mut self,
        id: ConnectionId,
        expected_name: &str,
        challenge: Challenge,
        actions: &mut Vec<FleetAction>,
    ) {
        if let Some(reason) = challenge.refusal_reason(expected_name) {
            return self.refuse(id, &reason, actions);
        }
        let nonce = self.draw_nonce();
        let mut hello = Hello {
            version: VERSION,
            name: self.local.clone(),
            role: self.role(),
            nonce,
            proof: Proof::default(),
        };
        hello.prove(&self.secrets, &challenge.nonce);
        write(id, &Frame::Hello(hello), actions);
        if let Some(connection) = self.connections.get_mut(&id) {
            let peer = challenge.name;
            connection.phase = Phase::AwaitingWelcome { peer, nonce };
        }
    }

    /// Returns the role in which this process connects. A voter whose disk has failed is a follower, so that it
    /// receives committed values.
    fn role(&self) -> Role {
        let is_running = |voter: &Voter<F>| !matches!(voter.stage(), Stage::Stopped(_));
        if self.voter.as_ref().is_some_and(is_running) {
            Role::Voter
        } else {
            Role::NonVoter
        }
    }

    fn on_hello(
        &mut self,
        id: ConnectionId,
        challenge: &Nonce,
        hello: Hello,
        actions: &mut Vec<FleetAction>,
    ) {
        let Some(secret) = hello.verify(&self.secrets, challenge) else {
            return self.refuse(id, UNAUTHENTICATED, actions);
        };
        if hello.version != VERSION {
            let reason = format!("version {} is not spoken here", hello.version);
            return self.refuse(id, &reason, actions);
        }
        if !self.may_connect(&hello) {
            return self.refuse(id, INVALID_NAME, actions);
        }
        let welcome = Frame::welcome_with_proof(&self.secrets, secret, &hello.nonce);
        write(id, &welcome, actions);
        let peer = Peer {
            name: hello.name,
            role: hello.role,
        };
        self.on_established(id, peer, actions);
    }

    /// Reports whether a peer may use the name and the role in its hello: only configured voters may connect as voters.
    fn may_connect(&self, hello: &Hello) -> bool {
        let name = &hello.name;
        let is_configured_voter = self.voters.iter().any(|voter| voter.name == *name);
        let has_valid_length = (1..=MAX_NAME_BYTES).contains(&name.len());
        let has_valid_role = hello.role == Role::NonVoter || is_configured_voter;
        *name != self.local && has_valid_length && has_valid_role
    }

    fn on_welcome(
        &mut self,
        id: ConnectionId,
        name: String,
        nonce: &Nonce,
        proof: &Proof,
        actions: &mut Vec<FleetAction>,
    ) {
        if Frame::verify_welcome(&self.secrets, nonce, proof) {
            // Only voters are dialled.
            let role = Role::Voter;
            self.on_established(id, Peer { name, role }, actions);
        } else {
            self.refuse(id, UNAUTHENTICATED, actions);
        }
    }

    /// Establishes the connection after both sides are authenticated.
    fn on_established(&mut self, id: ConnectionId, peer: Peer, actions: &mut Vec<FleetAction>) {
        let Peer { name, role } = peer.clone();
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = Phase::Established(peer);
        }
        self.replace_older_connection(id, &name, actions);
        let connected = ConnectionEvent::Connected { peer: name.clone() };
        actions.push(FleetAction::LogConnection(connected));
        match role {
            Role::NonVoter => self.send_all_values(id, actions),
            Role::Voter => self.on_voter_connected(&name, actions),
        }
    }

    /// Closes an older connection with the same peer, if there is one. There is one connection for each pair of
    /// processes; the peer has abandoned the older one.
    fn replace_older_connection(
        &mut self,
        id: ConnectionId,
        peer: &str,
        actions: &mut Vec<FleetAction>,
    ) {
        let older = self.established.insert(peer.to_owned(), id);
        let Some(older) = older.filter(|older| *older != id) else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(&older) {
            connection.phase = Phase::Closing;
        }
        actions.push(FleetAction::Close {
            connection: older,
            reason: "superseded by a newer connection".into(),
        });
    }

    pub(super) fn draw_nonce(&mut self) -> Nonce {
        let mut nonce = Nonce::default();
        let (first, second) = nonce.split_at_mut(size_of::<u64>());
        first.copy_from_slice(&self.rng.rand_u64().to_be_bytes());
        second.copy_from_slice(&self.rng.rand_u64().to_be_bytes());
        nonce
    }
}
