//! Calls on the key-value store of the users' platform. It contains the operator's configuration
//! and the registrations of leaves, the servers that run the requests.

mod call;
mod client;
mod error;
mod lease;
mod listing;
mod message;
mod target;
mod watch;

pub use self::client::Store;
pub use self::error::Error;
pub use self::listing::Listing;
pub use self::message::{Event, Events, Item, LeaseId, Range};
pub use self::watch::{Watch, WatchStatus};
