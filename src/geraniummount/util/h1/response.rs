//! Parser of the heads of HTTP/1 responses.

use std::time::Duration;

use crate::util::bounded;

use super::{
    Body, Fault, Field, MAX_FIELDS, Parsed, copy_fields, declared_length, is_chunked, is_persistent,
};

/// Maximum length of a head in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Head of a response.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// Status code.
    pub status: u16,
    /// All header fields, in the order received.
    pub fields: Vec<Field>,
    /// How the body is delimited, and the state of its decoder.
    pub body: Body,
    /// Whether the connection may be reused for another request.
    pub is_persistent: bool,
}

/// A complete response.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// Head.
    pub head: Head,
    /// Decoded body.
    pub content: Vec<u8>,
}

impl Head {
    /// Parses the head at the start of a buffer. An interim response is parsed as a separate head.
    /// `is_reply_to_head` states whether the request had the method `HEAD`.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is malformed or too long, if the status is neither an interim nor
    /// a final one, or if the end of the body is ambiguous.
    pub fn parse(buffer: &[u8], is_reply_to_head: bool) -> Result<Parsed<Head>, Fault> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut head = httparse::Response::new(&mut headers);
        let length = match head.parse(buffer) {
            Ok(httparse::Status::Complete(length)) if length > MAX_HEAD_BYTES => {
                return Err(Fault::HeadLength);
            }
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if buffer.len() > MAX_HEAD_BYTES => {
                return Err(Fault::HeadLength);
            }
            Ok(httparse::Status::Partial) => return Ok(Parsed::Partial),
            Err(httparse::Error::TooManyHeaders) => return Err(Fault::Fields),
            Err(_) => return Err(Fault::Head),
        };
        let (Some(status), Some(minor_version)) = (head.code, head.version) else {
            return Err(Fault::Head);
        };
        if !is_status(status) {
            return Err(Fault::Status);
        }
        let fields = copy_fields(head.headers);
        let declared = declared_length(&fields)?;
        let chunked = is_chunked(&fields)?;
        if chunked && declared.is_some() {
            return Err(Fault::Coding);
        }
        let is_empty = is_reply_to_head || matches!(status, 100..=199 | 204 | 304);
        let body = match declared {
            _ if is_empty => Body::Length(0),
            _ if chunked => Body::chunked(),
            Some(length) => Body::Length(length),
            None => Body::UntilClose,
        };
        let is_persistent = is_persistent(&fields, minor_version) && body != Body::UntilClose;
        let head = Head {
            status,
            fields,
            body,
            is_persistent,
        };
        Ok(Parsed::Complete(head, length))
    }

    /// Returns whether this is an interim response, after which the final one follows.
    pub fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }

    /// Returns the idle timeout of the connection that the server announces in `Keep-Alive`, at most
    /// [`bounded::MAX_TIME`].
    pub fn keep_alive(&self) -> Option<Duration> {
        let words = super::field_words(&self.fields, "keep-alive");
        let mut times = words
            .iter()
            .filter_map(|word| word.strip_prefix("timeout="));
        bounded::parse_seconds(times.next()?)
    }
}

/// Returns whether a status is an interim or a final one. A server in trouble may answer 000, which
/// says nothing about the request. No request asks for a switch of protocols, so 101 is no valid
/// status: what follows it is not HTTP/1.
fn is_status(status: u16) -> bool {
    matches!(status, 100 | 102..=599)
}
