//! Header fields of HTTP/1 messages.

/// A header field. [`super::field_values`] compares its name without regard to case.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Field {
    /// Name, as received.
    pub name: String,
    /// Value, as received.
    pub value: Vec<u8>,
}
