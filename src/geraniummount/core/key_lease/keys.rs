//! Whether this VM may decide about the key of a request.

/// Whether this VM may decide about the key of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Keys {
    /// The keys of the configuration in force are confirmed, or the request needs none.
    Confirmed,
    /// The request has a key, and no recent confirmation shows that it may still be used.
    Unconfirmed,
}
