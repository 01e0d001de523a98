//! Discrete-event simulation of VMs that claim idempotency keys with the product's claim logic.

mod calls;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use geraniummount::core::claims::{
    Action, Answer, BUCKETS, Bucket, CLOCK_MARGIN, Claim, FORWARD_TIMEOUT, Forwarding, KEY_TTL,
    KeyHash, WriteLimiter, bucket_index, key_hash,
};
use geraniummount::prelude::*;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::figures::{Figures, Run};
use crate::fleet;
use crate::platform::Platform;

const SEED: u64 = 7;
/// Longer than the window over which a bucket detects contention.
const WARM_UP: Duration = Duration::from_secs(15);
const MEASUREMENT_DURATION: Duration = Duration::from_secs(15);
/// Time in which a request with a deadline of 500 ms has to obtain its claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(475);
/// Share of the claim timeout for which a forwarded claim is awaited, as in `edge::claims`.
const FORWARD_TIMEOUT_SHARE: f64 = 0.75;
/// Workers of a VM that call the platform, one call at a time each.
const WORKERS: u64 = 4;
/// Consecutive failed calls for a value after which its waiting claims are given up.
const MAX_FAILURES: u32 = 2;
/// Time from a platform failure until releases are retried.
const RELEASE_RETRY_BACKOFF: Duration = Duration::from_secs(1);
/// Size of a claim as JSON and as Cap'n Proto, and the number of claims in a value up to which the
/// product writes JSON.
const JSON_CLAIM_BYTES: u64 = 96;
const CAPNP_CLAIM_BYTES: u64 = 28;
const MAX_JSON_CLAIMS: u64 = 1_024;
/// Wall-clock time at the start of the run, in milliseconds since the Unix epoch.
const START_WALL_CLOCK_MS: u64 = 1_800_000_000_000;

/// Event of the simulation. VMs, requests and workers are given by index.
#[derive(Clone, Debug)]
enum Event {
    /// The next request arrives.
    Arrive,
    /// A call for a value reaches the platform from a VM.
    PlatformCall(usize, u64, Action),
    /// The platform's reply for a value reaches a VM.
    PlatformReply(usize, u64, Reply),
    /// A VM's worker has work again.
    WorkerWake(usize, u64),
    /// A forwarded claim of a request reaches a VM with a number of hops left.
    Forwarded(usize, usize, u8),
    /// The answer to a forwarded claim reaches the VM of the request, with whether the value is
    /// contended.
    Answered(usize, Answer, bool),
    /// The wait for a forwarded claim of a request ends.
    ForwardTimeout(usize),
    /// A VM that holds a forwarded claim receives its cancellation.
    ForwardCancelled(usize, usize),
    /// The claim timeout of a request ends.
    Deadline(usize),
}

/// Reply of the platform; `None` for a call above the rate limit.
#[derive(Clone, Debug)]
enum Reply {
    Read(Option<(u64, Vec<Claim>)>),
    Written(Option<Option<u64>>),
}

/// A request with its claim. The attempt id of its forwarded claim is twice its index; that of the
/// claim on its own VM is one more.
struct Request {
    vm: usize,
    key: KeyHash,
    arrived: Duration,
    /// Sum of the one-way delays to the VM that received the forwarded claim.
    forward_delay: Duration,
    forwarded_to: Option<usize>,
    is_claimed_locally: bool,
    is_done: bool,
}

/// Simulated VM with its claims, by the index of their bucket, which is one value on the platform.
#[derive(Default)]
struct Vm {
    forwarding: Forwarding,
    values: BTreeMap<u64, Value>,
    busy: [bool; WORKERS as usize],
}

#[derive(Default)]
struct Value {
    claims: Bucket,
    write_limiter: WriteLimiter,
    failures: u32,
    /// Keys and attempts of claims without an answer yet.
    waiting: Vec<(KeyHash, AttemptId)>,
    /// Time since the start of the run at which releases are retried after a platform failure.
    retry_at: Duration,
}

/// Simulation of one run.
pub struct Simulation {
    run: Run,
    start: Instant,
    now: Duration,
    sequence: u64,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    pending: BTreeMap<u64, Event>,
    rng: StdRng,
    platform: Platform,
    views: Vec<View>,
    vms: Vec<Vm>,
    requests: Vec<Request>,
    ended: u64,
    granted: u64,
    own_duplicates: u64,
    writes: u64,
    reads: u64,
    micros: Histogram<u64>,
}

