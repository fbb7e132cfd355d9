//! Proofs that a peer knows a shared secret.
//!
//! Each peer makes its proof over a fresh nonce of the other, so that a recorded handshake cannot be replayed.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use snafu::{Snafu, ensure};

/// Random bytes that a program generates for its peer's proof.
pub type Nonce = [u8; 16];

/// An HMAC-SHA-256 over the domain, the nonce and the message.
pub type Proof = [u8; 32];

/// Identifies a protocol and a role in it, so that a proof made in one role is not valid for another.
pub type ProofDomain = [u8; 16];

/// The position of a secret among the configured ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SecretIndex(pub usize);

impl SecretIndex {
    /// The first secret, used for proofs unless the peer has already proven itself with another one.
    pub const FIRST: SecretIndex = SecretIndex(0);
}

/// The minimum length of a secret in bytes; a shorter one could be guessed.
pub const MIN_SECRET_LENGTH: usize = 16;

/// The error that there is no secret, or that one of them is too short.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("a secret needs {MIN_SECRET_LENGTH} bytes or more"))]
pub struct SecretError;

/// The secrets shared between programs. Proofs are made with the first, and all are accepted, so that a secret can be
/// replaced while both the old and the new one are valid.
#[derive(Clone, PartialEq)]
pub struct Secrets(Vec<Vec<u8>>);

impl std::fmt::Debug for Secrets {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{} secrets", self.0.len())
    }
}

impl Secrets {
    /// Takes one secret or more.
    ///
    /// # Errors
    /// Fails if there is none, or if one is shorter than [`MIN_SECRET_LENGTH`].
    pub fn new(secrets: Vec<Vec<u8>>) -> Result<Secrets, SecretError> {
        let is_long_enough = |secret: &Vec<u8>| secret.len() >= MIN_SECRET_LENGTH;
        ensure!(
            !secrets.is_empty() && secrets.iter().all(is_long_enough),
            SecretSnafu
        );
        Ok(Secrets(secrets))
    }

    /// Makes the proof that the sender of a message knows a secret. `secret` is the first one, or the one that the
    /// peer has used for its own proof, because the peer may not know the first one yet.
    pub fn prove(
        &self,
        secret: SecretIndex,
        domain: ProofDomain,
        nonce: &[u8],
        message: &[u8],
    ) -> Proof {
        let mac = self
            .0
            .get(secret.0)
            .and_then(|secret| mac(secret, domain, &[nonce, message]));
        mac.map(|mac| mac.finalize().into_bytes().into())
            .unwrap_or_default()
    }

    /// Returns the secret that a proof was made with; `None` if the proof is not valid.
    pub fn verify(
        &self,
        domain: ProofDomain,
        nonce: &[u8],
        message: &[u8],
        proof: &Proof,
    ) -> Option<SecretIndex> {
        let proves = |secret: &Vec<u8>| {
            mac(secret, domain, &[nonce, message])
                .is_some_and(|mac| mac.verify_slice(proof).is_ok())
        };
        self.0.iter().position(proves).map(SecretIndex)
    }
}

/// Computes the HMAC. Each part is preceded by its length, so that parts divided differently have different HMACs.
fn mac(secret: &[u8], domain: ProofDomain, parts: &[&[u8]]) -> Option<Hmac<Sha256>> {
    let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(secret).ok()?;
    mac.update(&domain);
    for part in parts {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    Some(mac)
}

/// Removes the proof from the end of a frame; the rest is what the proof covers.
pub fn without_proof(mut frame: Vec<u8>) -> Vec<u8> {
    frame.truncate(frame.len().saturating_sub(size_of::<Proof>()));
    frame
}
