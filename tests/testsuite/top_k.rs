//! Compares the greatest records of all parts with the result of sorting all records.

use geraniummount::core::top_k::{RECORD_BYTES, merge};
use proptest::prelude::*;

use crate::seeded;

/// Records of a part and an incomplete one. The records have few distinct values, which makes equal
/// ones common.
fn part() -> impl Strategy<Value = Vec<u8>> {
    let record = prop::collection::vec(0_u8..3, RECORD_BYTES);
    let records = prop::collection::vec(record, 0..30);
    (records, prop::collection::vec(any::<u8>(), 0..RECORD_BYTES))
        .prop_map(|(records, rest)| [records.concat(), rest].concat())
}

proptest! {
    #![proptest_config(seeded::config(300))]

    #[test]
    fn top_k_equals_the_greatest_of_all_sorted_records(
        parts in prop::collection::vec(part(), 0..12),
        top_k in 0_usize..60,
    ) {
        let mut records: Vec<&[u8]> = Vec::new();
        for part in &parts {
            records.extend(part.chunks_exact(RECORD_BYTES));
        }
        records.sort_unstable_by(|a, b| b.cmp(a));
        records.truncate(top_k);
        let merged = merge(parts.iter().map(Vec::as_slice), top_k);
        prop_assert_eq!(merged, records.concat());
    }
}
