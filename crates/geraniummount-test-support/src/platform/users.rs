//! Stand-ins for the users' platform: its key-value store, and leaves that register there.
//!
//! They implement the formats that the product's `platform` module reads and writes. Tests set
//! faults while the stand-ins run.

pub mod caller;
mod contents;
mod crashing_leaves;
pub mod document;
mod entrance;
mod leaf;
mod leases;
mod query;
mod server;
mod store;

pub use self::crashing_leaves::CrashingLeaves;
pub use self::entrance::Entrance;
pub use self::leaf::{Answer, Framing, Leaf, Run, signature};
pub use self::store::{Backup, Paging, Store, WatchDelivery};
