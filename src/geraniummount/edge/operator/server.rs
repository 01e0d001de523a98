//! HTTP server for operators.
//!
//! Requests and responses are represented by the types of `rouille`, but are read and written by
//! [`http`], which enforces limits on sizes and times. Each connection has its own thread, and the
//! number of connections is bounded.

use std::convert::Infallible;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use futures::channel::oneshot;
use futures::future::FutureExt;
use hyper::header::HeaderValue;
use rouille::{Request, Response};
use serde_json::json;

use super::listing::{Changes, Item, Listing};
use super::process::Process;
use super::refusal::Refusal;
use super::route::Route;
use super::semaphore::Semaphore;
use crate::core::config::resource::Kind;
use crate::edge::http::{self, Limits, StopSignal};
use crate::edge::registry::Error;
use crate::prelude::*;

/// Maximum number of concurrent connections; further ones are closed at once.
const MAX_CONNECTIONS: usize = 64;

/// Maximum number of concurrent watches, which are requests that wait for newer changes. The
/// remaining connections stay free for changes.
const MAX_WATCHES: usize = 8;

/// Limits on a request. A connection that is idle or slow for longer is closed.
const BOUNDS: Limits = Limits {
    max_body_bytes: 1 << 20,
    body_timeout: Duration::from_secs(5),
    head_timeout: Duration::from_secs(60),
};

/// Delay after a failure to accept a connection or to start its thread.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Timeout of the connection by which a stop wakes the accepting thread.
const WAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay after which a client may retry a watch that was rejected because of [`MAX_WATCHES`].
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Running server; dropping it stops it.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    /// Stops the threads when dropped.
    stop: Option<oneshot::Sender<Infallible>>,
    /// Thread that accepts connections.
    thread: Option<JoinHandle<()>>,
}

/// State that all requests share.
struct Context {
    process: Process,
    /// Limits the number of connections.
    connections: Semaphore,
    /// Limits the number of watches.
    watches: Semaphore,
}

impl Server {
    /// Binds to `listen` and starts to serve requests; port 0 selects any free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the thread cannot be started.
    pub fn start(listen: SocketAddr, process: Process) -> io::Result<Server> {
        let context = Arc::new(Context {
            process,
            connections: Semaphore::new(MAX_CONNECTIONS),
            watches: Semaphore::new(MAX_WATCHES),
        });
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let stopped = stopped.shared();
        let thread = spawn(move || accept(&listener, &context, &stopped))?;
        log::info!("operator: listening on {address}");
        Ok(Server {
            address,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        drop(self.stop.take());
        // The accepting thread blocks until the next connection, and then checks for the stop.
        drop(TcpStream::connect_timeout(&self.address, WAKE_TIMEOUT));
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("operator: the accepting thread panicked");
        }
    }
}

/// Runs a function on a new thread.
fn spawn(task: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    let thread = std::thread::Builder::new().name("operator".to_string());
    thread.spawn(task)
}

fn accept(listener: &TcpListener, context: &Arc<Context>, stop: &StopSignal) {
    loop {
        let accepted = listener.accept();
        if stop.clone().now_or_never().is_some() {
            return;
        }
        let (context, stop) = (Arc::clone(context), stop.clone());
        let serve = |(stream, _)| spawn(move || context.serve(stream, stop));
        if let Err(error) = accepted.and_then(serve) {
            log::warn!("operator: failed to accept a connection or to start its thread: {error}");
            std::thread::sleep(ACCEPT_BACKOFF);
        }
    }
}

impl Context {
    fn serve(&self, stream: TcpStream, stop: StopSignal) {
        let Some(_permit) = self.connections.try_acquire() else {
            return;
        };
        let served = http::serve(stream, BOUNDS, stop, |request, _| {
            let response = match request {
                Ok(request) => self.answer(&convert_request(request)),
                Err(http::Fault { status, reason }) => {
                    Refusal::Unread { status, reason }.response()
                }
            };
            Some(convert_response(response))
        });
        if let Err(error) = served {
            log::debug!("operator: failed to set up a connection: {error}");
        }
    }

