//! Further address of the stand-in store, which may turn away whoever uses it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::query::Query;
use super::server::Server;
use crate::http::{Request, Response};
use crate::monitor::Monitor;

/// Further address of a [`Store`](super::Store), closed when it is dropped.
#[derive(Debug)]
pub struct Entrance {
    state: Arc<Monitor<State>>,
    server: Server,
}

#[derive(Debug, Default)]
struct State {
    /// Status with which all calls fail; `None` if the store answers them.
    error_status: Option<u16>,
    /// Time for which each answer is held back.
    delay: Duration,
    /// Prefixes of the range reads that were turned away and had to be current.
    refused: Vec<String>,
}

impl Entrance {
    pub(super) fn start(
        answer: impl Fn(&Request) -> Response + Clone + Send + 'static,
    ) -> Entrance {
        let state: Arc<Monitor<State>> = Arc::default();
        let shared = Arc::clone(&state);
        let server = Server::start(move |mut connection| {
            while let Ok(Some(request)) = connection.read() {
                let (status, delay) = shared.update(|state| state.record(&request));
                std::thread::sleep(delay);
                let response = status.map_or_else(|| answer(&request), Response::empty);
                if connection.write(&response).is_err() {
                    return;
                }
            }
        });
        Entrance { state, server }
    }

    /// Returns the address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the status with which all calls fail, and closes all connections; `None` ends the
    /// outage.
    pub fn set_error_status(&self, error_status: Option<u16>) {
        self.state.update(|state| state.error_status = error_status);
        self.server.disconnect_all();
    }

    /// Sets the time for which each answer is held back.
    pub fn set_delay(&self, delay: Duration) {
        self.state.update(|state| state.delay = delay);
    }

    /// Returns the number of reads of the ranges of a prefix so far that were turned away and had
    /// to be current.
    pub fn refused_reads_of(&self, prefix: &str) -> u64 {
        let state = self.state.lock();
        state.refused.iter().filter(|read| *read == prefix).count() as u64
    }
}

impl State {
    /// Records a call; returns the status with which it fails, and the time until its answer.
    fn record(&mut self, request: &Request) -> (Option<u16>, Duration) {
        let is_range = request.path() == "/api/kv-range";
        let current = Query::of(request).filter(Query::is_current);
        if let Some(query) = current.filter(|_| self.error_status.is_some() && is_range) {
            self.refused.push(query.text("prefix").to_string());
        }
        (self.error_status, self.delay)
    }
}
