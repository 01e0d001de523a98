//! Header fields of HTTP/1 messages.

/// A header field. [`super::field_values`] compares its name without regard to case.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Field {
    /// Name, as received.
    pub name: String,
    /// Value, as received.
    pub value: Vec<u8>,
}

impl Field {
    /// Returns the number of bytes of memory that the fields of a list take, without those of the
    /// allocator.
    pub fn held_bytes(fields: &Vec<Field>) -> usize {
        let contents = fields
            .iter()
            .map(|field| field.name.capacity() + field.value.capacity());
        fields.capacity() * size_of::<Field>() + contents.sum::<usize>()
    }
}
