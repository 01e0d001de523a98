//! Fault-injecting proxy for TCP and UDP on one port, in front of one listener.
//!
//! The sender is known by its source address, so that one proxy in front of a
//! VM stands for all links that lead to it. TCP flows both ways through a
//! queue that delays, holds and discards; a cut holds bytes, as the sender
//! would send them again, and delivers them when it is healed. UDP flows
//! towards the listener only, as datagrams carry their sender's address, and a
//! cut or a loss drops them.

mod tcp;
mod udp;

use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::monitor::Monitor;

/// Tries to find a port that is free for TCP and UDP.
const MAX_BIND_ATTEMPTS: u32 = 100;

/// A running proxy; dropping it closes all connections through it.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    state: Arc<Monitor<State>>,
    threads: Vec<JoinHandle<()>>,
}

/// A link to the listener, from one source.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// Time that every byte and datagram takes, each way.
    pub delay: Duration,
    /// Added to the delay: even between zero and this.
    pub jitter: Duration,
    /// Share of datagrams that are dropped, and of TCP writes that come late.
    pub loss: f64,
    /// How much later a lost TCP write comes.
    pub retransmission_delay: Duration,
    /// Whether anything gets to the listener.
    pub forward: Flow,
    /// Whether anything comes back.
    pub back: Flow,
    /// Closes new TCP connections at once.
    pub refuse: bool,
}

/// Whether one direction of a link works.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Flow {
    /// It does.
    #[default]
    Open,
    /// It does not.
    Cut,
}

impl Link {
    /// A link with a delay and nothing else.
    pub fn delayed(delay: Duration) -> Link {
        Link {
            delay,
            ..Link::default()
        }
    }
}

/// What all threads of a proxy share.
#[derive(Debug)]
struct State {
    /// Link for sources that are not listed.
    default_link: Link,
    /// Links by source.
    links: Vec<(IpAddr, Link)>,
    rng: StdRng,
    closed: bool,
    connections: Vec<Connection>,
}

/// A connection through a proxy.
#[derive(Debug)]
struct Connection {
    streams: [TcpStream; 2],
    is_blackholed: Arc<AtomicBool>,
}

impl State {
    fn link(&self, source: IpAddr) -> Link {
        let found = self.links.binary_search_by_key(&source, |(ip, _)| *ip);
        found.map_or(self.default_link, |index| self.links[index].1)
    }

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
    /// Starts a proxy on a free port of `ip` in front of `upstream`.
    pub fn start(ip: impl Into<IpAddr>, upstream: SocketAddr, seed: u64) -> io::Result<Proxy> {
        let (listener, socket) = bind(ip.into())?;
        let address = listener.local_addr()?;
        let state = Arc::new(Monitor::new(State {
            default_link: Link::default(),
            links: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            closed: false,
            connections: Vec::new(),
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

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the link from one source; it starts as the one of the others.
    pub fn change(&self, source: IpAddr, change: impl FnOnce(&mut Link)) {
        self.state.update(|state| change(state.link_mut(source)));
    }

    /// Changes the links from every source, also the ones not seen yet.
    pub fn change_all(&self, change: impl Fn(&mut Link)) {
        self.state.update(|state| {
            change(&mut state.default_link);
            for (_, link) in &mut state.links {
                change(link);
            }
        });
    }

    /// Silences the connections that are open now, for good and both ways;
    /// neither end learns of it, and new connections work.
    pub fn blackhole_connections(&self) {
        for connection in &self.state.lock().connections {
            connection.is_blackholed.store(true, Ordering::Relaxed);
        }
    }

    /// Breaks the connections that are open now.
    pub fn close_connections(&self) {
        for connection in self.state.lock().connections.drain(..) {
            connection.close();
        }
    }

    /// Returns how many connections are open now.
    pub fn open_connections(&self) -> usize {
        self.state.lock().connections.len()
    }
}

impl Connection {
    fn close(&self) {
        for stream in &self.streams {
            // A connection that is closed already needs no shutdown.
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.state.update(|state| state.closed = true);
        self.close_connections();
        // Wakes the accepting thread, which then sees the end.
        drop(TcpStream::connect(self.address));
        for thread in self.threads.drain(..) {
            thread.join().expect("proxy thread panicked");
        }
    }
}

/// Binds a TCP listener and a UDP socket to one free port.
fn bind(ip: IpAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut last = io::Error::other("no port was tried");
    for _ in 0..MAX_BIND_ATTEMPTS {
        let listener = TcpListener::bind((ip, 0))?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) => last = error,
        }
    }
    Err(last)
}

/// Finds ports of `ip` that are free for TCP and UDP, all different.
pub(crate) fn free_ports<const N: usize>(ip: IpAddr) -> io::Result<[SocketAddr; N]> {
    let mut addresses = [SocketAddr::new(ip, 0); N];
    // Held until all are found, so that no port comes twice.
    let mut held = Vec::new();
    for address in &mut addresses {
        let (listener, socket) = bind(ip)?;
        *address = listener.local_addr()?;
        held.push((listener, socket));
    }
    Ok(addresses)
}
