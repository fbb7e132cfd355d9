//! The records with which stub replicas respond.

use linenthread_hash::Fnv1a64;

/// The number of records of each path.
const RECORD_COUNT: u8 = 8;

/// Returns the records of a service for a path: eight records of 16 bytes, unsorted.
pub fn records(service: &str, path: &str) -> Vec<u8> {
    let mut hash = Fnv1a64::default();
    let mut bytes = Vec::new();
    for number in 0..RECORD_COUNT {
        hash = hash
            .update(service.as_bytes())
            .update(path.as_bytes())
            .update(&[number]);
        bytes.extend_from_slice(&hash.value().to_be_bytes());
        bytes.extend_from_slice(&hash.value().swap_bytes().to_be_bytes());
    }
    bytes
}
