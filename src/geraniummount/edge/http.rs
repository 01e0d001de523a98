//! HTTP/1.1 on one connection, by `hyper`, with bounds on sizes and times.
//!
//! Serves callers and operators. The server of `rouille` fits neither: it reads
//! a request's head without a limit, waits for a body without a time limit,
//! allocates whatever length a request that it turns away claims to have, which
//! ends the process where there is not as much memory, and can't end a kept-alive
//! connection between two requests, so that a planned stop would cut off the
//! next one.

use std::borrow::Cow;
use std::convert::Infallible;
use std::io;
use std::net::TcpStream;
use std::pin::pin;
use std::time::Duration;

use async_io::{Async, Timer};
use futures::channel::oneshot;
use futures::future::{Either, Shared, select};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use socket2::SockRef;

/// Longest head of a request.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Most header lines of a request.
const MAX_HEADERS: usize = 64;

/// Bytes of a body that is too long that are read and dropped, so that its
/// sender comes to read the answer.
const MAX_DISCARDED_BYTES: usize = 8 << 20;

/// Longest time for which a response may go unacknowledged.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Ends when a planned stop begins.
pub(super) type StopSignal = Shared<oneshot::Receiver<Infallible>>;

/// A whole request.
#[derive(Clone, Debug, Default)]
pub(super) struct Request {
    /// Method, as written.
    pub(super) method: String,
    /// Path without the query string.
    pub(super) path: String,
    /// Query string, without the question mark.
    pub(super) query: String,
    /// Header lines.
    pub(super) headers: HeaderMap,
    /// Body.
    pub(super) body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header, if it is text.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok().map(str::trim)
    }
}

/// A response, with a JSON body unless its headers say otherwise.
#[derive(Clone, Debug)]
pub(super) struct Response {
    /// Status code.
    pub(super) status: u16,
    /// Further header lines.
    pub(super) headers: Vec<(Cow<'static, str>, String)>,
    /// Body.
    pub(super) body: Vec<u8>,
}

/// Why a request is not fit to be run.
#[derive(Clone, Debug)]
pub(super) struct Fault {
    /// Status code.
    pub(super) status: u16,
    /// What was wrong and what to do.
    pub(super) reason: String,
}

impl Fault {
    /// Makes a fault.
    pub(super) fn new(status: u16, reason: impl Into<String>) -> Fault {
        Fault {
            status,
            reason: reason.into(),
        }
    }
}

/// Bounds on one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Longest body.
    pub(super) max_body_bytes: usize,
    /// Time from the head's end to the body's.
    pub(super) body_timeout: Duration,
    /// Time for a head, from the end of the response before it.
    pub(super) head_timeout: Duration,
}

/// The other end of a connection whose request runs.
#[derive(Debug)]
pub(super) struct Caller {
    stream: TcpStream,
}

impl Caller {
    /// Returns whether the caller has closed the connection.
    pub(super) fn is_gone(&self) -> bool {
        match self.stream.peek(&mut [0]) {
            Ok(read) => read == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// Serves a connection until it ends: one request after the other is read and
/// given to `respond`, on this thread. No response ends the connection.
pub(super) fn serve(
    stream: TcpStream,
    limits: Limits,
    stop: StopSignal,
    respond: impl Fn(Result<Request, Fault>, &Caller) -> Option<Response>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(WRITE_TIMEOUT))?;
    let caller = Caller {
        stream: stream.try_clone()?,
    };
    let stream = FuturesIo::new(Async::new(stream)?);
    let service = service_fn(async |request| {
        let request = read_request(request, limits).await;
        let gone = || io::Error::from(io::ErrorKind::ConnectionAborted);
        respond(request, &caller)
            .map(to_hyper_response)
            .ok_or_else(gone)
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(stream, service);
    async_io::block_on(async {
        let mut connection = pin!(connection);
        if let Either::Right(_) = select(connection.as_mut(), stop).await {
            connection.as_mut().graceful_shutdown();
            // Its end is the same whether or not the caller closed it first.
            drop(connection.await);
        }
    });
    Ok(())
}

async fn read_request(request: hyper::Request<Incoming>, limits: Limits) -> Result<Request, Fault> {
    let (head, mut body) = request.into_parts();
    let too_long = || {
        let max_bytes = limits.max_body_bytes;
        let reason = format!("body is longer than {max_bytes} bytes; send a smaller one");
        Fault::new(413, reason)
    };
    if body.size_hint().lower() > limits.max_body_bytes as u64 {
        discard(&mut body, limits.body_timeout).await;
        return Err(too_long());
    }
    let end = {
        let whole = pin!(Limited::new(&mut body, limits.max_body_bytes).collect());
        match select(whole, Timer::after(limits.body_timeout)).await {
            Either::Left((end, _)) => end,
            Either::Right(_) => {
                return Err(Fault::new(408, "body came too slowly; send it at once"));
            }
        }
    };
    let body = match end {
        Ok(body) => body.to_bytes().to_vec(),
        Err(error) if error.is::<LengthLimitError>() => {
            discard(&mut body, limits.body_timeout).await;
            return Err(too_long());
        }
        Err(_) => return Err(Fault::new(400, "body ends too soon; send it whole")),
    };
    Ok(Request {
        method: head.method.to_string(),
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body,
    })
}

/// Reads a body and drops it, for some time and up to some length.
async fn discard(body: &mut Incoming, limit: Duration) {
    let read = async {
        let mut left = MAX_DISCARDED_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest) = left.checked_sub(bytes) else {
                return;
            };
            left = rest;
        }
    };
    select(pin!(read), Timer::after(limit)).await;
}

fn to_hyper_response(response: Response) -> hyper::Response<Full<Bytes>> {
    let mut written = hyper::Response::new(Full::new(Bytes::from(response.body)));
    *written.status_mut() = hyper::StatusCode::from_u16(response.status)
        .unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    let headers = written.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    for (name, value) in response.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&value)) {
            headers.insert(name, value);
        }
    }
    written
}
