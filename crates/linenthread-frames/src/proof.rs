//! Proofs that a peer knows a shared secret.
//!
//! Each side proves it over a nonce that the other has just made up, so that a recorded handshake proves nothing.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use snafu::{Snafu, ensure};

/// Random bytes that a side makes up for its peer's proof.
pub type Nonce = [u8; 16];

/// An HMAC-SHA-256 over the domain, the nonce and the message.
pub type Proof = [u8; 32];

/// Names a protocol and the role in it, so that a proof of one role is none for another.
pub type ProofDomain = [u8; 16];

/// Which of the configured secrets is meant, by its position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SecretIndex(pub usize);

impl SecretIndex {
    /// The first, which proves what is not an answer to a peer that has proven itself with another one.
    pub const FIRST: SecretIndex = SecretIndex(0);
}

/// The shortest secret in bytes: a shorter one could be guessed.
pub const MIN_SECRET_LENGTH: usize = 16;

/// There is no secret, or one of them is too short.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("a secret needs {MIN_SECRET_LENGTH} bytes or more"))]
pub struct SecretError;

/// The secrets between programs. The first is used for proofs, all are accepted, so that two are valid while one is
/// replaced.
#[derive(Clone, PartialEq)]
pub struct Secrets(Vec<Vec<u8>>);

impl std::fmt::Debug for Secrets {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{} secrets", self.0.len())
    }
}

impl Secrets {
    /// From one secret or more.
    ///
    /// # Errors
    /// There is none, or one is shorter than [`MIN_SECRET_LENGTH`].
    pub fn new(secrets: Vec<Vec<u8>>) -> Result<Secrets, SecretError> {
        let is_long = |secret: &Vec<u8>| secret.len() >= MIN_SECRET_LENGTH;
        ensure!(
            !secrets.is_empty() && secrets.iter().all(is_long),
            SecretSnafu
        );
        Ok(Secrets(secrets))
    }

    /// Proves that a message comes from one that knows the secret: the first, or the one by which the peer has proven
    /// itself, which may not know the other one yet.
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

    /// Which secret proves a message, if one does.
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

/// Each part is preceded by its length, so that bytes cannot move from one to the next.
fn mac(secret: &[u8], domain: ProofDomain, parts: &[&[u8]]) -> Option<Hmac<Sha256>> {
    let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(secret).ok()?;
    mac.update(&domain);
    for part in parts {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    Some(mac)
}

/// What the proof at the end of a frame covers: the frame without it.
pub fn without_proof(mut frame: Vec<u8>) -> Vec<u8> {
    frame.truncate(frame.len().saturating_sub(size_of::<Proof>()));
    frame
}
