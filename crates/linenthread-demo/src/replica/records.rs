//! The records of a service.

use linenthread_hash::Fnv1a64;

/// Records of each path.
const RECORDS: u8 = 8;

/// The records that a service has for a path, in no order.
pub fn records(service: &str, path: &str) -> Vec<u8> {
    let mut hash = Fnv1a64::default();
    let mut bytes = Vec::new();
    for number in 0..RECORDS {
        hash = hash
            .update(service.as_bytes())
            .update(path.as_bytes())
            .update(&[number]);
        bytes.extend_from_slice(&hash.value().to_be_bytes());
        bytes.extend_from_slice(&hash.value().swap_bytes().to_be_bytes());
    }
    bytes
}
