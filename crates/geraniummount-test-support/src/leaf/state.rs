//! State that the threads of a stand-in leaf share.

use std::collections::VecDeque;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::{Behaviour, Connections, Ending, Execution, Fault, State as LeafState};

/// State that the threads of a leaf share.
#[derive(Debug)]
pub(super) struct State {
    pub(super) name: String,
    pub(super) behaviour: Behaviour,
    /// Faults of the next requests, one for each request.
    pub(super) faults: VecDeque<Fault>,
    /// Fault of every request for which `faults` holds none.
    pub(super) standing_fault: Option<Fault>,
    /// Whether the leaf handles no requests and connections but leaves its sockets open.
    pub(super) frozen: bool,
    /// Executions in the order in which they started.
    pub(super) log: Vec<Execution>,
    pub(super) connections: Connections,
    /// Highest value of `busy` so far.
    pub(super) max_busy: usize,
    /// Number of requests that are running, each in a slot of its own.
    pub(super) busy: usize,
    /// Ids of the attempts (tries of a VM to run a request here) that are running or waiting for a
    /// slot, which is the capacity to run one request.
    pub(super) active_attempts: Vec<u64>,
    /// Ids of the attempts that were cancelled but whose threads have not stopped them yet.
    pub(super) cancelled_attempts: Vec<u64>,
    /// Incremented at each start and each kill; threads of an earlier incarnation exit. An
    /// incarnation is the time from a start of the leaf until it is killed.
    incarnation: u64,
    /// Ids and sockets of the open connections.
    streams: Vec<(usize, TcpStream)>,
    random: StdRng,
}

impl State {
    pub(super) fn new(name: &str, behaviour: Behaviour, seed: u64) -> State {
        State {
            name: name.to_string(),
            behaviour,
            faults: VecDeque::new(),
            standing_fault: None,
            frozen: false,
            log: Vec::new(),
            connections: Connections::default(),
            max_busy: 0,
            busy: 0,
            active_attempts: Vec::new(),
            cancelled_attempts: Vec::new(),
            incarnation: 0,
            streams: Vec::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Begins an incarnation and returns its number.
    pub(super) fn begin_incarnation(&mut self) -> u64 {
        self.incarnation += 1;
        self.incarnation
    }

    /// Ends the incarnation; returns the connections to close.
    pub(super) fn end_incarnation(&mut self) -> Vec<TcpStream> {
        self.incarnation += 1;
        self.frozen = false;
        self.busy = 0;
        self.active_attempts.clear();
        self.cancelled_attempts.clear();
        self.connections.open = 0;
        self.streams.drain(..).map(|(_, stream)| stream).collect()
    }

    /// Returns the sockets of the open connections.
    pub(super) fn streams(&self) -> impl Iterator<Item = &TcpStream> {
        self.streams.iter().map(|(_, stream)| stream)
    }

    pub(super) fn is_current(&self, incarnation: u64) -> bool {
        self.incarnation == incarnation
    }

    /// Counts a connection as open and returns its id; `None` if the leaf's maximum number of
    /// connections is open.
    pub(super) fn admit(&mut self, stream: &TcpStream) -> Option<usize> {
        if self.connections.open >= self.behaviour.connections {
            return None;
        }
        let connection_id = self.connections.accepted;
        self.connections.accepted += 1;
        self.connections.open += 1;
        self.connections.max_open = self.connections.max_open.max(self.connections.open);
        self.streams.push((connection_id, stream.try_clone().ok()?));
        Some(connection_id)
    }

    /// Counts a connection that exceeds the leaf's maximum.
    pub(super) fn record_violation(&mut self) {
        self.connections.violations += 1;
        self.connections.max_open = self.connections.max_open.max(self.connections.open + 1);
    }

    /// Removes a closed connection, unless it belongs to an earlier incarnation.
    pub(super) fn release(&mut self, connection_id: usize, incarnation: u64) {
        let position = self
            .streams
            .iter()
            .position(|(other, _)| *other == connection_id);
        if let (true, Some(index)) = (self.is_current(incarnation), position) {
            self.streams.swap_remove(index);
            self.connections.open -= 1;
        }
    }

    /// Returns whether the next request meets [`Fault::CloseBeforeRead`], and consumes that fault
    /// if it was injected for a limited number of requests.
    pub(super) fn take_close_before_read(&mut self) -> bool {
        let next = self.faults.front().copied().or(self.standing_fault);
        if next != Some(Fault::CloseBeforeRead) {
            return false;
        }
        self.faults.pop_front();
        true
    }

    /// Takes the fault that applies to the next request.
    pub(super) fn take_fault(&mut self) -> Option<Fault> {
        self.faults.pop_front().or(self.standing_fault)
    }

    /// Draws the time to run the next request.
    pub(super) fn draw_delay(&mut self) -> Duration {
        let delay = self.behaviour.delay.draw(&mut self.random);
        match self.behaviour.state {
            LeafState::Cold => delay.mul_f64(self.behaviour.cold_factor),
            LeafState::Serving | LeafState::Draining => delay,
        }
    }

    /// Removes the cancellation of an attempt; returns whether there was one.
    pub(super) fn take_cancelled(&mut self, attempt: u64) -> bool {
        let position = self.cancelled_attempts.iter().position(|id| *id == attempt);
        position
            .map(|index| self.cancelled_attempts.swap_remove(index))
            .is_some()
    }

    /// Marks an attempt as cancelled; returns `running`, `queued` or `unknown`.
    pub(super) fn cancel(&mut self, attempt: u64) -> &'static str {
        if !self.active_attempts.contains(&attempt) {
            return "unknown";
        }
        self.cancelled_attempts.push(attempt);
        let runs = |entry: &Execution| entry.attempt == attempt && entry.end.is_none();
        if self.log.iter().any(runs) {
            "running"
        } else {
            "queued"
        }
    }

    /// Takes a slot and logs the start of an execution; returns its index in the log.
    pub(super) fn start(&mut self, execution: Execution) -> usize {
        self.busy += 1;
        self.max_busy = self.max_busy.max(self.busy);
        self.log.push(execution);
        self.log.len() - 1
    }

    /// Frees the slot of an execution and logs its end.
    pub(super) fn finish(&mut self, index: usize, ending: Ending) {
        self.busy -= 1;
        self.log[index].end = Some((ending, Instant::now()));
    }

    /// Removes an attempt that is about to be answered, with its cancellation.
    pub(super) fn forget(&mut self, attempt: u64) {
        self.active_attempts.retain(|id| *id != attempt);
        self.cancelled_attempts.retain(|id| *id != attempt);
    }
}
