//! Parser of the heads of HTTP/1 requests.

use super::{
    Body, Fault, Field, MAX_FIELDS, Parsed, copy_fields, declared_length, is_chunked, is_persistent,
};

/// Head of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Method, as received.
    pub method: String,
    /// Request target (path and query), as received.
    pub target: String,
    /// All header fields, in the order received.
    pub fields: Vec<Field>,
    /// How the body is delimited, and the state of its decoder.
    pub body: Body,
    /// Whether the connection may be reused for another request.
    pub is_persistent: bool,
    /// Whether the sender waits for a `100 Continue` response before it sends the body.
    pub expects_continue: bool,
}

impl Request {
    /// Parses the head at the start of a buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is malformed or the end of the body is ambiguous.
    pub fn parse(buffer: &[u8]) -> Result<Parsed<Request>, Fault> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut head = httparse::Request::new(&mut headers);
        let length = match head.parse(buffer) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(Parsed::Partial),
            Err(httparse::Error::TooManyHeaders) => return Err(Fault::Fields),
            Err(_) => return Err(Fault::Head),
        };
        let (Some(method), Some(target), Some(minor_version)) =
            (head.method, head.path, head.version)
        else {
            return Err(Fault::Head);
        };
        let fields = copy_fields(head.headers);
        let declared = declared_length(&fields)?;
        let body = match (is_chunked(&fields)?, declared) {
            (true, Some(_)) => return Err(Fault::Coding),
            (true, None) if minor_version == 0 => return Err(Fault::Coding),
            (true, None) => Body::chunked(),
            (false, length) => Body::Length(length.unwrap_or(0)),
        };
        let expects = super::field_words(&fields, "expect");
        let request = Request {
            method: method.to_string(),
            target: target.to_string(),
            is_persistent: is_persistent(&fields, minor_version),
            expects_continue: minor_version > 0
                && expects.iter().any(|word| word == "100-continue"),
            fields,
            body,
        };
        Ok(Parsed::Complete(request, length))
    }

    /// Returns the value of `Host` without the port; `None` if there is not exactly one such field.
    pub fn host(&self) -> Option<&str> {
        super::host(&self.fields)
    }

    /// Returns the number of bytes of memory that the head takes, without those of the allocator.
    pub fn held_bytes(&self) -> usize {
        self.method.capacity() + self.target.capacity() + Field::held_bytes(&self.fields)
    }

    /// Returns the path of the target, without the query.
    pub fn path(&self) -> &str {
        super::path(&self.target)
    }
}
