//! The greatest records of all parts of an answer.

/// Bytes of a record.
pub const RECORD_BYTES: usize = 16;

/// Returns the greatest `top_k` records of the parts, greatest first.
///
/// Records are compared byte by byte; equal ones all count. A remainder that
/// is shorter than a record is none.
pub fn merge<'a>(parts: impl IntoIterator<Item = &'a [u8]>, top_k: usize) -> Vec<u8> {
    let mut records: Vec<u128> = Vec::new();
    for part in parts {
        let (whole, _remainder) = part.as_chunks::<RECORD_BYTES>();
        records.extend(whole.iter().map(|record| u128::from_be_bytes(*record)));
    }
    if top_k > 0 && records.len() > top_k {
        records.select_nth_unstable_by(top_k - 1, |a, b| b.cmp(a));
    }
    records.truncate(top_k);
    records.sort_unstable_by(|a, b| b.cmp(a));
    records
        .iter()
        .flat_map(|record| record.to_be_bytes())
        .collect()
}