impl Simulation {
    /// Creates a simulation at time zero.
    pub fn new(run: Run) -> Simulation {
        let kept = (KEY_TTL + CLOCK_MARGIN).as_secs_f64() * run.rate / BUCKETS as f64;
        let is_json = !run.is_product || kept as u64 <= MAX_JSON_CLAIMS;
        let bytes = if is_json {
            JSON_CLAIM_BYTES
        } else {
            CAPNP_CLAIM_BYTES
        };
        Simulation {
            run,
            start: Instant::now(),
            now: Duration::ZERO,
            sequence: 0,
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            rng: StdRng::seed_from_u64(SEED),
            platform: Platform::new(kept as u64 * bytes),
            views: fleet::views(run.claimers),
            vms: (0..run.claimers).map(|_| Vm::default()).collect(),
            requests: Vec::new(),
            ended: 0,
            granted: 0,
            own_duplicates: 0,
            writes: 0,
            reads: 0,
            micros: Histogram::new(3).expect("three significant digits are valid"),
        }
    }

    /// Runs the simulation to its end and returns the figures.
    pub fn run(mut self) -> Figures {
        self.schedule(Duration::ZERO, Event::Arrive);
        while let Some(Reverse((at, sequence))) = self.events.pop() {
            if at >= WARM_UP + MEASUREMENT_DURATION {
                break;
            }
            self.now = at;
            let event = self
                .pending
                .remove(&sequence)
                .expect("each sequence number is queued once");
            self.handle(event);
        }
        let seconds = MEASUREMENT_DURATION.as_secs_f64();
        let calls = (self.writes + self.reads) as f64;
        Figures {
            granted: self.granted as f64 / self.ended.max(1) as f64,
            own_duplicates: self.own_duplicates,
            writes: self.writes as f64 / seconds,
            reads: self.reads as f64 / seconds,
            bytes_per_second: calls * self.platform.value_bytes as f64 / seconds,
            value_bytes: self.platform.value_bytes,
            rate: self.run.rate,
            micros: self.micros,
        }
    }

    fn schedule(&mut self, wait: Duration, event: Event) {
        self.sequence += 1;
        self.pending.insert(self.sequence, event);
        self.events.push(Reverse((self.now + wait, self.sequence)));
    }

    fn now_instant(&self) -> Instant {
        self.start + self.now
    }

    fn wall_ms(&self) -> u64 {
        START_WALL_CLOCK_MS + self.now.as_millis() as u64
    }

