//! Simulated time around the product's decisions on claims.

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
/// Longer than the time by which a value's rate is judged.
const WARM_UP: Duration = Duration::from_secs(15);
const MEASURED: Duration = Duration::from_secs(15);
/// Time of a request for its claim, with a deadline of 500 ms.
const TIME: Duration = Duration::from_millis(475);
/// Share of it for which another VM is waited for, as in `edge::claims`.
const FORWARD_SHARE: f64 = 0.75;
const WORKERS: u64 = 4;
const MAX_FAILURES: u32 = 2;
const RELEASE_RETRY: Duration = Duration::from_secs(1);
/// Bytes of a claim as JSON and as Cap'n Proto, and claims up to which the
/// product writes JSON.
const JSON_BYTES: u64 = 96;
const RECORD_BYTES: u64 = 28;
const JSON_CLAIMS: u64 = 1_024;
const EPOCH_MS: u64 = 1_800_000_000_000;

#[derive(Clone, Debug)]
enum Event {
    Arrive,
    /// A call of a worker ends at the platform, and its reply is back.
    Effect(usize, u64, Action),
    Reply(usize, u64, Reply),
    Wake(usize, u64),
    /// A forwarded claim arrives, its answer, and the end of the wait for it.
    Forwarded(usize, usize, u8),
    Answered(usize, Answer, bool),
    GivenUp(usize),
    /// The VM that claims learns that nobody waits.
    Dropped(usize, usize),
    Deadline(usize),
}

#[derive(Clone, Debug)]
enum Reply {
    Read(Option<(u64, Vec<Claim>)>),
    Written(Option<Option<u64>>),
}

/// A request's claim; attempts are twice its index, and one more for its own.
struct Request {
    vm: usize,
    key: KeyHash,
    arrived: Duration,
    way: Duration,
    forwarded_to: Option<usize>,
    claims_here: bool,
    done: bool,
}

#[derive(Default)]
struct Vm {
    forward: Forwarding,
    values: BTreeMap<u64, Value>,
    busy: [bool; WORKERS as usize],
}

#[derive(Default)]
struct Value {
    claims: Bucket,
    pace: WriteLimiter,
    failures: u32,
    waiting: Vec<(KeyHash, AttemptId)>,
    /// When releases are tried again after the platform failed.
    retry_at: Duration,
}

pub struct World {
    run: Run,
    start: Instant,
    now: Duration,
    order: u64,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    pending: BTreeMap<u64, Event>,
    random: StdRng,
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

impl World {
    pub fn new(run: Run) -> World {
        let kept = (KEY_TTL + CLOCK_MARGIN).as_secs_f64() * run.rate / BUCKETS as f64;
        let is_json = !run.product || kept as u64 <= JSON_CLAIMS;
        let bytes = if is_json { JSON_BYTES } else { RECORD_BYTES };
        World {
            run,
            start: Instant::now(),
            now: Duration::ZERO,
            order: 0,
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            random: StdRng::seed_from_u64(SEED),
            platform: Platform::new(kept as u64 * bytes),
            views: fleet::views(run.claimers),
            vms: (0..run.claimers).map(|_| Vm::default()).collect(),
            requests: Vec::new(),
            ended: 0,
            granted: 0,
            own_duplicates: 0,
            writes: 0,
            reads: 0,
            micros: Histogram::new(3).expect("three digits are allowed"),
        }
    }

    pub fn run(mut self) -> Figures {
        self.after(Duration::ZERO, Event::Arrive);
        while let Some(Reverse((at, order))) = self.events.pop() {
            if at >= WARM_UP + MEASURED {
                break;
            }
            self.now = at;
            let event = self.pending.remove(&order).expect("comes once");
            self.handle(event);
        }
        let seconds = MEASURED.as_secs_f64();
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

    fn after(&mut self, wait: Duration, event: Event) {
        self.order += 1;
        self.pending.insert(self.order, event);
        self.events.push(Reverse((self.now + wait, self.order)));
    }

    fn at(&self) -> Instant {
        self.start + self.now
    }

    fn wall_ms(&self) -> u64 {
        EPOCH_MS + self.now.as_millis() as u64
    }

    fn is_measured(&self) -> bool {
        self.now >= WARM_UP
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Effect(vm, value, action) => self.effect(vm, value, action),
            Event::Reply(vm, value, reply) => self.reply(vm, value, reply),
            Event::Wake(vm, worker) => self.work(vm, worker),
            Event::Forwarded(request, vm, hops) => self.forwarded(request, vm, hops),
            Event::Answered(request, answer, contended) => {
                self.answered(request, answer, contended);
            }
            Event::GivenUp(request) => self.given_up(request),
            Event::Dropped(request, vm) => self.release(vm, request, 2 * request as u64),
            Event::Deadline(request) => self.deadline(request),
        }
    }

