//! Stand-ins for the users' platform: its key-value store and leaves that
//! register there.
//!
//! They speak the pages under which the product's `platform` folder stands.
//! Faults are set while they run.

pub mod caller;
pub mod document;
mod leaf;
mod server;
mod store;

pub use self::leaf::{Answer, Leaf, Run, signature};
pub use self::store::{Store, WatchDelivery};
