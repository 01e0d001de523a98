//! Reads JSON lists whose entries come from several writers.

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

/// Reads the entries of a list one by one, so that one which does not have the expected form costs
/// none of the others. Calls `on_error` for each that can't be read and leaves it out.
pub fn read_entries<T: DeserializeOwned>(
    entries: Vec<&RawValue>,
    on_error: impl Fn(serde_json::Error),
) -> Vec<T> {
    let read = |entry: &RawValue| serde_json::from_str(entry.get()).map_err(&on_error).ok();
    entries.into_iter().filter_map(read).collect()
}
