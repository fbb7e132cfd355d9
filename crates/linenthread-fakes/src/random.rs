//! Random numbers.

use oorandom::Rand64;

/// Returns a random index into a sequence of this length.
pub(crate) fn random_index(rng: &mut Rand64, length: usize) -> usize {
    let below = u64::try_from(length).expect("a length fits 64 bits");
    usize::try_from(rng.rand_range(0..below)).expect("an index is less than a length")
}
