//! Tiers of leaves: when a leaf is chosen, its tier takes precedence over its expected latency.

/// Precedence of a leaf. A leaf of a later tier is chosen only if none of an earlier tier is
/// usable, whatever their latencies.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Tier {
    /// Registered, without a recent failure.
    Preferred,
    /// Registered, with a recent failure.
    RecentlyFailed,
    /// Registered and cold: it takes few requests a second from all VMs together.
    Cold,
    /// No longer registered in the platform's store.
    Unregistered,
}
