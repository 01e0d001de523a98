//! Calls on the platform's key-value store.

mod client;
mod error;
mod message;

pub use self::client::Store;
pub use self::error::Error;
pub use self::message::{Event, Events, Item, Range};
