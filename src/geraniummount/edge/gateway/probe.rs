//! Serves metrics for operators and readiness probes of the platform, which the users run and which
//! directs callers to VMs that are ready.

use std::time::Instant;

use log::debug;
use mio::Interest;

use super::Gateway;
use super::socket::{ReadStatus, Socket};
use super::token::EventSource;
use crate::core::memory_account::Holder;
use crate::platform;
use crate::util::h1::{self, Parsed, Request};

/// Maximum number of open connections for readiness and metrics together.
const MAX_PROBES: usize = 64;

/// Number of bytes after which an incomplete request is malformed.
const MAX_REQUEST_BYTES: usize = 16 * 1024;

/// Bytes of answers that a client may leave unread before its connection is closed.
const MAX_UNREAD_BYTES: usize = 1024 * 1024;

/// A connection over which readiness or metrics are requested.
#[derive(Debug)]
pub(super) struct Probe {
    socket: Socket,
    /// When a request was last answered, or when the connection was accepted.
    active_at: Instant,
}

impl Gateway {
    pub(super) fn accept_probes(&mut self) {
        let metrics = self.metrics_listener.as_ref();
        let listeners = [Some(&self.ready_listener), metrics];
        let mut accepted = Vec::new();
        for listener in listeners.into_iter().flatten() {
            while let Ok((stream, _)) = listener.accept() {
                accepted.push(stream);
            }
        }
        for stream in accepted {
            self.add_probe(stream);
        }
    }

    fn add_probe(&mut self, stream: mio::net::TcpStream) {
        if self.probes.len() >= MAX_PROBES {
            let oldest = self.probes.iter().min_by_key(|(_, probe)| probe.active_at);
            if let Some(oldest) = oldest.map(|(key, _)| key) {
                debug!("probe outcome=closed open={MAX_PROBES}");
                self.probes.remove(oldest);
            }
        }
        let share = || self.account.share(Holder::Probes);
        let mut socket = Socket::new(stream, share(), share());
        let entry = self.probes.vacant_entry();
        let key = entry.key();
        let interest = Interest::READABLE | Interest::WRITABLE;
        let token = EventSource::Probe(key).token();
        if let Err(error) = self
            .poll
            .registry()
            .register(&mut socket.stream, token, interest)
        {
            return self.log_accept_failure("probes", &error);
        }
        entry.insert(Probe {
            socket,
            active_at: self.now,
        });
        self.serve_probe(key);
    }

    /// Reads and answers all buffered requests, and closes the connection if the client has closed
    /// it or it is broken.
    pub(super) fn serve_probe(&mut self, key: usize) {
        let Some(probe) = self.probes.get_mut(key) else {
            return;
        };
        let status = probe.socket.read(&mut self.read_buf, true);
        loop {
            let probe = &mut self.probes[key];
            let (request, length) = match Request::parse(&probe.socket.input) {
                Ok(Parsed::Complete(request, length)) => (request, length),
                Ok(Parsed::Partial) if probe.socket.input.len() <= MAX_REQUEST_BYTES => break,
                Ok(Parsed::Partial) | Err(_) => {
                    self.probes.remove(key);
                    return;
                }
            };
            probe.socket.input.drain(..length);
            let answer = self.probe_response(&request);
            let probe = &mut self.probes[key];
            probe.active_at = self.now;
            probe.socket.queue(&answer);
            if probe.socket.pending_output() > MAX_UNREAD_BYTES {
                self.probes.remove(key);
                return;
            }
        }
        let probe = &mut self.probes[key];
        if probe.socket.flush().is_err() || status != ReadStatus::Open {
            self.probes.remove(key);
        }
    }

    fn probe_response(&self, request: &Request) -> Vec<u8> {
        let (status, body) = match request.path() {
            platform::READY_PATH if self.is_ready() => (200, b"ready\n".to_vec()),
            platform::READY_PATH => (503, b"not ready\n".to_vec()),
            "/metrics" => {
                self.measure_key_age();
                self.count_cold_leaves();
                self.measure_memory();
                (200, self.metrics.encode())
            }
            _ => (404, b"unknown path; ask for /metrics\n".to_vec()),
        };
        let mut answer = Vec::with_capacity(128 + body.len());
        h1::write_status_line(&mut answer, status);
        h1::write_number_field(&mut answer, "Content-Length", body.len() as u64);
        h1::write_head_end(&mut answer);
        answer.extend_from_slice(&body);
        answer
    }
}
