//! Merging of bodies that consist of records.

/// Length of a record in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the `limit` greatest records of all bodies, in descending order.
///
/// Records are compared as big-endian numbers. Equal records are all retained; a body's remainder that is shorter than
/// a record is ignored.
pub fn merge_top_records<'a>(bodies: impl Iterator<Item = &'a [u8]>, limit: usize) -> Vec<u8> {
    let mut records: Vec<u128> = bodies
        .flat_map(|body| body.as_chunks::<RECORD_BYTES>().0)
        .map(|record| u128::from_be_bytes(*record))
        .collect();
    if limit < records.len() && limit > 0 {
        records.select_nth_unstable_by(limit - 1, |a, b| b.cmp(a));
    }
    records.truncate(limit);
    records.sort_unstable_by(|a, b| b.cmp(a));
    records
        .iter()
        .flat_map(|record| record.to_be_bytes())
        .collect()
}
