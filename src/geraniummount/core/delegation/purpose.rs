//! Why a request is passed to another VM.

/// Why a request is passed to another VM.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Purpose {
    /// This VM cannot serve the request.
    #[default]
    Necessity,
    /// A stronger VM serves it faster. If that one does not, this VM does.
    Offload,
}
