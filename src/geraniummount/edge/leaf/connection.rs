//! One HTTP connection to a leaf.
//!
//! Each connection has an agent of its own, so that no other request can use
//! it, and a transport that tells when bytes leave: a request whose bytes never left is known
//! to be not run. The library sends each request once, on an idle connection
//! that it finds open or on a new one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use ureq::Agent;
use ureq::config::Config;

use super::transport::TcpConnector;
use crate::util::fixed::Fixed;

const MAX_IDLE_AGE: Duration = Duration::from_secs(3600);
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Buffers of a connection, of which a VM holds thousands.
const BUFFER_BYTES: usize = 16 * 1024;

/// A connection; opened by its first request.
#[derive(Debug)]
pub struct Connection {
    pub(super) agent: Agent,
    pub(super) address: SocketAddr,
    sent: Arc<AtomicBool>,
    /// When it last carried a whole reply, or was made.
    pub(super) verified_at: Instant,
}

impl Connection {
    /// Makes a connection that opens with its first request.
    pub fn new(address: SocketAddr, connect_timeout: Duration, now: Instant) -> Connection {
        let config = Config::builder()
            .http_status_as_error(false)
            .input_buffer_size(BUFFER_BYTES)
            .output_buffer_size(BUFFER_BYTES)
            .max_idle_age(MAX_IDLE_AGE)
            .max_idle_connections(1)
            .max_idle_connections_per_host(1)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .max_response_header_size(MAX_HEADER_BYTES)
            .proxy(None)
            .timeout_connect(Some(connect_timeout))
            .user_agent("geraniummount")
            .build();
        let sent = Arc::new(AtomicBool::new(false));
        let connector = TcpConnector {
            sent: Arc::clone(&sent),
        };
        Connection {
            agent: Agent::with_parts(config, connector, Fixed(address)),
            address,
            sent,
            verified_at: now,
        }
    }

    /// Forgets what earlier requests sent.
    pub(super) fn reset_sent(&self) {
        self.sent.store(false, Ordering::Release);
    }

    /// Returns whether bytes may have left since [`Connection::reset_sent`].
    pub(super) fn has_sent(&self) -> bool {
        self.sent.load(Ordering::Acquire)
    }
}
