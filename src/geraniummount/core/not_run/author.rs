//! Who wrote a response.

/// Who wrote a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Author {
    /// A leaf that has not rejected the request, and may have run it.
    Leaf,
    /// A VM.
    #[default]
    Vm,
}
