//! Nonces for the handshake.

use linenthread_frames::Nonce;
use oorandom::Rand64;

/// Fills a nonce from the random number generator, with one drawn number per byte.
pub(crate) fn refresh(nonce: &mut Nonce, rng: &mut Rand64) {
    for byte in nonce {
        let [lowest, ..] = rng.rand_u64().to_le_bytes();
        *byte = lowest;
    }
}
