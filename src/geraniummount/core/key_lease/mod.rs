//! Whether this VM may still trust the keys of its configuration.
//!
//! Load pattern: the operator revokes keys while a VM is cut off from the store or turned away by
//! it, is frozen, receives late answers, or while the store comes back from an older copy. The VM
//! can't know of the revocation, so it stops by itself: a request with a key is admitted only for a
//! bounded time after a *confirmation*, which shows that the configuration in force was the newest
//! at some moment after the confirmation began. A request that is admitted later than this bound
//! after a revocation would need a confirmation that began after it, which does not exist.
//!
//! [`Lease`] keeps the confirmations, [`Renewal`] decides where the next one comes from, and
//! [`Responder`] decides when the questions of other VMs are answered. All times are readings of a
//! clock that also counts suspension.

mod confirmation;
mod keys;
mod lease;
mod read;
mod renewal;
mod responder;
mod statement;

pub use self::confirmation::{Confirmation, Source};
pub use self::keys::Keys;
pub use self::lease::Lease;
pub use self::read::Read;
pub use self::renewal::{Renewal, Step};
pub use self::responder::{Question, Responder};
pub use self::statement::Statement;
