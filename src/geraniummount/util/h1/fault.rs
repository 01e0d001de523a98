//! Parse errors of HTTP/1 messages.

use std::fmt;

/// Parse error of an HTTP/1 message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The head is not valid HTTP/1.1.
    Head,
    /// The head is too long.
    HeadLength,
    /// Too many interim responses precede the final one.
    Interim,
    /// Too many responses to other requests precede the awaited one.
    Foreign,
    /// The status of a response is neither an interim nor a final one.
    Status,
    /// The head has too many fields.
    Fields,
    /// The declared body length is not a number, or the head declares several different ones.
    Length,
    /// The transfer coding is unknown, not allowed in the message's HTTP version, or combined
    /// with a declared length.
    Coding,
    /// A chunk of a body with chunked transfer coding is malformed.
    Chunk,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Fault::Head => "the head is not HTTP/1.1",
            Fault::Interim => "too many interim responses precede the final one",
            Fault::Foreign => "too many responses to other requests precede the awaited one",
            Fault::Status => "the status is not a valid one",
            Fault::HeadLength => "the head is too long",
            Fault::Fields => "the head has too many fields",
            Fault::Length => "the length is ambiguous or not a number",
            Fault::Coding => "the transfer coding is unknown or stands beside a length",
            Fault::Chunk => "a chunk is malformed",
        })
    }
}

impl std::error::Error for Fault {}
