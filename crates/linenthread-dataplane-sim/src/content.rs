//! What replicas answer: a function of backend, path and attempt id alone, so that a response shows which request it
//! was made for.

use linenthread_http::RECORD_BYTES;

/// Paths with this prefix are sent to all backends of their route.
pub(crate) const MERGED_PREFIX: &str = "/all/";
/// Records that each backend has for a request.
const RECORDS: u64 = 6;

/// The body of a backend's response to a request.
pub(crate) fn response_body(backend: &str, path: &str, attempt_id: &str) -> Vec<u8> {
    if !path.starts_with(MERGED_PREFIX) {
        return format!("{backend}|{path}|{attempt_id}").into_bytes();
    }
    let records = (0..RECORDS).flat_map(|number| {
        [
            hash_words(&[backend, path, attempt_id], number),
            hash_words(&[attempt_id, path, backend], number),
        ]
    });
    let body: Vec<u8> = records.flat_map(u64::to_be_bytes).collect();
    debug_assert_eq!(body.len() % RECORD_BYTES, 0);
    body
}

/// A hash of words and a number that is the same on every machine (FNV-1a).
pub(crate) fn hash_words(words: &[&str], number: u64) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let bytes = words
        .iter()
        .flat_map(|word| word.bytes().chain([0]))
        .chain(number.to_be_bytes());
    bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
