//! Simulated queries: arrivals, outcomes and results.

use super::*;

impl Simulation {
    pub(super) fn on_arrival(&mut self) {
        if self.now >= self.arrivals_end() {
            return;
        }
        let gap = -self.rng.random::<f64>().max(1e-12).ln() * self.mean_gap_seconds;
        self.schedule(Duration::from_secs_f64(gap), Event::Arrive);
        let live: Vec<usize> = (0..self.vms.len())
            .filter(|&vm| self.receives_queries(vm))
            .collect();
        let vm = live[self.rng.random_range(0..live.len())];
        let workload = &self.run.workload;
        let extra_percent = match self.run.policy {
            Policy::NoHedge => 0,
            _ => workload.extra_percent,
        };
        let query = Query {
            request: String::new(),
            service: SERVICE.to_owned(),
            body: Arc::from(&b"{}"[..]),
            deadline: self.now + workload.deadline,
            prefer: workload.prefer,
            extra_percent,
        };
        let view = Arc::clone(&self.vms[vm].view);
        let fan_out = FanOut::new(query, self.layout.clone(), view, self.now);
        let index = self.queries.len();
        self.queries.push(SimQuery {
            vm,
            arrived: self.now,
            is_measured: self.now >= self.start + WARM_UP,
            fan_out,
            next_wake_at: None,
            is_done: false,
        });
        let now = self.now;
        self.with_query(index, |fan_out, traffic| fan_out.start(traffic, now));
    }

    pub(super) fn with_query(
        &mut self,
        index: usize,
        step: impl FnOnce(&mut FanOut, &mut Traffic) -> Vec<Action>,
    ) {
        let query = &mut self.queries[index];
        if !self.vms[query.vm].is_alive {
            return self.record_lost(index);
        }
        let traffic = &mut self.vms[query.vm].traffic;
        let actions = step(&mut query.fan_out, traffic);
        for action in actions {
            match action {
                Action::Send(part) => self.send(index, part),
                Action::Cancel { attempt, leaf } => self.cancel(index, attempt, &leaf),
                Action::Finish(result) => self.finish(index, result),
            }
        }
        let query = &mut self.queries[index];
        let Some(wake) = query.fan_out.next_wake() else {
            return;
        };
        if query
            .next_wake_at
            .is_none_or(|next_wake_at| wake < next_wake_at)
        {
            query.next_wake_at = Some(wake);
            let delay = wake.saturating_duration_since(self.now);
            self.schedule(delay, Event::WakeQuery(index));
        }
    }

    pub(super) fn wake_query(&mut self, index: usize) {
        self.queries[index].next_wake_at = None;
        let now = self.now;
        self.with_query(index, |fan_out, traffic| fan_out.tick(traffic, now));
    }

    pub(super) fn on_outcome(&mut self, index: usize, outcome: Outcome) {
        if let Err(failure) = &outcome.result
            && failure.verdict == Verdict::NotRun
            && self.started_attempts.contains(&outcome.attempt)
        {
            self.record_violation("an attempt ran that was reported as not run");
        }
        let now = self.now;
        self.with_query(index, |fan_out, traffic| {
            fan_out.on_outcome(outcome, traffic, now)
        });
    }

    pub(super) fn record_lost(&mut self, index: usize) {
        let query = &mut self.queries[index];
        if !query.is_done && query.is_measured {
            self.figures.lost += 1;
        }
        query.is_done = true;
    }

    pub(super) fn record_violation(&mut self, promise: &str) {
        if self.figures.violations.len() < 5 {
            self.figures.violations.push(promise.to_owned());
        }
    }

    pub(super) fn finish(
        &mut self,
        index: usize,
        result: Result<geraniummount::core::answer::Answer, Failure>,
    ) {
        let query = &mut self.queries[index];
        if query.is_done {
            return self.record_violation("a query was answered twice");
        }
        query.is_done = true;
        let elapsed = self.now - query.arrived;
        let first = query.fan_out.counters().first_attempts;
        if !query.is_measured {
            return;
        }
        let since_loss = self
            .lost_at
            .and_then(|at| query.arrived.checked_duration_since(at));
        let figures = &mut self.figures;
        let all = self.layout.shards.len() as u64;
        figures.queries += 1;
        figures.shards_asked += all;
        if elapsed > self.run.workload.deadline {
            figures.late += 1;
        }
        match result {
            Ok(answer) => {
                let included = answer.coverage.included.len();
                figures.shards_included += included as u64;
                let reported = included + answer.coverage.missing.len();
                let is_consistent = reported as u64 == all && answer.results.len() == included;
                match included as u64 == all {
                    true => figures.whole += 1,
                    false => figures.partial += 1,
                }
                let total = elapsed + self.run.workload.deployment.client_delay * 2;
                let micros = total.as_micros() as u64;
                figures
                    .latency
                    .record(micros)
                    .expect("the histogram resizes itself");
                if let Some(since) = since_loss {
                    figures
                        .after_loss
                        .count(since, all - included as u64, micros);
                }
                if !is_consistent || answer.snapshot != SNAPSHOT {
                    self.record_violation("an answer's coverage or snapshot is wrong");
                }
            }
            Err(failure) => {
                match failure.verdict {
                    Verdict::NotRun => figures.refused += 1,
                    _ => figures.failed += 1,
                }
                if first == 0 {
                    figures.slowest_refusal = figures.slowest_refusal.max(elapsed);
                }
            }
        }
    }
}
