//! What a request says about who sends it.

use super::KeyDigest;

/// What a request says about who sends it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Credential {
    /// The request has no key.
    #[default]
    Absent,
    /// The request has one key.
    Key(KeyDigest),
    /// The request has several keys, or one that cannot be read.
    Malformed,
}
