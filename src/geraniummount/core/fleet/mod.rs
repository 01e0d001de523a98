//! What a VM knows of all VMs together, for bounds that hold for the sum of their requests.
//!
//! An [`Exchange`] decides when VMs tell each other their rates of requests; its result is the
//! [`Share`] of this VM.

mod exchange;
mod share;
mod step;

pub use self::exchange::{Exchange, LEASE_TTL};
pub use self::share::Share;
pub use self::step::Step;