    fn arrive(&mut self) {
        let gap = -(1.0 - self.random.random::<f64>()).ln() / self.run.rate;
        self.after(Duration::from_secs_f64(gap), Event::Arrive);
        let vm = self.random.random_range(0..self.run.claimers);
        let request = self.requests.len();
        let key = key_hash("orders", &request.to_string());
        let to = self.vms[vm]
            .forward
            .target(&self.views[vm], bucket_index(key), self.at(), |_| false);
        let to = to.filter(|_| self.run.product);
        let to = to.map(|to| fleet::index(&to));
        self.requests.push(Request {
            vm,
            key,
            arrived: self.now,
            way: Duration::ZERO,
            forwarded_to: to,
            claims_here: false,
            done: false,
        });
        self.after(TIME, Event::Deadline(request));
        let Some(to) = to else {
            return self.claim_here(request);
        };
        let way = fleet::travel(&self.views[vm], &self.views[to]);
        self.requests[request].way = way;
        self.after(way, Event::Forwarded(request, to, 1));
        let limit = FORWARD_TIMEOUT.min(TIME.mul_f64(FORWARD_SHARE));
        self.after(limit, Event::GivenUp(request));
    }

    fn forwarded(&mut self, request: usize, vm: usize, hops: u8) {
        let key = self.requests[request].key;
        let view = &self.views[vm];
        let forward = &self.vms[vm].forward;
        let onward = forward.target_in_domain(view, bucket_index(key), self.at(), |_| false);
        if let Some(to) = onward.filter(|_| hops > 0) {
            let to = fleet::index(&to);
            let way = fleet::travel(view, &self.views[to]);
            self.requests[request].way += way;
            return self.after(way, Event::Forwarded(request, to, hops - 1));
        }
        self.requests[request].forwarded_to = Some(vm);
        self.claim(vm, request, 2 * request as u64, None);
    }

    fn given_up(&mut self, request: usize) {
        if self.requests[request].done {
            return;
        }
        let (to, way) = (
            self.requests[request].forwarded_to,
            self.requests[request].way,
        );
        if let Some(to) = to {
            self.after(way, Event::Dropped(request, to));
        }
        self.fall_back(request);
    }

    fn answered(&mut self, request: usize, answer: Answer, contended: bool) {
        let Request {
            vm,
            claims_here,
            done,
            ..
        } = self.requests[request];
        let now = self.at();
        self.vms[vm].forward.note_contention(contended, now);
        if done || claims_here {
            return;
        }
        if answer == Answer::PlatformDown {
            return self.fall_back(request);
        }
        self.end(request, answer);
    }

    fn fall_back(&mut self, request: usize) {
        let vm = self.requests[request].vm;
        if self.vms[vm].forward.may_fall_back(self.at()) {
            return self.claim_here(request);
        }
        self.end(request, Answer::PlatformDown);
        if let Some(to) = self.requests[request].forwarded_to {
            let way = self.requests[request].way;
            self.after(way, Event::Dropped(request, to));
        }
    }

    fn claim_here(&mut self, request: usize) {
        let held = &mut self.requests[request];
        if held.claims_here {
            return;
        }
        held.claims_here = true;
        let replaces = held.forwarded_to.map(|_| 2 * request as u64);
        let vm = held.vm;
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
        self.work(vm, bucket_index(key) % WORKERS);
    }

    fn release(&mut self, vm: usize, request: usize, attempt: AttemptId) {
        let key = self.requests[request].key;
        let value = self.vms[vm].values.entry(bucket_index(key)).or_default();
        value.waiting.retain(|wait| wait.1 != attempt);
        value.claims.release(key, attempt);
        self.work(vm, bucket_index(key) % WORKERS);
    }

    fn deadline(&mut self, request: usize) {
        if !self.requests[request].done {
            let vm = self.requests[request].vm;
            let now = self.at();
            self.vms[vm].forward.note_platform_failure(now);
            self.release(vm, request, 2 * request as u64 + 1);
            self.end(request, Answer::PlatformDown);
        }
    }

    fn end(&mut self, request: usize, answer: Answer) {
        let held = &mut self.requests[request];
        if std::mem::replace(&mut held.done, true) || held.arrived < WARM_UP {
            return;
        }
        self.ended += 1;
        match answer {
            Answer::Granted => {
                self.granted += 1;
                let took = self.now - held.arrived;
                self.micros += took.as_micros() as u64;
            }
            Answer::Duplicate => self.own_duplicates += 1,
            Answer::Full | Answer::PlatformDown => {}
        }
    }
}
