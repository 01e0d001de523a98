//! State of this VM's links to the leaves, as far as it decides who handles a request.

/// State of this VM's links to the leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Links {
    /// They work.
    Working,
    /// New connections to all leaves fail; open ones still work.
    OnlyOpenConnections,
    /// No leaf is reached.
    Lost,
}
