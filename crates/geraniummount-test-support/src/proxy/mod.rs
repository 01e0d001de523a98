//! Provides a fault-injecting proxy for TCP and UDP on one port, in front of one listener.
//!
//! The proxy identifies the sender by its source IP address. One proxy in front of a VM therefore
//! emulates all links to that VM, each with its own faults.
//!
//! - TCP bytes pass in both directions through a queue that delays, holds or discards them. A cut
//!   holds bytes and delivers them once it is healed, because a real sender retransmits them.
//! - UDP datagrams pass only towards the listener, because datagrams carry the address of their
//!   sender and the listener replies to that address directly. A cut or a loss drops them.

mod tcp;
mod udp;

use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::monitor::Monitor;

/// Limit on attempts to find a port that is free for both TCP and UDP.
const MAX_BIND_ATTEMPTS: u32 = 100;

/// A running proxy; dropping it closes all its connections and joins its threads.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    state: Arc<Monitor<State>>,
    threads: Vec<JoinHandle<()>>,
}

/// The properties of the link from one source to the listener.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// Delay of every byte and datagram, in each direction.
    pub delay: Duration,
    /// Upper bound of a random time added to the delay, uniformly distributed from zero.
    pub jitter: Duration,
    /// Probability, from 0 to 1, that a datagram is dropped or that a TCP chunk is late.
    pub loss: f64,
    /// Additional delay of a lost TCP chunk, in place of its retransmission.
    pub retransmission_delay: Duration,
    /// Whether data passes from the source to the listener.
    pub forward: Flow,
    /// Whether data passes from the listener back to the source.
    pub back: Flow,
    /// Whether new TCP connections are closed immediately.
    pub refuse: bool,
}

/// Whether one direction of a link passes data.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Flow {
    /// Data passes.
    #[default]
    Open,
    /// No data passes.
    Cut,
}

impl Link {
    /// Returns a link with a delay and no faults.
    pub fn delayed(delay: Duration) -> Link {
        Link {
            delay,
            ..Link::default()
        }
    }
}

/// The state that all threads of a proxy share.
#[derive(Debug)]
struct State {
    /// Link of each source without an entry in `links`.
    default_link: Link,
    /// Links by source, sorted by address.
    links: Vec<(IpAddr, Link)>,
    rng: StdRng,
    is_closed: bool,
    /// Connections that are open.
    connections: Vec<Connection>,
    /// Connections to the listener so far, in order.
    origins: Vec<Origin>,
}

/// The client of a connection from the proxy to the listener.
#[derive(Clone, Copy, Debug)]
struct Origin {
    /// Address that the listener sees.
    local: SocketAddr,
    /// IP address of the client.
    source: IpAddr,
    /// When the connection was opened; a later one may have the same address.
    opened_at: Instant,
}

/// A connection through a proxy.
#[derive(Debug)]
struct Connection {
    /// IP address of the client.
    source: IpAddr,
    /// The streams to the client and to the listener.
    streams: [TcpStream; 2],
    /// Whether all further bytes are discarded in both directions.
    is_blackholed: Arc<AtomicBool>,
}

impl State {
    fn link(&self, source: IpAddr) -> Link {
        let found = self.links.binary_search_by_key(&source, |(ip, _)| *ip);
        found.map_or(self.default_link, |index| self.links[index].1)
    }

    /// Returns the link of a source; adds a copy of the default link if it has none.
    fn link_mut(&mut self, source: IpAddr) -> &mut Link {
        let default_link = self.default_link;
        let found = self.links.binary_search_by_key(&source, |(ip, _)| *ip);
        let index = found.unwrap_or_else(|index| {
            self.links.insert(index, (source, default_link));
            index
        });
        &mut self.links[index].1
    }

    fn is_lost(&mut self, link: &Link) -> bool {
        self.rng.random_bool(link.loss)
    }

    fn draw_delay(&mut self, link: &Link) -> Duration {
        link.delay + link.jitter.mul_f64(self.rng.random())
    }
}