    fn is_measured(&self) -> bool {
        self.now >= WARM_UP
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::PlatformCall(vm, value, action) => self.call_platform(vm, value, action),
            Event::PlatformReply(vm, value, reply) => self.on_platform_reply(vm, value, reply),
            Event::WorkerWake(vm, worker) => self.run_worker(vm, worker),
            Event::Forwarded(request, vm, hops) => self.on_forwarded(request, vm, hops),
            Event::Answered(request, answer, contended) => {
                self.on_answered(request, answer, contended);
            }
            Event::ForwardTimeout(request) => self.on_forward_timeout(request),
            Event::ForwardCancelled(request, vm) => self.release(vm, request, 2 * request as u64),
            Event::Deadline(request) => self.on_deadline(request),
        }
    }

    fn arrive(&mut self) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.run.rate;
        self.schedule(Duration::from_secs_f64(gap), Event::Arrive);
        let vm = self.rng.random_range(0..self.run.claimers);
        let request = self.requests.len();
        let key = key_hash("orders", &request.to_string());
        let to = self.vms[vm].forwarding.target(
            &self.views[vm],
            bucket_index(key),
            self.now_instant(),
            |_| false,
        );
        let to = to.filter(|_| self.run.is_product);
        let to = to.map(|to| fleet::vm_index(&to));
        self.requests.push(Request {
            vm,
            key,
            arrived: self.now,
            forward_delay: Duration::ZERO,
            forwarded_to: to,
            is_claimed_locally: false,
            is_done: false,
        });
        self.schedule(CLAIM_TIMEOUT, Event::Deadline(request));
        let Some(to) = to else {
            return self.claim_locally(request);
        };
        let forward_delay = fleet::link_delay(&self.views[vm], &self.views[to]);
        self.requests[request].forward_delay = forward_delay;
        self.schedule(forward_delay, Event::Forwarded(request, to, 1));
        let limit = FORWARD_TIMEOUT.min(CLAIM_TIMEOUT.mul_f64(FORWARD_TIMEOUT_SHARE));
        self.schedule(limit, Event::ForwardTimeout(request));
    }

    fn on_forwarded(&mut self, request: usize, vm: usize, hops: u8) {
        let key = self.requests[request].key;
        let view = &self.views[vm];
        let forwarding = &self.vms[vm].forwarding;
        let onward =
            forwarding.target_in_domain(view, bucket_index(key), self.now_instant(), |_| false);
        if let Some(to) = onward.filter(|_| hops > 0) {
            let to = fleet::vm_index(&to);
            let forward_delay = fleet::link_delay(view, &self.views[to]);
            self.requests[request].forward_delay += forward_delay;
            return self.schedule(forward_delay, Event::Forwarded(request, to, hops - 1));
        }
        self.requests[request].forwarded_to = Some(vm);
        self.claim(vm, request, 2 * request as u64, None);
    }

    fn on_forward_timeout(&mut self, request: usize) {
        if self.requests[request].is_done {
            return;
        }
        let (to, forward_delay) = (
            self.requests[request].forwarded_to,
            self.requests[request].forward_delay,
        );
        if let Some(to) = to {
            self.schedule(forward_delay, Event::ForwardCancelled(request, to));
        }
        self.fall_back(request);
    }

    fn on_answered(&mut self, request: usize, answer: Answer, contended: bool) {
        let Request {
            vm,
            is_claimed_locally,
            is_done,
            ..
        } = self.requests[request];
        let now = self.now_instant();
        self.vms[vm].forwarding.note_contention(contended, now);
        if is_done || is_claimed_locally {
            return;
        }
        if answer == Answer::PlatformDown {
            return self.fall_back(request);
        }
        self.finish(request, answer);
    }

    fn fall_back(&mut self, request: usize) {
        let vm = self.requests[request].vm;
        if self.vms[vm].forwarding.may_fall_back(self.now_instant()) {
            return self.claim_locally(request);
        }
        self.finish(request, Answer::PlatformDown);
        if let Some(to) = self.requests[request].forwarded_to {
            let forward_delay = self.requests[request].forward_delay;
            self.schedule(forward_delay, Event::ForwardCancelled(request, to));
        }
    }

    fn claim_locally(&mut self, request: usize) {
        let request_state = &mut self.requests[request];
        if request_state.is_claimed_locally {
            return;
        }
        request_state.is_claimed_locally = true;
        let replaces = request_state.forwarded_to.map(|_| 2 * request as u64);
        let vm = request_state.vm;
        self.claim(vm, request, 2 * request as u64 + 1, replaces);
    }

    fn claim(
        &mut self,
        vm: usize,
        request: usize,
        attempt: AttemptId,
        replaces: Option<AttemptId>,
    ) {
        let key = self.requests[request].key;
        let at_ms = self.wall_ms();
        let value = self.vms[vm].values.entry(bucket_index(key)).or_default();
        value.waiting.push((key, attempt));
        let claim = Claim {
            key,
            attempt,
            at_ms,
        };
        let action = value.claims.claim(claim, replaces);
        if let Some(Action::Answer(attempt, answer)) = action {
            self.answer(vm, attempt, answer);
        }
        self.run_worker(vm, bucket_index(key) % WORKERS);
    }

    fn release(&mut self, vm: usize, request: usize, attempt: AttemptId) {
        let key = self.requests[request].key;
        let value = self.vms[vm].values.entry(bucket_index(key)).or_default();
        value.waiting.retain(|wait| wait.1 != attempt);
        value.claims.release(key, attempt);
        self.run_worker(vm, bucket_index(key) % WORKERS);
    }

    fn on_deadline(&mut self, request: usize) {
        if !self.requests[request].is_done {
            let vm = self.requests[request].vm;
            let now = self.now_instant();
            self.vms[vm].forwarding.note_platform_failure(now);
            self.release(vm, request, 2 * request as u64 + 1);
            self.finish(request, Answer::PlatformDown);
        }
    }

    fn finish(&mut self, request: usize, answer: Answer) {
        let request_state = &mut self.requests[request];
        if std::mem::replace(&mut request_state.is_done, true) || request_state.arrived < WARM_UP {
            return;
        }
        self.ended += 1;
        match answer {
            Answer::Granted => {
                self.granted += 1;
                let took = self.now - request_state.arrived;
                self.micros += took.as_micros() as u64;
            }
            Answer::Duplicate => self.own_duplicates += 1,
            Answer::Full | Answer::PlatformDown => {}
        }
    }
}
