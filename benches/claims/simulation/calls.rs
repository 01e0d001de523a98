//! Calls of the VMs' workers to the platform, and the answers to claims that result from the
//! replies.

use std::time::{Duration, Instant};

use geraniummount::core::claims::{Action, Answer, bucket_index};
use geraniummount::prelude::*;

use super::{Event, MAX_FAILURES, RELEASE_RETRY_BACKOFF, Reply, Request, Simulation, WORKERS};

impl Simulation {
    /// Sends the next platform call of an idle worker, for the first of its values that needs one.
    pub(super) fn run_worker(&mut self, vm: usize, worker: u64) {
        if self.vms[vm].busy[worker as usize] {
            return;
        }
        let (now, wall_ms) = (self.now_instant(), self.wall_ms());
        let values: Vec<u64> = self.vms[vm].values.keys().copied().collect();
        let mut wake: Option<Instant> = None;
        for index in values.into_iter().filter(|value| value % WORKERS == worker) {
            let value = self.vms[vm]
                .values
                .get_mut(&index)
                .expect("value is in the map");
            if !value.claims.has_work() {
                continue;
            }
            let mut due = value.write_limiter.next_write_at(now);
            if !value.claims.has_pending_claims() && value.retry_at > self.now {
                due = self.start + value.retry_at;
                wake = Some(wake.map_or(due, |wake| wake.min(due)));
                continue;
            }
            let may_write = !self.run.is_product || due <= now;
            let actions = value.claims.advance(wall_ms, may_write);
            for action in actions {
                match action {
                    Action::Answer(attempt, answer) => self.answer(vm, attempt, answer),
                    call => return self.send(vm, index, call),
                }
            }
            let value = &self.vms[vm].values[&index];
            if value.claims.has_work() {
                wake = Some(wake.map_or(due, |wake| wake.min(due)));
            }
        }
        if let Some(at) = wake {
            let wait = at.saturating_duration_since(now);
            self.schedule(
                wait.max(Duration::from_micros(100)),
                Event::WorkerWake(vm, worker),
            );
        }
    }

    fn send(&mut self, vm: usize, value: u64, call: Action) {
        self.vms[vm].busy[(value % WORKERS) as usize] = true;
        let half = self.platform.call_time() / 2;
        self.schedule(half, Event::PlatformCall(vm, value, call));
    }

    pub(super) fn call_platform(&mut self, vm: usize, value: u64, call: Action) {
        let measured = u64::from(self.is_measured());
        let reply = match call {
            Action::Write { version, claims } => {
                self.writes += measured;
                Reply::Written(self.platform.write(value, version, claims, self.now))
            }
            Action::Read | Action::Answer(..) => {
                self.reads += measured;
                Reply::Read(self.platform.read(value, self.now))
            }
        };
        let half = self.platform.call_time() / 2;
        self.schedule(half, Event::PlatformReply(vm, value, reply));
    }

    pub(super) fn on_platform_reply(&mut self, vm: usize, index: u64, reply: Reply) {
        self.vms[vm].busy[(index % WORKERS) as usize] = false;
        let now = self.now_instant();
        let value = self.vms[vm]
            .values
            .get_mut(&index)
            .expect("value is in the map");
        let is_rate_limited = matches!(reply, Reply::Written(None));
        if matches!(reply, Reply::Written(Some(Some(_)) | None)) {
            value.write_limiter.on_write(now);
        }
        let has_answered = match reply {
            Reply::Read(Some((version, claims))) => {
                value.claims.on_read(version, claims);
                true
            }
            Reply::Read(None) => false,
            Reply::Written(Some(Some(version))) => {
                value.claims.on_written(version);
                true
            }
            Reply::Written(Some(None)) => {
                value.claims.invalidate();
                true
            }
            Reply::Written(None) => {
                value.claims.on_rejected();
                false
            }
        };
        value.failures = if has_answered { 0 } else { value.failures + 1 };
        let answer = match is_rate_limited {
            true => Answer::Full,
            false => Answer::PlatformDown,
        };
        if is_rate_limited || value.failures >= MAX_FAILURES {
            value.failures = 0;
            value.retry_at = self.now + RELEASE_RETRY_BACKOFF;
            for (key, attempt) in std::mem::take(&mut value.waiting) {
                let value = self.vms[vm]
                    .values
                    .get_mut(&index)
                    .expect("value is in the map");
                value.claims.release(key, attempt);
                self.deliver_answer(vm, attempt, answer);
            }
        }
        self.run_worker(vm, index % WORKERS);
    }

    pub(super) fn answer(&mut self, vm: usize, attempt: AttemptId, answer: Answer) {
        let key = self.requests[attempt as usize / 2].key;
        let value = self.vms[vm].values.get_mut(&bucket_index(key));
        let waiting = &mut value.expect("a claim was made on this value").waiting;
        if let Some(index) = waiting.iter().position(|wait| wait.1 == attempt) {
            waiting.swap_remove(index);
            self.deliver_answer(vm, attempt, answer);
        }
    }

    pub(super) fn deliver_answer(&mut self, vm: usize, attempt: AttemptId, answer: Answer) {
        let request = attempt as usize / 2;
        let Request {
            key, forward_delay, ..
        } = self.requests[request];
        let contended = self.vms[vm].values[&bucket_index(key)]
            .claims
            .is_contended();
        let contended = contended || answer == Answer::Full;
        if attempt.is_multiple_of(2) {
            return self.schedule(forward_delay, Event::Answered(request, answer, contended));
        }
        let now = self.now_instant();
        let forwarding = &mut self.vms[vm].forwarding;
        forwarding.note_contention(contended, now);
        if answer == Answer::PlatformDown {
            forwarding.note_platform_failure(now);
        } else if let Some(by) = self.requests[request].forwarded_to {
            let name = self.views[by].me.clone();
            forwarding.avoid(&name, now);
        }
        self.finish(request, answer);
    }
}
