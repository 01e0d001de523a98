//! How far a request has got on its way to a leaf or to another VM.

/// How far a request has got on its way to a leaf or to another VM.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Progress {
    /// The gateway has not been told to send it. It can be dropped.
    Planned,
    /// The gateway was told to send it and has written no byte of it. The gateway takes it back
    /// when told to abandon it.
    Queued,
    /// At least one byte was written. It may run at any later time, even if it is abandoned.
    Sent,
}
