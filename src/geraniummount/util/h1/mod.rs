//! HTTP/1.1 parser and writer that work on byte buffers, without sockets.
//!
//! The gateway forwards the messages that it reads between callers and leaves, the servers that run
//! the requests. It must therefore agree with both on where a message ends. Ambiguous messages are
//! rejected: those with two different lengths, with both a length and a transfer coding, or with an
//! unknown transfer coding. `httparse` splits heads into fields; this module implements the rules
//! about the length of bodies.

#![deny(clippy::disallowed_methods)]

mod body;
mod fault;
mod field;
mod request;
mod response;
mod write;

pub use self::body::{Body, ChunkState};
pub use self::fault::Fault;
pub use self::field::Field;
pub use self::request::Request;
pub use self::response::{Head, Response};
pub use self::write::{
    write_field, write_head_end, write_number_field, write_request_line, write_status_line,
};

/// Maximum number of fields in a head.
const MAX_FIELDS: usize = 100;

/// Maximum number of interim responses before the final one. A server in trouble may send them without
/// end, each of them some bytes long.
pub const MAX_INTERIM_RESPONSES: u32 = 256;

/// Result of parsing a head at the start of a buffer.
#[derive(Debug)]
pub enum Parsed<T> {
    /// The buffer does not contain the complete head yet.
    Partial,
    /// The parsed head and its length in bytes.
    Complete(T, usize),
}

/// Names of the hop-by-hop fields, which apply to a single connection and are not forwarded, in
/// lower case. `Content-Length` and `Expect` are included
/// because the gateway handles them itself.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Returns the values of all fields with a name, in order.
pub fn field_values<'a>(fields: &'a [Field], name: &'a str) -> impl Iterator<Item = &'a [u8]> {
    let same = move |field: &&Field| field.name.eq_ignore_ascii_case(name);
    fields
        .iter()
        .filter(same)
        .map(|field| field.value.as_slice())
}

/// Returns the first value of a field as text; `None` if the field is absent or the value is not
/// UTF-8.
pub fn field_text<'a>(fields: &'a [Field], name: &'a str) -> Option<&'a str> {
    let value = field_values(fields, name).next()?;
    std::str::from_utf8(value).ok()
}

/// Returns the comma-separated elements of a field's values, in lower case.
fn field_words(fields: &[Field], name: &str) -> Vec<String> {
    let mut words = Vec::new();
    for value in field_values(fields, name) {
        let value = String::from_utf8_lossy(value);
        let split = value
            .split(',')
            .map(|word| word.trim().to_ascii_lowercase());
        words.extend(split.filter(|word| !word.is_empty()));
    }
    words
}

/// Removes the fields of [`HOP_BY_HOP`] and those that the field `Connection` names.
pub fn strip_hop_by_hop(fields: &mut Vec<Field>) {
    let named = field_words(fields, "connection");
    fields.retain(|field| {
        let name = field.name.to_ascii_lowercase();
        !HOP_BY_HOP.contains(&name.as_str()) && !named.contains(&name)
    });
}

/// Returns the host that fields name, without a port; `None` unless they name exactly one.
pub fn host(fields: &[Field]) -> Option<&str> {
    let mut hosts = field_values(fields, "host");
    let host = hosts.next()?;
    if hosts.next().is_some() {
        return None;
    }
    let host = std::str::from_utf8(host).ok()?.trim();
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => Some(name),
        _ => Some(host),
    }
}

/// Returns the path of a target, without the query.
pub fn path(target: &str) -> &str {
    target.split_once('?').map_or(target, |(path, _)| path)
}

fn copy_fields(headers: &[httparse::Header<'_>]) -> Vec<Field> {
    let copied = headers.iter().map(|header| Field {
        name: header.name.to_string(),
        value: header.value.to_vec(),
    });
    copied.collect()
}

/// Returns the body length that a head declares; `None` if it declares none.
fn declared_length(fields: &[Field]) -> Result<Option<u64>, Fault> {
    let mut length = None;
    for value in field_values(fields, "content-length") {
        let value = std::str::from_utf8(value).map_err(|_| Fault::Length)?;
        for word in value.split(',').map(str::trim) {
            if word.is_empty() || !word.bytes().all(|byte| byte.is_ascii_digit()) {
                return Err(Fault::Length);
            }
            let number: u64 = word.parse().map_err(|_| Fault::Length)?;
            if length.is_some_and(|known| known != number) {
                return Err(Fault::Length);
            }
            length = Some(number);
        }
    }
    Ok(length)
}

/// Returns whether the body uses the chunked transfer coding.
fn is_chunked(fields: &[Field]) -> Result<bool, Fault> {
    let codings = field_words(fields, "transfer-encoding");
    match codings.as_slice() {
        [] if field_values(fields, "transfer-encoding").next().is_some() => Err(Fault::Coding),
        [] => Ok(false),
        [coding] if coding == "chunked" => Ok(true),
        _ => Err(Fault::Coding),
    }
}

/// Returns whether the connection may be reused after this message.
fn is_persistent(fields: &[Field], minor_version: u8) -> bool {
    let words = field_words(fields, "connection");
    let has = |wanted: &str| words.iter().any(|word| word == wanted);
    match minor_version {
        0 => has("keep-alive") && !has("close"),
        _ => !has("close"),
    }
}
