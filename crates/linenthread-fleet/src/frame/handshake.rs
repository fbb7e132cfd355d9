//! The frames with which both sides prove the shared secret.

use linenthread_frames::{
    Decoder, Encoder, Nonce, Proof, ProofDomain, SecretIndex, Secrets, without_proof,
};

use super::Frame;
use crate::error::RecordError;

/// Domains of the proofs of the side that connects and of the one that accepts. These bytes go into the proof.
const CONNECTING: ProofDomain = *b"linenthread dial";
const ACCEPTING: ProofDomain = *b"linenthread take";

/// What a process is in a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A voter: it may send progress, Raft's messages and committed values.
    Voter,
    /// Any other process: it is sent what is committed.
    Follower,
}

impl Role {
    fn is_voter(self) -> bool {
        self == Role::Voter
    }

    fn from_flag(is_voter: bool) -> Role {
        if is_voter {
            Role::Voter
        } else {
            Role::Follower
        }
    }
}

/// The first frame of the side that connects.
#[derive(Clone, Debug, PartialEq)]
pub struct Hello {
    /// The protocol version that it has chosen.
    pub version: u8,
    /// Its name.
    pub name: String,
    /// As what it connects.
    pub role: Role,
    /// What the welcome has to prove itself over.
    pub nonce: Nonce,
    /// Proves the shared secret.
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

    /// Sets the proof for a peer that has sent this nonce.
    pub(crate) fn prove(&mut self, secrets: &Secrets, nonce: &Nonce) {
        let transcript = without_proof(Frame::Hello(self.clone()).encode());
        self.proof = secrets.prove(SecretIndex::FIRST, CONNECTING, nonce, &transcript);
    }

    /// Which secret the proof was made with; `None` if it proves nothing.
    pub(crate) fn verify(&self, secrets: &Secrets, nonce: &Nonce) -> Option<SecretIndex> {
        let transcript = without_proof(Frame::Hello(self.clone()).encode());
        secrets.verify(CONNECTING, nonce, &transcript, &self.proof)
    }
}

impl Frame {
    /// A welcome, proven over the hello's nonce with the secret that the hello used.
    pub(crate) fn proven_welcome(secrets: &Secrets, secret: SecretIndex, nonce: &Nonce) -> Frame {
        let proof = secrets.prove(secret, ACCEPTING, nonce, &welcome_transcript());
        Frame::Welcome { proof }
    }

    /// Whether a welcome's proof was made with one of the secrets.
    pub(crate) fn verifies_welcome(secrets: &Secrets, nonce: &Nonce, proof: &Proof) -> bool {
        let secret = secrets.verify(ACCEPTING, nonce, &welcome_transcript(), proof);
        secret.is_some()
    }
}

/// A welcome proves itself over its own bytes, which are only its kind and length.
fn welcome_transcript() -> Vec<u8> {
    let proof = Proof::default();
    without_proof(Frame::Welcome { proof }.encode())
}
