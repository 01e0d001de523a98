//! State of a stand-in leaf.

use std::collections::VecDeque;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::{Behaviour, Connections, Ending, Execution, Fault, State as LeafState};

/// Everything that a leaf's threads share.
#[derive(Debug)]
pub(super) struct State {
    pub(super) name: String,
    pub(super) behaviour: Behaviour,
    pub(super) faults: VecDeque<Fault>,
    pub(super) standing_fault: Option<Fault>,
    pub(super) frozen: bool,
    pub(super) log: Vec<Execution>,
    pub(super) connections: Connections,
    pub(super) most_busy: usize,
    pub(super) busy: usize,
    /// Attempts that wait for a slot or run.
    pub(super) present: Vec<u64>,
    /// Attempts that were cancelled and have not noticed yet.
    pub(super) cancelled: Vec<u64>,
    /// Raised at each start and each kill; threads of an older life end.
    life: u64,
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
            most_busy: 0,
            busy: 0,
            present: Vec::new(),
            cancelled: Vec::new(),
            life: 0,
            streams: Vec::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Starts a life and returns its number.
    pub(super) fn begin_life(&mut self) -> u64 {
        self.life += 1;
        self.life
    }

    /// Ends the life; returns the connections to close.
    pub(super) fn end_life(&mut self) -> Vec<TcpStream> {
        self.life += 1;
        self.frozen = false;
        self.busy = 0;
        self.present.clear();
        self.cancelled.clear();
        self.connections.open = 0;
        self.streams.drain(..).map(|(_, stream)| stream).collect()
    }

    pub(super) fn lives(&self, life: u64) -> bool {
        self.life == life
    }

    /// Counts a connection when the limit allows it; returns its number.
    pub(super) fn admit(&mut self, stream: &TcpStream) -> Option<usize> {
        if self.connections.open >= self.behaviour.connections {
            return None;
        }
        let number = self.connections.accepted;
        self.connections.accepted += 1;
        self.connections.open += 1;
        self.connections.most = self.connections.most.max(self.connections.open);
        self.streams.push((number, stream.try_clone().ok()?));
        Some(number)
    }

    /// Counts a connection above the limit.
    pub(super) fn refuse_connection(&mut self) {
        self.connections.violations += 1;
        self.connections.most = self.connections.most.max(self.connections.open + 1);
    }

    /// Forgets a connection that the client has closed.
    pub(super) fn release(&mut self, number: usize, life: u64) {
        let place = self.streams.iter().position(|(other, _)| *other == number);
        if let (true, Some(index)) = (self.lives(life), place) {
            self.streams.swap_remove(index);
            self.connections.open -= 1;
        }
    }

    /// Takes the fault that the next request meets before it is read.
    pub(super) fn takes_close_before_read(&mut self) -> bool {
        let next = self.faults.front().copied().or(self.standing_fault);
        if next != Some(Fault::CloseBeforeRead) {
            return false;
        }
        self.faults.pop_front();
        true
    }

    /// Takes the fault that the next request meets.
    pub(super) fn take_fault(&mut self) -> Option<Fault> {
        self.faults.pop_front().or(self.standing_fault)
    }

    /// Draws the time that the next request takes.
    pub(super) fn draw_delay(&mut self) -> Duration {
        let delay = self.behaviour.delay.draw(&mut self.random);
        match self.behaviour.state {
            LeafState::Cold => delay.mul_f64(self.behaviour.cold_factor),
            LeafState::Serving | LeafState::Draining => delay,
        }
    }

    /// Takes back a cancellation of an attempt.
    pub(super) fn take_cancelled(&mut self, attempt: u64) -> bool {
        let place = self.cancelled.iter().position(|id| *id == attempt);
        place
            .map(|index| self.cancelled.swap_remove(index))
            .is_some()
    }

    /// Marks an attempt as cancelled; returns what it was doing.
    pub(super) fn cancel(&mut self, attempt: u64) -> &'static str {
        if !self.present.contains(&attempt) {
            return "unknown";
        }
        self.cancelled.push(attempt);
        let runs = |entry: &Execution| entry.attempt == attempt && entry.end.is_none();
        if self.log.iter().any(runs) {
            "running"
        } else {
            "queued"
        }
    }

    /// Takes a slot and starts an execution; returns its place in the log.
    pub(super) fn start(&mut self, execution: Execution) -> usize {
        self.busy += 1;
        self.most_busy = self.most_busy.max(self.busy);
        self.log.push(execution);
        self.log.len() - 1
    }

    /// Frees the slot of an execution.
    pub(super) fn finish(&mut self, index: usize, ending: Ending) {
        self.busy -= 1;
        self.log[index].end = Some((ending, Instant::now()));
    }

    /// Forgets an attempt that has its answer.
    pub(super) fn forget(&mut self, attempt: u64) {
        self.present.retain(|id| *id != attempt);
        self.cancelled.retain(|id| *id != attempt);
    }
}
