//! Stand-in for the platform: its key-value service and its membership list (of all processes, VMs
//! and leaves).
//!
//! `docs/PLATFORM_API.md` describes the wire format. One thread accepts connections and a thread
//! of its own serves each of them; one [`Monitor`] guards all state. Calls are counted by kind, as
//! the real service counts them. Tests can limit their rate, delay them, reject them, or drop the
//! reply to a write that has taken effect.
//!
//! A watch is a read that the platform holds until the value or the membership list changes. A
//! lease deletes the keys that were written with it when it expires.

mod server;
mod store;
pub mod users;

use std::io;
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::monitor::Monitor;

/// A running stand-in platform, stopped when it is dropped.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    state: Arc<Monitor<State>>,
    accept_thread: Option<JoinHandle<()>>,
}

/// Faults and limits, which tests change while the platform runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Behaviour {
    /// Outage that affects every call.
    pub outage: Outage,
    /// Delay before each call takes effect.
    pub call_delay: Duration,
    /// Maximum number of writes and lease calls per second; further ones get 429.
    pub writes_per_second: Option<u32>,
    /// Maximum number of reads per second, where a watch or a read of the membership list counts as
    /// one; further ones get 429.
    pub reads_per_second: Option<u32>,
    /// Number of next writes that take effect but whose reply is lost.
    pub lost_replies: u32,
}

/// Kind of outage of the platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Rejects every call with 503; no call takes effect.
    Reject,
    /// Never replies and leaves the connection open; no call takes effect.
    Unresponsive,
}

/// Number of calls so far, including rejected ones.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Calls {
    /// PUT and DELETE of a value.
    pub writes: u64,
    /// GET of a value without a watch.
    pub reads: u64,
    /// GET of a value or of the members, with a watch.
    pub watches: u64,
    /// Calls that grant, renew or revoke a lease.
    pub leases: u64,
    /// GET of the members without a watch.
    pub members: u64,
    /// Calls of any kind rejected with 429.
    pub rate_limited: u64,
}

/// A VM in the membership list.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Member {
    /// Name of the VM.
    pub name: String,
    /// Address that its peers connect to.
    pub address: SocketAddr,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// `live` or `leaving`.
    pub state: MemberState,
}

/// State of a VM in the membership list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The VM runs.
    Live,
    /// The VM is being stopped.
    Leaving,
}

/// State that the threads of the platform share.
#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    calls: Calls,
    store: store::Store,
    members: Vec<Member>,
    /// Entries of the membership list that another writer has written.
    odd_members: Vec<serde_json::Value>,
    /// Number of changes of the membership list so far.
    members_version: u64,
    window: Window,
    closed: bool,
    /// Clones of the sockets of the open connections.
    streams: Vec<TcpStream>,
}

/// Calls in the current one-second window, for the rate limits.
#[derive(Debug, Default)]
struct Window {
    started: Option<Instant>,
    writes: u32,
    reads: u32,
}

impl Platform {
    /// Starts a platform on a free port of 127.0.0.1.
    pub fn start() -> io::Result<Platform> {
        Platform::start_on(Ipv4Addr::LOCALHOST)
    }

    /// Starts a platform on a free port of the given address.
    pub fn start_on(ip: impl Into<IpAddr>) -> io::Result<Platform> {
        let listener = TcpListener::bind((ip.into(), 0))?;
        let address = listener.local_addr()?;
        let state = Arc::new(Monitor::new(State::default()));
        let shared = Arc::clone(&state);
        let accept_thread = std::thread::spawn(move || server::accept(&listener, &shared));
        Ok(Platform {
            address,
            state,
            accept_thread: Some(accept_thread),
        })
    }

    /// Returns the address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the faults and limits.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        self.state.update(|state| change(&mut state.behaviour));
    }

    /// Returns the number of calls so far.
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

    /// Adds entries of another writer to the membership list.
    pub fn set_odd_members(&self, odd_members: impl Into<Vec<serde_json::Value>>) {
        self.state.update(|state| {
            state.odd_members = odd_members.into();
            state.members_version += 1;
        });
    }

    /// Returns the version and value of a key; `None` if the key does not exist.
    pub fn value(&self, key: &str) -> Option<(u64, Vec<u8>)> {
        let state = self.state.lock();
        let (version, value) = state.store.get(key);
        value.map(|value| (version, value.to_vec()))
    }

    /// Returns the existing keys in ascending order.
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
            // Fails if the connection is closed already, which is harmless.
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the accepting thread, which then notices that the platform is closed and exits.
        drop(TcpStream::connect(self.address));
        if let Some(accept_thread) = self.accept_thread.take() {
            accept_thread.join().expect("accepting thread panicked");
        }
    }
}
