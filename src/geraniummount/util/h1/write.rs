//! Writes the heads of HTTP/1.1 requests and responses.

use std::io::Write;

/// Writes the request line, which starts the head of a request.
pub fn write_request_line(out: &mut Vec<u8>, method: &str, target: &str) {
    out.extend_from_slice(method.as_bytes());
    out.push(b' ');
    out.extend_from_slice(target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
}

/// Writes the status line, which starts the head of a response.
pub fn write_status_line(out: &mut Vec<u8>, status: u16) {
    let reason = match status {
        100 => "Continue",
        102 => "Processing",
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        // The protocol allows any text.
        _ => "Status",
    };
    // Writing to a vector cannot fail.
    let _ = write!(out, "HTTP/1.1 {status} {reason}\r\n");
}

/// Writes a header field.
pub fn write_field(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Writes a header field whose value is a number.
pub fn write_number_field(out: &mut Vec<u8>, name: &str, value: u64) {
    // Writing to a vector cannot fail.
    let _ = write!(out, "{name}: {value}\r\n");
}

/// Writes the empty line that ends a head.
pub fn write_head_end(out: &mut Vec<u8>) {
    out.extend_from_slice(b"\r\n");
}
