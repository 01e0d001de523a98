//! Stand-in leaf that waits for the time of a search instead of running one, and logs each
//! execution.
//!
//! One thread accepts connections and a thread of its own serves each of them, which lets the
//! leaf count, limit and break connections. An execution is a timed wait that a cancellation or
//! the deadline ends early. One [`Monitor`] guards all state; tests change the [`Behaviour`] and
//! inject [`Fault`]s while the leaf runs.
//!
//! An attempt is one try of a VM to run a request at a leaf, with an id. A slot is the capacity to
//! run one request: the leaf runs at most as many at once as it has slots.

mod behaviour;
mod execution;
mod server;
mod state;

use std::io;
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

pub use self::behaviour::{Behaviour, Delay, Fault, Health, Overload, State};
pub use self::execution::{Ending, Execution};
use crate::monitor::Monitor;

/// A running stand-in leaf, killed when it is dropped.
#[derive(Debug)]
pub struct Leaf {
    name: String,
    address: SocketAddr,
    state: Arc<Monitor<state::State>>,
    accept_thread: Option<JoinHandle<()>>,
}

/// Changes a leaf from another thread, even while the leaf is killed.
#[derive(Clone, Debug)]
pub struct Handle {
    state: Arc<Monitor<state::State>>,
}

impl Handle {
    /// Changes the behaviour.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        self.state.update(|state| change(&mut state.behaviour));
    }
}

/// Connection counts of a leaf.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Connections {
    /// Connections accepted so far, excluding `violations`.
    pub accepted: usize,
    /// Connections that are open.
    pub open: usize,
    /// Highest number of connections open at once. One that counts as a violation is included.
    pub max_open: usize,
    /// Connections closed because [`Behaviour::connections`] others were open.
    pub violations: usize,
}

impl Leaf {
    /// Starts a leaf on a free port of 127.0.0.1.
    pub fn start(name: impl Into<String>, behaviour: Behaviour, seed: u64) -> io::Result<Leaf> {
        Leaf::start_on(Ipv4Addr::LOCALHOST, name, behaviour, seed)
    }

    /// Starts a leaf on a free port of the given address.
    pub fn start_on(
        ip: impl Into<IpAddr>,
        name: impl Into<String>,
        behaviour: Behaviour,
        seed: u64,
    ) -> io::Result<Leaf> {
        let listener = TcpListener::bind((ip.into(), 0))?;
        let name = name.into();
        let mut leaf = Leaf {
            address: listener.local_addr()?,
            state: Arc::new(Monitor::new(state::State::new(&name, behaviour, seed))),
            name,
            accept_thread: None,
        };
        leaf.accept(listener)?;
        Ok(leaf)
    }

    /// Returns the leaf's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address that the leaf listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle that changes the leaf.
    pub fn handle(&self) -> Handle {
        Handle {
            state: Arc::clone(&self.state),
        }
    }

    /// Changes the behaviour.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        self.handle().change(change);
    }

    /// Applies a fault to the next `count` search or execute requests.
    pub fn inject(&self, fault: Fault, count: usize) {
        let faults = std::iter::repeat_n(fault, count);
        self.state.update(|state| state.faults.extend(faults));
    }

    /// Applies a fault to every search or execute request until this is called with `None`.
    /// Faults of [`Leaf::inject`] take precedence.
    pub fn inject_always(&self, fault: Option<Fault>) {
        self.state.update(|state| state.standing_fault = fault);
    }

    /// Returns the executions so far, in the order in which they started.
    pub fn log(&self) -> Vec<Execution> {
        self.state.lock().log.clone()
    }

    /// Waits up to `limit` for a log entry that satisfies `wanted`; returns whether there is one.
    pub fn wait_for(&self, limit: Duration, wanted: impl Fn(&Execution) -> bool) -> bool {
        let until = Instant::now() + limit;
        let found = self
            .state
            .wait(until, |state| state.log.iter().any(&wanted).then_some(()));
        found.is_some()
    }

    /// Returns the connection counts.
    pub fn connections(&self) -> Connections {
        self.state.lock().connections
    }

    /// Returns the highest number of requests that ran at once.
    pub fn max_busy(&self) -> usize {
        self.state.lock().max_busy
    }

    /// Stops handling requests and connections but leaves the sockets open.
    pub fn freeze(&self) {
        self.state.update(|state| state.frozen = true);
    }

    /// Resumes after [`Leaf::freeze`].
    pub fn thaw(&self) {
        self.state.update(|state| state.frozen = false);
    }

    /// Closes the listener and all connections and drops running requests; keeps the log.
    pub fn kill(&mut self) {
        let streams = self.state.update(state::State::end_incarnation);
        for stream in streams {
            // Fails if the connection is closed already, which is harmless.
            let _ = stream.shutdown(Shutdown::Both);
        }
        if let Some(accept_thread) = self.accept_thread.take() {
            // Wakes the accepting thread, which then notices that the leaf was killed and exits.
            drop(TcpStream::connect(self.address));
            accept_thread.join().expect("accepting thread panicked");
        }
    }

    /// Starts the leaf again on the same address after [`Leaf::kill`].
    pub fn restart(&mut self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        self.accept(listener)
    }

    fn accept(&mut self, listener: TcpListener) -> io::Result<()> {
        let state = Arc::clone(&self.state);
        let incarnation = state.update(state::State::begin_incarnation);
        let thread = std::thread::Builder::new().stack_size(server::STACK_BYTES);
        self.accept_thread =
            Some(thread.spawn(move || server::accept(&listener, &state, incarnation))?);
        Ok(())
    }
}

impl Drop for Leaf {
    fn drop(&mut self) {
        self.kill();
    }
}
