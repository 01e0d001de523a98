//! Where the limit of a leaf comes from.

/// Where the limit of a leaf comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::core::placement) enum Basis {
    /// The leaf is short of capacity and names the limit in its responses. It bounds the mean over
    /// some seconds.
    Named,
    /// The leaf is cold, and the operator has set the limit. It bounds each single second.
    Cold,
}
