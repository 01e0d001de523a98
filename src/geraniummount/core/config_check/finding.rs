//! A finding on a document.

use super::Kind;

/// A finding on a document. It never contains a key or the digest of one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// What the finding is about.
    pub kind: Kind,
    /// Entry of the document, such as `route search`.
    pub object: String,
    /// What was found, and what to do about it.
    pub message: String,
}

impl Finding {
    /// Creates a finding on an entry of the document.
    pub fn new(kind: Kind, object: impl Into<String>, message: impl Into<String>) -> Finding {
        Finding {
            kind,
            object: object.into(),
            message: message.into(),
        }
    }
}
