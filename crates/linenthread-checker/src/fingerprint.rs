//! Fingerprints, which represent states in the set of visited states.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// A 128-bit hash. With a million states, the probability that two different ones share a fingerprint is about 10^-27.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Computes the fingerprint of a value.
    pub fn of(value: &impl Hash) -> Fingerprint {
        let mut hasher = PairHasher::new();
        value.hash(&mut hasher);
        let PairHasher(high, low) = hasher;
        Fingerprint(u128::from(high.finish()) << 64 | u128::from(low.finish()))
    }
}

/// Two 64-bit hashers with different initial states.
struct PairHasher(DefaultHasher, DefaultHasher);

impl PairHasher {
    fn new() -> PairHasher {
        let mut second = DefaultHasher::new();
        second.write_u8(1);
        PairHasher(DefaultHasher::new(), second)
    }
}

impl Hasher for PairHasher {
    fn finish(&self) -> u64 {
        self.0.finish()
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0.write(bytes);
        self.1.write(bytes);
    }
}

/// A value with its fingerprint, which is computed once for all states that share the value.
#[derive(Clone, Debug)]
pub(crate) struct Fingerprinted<T> {
    value: T,
    fingerprint: Fingerprint,
}

impl<T: Hash> Fingerprinted<T> {
    pub(crate) fn new(value: T) -> Fingerprinted<T> {
        let fingerprint = Fingerprint::of(&value);
        Fingerprinted { value, fingerprint }
    }

    pub(crate) fn get(&self) -> &T {
        &self.value
    }

    /// Returns the value to change. Once all changes are made, [`Fingerprinted::refresh`] must be called.
    pub(crate) fn get_mut(&mut self) -> &mut T {
        &mut self.value
    }

    /// Recomputes the fingerprint after changes through [`Fingerprinted::get_mut`].
    pub(crate) fn refresh(&mut self) {
        self.fingerprint = Fingerprint::of(&self.value);
    }
}

impl<T> Hash for Fingerprinted<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.fingerprint.hash(state);
    }
}
