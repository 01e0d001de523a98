//! Statuses of responses, sound and not, as a leaf, another VM or the store may send them.

use geraniummount_test_support::raw_server::Arrival;

/// A status as it stands in a response.
pub struct Case {
    /// First lines of the response: a status, or an interim response and a status.
    pub start: &'static str,
    /// Status that is passed on; `None` if the response is none.
    pub passed: Option<u16>,
}

const fn passed(start: &'static str, status: u16) -> Case {
    Case {
        start,
        passed: Some(status),
    }
}

const fn refused(start: &'static str) -> Case {
    Case {
        start,
        passed: None,
    }
}

pub const CASES: &[Case] = &[
    passed("200 OK", 200),
    passed("299 Fine", 299),
    passed("404 Missing", 404),
    passed("599 Failed", 599),
    passed("100 Continue\r\n\r\nHTTP/1.1 200 OK", 200),
    passed("199 Wait\r\n\r\nHTTP/1.1 200 OK", 200),
    refused("000 None"),
    refused("000"),
    refused("001 None"),
    refused("099 None"),
    refused("101 Switching Protocols"),
    refused("100 Continue\r\n\r\nHTTP/1.1 000 None"),
    refused("600 None"),
    refused("999 None"),
    refused("+20 Sign"),
    refused("-20 Sign"),
    refused("+200 Sign"),
    refused(" 200 Space"),
    refused("20 0 Space"),
    refused("2 0 Space"),
    refused("20 Short"),
    refused("2"),
    refused(""),
    refused("2000 Long"),
    refused("0200 Long"),
    refused("2x0 Letter"),
];

/// Returns a response to a request with one of these statuses.
pub fn response(start: &str, arrival: &Arrival) -> Vec<u8> {
    let id = arrival.field("Request-Id");
    let attempt = arrival.field("Attempt-Id");
    format!(
        "HTTP/1.1 {start}\r\nRequest-Id: {id}\r\nAttempt-Id: {attempt}\r\n\
         Server-Stamp: raw.{id}\r\nStore-Era: 1\r\nContent-Length: 2\r\n\r\n{{}}"
    )
    .into_bytes()
}
