//! The frames that establish a connection: challenge, hello, welcome.
//!
//! Each end proves that it knows a shared secret by an HMAC over the other end's nonce and its own frame.

use linenthread_frames::{
    Decoder, Encoder, Nonce, Proof, ProofDomain, SecretIndex, Secrets, without_proof,
};

use super::{Frame, FrameError};
use crate::id::{CallNumber, SessionId};

/// Domain separation: a proof made by one end is not valid for the other. These bytes are input to the HMAC.
const CLIENT: ProofDomain = *b"linenthread near";
const SERVER: ProofDomain = *b"linenthread far ";

/// The secret that a client makes its proof with: the first one configured.
const CLIENT_SECRET: SecretIndex = SecretIndex::FIRST;

/// The first frame on a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Challenge {
    /// The lowest version that the server supports.
    pub min_version: u8,
    /// The highest version that the server supports.
    pub max_version: u8,
    /// The nonce for the proof in the hello.
    pub nonce: Nonce,
    /// The server's name.
    pub name: String,
}

/// The client's reply to the challenge.
#[derive(Clone, Debug, PartialEq)]
pub struct Hello {
    /// The version chosen by the client.
    pub version: u8,
    /// The client's name.
    pub name: String,
    /// The nonce for the proof in the welcome.
    pub nonce: Nonce,
    /// The session to resume or to begin.
    pub session: SessionId,
    /// The number of hellos that the client has sent, including this one.
    pub attempt: u64,
    /// The session's epoch, or 0 if the client does not know it yet.
    pub epoch: u64,
    /// Proves that the sender knows the secret.
    pub proof: Proof,
}

/// The server's reply to the hello.
#[derive(Clone, Debug, PartialEq)]
pub struct Welcome {
    /// The session's epoch, chosen by the server when the session began.
    pub epoch: u64,
    /// Whether the session is resumed; otherwise it is new to the server.
    pub resumed: bool,
    /// The last call that the server has received in the session.
    pub last_call: CallNumber,
    /// The bytes of all calls that the server has received in the session.
    pub received_bytes: u64,
    /// Proves that the sender knows the secret.
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

    /// Sets the proof, for a server that sent this nonce.
    pub(crate) fn prove(&mut self, secrets: &Secrets, server_nonce: &Nonce) {
        let transcript = transcript(&Frame::Hello(self.clone()));
        self.proof = secrets.prove(CLIENT_SECRET, CLIENT, server_nonce, &transcript);
    }

    /// Returns the secret that the proof was made with; `None` if it was made with none of them.
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

    /// Sets the proof, for a client that sent this nonce, with the secret that the client used.
    pub(crate) fn prove(&mut self, secrets: &Secrets, secret: SecretIndex, client_nonce: &Nonce) {
        let transcript = transcript(&Frame::Welcome(self.clone()));
        self.proof = secrets.prove(secret, SERVER, client_nonce, &transcript);
    }

    /// Reports whether the proof was made with one of the secrets.
    pub(crate) fn is_proven(&self, secrets: &Secrets, client_nonce: &Nonce) -> bool {
        let transcript = transcript(&Frame::Welcome(self.clone()));
        secrets
            .verify(SERVER, client_nonce, &transcript, &self.proof)
            .is_some()
    }
}

/// Returns the bytes that the proof of a hello or a welcome covers: its encoding without the proof, its last field.
fn transcript(frame: &Frame) -> Vec<u8> {
    without_proof(frame.encode())
}
