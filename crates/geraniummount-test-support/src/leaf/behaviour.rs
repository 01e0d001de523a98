//! How a stand-in leaf behaves; changeable while it runs.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Everything about a leaf that a test can change.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Requests that it runs at once.
    pub slots: usize,
    /// What it does with a request above its slots.
    pub overload: Overload,
    /// Connections that it accepts; it closes any further one unread.
    pub connections: usize,
    /// Time until a new connection is read for the first time.
    pub open_delay: Duration,
    /// Time to run a request.
    pub delay: Delay,
    /// What it says of itself in `Leaf-State`.
    pub state: State,
    /// Factor on the delay while it is cold.
    pub cold_factor: f64,
    /// Whether a draining leaf answers new work with 503 or still runs it.
    pub rejects_when_draining: bool,
    /// What its health endpoint says.
    pub health: Health,
    /// Shards that it holds, as `service/shard`.
    pub shards: Vec<String>,
    /// Snapshots that it holds of each shard, ascending.
    pub snapshots: Vec<u64>,
    /// Length of the text that fills up its replies.
    pub padding_bytes: usize,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour {
            slots: 2,
            overload: Overload::Shed,
            connections: 25,
            open_delay: Duration::ZERO,
            delay: Delay::default(),
            state: State::Serving,
            cold_factor: 5.0,
            rejects_when_draining: false,
            health: Health::Actual,
            shards: Vec::new(),
            snapshots: vec![1],
            padding_bytes: 0,
        }
    }
}

/// What a leaf does with a request when all its slots are taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Overload {
    /// Lets it wait for a slot until its deadline.
    Queue,
    /// Answers 429.
    Shed,
}

/// State of a leaf.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Takes work.
    Serving,
    /// Is leaving.
    Draining,
    /// Just started and slow.
    Cold,
}

impl State {
    /// Returns the state as it is written on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            State::Serving => "serving",
            State::Draining => "draining",
            State::Cold => "cold",
        }
    }
}

/// What a health endpoint says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// The truth.
    Actual,
    /// This state and no busy slot, whatever holds.
    Always(State),
    /// Status 500.
    Broken,
}

/// Distribution of the time to run a request: the median times a factor that
/// is drawn for each request, and now and then a straggler.
#[derive(Clone, Copy, Debug)]
pub struct Delay {
    /// Half of the requests take longer.
    pub median: Duration,
    /// One request in a hundred takes this many medians or more.
    pub tail_factor: f64,
    /// Share of stragglers.
    pub straggler_share: f64,
    /// Factor of a straggler.
    pub straggler_factor: f64,
}

impl Default for Delay {
    fn default() -> Delay {
        Delay {
            median: Duration::from_millis(2),
            tail_factor: 2.0,
            straggler_share: 0.0,
            straggler_factor: 1.0,
        }
    }
}

impl Delay {
    /// A delay that is always the same.
    pub fn fixed(delay: Duration) -> Delay {
        Delay {
            median: delay,
            tail_factor: 1.0,
            ..Delay::default()
        }
    }

    /// Draws a delay: `tail_factor ^ (x / 0.98)` medians with `x` even in -1..1, so
    /// that x = 0 is the median and x = 0.98 the 99th percentile.
    pub fn draw(&self, random: &mut impl Rng) -> Duration {
        const PERCENTILE_99: f64 = 0.98;
        let position: f64 = random.random_range(-1.0..1.0);
        let factor = self.tail_factor.powf(position / PERCENTILE_99);
        let straggles = random.random_bool(self.straggler_share);
        let straggle = if straggles {
            self.straggler_factor
        } else {
            1.0
        };
        self.median.mul_f64(factor * straggle)
    }
}

/// A fault in the handling of one request that runs work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Closes the connection before reading the request; not run.
    CloseBeforeRead,
    /// Closes the connection after reading the request; not run.
    CloseAfterRead,
    /// Runs it and closes the connection without a reply.
    CloseAfterRun,
    /// Runs it and replies twice on the same connection.
    DuplicateReply,
    /// Runs it and replies this much later.
    Late(Duration),
    /// Runs it and never replies; the connection stays open.
    NoReply,
    /// Runs it and closes the connection in the middle of the reply.
    Truncated,
    /// Runs it and sends the reply to another request that ran here, or, where
    /// there was none, its own under another attempt's id.
    WrongAttempt,
    /// Runs it on another snapshot than asked, and says which.
    WrongSnapshot,
}
