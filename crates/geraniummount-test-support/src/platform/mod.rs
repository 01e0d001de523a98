//! Stand-in for the platform's key-value service and membership list.
//!
//! The wire format is in `docs/PLATFORM_API.md`. One thread accepts, one
//! serves each connection, all state stands behind one [`Monitor`]. Calls are
//! counted by kind, as the real service counts them, and can be limited,
//! slowed, refused, or lose their reply after the write took effect.

mod server;
mod store;
pub mod users;

use std::io;
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::monitor::Monitor;

/// A running stand-in platform; dropping it closes it.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    state: Arc<Monitor<State>>,
    accepting: Option<JoinHandle<()>>,
}

/// Faults and limits; changeable while it runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Behaviour {
    /// What becomes of every call.
    pub outage: Outage,
    /// Added to every call, before it takes effect.
    pub slowness: Duration,
    /// Writes a second above which it answers 429.
    pub writes_per_second: Option<u32>,
    /// Reads a second above which it answers 429; a watch counts as one.
    pub reads_per_second: Option<u32>,
    /// Next writes that take effect and lose their reply.
    pub lost_replies: u32,
}

/// How the platform is out.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Outage {
    /// It is not.
    #[default]
    None,
    /// Answers 503 and does nothing.
    Refuse,
    /// Does nothing and leaves the connection open.
    Silence,
}

/// Calls so far, with the refused ones.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Calls {
    /// PUT and DELETE of values.
    pub writes: u64,
    /// GET of values without a watch.
    pub reads: u64,
    /// GET with a watch, of values and members.
    pub watches: u64,
    /// Calls about leases.
    pub leases: u64,
    /// GET of members without a watch.
    pub members: u64,
    /// Calls of all kinds answered with 429.
    pub limited: u64,
}

/// A VM in the membership list.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Member {
    /// Name.
    pub name: String,
    /// Peer address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// `live` or `leaving`.
    pub state: MemberState,
}

/// State of a VM in the membership list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Runs.
    Live,
    /// Is being stopped.
    Leaving,
}

/// Everything that the platform's threads share.
#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    calls: Calls,
    store: store::Store,
    members: Vec<Member>,
    members_version: u64,
    window: Window,
    closed: bool,
    streams: Vec<TcpStream>,
}

/// Calls in the current second, for the limits.
#[derive(Debug, Default)]
struct Window {
    began: Option<Instant>,
    writes: u32,
    reads: u32,
}

impl Platform {
    /// Starts a platform on a free port of 127.0.0.1.
    pub fn start() -> io::Result<Platform> {
        Platform::start_on(Ipv4Addr::LOCALHOST)
    }

    /// Starts a platform on a free port of an address.
    pub fn start_on(ip: impl Into<IpAddr>) -> io::Result<Platform> {
        let listener = TcpListener::bind((ip.into(), 0))?;
        let address = listener.local_addr()?;
        let state = Arc::new(Monitor::new(State::default()));
        let shared = Arc::clone(&state);
        let accepting = std::thread::spawn(move || server::accept(&listener, &shared));
        Ok(Platform {
            address,
            state,
            accepting: Some(accepting),
        })
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes faults and limits.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        self.state.update(|state| change(&mut state.behaviour));
    }

    /// Returns the calls so far.
    pub fn calls(&self) -> Calls {
        self.state.lock().calls
    }

    /// Replaces the membership list.
    pub fn set_members(&self, members: impl Into<Vec<Member>>) {
        self.state.update(|state| {
            state.members = members.into();
            state.members_version += 1;
        });
    }

    /// Returns a value and its version.
    pub fn value(&self, key: &str) -> Option<(u64, Vec<u8>)> {
        let state = self.state.lock();
        let (version, value) = state.store.get(key);
        value.map(|value| (version, value.to_vec()))
    }

    /// Returns the keys that exist, ascending.
    pub fn keys(&self) -> Vec<String> {
        self.state.lock().store.keys()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let streams = self.state.update(|state| {
            state.closed = true;
            std::mem::take(&mut state.streams)
        });
        for stream in streams {
            // A connection that is closed already needs no shutdown.
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the accepting thread, which then sees the end.
        drop(TcpStream::connect(self.address));
        if let Some(accepting) = self.accepting.take() {
            accepting.join().expect("accepting thread panicked");
        }
    }
}
