//! Peers prove that they know a shared secret, each over what the other has just made up: a hello that was
//! heard before proves nothing.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

pub type Nonce = [u8; 16];
pub type Proof = [u8; 32];

/// A shorter secret could be guessed.
pub const SHORTEST: usize = 16;

/// The secrets between programs: the first is used, all are taken, so that two can be valid while one is changed.
#[derive(Clone, PartialEq)]
pub struct Secrets(Vec<Vec<u8>>);

impl std::fmt::Debug for Secrets {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{} secrets", self.0.len())
    }
}

/// Which side of which protocol proves: the proof of one is none for another. 16 bytes.
pub type Side = [u8; 16];

fn mac(secret: &[u8], side: Side, parts: &[&[u8]]) -> Option<Hmac<Sha256>> {
    let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(secret).ok()?;
    mac.update(&side);
    for part in parts {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    Some(mac)
}

impl Secrets {
    /// # Errors
    ///
    /// No secret, or one that is too short.
    pub fn new(secrets: Vec<Vec<u8>>) -> Result<Secrets, String> {
        match !secrets.is_empty() && secrets.iter().all(|s| s.len() >= SHORTEST) {
            true => Ok(Secrets(secrets)),
            false => Err(format!("a secret needs {SHORTEST} bytes or more")),
        }
    }

    /// Proves to the other side, which made up `nonce`, that what is said comes from one that knows the secret:
    /// the first, or the one by which the other side has proven itself.
    pub fn prove(&self, with: usize, side: Side, nonce: &[u8], said: &[u8]) -> Proof {
        let proof = self
            .0
            .get(with)
            .and_then(|secret| mac(secret, side, &[nonce, said]));
        proof
            .map(|mac| mac.finalize().into_bytes().into())
            .unwrap_or_default()
    }

    /// Which of the secrets proves what is said, if one does.
    pub fn proven_by(&self, side: Side, nonce: &[u8], said: &[u8], proof: &Proof) -> Option<usize> {
        let proves = |secret: &Vec<u8>| {
            mac(secret, side, &[nonce, said]).is_some_and(|m| m.verify_slice(proof).is_ok())
        };
        self.0.iter().position(proves)
    }
}
