//! The frames that establish a connection: challenge, hello, welcome.
//!
//! Each end proves that it knows a shared secret by an HMAC over the other's nonce and its own frame.

use linenthread_frames::{
    Decoder, Encoder, Nonce, Proof, ProofDomain, SecretIndex, Secrets, without_proof,
};

use super::{Frame, FrameError};
use crate::id::{CallNumber, SessionId};

/// Names the end that proves: the proof of one end is not valid for the other. These bytes go into the HMAC.
const CLIENT: ProofDomain = *b"linenthread near";
const SERVER: ProofDomain = *b"linenthread far ";

/// The secret with which a client proves itself: the first one that is configured.
const CLIENT_SECRET: SecretIndex = SecretIndex::FIRST;

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
    pub(super) fn encode(&self, encoder: &mut Encoder) {
        encoder.u8(self.min_version);
        encoder.u8(self.max_version);
        encoder.raw(self.nonce);
        encoder.text(&self.name);
    }

    pub(super) fn decode(decoder: &mut Decoder<'_>) -> Result<Challenge, FrameError> {
        Ok(Challenge {
            min_version: decoder.u8()?,
            max_version: decoder.u8()?,
            nonce: decoder.array()?,
            name: decoder.text()?,
        })
    }
}

impl Hello {
    pub(super) fn encode(&self, encoder: &mut Encoder) {
        encoder.u8(self.version);
        encoder.text(&self.name);
        encoder.raw(self.nonce);
        encoder.u64(self.session.0);
        encoder.u64(self.attempt);
        encoder.u64(self.epoch);
        encoder.raw(self.proof);
    }

    pub(super) fn decode(decoder: &mut Decoder<'_>) -> Result<Hello, FrameError> {
        Ok(Hello {
            version: decoder.u8()?,
            name: decoder.text()?,
            nonce: decoder.array()?,
            session: SessionId(decoder.u64()?),
            attempt: decoder.u64()?,
            epoch: decoder.u64()?,
            proof: decoder.array()?,
        })
    }

    /// Sets the proof for a server that has sent this nonce.
    pub(crate) fn prove(&mut self, secrets: &Secrets, server_nonce: &Nonce) {
        let transcript = transcript(&Frame::Hello(self.clone()));
        self.proof = secrets.prove(CLIENT_SECRET, CLIENT, server_nonce, &transcript);
    }

    /// Which of the secrets the proof was made with, if it was made with one of them.
    pub(crate) fn proven_by(&self, secrets: &Secrets, server_nonce: &Nonce) -> Option<SecretIndex> {
        let transcript = transcript(&Frame::Hello(self.clone()));
        secrets.verify(CLIENT, server_nonce, &transcript, &self.proof)
    }
}

impl Welcome {
    pub(super) fn encode(&self, encoder: &mut Encoder) {
        encoder.u64(self.epoch);
        encoder.flag(self.resumed);
        encoder.u64(self.last_call.0);
        encoder.u64(self.received_bytes);
        encoder.raw(self.proof);
    }

    pub(super) fn decode(decoder: &mut Decoder<'_>) -> Result<Welcome, FrameError> {
        Ok(Welcome {
            epoch: decoder.u64()?,
            resumed: decoder.flag()?,
            last_call: CallNumber(decoder.u64()?),
            received_bytes: decoder.u64()?,
            proof: decoder.array()?,
        })
    }

    /// Sets the proof for a client that has sent this nonce, with the secret that the client has used.
    pub(crate) fn prove(&mut self, secrets: &Secrets, secret: SecretIndex, client_nonce: &Nonce) {
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
    without_proof(frame.encode())
}
