//! HTTP/1.1 server for one connection, based on `hyper`, with limits on sizes and times.
//!
//! It serves callers, who send queries, and operators, who change the configuration. The server of
//! the library `rouille` is not used for the following reasons:
//!
//! - It reads a request's head without a size limit.
//! - It waits for a body without a timeout.
//! - For a request that it rejects, it allocates the length that the request declares, which ends
//!   the process if there is not enough memory.
//! - It can't close a keep-alive connection between two requests, and a planned stop would
//!   therefore cut off the next request.

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

/// Maximum length of a request's head.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Maximum number of header lines in a request.
const MAX_HEADERS: usize = 64;

/// Maximum number of bytes that are read and discarded of a body that is too long. A sender that
/// still writes its body would otherwise not read the response.
const MAX_DISCARDED_BYTES: usize = 8 << 20;

/// Maximum time for which the data of a response may stay unacknowledged by the receiver.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Future that completes when a planned stop begins.
pub(super) type StopSignal = Shared<oneshot::Receiver<Infallible>>;

/// A request whose body has been read completely.
#[derive(Clone, Debug, Default)]
pub(super) struct Request {
    /// Method as sent.
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
    /// Returns the trimmed value of a header, or `None` if it is absent or not visible ASCII.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok().map(str::trim)
    }
}

/// A response. Its body is JSON unless `headers` sets another content type.
#[derive(Clone, Debug)]
pub(super) struct Response {
    /// Status code.
    pub(super) status: u16,
    /// Additional header lines.
    pub(super) headers: Vec<(Cow<'static, str>, String)>,
    /// Body.
    pub(super) body: Vec<u8>,
}

/// Reason why a request could not be read.
#[derive(Clone, Debug)]
pub(super) struct Fault {
    /// Status code of the response that reports the fault.
    pub(super) status: u16,
    /// Description of the problem and how to fix the request.
    pub(super) reason: String,
}

impl Fault {
    /// Creates a fault.
    pub(super) fn new(status: u16, reason: impl Into<String>) -> Fault {
        Fault {
            status,
            reason: reason.into(),
        }
    }
}

/// Limits on one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Maximum length of the body.
    pub(super) max_body_bytes: usize,
    /// Maximum time from the end of the head to the end of the body.
    pub(super) body_timeout: Duration,
    /// Maximum time for the head, measured from the end of the previous response.
    pub(super) head_timeout: Duration,
}

/// Client, a caller or an operator, whose request is being served.
#[derive(Debug)]
pub(super) struct Caller {
    stream: TcpStream,
}

impl Caller {
    /// Returns whether the client has closed the connection.
    pub(super) fn is_gone(&self) -> bool {
        match self.stream.peek(&mut [0]) {
            Ok(read) => read == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// Serves a connection on the calling thread until it is closed. Each request is read and passed to
/// `respond`. If `respond` returns `None`, the connection is closed without a response.
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
        let closed = || io::Error::from(io::ErrorKind::ConnectionAborted);
        respond(request, &caller)
            .map(to_hyper_response)
            .ok_or_else(closed)
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
            // The result does not matter, because the caller may have closed the connection first.
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
    let collected = {
        let collect = pin!(Limited::new(&mut body, limits.max_body_bytes).collect());
        match select(collect, Timer::after(limits.body_timeout)).await {
            Either::Left((collected, _)) => collected,
            Either::Right(_) => {
                return Err(Fault::new(408, "body came too slowly; send it at once"));
            }
        }
    };
    let body = match collected {
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

/// Reads and discards a body for at most `limit`, up to [`MAX_DISCARDED_BYTES`].
async fn discard(body: &mut Incoming, limit: Duration) {
    let read = async {
        let mut remaining = MAX_DISCARDED_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest) = remaining.checked_sub(bytes) else {
                return;
            };
            remaining = rest;
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
