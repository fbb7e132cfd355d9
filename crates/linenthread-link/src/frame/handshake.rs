//! The frames that establish a connection: challenge, hello, welcome.
//!
//! Each end proves that it knows a shared secret by an HMAC over the other's nonce and its own frame.

use linenthread_frames::{Decoder, Encoder, Nonce, Proof, ProofDomain, Secrets};

use super::Frame;
use crate::id::{CallNumber, SessionId};

/// Names the end that proves: the proof of one end is not valid for the other. These bytes go into the HMAC.
const CLIENT: ProofDomain = *b"linenthread near";
const SERVER: ProofDomain = *b"linenthread far ";

/// The secret with which a client proves itself: the first one that is configured.
const CLIENT_SECRET: usize = 0;

/// The first frame on a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Challenge {
    /// The lowest version that the server speaks.
    pub min_version: u8,
    /// The highest version that the server speaks.
    pub max_version: u8,
    /// What the hello is proven over.
    pub nonce: Nonce,
    /// The server's name.
    pub name: String,
}

/// The client's reply to the challenge.
#[derive(Clone, Debug, PartialEq)]
pub struct Hello {
    /// The version that the client has chosen.
    pub version: u8,
    /// The client's name.
    pub name: String,
    /// What the welcome is proven over.
    pub nonce: Nonce,
    /// The session that is to be resumed or begun.
    pub session: SessionId,
    /// How many hellos the client has sent, this one included.
    pub attempt: u64,
    /// The session's epoch as the client knows it; 0 for none.
    pub epoch: u64,
    /// Proves the knowledge of the secret.
    pub proof: Proof,
}

/// The server's reply to the hello.
#[derive(Clone, Debug, PartialEq)]
pub struct Welcome {
    /// The session's epoch, chosen by the server as the session began.
    pub epoch: u64,
    /// The session goes on; otherwise it is new to the server.
    pub resumed: bool,
    /// The last call of the session that the server has received.
    pub last_call: CallNumber,
    /// The bytes of all calls of the session that the server has received.
    pub received_bytes: u64,
    /// Proves the knowledge of the secret.
    pub proof: Proof,
}

impl Challenge {
    pub(super) fn encode(&self, put: &mut Encoder) {
        put.raw([self.min_version, self.max_version]);
        put.raw(self.nonce);
        put.text(&self.name);
    }

    pub(super) fn decode(take: &mut Decoder<'_>) -> Result<Challenge, String> {
        Ok(Challenge {
            min_version: take.u8()?,
            max_version: take.u8()?,
            nonce: take.array()?,
            name: take.text()?,
        })
    }
}

impl Hello {
    pub(super) fn encode(&self, put: &mut Encoder) {
        put.u8(self.version);
        put.text(&self.name);
        put.raw(self.nonce);
        put.u64(self.session.0);
        put.u64(self.attempt);
        put.u64(self.epoch);
        put.raw(self.proof);
    }

    pub(super) fn decode(take: &mut Decoder<'_>) -> Result<Hello, String> {
        Ok(Hello {
            version: take.u8()?,
            name: take.text()?,
            nonce: take.array()?,
            session: SessionId(take.u64()?),
            attempt: take.u64()?,
            epoch: take.u64()?,
            proof: take.array()?,
        })
    }

    /// Sets the proof for a server that has sent this nonce.
    pub(crate) fn prove(&mut self, secrets: &Secrets, server_nonce: &Nonce) {
        let transcript = transcript(&Frame::Hello(self.clone()));
        self.proof = secrets.prove(CLIENT_SECRET, CLIENT, server_nonce, &transcript);
    }

    /// Which of the secrets the proof was made with, if it was made with one of them.
    pub(crate) fn proven_by(&self, secrets: &Secrets, server_nonce: &Nonce) -> Option<usize> {
        let transcript = transcript(&Frame::Hello(self.clone()));
        secrets.verify(CLIENT, server_nonce, &transcript, &self.proof)
    }
}

impl Welcome {
    pub(super) fn encode(&self, put: &mut Encoder) {
        put.u64(self.epoch);
        put.u8(self.resumed.into());
        put.u64(self.last_call.0);
        put.u64(self.received_bytes);
        put.raw(self.proof);
    }

    pub(super) fn decode(take: &mut Decoder<'_>) -> Result<Welcome, String> {
        Ok(Welcome {
            epoch: take.u64()?,
            resumed: take.flag()?,
            last_call: CallNumber(take.u64()?),
            received_bytes: take.u64()?,
            proof: take.array()?,
        })
    }

    /// Sets the proof for a client that has sent this nonce, with the secret that the client has used.
    pub(crate) fn prove(&mut self, secrets: &Secrets, secret: usize, client_nonce: &Nonce) {
        let transcript = transcript(&Frame::Welcome(self.clone()));
        self.proof = secrets.prove(secret, SERVER, client_nonce, &transcript);
    }

    /// Whether the proof was made with one of the secrets.
    pub(crate) fn is_proven(&self, secrets: &Secrets, client_nonce: &Nonce) -> bool {
        let transcript = transcript(&Frame::Welcome(self.clone()));
        secrets
            .verify(SERVER, client_nonce, &transcript, &self.proof)
            .is_some()
    }
}

/// What a hello or a welcome is proven over: its encoding without the proof, which is its last field.
fn transcript(frame: &Frame) -> Vec<u8> {
    let mut bytes = frame.encode();
    bytes.truncate(bytes.len() - size_of::<Proof>());
    bytes
}
