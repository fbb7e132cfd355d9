//! Response bodies of replicas. A body depends only on the backend, the path and the attempt id, so it shows which
//! request it belongs to.

use linenthread_hash::Fnv1a64;
use linenthread_http::RECORD_BYTES;

/// Prefix of paths whose requests are sent to all backends of their route.
pub(crate) const MERGED_PREFIX: &str = "/all/";
/// Prefix of paths whose requests need no key.
pub(crate) const PUBLIC_PREFIX: &str = "/open/";
/// Number of records that each backend returns for a merged request.
const RECORDS_PER_BACKEND: u64 = 6;

/// Returns the body of a backend's response to a request.
pub(crate) fn response_body(backend: &str, path: &str, request_id: &str) -> Vec<u8> {
    if !path.starts_with(MERGED_PREFIX) {
        return format!("{backend}|{path}|{request_id}").into_bytes();
    }
    let records = (0..RECORDS_PER_BACKEND).flat_map(|number| {
        [
            hash_words(&[backend, path, request_id], number),
            hash_words(&[request_id, path, backend], number),
        ]
    });
    let body: Vec<u8> = records.flat_map(u64::to_be_bytes).collect();
    debug_assert_eq!(body.len() % RECORD_BYTES, 0);
    body
}

/// Hashes strings and a number. The result is the same on every machine.
pub(crate) fn hash_words(words: &[&str], number: u64) -> u64 {
    let hash = words.iter().fold(Fnv1a64::default(), |hash, word| {
        // The zero byte separates the strings, so that different lists with the same concatenation differ in their
        // hash.
        hash.update(word.as_bytes()).update(&[0])
    });
    hash.update(&number.to_be_bytes()).value()
}