impl Proxy {
    /// Starts a proxy on a free port of `ip` in front of the listener at `upstream`.
    pub fn start(ip: impl Into<IpAddr>, upstream: SocketAddr, seed: u64) -> io::Result<Proxy> {
        let (listener, socket) = bind(ip.into())?;
        let address = listener.local_addr()?;
        let state = Arc::new(Monitor::new(State {
            default_link: Link::default(),
            links: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            is_closed: false,
            connections: Vec::new(),
            origins: Vec::new(),
        }));
        let accepting = Arc::clone(&state);
        let receiving = Arc::clone(&state);
        let threads = vec![
            std::thread::spawn(move || tcp::accept(&listener, upstream, &accepting)),
            std::thread::spawn(move || udp::forward(&socket, upstream, &receiving)),
        ];
        Ok(Proxy {
            address,
            state,
            threads,
        })
    }

    /// Returns the address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the link from one source. A source without a link of its own starts with a copy
    /// of the default link.
    pub fn change(&self, source: IpAddr, change: impl FnOnce(&mut Link)) {
        self.state.update(|state| change(state.link_mut(source)));
    }

    /// Changes the links from all sources, including sources that connect later.
    pub fn change_all(&self, change: impl Fn(&mut Link)) {
        self.state.update(|state| {
            change(&mut state.default_link);
            for (_, link) in &mut state.links {
                change(link);
            }
        });
    }

    /// Discards all further bytes of the connections that are open now, in both directions.
    ///
    /// The connections stay open, hence neither end is notified. New connections work.
    pub fn blackhole_connections(&self) {
        for connection in &self.state.lock().connections {
            connection.is_blackholed.store(true, Ordering::Relaxed);
        }
    }

    /// Closes the connections that are open now, in both directions.
    pub fn close_connections(&self) {
        for connection in self.state.lock().connections.drain(..) {
            connection.close();
        }
    }

    /// Closes the connections from one source that are open now, in both directions.
    pub fn close_connections_from(&self, source: IpAddr) {
        let connections = &mut self.state.lock().connections;
        for connection in connections.extract_if(.., |connection| connection.source == source) {
            connection.close();
        }
    }

    /// Returns the IP address of the client whose connection the listener sees as one from `local`
    /// at the time `at`.
    pub fn source_of(&self, local: SocketAddr, at: Instant) -> Option<IpAddr> {
        let state = self.state.lock();
        let mut origins = state.origins.iter().rev();
        let found = origins.find(|origin| origin.local == local && origin.opened_at <= at);
        found.map(|origin| origin.source)
    }

    /// Returns the number of connections that are open now.
    pub fn open_connections(&self) -> usize {
        self.state.lock().connections.len()
    }
}

impl Connection {
    fn close(&self) {
        for stream in &self.streams {
            // This fails only when the connection is already closed.
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.state.update(|state| state.is_closed = true);
        self.close_connections();
        // Unblocks the accepting thread, which then finds that the proxy is closed.
        drop(TcpStream::connect(self.address));
        for thread in self.threads.drain(..) {
            thread.join().expect("a proxy thread panicked");
        }
    }
}

/// Binds a TCP listener and a UDP socket to the same free port.
fn bind(ip: IpAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut last = io::Error::other("no attempt was made to bind a port");
    for _ in 0..MAX_BIND_ATTEMPTS {
        let listener = TcpListener::bind((ip, 0))?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) => last = error,
        }
    }
    Err(last)
}

/// Finds `N` different ports of `ip` that are free for both TCP and UDP.
///
/// The ports are released on return; another process can take one before the caller binds it.
pub(crate) fn free_ports<const N: usize>(ip: IpAddr) -> io::Result<[SocketAddr; N]> {
    let mut addresses = [SocketAddr::new(ip, 0); N];
    // The sockets stay bound until all ports are found, otherwise a port could be returned twice.
    let mut held = Vec::new();
    for address in &mut addresses {
        let (listener, socket) = bind(ip)?;
        *address = listener.local_addr()?;
        held.push((listener, socket));
    }
    Ok(addresses)
}
