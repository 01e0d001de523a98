//! How a VM follows the platform's key-value store: the calls that it makes, their times, and what is
//! in force of their answers.
//!
//! [`sync`] decides between watching for changes and reading, and [`freshness`] how recent a read has
//! to be. [`poll_schedule`] sets the pauses between the calls. [`cache`] keeps the newest state of
//! each key, also when answers overlap or the store comes back from an older copy. [`cursor`] decides
//! how a read goes on from page to page.

pub mod cache;
pub mod cursor;
pub mod freshness;
pub mod poll_schedule;
pub mod sync;