    fn answer(&self, request: &Request) -> Response {
        let answer = Route::read(request).and_then(|route| self.execute(route, request));
        answer.unwrap_or_else(|refusal| {
            let (method, url) = (request.method(), request.url());
            log::info!("operator: {method} {url} rejected: {refusal}");
            refusal.response()
        })
    }

    fn execute(&self, route: Route, request: &Request) -> Result<Response, Refusal> {
        let process = &self.process;
        let registry = &process.registry;
        match route {
            Route::List(kind) => Ok(self.list(kind)),
            Route::Get(kind, name) => self.get(kind, &name),
            Route::Put(kind, name, if_match) => {
                let accepted = registry.put(kind, &name, &read_body(request)?, if_match);
                let accepted = accepted.map_err(|error| Refusal::new(kind, &name, error))?;
                Ok(Response::json(&accepted))
            }
            Route::Delete(kind, name, if_match) => {
                let accepted = registry.delete(kind, &name, if_match);
                let accepted = accepted.map_err(|error| Refusal::new(kind, &name, error))?;
                Ok(Response::json(&accepted))
            }
            Route::Watch(after, wait) => self.watch(after, wait),
            Route::Status => Ok(Response::json(&(process.status)())),
            Route::State => Ok(Response::json(&(process.state)())),
            Route::Metrics => {
                process.metrics.set_leaves((process.loads)());
                let text = process.metrics.encode();
                Ok(Response::from_data("text/plain; version=0.0.4", text))
            }
            Route::Health => Ok(health((process.is_stopping)())),
        }
    }

    fn list(&self, kind: Kind) -> Response {
        let catalog = self.process.registry.catalog();
        Response::json(&Listing::new(&catalog, kind))
    }

    fn get(&self, kind: Kind, name: &str) -> Result<Response, Refusal> {
        let catalog = self.process.registry.catalog();
        let item = Item::find(&catalog, kind, name);
        let item = item.ok_or_else(|| Refusal::new(kind, name, Error::NotFound))?;
        let tag = format!("\"{}\"", item.generation);
        Ok(Response::json(&item).with_unique_header("ETag", tag))
    }

    fn watch(&self, after: Revision, wait: Duration) -> Result<Response, Refusal> {
        let busy = Refusal::Busy {
            retry_after: BUSY_RETRY_AFTER,
        };
        let _permit = self.watches.try_acquire().ok_or(busy)?;
        let registry = &self.process.registry;
        registry.wait_for_newer(after, wait);
        Ok(Response::json(&Changes::new(
            &registry.changes_since(after),
        )))
    }
}

fn health(is_stopping: bool) -> Response {
    if is_stopping {
        return Response::json(&json!({"state": "stopping"})).with_status_code(503);
    }
    Response::json(&json!({"state": "serving"}))
}

/// Reads the body of a request as UTF-8.
fn read_body(request: &Request) -> Result<String, Refusal> {
    let mut text = String::new();
    let data = request.data();
    let mut data =
        data.ok_or_else(|| Refusal::Malformed("the body was read before".to_string()))?;
    let read = data.read_to_string(&mut text);
    read.map_err(|_| Refusal::Malformed("the body is not UTF-8".to_string()))?;
    Ok(text)
}

fn convert_request(request: http::Request) -> Request {
    let text = |value: &HeaderValue| String::from_utf8_lossy(value.as_bytes()).into_owned();
    let headers = request.headers.iter();
    let headers = headers.map(|(name, value)| (name.to_string(), text(value)));
    let url = format!("{}?{}", request.path, request.query);
    Request::fake_http(request.method, url, headers.collect(), request.body)
}

fn convert_response(response: Response) -> http::Response {
    let mut body = Vec::new();
    let (mut data, _) = response.data.into_reader_and_size();
    if let Err(error) = data.read_to_end(&mut body) {
        log::error!("operator: failed to read the body of a response: {error}");
    }
    let headers = response.headers.into_iter();
    let headers = headers.map(|(name, value)| (name, value.into_owned()));
    http::Response {
        status: response.status_code,
        headers: headers.collect(),
        body,
    }
}
