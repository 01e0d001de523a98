//! The operators' listener.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Sender, TryRecvError, channel};
use std::thread::JoinHandle;
use std::time::Duration;

use rouille::{Request, Response};
use serde::Serialize;
use serde_json::json;

use super::route::Route;
use super::watches::Watches;
use crate::edge::metrics::Metrics;
use crate::edge::operator::{Backend, Refusal};

const WORKERS: usize = 16;

/// Watches that may wait at once; the other workers stay free for changes.
const MAX_WATCHES: usize = 8;

/// Longest body of a change.
const MAX_BODY_BYTES: usize = 1 << 20;

/// How often the listener looks whether it is to stop.
const POLL_PERIOD: Duration = Duration::from_millis(100);

const BUSY_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Running listener; dropping it stops it.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// What every request needs.
struct Context<B> {
    backend: B,
    metrics: Metrics,
    watches: Watches,
}

impl Server {
    /// Listens on `listen`; port 0 takes any free port.
    pub fn start(
        listen: SocketAddr,
        backend: impl Backend,
        metrics: Metrics,
    ) -> Result<Server, Box<dyn std::error::Error + Send + Sync>> {
        let context = Arc::new(Context {
            backend,
            metrics,
            watches: Watches::new(MAX_WATCHES),
        });
        let server = rouille::Server::new(listen, move |request| context.answer(request))?;
        let server = server.pool_size(WORKERS);
        let address = server.server_addr();
        let (stop, stopped) = channel();
        let thread = std::thread::Builder::new().name("operator".to_string());
        let thread = thread.spawn(move || {
            while stopped.try_recv() == Err(TryRecvError::Empty) {
                server.poll_timeout(POLL_PERIOD);
            }
        })?;
        log::info!("operator: listening on {address}");
        Ok(Server {
            address,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("operator: the listener's thread panicked");
        }
    }
}

impl<B: Backend> Context<B> {
    fn answer(&self, request: &Request) -> Response {
        let answer = Route::read(request).and_then(|route| self.carry_out(route, request));
        answer.unwrap_or_else(|refusal| {
            let (method, url) = (request.method(), request.url());
            log::info!("operator: {method} {url} refused: {refusal:?}");
            refusal.response()
        })
    }

    fn carry_out(&self, route: Route, request: &Request) -> Result<Response, Refusal> {
        let backend = &self.backend;
        match route {
            Route::List(kind) => Ok(Response::json(&backend.list(kind))),
            Route::Get(kind, name) => {
                let entry = backend.get(kind, &name)?;
                Ok(Response::json(&entry)
                    .with_unique_header("ETag", format!("\"{}\"", entry.generation)))
            }
            Route::Put(kind, name, if_match) => {
                let spec = body(request)?;
                json_of(backend.put(kind, &name, &spec, if_match))
            }
            Route::Delete(kind, name, if_match) => json_of(backend.delete(kind, &name, if_match)),
            Route::Watch(after, wait) => {
                let busy = Refusal::Busy {
                    retry_after: BUSY_RETRY_AFTER,
                };
                let _place = self.watches.enter().ok_or(busy)?;
                Ok(Response::json(&backend.wait_for(after, wait)))
            }
            Route::Status => Ok(Response::json(&backend.status())),
            Route::State => Ok(Response::json(&backend.state())),
            Route::Metrics => {
                let text = self.metrics.text();
                Ok(Response::from_data("text/plain; version=0.0.4", text))
            }
            Route::Health => Ok(health(backend.is_stopping())),
        }
    }
}

fn json_of(answer: Result<impl Serialize, Refusal>) -> Result<Response, Refusal> {
    answer.map(|answer| Response::json(&answer))
}

fn health(stopping: bool) -> Response {
    if stopping {
        return Response::json(&json!({"state": "stopping"})).with_status_code(503);
    }
    Response::json(&json!({"state": "serving"}))
}

/// Reads the body, up to the limit.
fn body(request: &Request) -> Result<String, Refusal> {
    let limit = MAX_BODY_BYTES;
    let mut bytes = Vec::new();
    let data = request.data();
    let data = data.ok_or_else(|| Refusal::Malformed("the body was read before".to_string()))?;
    let read = data.take(limit as u64 + 1).read_to_end(&mut bytes);
    read.map_err(|cause| Refusal::Malformed(format!("the body can't be read: {cause}")))?;
    if bytes.len() > limit {
        return Err(Refusal::TooLarge { limit });
    }
    String::from_utf8(bytes).map_err(|_| Refusal::Malformed("the body is not UTF-8".to_string()))
}
