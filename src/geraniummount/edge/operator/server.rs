//! The operators' listener.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Sender, TryRecvError, channel};
use std::thread::JoinHandle;
use std::time::Duration;

use rouille::{Request, Response};
use serde_json::json;

use super::listing::{Changes, Item, Listing};
use super::process::Process;
use super::refusal::Refusal;
use super::route::Route;
use super::watches::Watches;
use crate::core::resource::Kind;
use crate::prelude::*;

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
struct Context {
    process: Process,
    watches: Watches,
}

impl Server {
    /// Listens on `listen`; port 0 takes any free port.
    pub fn start(
        listen: SocketAddr,
        process: Process,
    ) -> Result<Server, Box<dyn std::error::Error + Send + Sync>> {
        let context = Arc::new(Context {
            process,
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

impl Context {
    fn answer(&self, request: &Request) -> Response {
        let answer = Route::read(request).and_then(|route| self.carry_out(route, request));
        answer.unwrap_or_else(|refusal| {
            let (method, url) = (request.method(), request.url());
            log::info!("operator: {method} {url} refused: {refusal}");
            refusal.response()
        })
    }

    fn carry_out(&self, route: Route, request: &Request) -> Result<Response, Refusal> {
        let process = &self.process;
        let registry = &process.registry;
        match route {
            Route::List(kind) => Ok(self.list(kind)),
            Route::Get(kind, name) => self.get(kind, &name),
            Route::Put(kind, name, if_match) => {
                let accepted = registry.put(kind, &name, &body(request)?, if_match);
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
                process.metrics.leaves((process.loads)());
                let text = process.metrics.text();
                Ok(Response::from_data("text/plain; version=0.0.4", text))
            }
            Route::Health => Ok(health((process.is_stopping)())),
        }
    }

    fn list(&self, kind: Kind) -> Response {
        let registry = &self.process.registry;
        // The revision is read first, so that a watch from it misses nothing.
        let revision = registry.catalog().revision;
        let items = registry.list(kind).iter().map(Item::new).collect();
        Response::json(&Listing { revision, items })
    }

    fn get(&self, kind: Kind, name: &str) -> Result<Response, Refusal> {
        let record = self.process.registry.get(kind, name);
        let item = Item::new(&record.map_err(|error| Refusal::new(kind, name, error))?);
        let tag = format!("\"{}\"", item.generation);
        Ok(Response::json(&item).with_unique_header("ETag", tag))
    }

    fn watch(&self, after: Revision, wait: Duration) -> Result<Response, Refusal> {
        let busy = Refusal::Busy {
            retry_after: BUSY_RETRY_AFTER,
        };
        let _place = self.watches.enter().ok_or(busy)?;
        let registry = &self.process.registry;
        registry.wait_for(after, wait);
        Ok(Response::json(&Changes::new(
            &registry.changes_since(after),
        )))
    }
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
