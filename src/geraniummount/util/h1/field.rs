//! Header fields of messages.

/// A header field. Names are compared without regard to case.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Field {
    /// Name, as received.
    pub name: String,
    /// Value, as received.
    pub value: Vec<u8>,
}
