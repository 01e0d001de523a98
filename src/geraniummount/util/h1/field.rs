//! A header field.

/// A header field; names are compared in lower case.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Field {
    /// Name, as it came.
    pub name: String,
    /// Value, as it came.
    pub value: Vec<u8>,
}
