/// A record's length in bytes.
pub const RECORD: usize = 16;

/// The greatest records of all parts, falling; equal ones all count, a rest shorter than a record is none.
pub fn greatest<'a>(parts: impl Iterator<Item = &'a [u8]>, most: usize) -> Vec<u8> {
    let whole = |part: &'a [u8]| part.chunks_exact(RECORD);
    let key = |record: &[u8]| {
        u128::from_be_bytes(record.try_into().expect("chunks of a record's length"))
    };
    let mut records: Vec<u128> = parts.flat_map(whole).map(key).collect();
    if most < records.len() && most > 0 {
        records.select_nth_unstable_by(most - 1, |a, b| b.cmp(a));
    }
    records.truncate(most);
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.iter().flat_map(|r| r.to_be_bytes()).collect()
}
