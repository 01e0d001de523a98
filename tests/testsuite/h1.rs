//! Tests the HTTP/1.1 parsers: what is a message, where it ends, and what is rejected.

use geraniummount::util::h1::{Body, Fault, Head, Parsed, Request};
use proptest::prelude::*;

use crate::seeded;

#[derive(Debug)]
struct Case {
    bytes: &'static str,
    /// Framing of the body, and whether the connection is kept alive; or the fault.
    expected: Result<(Body, bool), Fault>,
}

const REQUESTS: &[Case] = &[
    Case {
        bytes: "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        expected: Ok((Body::Length(0), true)),
    },
    Case {
        bytes: "GET / HTTP/1.1\r\nConnection: Close\r\n\r\n",
        expected: Ok((Body::Length(0), false)),
    },
    Case {
        bytes: "GET / HTTP/1.0\r\n\r\n",
        expected: Ok((Body::Length(0), false)),
    },
    Case {
        bytes: "POST / HTTP/1.1\r\nContent-Length: 5, 5\r\n\r\n",
        expected: Ok((Body::Length(5), true)),
    },
    Case {
        bytes: "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        expected: Err(Fault::Length),
    },
    Case {
        bytes: "POST / HTTP/1.1\r\nContent-Length: +5\r\n\r\n",
        expected: Err(Fault::Length),
    },
    Case {
        bytes: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked, chunked\r\n\r\n",
        expected: Err(Fault::Coding),
    },
    Case {
        bytes: "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
        expected: Err(Fault::Coding),
    },
    Case {
        bytes: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
        expected: Err(Fault::Coding),
    },
    Case {
        bytes: "no request\r\n\r\n",
        expected: Err(Fault::Head),
    },
];

const RESPONSES: &[Case] = &[
    Case {
        bytes: "HTTP/1.1 200 OK\r\n\r\n",
        expected: Ok((Body::UntilClose, false)),
    },
    Case {
        bytes: "HTTP/1.1 204 No Content\r\n\r\n",
        expected: Ok((Body::Length(0), true)),
    },
    Case {
        bytes: "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n",
        expected: Ok((Body::Length(7), true)),
    },
    Case {
        bytes: "HTTP/1.1 200 OK\r\nContent-Length: 7\r\nTransfer-Encoding: chunked\r\n\r\n",
        expected: Err(Fault::Coding),
    },
    Case {
        bytes: "HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n",
        expected: Err(Fault::Length),
    },
    Case {
        bytes: "SSH-2.0-x\r\n\r\n",
        expected: Err(Fault::Head),
    },
];

#[test]
fn h1_heads_define_where_bodies_end_or_are_rejected() {
    for case in REQUESTS {
        let parsed = Request::parse(case.bytes.as_bytes()).map(|parsed| match parsed {
            Parsed::Complete(request, _) => (request.body, request.is_persistent),
            Parsed::Partial => panic!("{:?} is a complete head", case.bytes),
        });
        assert_eq!(parsed, case.expected, "{:?}", case.bytes);
    }
    for case in RESPONSES {
        let parsed = Head::parse(case.bytes.as_bytes(), false).map(|parsed| match parsed {
            Parsed::Complete(head, _) => (head.body, head.is_persistent),
            Parsed::Partial => panic!("{:?} is a complete head", case.bytes),
        });
        assert_eq!(parsed, case.expected, "{:?}", case.bytes);
    }
}

/// A head that arrives at once must not be longer than one that arrives in pieces.
#[test]
fn h1_heads_of_responses_are_too_long_however_they_arrive() {
    const TOO_LONG: usize = 64 * 1024 + 1;
    let head = |bytes: usize| format!("HTTP/1.1 200 OK\r\nX-Long: {}\r\n", "x".repeat(bytes));
    let complete = |bytes| Head::parse(format!("{}\r\n", head(bytes)).as_bytes(), false);
    let partial = |bytes| Head::parse(head(bytes).as_bytes(), false);
    assert!(matches!(partial(TOO_LONG), Err(Fault::HeadLength)));
    assert!(matches!(complete(TOO_LONG), Err(Fault::HeadLength)));
    assert!(matches!(partial(60_000), Ok(Parsed::Partial)));
    assert!(matches!(complete(60_000), Ok(Parsed::Complete(..))));
}

