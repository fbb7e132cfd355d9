//! The records of a service.

/// Start of the FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Multiplier of the FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Records of each path.
const RECORDS: u8 = 8;

/// The records that a service has for a path, in no order.
pub fn records(service: &str, path: &str) -> Vec<u8> {
    let mut hash = FNV_OFFSET;
    let mut bytes = Vec::new();
    for number in 0..RECORDS {
        for byte in service.bytes().chain(path.bytes()).chain([number]) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
        bytes.extend_from_slice(&hash.to_be_bytes());
        bytes.extend_from_slice(&hash.swap_bytes().to_be_bytes());
    }
    bytes
}
