//! Behaviour and faults of a stand-in leaf, which tests change while it runs.

use std::time::Duration;

use rand::{Rng, RngExt};

/// The settings of a leaf that a test can change.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Maximum number of requests that run at once.
    pub slots: usize,
    /// What happens to a request when all slots are taken.
    pub overload: Overload,
    /// Maximum number of open connections; the leaf closes any further one without reading it.
    pub connections: usize,
    /// Delay before the leaf reads from a new connection.
    pub open_delay: Duration,
    /// Distribution of the time to run a request.
    pub delay: Delay,
    /// State that the leaf reports in the `Leaf-State` header of its replies.
    pub state: State,
    /// Factor by which `delay` is multiplied while the leaf is cold.
    pub cold_factor: f64,
    /// Whether a draining leaf rejects new requests with 503; otherwise it still runs them.
    pub rejects_when_draining: bool,
    /// What the leaf's health endpoint reports.
    pub health: Health,
    /// Shards that the leaf serves, as `service/shard`.
    pub shards: Vec<String>,
    /// Snapshots that the leaf holds of each shard, in ascending order. A snapshot is a version of
    /// the index, given by its number.
    pub snapshots: Vec<u64>,
    /// Length of the padding in the leaf's replies, in bytes.
    pub padding_bytes: usize,
    /// Body of the requests that crash the leaf: it runs them and closes all connections without a
    /// reply. It is back at once.
    pub crash_body: Option<String>,
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
            crash_body: None,
        }
    }
}

/// What a leaf does with a request when all slots are taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Overload {
    /// Queues the request for a slot until its deadline.
    Queue,
    /// Rejects the request with 429.
    Shed,
}

/// State of a leaf.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Accepts requests.
    Serving,
    /// Finishes its requests before it stops.
    Draining,
    /// Started recently and still slow.
    Cold,
}

impl State {
    /// Returns the name of the state on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            State::Serving => "serving",
            State::Draining => "draining",
            State::Cold => "cold",
        }
    }
}

/// What a health endpoint reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// The actual state and the number of busy slots.
    Actual,
    /// This state and no busy slots, regardless of the actual ones.
    Always(State),
    /// Nothing; the endpoint fails with status 500.
    Broken,
}

/// Distribution of the time to run a request. Each request takes the median multiplied by a
/// random factor; a random share of the requests, the stragglers, is slowed further.
#[derive(Clone, Copy, Debug)]
pub struct Delay {
    /// Median time to run a request that is no straggler.
    pub median: Duration,
    /// The 99th percentile of the requests that are no stragglers, as a multiple of the median: one
    /// of these requests in a hundred takes longer.
    pub tail_factor: f64,
    /// Share of requests that are stragglers, from 0 to 1.
    pub straggler_share: f64,
    /// Factor by which a straggler takes longer.
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
    /// Creates a distribution that always yields `delay`.
    pub fn fixed(delay: Duration) -> Delay {
        Delay {
            median: delay,
            tail_factor: 1.0,
            ..Delay::default()
        }
    }

    /// Draws a delay: the median times `tail_factor ^ (x / 0.98)`, with `x` distributed uniformly
    /// in -1..1, and times `straggler_factor` for a straggler. In half of the draws `x` is below 0,
    /// which yields the median, and in 99 of 100 draws below 0.98, which yields the 99th
    /// percentile.
    pub fn draw(&self, random: &mut impl Rng) -> Duration {
        const PERCENTILE_99_POSITION: f64 = 0.98;
        let position: f64 = random.random_range(-1.0..1.0);
        let factor = self.tail_factor.powf(position / PERCENTILE_99_POSITION);
        let straggles = random.random_bool(self.straggler_share);
        let straggle = if straggles {
            self.straggler_factor
        } else {
            1.0
        };
        self.median.mul_f64(factor * straggle)
    }
}

/// A fault in the handling of one request to run work: a search, which is idempotent, or an
/// execution, which is not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Closes the connection before reading the request, which does not run.
    CloseBeforeRead,
    /// Closes the connection after reading the request, which does not run.
    CloseAfterRead,
    /// Runs the request and closes the connection without a reply.
    CloseAfterRun,
    /// Runs the request and sends the reply twice on the same connection.
    DuplicateReply,
    /// Runs the request and delays the reply by this time.
    Late(Duration),
    /// Runs the request and never replies; the connection stays open.
    NoReply,
    /// Runs the request and closes the connection in the middle of the reply.
    Truncated,
    /// Runs the request and sends the reply to another request that ran on this leaf. If no
    /// other request has run, sends this request's reply with a wrong attempt id. An attempt is one
    /// try of a VM to run a request at a leaf; the leaf returns its id.
    WrongAttempt,
    /// Runs the request on the snapshot after the requested one and names that snapshot in the
    /// reply.
    WrongSnapshot,
}
