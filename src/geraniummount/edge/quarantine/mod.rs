//! List of requests during which leaves crashed, which the VMs share as one value of a key-value
//! store.
//!
//! A [`Writer`] adds to the list what a VM has seen, and claims trials. It runs on a thread of its own, because calls on
//! the store block. [`List`] is the store as the writer needs it.

mod job;
mod list;
mod writer;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::warn;

use crate::core::quarantine::Record;
use crate::util::json;

pub use self::job::Job;
pub use self::list::{Error, List};
pub use self::writer::Writer;

/// Maximum time for which a request waits for its trial. A claim takes two calls on the store, and two
/// more each time that another VM changes the list meanwhile.
pub const MAX_TRIAL_WAIT: Duration = Duration::from_millis(250);

/// Encodes the list as JSON.
pub fn encode(records: &[Record]) -> Vec<u8> {
    serde_json::to_vec(records).expect("records consist of text and numbers")
}

/// Decodes the list without the records that can't be read. An empty value is an empty list, and so
/// is one that is no list.
pub fn decode(value: &[u8]) -> Vec<Record> {
    if value.is_empty() {
        return Vec::new();
    }
    let records = serde_json::from_slice(value).unwrap_or_else(|error| {
        warn!(
            "quarantine event=list-unreadable action=write-anew error={:?}",
            error.to_string()
        );
        Vec::new()
    });
    json::read_entries(records, |error| {
        warn!(
            "quarantine event=record-unreadable action=skip error={:?}",
            error.to_string()
        );
    })
}

/// Returns the time of day in milliseconds since the Unix epoch; 0 if the clock is before it.
pub fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let since_epoch = since_epoch.unwrap_or_default().as_millis();
    u64::try_from(since_epoch).unwrap_or(u64::MAX)
}
