//! HTTP connection to a leaf.
//!
//! Each connection has its own `ureq` agent, which keeps other requests from using it. Its
//! transport records when bytes may have been sent: a request of which no byte was sent is known
//! not to have run. `ureq` sends each request once, on the idle connection if that is still open,
//! and otherwise on a new one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ureq::Agent;
use ureq::config::Config;

use super::traffic::Traffic;
use super::transport::TcpConnector;
use crate::util::fixed_resolver::FixedResolver;

/// Idle time after which `ureq` closes a connection; the pool of connections closes it earlier.
const MAX_IDLE_AGE: Duration = Duration::from_secs(3600);

/// Maximum size of the head of a reply.
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Size of the input and output buffers, which are small because a VM holds thousands of
/// connections.
const BUFFER_BYTES: usize = 16 * 1024;

/// A connection that is opened by its first request.
#[derive(Debug)]
pub struct Connection {
    pub(super) agent: Agent,
    pub(super) address: SocketAddr,
    /// Bytes of the current exchange, recorded by the transport.
    traffic: Arc<Traffic>,
    /// Time at which the connection last carried a complete reply, or at which it was created.
    pub(super) verified_at: Instant,
}

impl Connection {
    /// Creates a connection that is opened by its first request.
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
        let traffic: Arc<Traffic> = Arc::default();
        let connector = TcpConnector {
            traffic: Arc::clone(&traffic),
        };
        Connection {
            agent: Agent::with_parts(config, connector, FixedResolver(address)),
            address,
            traffic,
            verified_at: now,
        }
    }

    /// Begins an exchange whose reply has a body of at most `max_body_bytes`. Called before each
    /// request.
    pub(super) fn begin_exchange(&self, max_body_bytes: u64) {
        self.traffic.reset(max_body_bytes);
    }

    /// Returns whether bytes may have been sent since [`Connection::begin_exchange`].
    pub(super) fn has_sent(&self) -> bool {
        self.traffic.has_sent()
    }
}
