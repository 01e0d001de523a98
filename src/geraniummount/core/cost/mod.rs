//! Learns how much work requests cost the leaves.
//!
//! Load pattern: requests that look alike cost very different amounts of work. Parts of queries that
//! take 5 or 15 ms run at the same leaves as fetches of 120 ms, whose cost is spread by a factor of
//! 0.5, and the leaves differ in speed and are slow for fractions of a second. A count of the
//! requests in flight, and a mean of their latencies, say little about how long the next one takes.
//!
//! [`Costs`] learns the expected work by a few bounded keys: service, route, tenant, and size class
//! of the body ([`Profile`]). The work is the time at a leaf of usual speed, from sending to the
//! answer, of attempts that did not wait behind others of this VM. [`backlog`] sums up the work left
//! at a leaf. A wrong estimate makes this VM prefer a worse leaf; it neither refuses a request nor
//! excludes a leaf, and the learned speed of the leaf corrects it after a few answers.

mod backlog;
mod costs;
mod estimate;
mod load;
mod profile;

pub use self::backlog::{Running, backlog};
pub use self::costs::{Costs, MAX_ENTRIES};
pub use self::estimate::Estimate;
pub use self::load::{Load, Report};
pub use self::profile::Profile;
