use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// 128 bits that stand for something: two hashes of 64 bits, one of them begun otherwise.
pub(crate) fn fingerprint(of: &impl Hash) -> u128 {
    let mut hasher = TwoHashers(DefaultHasher::new(), DefaultHasher::new());
    hasher.1.write_u8(1);
    of.hash(&mut hasher);
    u128::from(hasher.0.finish()) << 64 | u128::from(hasher.1.finish())
}

struct TwoHashers(DefaultHasher, DefaultHasher);

impl Hasher for TwoHashers {
    fn finish(&self) -> u64 {
        self.0.finish()
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0.write(bytes);
        self.1.write(bytes);
    }
}
