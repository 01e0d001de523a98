//! Merges the parts of an answer, one from each shard, into its greatest records. A part is a
//! sequence of records of one fixed size.

/// Size of a record in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the `top_k` greatest records of all parts in descending order.
///
/// Records are compared byte by byte, and equal records are all kept. A remainder that is shorter
/// than a record is ignored.
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
