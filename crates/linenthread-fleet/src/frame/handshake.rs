//! Handshake frames, with which both sides of a connection prove that they know the shared secret.

use linenthread_frames::{
    Decoder, Encoder, Nonce, Proof, ProofDomain, SecretIndex, Secrets, without_proof,
};

use super::Frame;
use crate::error::RecordError;

/// Proof domains of the connecting and the accepting side. The proofs cover these bytes.
const CONNECTING: ProofDomain = *b"linenthread dial";
const ACCEPTING: ProofDomain = *b"linenthread take";

/// The role of a process in a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A voter, which may send progress, Raft messages and committed values.
    Voter,
    /// Any other process, which receives committed values.
    NonVoter,
}

impl Role {
    fn is_voter(self) -> bool {
        self == Role::Voter
    }

    fn from_flag(is_voter: bool) -> Role {
        if is_voter {
            Role::Voter
        } else {
            Role::NonVoter
        }
    }
}

/// The first frame of the connecting side.
#[derive(Clone, Debug, PartialEq)]
pub struct Hello {
    /// The protocol version that it uses.
    pub version: u8,
    /// Its name.
    pub name: String,
    /// Its role.
    pub role: Role,
    /// The nonce that the welcome's proof must cover.
    pub nonce: Nonce,
    /// Proves knowledge of the shared secret.
    pub proof: Proof,
}

impl Hello {
    pub(super) fn encode(&self, encoder: &mut Encoder) {
        encoder.u8(self.version);
        encoder.text(&self.name);
        encoder.flag(self.role.is_voter());
        encoder.raw(self.nonce);
        encoder.raw(self.proof);
    }

    pub(super) fn decode(decoder: &mut Decoder) -> Result<Hello, RecordError> {
        Ok(Hello {
            version: decoder.u8()?,
            name: decoder.text()?,
            role: Role::from_flag(decoder.flag()?),
            nonce: decoder.array()?,
            proof: decoder.array()?,
        })
    }

    /// Computes the proof over the hello and the nonce in the peer's challenge.
    pub(crate) fn prove(&mut self, secrets: &Secrets, nonce: &Nonce) {
        let transcript = without_proof(Frame::Hello(self.clone()).encode());
        self.proof = secrets.prove(SecretIndex::FIRST, CONNECTING, nonce, &transcript);
    }

    /// Returns which secret the proof was made with; `None` if it is invalid.
    pub(crate) fn verify(&self, secrets: &Secrets, nonce: &Nonce) -> Option<SecretIndex> {
        let transcript = without_proof(Frame::Hello(self.clone()).encode());
        secrets.verify(CONNECTING, nonce, &transcript, &self.proof)
    }
}

impl Frame {
    /// Creates a welcome whose proof covers the hello's nonce and is made with the secret that the hello used.
    pub(crate) fn welcome_with_proof(
        secrets: &Secrets,
        secret: SecretIndex,
        nonce: &Nonce,
    ) -> Frame {
        let proof = secrets.prove(secret, ACCEPTING, nonce, &welcome_transcript());
        Frame::Welcome { proof }
    }

    /// Reports whether a welcome's proof was made with one of the secrets.
    pub(crate) fn verify_welcome(secrets: &Secrets, nonce: &Nonce, proof: &Proof) -> bool {
        let secret = secrets.verify(ACCEPTING, nonce, &welcome_transcript(), proof);
        secret.is_some()
    }
}

/// Returns the bytes of a welcome that its proof covers: only its length and kind.
fn welcome_transcript() -> Vec<u8> {
    let proof = Proof::default();
    without_proof(Frame::Welcome { proof }.encode())
}
