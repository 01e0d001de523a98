//! Stand-in leaf: runs no search but takes the time of one, and keeps a log of
//! what it ran.
//!
//! One thread accepts connections and one serves each of them, so that
//! connections can be counted, limited and broken. Work is a timed wait that a
//! cancellation or a deadline ends early. All state stands behind one
//! [`Monitor`]; tests change [`Behaviour`] and inject [`Fault`]s while it runs.

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

/// A running stand-in leaf; dropping it kills it.
#[derive(Debug)]
pub struct Leaf {
    name: String,
    address: SocketAddr,
    state: Arc<Monitor<state::State>>,
    accepting: Option<JoinHandle<()>>,
}

/// Changes a leaf from another thread, also while it is dead.
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

/// What a leaf counted of its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Connections {
    /// Connections accepted so far, without the violations.
    pub accepted: usize,
    /// Connections open now.
    pub open: usize,
    /// Most connections open at once, with those above the limit.
    pub most: usize,
    /// Connections closed because they were above the limit.
    pub violations: usize,
}

impl Leaf {
    /// Starts a leaf on a free port of 127.0.0.1.
    pub fn start(name: impl Into<String>, behaviour: Behaviour, seed: u64) -> io::Result<Leaf> {
        Leaf::start_on(Ipv4Addr::LOCALHOST, name, behaviour, seed)
    }

    /// Starts a leaf on a free port of an address.
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
            accepting: None,
        };
        leaf.accept(listener)?;
        Ok(leaf)
    }

    /// Returns the leaf's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle to change the leaf with.
    pub fn handle(&self) -> Handle {
        Handle {
            state: Arc::clone(&self.state),
        }
    }

    /// Changes the behaviour.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        self.handle().change(change);
    }

    /// Lets the next `count` requests that run work meet a fault.
    pub fn inject(&self, fault: Fault, count: usize) {
        let faults = std::iter::repeat_n(fault, count);
        self.state.update(|state| state.faults.extend(faults));
    }

    /// Lets every request meet a fault until it is called with `None`; faults
    /// of [`Leaf::inject`] go first.
    pub fn inject_always(&self, fault: Option<Fault>) {
        self.state.update(|state| state.standing_fault = fault);
    }

    /// Returns what ran so far, in order of start.
    pub fn log(&self) -> Vec<Execution> {
        self.state.lock().log.clone()
    }

    /// Waits until the log has an entry that satisfies `wanted`.
    pub fn wait_for(&self, limit: Duration, wanted: impl Fn(&Execution) -> bool) -> bool {
        let until = Instant::now() + limit;
        let found = self
            .state
            .wait(until, |state| state.log.iter().any(&wanted).then_some(()));
        found.is_some()
    }

    /// Returns the counts of connections.
    pub fn connections(&self) -> Connections {
        self.state.lock().connections
    }

    /// Returns the most requests that ran at once.
    pub fn most_busy(&self) -> usize {
        self.state.lock().most_busy
    }

    /// Stops handling anything, with connections and listener left open.
    pub fn freeze(&self) {
        self.state.update(|state| state.frozen = true);
    }

    /// Goes on after [`Leaf::freeze`].
    pub fn thaw(&self) {
        self.state.update(|state| state.frozen = false);
    }

    /// Closes listener and connections and forgets what runs; the log stays.
    pub fn kill(&mut self) {
        let streams = self.state.update(state::State::end_life);
        for stream in streams {
            // A connection that is closed already needs no shutdown.
            let _ = stream.shutdown(Shutdown::Both);
        }
        if let Some(accepting) = self.accepting.take() {
            // Wakes the accepting thread, which then sees the end.
            drop(TcpStream::connect(self.address));
            accepting.join().expect("accepting thread panicked");
        }
    }

    /// Starts again on the same address after [`Leaf::kill`].
    pub fn revive(&mut self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        self.accept(listener)
    }

    fn accept(&mut self, listener: TcpListener) -> io::Result<()> {
        let state = Arc::clone(&self.state);
        let life = state.update(state::State::begin_life);
        let thread = std::thread::Builder::new().stack_size(server::STACK_BYTES);
        self.accepting = Some(thread.spawn(move || server::accept(&listener, &state, life))?);
        Ok(())
    }
}

impl Drop for Leaf {
    fn drop(&mut self) {
        self.kill();
    }
}