/// Encodes a body in chunks, with an extension on each chunk and a trailer.
fn encode_chunks(parts: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for part in parts.iter().filter(|part| !part.is_empty()) {
        bytes.extend_from_slice(format!("{:x};ext=1\r\n", part.len()).as_bytes());
        bytes.extend_from_slice(part);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\nTrailer: x\r\n\r\n");
    bytes
}

proptest! {
    #![proptest_config(seeded::config(200))]

    #[test]
    fn h1_chunks_are_decoded_however_they_are_split(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..6),
        read_lengths in prop::collection::vec(1_usize..30, 0..40),
        next_message in prop::collection::vec(any::<u8>(), 0..10),
    ) {
        let mut bytes = encode_chunks(&parts);
        bytes.extend_from_slice(&next_message);
        let mut body = Body::chunked();
        let (mut input, mut out, mut done) = (Vec::new(), Vec::new(), false);
        let mut remaining = bytes.as_slice();
        for read_length in read_lengths.iter().chain([&usize::MAX]) {
            let (received, rest) = remaining.split_at((*read_length).min(remaining.len()));
            input.extend_from_slice(received);
            remaining = rest;
            if !done {
                let (consumed, is_done) = body.feed(&input, &mut out).unwrap();
                input.drain(..consumed);
                done = is_done;
            }
        }
        prop_assert!(done);
        prop_assert_eq!(out, parts.concat());
        prop_assert_eq!(input, next_message);
    }

    #[test]
    fn h1_parsers_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Request::parse(&bytes);
        let _ = Head::parse(&bytes, false);
        let mut out = Vec::new();
        let _ = Body::chunked().feed(&bytes, &mut out);
    }
}

/// How a response tells where its body ends.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunked,
    UntilClose,
}

/// Returns a response with these fields and content.
fn response(status: u16, fields: &[(String, String)], content: &[u8], framing: Framing) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} Any\r\n");
    for (name, value) in fields {
        let is_framing = ["connection", "content-length", "transfer-encoding"];
        if !is_framing.contains(&name.to_ascii_lowercase().as_str()) {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
    }
    let length = content.len();
    let chunk = match length {
        0 => Vec::new(),
        _ => [format!("{length:x}\r\n").as_bytes(), content, b"\r\n"].concat(),
    };
    match framing {
        Framing::Length => {
            head.push_str(&format!("Content-Length: {length}\r\n\r\n"));
            [head.as_bytes(), content].concat()
        }
        Framing::Chunked => {
            head.push_str("Transfer-Encoding: chunked\r\n\r\n");
            [head.as_bytes(), &chunk, b"0\r\nTrailer: a\r\n\r\n"].concat()
        }
        Framing::UntilClose => {
            head.push_str("\r\n");
            head.into_bytes()
        }
    }
}

proptest! {
    #![proptest_config(seeded::config(512))]

    /// A peer that closes the connection in the middle of a response has not sent a whole one.
    #[test]
    fn h1_a_response_that_is_cut_off_is_never_complete(
        status in (200_u16..600).prop_filter("has a body", |status| !matches!(status, 204 | 304)),
        fields in prop::collection::vec(("[A-Za-z-]{1,12}", "[ -~]{0,20}"), 0..6),
        content in prop::collection::vec(any::<u8>(), 0..40),
        framing in prop_oneof![
            Just(Framing::Length),
            Just(Framing::Chunked),
            Just(Framing::UntilClose),
        ],
        cut in any::<prop::sample::Index>(),
    ) {
        let bytes = response(status, &fields, &content, framing);
        let cut = &bytes[..cut.index(bytes.len())];
        let is_complete = match Head::parse(cut, false) {
            Ok(Parsed::Complete(mut head, taken)) => {
                let mut out = Vec::new();
                let fed = head.body.feed(&cut[taken..], &mut out);
                head.body == Body::UntilClose || fed.is_ok_and(|(_, is_done)| is_done)
            }
            Ok(Parsed::Partial) | Err(_) => false,
        };
        prop_assert!(!is_complete, "{} of {} bytes", cut.len(), bytes.len());
    }
}
